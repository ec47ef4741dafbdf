//! Idempotency records, and requests that crash targets, on all hosts.
//!
//! A record is held by a fixed group of three hosts, not by the host that happens to dispatch. The
//! dispatcher asks the group for a claim, and writes the request only after a majority has granted
//! it. A holder grants one claim for a key, and any two majorities share a holder, so at most one
//! dispatcher ever writes the request, whichever host, zone or target a resend goes to. No record
//! has to be handed over when the owner, the dispatcher or the zone of a slot changes.
//!
//! - The group follows from the settings and the idempotency key alone. For a service without
//!   slots, and with `record_copies = "region"`, it spans zones. With `record_copies = "zone"` it
//!   lies in the zone that holds the slot, filled up from other zones to three hosts. A zone that is
//!   cut off therefore serves keyed requests while two of its hosts are alive, and refuses those of
//!   services without slots, since a resend could run in another zone.
//! - A slot that changed its zone, or a profile that changed its copies, within the time for which
//!   records are kept needs a majority of the earlier groups too.
//! - A restarted holder has forgotten its grants. It grants nothing until all other entry hosts have
//!   told what they hold, or until every record that it may have held is over; services that were
//!   registered after its start are not affected. Where that leaves no majority, requests are
//!   refused with `not-run`.
//! - In a system of one entry host the group is that host alone; after a restart it refuses for the
//!   resend horizon. In a system of two, both must grant.

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
pub use claim_table::ClaimRules;
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
