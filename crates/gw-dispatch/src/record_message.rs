use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::QuarantineEntry;
use crate::RecordKey;
use crate::RecordState;
use crate::RequestFingerprint;

/// One attempt of one dispatcher to be the only one that runs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The dispatcher.
    pub host: HostId,
    /// Its run.
    pub boot: BootId,
    /// Never used twice in one run.
    pub number: u64,
}

/// A record as one of its holders knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifies the record.
    pub key: RecordKey,
    /// The claim that the holder granted.
    pub claim: ClaimId,
    /// The request that the key was used for.
    pub fingerprint: RequestFingerprint,
    /// [`RecordState::AboutToRun`] until the dispatcher tells the end.
    pub state: RecordState,
}

/// What a holder says to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// The holder keeps a copy for this claim and will grant no other.
    Granted,
    /// Another claim came first.
    Conflict(ClaimRecord),
    /// The holder has restarted and may have forgotten a claim, so its grant would prove nothing.
    Incomplete,
    /// The holder has no room for a further record.
    Full,
}

/// Messages about idempotency records between a dispatcher and the holders of copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordMessage {
    /// Asks for a copy of the record "about to run".
    Claim {
        /// The service.
        service: ServiceName,
        /// The record.
        record: ClaimRecord,
    },
    /// Answer to a claim.
    ClaimResponse {
        /// The claim.
        claim: ClaimId,
        /// The answer.
        response: ClaimResponse,
    },
    /// The claim's request was not run and will not be run under this claim.
    Release {
        /// The service.
        service: ServiceName,
        /// Identifies the record.
        key: RecordKey,
        /// The claim.
        claim: ClaimId,
    },
    /// How the claim's request ended.
    End {
        /// The service.
        service: ServiceName,
        /// The record in its final state.
        record: ClaimRecord,
    },
    /// The sender knows how the claim's request ended.
    EndAck {
        /// The claim.
        claim: ClaimId,
    },
    /// A restarted holder asks for all records of a service.
    Fetch {
        /// The service.
        service: ServiceName,
        /// Echoed by the answers.
        request: u64,
    },
    /// Part of the answer to a fetch.
    Records {
        /// The service.
        service: ServiceName,
        /// The fetch.
        request: u64,
        /// Position of the part, from 0.
        part: u32,
        /// Whether it is the last part.
        is_last: bool,
        /// Whether the sender has forgotten nothing.
        is_complete: bool,
        /// The records.
        records: Vec<ClaimRecord>,
    },
}

/// Messages about requests that crash targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Fingerprints that the sender knows.
    Entries(Vec<QuarantineEntry>),
    /// Digest of all that the sender knows; a receiver with another digest sends its entries.
    Digest(u64),
}
