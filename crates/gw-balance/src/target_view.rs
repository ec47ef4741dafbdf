use std::time::Duration;

use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_types::Timestamp;

use crate::AnsweredRequests;
use crate::AttemptOutcome;
use crate::cold_state::ColdState;
use crate::reported_load::TargetLoad;
use crate::target_pacer::TargetPacer;

/// Weight of the newest request in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Age from which an average is ignored, so that a slow target is tried again.
const MAX_AVERAGE_AGE: Duration = Duration::from_secs(4);
/// Pause after [`FAILURES_BEFORE_PAUSE`] consecutive failures; doubles with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failures. A target that has recovered is tried again within this time.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a refusal: a full target frees a slot in about the time of one request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(40);
/// Multiple of the average at which a response time is capped in reports. A few requests take far
/// longer than others on any target and say nothing about its speed.
const OUTLIER_FACTOR: u32 = 3;
/// Consecutive failures after which a target is paused. A single one may be caused by the request.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// State of one target, as observed by this host.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Latest announcement of the target.
    pub record: TargetRecord,
    /// Whether the target is in this host's availability zone.
    pub is_same_zone: bool,
    /// Whether this host prefers the target over others of its zone.
    pub is_preferred: bool,
    /// Factor on the expected response time when targets are compared: 1 for preferred targets,
    /// more for others. Differs between hosts.
    pub(crate) cost_factor: f64,
    /// Part of the cost factor of targets that are not preferred; differs between hosts.
    pub(crate) factor_spread: f64,
    /// Number of this host's requests in flight at the target.
    pub in_flight: u32,
    /// Time at which this host learned that the target is draining, from its record or its own answer.
    pub(crate) draining_since: Option<Timestamp>,
    /// Moving average of the response time in seconds; `None` before the first response.
    response_time: Option<f64>,
    /// Moving average of the fraction of failed requests, 0 to 1.
    failure_rate: f64,
    /// Number of consecutive failures.
    failures: u32,
    paused_until: Timestamp,
    /// Until when the target wants no requests from this host.
    rests_until: Timestamp,
    /// Until when the target counts as out of this host's reach: connections to it failed last.
    unreachable_until: Timestamp,
    /// Spaces this host's requests; `None` unless the target has named a limit on their rate.
    pacer: Option<TargetPacer>,
    /// Whether the target is presumed cold, and what may be sent to it meanwhile.
    pub(crate) cold: ColdState,
    /// Load that the target has stated.
    pub(crate) load: TargetLoad,
    /// When the target gets its last request for keys, because its zone is evacuated; it gets no
    /// other requests. `None` if the zone is not evacuated.
    pub(crate) evacuated_at: Option<Timestamp>,
    /// Whether another target responded at its address, so that this run has ended.
    has_ended: bool,
    last_outcome_at: Timestamp,
    /// When the target last responded to this host.
    pub(crate) responded_at: Timestamp,
    /// Number of successful requests since the last call of `take_answered`.
    unreported_count: u32,
    /// Number of requests since then that the target has turned away with a rest.
    unreported_rests: u32,
    /// Sum of their response times; see [`AnsweredRequests::total`].
    unreported_total: Duration,
}

impl TargetView {
    /// Creates the view of a run that this host has learnt of by log index `index`.
    pub(crate) fn new(
        record: TargetRecord,
        now: Timestamp,
        index: u64,
        factor_spread: f64,
    ) -> Self {
        Self {
            record,
            is_same_zone: false,
            is_preferred: false,
            cost_factor: 1.0,
            factor_spread,
            in_flight: 0,
            draining_since: None,
            response_time: None,
            failure_rate: 0.0,
            failures: 0,
            paused_until: Timestamp::ZERO,
            rests_until: Timestamp::ZERO,
            unreachable_until: Timestamp::ZERO,
            pacer: None,
            cold: ColdState::new(now, index),
            load: TargetLoad::default(),
            evacuated_at: None,
            has_ended: false,
            last_outcome_at: now,
            responded_at: Timestamp::ZERO,
            unreported_count: 0,
            unreported_rests: 0,
            unreported_total: Duration::ZERO,
        }
    }

    /// Returns the average response time in seconds, unless it is outdated.
    pub fn response_time(&self, now: Timestamp) -> Option<f64> {
        self.response_time
            .filter(|_| now.since(self.last_outcome_at) < MAX_AVERAGE_AGE || self.in_flight > 0)
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether requests may be sent to the target.
    pub fn is_available(&self, now: Timestamp) -> bool {
        self.is_serving() && !self.is_paused(now) && self.limit_wait(now).is_zero()
    }

    /// Returns whether the target accepts new requests, even if it is paused or limited.
    pub(crate) fn is_serving(&self) -> bool {
        self.would_serve() && self.evacuated_at.is_none()
    }

    /// Returns whether the target accepts new requests, or would if its zone were not evacuated.
    pub(crate) fn would_serve(&self) -> bool {
        self.draining_since.is_none() && !self.has_ended
    }

    /// Returns whether the evacuation of its zone allows no request to the target, one for a key that
    /// it holds if `is_keyed`.
    pub(crate) fn is_closed(&self, now: Timestamp, is_keyed: bool) -> bool {
        self.evacuated_at.is_some_and(|at| !is_keyed || now >= at)
    }

    /// Records that the target has said to this host that it leaves. Returns whether that is news.
    pub(crate) fn record_leaving(&mut self, now: Timestamp) -> bool {
        let is_new = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        is_new
    }

    /// Returns whether this host knows that the target is draining and the replicated state does not.
    pub(crate) fn is_leaving_unannounced(&self) -> bool {
        self.draining_since.is_some() && self.record.phase == TargetPhase::Serving
    }

    /// Returns the time until this host may send the next request: until the rest that the target has
    /// asked for is over, the limit that it has named allows one, and it is warm or this host has a
    /// permit. Zero if nothing limits the requests.
    pub fn limit_wait(&self, now: Timestamp) -> Duration {
        let paced = self.pacer.map_or(Duration::ZERO, |pacer| pacer.next_permit(now).since(now));
        paced.max(self.rests_until.since(now)).max(self.cold.wait(now))
    }

    /// Records that the target wants no request from this host for some time. Returns whether it
    /// did not rest before.
    pub(crate) fn record_rest(&mut self, now: Timestamp, rest: Duration) -> bool {
        self.unreported_rests += 1;
        let is_new = self.rests_until <= now;
        self.rests_until = self.rests_until.max(now + rest);
        is_new
    }

    /// Returns the time between two requests of this host that the limit of the target allows, or
    /// the leader if the target is cold; zero if nothing limits them.
    pub fn limit_interval(&self, now: Timestamp) -> Duration {
        let named = self.pacer.map_or(Duration::ZERO, |pacer| pacer.interval());
        named.max(self.cold.interval(now))
    }

    /// Sets the limit that the target has named for all of `host_count` hosts together. `phase`
    /// should differ between hosts.
    pub(crate) fn set_limit(
        &mut self,
        now: Timestamp,
        per_second: Option<f64>,
        host_count: u32,
        phase: f64,
    ) {
        match (&mut self.pacer, per_second) {
            (pacer, None) => *pacer = None,
            (Some(pacer), Some(limit)) => pacer.set_rate(now, limit, host_count),
            (pacer, Some(limit)) => *pacer = Some(TargetPacer::new(now, limit, host_count, phase)),
        }
    }

    pub(crate) fn record_start(&mut self, now: Timestamp) {
        self.in_flight += 1;
        if let Some(pacer) = &mut self.pacer {
            pacer.record_send(now);
        }
        self.cold.record_send(now);
    }

    /// Returns whether the target is presumed cold, so that it gets requests only by leases of the
    /// leader.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.cold.is_cold(now)
    }

    /// Returns whether another target responded at its address, so that this run has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns whether the target is paused after failures or a refusal.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Returns whether the last connections to the target failed. Other hosts may reach it.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Records that no other host reaches the target either.
    pub(crate) fn record_unreachable_everywhere(&mut self) {
        self.unreachable_until = Timestamp::ZERO;
    }

    /// Returns the remaining time of the pause; zero if the target is not paused.
    pub fn remaining_pause(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Returns the cost by which targets are compared: the expected response time of a further
    /// request in seconds, with penalties. `typical` replaces an unknown response time. A load that
    /// the target has stated can only raise the cost, if `uses_load`.
    pub(crate) fn cost(
        &self,
        now: Timestamp,
        typical: f64,
        zone_penalty: f64,
        uses_load: bool,
    ) -> f64 {
        let (others, pace) = match uses_load {
            true => (self.load.trusted_others(now), self.load.pace().unwrap_or(1.0).max(1.0)),
            false => (0.0, 1.0),
        };
        let response_time = self.response_time(now).unwrap_or(typical * pace);
        let slots = f64::from(self.record.work_slots.max(1));
        let rounds = ((f64::from(self.in_flight + 1) + others) / slots).max(1.0);
        let success_rate = (1.0 - self.failure_rate).max(0.1);
        let penalty = if self.is_same_zone { 0.0 } else { zone_penalty };
        response_time * rounds * self.cost_factor / (success_rate * success_rate) + penalty
    }

    /// Applies a newer announcement of the same run.
    pub(crate) fn update_record(&mut self, record: &TargetRecord, now: Timestamp) {
        if self.record != *record {
            self.record = record.clone();
        }
        if record.phase == TargetPhase::Draining {
            self.draining_since.get_or_insert(now);
        }
    }

    pub(crate) fn record_end(&mut self, now: Timestamp, outcome: AttemptOutcome) {
        let is_failure = match outcome {
            AttemptOutcome::Cancelled => return,
            AttemptOutcome::Replaced => {
                self.has_ended = true;
                return;
            }
            AttemptOutcome::Refused => {
                self.paused_until = self.paused_until.max(now + REFUSAL_PAUSE);
                return;
            }
            AttemptOutcome::Answered { elapsed, is_failure } => {
                self.responded_at = now;
                if !is_failure {
                    self.add_unreported(elapsed);
                }
                self.update_response_time(elapsed.as_secs_f64());
                is_failure
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Unanswered => {
                true
            }
        };
        self.last_outcome_at = now;
        self.failure_rate += AVERAGE_WEIGHT * (f64::from(u8::from(is_failure)) - self.failure_rate);
        match outcome {
            AttemptOutcome::Unreachable => self.cold.record_failure(now, true),
            AttemptOutcome::Broken => self.cold.record_failure(now, false),
            AttemptOutcome::Answered { .. } => self.cold.record_reached(now),
            _ => {}
        }
        if outcome != AttemptOutcome::Unreachable {
            self.unreachable_until = Timestamp::ZERO;
        }
        if !is_failure {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        let doublings = self.failures.saturating_sub(FAILURES_BEFORE_PAUSE).min(4);
        let pause = (INITIAL_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        if outcome == AttemptOutcome::Unreachable {
            self.unreachable_until = now + pause;
        }
        // Broken connections do not pause a target: it still processes other requests.
        let is_unresponsive =
            matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Unanswered);
        if is_unresponsive && self.failures >= FAILURES_BEFORE_PAUSE {
            self.paused_until = now + pause;
        }
    }

    fn add_unreported(&mut self, elapsed: Duration) {
        let average = self.response_time.map_or(elapsed, Duration::from_secs_f64);
        self.unreported_count += 1;
        self.unreported_total += elapsed.min(average * OUTLIER_FACTOR);
    }

    pub(crate) fn take_answered(&mut self, now: Timestamp) -> Option<AnsweredRequests> {
        let count = std::mem::take(&mut self.unreported_count);
        let total = std::mem::take(&mut self.unreported_total);
        let rests = std::mem::take(&mut self.unreported_rests);
        (count > 0 || rests > 0).then(|| AnsweredRequests {
            holder: self.record.holder(),
            count,
            total,
            rests,
            rest: self.rests_until.since(now),
        })
    }

    fn update_response_time(&mut self, seconds: f64) {
        let average = self.response_time.get_or_insert(seconds);
        *average += AVERAGE_WEIGHT * (seconds - *average);
    }
}
