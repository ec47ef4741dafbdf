//! Target registry, host heartbeats and anti-entropy digests.
//!
//! Targets announce themselves to any entry host. That host's [`TargetRelay`] passes the
//! announcements on to the zone leader, whose [`TargetRegistry`] decides which targets may be given
//! work. [`HostDirectory`] and [`DigestTable`] are fed by [`Heartbeat`]s, which each host sends to
//! those that its [`HeartbeatPlan`] names.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod digest_table;
mod heartbeat;
mod heartbeat_plan;
mod host_directory;
mod loss_record;
mod registry_error;
mod registry_options;
mod relay_batch;
mod target_announcement;
mod target_change;
mod target_health;
mod target_registration;
mod target_registry;
mod target_relay;
mod target_report;

pub use digest_table::DigestTable;
pub use digest_table::FetchItem;
pub use digest_table::FetchRequest;
pub use digest_table::MAX_FETCHES_IN_FLIGHT;
pub use heartbeat::DigestSummary;
pub use heartbeat::Heartbeat;
pub use heartbeat::LoadSummary;
pub use heartbeat::ZoneDigest;
pub use heartbeat_plan::HEARTBEAT_INTERVAL;
pub use heartbeat_plan::HeartbeatPlan;
pub use heartbeat_plan::MAX_FULL_MESH_PEERS;
pub use host_directory::HostChange;
pub use host_directory::HostDirectory;
pub use host_directory::HostStatus;
pub use host_directory::UNREACHABLE_AFTER;
pub use registry_error::RegistryError;
pub use registry_options::RegistryOptions;
pub use relay_batch::MAX_BATCH_BYTES;
pub use relay_batch::RelayBatch;
pub use relay_batch::RelayEvent;
pub use relay_batch::RelayItem;
pub use relay_batch::TrafficSummary;
pub use target_announcement::AnnouncementReply;
pub use target_announcement::OwnedKey;
pub use target_announcement::OwnedSlots;
pub use target_announcement::TargetAnnouncement;
pub use target_change::LossCause;
pub use target_change::TargetChange;
pub use target_registry::TargetRegistry;
pub use target_relay::RelayError;
pub use target_relay::TargetRelay;
pub use target_report::TargetReport;
pub use target_report::TroubleKind;
