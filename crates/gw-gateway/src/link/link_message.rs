use std::net::SocketAddr;

use gw_agreement::Message;
use gw_dispatch::QuarantineEntry;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::ReplicaRecord;
use gw_ranges::OrderOutcome;
use gw_ranges::RangeHolder;
use gw_ranges::TargetOrder;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Names a call among those of its sender.
pub(crate) type CallId = u64;

/// What a host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HostKind {
    /// Takes callers' requests.
    Entry,
    /// Runs a replica of the control group.
    Control,
}

/// Why a call between hosts failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallFailure {
    /// The receiver does not lead.
    NotLeader,
    /// The receiver leads and cannot act: no majority, or too much is waiting.
    Unavailable,
}

/// The answer to a call between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CallResult {
    /// The command was committed.
    Committed(FleetOutcome),
    /// Everything acknowledged before the call is at most at this index.
    ReadIndex(u64),
    /// An order was carried out, or not.
    Order(OrderOutcome),
    /// The call failed and had no effect, or its effect is not known.
    Failed(CallFailure),
}

/// Requests by key since the last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceHeat {
    pub(crate) service: ServiceName,
    /// Key and count.
    pub(crate) counts: Vec<(u16, u32)>,
}

/// Runs that a target answered since the last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RunReport {
    pub(crate) holder: RangeHolder,
    pub(crate) runs: u32,
    /// Time to answer of all of them together, in milliseconds.
    pub(crate) milliseconds: u32,
}

/// What an entry host has seen since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    /// The host's clock in nanoseconds.
    pub(crate) clock: u64,
    /// Index of the state that it has applied.
    pub(crate) applied: u64,
    pub(crate) heat: Vec<ServiceHeat>,
    /// Targets that answered.
    pub(crate) runs: Vec<RunReport>,
    /// Requests that broke connections, when something about them is new.
    pub(crate) crashes: Vec<QuarantineEntry>,
}

/// What entry hosts have to know beside the state. Sent when it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadDetails {
    pub(crate) replicas: Vec<ReplicaRecord>,
    /// Entry hosts of the receiver's zone that are connected.
    pub(crate) zone_hosts: Vec<HostName>,
    /// What all entry hosts know of requests that crash targets.
    pub(crate) crashes: Vec<QuarantineEntry>,
}

/// The part of the requests for a holder's keys that it can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ShareReport {
    pub(crate) holder: RangeHolder,
    /// Of a thousand requests.
    pub(crate) permille: u16,
}

/// What a control host tells entry hosts regularly. Kept small: it is sent to each of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadMessage {
    /// Index of the state that it has applied.
    pub(crate) index: u64,
    /// Whether it is in contact with a majority, directly or through the leader.
    pub(crate) is_current: bool,
    /// Whether it leads the control group.
    pub(crate) is_leader: bool,
    /// Entry hosts of all zones that are connected.
    pub(crate) host_count: u32,
    /// From the leader: holders that are asked for more than they can run, sorted by holder.
    pub(crate) shares: Vec<ShareReport>,
    /// `None` if nothing has changed on this connection.
    pub(crate) details: Option<HeadDetails>,
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LinkMessage {
    /// First message of the side that connected.
    Hello { host: HostName, zone: ZoneName, kind: HostKind },
    /// Asks for a sign of life.
    Ping,
    /// A sign of life.
    Pong,
    /// Between replicas.
    Agreement { from: HostId, to: HostId, message: Message },
    /// A replica without id asks for one. Answered with [`LinkMessage::Welcome`].
    Join { folder: u64, peers: SocketAddr, calls: SocketAddr },
    /// The id of a replica, and the others.
    Welcome { id: HostId, replicas: Vec<ReplicaRecord> },
    /// The replica was removed from the group and has to join anew.
    Removed { id: HostId },
    /// Asks the leader to commit a command.
    Propose { call: CallId, command: FleetCommand },
    /// Asks the leader for the index that a read has to wait for.
    ReadFence { call: CallId },
    /// Answer to a call.
    Answer { call: CallId, result: CallResult },
    /// Targets that announced themselves without a change.
    Heard { targets: Vec<TargetName> },
    /// See [`HeadMessage`].
    Head(HeadMessage),
    /// An entry host asks for what follows `after`; `stream`: and for all that comes.
    Fetch { after: u64, stream: bool },
    /// Commands after `after`, up to `through`.
    Updates { after: u64, through: u64, commands: Vec<(u64, FleetCommand)> },
    /// The whole state.
    Snapshot { index: u64, state: Box<FleetState> },
    /// The leader asks an entry host to carry an order to a target that it cannot reach itself.
    RunOrder {
        call: CallId,
        order: TargetOrder,
        address: SocketAddr,
        /// The order must not be sent later than this on the entry host's clock, in nanoseconds.
        send_before: u64,
    },
    /// What an entry host has seen.
    Report(EntryReport),
}
