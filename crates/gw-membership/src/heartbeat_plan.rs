use std::time::Duration;

use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::ZoneName;

/// Time between two heartbeats to the same host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Most zone peers that all exchange heartbeats with each other. In larger zones each host has a
/// ring of neighbours and the zone leader, so that its traffic does not grow with the zone.
pub const MAX_FULL_MESH_PEERS: usize = 6;

/// Neighbours on each side of the ring. Two, so that the loss of one neighbour leaves another.
const RING_REACH: usize = 2;

/// Members of a large zone that the zone leader sends to in each beat, in turn.
const MEMBERS_PER_BEAT: usize = 4;

/// One heartbeat in this many carries the versions of zone tables: one a second.
const TABLES_EVERY: u64 = 4;

/// Whom one host sends heartbeats to.
#[derive(Clone, Debug)]
pub struct HeartbeatPlan {
    host: HostId,
    zone: ZoneName,
    is_control: bool,
    /// Other hosts of the zone, in ring order from this host on.
    peers: Vec<HostId>,
    /// Other control replicas.
    controls: Vec<HostId>,
}

impl HeartbeatPlan {
    /// The plan of `own` among `hosts`, which is the same list on every host.
    pub fn new(own: &HostEntry, hosts: &[HostEntry]) -> Self {
        let others = || hosts.iter().filter(|host| host.id != own.id);
        let mut peers: Vec<_> =
            others().filter(|host| host.zone == own.zone).map(|host| host.id).collect();
        peers.sort_unstable();
        let start = peers.partition_point(|id| *id < own.id);
        peers.rotate_left(start);
        let controls = others().filter(|host| host.control).map(|host| host.id).collect();
        Self { host: own.id, zone: own.zone.clone(), is_control: own.control, peers, controls }
    }

    /// The receivers of heartbeat number `beat`, sorted. `leaders` are the zone leaders that the
    /// host knows of.
    pub fn receivers(&self, beat: u64, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        let mut receivers = self.steady_peers(leaders);
        if self.is_leader(leaders) && !self.is_full_mesh() {
            receivers.extend(self.members_in_turn(beat));
        }
        self.finish(receivers, leaders)
    }

    /// The hosts that send to this one in every beat, sorted. Only these can be told to be
    /// unreachable by missing heartbeats.
    pub fn expected_senders(&self, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        let mut senders = self.steady_peers(leaders);
        if self.is_leader(leaders) {
            senders.extend_from_slice(&self.peers);
        } else if !self.is_full_mesh() {
            let ring = self.ring();
            let is_across = self.is_control;
            senders.retain(|id| ring.contains(id) || is_across);
        }
        self.finish(senders, leaders)
    }

    /// Whether heartbeat number `beat` carries the versions of zone tables.
    pub fn carries_tables(&self, beat: u64) -> bool {
        beat.is_multiple_of(TABLES_EVERY)
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
        self.ring().into_iter().chain(own_leader).collect()
    }

    fn ring(&self) -> Vec<HostId> {
        let next = self.peers.iter().take(RING_REACH);
        let previous = self.peers.iter().rev().take(RING_REACH);
        next.chain(previous).copied().collect()
    }

    fn members_in_turn(&self, beat: u64) -> impl Iterator<Item = HostId> {
        let count = self.peers.len();
        let start = (beat as usize).wrapping_mul(MEMBERS_PER_BEAT) % count;
        (0..MEMBERS_PER_BEAT.min(count)).map(move |step| self.peers[(start + step) % count])
    }

    /// Adds the hosts across zones, if this host talks to them.
    fn finish(&self, mut ids: Vec<HostId>, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        if self.is_control || self.is_leader(leaders) {
            ids.extend_from_slice(&self.controls);
            ids.extend(leaders.iter().map(|(_, id)| *id));
        }
        ids.retain(|id| *id != self.host);
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}
