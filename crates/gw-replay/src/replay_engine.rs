mod attempts;
mod faults;
mod moves;

use std::time::Duration;

use gw_dispatch::AttemptOutcome;
use gw_dispatch::ConnectionBudget;
use gw_dispatch::MAX_CONNECTIONS;
use gw_dispatch::NotRunReason;
use gw_dispatch::QueueOptions;
use gw_dispatch::RandomSource;
use gw_dispatch::RequestOutcome;
use gw_dispatch::RequestTicket;
use gw_dispatch::RetryBudget;
use gw_dispatch::ServiceTimes;
use gw_dispatch::SlowStart;
use gw_dispatch::SplitMix;
use gw_dispatch::TargetCandidate;
use gw_dispatch::TargetLoad;
use gw_dispatch::TargetQueue;
use gw_types::KeyHash;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::Outcome;
use crate::ReplayOptions;
use crate::ReplayVariant;
use crate::Scenario;
use crate::SendingMode;
use crate::Trace;
use crate::event_queue::EventQueue;
use crate::event_queue::ReplayEvent;
use crate::idempotency_records::IdempotencyRecords;
use crate::load_reporting::LoadReporting;
use crate::replay_metrics::ReplayMetrics;
use crate::request_state::AttemptPhase;
use crate::request_state::AttemptState;
use crate::request_state::RequestState;
use crate::simulated_target::SimulatedTarget;
use crate::slot_owners::SlotOwners;
use crate::zone_planners::ZonePlanners;

use self::moves::MoveInProgress;

/// Interval at which dispatchers sample the load of their targets for reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of attempts of one request.
const ATTEMPT_LIMIT: u8 = 4;
/// Number of distinct callers in each zone, among which queues are fair.
const CALLER_COUNT: u64 = 64;
/// Maximum number of route shapes for which a host estimates service times.
const SHAPE_LIMIT: usize = 64;

/// Replays `trace` with one variant and returns its results.
///
/// The same arguments always give the same results. Trace rows of zones or services that `scenario`
/// does not have are skipped.
pub fn replay(
    scenario: &Scenario,
    trace: &Trace,
    variant: &ReplayVariant,
    options: &ReplayOptions,
) -> Outcome {
    let mut engine = ReplayEngine::new(scenario, trace, variant, options);
    while let Some((now, event)) = engine.events.pop() {
        engine.now = now;
        engine.handle(event);
    }
    let seconds = trace.entries().last().map_or(1.0, |last| last.time_us as f64 / 1e6);
    let report_bytes = engine.reporting.sent_bytes;
    let (targets, requests) = (&engine.targets, &engine.requests);
    let outage = engine.owners.longest_outage();
    engine.metrics.into_outcome(variant.name, targets, requests, outage, seconds, report_bytes)
}

/// A queue, its connections to the target and its next scheduled wakeup.
struct QueueState {
    queue: TargetQueue,
    connections: ConnectionBudget,
    wakeup: Option<Timestamp>,
}

/// State of a replay. Hosts, targets, queues, requests and attempts are referred to by index.
struct ReplayEngine<'a> {
    scenario: &'a Scenario,
    variant: &'a ReplayVariant,
    options: &'a ReplayOptions,
    now: Timestamp,
    /// Deadline of the last request; periodic events stop then.
    end_time: Timestamp,
    events: EventQueue,
    random: SplitMix,
    /// Zone of each entry host; hosts of one zone are adjacent.
    host_zones: Vec<usize>,
    target_names: Vec<TargetName>,
    targets: Vec<SimulatedTarget>,
    /// One queue per target, or one per host and target with direct sending.
    queues: Vec<QueueState>,
    owners: SlotOwners,
    planners: ZonePlanners,
    moves: Vec<MoveInProgress>,
    /// Whether each zone is partitioned from the others.
    partitioned_zones: Vec<bool>,
    requests: Vec<RequestState>,
    attempts: Vec<AttemptState>,
    /// Service time estimates of each host.
    service_times: Vec<ServiceTimes>,
    /// Retry budget of each host and service; see `budget_index`.
    retry_budgets: Vec<RetryBudget>,
    records: IdempotencyRecords,
    reporting: LoadReporting,
    metrics: ReplayMetrics,
}

impl<'a> ReplayEngine<'a> {
    fn new(
        scenario: &'a Scenario,
        trace: &Trace,
        variant: &'a ReplayVariant,
        options: &'a ReplayOptions,
    ) -> Self {
        let zones = scenario.zones.len();
        let host_zones: Vec<usize> = (0..zones)
            .flat_map(|zone| std::iter::repeat_n(zone, scenario.hosts_per_zone[zone]))
            .collect();
        let mut targets = Vec::new();
        for (index, service) in scenario.services.iter().enumerate() {
            let of_service = (0..service.target_count)
                .map(|instance| SimulatedTarget::new(index, instance % zones, scenario.work_slots));
            targets.extend(of_service);
        }
        let name = |index| TargetName::new(format!("target-{index}")).expect("valid name");
        let share = variant.profile.refuse.retry_budget;
        let budget_count = host_zones.len() * scenario.services.len();
        let mut engine = Self {
            scenario,
            variant,
            options,
            now: Timestamp::ZERO,
            end_time: Timestamp::ZERO,
            events: EventQueue::default(),
            random: SplitMix::new(options.seed),
            target_names: (0..targets.len()).map(name).collect(),
            queues: Vec::new(),
            owners: SlotOwners::new(scenario, &targets),
            planners: ZonePlanners::new(scenario, &variant.profile.moves),
            moves: Vec::new(),
            partitioned_zones: vec![false; zones],
            requests: Vec::with_capacity(trace.entries().len()),
            attempts: Vec::new(),
            service_times: vec![ServiceTimes::new(SHAPE_LIMIT); host_zones.len()],
            retry_budgets: vec![RetryBudget::new(share, Timestamp::ZERO); budget_count],
            records: IdempotencyRecords::new(scenario, &variant.profile.refuse),
            reporting: LoadReporting::new(
                variant,
                host_zones.len(),
                scenario.services.len(),
                targets.len(),
            ),
            metrics: ReplayMetrics::new(scenario),
            host_zones,
            targets,
        };
        engine.make_queues();
        engine.schedule_trace(trace);
        engine
    }

    fn make_queues(&mut self) {
        let senders = match self.variant.sending {
            SendingMode::Dispatcher => 1,
            SendingMode::Direct => self.host_zones.len(),
        };
        let profile = &self.variant.profile;
        let mut options = QueueOptions::from_profile(profile, self.scenario.work_slots);
        options.queue_limit = options.queue_limit.div_ceil(senders);
        let limit = MAX_CONNECTIONS / senders as u16;
        self.queues = (0..senders * self.targets.len())
            .map(|_| QueueState {
                queue: TargetQueue::new(options.clone(), SlowStart::warm()),
                connections: ConnectionBudget::new(limit),
                wakeup: None,
            })
            .collect();
    }

    /// Schedules the arrivals of the trace, the faults and the periodic events.
    fn schedule_trace(&mut self, trace: &Trace) {
        let deadline = Duration::from_millis(u64::from(self.variant.profile.refuse.deadline_ms));
        for entry in trace.entries() {
            let zone = self.scenario.zones.iter().position(|zone| *zone == entry.zone);
            let services = &self.scenario.services;
            let service = services.iter().position(|service| service.name == entry.service);
            let (Some(zone), Some(service)) = (zone, service) else { continue };
            let arrived = Timestamp::from_nanos(entry.time_us * 1_000);
            let first = self.host_zones.iter().position(|&host| host == zone).unwrap_or(0);
            let host = first + self.random.below(self.scenario.hosts_per_zone[zone]);
            let request = self.requests.len();
            self.events.push(arrived, ReplayEvent::Arrive { request });
            self.end_time = arrived + deadline;
            self.requests.push(RequestState {
                service,
                zone,
                host,
                key: KeyHash::of(&entry.key.to_le_bytes()),
                kind: entry.kind,
                cost_us: entry.cost_us,
                arrived,
                deadline: arrived + deadline,
                attempts: 0,
                excluded: Vec::new(),
                runs: 0,
                outcome: None,
                is_resent: false,
            });
        }
        for (fault, timed) in self.scenario.faults.iter().enumerate() {
            self.events.push(timed.at, ReplayEvent::FaultBegins { fault });
        }
        self.events.push(Timestamp::ZERO, ReplayEvent::Sample);
        if self.variant.has_load_moves {
            self.events.push(Timestamp::ZERO, ReplayEvent::Plan);
        }
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive { request } => self.arrive(request),
            ReplayEvent::Route { request } => self.route(request),
            ReplayEvent::AtQueue { attempt } => self.at_queue(attempt),
            ReplayEvent::RecordCopied { attempt } => self.submit(attempt),
            ReplayEvent::AtTarget { attempt } => self.at_target(attempt),
            ReplayEvent::RunEnds { attempt } => self.run_ends(attempt),
            ReplayEvent::AnswerAtQueue { attempt } => self.answer_at_queue(attempt),
            ReplayEvent::AnswerAtEntry { attempt } => self.answer_at_entry(attempt),
            ReplayEvent::Deadline { attempt } => self.deadline_reached(attempt),
            ReplayEvent::Wakeup { queue } => self.wakeup(queue),
            ReplayEvent::Sample => self.sample_load(),
            ReplayEvent::Report { host, target, outstanding } => {
                let load = TargetLoad { outstanding, work: Duration::ZERO };
                let view = &mut self.reporting.views[host];
                view.record_report(self.now, &self.target_names[target], load);
            }
            ReplayEvent::FaultBegins { fault } => self.fault_begins(fault),
            ReplayEvent::FaultEnds { fault } => self.fault_ends(fault),
            ReplayEvent::Plan => self.plan_moves(),
            ReplayEvent::PollDrain { index } => self.poll_drain(index),
            ReplayEvent::Detect { target } => self.detect_loss(target),
            ReplayEvent::Reassign { target } => self.owners.reassign(target, &self.targets),
        }
    }

    fn arrive(&mut self, request: usize) {
        let budget = self.budget_index(request);
        self.retry_budgets[budget].record_request(self.now);
        self.route(request);
    }

    fn route(&mut self, request: usize) {
        let state = &self.requests[request];
        if self.scenario.services[state.service].is_keyed {
            match self.owners.owner(state.service, state.key) {
                Some(target) => self.send(request, target),
                None => self.wait_for_owner(request),
            }
            return;
        }
        match self.choose(request) {
            Some(target) => self.send(request, target),
            None => self.end_request(request, RequestOutcome::NotRun(NotRunReason::NoTarget), 0),
        }
    }

    /// Holds a request for a slot without owner at the entry host and routes it again shortly, or
    /// ends it if its deadline comes first.
    fn wait_for_owner(&mut self, request: usize) {
        let state = &self.requests[request];
        let retry = self.now + Duration::from_millis(5);
        if retry >= state.deadline {
            self.end_request(request, RequestOutcome::NotRun(NotRunReason::NoTarget), 0);
        } else {
            self.events.push(retry, ReplayEvent::Route { request });
        }
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let state = &self.requests[request];
        let usable = (0..self.targets.len()).filter(|&index| {
            let target = &self.targets[index];
            target.service == state.service
                && target.is_listed
                && self.is_reachable(state.zone, target.zone)
                && !state.excluded.contains(&self.target_names[index])
        });
        let indexes: Vec<usize> = usable.collect();
        let candidate = |&index: &usize| TargetCandidate {
            target: self.target_names[index].clone(),
            is_own_zone: self.targets[index].zone == state.zone,
            work_slots: self.scenario.work_slots,
            share: 1.0,
        };
        let candidates: Vec<_> = indexes.iter().map(candidate).collect();
        let (host, service) = (state.host, state.service);
        let chosen =
            self.reporting.choose(self.now, host, service, &candidates, &mut self.random)?;
        Some(indexes[chosen])
    }

    fn send(&mut self, request: usize, target: usize) {
        let state = &mut self.requests[request];
        state.attempts += 1;
        let (zone, host) = (state.zone, state.host);
        let target_zone = self.targets[target].zone;
        if !self.is_reachable(zone, target_zone) {
            let reason = NotRunReason::DispatcherUnreachable;
            return self.end_request(request, RequestOutcome::NotRun(reason), 0);
        }
        self.reporting.views[host].record_sent(self.now, &self.target_names[target]);
        let is_direct = self.variant.sending == SendingMode::Direct;
        let queue = if is_direct { host * self.targets.len() + target } else { target };
        let network_delay = self.network_delay(zone, target_zone) + self.scenario.same_zone_delay;
        self.attempts.push(AttemptState {
            request,
            target,
            queue,
            phase: AttemptPhase::Waiting,
            started: self.now,
            has_run: false,
            network_ns: 2 * network_delay.as_nanos() as u64,
        });
        let attempt = self.attempts.len() - 1;
        let delay = if is_direct { Duration::ZERO } else { self.network_delay(zone, target_zone) };
        self.events.push(self.now + delay, ReplayEvent::AtQueue { attempt });
    }

    /// Ends a request, or one attempt at it that is not retried. The caller resends a
    /// non-idempotent request once if it was not answered.
    fn end_request(&mut self, request: usize, outcome: RequestOutcome, network_ns: u64) {
        let state = &mut self.requests[request];
        if state.outcome.is_none() {
            state.outcome = Some(outcome);
            self.metrics.record_outcome(self.now, state, outcome, network_ns);
        }
        if outcome != RequestOutcome::Answered {
            self.owners.record_unanswered(state.arrived, state.service, state.key.slot());
        }
        let is_open = outcome != RequestOutcome::Answered && !state.is_idempotent();
        if !is_open || state.is_resent {
            return;
        }
        let at = self.now + self.options.resend_after;
        state.is_resent = true;
        state.attempts = 0;
        state.excluded.clear();
        state.deadline = at + state.deadline.since(state.arrived);
        state.arrived = at;
        self.events.push(at, ReplayEvent::Arrive { request });
    }

    /// Removes an attempt without answer from the entry host's count of outstanding requests.
    fn record_attempt_ended(&mut self, attempt: usize) {
        let AttemptState { request, target, .. } = self.attempts[attempt];
        let host = self.requests[request].host;
        self.reporting.views[host].record_ended(&self.target_names[target], None);
    }

    /// Returns the attempt's connection and work slot, and starts queued requests that fit now.
    fn release(&mut self, attempt: usize, reusable: bool, result: AttemptOutcome) {
        let queue = self.attempts[attempt].queue;
        let state = &mut self.queues[queue];
        state.connections.release(reusable);
        let actions = state.queue.finish(self.now, RequestTicket(attempt as u64), result);
        self.apply_actions(queue, actions);
    }

    fn wakeup(&mut self, queue: usize) {
        if self.queues[queue].wakeup != Some(self.now) {
            return;
        }
        self.queues[queue].wakeup = None;
        let actions = self.queues[queue].queue.expire(self.now);
        self.apply_actions(queue, actions);
    }

    fn schedule_wakeup(&mut self, queue: usize) {
        let state = &mut self.queues[queue];
        let Some(at) = state.queue.next_wakeup(self.now) else { return };
        if state.wakeup.is_none_or(|planned| at < planned) {
            state.wakeup = Some(at);
            self.events.push(at, ReplayEvent::Wakeup { queue });
        }
    }

    /// Returns the queues for `target`: one, or one per host with direct sending.
    fn queues_of(&self, target: usize) -> Vec<usize> {
        (target..self.queues.len()).step_by(self.targets.len()).collect()
    }

    fn budget_index(&self, request: usize) -> usize {
        let state = &self.requests[request];
        state.host * self.scenario.services.len() + state.service
    }

    /// Returns the entry host that dispatches to `target`.
    fn dispatcher(&self, target: usize) -> usize {
        let zone = self.targets[target].zone;
        let first = self.host_zones.iter().position(|&host| host == zone).unwrap_or(0);
        first + target % self.scenario.hosts_per_zone[zone]
    }

    /// Returns the host that queues an attempt.
    fn queue_host(&self, attempt: usize) -> usize {
        let AttemptState { request, target, .. } = self.attempts[attempt];
        match self.variant.sending {
            SendingMode::Dispatcher => self.dispatcher(target),
            SendingMode::Direct => self.requests[request].host,
        }
    }

    /// Whether two zones can reach each other.
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        from == to || !(self.partitioned_zones[from] || self.partitioned_zones[to])
    }

    /// Returns the one-way delay between two zones, or within one.
    fn network_delay(&self, from: usize, to: usize) -> Duration {
        if from == to { self.scenario.same_zone_delay } else { self.scenario.cross_zone_delay }
    }
}
