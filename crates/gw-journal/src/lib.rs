//! Durable log and snapshot files on top of a [`Storage`] trait.
//!
//! The journal does not interpret payloads. It keeps records, terms and votes in append-only
//! segments and each snapshot in a separate file. Appended records, truncations, terms and votes
//! are durable only after [`Journal::sync`] has returned.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod file_storage;
mod frame;
mod journal;
mod memory_storage;
mod record;
mod record_sink;
mod recovery;
mod segment_list;
mod storage;

pub use error::Error;
pub use file_storage::FileStorage;
pub use journal::Journal;
pub use journal::JournalOptions;
pub use memory_storage::CallKind;
pub use memory_storage::CrashMode;
pub use memory_storage::MemoryStorage;
pub use record::HardState;
pub use record::Record;
pub use record::Recovered;
pub use record::RecoveredTail;
pub use record::SnapshotRecord;
pub use record_sink::RecordSink;
pub use storage::Storage;
