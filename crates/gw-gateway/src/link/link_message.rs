use std::net::SocketAddr;
use std::time::Duration;

use gw_agreement::Message;
use gw_balance::LimitTable;
use gw_balance::TargetLimit;
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
use gw_types::Timestamp;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::link::ColdMessage;
use crate::link::WarmthReport;

/// Identifies a call among those of its sender.
pub(crate) type CallId = u64;

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HostKind {
    /// Serves callers' requests.
    Entry,
    /// Runs a replica of the control group.
    Control,
}

/// Why a call between hosts failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallFailure {
    /// The receiver is not the leader.
    NotLeader,
    /// The receiver is the leader but has no majority, or too many proposals are pending.
    Unavailable,
}

/// Result of a call between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CallResult {
    /// The command was committed.
    Committed(FleetOutcome),
    /// Read index: everything acknowledged before the call is in the log up to this index.
    ReadIndex(u64),
    /// Outcome of a relayed order.
    Order(OrderOutcome),
    /// The call failed. It had no effect, or its effect is unknown.
    Failed(CallFailure),
}

/// Number of requests for one service by key, since the last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceHeat {
    pub(crate) service: ServiceName,
    /// Pairs of key and count.
    pub(crate) counts: Vec<(u16, u32)>,
}

/// Requests that a target answered without failure, or turned away, since the last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RunReport {
    /// Run of the target that answered.
    pub(crate) holder: RangeHolder,
    /// Number of requests that it answered.
    pub(crate) runs: u32,
    /// Sum of their response times, in milliseconds.
    pub(crate) milliseconds: u32,
    /// Number of requests that it turned away and asked the host for rest.
    pub(crate) rests: u32,
    /// Remaining time of that rest, in milliseconds.
    pub(crate) rest_millis: u32,
}

/// What a run of a target last said about the rate of requests that it takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    pub(crate) holder: RangeHolder,
    /// Requests per second from all entry hosts together; `None` if it takes all.
    pub(crate) per_second: Option<f64>,
    /// Time since it said so, in milliseconds; clocks of hosts are not synchronized.
    pub(crate) age_millis: u32,
}

impl LimitReport {
    /// Returns the reports about all limits in `table`.
    pub(crate) fn of(now: Timestamp, table: &LimitTable) -> Vec<Self> {
        let report = |limit: &TargetLimit| Self {
            holder: limit.holder.clone(),
            per_second: limit.per_second,
            age_millis: u32::try_from(now.since(limit.stated_at).as_millis()).unwrap_or(u32::MAX),
        };
        table.limits().iter().map(report).collect()
    }

    /// Returns the statement on the receiver's clock.
    pub(crate) fn received(&self, now: Timestamp) -> TargetLimit {
        let age = Duration::from_millis(u64::from(self.age_millis));
        let (holder, per_second) = (self.holder.clone(), self.per_second);
        TargetLimit { holder, per_second, stated_at: now - age }
    }
}

/// Logs that a target has named another limit, or none.
pub(crate) fn log_limit(holder: &RangeHolder, per_second: Option<f64>) {
    let named = per_second.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    log::info!("event=target_limit target={holder} per_second={named}");
}

/// Observations of an entry host since its previous report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    /// The host's monotonic clock in nanoseconds.
    pub(crate) clock: u64,
    /// Log index of the state that the entry host has applied.
    pub(crate) applied: u64,
    /// Requests by service and key; empty unless the receiver is the leader.
    pub(crate) heat: Vec<ServiceHeat>,
    /// Answered requests by target; empty unless the receiver is the leader.
    pub(crate) runs: Vec<RunReport>,
    /// Requests that may have crashed targets, as far as something has changed since the last report
    /// on this connection; empty unless the receiver is the leader.
    pub(crate) crashes: Vec<QuarantineEntry>,
    /// Limits that targets have named; empty unless the receiver is the leader.
    pub(crate) limits: Vec<LimitReport>,
    /// Targets that have said in an answer that they leave and have not announced it; empty unless
    /// the receiver is the leader.
    pub(crate) leaving: Vec<RangeHolder>,
    /// Whether the host can forward requests of others to targets.
    pub(crate) takes_relays: bool,
}

/// An entry host that forwards requests for others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayReport {
    /// Where it accepts requests of other entry hosts.
    pub(crate) address: SocketAddr,
    /// Whether it is in the receiver's availability zone.
    pub(crate) is_same_zone: bool,
}

/// Information for entry hosts beyond the replicated state. Sent only when it has changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadDetails {
    pub(crate) replicas: Vec<ReplicaRecord>,
    /// Connected entry hosts in the receiver's availability zone. Complete on the leader and on
    /// control hosts of that zone.
    pub(crate) zone_hosts: Vec<HostName>,
    /// Requests that may have crashed several targets, merged from the reports of all entry hosts.
    pub(crate) crashes: Vec<QuarantineEntry>,
    /// Zones of the connected control hosts, by their address in `replicas`.
    pub(crate) control_zones: Vec<(SocketAddr, ZoneName)>,
    /// Address of the leader that the control host follows, or its own.
    pub(crate) leader: Option<SocketAddr>,
    /// From the leader: entry hosts that forward requests for the receiver while it cannot reach
    /// targets itself.
    pub(crate) relays: Vec<RelayReport>,
}

/// Fraction of the requests for an overloaded holder's keys that entry hosts may send to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ShareReport {
    pub(crate) holder: RangeHolder,
    /// The fraction in thousandths.
    pub(crate) permille: u16,
}

/// Periodic message of a control host to entry hosts. Kept small because it is sent to each of
/// them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadMessage {
    /// Log index of the state that the control host has applied.
    pub(crate) index: u64,
    /// Whether the control host is in contact with a majority, directly or through the leader.
    pub(crate) is_current: bool,
    /// Whether the control host is the confirmed leader.
    pub(crate) is_leader: bool,
    /// Number of connected entry hosts in all zones. Complete only on the leader, which all of them
    /// connect to.
    pub(crate) host_count: u32,
    /// From the leader: holders that receive more requests than they can process, sorted by holder.
    pub(crate) shares: Vec<ShareReport>,
    /// From the leader: limits that targets have named to any entry host.
    pub(crate) limits: Vec<LimitReport>,
    /// `None` if nothing has changed since the last message on this connection.
    pub(crate) details: Option<HeadDetails>,
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LinkMessage {
    /// First message of either side.
    Hello {
        host: HostName,
        zone: ZoneName,
        kind: HostKind,
        /// Where the host accepts requests of other entry hosts; `None` on control hosts.
        relay: Option<SocketAddr>,
    },
    /// Keep-alive probe.
    Ping,
    /// Reply to [`LinkMessage::Ping`].
    Pong,
    /// Consensus message between replicas.
    Agreement { from: HostId, to: HostId, message: Message },
    /// A replica without an id asks for one. The reply is [`LinkMessage::Welcome`].
    Join { folder: u64, peers: SocketAddr, calls: SocketAddr },
    /// The id assigned to the replica, and all replicas.
    Welcome { id: HostId, replicas: Vec<ReplicaRecord> },
    /// The receiving replica was removed from the group and has to join again.
    Removed { id: HostId },
    /// Asks the leader to commit a command.
    Propose { call: CallId, command: FleetCommand },
    /// Asks the leader for the index that a linearizable read has to wait for.
    ReadFence { call: CallId },
    /// Reply to a call.
    Answer { call: CallId, result: CallResult },
    /// Targets that announced themselves to a follower without a change to their record.
    Heard { targets: Vec<TargetName> },
    /// See [`HeadMessage`].
    Head(HeadMessage),
    /// An entry host requests the commands after index `after`; with `stream`, also all later ones
    /// as they are applied.
    Fetch { after: u64, stream: bool },
    /// The commands after index `after` up to `through`.
    Updates { after: u64, through: u64, commands: Vec<(u64, FleetCommand)> },
    /// The complete state at `index`.
    Snapshot { index: u64, state: Box<FleetState> },
    /// The leader asks an entry host to relay an order to a target that it cannot reach itself.
    RunOrder {
        call: CallId,
        order: TargetOrder,
        address: SocketAddr,
        /// Latest time on the entry host's clock at which the order may be sent, in nanoseconds.
        send_before: u64,
    },
    /// See [`EntryReport`].
    Report(EntryReport),
    /// The replica `id` tells the leader that its host has been told to stop.
    Leaving { id: HostId },
    /// The complete state at `index`, in the form of [`FleetState::snapshot`]. In place of
    /// [`LinkMessage::Snapshot`] for hosts that support [`gw_fleet::FormatVersion::EVACUATIONS`].
    EncodedState {
        index: u64,
        #[serde(with = "gw_types::raw_bytes")]
        state: Vec<u8>,
    },
    /// Part of the encoded form of another message, followed by parts of `left` bytes in total. Sent
    /// only to hosts that support [`gw_fleet::FormatVersion::EVACUATIONS`].
    Fragment {
        left: u32,
        #[serde(with = "gw_types::raw_bytes")]
        bytes: Vec<u8>,
    },
    /// Tells the leader for how long targets stay cold. Only for hosts that support
    /// [`gw_fleet::FormatVersion::EVACUATIONS`].
    Warmth { reports: Vec<WarmthReport> },
    /// See [`ColdMessage`]. Only for hosts that support
    /// [`gw_fleet::FormatVersion::EVACUATIONS`].
    ColdTargets(ColdMessage),
    /// Processing times that targets have stated to an entry host, in percent of the usual ones. Only
    /// for leaders that support [`gw_fleet::FormatVersion::EVACUATIONS`].
    TargetPaces { percents: Vec<(RangeHolder, u16)> },
}
