use std::time::Duration;

use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_types::HostName;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::AnsweredRuns;
use crate::HomeHosts;
use crate::RunEnd;
use crate::TargetLine;

/// Run time in seconds that is assumed until something is known of a service.
const ASSUMED_RUN_TIME: f64 = 0.1;
/// Cost in seconds of a target in another availability zone: the way there and back, and the
/// traffic between zones.
const FAR_PENALTY: f64 = 0.02;
/// Requests that this host sends at once to a target beyond its slots, at home.
const HOME_EXTRA: u32 = 1;
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
pub enum HolderPick {
    /// It can.
    Open,
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
    homes: HomeHosts,
    /// Entry hosts of all zones.
    host_count: u32,
    /// Sorted by target.
    lines: Vec<TargetLine>,
}

impl TargetPool {
    /// A pool without targets for the host `host` in `zone`.
    pub fn new(host: HostName, zone: ZoneName) -> Self {
        Self { host, zone, homes: HomeHosts::default(), host_count: 1, lines: Vec::new() }
    }

    /// Follows the number of entry hosts of all zones.
    pub fn set_host_count(&mut self, count: usize) {
        self.host_count = u32::try_from(count).unwrap_or(u32::MAX);
    }

    /// Follows the announced targets and the live entry hosts of the zone. What was learnt of a run
    /// is kept as long as the run is known.
    pub fn follow(&mut self, now: Timestamp, targets: &[TargetRecord], homes: &HomeHosts) {
        let mut old = std::mem::take(&mut self.lines).into_iter().peekable();
        for record in targets {
            while old.next_if(|line| line.record.name < record.name).is_some() {}
            let known = old.next_if(|line| line.record.name == record.name);
            let same_run = known.filter(|line| line.record.run == record.run);
            let mut line = same_run.unwrap_or_else(|| TargetLine::new(record.clone(), now));
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
            line.is_home =
                line.is_near && self.homes.is_home(&self.host, &line.record.name, &peers);
            line.reserve = match (line.is_home, line.is_near) {
                (true, _) => 1.0,
                (false, true) => FOREIGN_RESERVE + spread(&self.host, &line.record.name),
                (false, false) => FAR_RESERVE + spread(&self.host, &line.record.name),
            };
        }
    }

    /// The line of a target.
    pub fn line(&self, name: &TargetName) -> Option<&TargetLine> {
        let found = self.lines.binary_search_by(|line| line.record.name.cmp(name));
        found.ok().map(|index| &self.lines[index])
    }

    /// All lines, by target.
    pub fn lines(&self) -> &[TargetLine] {
        &self.lines
    }

    fn of_service<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a TargetLine> {
        self.lines.iter().filter(move |line| line.record.service == *service)
    }

    /// Median run time of a service's targets in seconds.
    pub fn typical_run_time(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let mut times: Vec<f64> =
            self.of_service(service).filter_map(|line| line.run_time(now)).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(ASSUMED_RUN_TIME)
    }

    /// The target of `service` that is expected to answer first and has room, other than `tried`.
    pub fn pick<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
        tried: &[TargetName],
    ) -> Option<&'a TargetLine> {
        let typical = self.typical_run_time(now, service);
        let open = self.of_service(service).filter(|line| {
            line.is_open(now)
                && line.in_flight < self.limit_of(line)
                && !tried.contains(&line.record.name)
        });
        let cost = |line: &TargetLine| line.cost(now, typical, FAR_PENALTY);
        open.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn limit_of(&self, line: &TargetLine) -> u32 {
        let slots = u32::from(line.record.work_slots);
        if line.is_home || self.homes.is_empty() { slots + HOME_EXTRA } else { FOREIGN_LIMIT }
    }

    /// Whether the holder of a key can take a request.
    pub fn pick_holder(&self, now: Timestamp, holder: &RangeHolder) -> HolderPick {
        let Some(line) = self.line(&holder.target) else { return HolderPick::Unknown };
        if line.record.run != holder.run || line.has_ended() {
            return HolderPick::Unknown;
        }
        if line.draining_since.is_some_and(|since| now.since(since) > DRAIN_USE) {
            return HolderPick::Unknown;
        }
        if line.is_paused(now) {
            return HolderPick::Paused;
        }
        if line.in_flight < self.holder_limit(line) { HolderPick::Open } else { HolderPick::Busy }
    }

    /// Requests that this host sends at once to the holder of their keys. All hosts send to it, and
    /// together they should not have more there than it runs and queues.
    fn holder_limit(&self, line: &TargetLine) -> u32 {
        let room = u32::from(line.record.work_slots) + SURE_QUEUE;
        (room / self.host_count.max(1)).max(1)
    }

    /// Requests that this host may have in flight at the open targets of `service`.
    pub fn capacity(&self, now: Timestamp, service: &ServiceName) -> u32 {
        let open = self.of_service(service).filter(|line| line.is_open(now));
        open.map(|line| self.limit_of(line)).sum()
    }

    /// Whether `service` has a target that takes new work, paused or not.
    pub fn has_targets(&self, service: &ServiceName) -> bool {
        let is_serving = |line: &TargetLine| {
            line.record.phase == gw_fleet::TargetPhase::Serving && !line.has_ended()
        };
        self.of_service(service).any(is_serving)
    }

    /// Notes that a request is sent to a target.
    pub fn note_start(&mut self, holder: &RangeHolder) {
        if let Some(line) = self.line_mut(holder) {
            line.in_flight += 1;
        }
    }

    /// Notes how a request ended.
    pub fn note_end(&mut self, now: Timestamp, holder: &RangeHolder, end: RunEnd) {
        if let Some(line) = self.line_mut(holder) {
            line.in_flight = line.in_flight.saturating_sub(1);
            line.note_end(now, end);
        }
    }

    /// Takes the runs that targets answered since they were last taken.
    pub fn take_runs(&mut self) -> Vec<AnsweredRuns> {
        self.lines.iter_mut().filter_map(TargetLine::take_runs).collect()
    }

    fn line_mut(&mut self, holder: &RangeHolder) -> Option<&mut TargetLine> {
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
