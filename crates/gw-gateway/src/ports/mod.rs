//! Types and traits that an adapter to a platform implements or translates.
//!
//! An adapter implements [`ProtocolAdapter`]. It only translates: it makes no routing decisions and
//! keeps no state.

mod attempt_metadata;
mod call_error;
mod control_call;
mod order_request;
mod protocol_adapter;
mod request_metadata;
mod response_metadata;
mod settings_source;
mod target_dialer;

pub use attempt_metadata::AttemptMetadata;
pub use call_error::CallError;
pub use control_call::ControlCall;
pub use control_call::ControlReply;
pub use control_call::TargetAnnouncement;
pub use order_request::OrderRequest;
pub use protocol_adapter::ProtocolAdapter;
pub use request_metadata::RequestMetadata;
pub use response_metadata::ResponseMetadata;
pub use settings_source::SettingsSource;
pub use target_dialer::TargetDialer;
pub use target_dialer::TcpDialer;
