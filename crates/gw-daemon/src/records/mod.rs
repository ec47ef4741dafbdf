//! Idempotency records and the quarantine of requests that crash targets, replicated between hosts.
//!
//! A record is held by a fixed group of three hosts, independently of the host that dispatches the
//! request. The dispatcher sends a claim to the group and writes the request only after a majority
//! has granted the claim. A holder grants one claim for a key, and any two majorities share a
//! holder, so at most one dispatcher writes the request, whichever host, zone or target a resend
//! goes to. No record is transferred when the owner, the dispatcher or the zone of a slot changes.
//!
//! - The settings, the idempotency key and the zone of the slot determine the group. For a service
//!   without slots, and with `record_copies = "region"`, it spans zones. With
//!   `record_copies = "zone"` it consists of hosts of the zone that holds the slot, completed from
//!   other zones to three hosts. A partitioned zone therefore serves keyed requests while two of
//!   its hosts are alive. It refuses requests of services without slots, since a resend could run
//!   in another zone.
//! - If a slot changed its zone, or a profile its `record_copies`, within the time for which
//!   records are kept, a claim also needs a majority of the earlier groups.
//! - A restarted holder has lost its records. It grants no claim until all other entry hosts have
//!   sent their records or every record that it may have held has expired. Services that were
//!   registered after its start are not affected. Requests for which this leaves no majority are
//!   refused with `not-run`.
//! - In a system with one entry host the group is that host alone, which refuses claims after a
//!   restart until the records of its earlier boot have expired. With two entry hosts, both must
//!   grant.

mod answer_capture;
mod claim_flow;
mod claim_round;
mod claim_table;
mod peer_handler;
mod quarantine_replicator;
mod record_groups;
mod record_replicator;
mod record_scopes;
mod sync_state;

pub use claim_flow::ROUND_TIMEOUT;
pub use claim_round::ClaimRound;
pub use claim_round::RoundResult;
pub use claim_table::ClaimLimits;
pub use claim_table::ClaimTable;
pub use peer_handler::PeerHandler;
pub use peer_handler::PeerSender;
pub use quarantine_replicator::QuarantineReplicator;
pub use record_groups::RecordGroups;
pub use record_replicator::RecordReplicator;
pub use record_replicator::RecordReplicatorOptions;
pub use record_replicator::SYNC_DELAY;
pub use record_scopes::RecordScopes;
pub use record_scopes::ScopeRange;
pub use record_scopes::ScopeTracker;
pub use record_scopes::ServiceScope;

pub(crate) use answer_capture::AnswerCapture;
pub(crate) use answer_capture::RecordGuard;
pub(crate) use quarantine_replicator::AttemptGuard;
