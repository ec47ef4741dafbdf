use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use gw_dispatch::HedgePlanner;
use gw_dispatch::HedgeVerdict;
use gw_routing::RepeatRule;
use gw_types::TargetName;
use tokio::time::Instant;

use crate::entry::admission::SendPermit;
use crate::entry::admission::admit_now;
use crate::entry::entry_host::EntryHost;
use crate::entry::read_request::ReadRequest;
use crate::entry::read_request::RequestOrigin;
use crate::entry::target_attempt::ForwardOutcome;
use crate::entry::target_attempt::attempt;
use crate::entry::transfer_gate::TransferSlot;

/// An attempt that failed while the other one of the same request was still running.
pub(crate) struct FailedAttempt {
    pub(crate) target: TargetName,
    pub(crate) outcome: ForwardOutcome,
}

/// Whether a request may get a second attempt at all: only one that may be repeated, goes to any
/// target of its service, comes from a caller, and has an id by which responses can be told apart.
pub(crate) fn may_hedge(host: &EntryHost, request: &ReadRequest) -> bool {
    host.hedging.borrow().is_some()
        && request.rule.repeat == RepeatRule::Idempotent
        && request.params.key.is_none()
        && request.origin == RequestOrigin::Caller
        && request.metadata.request_id.is_some()
        && request.rule.max_attempts >= 2
}

/// Sends a request to the target of `permit`, which is none of `tried`, and if that takes longer than nearly all responses of
/// the service, to a second target as well. The first response is used; the other attempt is
/// cancelled by closing its connection.
///
/// Returns the outcome of the last attempt with its target, and a failure of the other one. A
/// response is never returned as a failure.
pub(crate) async fn hedged_attempt(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    permit: SendPermit,
    tried: &[TargetName],
    slot: &mut Option<TransferSlot>,
) -> (TargetName, ForwardOutcome, Option<FailedAttempt>) {
    let service = &request.params.service;
    let started = Instant::now();
    let first_target = permit.holder.target.clone();
    let delay = with_planner(host, |planner| {
        planner.record_request(service);
        planner.delay(host.now(), service)
    });
    let mut first = pin!(attempt(host, request, permit, false, slot));
    let until_second = async {
        match delay.flatten() {
            Some(delay) => tokio::time::sleep_until(started + delay).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        outcome = &mut first => {
            record_response(host, request, &outcome, started);
            return (first_target, outcome, None);
        }
        () = until_second => {}
    }
    let Some(permit) = start_second(host, request, tried, &first_target) else {
        let outcome = first.await;
        record_response(host, request, &outcome, started);
        return (first_target, outcome, None);
    };
    let second_started = Instant::now();
    let second_target = permit.holder.target.clone();
    host.metrics.count_second_attempt(service.as_str(), "sent");
    let mut no_slot = None;
    let mut second = pin!(attempt(host, request, permit, false, &mut no_slot));
    let (is_second, outcome) = tokio::select! {
        biased;
        outcome = &mut first => (false, outcome),
        outcome = &mut second => (true, outcome),
    };
    if !matches!(outcome, ForwardOutcome::Response(_)) {
        // The other attempt may still be answered.
        let (target, failed_target) = match is_second {
            true => (first_target, second_target),
            false => (second_target, first_target),
        };
        let failed = FailedAttempt { target: failed_target, outcome };
        let outcome = if is_second { first.await } else { second.await };
        let is_second_won = !is_second && matches!(outcome, ForwardOutcome::Response(_));
        let end = if is_second_won { "won" } else { "lost" };
        host.metrics.count_second_attempt(service.as_str(), end);
        record_response(host, request, &outcome, if is_second { started } else { second_started });
        return (target, outcome, Some(failed));
    }
    record_response(host, request, &outcome, if is_second { second_started } else { started });
    let cancelled_after = if is_second { started.elapsed() } else { second_started.elapsed() };
    if is_second {
        // The first attempt would have taken longer.
        with_planner(host, |planner| {
            planner.record_response(host.now(), service, cancelled_after);
        });
    }
    let (target, loser) = match is_second {
        true => (second_target, first_target),
        false => (first_target, second_target),
    };
    host.metrics
        .count_second_attempt(service.as_str(), if is_second { "won" } else { "cancelled" });
    log::info!(
        "event=attempt_cancelled id={} number={} service={service} target={loser} answered_by={target} \
         ran_ms={}",
        request.id(),
        request.number,
        cancelled_after.as_millis(),
    );
    // Dropping the other attempt closes its connection.
    (target, outcome, None)
}

/// Returns a permit for a second attempt, unless a limit denies it.
fn start_second(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    tried: &[TargetName],
    first_target: &TargetName,
) -> Option<SendPermit> {
    let (params, now) = (&request.params, host.now());
    let service = &params.service;
    let denied = |end| {
        host.metrics.count_second_attempt(service.as_str(), end);
        None
    };
    if !host.may_send(params) || host.connections.path().is_lost() {
        return denied("denied_path");
    }
    let mut tried = [tried, std::slice::from_ref(first_target)].concat();
    {
        // What cold targets sustain is left to first attempts.
        let pool = host.pool.borrow();
        let cold = pool.targets_of(service).filter(|target| target.is_cold(now));
        tried.extend(cold.map(|target| target.record.name.clone()));
    }
    let Some(permit) = admit_now(host, params, &tried) else {
        return denied("denied_target");
    };
    let expected = {
        let pool = host.pool.borrow();
        let target = pool.target(&permit.holder.target);
        target.and_then(|target| target.response_time(now)).map(Duration::from_secs_f64)
    };
    let remaining = params.objective.saturating_duration_since(Instant::now());
    let verdict = with_planner(host, |planner| planner.verdict(now, service, remaining, expected));
    match verdict {
        Some(HedgeVerdict::Allowed) => {}
        Some(HedgeVerdict::TooLate) => return denied("denied_late"),
        Some(HedgeVerdict::OverShare) | None => return denied("denied_share"),
    }
    if !host.try_retry(service) {
        return denied("denied_retry_budget");
    }
    with_planner(host, |planner| planner.record_start(service));
    Some(permit)
}

/// Records the time of an attempt that was answered.
fn record_response(
    host: &EntryHost,
    request: &ReadRequest,
    outcome: &ForwardOutcome,
    started: Instant,
) {
    if matches!(outcome, ForwardOutcome::Response(_)) {
        with_planner(host, |planner| {
            planner.record_response(host.now(), &request.params.service, started.elapsed());
        });
    }
}

/// Runs `act` unless second attempts have been turned off since.
fn with_planner<T>(host: &EntryHost, act: impl FnOnce(&mut HedgePlanner) -> T) -> Option<T> {
    host.hedging.borrow_mut().as_mut().map(act)
}
