use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::QuarantineEntry;
use crate::RecordKey;
use crate::RecordState;
use crate::RequestFingerprint;

/// Identifies a dispatcher's claim to be the only one that runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The dispatcher that makes the claim.
    pub host: HostId,
    /// The run of the dispatcher's process.
    pub boot: BootId,
    /// Unique within the run.
    pub number: u64,
}

/// An idempotency record as one of its holders stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifies the record.
    pub key: RecordKey,
    /// The claim that the holder has granted.
    pub claim: ClaimId,
    /// Identifies the request that the idempotency key was used for.
    pub fingerprint: RequestFingerprint,
    /// [`RecordState::AboutToRun`] until the dispatcher reports how the request ended.
    pub state: RecordState,
}

/// A holder's response to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The holder stores the record and will grant no other claim on its key.
    Granted,
    /// The holder has granted another claim before; the value is its record.
    Conflict(ClaimRecord),
    /// The holder has restarted and may have lost an earlier grant, so it cannot rule out another
    /// claim.
    Incomplete,
    /// The holder is at its limit of records or bytes.
    Full,
}

/// Messages about idempotency records between a dispatcher and the holders of their copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordMessage {
    /// Asks the receiver to grant a claim and to store its record.
    Claim {
        /// Service of the request.
        service: ServiceName,
        /// The record in state [`RecordState::AboutToRun`].
        record: ClaimRecord,
    },
    /// Response to [`RecordMessage::Claim`].
    ClaimResponse {
        /// The claim that the response is for.
        claim: ClaimId,
        /// Whether the claim is granted.
        response: ClaimResponse,
    },
    /// Withdraws a claim: its request was not run and will not be run under it.
    Release {
        /// Service of the request.
        service: ServiceName,
        /// Identifies the record.
        key: RecordKey,
        /// The claim to withdraw.
        claim: ClaimId,
    },
    /// Reports how the request of a claim ended.
    End {
        /// Service of the request.
        service: ServiceName,
        /// The record in its final state.
        record: ClaimRecord,
    },
    /// Acknowledges [`RecordMessage::End`].
    EndAck {
        /// The claim that has ended.
        claim: ClaimId,
    },
    /// Asks for all records of a service; sent by a holder that has restarted.
    Fetch {
        /// The service whose records are requested.
        service: ServiceName,
        /// Identifies the fetch; echoed in [`RecordMessage::Records`].
        request: u64,
    },
    /// One part of the response to [`RecordMessage::Fetch`].
    Records {
        /// The service that the records belong to.
        service: ServiceName,
        /// Identifies the fetch.
        request: u64,
        /// Index of the part, from 0.
        part: u32,
        /// Whether no further part follows.
        is_last: bool,
        /// Whether the sender has lost no record, for instance by a restart.
        is_complete: bool,
        /// The records of this part.
        records: Vec<ClaimRecord>,
    },
}

/// Messages that synchronize the quarantine between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Entries that the sender holds.
    Entries(Vec<QuarantineEntry>),
    /// Digest of the sender's entries. A receiver whose digest differs responds with its entries.
    Digest(u64),
}
