use std::time::Duration;

use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_types::HostName;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::AnsweredRequests;
use crate::AttemptOutcome;
use crate::PreferredTargets;
use crate::TargetView;

/// Run time in seconds that is assumed until something is known of a service.
const ASSUMED_RUN_TIME: f64 = 0.1;
/// Cost in seconds of a target in another availability zone: the way there and back, and the
/// traffic between zones.
const FAR_PENALTY: f64 = 0.02;
/// Requests that this host sends at once to a target beyond its slots, at home.
const PREFERRED_EXTRA: u32 = 1;
/// Requests that this host sends at once to a target of another host's home.
const FOREIGN_LIMIT: u32 = 1;
/// By how much a target at home is preferred over others, at least: other hosts send to those.
const FOREIGN_RESERVE: f64 = 1.2;
/// The same for targets of other zones: the zone's own are preferred as far as they differ here.
const FAR_RESERVE: f64 = FOREIGN_RESERVE + FOREIGN_SPREAD;
/// By how much more, differently on each host. Hosts that rank the targets of others alike all send
/// to the same one when their own are busy.
const FOREIGN_SPREAD: f64 = 0.4;
/// Requests that a target surely queues beyond its slots. What it cannot queue might never be
/// answered.
const SURE_QUEUE: u32 = 4;
/// How long a holder that drains is sent requests for its keys, until they have moved.
const DRAIN_USE: Duration = Duration::from_secs(1);

/// Whether the holder of a key can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAvailability {
    /// It can.
    Available,
    /// It has as many requests of this host as it should have.
    Busy,
    /// It is left alone after failures.
    Paused,
    /// This run of the target is not known, or it has ended.
    Unknown,
}

/// The targets of all services as one entry host sees them.
#[derive(Clone, Debug)]
pub struct TargetPool {
    host: HostName,
    zone: ZoneName,
    homes: PreferredTargets,
    /// Entry hosts of all zones.
    host_count: u32,
    /// Sorted by target.
    lines: Vec<TargetView>,
}

impl TargetPool {
    /// A pool without targets for the host `host` in `zone`.
    pub fn new(host: HostName, zone: ZoneName) -> Self {
        Self { host, zone, homes: PreferredTargets::default(), host_count: 1, lines: Vec::new() }
    }

    /// Follows the number of entry hosts of all zones.
    pub fn set_host_count(&mut self, count: usize) {
        self.host_count = u32::try_from(count).unwrap_or(u32::MAX);
    }

    /// Follows the announced targets and the live entry hosts of the zone. What was learnt of a run
    /// is kept as long as the run is known.
    pub fn update(&mut self, now: Timestamp, targets: &[TargetRecord], homes: &PreferredTargets) {
        let mut old = std::mem::take(&mut self.lines).into_iter().peekable();
        for record in targets {
            while old.next_if(|line| line.record.name < record.name).is_some() {}
            let known = old.next_if(|line| line.record.name == record.name);
            let same_run = known.filter(|line| line.record.run == record.run);
            let mut line = same_run.unwrap_or_else(|| TargetView::new(record.clone(), now));
            line.renew(record, now);
            self.lines.push(line);
        }
        self.homes = homes.clone();
        self.assign_homes();
    }

    fn assign_homes(&mut self) {
        let near: Vec<(ServiceName, TargetName)> = self
            .lines
            .iter()
            .filter(|line| line.record.zone == self.zone)
            .map(|line| (line.record.service.clone(), line.record.name.clone()))
            .collect();
        for line in &mut self.lines {
            let service = &line.record.service;
            line.is_near = line.record.zone == self.zone;
            let peers = near.iter().filter(|(other, _)| other == service);
            let peers: Vec<TargetName> = peers.map(|(_, name)| name.clone()).collect();
            line.is_preferred =
                line.is_near && self.homes.is_preferred(&self.host, &line.record.name, &peers);
            line.reserve = match (line.is_preferred, line.is_near) {
                (true, _) => 1.0,
                (false, true) => FOREIGN_RESERVE + spread(&self.host, &line.record.name),
                (false, false) => FAR_RESERVE + spread(&self.host, &line.record.name),
            };
        }
    }

    /// The line of a target.
    pub fn target(&self, name: &TargetName) -> Option<&TargetView> {
        let found = self.lines.binary_search_by(|line| line.record.name.cmp(name));
        found.ok().map(|index| &self.lines[index])
    }

    /// All lines, by target.
    pub fn targets(&self) -> &[TargetView] {
        &self.lines
    }

    fn of_service<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a TargetView> {
        self.lines.iter().filter(move |line| line.record.service == *service)
    }

    /// Median run time of a service's targets in seconds.
    pub fn typical_response_time(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let mut times: Vec<f64> =
            self.of_service(service).filter_map(|line| line.response_time(now)).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(ASSUMED_RUN_TIME)
    }

    /// The target of `service` that is expected to answer first and has room, other than `tried`.
    pub fn pick<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
        tried: &[TargetName],
    ) -> Option<&'a TargetView> {
        let typical = self.typical_response_time(now, service);
        let open = self.of_service(service).filter(|line| {
            line.is_available(now)
                && line.in_flight < self.limit_of(line)
                && !tried.contains(&line.record.name)
        });
        let cost = |line: &TargetView| line.cost(now, typical, FAR_PENALTY);
        open.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn limit_of(&self, line: &TargetView) -> u32 {
        let slots = u32::from(line.record.work_slots);
        if line.is_preferred || self.homes.is_empty() {
            slots + PREFERRED_EXTRA
        } else {
            FOREIGN_LIMIT
        }
    }

    /// Whether the holder of a key can take a request.
    pub fn holder_availability(&self, now: Timestamp, holder: &RangeHolder) -> HolderAvailability {
        let Some(line) = self.target(&holder.target) else { return HolderAvailability::Unknown };
        if line.record.run != holder.run || line.has_ended() {
            return HolderAvailability::Unknown;
        }
        if line.draining_since.is_some_and(|since| now.since(since) > DRAIN_USE) {
            return HolderAvailability::Unknown;
        }
        if line.is_paused(now) {
            return HolderAvailability::Paused;
        }
        if line.in_flight < self.holder_limit(line) {
            HolderAvailability::Available
        } else {
            HolderAvailability::Busy
        }
    }

    /// Requests that this host sends at once to the holder of their keys. All hosts send to it, and
    /// together they should not have more there than it runs and queues.
    fn holder_limit(&self, line: &TargetView) -> u32 {
        let room = u32::from(line.record.work_slots) + SURE_QUEUE;
        (room / self.host_count.max(1)).max(1)
    }

    /// Requests that this host may have in flight at the open targets of `service`.
    pub fn capacity(&self, now: Timestamp, service: &ServiceName) -> u32 {
        let open = self.of_service(service).filter(|line| line.is_available(now));
        open.map(|line| self.limit_of(line)).sum()
    }

    /// Whether `service` has a target that takes new work, paused or not.
    pub fn has_targets(&self, service: &ServiceName) -> bool {
        let is_serving = |line: &TargetView| {
            line.record.phase == gw_fleet::TargetPhase::Serving && !line.has_ended()
        };
        self.of_service(service).any(is_serving)
    }

    /// Notes that a request is sent to a target.
    pub fn record_start(&mut self, holder: &RangeHolder) {
        if let Some(line) = self.line_mut(holder) {
            line.in_flight += 1;
        }
    }

    /// Notes how a request ended.
    pub fn record_end(&mut self, now: Timestamp, holder: &RangeHolder, end: AttemptOutcome) {
        if let Some(line) = self.line_mut(holder) {
            line.in_flight = line.in_flight.saturating_sub(1);
            line.record_end(now, end);
        }
    }

    /// Takes the runs that targets answered since they were last taken.
    pub fn take_answered(&mut self) -> Vec<AnsweredRequests> {
        self.lines.iter_mut().filter_map(TargetView::take_answered).collect()
    }

    fn line_mut(&mut self, holder: &RangeHolder) -> Option<&mut TargetView> {
        let found = self.lines.binary_search_by(|line| line.record.name.cmp(&holder.target));
        let line = found.ok().map(|index| &mut self.lines[index]);
        line.filter(|line| line.record.run == holder.run)
    }
}

/// By how much more than others `host` avoids a target that is at home on other hosts.
fn spread(host: &HostName, target: &TargetName) -> f64 {
    let hash = KeyHash::of(format!("{host} {target}").as_bytes()).0;
    FOREIGN_SPREAD * (hash as f64 / u64::MAX as f64)
}
