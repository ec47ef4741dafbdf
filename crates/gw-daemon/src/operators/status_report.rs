use gw_node::HostNode;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use serde::Deserialize;
use serde::Serialize;

use crate::operators::KeyReport;
use crate::operators::reachability::Reachability;

/// State of the system as seen by one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the host that answers.
    pub host: HostName,
    /// Whether the state of the host is at least as new as that in force when it started, and the
    /// host is not shutting down.
    pub is_ready: bool,
    /// Index of the last control log entry that the host has applied.
    pub control_index: u64,
    /// Leader of the control group; absent if the host does not know it.
    pub control_leader: Option<HostName>,
    /// All hosts of the system.
    pub hosts: Vec<HostReport>,
    /// All zones of which the host has a zone table.
    pub zones: Vec<ZoneReport>,
    /// Reachability of the slots of each keyed service.
    pub keys: Vec<KeyReport>,
}

/// State of one host as seen by the host that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: HostName,
    /// Zone of the host.
    pub zone: ZoneName,
    /// Whether the host is ready; by its last heartbeat unless it is the host that answers. Absent
    /// if no heartbeat was received.
    pub is_ready: Option<bool>,
    /// Milliseconds since the host became unreachable. Absent while it is reachable, or if it is
    /// not expected to send heartbeats to the host that answers.
    pub unreachable_ms: Option<u64>,
}

/// State of one zone as seen by the host that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Host with the latest grant of the zone lease; absent if there was no grant.
    pub leader: Option<HostName>,
    /// Milliseconds since the last heartbeat of any host of the zone; absent while the zone is
    /// reachable.
    pub unreachable_ms: Option<u64>,
    /// Term of the zone table's version.
    pub table_term: u32,
    /// Number of the zone table's version within the term.
    pub table_number: u64,
    /// Targets that the zone table lists.
    pub targets: Vec<TargetReport>,
    /// Keyed services of which the zone holds slots.
    pub services: Vec<ServiceReport>,
}

/// State of one target by the zone table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target.
    pub target: TargetName,
    /// Service of the target.
    pub service: ServiceName,
    /// Boot ID of the target's process.
    pub boot: BootId,
    /// State of the target.
    pub state: TargetState,
    /// Host that may send requests to the target; absent while there is none.
    pub dispatcher: Option<HostName>,
    /// Number of slots that the target owns.
    pub slots: u32,
    /// Number of keys that the target owns by an override of their slot's owner.
    pub keys: u32,
}

/// Slots of one keyed service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of slots that the zone holds.
    pub slots: u32,
    /// Number of these slots that have no owner.
    pub unowned_slots: u32,
}

impl StatusReport {
    /// Creates the report of `node` at `now`.
    pub fn of(node: &HostNode, now: Timestamp) -> Self {
        let name_of = |id: HostId| host_name(node, id);
        Self {
            host: node.entry().name.clone(),
            is_ready: node.is_ready(),
            control_index: node.control_state().applied(),
            control_leader: node.control_leader().and_then(name_of),
            hosts: node.hosts().iter().map(|entry| host_report(node, entry, now)).collect(),
            zones: node.zone_tables().iter().map(|table| zone_report(node, table, now)).collect(),
            keys: KeyReport::all(node, now),
        }
    }
}

fn host_name(node: &HostNode, id: HostId) -> Option<HostName> {
    let entry = node.hosts().iter().find(|entry| entry.id == id)?;
    Some(entry.name.clone())
}

fn host_report(node: &HostNode, entry: &gw_types::HostEntry, now: Timestamp) -> HostReport {
    let status = node.directory().status(entry.id);
    let is_own = entry.id == node.entry().id;
    let unreachable = status.and_then(|status| status.unreachable_since);
    HostReport {
        host: entry.name.clone(),
        zone: entry.zone.clone(),
        is_ready: match status.filter(|status| status.boot.is_some()) {
            _ if is_own => Some(node.is_ready()),
            Some(status) => Some(status.is_ready),
            None => None,
        },
        unreachable_ms: unreachable.map(|since| now.since(since).as_millis() as u64),
    }
}

fn zone_report(node: &HostNode, table: &ZoneTable, now: Timestamp) -> ZoneReport {
    let grant = node.control_view().grant(table.zone.as_str());
    let silence = Reachability::new(node, now).time_since_heartbeat(table.zone.as_str());
    ZoneReport {
        zone: table.zone.clone(),
        leader: grant.and_then(|grant| host_name(node, grant.host)),
        unreachable_ms: silence.map(|silence| silence.as_millis() as u64),
        table_term: table.version.term.0,
        table_number: table.version.number,
        targets: table.targets.iter().map(|entry| target_report(node, table, entry)).collect(),
        services: table.services.iter().map(service_report).collect(),
    }
}

fn target_report(
    node: &HostNode,
    table: &ZoneTable,
    entry: &gw_types::TargetEntry,
) -> TargetReport {
    let service = table.service(entry.service.as_str());
    let ranges = service.map_or(&[][..], |service| &service.ranges);
    let owned = ranges.iter().filter(|range| range.owner.as_ref() == Some(&entry.name));
    let overrides = service.map_or(&[][..], |service| &service.overrides);
    let keys = overrides.iter().filter(|key| key.owner.as_ref() == Some(&entry.name));
    TargetReport {
        target: entry.name.clone(),
        service: entry.service.clone(),
        boot: entry.boot,
        state: entry.state,
        dispatcher: entry.dispatcher.and_then(|host| host_name(node, host)),
        slots: owned.map(slot_count).sum(),
        keys: keys.count() as u32,
    }
}

fn service_report(service: &gw_types::ServiceTable) -> ServiceReport {
    let unowned = service.ranges.iter().filter(|range| range.owner.is_none());
    ServiceReport {
        service: service.service.clone(),
        slots: service.ranges.iter().map(slot_count).sum(),
        unowned_slots: unowned.map(slot_count).sum(),
    }
}

fn slot_count(range: &gw_types::SlotRange) -> u32 {
    u32::from(range.last - range.first) + 1
}
