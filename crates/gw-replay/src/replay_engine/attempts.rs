use std::time::Duration;

use gw_dispatch::Admission;
use gw_dispatch::AttemptOutcome;
use gw_dispatch::CallerHash;
use gw_dispatch::ConnectionChoice;
use gw_dispatch::NEW_CONNECTION_COST;
use gw_dispatch::QueueActions;
use gw_dispatch::QueuedRequest;
use gw_dispatch::RefusalReason;
use gw_dispatch::RequestOutcome;
use gw_dispatch::RequestTicket;
use gw_dispatch::RetryDecision;
use gw_dispatch::RetryPolicy;
use gw_dispatch::RetryRequest;
use gw_dispatch::UnknownReason;
use gw_profile::ShedClass;

use super::ATTEMPT_LIMIT;
use super::CALLER_COUNT;
use super::ReplayEngine;
use crate::SendingMode;
use crate::event_queue::ReplayEvent;
use crate::request_state::AttemptPhase;
use crate::request_state::AttemptState;
use crate::simulated_target::TargetHealth;

/// Handling of attempts: queueing, sending, running, answers, failures and retries.
impl ReplayEngine<'_> {
    /// Queues an attempt. A non-idempotent request needs an idempotency record with a copy on
    /// another host first.
    pub(super) fn at_queue(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        let state = &self.requests[request];
        if state.is_idempotent() {
            return self.submit(attempt);
        }
        match self.records.begin(self.now, request, state) {
            Ok(()) => {
                let at = self.now + self.options.copy_delay;
                self.events.push(at, ReplayEvent::RecordCopied { attempt });
            }
            Err(outcome) => {
                self.record_attempt_ended(attempt);
                self.end_request(request, outcome, 0);
            }
        }
    }

    pub(super) fn submit(&mut self, attempt: usize) {
        let AttemptState { request, target, queue, .. } = self.attempts[attempt];
        let host = self.queue_host(attempt);
        let state = &self.requests[request];
        let service = &self.scenario.services[state.service].name;
        let estimate = self.service_times[host].estimate(service, state.shape());
        let class = match (state.is_idempotent(), state.attempts > 1, estimate.is_long) {
            (false, _, _) => ShedClass::NonIdempotent,
            (true, true, _) => ShedClass::Retry,
            (true, false, true) => ShedClass::LongIdempotent,
            (true, false, false) => ShedClass::ShortIdempotent,
        };
        let caller = state.zone as u64 * CALLER_COUNT + state.key.0 % CALLER_COUNT;
        let is_keyed = self.scenario.services[self.targets[target].service].is_keyed;
        let queued = QueuedRequest {
            ticket: RequestTicket(attempt as u64),
            class,
            is_long: estimate.is_long,
            runs_alone: false,
            expected: estimate.expected,
            deadline: state.deadline,
            caller: CallerHash(caller),
            key: is_keyed.then_some(state.key),
        };
        match self.queues[queue].queue.submit(self.now, queued) {
            Admission::Start => self.start(attempt),
            Admission::Refused { reason, .. } => self.refuse(attempt, reason),
            Admission::Queued { evicted } => {
                if let Some(evicted) = evicted {
                    self.refuse(evicted.ticket.0 as usize, evicted.reason);
                }
            }
        }
        self.schedule_wakeup(queue);
    }

    pub(super) fn apply_actions(&mut self, queue: usize, actions: QueueActions) {
        for refused in actions.refuse {
            self.refuse(refused.ticket.0 as usize, refused.reason);
        }
        for ticket in actions.start {
            self.start(ticket.0 as usize);
        }
        self.schedule_wakeup(queue);
    }

    pub(super) fn start(&mut self, attempt: usize) {
        let AttemptState { request, queue, .. } = self.attempts[attempt];
        let state = &self.requests[request];
        if !state.is_idempotent() {
            self.records.start(self.now, request, state);
        }
        let connect = match self.queues[queue].connections.acquire() {
            ConnectionChoice::Open => NEW_CONNECTION_COST,
            ConnectionChoice::Reuse | ConnectionChoice::AtLimit => Duration::ZERO,
        };
        let deadline = state.deadline;
        let state = &mut self.attempts[attempt];
        state.phase = AttemptPhase::Sent;
        state.started = self.now;
        let delay = match self.variant.sending {
            SendingMode::Dispatcher => self.scenario.same_zone_delay,
            SendingMode::Direct => Duration::from_nanos(state.network_ns / 2),
        };
        self.events.push(self.now + connect + delay, ReplayEvent::AtTarget { attempt });
        self.events.push(deadline, ReplayEvent::Deadline { attempt });
    }

    pub(super) fn at_target(&mut self, attempt: usize) {
        let AttemptState { target, phase, .. } = self.attempts[attempt];
        if phase != AttemptPhase::Sent {
            return;
        }
        if self.targets[target].health == TargetHealth::Exited {
            return self.fail(attempt, UnknownReason::ConnectionLost);
        }
        let next = self.targets[target].accept(attempt);
        self.run(next);
    }

    /// Begins the run of an attempt on its target, if there is one to run.
    pub(super) fn run(&mut self, attempt: Option<usize>) {
        let Some(attempt) = attempt else { return };
        let state = &mut self.attempts[attempt];
        state.has_run = true;
        let request = &mut self.requests[state.request];
        request.runs += 1;
        self.metrics.record_run(self.now, state.target, request.cost_us);
        let zone = self.targets[state.target].zone;
        self.planners.observe(request.service, zone, request.key, request.cost_us * 1_000);
        let ends = self.now + Duration::from_micros(request.cost_us);
        self.events.push(ends, ReplayEvent::RunEnds { attempt });
    }

    pub(super) fn run_ends(&mut self, attempt: usize) {
        let AttemptState { target, network_ns, .. } = self.attempts[attempt];
        let Ok(next) = self.targets[target].end_run(attempt) else { return };
        self.run(next);
        let delay = match self.variant.sending {
            SendingMode::Dispatcher => self.scenario.same_zone_delay,
            SendingMode::Direct => Duration::from_nanos(network_ns / 2),
        };
        self.events.push(self.now + delay, ReplayEvent::AnswerAtQueue { attempt });
    }

    pub(super) fn answer_at_queue(&mut self, attempt: usize) {
        let AttemptState { request, target, queue, phase, started, .. } = self.attempts[attempt];
        if phase != AttemptPhase::Sent {
            return;
        }
        self.attempts[attempt].phase = AttemptPhase::Ended;
        let time = self.now.since(started);
        let host = self.queue_host(attempt);
        let state = &self.requests[request];
        let service = &self.scenario.services[state.service].name;
        self.service_times[host].observe(service, state.shape(), time);
        if !state.is_idempotent() {
            self.records.finish(self.now, request, state, true);
        }
        let delay = match self.variant.sending {
            SendingMode::Dispatcher => self.network_delay(state.zone, self.targets[target].zone),
            SendingMode::Direct => Duration::ZERO,
        };
        self.events.push(self.now + delay, ReplayEvent::AnswerAtEntry { attempt });
        self.release(attempt, true, AttemptOutcome::Answered(time));
        debug_assert_eq!(self.attempts[attempt].queue, queue);
    }

    pub(super) fn answer_at_entry(&mut self, attempt: usize) {
        let AttemptState { request, target, started, network_ns, .. } = self.attempts[attempt];
        let (zone, host) = (self.requests[request].zone, self.requests[request].host);
        if !self.is_reachable(zone, self.targets[target].zone) {
            self.record_attempt_ended(attempt);
            let outcome = RequestOutcome::Unknown(UnknownReason::DispatcherLost);
            return self.end_request(request, outcome, 0);
        }
        let time = self.now.since(started);
        self.reporting.views[host].record_ended(&self.target_names[target], Some(time));
        let slot = self.requests[request].key.slot();
        let service = self.requests[request].service;
        self.owners.record_answered(self.now, service, slot, target);
        self.end_request(request, RequestOutcome::Answered, network_ns);
    }

    pub(super) fn deadline_reached(&mut self, attempt: usize) {
        if self.attempts[attempt].phase != AttemptPhase::Sent {
            return;
        }
        let next = self.targets[self.attempts[attempt].target].cancel(attempt);
        self.run(next);
        self.fail(attempt, UnknownReason::AnswerTimeout);
    }

    /// Ends an attempt that was sent but not answered, and retries its request if allowed.
    pub(super) fn fail(&mut self, attempt: usize, reason: UnknownReason) {
        let AttemptState { request, target, .. } = self.attempts[attempt];
        self.attempts[attempt].phase = AttemptPhase::Ended;
        let state = &self.requests[request];
        if !state.is_idempotent() {
            self.records.finish(self.now, request, state, false);
        }
        let host = state.host;
        self.reporting.views[host].record_failure(self.now, &self.target_names[target]);
        self.record_attempt_ended(attempt);
        self.release(attempt, false, AttemptOutcome::Failed);
        self.retry_or_end(attempt, true, RequestOutcome::Unknown(reason));
    }

    /// Ends an attempt that its queue refused. Only a request refused by a draining target is
    /// retried; after any other refusal it ends.
    pub(super) fn refuse(&mut self, attempt: usize, reason: RefusalReason) {
        let AttemptState { request, target, .. } = self.attempts[attempt];
        self.attempts[attempt].phase = AttemptPhase::Ended;
        let state = &self.requests[request];
        if !state.is_idempotent() {
            self.records.abandon(self.now, request, state);
        }
        let host = state.host;
        self.record_attempt_ended(attempt);
        let outcome = RequestOutcome::NotRun(reason.into());
        if reason != RefusalReason::Draining {
            return self.end_request(request, outcome, 0);
        }
        self.reporting.views[host].record_failure(self.now, &self.target_names[target]);
        self.retry_or_end(attempt, false, outcome);
    }

    pub(super) fn retry_or_end(&mut self, attempt: usize, was_sent: bool, outcome: RequestOutcome) {
        let AttemptState { request, target, .. } = self.attempts[attempt];
        let budget = self.budget_index(request);
        let state = &mut self.requests[request];
        let is_keyed = self.scenario.services[state.service].is_keyed;
        if !is_keyed {
            state.excluded.push(self.target_names[target].clone());
        }
        let retry = RetryRequest {
            is_idempotent: state.is_idempotent(),
            was_sent,
            attempts: state.attempts,
            expected: Duration::from_micros(state.cost_us),
            deadline: state.deadline,
            crashed: &[],
        };
        let crash_limit = self.variant.profile.refuse.crash_limit;
        let policy = RetryPolicy { crash_limit, attempt_limit: ATTEMPT_LIMIT };
        match policy.decide(self.now, &retry, &mut self.retry_budgets[budget]) {
            // Only the slot's next owner may run a keyed request.
            RetryDecision::Retry if is_keyed => self.wait_for_owner(request),
            RetryDecision::Retry => self.route(request),
            RetryDecision::Stop(_) => self.end_request(request, outcome, 0),
        }
    }
}
