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
use crate::ColdList;
use crate::EvacuatedZones;
use crate::HostCount;
use crate::LimitTable;
use crate::LoadUses;
use crate::PreferredTargets;
use crate::ReportedLoad;
use crate::TargetView;
use crate::WarmUpLimit;
use crate::service_targets::ServiceTargets;

/// Response time in seconds that is assumed for a service without recent responses.
const DEFAULT_RESPONSE_SECONDS: f64 = 0.1;
/// Cost in seconds of a target in another availability zone: the round trip, and a penalty for
/// traffic between zones.
const OTHER_ZONE_PENALTY_SECONDS: f64 = 0.02;
/// Requests that this host may have in flight at a preferred target beyond its slots.
const PREFERRED_EXTRA_REQUESTS: u32 = 1;
/// Requests that this host may have in flight at a target that it does not prefer.
const OTHER_TARGET_LIMIT: u32 = 1;
/// Requests that this host may have in flight at a target that has not responded to it, if targets of
/// the service can be cold: the first response shows how fast it is.
const UNTRIED_TARGET_LIMIT: u32 = 1;
/// Smallest cost factor of targets that other hosts of the zone prefer.
const MIN_OTHER_TARGET_FACTOR: f64 = 1.2;
/// Smallest cost factor of targets in other zones. Equals the largest one within the zone, so that
/// the cost factor never favors another zone.
const MIN_OTHER_ZONE_FACTOR: f64 = MIN_OTHER_TARGET_FACTOR + FACTOR_SPREAD;
/// Range of the part of a cost factor that differs between hosts. If all hosts ranked the targets
/// that others prefer alike, they would all send to the same one when their own are busy.
const FACTOR_SPREAD: f64 = 0.4;
/// Requests beyond its slots that every target can queue. A target might never respond to further
/// requests.
const MIN_TARGET_QUEUE: u32 = 4;
/// Time for which a draining holder still receives requests for its keys, until they have moved.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Age from which the typical response time of a service is computed anew. Moving averages of
/// requests of a tenth of a second change little in this time.
const MAX_TYPICAL_AGE: Duration = Duration::from_millis(50);

/// Whether the holder of a key can accept a request from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAvailability {
    /// It can accept a request.
    Available,
    /// This host's limit of requests in flight is reached, or the target has stated that it is full.
    Busy,
    /// It is paused after failures or a refusal.
    Paused,
    /// It has asked for rest, or the limit on the rate of requests that it has named allows none now.
    Limited,
    /// Its zone is evacuated, and this host sends it nothing any more.
    Evacuated,
    /// This run of the target is not known, has ended, or has been draining for too long.
    Unknown,
}

/// Targets of all services, as observed by one entry host.
#[derive(Clone, Debug)]
pub struct TargetPool {
    host: HostName,
    zone: ZoneName,
    preferred: PreferredTargets,
    /// Number of entry hosts among which the limits of holders are divided. Above 0.
    host_count: u32,
    /// Uses of the loads that targets state.
    load_uses: LoadUses,
    /// Log index of the state that the targets are from.
    state_index: u64,
    /// Milliseconds since 1970 by this host's clock at the last update of the targets.
    unix_ms: u64,
    /// Last list of the leader about cold targets, and the limits from any control host.
    cold_list: ColdList,
    /// Sorted by name.
    targets: Vec<TargetView>,
    /// The targets by service, sorted by service.
    services: Vec<ServiceTargets>,
}

impl TargetPool {
    /// Creates a pool without targets for the entry host `host` in `zone`.
    pub fn new(host: HostName, zone: ZoneName) -> Self {
        Self {
            host,
            zone,
            preferred: PreferredTargets::default(),
            host_count: HostCount::default().divisor(),
            load_uses: LoadUses::default(),
            state_index: 0,
            unix_ms: 0,
            cold_list: ColdList::default(),
            targets: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Sets which uses are made of the loads that targets state.
    pub fn set_load_uses(&mut self, uses: LoadUses) {
        self.load_uses = uses;
    }

    /// Sets the number of entry hosts among which the limits of holders are divided.
    pub fn set_host_count(&mut self, count: usize) {
        self.host_count = u32::try_from(count).unwrap_or(u32::MAX).max(1);
    }

    /// Sets the log index of the state that the next update of the targets comes from, and this host's
    /// time in milliseconds since 1970.
    pub fn set_state_position(&mut self, index: u64, unix_ms: u64) {
        self.state_index = index;
        self.unix_ms = unix_ms;
    }

    /// Replaces the announced targets, sorted by name, and the preferred targets. The state of a
    /// run is kept as long as the run is announced.
    pub fn update(
        &mut self,
        now: Timestamp,
        targets: &[TargetRecord],
        preferred: &PreferredTargets,
    ) {
        let mut old = std::mem::take(&mut self.targets).into_iter().peekable();
        for record in targets {
            while old.next_if(|target| target.record.name < record.name).is_some() {}
            let known = old.next_if(|target| target.record.name == record.name);
            let known_run = known.filter(|target| target.record.run == record.run);
            let mut target = known_run.unwrap_or_else(|| {
                let spread = FACTOR_SPREAD * host_specific_fraction(&self.host, &record.name);
                let age = Duration::from_millis(self.unix_ms.saturating_sub(record.run));
                let mut target =
                    TargetView::new(record.clone(), now, (self.state_index, age), spread);
                let limit = WarmUpLimit::find(&self.cold_list.limits, &record.service);
                target.cold.set_limit(limit);
                target.cold.apply(now, &record.holder(), &self.cold_list);
                target
            });
            target.update_record(record, now);
            self.targets.push(target);
        }
        self.preferred = preferred.clone();
        self.services = ServiceTargets::group(&self.targets);
        self.assign_preferred();
    }

    fn assign_preferred(&mut self) {
        for group in &self.services {
            let is_same_zone = |index: &usize| self.targets[*index].record.zone == self.zone;
            let same_zone: Vec<usize> =
                group.positions.iter().copied().filter(is_same_zone).collect();
            for &position in &group.positions {
                let zone_position = same_zone.binary_search(&position).ok();
                let is_preferred = zone_position.is_some_and(|zone_position| {
                    self.preferred.is_preferred(&self.host, zone_position, same_zone.len())
                });
                let target = &mut self.targets[position];
                target.is_same_zone = zone_position.is_some();
                target.is_preferred = is_preferred;
                target.cost_factor = match (is_preferred, target.is_same_zone) {
                    (true, _) => 1.0,
                    (false, true) => MIN_OTHER_TARGET_FACTOR + target.factor_spread,
                    (false, false) => MIN_OTHER_ZONE_FACTOR + target.factor_spread,
                };
            }
        }
    }

    /// Returns the target `name`, if it is known.
    pub fn target(&self, name: &TargetName) -> Option<&TargetView> {
        let found = self.targets.binary_search_by(|target| target.record.name.cmp(name));
        found.ok().map(|index| &self.targets[index])
    }

    /// Returns the target that `holder` is a run of, if that run is the present one.
    pub fn live_target(&self, holder: &RangeHolder) -> Option<&TargetView> {
        self.target(&holder.target).filter(|target| target.record.run == holder.run)
    }

    /// Returns all targets, sorted by name.
    pub fn targets(&self) -> &[TargetView] {
        &self.targets
    }

    /// Returns the number of targets that accept new requests, including targets that are paused.
    pub fn serving_count(&self) -> usize {
        self.targets.iter().filter(|target| target.is_serving()).count()
    }

    /// Returns up to `count` targets that show whether this host can reach any: in each zone the one
    /// that responded last, those of the zones that responded last first.
    pub fn probe_targets(&self, count: usize) -> Vec<&TargetView> {
        let mut serving: Vec<&TargetView> =
            self.targets.iter().filter(|target| target.is_serving()).collect();
        serving.sort_by_key(|target| std::cmp::Reverse(target.responded_at));
        let mut chosen: Vec<&TargetView> = Vec::new();
        for target in &serving {
            if chosen.iter().all(|known| known.record.zone != target.record.zone) {
                chosen.push(target);
            }
        }
        for target in serving {
            if chosen.iter().all(|known| known.record.name != target.record.name) {
                chosen.push(target);
            }
            if chosen.len() >= count {
                break;
            }
        }
        chosen.truncate(count);
        chosen
    }

    fn group(&self, service: &ServiceName) -> Option<&ServiceTargets> {
        let found = self.services.binary_search_by(|group| group.service.cmp(service));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns all targets of a service.
    pub fn targets_of(&self, service: &ServiceName) -> impl Iterator<Item = &TargetView> {
        let positions = self.group(service).map_or(&[][..], |group| &group.positions);
        positions.iter().map(|position| &self.targets[*position])
    }

    /// Returns the median response time of a service's targets in seconds, at most 50 ms old.
    pub fn typical_response_time(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let Some(group) = self.group(service) else { return DEFAULT_RESPONSE_SECONDS };
        if let Some((computed_at, typical)) = group.typical.get()
            && now.since(computed_at) < MAX_TYPICAL_AGE
        {
            return typical;
        }
        let mut times: Vec<f64> =
            self.targets_of(service).filter_map(|target| target.response_time(now)).collect();
        let middle = times.len() / 2;
        let typical = match times.is_empty() {
            true => DEFAULT_RESPONSE_SECONDS,
            false => *times.select_nth_unstable_by(middle, f64::total_cmp).1,
        };
        group.typical.set(Some((now, typical)));
        typical
    }

    /// Returns the target of `service` with the lowest cost that is available and below its limit
    /// of requests in flight, other than `tried`.
    pub fn pick(
        &self,
        now: Timestamp,
        service: &ServiceName,
        tried: &[TargetName],
    ) -> Option<&TargetView> {
        self.pick_among(now, service, tried, |_| true)
    }

    /// The same as [`TargetPool::pick`] among the targets for which `is_usable` holds.
    pub fn pick_among(
        &self,
        now: Timestamp,
        service: &ServiceName,
        tried: &[TargetName],
        is_usable: impl Fn(&TargetView) -> bool,
    ) -> Option<&TargetView> {
        let typical = self.typical_response_time(now, service);
        let available = self.targets_of(service).filter(|target| {
            target.is_available(now)
                && target.in_flight < self.in_flight_limit(target)
                && !tried.contains(&target.record.name)
                && is_usable(target)
        });
        let uses_load = self.load_uses.choice;
        let cost =
            |target: &TargetView| target.cost(now, typical, OTHER_ZONE_PENALTY_SECONDS, uses_load);
        let ranked = available.map(|target| (cost(target), target));
        ranked.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, target)| target)
    }

    fn in_flight_limit(&self, target: &TargetView) -> u32 {
        if target.cold.is_limited() && target.responded_at == Timestamp::ZERO {
            return UNTRIED_TARGET_LIMIT;
        }
        let slots = u32::from(target.record.work_slots);
        if target.is_preferred || self.preferred.is_empty() {
            slots + PREFERRED_EXTRA_REQUESTS
        } else {
            OTHER_TARGET_LIMIT
        }
    }

    /// Returns whether the holder of a key can accept a request from this host.
    pub fn holder_availability(&self, now: Timestamp, holder: &RangeHolder) -> HolderAvailability {
        let live = self.live_target(holder).filter(|target| !target.has_ended());
        let Some(target) = live else { return HolderAvailability::Unknown };
        if target.draining_since.is_some_and(|since| now.since(since) > DRAIN_GRACE_PERIOD) {
            return HolderAvailability::Unknown;
        }
        if target.is_closed(now, true) {
            return HolderAvailability::Evacuated;
        }
        if target.is_paused(now) {
            return HolderAvailability::Paused;
        }
        if !target.limit_wait(now).is_zero() {
            return HolderAvailability::Limited;
        }
        let is_full = target.load.is_full(now, target.in_flight, MIN_TARGET_QUEUE);
        if target.in_flight < self.holder_limit(target) && !(self.load_uses.admission && is_full) {
            HolderAvailability::Available
        } else {
            HolderAvailability::Busy
        }
    }

    /// Returns the limit of this host's requests in flight at a holder of keys. All hosts send to
    /// the holder, and together they should not exceed its slots and its queue.
    fn holder_limit(&self, target: &TargetView) -> u32 {
        let capacity = u32::from(target.record.work_slots) + MIN_TARGET_QUEUE;
        (capacity / self.host_count).max(1)
    }

    /// Returns how many requests this host may have in flight at the available targets of
    /// `service`.
    pub fn capacity(&self, now: Timestamp, service: &ServiceName) -> u32 {
        let available = self.targets_of(service).filter(|target| target.is_available(now));
        available.map(|target| self.in_flight_limit(target)).sum()
    }

    /// Returns whether `service` has a target that accepts new requests, including targets that are
    /// paused.
    pub fn has_targets(&self, service: &ServiceName) -> bool {
        self.targets_of(service).any(TargetView::is_serving)
    }

    /// Applies the evacuations of zones to the targets in them.
    pub fn set_evacuated(&mut self, zones: &EvacuatedZones) {
        for target in &mut self.targets {
            target.evacuated_at = zones.stops_at(&target.record.zone);
        }
    }

    /// Returns whether the evacuation of its zone allows no request to a target, one for a key that
    /// it holds if `is_keyed`.
    pub fn is_closed(&self, now: Timestamp, holder: &RangeHolder, is_keyed: bool) -> bool {
        self.live_target(holder).is_some_and(|target| target.is_closed(now, is_keyed))
    }

    /// Returns whether `service` has targets, and evacuations of their zones allow no request to any
    /// of them that is not for a key.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        !self.has_targets(service) && self.targets_of(service).any(TargetView::would_serve)
    }

    /// Returns whether connections of this host to all targets of `service` failed last, though they
    /// accept new requests.
    pub fn is_service_unreachable(&self, now: Timestamp, service: &ServiceName) -> bool {
        let mut serving = self.targets_of(service).filter(|target| target.is_serving()).peekable();
        serving.peek().is_some() && serving.all(|target| target.is_unreachable(now))
    }

    /// Returns whether connections of this host to a holder of keys failed last, though it accepts
    /// new requests.
    pub fn is_holder_unreachable(&self, now: Timestamp, holder: &RangeHolder) -> bool {
        let target = self.live_target(holder);
        target.is_some_and(|target| !target.has_ended() && target.is_unreachable(now))
    }

    /// Records that no other host reaches the holder of keys either.
    pub fn record_unreachable_everywhere(&mut self, holder: &RangeHolder) {
        if let Some(target) = self.target_mut(holder) {
            target.record_unreachable_everywhere();
        }
    }

    /// Returns the time until the limits that the targets of `service` have named allow this host's
    /// next request to one of them; `None` if the service has no target that is ready but for its
    /// limit.
    pub fn limit_wait(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let is_ready = |target: &&TargetView| target.is_serving() && !target.is_paused(now);
        self.targets_of(service).filter(is_ready).map(|target| target.limit_wait(now)).min()
    }

    /// Applies the limits that targets have named, to be divided among `host_count` hosts.
    pub fn set_limits(&mut self, now: Timestamp, limits: &LimitTable, host_count: u32) {
        for target in &mut self.targets {
            let phase = target.factor_spread / FACTOR_SPREAD;
            let limit = limits.per_second(&target.record.name, target.record.run);
            target.set_limit(now, limit, host_count, phase);
        }
    }

    /// Sets the limits of services for cold targets, sorted by service.
    pub fn set_warm_up_limits(&mut self, limits: Vec<WarmUpLimit>) {
        self.cold_list.limits = limits;
        for target in &mut self.targets {
            let limit = WarmUpLimit::find(&self.cold_list.limits, &target.record.service);
            target.cold.set_limit(limit);
        }
    }

    /// Applies a list of the leader about cold targets.
    pub fn apply_cold_list(&mut self, now: Timestamp, mut list: ColdList) {
        self.set_warm_up_limits(std::mem::take(&mut list.limits));
        for target in &mut self.targets {
            target.cold.apply(now, &target.record.holder(), &list);
        }
        // Leases are counted once, and runs that are not known yet get theirs with the next list.
        list.leases.clear();
        self.cold_list = ColdList { limits: std::mem::take(&mut self.cold_list.limits), ..list };
    }

    /// Returns whether requests to cold targets of any service are limited.
    pub fn has_warm_up_limits(&self) -> bool {
        !self.cold_list.limits.is_empty()
    }

    /// Records that the evacuation of a zone has ended at log index `index`: its targets may be cold.
    pub fn record_evacuation_end(&mut self, now: Timestamp, zone: &ZoneName, index: u64) {
        for target in self.targets.iter_mut().filter(|target| target.record.zone == *zone) {
            target.cold.record_doubt(now, index);
        }
    }

    /// Records what a target said about itself: for how long it stays cold. Returns whether it is
    /// news that it is cold.
    pub fn record_warmth(
        &mut self,
        now: Timestamp,
        holder: &RangeHolder,
        remaining: Duration,
    ) -> bool {
        self.target_mut(holder).is_some_and(|target| target.cold.record_statement(now, remaining))
    }

    /// Records that a connection to a target was established without a request.
    pub fn record_reached(&mut self, now: Timestamp, holder: &RangeHolder) {
        if let Some(target) = self.target_mut(holder) {
            target.cold.record_reached(now);
        }
    }

    /// Records, while no list of the leader arrives, that this host has no connection to the targets
    /// for which `is_connected` does not hold: they may have restarted unnoticed.
    pub fn record_unconnected(
        &mut self,
        now: Timestamp,
        is_connected: impl Fn(&TargetView) -> bool,
    ) {
        for target in &mut self.targets {
            if target.in_flight == 0 && !is_connected(target) {
                target.cold.record_unconnected(now);
            }
        }
    }

    /// Returns the targets to which a connection without a request is due, which shows whether they
    /// can be reached again, and counts them as tried.
    pub fn take_cold_probes(&mut self, now: Timestamp) -> Vec<TargetRecord> {
        let due = self.targets.iter_mut().filter_map(|target| {
            let is_due = target.is_serving() && target.cold.take_probe(now);
            is_due.then(|| target.record.clone())
        });
        due.collect()
    }

    /// Returns the runs that are presumed cold, sorted, and whether this host has the lease for the
    /// whole rate of each.
    pub fn cold_runs(&self, now: Timestamp) -> Vec<(RangeHolder, bool)> {
        let cold = self.targets.iter().filter(|target| target.is_cold(now));
        cold.map(|target| (target.record.holder(), target.cold.is_sponsored(now))).collect()
    }

    /// Returns whether a run is presumed cold.
    pub fn is_cold(&self, now: Timestamp, holder: &RangeHolder) -> bool {
        self.live_target(holder).is_some_and(|target| target.is_cold(now))
    }

    /// Returns the shortest time between two requests of this host to a target of `service`, if all of
    /// those that accept new requests are presumed cold.
    pub fn cold_interval(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let serving = || self.targets_of(service).filter(|target| target.is_serving());
        let is_cold = serving().all(|target| target.is_cold(now));
        serving().map(|target| target.limit_interval(now)).min().filter(|_| is_cold)
    }

    /// Records that a request is sent to a target.
    pub fn record_start(&mut self, now: Timestamp, holder: &RangeHolder) {
        if let Some(target) = self.target_mut(holder) {
            target.record_start(now);
        }
    }

    /// Records the outcome of a request that [`TargetPool::record_start`] has counted.
    pub fn record_end(&mut self, now: Timestamp, holder: &RangeHolder, outcome: AttemptOutcome) {
        if let Some(target) = self.target_mut(holder) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.record_end(now, outcome);
        }
    }

    /// Records that a target wants no request from this host for some time. Returns whether it did
    /// not rest before.
    pub fn record_rest(&mut self, now: Timestamp, holder: &RangeHolder, rest: Duration) -> bool {
        self.target_mut(holder).is_some_and(|target| target.record_rest(now, rest))
    }

    /// Records the load that a target has stated in a response, before the end of the request is
    /// recorded.
    pub fn record_load(&mut self, now: Timestamp, holder: &RangeHolder, load: &ReportedLoad) {
        if let Some(target) = self.target_mut(holder) {
            let own = target.in_flight.saturating_sub(1);
            target.load.record(now, load, own, target.factor_spread);
        }
    }

    /// Returns the processing times that targets have stated since the last call, as multiples of the
    /// usual ones.
    pub fn take_paces(&mut self) -> Vec<(RangeHolder, f64)> {
        let is_used = self.load_uses.speed;
        let targets = self.targets.iter_mut().filter(|_| is_used);
        targets
            .filter_map(|target| Some((target.record.holder(), target.load.take_pace()?)))
            .collect()
    }

    /// Records that a target has said to this host that it leaves. Returns whether that is news.
    pub fn record_leaving(&mut self, now: Timestamp, holder: &RangeHolder) -> bool {
        self.target_mut(holder).is_some_and(|target| target.record_leaving(now))
    }

    /// Returns the targets that have said to this host that they leave, and that have not announced
    /// it.
    pub fn leaving(&self) -> Vec<RangeHolder> {
        let leaving = self.targets.iter().filter(|target| target.is_leaving_unannounced());
        leaving.map(|target| target.record.holder()).collect()
    }

    /// Returns the requests that were answered or turned away since the last call, one entry per
    /// target.
    pub fn take_answered(&mut self, now: Timestamp) -> Vec<AnsweredRequests> {
        self.targets.iter_mut().filter_map(|target| target.take_answered(now)).collect()
    }

    fn target_mut(&mut self, holder: &RangeHolder) -> Option<&mut TargetView> {
        let found = self.targets.binary_search_by(|target| target.record.name.cmp(&holder.target));
        let target = found.ok().map(|index| &mut self.targets[index]);
        target.filter(|target| target.record.run == holder.run)
    }
}

/// Returns a pseudo-random fraction for `target` on `host`.
fn host_specific_fraction(host: &HostName, target: &TargetName) -> f64 {
    let hash = KeyHash::of(format!("{host} {target}").as_bytes()).0;
    hash as f64 / u64::MAX as f64
}
