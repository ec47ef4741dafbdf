//! Names, slots, fencing tokens, time and routing tables shared by all crates.
//!
//! The crate does no I/O. A zone leader publishes a [`ZoneTable`]. Each host compiles a
//! [`RoutingTable`] from its copies of the zone tables and service definitions, for lookups on the
//! request path.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod boot_id;
mod clock;
mod fencing_token;
mod host_entry;
mod key_hash;
mod key_source;
mod names;
pub mod raw_bytes;
mod route_match;
mod routing_table;
mod service_definition;
mod slot_index;
mod target_entry;
mod timestamp;
mod zone_table;

pub use boot_id::BootId;
pub use clock::Clock;
pub use fencing_token::FencingToken;
pub use fencing_token::TermNumber;
pub use host_entry::HostEntry;
pub use host_entry::HostId;
pub use key_hash::KeyHash;
pub use key_source::KeySource;
pub use names::HostName;
pub use names::NameError;
pub use names::ProfileName;
pub use names::ServiceName;
pub use names::TargetName;
pub use names::ZoneName;
pub use route_match::RouteMatch;
pub use routing_table::KeyRoute;
pub use routing_table::RoutingTable;
pub use routing_table::ServiceRoutes;
pub use service_definition::ServiceDefinition;
pub use slot_index::SLOT_COUNT;
pub use slot_index::SlotIndex;
pub use target_entry::TargetEntry;
pub use target_entry::TargetState;
pub use timestamp::Timestamp;
pub use zone_table::KeyOverride;
pub use zone_table::MAX_OVERRIDES;
pub use zone_table::ServiceTable;
pub use zone_table::SlotRange;
pub use zone_table::TableVersion;
pub use zone_table::ZoneTable;
