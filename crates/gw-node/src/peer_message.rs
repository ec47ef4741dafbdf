use gw_agreement::Message as AgreementMessage;
use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::EntryBatch;
use gw_dispatch::QuarantineMessage;
use gw_dispatch::RecordMessage;
use gw_lease::DispatcherAnswer;
use gw_lease::DispatcherGrant;
use gw_lease::LeaseAnswer;
use gw_lease::LeaseRequest;
use gw_lease::PromiseAnswer;
use gw_lease::PromiseRequest;
use gw_membership::Heartbeat;
use gw_membership::RelayBatch;
use gw_placement::DrainDone;
use gw_placement::DrainRequest;
use gw_placement::TableDelta;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use serde::Deserialize;
use serde::Serialize;

/// A message between two hosts. Each is sent in a frame of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Replication, votes and snapshots between control replicas.
    Agreement(AgreementMessage),
    /// Asks for a command to be appended to the control log.
    Propose {
        /// Chosen by the sender and repeated in the answer.
        request: u64,
        /// The command to append.
        command: ControlCommand,
    },
    /// Answer to `Propose`.
    ProposeAnswer {
        /// `request` of the proposal.
        request: u64,
        /// Whether the command was committed, and with which outcome.
        answer: ProposalAnswer,
    },
    /// Asks for committed control log entries after `applied`.
    ControlFetch {
        /// Index of the last entry that the sender has applied.
        applied: u64,
    },
    /// Committed control log entries, in answer to `ControlFetch`.
    ControlEntries(EntryBatch),
    /// Snapshot of the control state, in answer to a `ControlFetch` whose next entries are no
    /// longer kept.
    ControlSnapshot(Vec<u8>),
    /// Asks the control leader to grant, renew or release the lease of a zone.
    LeaseRequest(LeaseRequest),
    /// Answer to a lease request.
    LeaseAnswer(LeaseAnswer),
    /// Asks an entry host of the zone for a promise to support the sender as zone leader.
    PromiseRequest(PromiseRequest),
    /// Answer to a promise request.
    PromiseAnswer(PromiseAnswer),
    /// Lease under which the receiver may send requests to the listed targets.
    DispatcherGrant(DispatcherGrant),
    /// Answer to a dispatcher grant.
    DispatcherAnswer(DispatcherAnswer),
    /// Liveness, digests and known leaders.
    Heartbeat(HostHeartbeat),
    /// A table of the receiver's own zone, of which the receiver is to hold a copy.
    TableOffer {
        /// The whole table, or the changes from the version before.
        content: TableContent,
        /// Whether the table is acknowledged. Otherwise it may be held but not used for routing.
        acknowledged: bool,
    },
    /// Answer to `TableOffer`: the sender holds this version of its zone's table.
    TableHeld {
        /// The sender's zone.
        zone: ZoneName,
        /// The highest version that the sender holds.
        version: TableVersion,
    },
    /// The zone leader has acknowledged a table that the receiver should already hold.
    TableCommit {
        /// The zone of the table.
        zone: ZoneName,
        /// The acknowledged version.
        version: TableVersion,
    },
    /// An acknowledged table of any zone.
    TableUpdate(TableContent),
    /// Asks for the whole table of a zone.
    TableFetch {
        /// The zone of the table.
        zone: ZoneName,
        /// Whether the answer may be a table that is held but not acknowledged.
        held: bool,
    },
    /// Announcements, renewals, reports and traffic of targets, from an entry host to a zone
    /// leader.
    Relay(RelayBatch),
    /// Asks a dispatcher to finish the requests in flight that a handover waits for.
    DrainRequest(DrainRequest),
    /// Answer to `DrainRequest`: no request that the handover waits for is in flight, and none will
    /// be sent.
    DrainDone(DrainDone),
    /// Load that a dispatcher measured, for the zone leader.
    Load(LoadReport),
    /// Idempotency records. Handled by the daemon, not by the host's state machines.
    Records(RecordMessage),
    /// Requests that crash targets. Handled by the daemon, not by the host's state machines.
    Quarantine(QuarantineMessage),
}

/// A heartbeat with what the sender knows of leaders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Sequence number, readiness and digest of the sender's state.
    pub heartbeat: Heartbeat,
    /// Term under which the sender holds its zone's lease; absent if it does not hold it.
    pub zone_term: Option<TermNumber>,
    /// The control leader as last known to the sender; absent if it knows none.
    pub control_leader: Option<HostId>,
    /// Whether the sender has applied the control log up to what was in force when it started; see
    /// [`HostNode::has_caught_up`](crate::HostNode::has_caught_up).
    pub has_caught_up: bool,
}

/// A zone table, either whole or as a delta.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableContent {
    /// The whole table.
    Full(ZoneTable),
    /// The changes from the version before.
    Delta(TableDelta),
}

impl TableContent {
    /// The zone that the table describes.
    pub fn zone(&self) -> &ZoneName {
        match self {
            TableContent::Full(table) => &table.zone,
            TableContent::Delta(delta) => &delta.zone,
        }
    }
}

/// Load that a dispatcher measured for one service since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service that the requests were for.
    pub service: ServiceName,
    /// The keys with the most load, each with its service time in microseconds.
    pub keys: Vec<(KeyHash, u32)>,
    /// Service time in microseconds of all other keys, by slot.
    pub slots: Vec<(SlotIndex, u32)>,
}

/// Result of a proposal to the control log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalAnswer {
    /// The command was committed with this outcome.
    Done(ControlOutcome),
    /// The asked host is not the control leader, or lost the leadership before the command was
    /// committed. Names the leader if it knows one.
    NotLeader(Option<HostId>),
    /// The leader cannot append the command now, for example because too many bytes wait to be
    /// committed. The sender should retry later.
    Busy,
}
