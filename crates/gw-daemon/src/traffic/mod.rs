//! Routing, forwarding and dispatching of requests between callers and targets.

mod body_source;
mod caller_flow;
mod dispatch_flow;
mod exchange;
mod forward_flow;
mod load_meter;
mod profile_table;
mod record_store;
mod request_context;
mod request_key;
mod request_stats;
mod route_choice;
mod router;
mod target_picker;
mod traffic_state;

pub use profile_table::ProfileTable;
pub use record_store::ClaimOutcome;
pub use record_store::RecordClaim;
pub use record_store::RecordDecision;
pub use record_store::RecordFuture;
pub use record_store::RecordStore;
pub use record_store::UnavailableRecords;
pub use request_key::RequestKeyError;
pub use route_choice::RouteChoice;
pub use route_choice::choose_route;
pub use traffic_state::TrafficState;

pub(crate) use router::Router;
pub(crate) use router::RouterParts;
pub(crate) use target_picker::LoadGuard;
