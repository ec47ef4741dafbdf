use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gw_dispatch::AttemptOutcome;
use gw_dispatch::CrashVerdict;
use gw_dispatch::RefusalReason;
use gw_dispatch::StoredAnswer;
use gw_node::TargetResult;
use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::SlotIndex;
use gw_types::TargetEntry;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

use super::RecordClaim;
use super::RecordDecision;
use super::Router;
use super::exchange::ExchangeOptions;
use super::exchange::OpenExchange;
use super::exchange::exchange;
use super::request_context::RequestContext;
use crate::dispatch::DispatchQueue;
use crate::dispatch::DispatchRefusal;
use crate::dispatch::DispatchRequest;
use crate::dispatch::InFlightGuard;
use crate::dispatch::WorkPermit;
use crate::http::DEADLINE_MS;
use crate::http::FORWARD;
use crate::http::Failure;
use crate::http::FailureCause;
use crate::http::KEY;
use crate::http::REFUSED;
use crate::http::REQUEST_ID;
use crate::http::ResponseBody;
use crate::http::ResponseGuard;
use crate::http::SLOT;
use crate::http::TOKEN;
use crate::records::RecordGuard;

/// Grant under which a request is sent; `None` for an unkeyed service.
type Grant = Option<KeyGrant>;

/// Fields of a grant that are sent to the target.
#[derive(Clone, Copy)]
struct KeyGrant {
    slot: SlotIndex,
    /// Present if the routing table has an override for the key.
    key: Option<KeyHash>,
    token: FencingToken,
}

/// Result of claiming the idempotency record of a request.
enum ClaimResult {
    /// The request has no idempotency key.
    Unrecorded,
    /// The claim is won: no other host has run the request or will run it.
    Won(RecordGuard),
    /// The request was answered before. Contains the stored response.
    Answered(Arc<StoredAnswer>),
}

impl Router {
    /// Sends a request to a target that this host dispatches to.
    ///
    /// Handovers are safe only because of the order of the steps: wait in the queue, register as in
    /// flight, read the routing table again, check the lease before each write.
    pub(super) async fn dispatch(
        &self,
        context: &mut RequestContext,
        target: &TargetEntry,
    ) -> Result<Response<ResponseBody>, Failure> {
        let stale = Failure::not_run(FailureCause::StaleRoute);
        let queue = self.state().queues().get(target.name.as_str()).ok_or(stale)?;
        let load = self.load_guard(context, target);
        if context.idempotency_key.is_some() {
            // The fingerprint in the record includes the body.
            let prepared = context.body.prepare().await;
            prepared.map_err(|failure| Failure::not_run(failure.into()))?;
        }
        let grant = self.current_grant(context, target).ok_or(stale)?;
        let mut record = match self.claim_record(context, grant).await? {
            ClaimResult::Unrecorded => None,
            ClaimResult::Won(record) => Some(record),
            ClaimResult::Answered(answer) => return self.stored_response(&answer),
        };
        let verdict = self.check_quarantine(context)?;
        let mut permit = self.acquire_permit(&queue, context, verdict).await?;
        let in_flight = InFlightGuard::register(self.state(), &target.name, context.key);
        let grant = self.current_grant(context, target).ok_or(stale)?;
        let prepared = tokio::select! {
            prepared = context.body.prepare() => prepared.map_err(FailureCause::from),
            () = in_flight.cancel.cancelled() => Err(FailureCause::Cancelled),
        };
        prepared.map_err(Failure::not_run)?;
        self.check_quarantine(context)?;
        let run = self.parts.quarantine.start_attempt(target, context.fingerprint());
        if let Some(record) = &mut record {
            record.set_written();
        }
        let started = Instant::now();
        let result = self.send_to_target(context, &queue, &in_flight, grant).await;
        if let Err(failure) = &result {
            if !failure.written
                && let Some(record) = &mut record
            {
                record.set_not_run();
            }
            if failure.written && failure.cause == FailureCause::ConnectionLost {
                run.record_crash();
            }
        }
        self.record_result(context, &queue, &mut permit, started.elapsed(), &result);
        let OpenExchange { response, connection, progress, timer } = result?;
        let (pool, work) = (queue.pool.clone(), Some((in_flight, permit)));
        let (run, capture) = (Some(run), None);
        let guard = ResponseGuard { connection, pool, progress, work, load, run, capture };
        Ok(self.relay_response(response, guard, timer, context, record))
    }

    /// Returns an error if the request has crashed as many targets as its profile allows.
    pub(super) fn check_quarantine(
        &self,
        context: &RequestContext,
    ) -> Result<CrashVerdict, Failure> {
        let limit = context.profile.refuse.crash_limit;
        match self.parts.quarantine.verdict(context.fingerprint(), limit) {
            CrashVerdict::Refused => Err(Failure::not_run(FailureCause::Quarantined)),
            verdict => Ok(verdict),
        }
    }

    /// Waits for a work slot of the target.
    async fn acquire_permit(
        &self,
        queue: &Arc<DispatchQueue>,
        context: &RequestContext,
        verdict: CrashVerdict,
    ) -> Result<WorkPermit, Failure> {
        let estimate = self.stats.estimate(&context.service, context.shape);
        let request = DispatchRequest {
            class: context.shed_class(&estimate),
            is_long: estimate.is_long,
            runs_alone: verdict == CrashVerdict::Suspect,
            expected: estimate.expected,
            deadline: context.deadline.timestamp,
            caller: context.caller,
            key: context.key,
        };
        let acquiring = queue.acquire(request, &context.profile);
        let cause = match tokio::time::timeout_at(context.deadline.instant, acquiring).await {
            Ok(Ok(permit)) => return Ok(permit),
            Ok(Err(DispatchRefusal::Queue(RefusalReason::Shed))) => FailureCause::QueueFull,
            Ok(Err(DispatchRefusal::Queue(RefusalReason::Draining) | DispatchRefusal::Closed)) => {
                FailureCause::StaleRoute
            }
            Ok(Err(DispatchRefusal::Queue(_))) | Err(_) => FailureCause::DeadlineBeforeStart,
        };
        Err(Failure::not_run(cause))
    }

    /// Returns the current grant, or `None` if the request is no longer routed to this process of
    /// `target` by way of this host.
    fn current_grant(&self, context: &RequestContext, target: &TargetEntry) -> Option<Grant> {
        let routes = self.state().routes();
        let service = routes.service(context.service.as_str())?;
        let (current, grant) = match context.key {
            Some(key) => {
                let route = service.key_route(key);
                let key = route.is_override.then_some(key);
                (route.owner?.1, Some(KeyGrant { slot: route.slot, key, token: route.token }))
            }
            None => (service.targets().find(|(_, entry)| entry.name == target.name)?.1, None),
        };
        let is_same = current.name == target.name
            && current.boot == target.boot
            && current.state.accepts_work()
            && current.dispatcher == Some(self.parts.host.id);
        is_same.then_some(grant)
    }

    /// Claims the idempotency record of the request, if it has an idempotency key.
    async fn claim_record(
        &self,
        context: &RequestContext,
        grant: Grant,
    ) -> Result<ClaimResult, Failure> {
        let Some(idempotency_key) = context.idempotency_key.clone() else {
            return Ok(ClaimResult::Unrecorded);
        };
        let claim = RecordClaim {
            service: context.service.clone(),
            grant: grant.map(|grant| (grant.slot, grant.token)),
            idempotency_key,
            fingerprint: context.fingerprint(),
            deadline: context.deadline.instant,
            id: None,
            holders: Vec::new(),
        };
        let not_run = |cause| Err(Failure::not_run(cause));
        match self.parts.records.begin(claim).await {
            RecordDecision::Run(claim) => {
                Ok(ClaimResult::Won(RecordGuard::new(self.parts.records.clone(), claim)))
            }
            RecordDecision::Answered(answer) => Ok(ClaimResult::Answered(answer)),
            RecordDecision::MayHaveRun => {
                Err(Failure { cause: FailureCause::DuplicateRequest, written: true })
            }
            RecordDecision::Mismatch => not_run(FailureCause::IdempotencyKeyReused),
            RecordDecision::Full => not_run(FailureCause::RecordsFull),
            RecordDecision::Unavailable => not_run(FailureCause::RecordsUnavailable),
        }
    }

    /// Returns the stored response of the target to the first request with the same idempotency
    /// key.
    fn stored_response(&self, answer: &StoredAnswer) -> Result<Response<ResponseBody>, Failure> {
        let invalid_answer = Failure { cause: FailureCause::DuplicateRequest, written: true };
        let mut response = Response::new(ResponseBody::text(answer.body.to_vec()));
        *response.status_mut() = StatusCode::from_u16(answer.status).map_err(|_| invalid_answer)?;
        for (name, value) in &answer.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| invalid_answer)?;
            let value = HeaderValue::from_bytes(value).map_err(|_| invalid_answer)?;
            response.headers_mut().append(name, value);
        }
        self.mark_answered(response.headers_mut());
        Ok(response)
    }

    /// Sends the request and waits for the response head. A refusal because of a stale token is
    /// returned as a failure.
    async fn send_to_target(
        &self,
        context: &mut RequestContext,
        queue: &DispatchQueue,
        in_flight: &InFlightGuard,
        grant: Grant,
    ) -> Result<OpenExchange, Failure> {
        set_target_fields(context, grant);
        let options = ExchangeOptions {
            deadline: context.deadline.instant,
            connect_timeout: self.parts.limits.connect_timeout(),
            cancel: Some(&in_flight.cancel),
            idempotent: context.idempotent,
        };
        let exchanged = exchange(&queue.pool, &context.head, &mut context.body, options).await?;
        if is_stale_token(&exchanged.response) && queue.assignment.target.checks_tokens {
            return Err(Failure::not_run(FailureCause::StaleToken));
        }
        Ok(exchanged)
    }

    /// Updates the service times, the queue and the load report, and reports the result to the
    /// control thread if the target failed or a report is due.
    fn record_result(
        &self,
        context: &RequestContext,
        queue: &DispatchQueue,
        permit: &mut WorkPermit,
        elapsed: Duration,
        result: &Result<OpenExchange, Failure>,
    ) {
        let target = &queue.assignment.target;
        let answered = match result {
            Ok(exchanged) => {
                self.stats.observe(&context.service, context.shape, elapsed);
                permit.set_outcome(AttemptOutcome::Answered(elapsed));
                if let Some(key) = context.key {
                    self.loads.observe(&context.service, key, elapsed);
                }
                !exchanged.response.status().is_server_error()
            }
            Err(failure) => {
                permit.set_outcome(AttemptOutcome::Failed);
                if !failure.cause.counts_against_target() {
                    return;
                }
                false
            }
        };
        if answered && !queue.is_report_due() {
            return;
        }
        let (name, boot) = (target.name.clone(), target.boot);
        self.report(TargetResult { target: name, boot, answered, elapsed });
    }
}

/// Sets the header fields for the target and removes those of an earlier attempt.
fn set_target_fields(context: &mut RequestContext, grant: Grant) {
    let remaining_ms = context.deadline.remaining_ms();
    let headers = &mut context.head.headers;
    headers.remove(FORWARD);
    headers.remove(KEY);
    if let Some(grant) = grant {
        headers.insert(SLOT, HeaderValue::from(grant.slot.0));
        headers.insert(TOKEN, HeaderValue::from(grant.token.as_u64()));
        let key = grant.key.and_then(|key| HeaderValue::from_str(&key.to_string()).ok());
        if let Some(key) = key {
            headers.insert(KEY, key);
        }
    }
    headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
    insert_request_id(headers, &context.request_id);
}

/// Sets the request ID. IDs made by hosts contain only characters that are valid in header values.
pub(super) fn insert_request_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
}

fn is_stale_token<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::CONFLICT
        && response.headers().get(REFUSED).is_some_and(|value| value == "stale-token")
}
