use std::time::Duration;

use gw_control::ControlCommand;
use gw_control::ProfileChange;
use gw_control::WallTime;
use gw_membership::TroubleKind;
use gw_node::CallId;
use gw_profile::Profile;
use gw_profile::Revision;
use gw_types::KeyHash;
use gw_types::ZoneName;

use crate::Cluster;
use crate::HostCounters;
use crate::HostRole;
use crate::MESSAGE_KINDS;
use crate::SimulatedHost;

/// Time after an event during which costs are attributed to it. Longer than the expiry of a
/// target's announcement (1.5 s) and the handover that follows.
const EVENT_WINDOW: Duration = Duration::from_secs(6);
/// Duration of a network partition between regions.
const PARTITION_LENGTH: Duration = Duration::from_secs(5);
/// Maximum number of hosts in one rack.
const RACK_HOSTS: usize = 4;
/// A rack holds at most one in this many of the entry hosts.
const RACK_SHARE: usize = 4;
/// Number of profile changes in a burst. The cost of one change is the cost of the burst divided by
/// it.
const BURST_CHANGES: u64 = 20;
/// Interval between two changes of a burst.
const BURST_GAP: Duration = Duration::from_millis(250);
/// Profile that the measured changes apply to. No service uses it.
const PROFILE_NAME: &str = "measured";
/// Number of keys that are sampled to find keys that a lost target owns.
const SAMPLED_KEYS: u32 = 4_000;

/// An event whose cost is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterEvent {
    /// No event: the baseline against which the costs of other events are read.
    Nothing,
    /// A target stops announcing itself.
    TargetLost,
    /// The process of an entry host without leading role stops and restarts after 1 s.
    HostRestarted,
    /// Several entry hosts of one zone stop at the same time and restart after 6 s.
    RackLost,
    /// An operator changes a profile repeatedly.
    ProfileBurst,
    /// All regions are partitioned from each other for 5 s.
    RegionsPartitioned,
}

impl ClusterEvent {
    /// All events in the order in which they are measured, cheapest recovery first.
    pub const ALL: [ClusterEvent; 6] = [
        ClusterEvent::Nothing,
        ClusterEvent::ProfileBurst,
        ClusterEvent::TargetLost,
        ClusterEvent::HostRestarted,
        ClusterEvent::RackLost,
        ClusterEvent::RegionsPartitioned,
    ];

    /// Returns the name in reports and CSV files.
    pub fn name(self) -> &'static str {
        match self {
            ClusterEvent::Nothing => "nothing",
            ClusterEvent::TargetLost => "target-lost",
            ClusterEvent::HostRestarted => "host-restarted",
            ClusterEvent::RackLost => "rack-lost",
            ClusterEvent::ProfileBurst => "profile-change",
            ClusterEvent::RegionsPartitioned => "regions-cut",
        }
    }

    /// Returns the number of occurrences in one measurement, by which the cost is divided.
    pub fn occurrences(self) -> u64 {
        if self == ClusterEvent::ProfileBurst { BURST_CHANGES } else { 1 }
    }
}

/// Cost of one occurrence of an event, summed over all hosts, in excess of the steady state.
#[derive(Clone, Debug, PartialEq)]
pub struct EventCost {
    /// Event that was measured.
    pub event: ClusterEvent,
    /// Number of frames sent.
    pub frames: f64,
    /// Bytes of the frames sent.
    pub bytes: f64,
    /// Largest number of bytes that one host sent during the measurement. Includes the steady state
    /// and is not divided by occurrences.
    pub most_host_bytes: f64,
    /// Number of control log entries that all replicas together wrote to their journals.
    pub journal_entries: f64,
    /// Bytes of the payloads of these entries.
    pub journal_bytes: f64,
    /// CPU time in milliseconds.
    pub cpu_millis: f64,
    /// Bytes of the frames sent by message kind, indexed as [`MESSAGE_KINDS`].
    pub kind_bytes: [f64; MESSAGE_KINDS.len()],
}

/// Causes one event and measures its cost in excess of the `steady` rate.
pub fn measure_event(cluster: &mut Cluster, event: ClusterEvent, steady: &SteadyRate) -> EventCost {
    let start = cluster.now();
    let before = cluster.counters();
    inject_event(cluster, event);
    cluster.run(EVENT_WINDOW);
    let after = cluster.counters();
    let seconds = cluster.now().since(start).as_secs_f64();
    let increases: Vec<_> =
        after.into_iter().zip(before).map(|(after, before)| after - before).collect();
    steady.cost_above(event, &increases, seconds)
}

fn inject_event(cluster: &mut Cluster, event: ClusterEvent) {
    match event {
        ClusterEvent::Nothing => {}
        ClusterEvent::TargetLost => cluster.stop_target(0),
        ClusterEvent::HostRestarted => restart_hosts(cluster, 1, Duration::from_secs(1)),
        ClusterEvent::RackLost => {
            let hosts = RACK_HOSTS.min(cluster.layout.hosts / RACK_SHARE);
            restart_hosts(cluster, hosts, Duration::from_secs(6));
        }
        ClusterEvent::ProfileBurst => {
            for number in 0..BURST_CHANGES {
                change_profile(cluster, number);
                cluster.run(BURST_GAP);
            }
        }
        ClusterEvent::RegionsPartitioned => {
            cluster.regions_partitioned = true;
            cluster.run(PARTITION_LENGTH);
            cluster.regions_partitioned = false;
        }
    }
}

fn restart_hosts(cluster: &mut Cluster, count: usize, downtime: Duration) {
    let hosts: Vec<_> = data_plane_hosts(cluster).into_iter().take(count).collect();
    hosts.iter().for_each(|host| cluster.stop_host(*host));
    cluster.run(downtime);
    hosts.iter().for_each(|host| cluster.start_host(*host));
}

/// Returns the entry hosts that are neither control replicas nor zone leaders, of the zone that has
/// the most of them.
fn data_plane_hosts(cluster: &Cluster) -> Vec<usize> {
    let roles = cluster.roles();
    let hosts: Vec<_> =
        (0..roles.len()).filter(|host| roles[*host] >= HostRole::Dispatcher).collect();
    let zone_of = |host: &usize| -> &ZoneName { &cluster.hosts()[*host].entry.zone };
    let size = |zone: &ZoneName| hosts.iter().filter(|host| zone_of(host) == zone).count();
    let zone = hosts.iter().map(zone_of).max_by_key(|zone| size(zone)).cloned();
    hosts.iter().copied().filter(|host| Some(zone_of(host)) == zone.as_ref()).collect()
}

/// Proposes the next revision of the measured profile at a host without leading role.
///
/// `number` counts the changes from 0; consecutive numbers give different contents.
pub fn change_profile(cluster: &mut Cluster, number: u64) {
    let mut profile = Profile::with_defaults(PROFILE_NAME.parse().expect("a valid name"));
    profile.refuse.crash_limit = 2 + (number % 2) as u8;
    let known = cluster.hosts().iter().filter_map(|host| host.node.as_ref());
    let known = known.filter_map(|node| node.control_view().profile(PROFILE_NAME));
    let base = known.map(|found| found.revision).max().unwrap_or(Revision::NONE);
    let id = format!("change-{}-{number}", base.0);
    let change = ProfileChange {
        profile,
        base,
        change_id: gw_profile::ChangeId::new(id).expect("a valid id"),
        operator: gw_control::OperatorName::new("operator").expect("a valid name"),
        at: WallTime(0),
    };
    let host = data_plane_hosts(cluster).first().copied().unwrap_or_default();
    let call = CallId(1_000_000 + base.0);
    cluster.propose(host, call, ControlCommand::ApplyProfile(change));
}

/// Changes the measured profile and returns the time until the new revision is in force on all
/// hosts; `None` if that takes longer than `limit`.
pub fn time_to_change_profile(cluster: &mut Cluster, limit: Duration) -> Option<Duration> {
    let revision = |node: &gw_node::HostNode| {
        let found = node.control_view().profile(PROFILE_NAME);
        found.map_or(Revision::NONE, |found| found.revision)
    };
    let nodes = || cluster.hosts().iter().filter_map(|host| host.node.as_ref());
    let old = nodes().map(revision).max().unwrap_or(Revision::NONE);
    change_profile(cluster, old.0);
    cluster.run_until(limit, |host| host.node.as_ref().is_some_and(|node| revision(node) > old))
}

/// Lets a target report that it is draining, and returns the time from the report until no host
/// routes requests to it; `None` if that takes longer than `limit`.
pub fn time_to_spread_report(
    cluster: &mut Cluster,
    target: usize,
    limit: Duration,
) -> Option<Duration> {
    let announcement = cluster.layout.announcements().swap_remove(target);
    cluster.report_target(target, TroubleKind::Draining);
    cluster.run_until(limit, |host| {
        let Some(node) = &host.node else { return false };
        let Some(routes) = node.routes().service(announcement.service.as_str()) else {
            return !host.entry.is_entry();
        };
        let mut targets = routes.targets();
        let found = targets.find(|(_, entry)| entry.name == announcement.target);
        found.is_none_or(|(_, entry)| !entry.state.accepts_work())
    })
}

/// Stops a target and returns the time until all entry hosts know a new owner of each sampled key
/// that it owned. Returns `None` if that takes longer than `limit` or the target owns no sampled
/// key.
///
/// The cluster serves no requests, so the loss is detected by the expiry of the target's
/// announcement only. Failed requests would reveal it earlier.
pub fn time_to_serve_again(
    cluster: &mut Cluster,
    target: usize,
    limit: Duration,
) -> Option<Duration> {
    let announcement = cluster.layout.announcements().swap_remove(target);
    let service = announcement.service.as_str();
    let owner_of = |host: &SimulatedHost, key: KeyHash| {
        let routes = host.node.as_ref()?.routes().service(service)?;
        routes.key_route(key).owner.map(|(_, entry)| entry.name.clone())
    };
    let keys = (0..SAMPLED_KEYS).map(|key| KeyHash::of(&key.to_le_bytes()));
    let first = &cluster.hosts()[0];
    let lost = Some(&announcement.target);
    let keys: Vec<_> = keys.filter(|key| owner_of(first, *key).as_ref() == lost).collect();
    if keys.is_empty() {
        return None;
    }
    cluster.stop_target(target);
    cluster.run_until(limit, |host| {
        let is_served = |key: &KeyHash| {
            let owner = owner_of(host, *key);
            owner.is_some() && owner.as_ref() != lost
        };
        !host.entry.is_entry() || keys.iter().all(is_served)
    })
}

/// Counters of all hosts together over a window without events, from which the steady rate follows.
#[derive(Clone, Debug)]
pub struct SteadyRate {
    total: HostCounters,
    seconds: f64,
}

impl SteadyRate {
    /// Measures the steady rate over `window` of virtual time.
    pub fn measure(cluster: &mut Cluster, window: Duration) -> Self {
        let before = cluster.counters();
        cluster.run(window);
        let mut total = HostCounters::default();
        for (after, before) in cluster.counters().into_iter().zip(before) {
            total += after - before;
        }
        Self { total, seconds: window.as_secs_f64() }
    }

    fn cost_above(
        &self,
        event: ClusterEvent,
        increases: &[HostCounters],
        seconds: f64,
    ) -> EventCost {
        let mut sum = HostCounters::default();
        increases.iter().for_each(|increase| sum += *increase);
        let share = seconds / self.seconds;
        let count = event.occurrences() as f64;
        let above = |value: fn(&HostCounters) -> u64| {
            (value(&sum) as f64 - value(&self.total) as f64 * share) / count
        };
        let mut kind_bytes = [0.0; MESSAGE_KINDS.len()];
        for (kind, bytes) in kind_bytes.iter_mut().enumerate() {
            let steady = self.total.kind_bytes[kind] as f64 * share;
            *bytes = (sum.kind_bytes[kind] as f64 - steady) / count;
        }
        let most = increases.iter().map(HostCounters::sent_bytes).max().unwrap_or_default();
        EventCost {
            event,
            frames: above(HostCounters::sent_frames),
            bytes: above(HostCounters::sent_bytes),
            most_host_bytes: most as f64,
            journal_entries: above(|counters| counters.journal_entries),
            journal_bytes: above(|counters| counters.journal_bytes),
            cpu_millis: above(|counters| counters.step_nanos + counters.codec_nanos) / 1e6,
            kind_bytes,
        }
    }
}
