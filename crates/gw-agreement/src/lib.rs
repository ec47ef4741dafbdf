//! Raft consensus: leader election, log replication, snapshots and membership changes.
//!
//! [`ReplicaNode`] implements one replica as a deterministic state machine without I/O. The caller
//! passes in the time, a random seed, received messages and completed disk writes.
//! [`ReplicaNode::take_ready`] returns the state to persist, the messages to send and the entries
//! to apply. The protocol is Raft (Ongaro and Ousterhout, *In Search of an Understandable Consensus
//! Algorithm*, 2014) with the pre-vote, check-quorum, leadership transfer and single-server
//! membership changes of Ongaro's dissertation.
//!
//! # Driving a replica
//!
//! The caller writes a [`PersistBatch`] in the order of its fields and syncs it before it calls
//! [`ReplicaNode::persisted`]. For example, with a journal that stores opaque records:
//!
//! ```
//! use gw_agreement::*;
//! use gw_journal::{Error, Journal, JournalOptions, MemoryStorage, Record, SnapshotRecord};
//! use gw_types::{HostId, Timestamp};
//!
//! fn write(journal: &mut Journal, batch: &PersistBatch) -> Result<(), Error> {
//!     if let Some(from) = batch.truncate_from {
//!         journal.truncate_from(from.0)?;
//!     }
//!     if let Some(snapshot) = &batch.snapshot {
//!         let index = snapshot.meta.index.0;
//!         journal.save_snapshot(&SnapshotRecord { index, payload: snapshot.encode() })?;
//!         journal.compact()?;
//!     }
//!     let to_record = |e: &LogEntry| Record { index: e.index.0, payload: e.encode() };
//!     journal.append(&batch.entries.iter().map(to_record).collect::<Vec<_>>())?;
//!     if let Some(HardState { term, vote }) = batch.hard_state {
//!         let vote = vote.map(|host| host.0);
//!         journal.save_hard_state(gw_journal::HardState { term: term.0, vote })?;
//!     }
//!     journal.sync()
//! }
//!
//! let storage = Box::new(MemoryStorage::new());
//! let (mut journal, _) = Journal::open(storage, JournalOptions::default())?;
//! let members = Membership::of_voters([HostId(1)]);
//! let options = ReplicaOptions::new(HostId(1), members, 42);
//! let mut node = ReplicaNode::new(options, RecoveredState::default(), Timestamp::ZERO);
//! while !node.is_leader() || node.last_applied() < LogIndex(1) {
//!     let now = node.next_wakeup();
//!     node.tick(now);
//!     let ready = node.take_ready(now);
//!     // Send `ready.messages` here.
//!     write(&mut journal, &ready.persist)?;
//!     node.persisted(now, ready.token);
//!     // Send `ready.messages_after_sync` and apply `ready.committed` here.
//! }
//! # Ok::<(), Error>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod election;
mod follower_replication;
mod hard_state;
mod leader_replication;
mod leader_state;

mod log_entry;
mod log_index;

mod member_progress;
mod member_status;
mod membership;
mod message;
mod propose_error;
mod ready;
mod recovered_state;
mod replica_log;
mod replica_node;
mod replica_options;
mod replica_role;
mod snapshot;
mod snapshot_assembly;
mod sync_queue;
mod timeout_source;

pub use hard_state::HardState;
pub use log_entry::EntryPayload;
pub use log_entry::LogEntry;
pub use log_index::LogIndex;
pub use log_index::Term;
pub use member_status::MemberStatus;
pub use membership::Membership;
pub use membership::MembershipChange;
pub use message::Envelope;
pub use message::Message;
pub use message::MessageBody;
pub use propose_error::ProposeError;
pub use ready::PersistBatch;
pub use ready::PersistToken;
pub use ready::Ready;
pub use recovered_state::DecodeError;
pub use recovered_state::RecoveredState;
pub use replica_node::ReplicaNode;
pub use replica_options::InjectedFault;
pub use replica_options::ReplicaOptions;
pub use snapshot::Snapshot;
pub use snapshot::SnapshotMeta;
pub use sync_queue::SyncQueue;
