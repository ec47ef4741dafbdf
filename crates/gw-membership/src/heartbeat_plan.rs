use std::time::Duration;

use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::ZoneName;

/// Interval between two heartbeats of a host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of other hosts in a zone for which all hosts of the zone exchange heartbeats with
/// each other. In a larger zone each host exchanges them with its ring neighbours and the zone
/// leader only, so that its traffic does not grow with the zone.
pub const MAX_FULL_MESH_PEERS: usize = 6;

/// Number of ring neighbours on each side. With two, the loss of one neighbour leaves another.
const NEIGHBOURS_PER_SIDE: usize = 2;

/// Number of hosts of a large zone to which its leader sends each heartbeat, in rotation.
const MEMBERS_PER_HEARTBEAT: usize = 4;

/// Period, in heartbeats, with which the versions of zone tables are sent: once per second.
const TABLES_PERIOD: u64 = 4;

/// Decides which hosts a host sends heartbeats to and which it expects them from.
///
/// Within a zone the hosts form a full mesh or, if it is large, a ring with the zone leader in
/// contact with all. Across zones, control replicas and zone leaders exchange heartbeats.
#[derive(Clone, Debug)]
pub struct HeartbeatPlan {
    host: HostId,
    zone: ZoneName,
    is_control: bool,
    /// Other hosts of the zone in ring order, starting after this host.
    peers: Vec<HostId>,
    /// Other hosts that run a control replica.
    control_hosts: Vec<HostId>,
}

impl HeartbeatPlan {
    /// Creates the plan of host `own`. `hosts` must be the same list on every host.
    pub fn new(own: &HostEntry, hosts: &[HostEntry]) -> Self {
        let others = || hosts.iter().filter(|host| host.id != own.id);
        let mut peers: Vec<_> =
            others().filter(|host| host.zone == own.zone).map(|host| host.id).collect();
        peers.sort_unstable();
        let start = peers.partition_point(|id| *id < own.id);
        peers.rotate_left(start);
        let control_hosts = others().filter(|host| host.control).map(|host| host.id).collect();
        Self { host: own.id, zone: own.zone.clone(), is_control: own.control, peers, control_hosts }
    }

    /// Returns the receivers of heartbeat number `beat`, sorted. `leaders` are the zone leaders
    /// that the host knows.
    pub fn receivers(&self, beat: u64, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        let mut receivers = self.steady_peers(leaders);
        if self.is_leader(leaders) && !self.is_full_mesh() {
            receivers.extend(self.members_in_rotation(beat));
        }
        self.with_remote_hosts(receivers, leaders)
    }

    /// Returns the hosts that send every heartbeat to this one, sorted. Only for these do missing
    /// heartbeats show that the host is unreachable.
    pub fn expected_senders(&self, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        let mut senders = self.steady_peers(leaders);
        if self.is_leader(leaders) {
            senders.extend_from_slice(&self.peers);
        } else if !self.is_full_mesh() {
            let ring_neighbours = self.ring_neighbours();
            let has_remote_peers = self.is_control;
            senders.retain(|id| ring_neighbours.contains(id) || has_remote_peers);
        }
        self.with_remote_hosts(senders, leaders)
    }

    /// Whether heartbeat number `beat` carries the versions of zone tables.
    pub fn carries_tables(&self, beat: u64) -> bool {
        beat.is_multiple_of(TABLES_PERIOD)
    }

    /// Whether all hosts of the zone exchange heartbeats with each other.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() <= MAX_FULL_MESH_PEERS
    }

    fn is_leader(&self, leaders: &[(ZoneName, HostId)]) -> bool {
        leaders.iter().any(|(zone, id)| *zone == self.zone && *id == self.host)
    }

    fn steady_peers(&self, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        if self.is_full_mesh() {
            return self.peers.clone();
        }
        let own_leader = leaders.iter().filter(|(zone, _)| *zone == self.zone).map(|(_, id)| *id);
        self.ring_neighbours().into_iter().chain(own_leader).collect()
    }

    fn ring_neighbours(&self) -> Vec<HostId> {
        let next = self.peers.iter().take(NEIGHBOURS_PER_SIDE);
        let previous = self.peers.iter().rev().take(NEIGHBOURS_PER_SIDE);
        next.chain(previous).copied().collect()
    }

    fn members_in_rotation(&self, beat: u64) -> impl Iterator<Item = HostId> {
        let count = self.peers.len();
        let start = (beat as usize).wrapping_mul(MEMBERS_PER_HEARTBEAT) % count;
        (0..MEMBERS_PER_HEARTBEAT.min(count))
            .map(move |offset| self.peers[(start + offset) % count])
    }

    /// Adds the control replicas and zone leaders if this host exchanges heartbeats with them, and
    /// sorts the list.
    fn with_remote_hosts(
        &self,
        mut ids: Vec<HostId>,
        leaders: &[(ZoneName, HostId)],
    ) -> Vec<HostId> {
        if self.is_control || self.is_leader(leaders) {
            ids.extend_from_slice(&self.control_hosts);
            ids.extend(leaders.iter().map(|(_, id)| *id));
        }
        ids.retain(|id| *id != self.host);
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}
