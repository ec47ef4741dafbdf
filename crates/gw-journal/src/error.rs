use std::io;

/// Error of a journal operation.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process has locked the data folder.
    #[error("the data folder is in use by another process")]
    Locked,
    /// An operation of the storage failed.
    #[error("{action} {file}: {source}")]
    Storage {
        /// The operation that failed.
        action: &'static str,
        /// Name of the file; empty if the operation concerns the folder.
        file: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A file is corrupt before its tail, so records that were synced are lost.
    #[error("{file} is damaged at offset {offset}: {reason}")]
    Corrupt {
        /// Name of the corrupt file.
        file: String,
        /// Offset of the first corrupt record, in bytes.
        offset: u64,
        /// Why the record is invalid.
        reason: &'static str,
    },
    /// An earlier write or sync failed, so it is unknown which data is durable. The journal must be
    /// opened again.
    #[error("the journal rejects writes after an earlier failure")]
    Failed,
    /// An index to append or truncate at is not the one that the journal requires.
    #[error("record index is {found}, but {expected} is expected")]
    OutOfOrder {
        /// The index that was passed.
        found: u64,
        /// The index of the next record, or for a truncation the lowest permitted index.
        expected: u64,
    },
    /// The receiver of the recovered records has refused one.
    #[error("cannot take the record with index {index}: {reason}")]
    Refused {
        /// Index of the record.
        index: u64,
        /// Why it was refused.
        reason: String,
    },
    /// A record or snapshot is too large for its length field.
    #[error("payload of {len} bytes is too large")]
    TooLarge {
        /// Length of the payload in bytes.
        len: usize,
    },
}

impl Error {
    pub(crate) fn storage(action: &'static str, file: &str, source: io::Error) -> Self {
        Error::Storage { action, file: file.to_owned(), source }
    }
}
