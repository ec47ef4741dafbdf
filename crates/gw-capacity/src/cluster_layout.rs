use gw_membership::TargetAnnouncement;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::KeySource;
use gw_types::RouteMatch;
use gw_types::ZoneName;

/// Number of regions at the target size of the system, over which the zones are distributed.
const REGION_COUNT: usize = 3;
/// Number of targets in every 30 that belong to keyed services. The others are divided evenly
/// between two services without keys. The proportions are those of Ullvävs Kommunala Verk: 14, 8
/// and 8.
const KEYED_PER_30: usize = 14;
/// First target in every 30 that belongs to the second service without keys.
const FIRST_UNKEYED_PER_30: usize = 22;

/// Number and placement of the hosts, targets, zones and services of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterLayout {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of targets of all services together.
    pub targets: usize,
    /// Number of availability zones. Hosts and targets are assigned to them in round-robin order.
    pub zones: usize,
    /// Number of keyed services, each with 16,384 slots.
    pub keyed_services: usize,
    /// Number of control replicas.
    pub replicas: usize,
    /// Whether control replicas run on entry hosts instead of dedicated hosts.
    pub embedded: bool,
}

impl ClusterLayout {
    /// Returns a layout of `hosts` entry hosts with 30 targets for every 8 hosts, and with control
    /// replicas on dedicated hosts: 5, or 3 with fewer than 5 zones.
    pub fn proportional(hosts: usize, zones: usize) -> Self {
        let replicas = if zones < 5 { 3 } else { 5 };
        let targets = hosts * 30 / 8;
        Self { hosts, targets, zones, keyed_services: 1, replicas, embedded: false }
    }

    /// Returns the layout of the deployed clusters: 30 targets and 8 entry hosts, 3 of which run
    /// the control replicas.
    pub fn deployed(zones: usize) -> Self {
        let base = Self::proportional(8, zones);
        Self { replicas: 3, embedded: true, ..base }
    }

    /// Returns the settings of all hosts, entry hosts first.
    pub fn entries(&self) -> Vec<HostEntry> {
        let entry = |id: usize, zone: usize, is_entry: bool, control: bool| HostEntry {
            id: HostId(id as u16),
            name: format!("h{id}").parse().expect("a valid name"),
            zone: zone_name(zone),
            peers: ([127, 0, 0, 1], 10_000 + id as u16).into(),
            forwards: is_entry.then(|| ([127, 0, 0, 1], 20_000 + id as u16).into()),
            control,
        };
        let embeds = |id: usize| self.embedded && id < self.replicas;
        let entry_hosts = (0..self.hosts).map(|id| entry(id, id % self.zones, true, embeds(id)));
        let dedicated = if self.embedded { 0 } else { self.replicas };
        let replicas =
            (0..dedicated).map(|at| entry(self.hosts + at, at % self.zones, false, true));
        entry_hosts.chain(replicas).collect()
    }

    /// Returns the first announcement of each target.
    pub fn announcements(&self) -> Vec<TargetAnnouncement> {
        (0..self.targets).map(|number| self.announcement(number)).collect()
    }

    fn announcement(&self, number: usize) -> TargetAnnouncement {
        let (service, keyed) = match number % 30 {
            part if part < KEYED_PER_30 => (format!("keyed{}", number % self.keyed_services), true),
            part if part < FIRST_UNKEYED_PER_30 => ("unkeyed0".to_owned(), false),
            _ => ("unkeyed1".to_owned(), false),
        };
        TargetAnnouncement {
            route: RouteMatch { host: None, path_prefix: Some(format!("/{service}")) },
            service: service.parse().expect("a valid name"),
            key: keyed.then_some(KeySource::PathSegment(1)),
            profile: "default".parse().expect("a valid name"),
            target: format!("target-{number}").parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 30_000 + number as u16).into(),
            zone: zone_name(number % self.zones),
            boot_id: BootId(1),
            checks_tokens: true,
            work_slots: 2,
            sequence: 0,
        }
    }

    /// Returns the region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone % REGION_COUNT
    }

    /// Returns a short description for reports.
    pub fn label(&self) -> String {
        let place = if self.embedded { "embedded" } else { "dedicated" };
        let Self { hosts, targets, zones, keyed_services, replicas, .. } = self;
        format!("{hosts}h-{targets}t-{zones}z-{keyed_services}k-{replicas}r-{place}")
    }
}

fn zone_name(zone: usize) -> ZoneName {
    format!("z{zone}").parse().expect("a valid name")
}
