use std::rc::Rc;
use std::time::Duration;

use gw_balance::ConnectionGroup;
use gw_dispatch::CrashVerdict;
use gw_dispatch::MisdirectionRetry;
use gw_pipeline::ParseError;
use gw_pipeline::ParserLimits;
use gw_pipeline::RequestBody;
use gw_routing::RepeatRule;
use gw_types::TargetName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use tokio::time::Instant;

use crate::callers::CallerHandler;
use crate::callers::CallerLimits;
use crate::callers::RequestTurn;
use crate::callers::ResponseBody;
use crate::entry::admission::AdmissionParams;
use crate::entry::admission::ZONE_EVACUATED;
use crate::entry::admission::admit;
use crate::entry::admission::evacuation_refusal;
use crate::entry::admission::max_wait;
use crate::entry::entry_host::EntryHost;
use crate::entry::hedged_attempt::hedged_attempt;
use crate::entry::hedged_attempt::may_hedge;
use crate::entry::local_reply::LocalReply;
use crate::entry::read_request::ReadRequest;
use crate::entry::read_request::RequestOrigin;
use crate::entry::read_request::read_request;
use crate::entry::read_request::wait_for_config;
use crate::entry::relay_attempt::RelayOutcome;
use crate::entry::relay_attempt::relay;
use crate::entry::relay_headers::PATH_LOST;
use crate::entry::relay_headers::RELAY_BUSY;
use crate::entry::relay_headers::RelayRefusal;
use crate::entry::relay_headers::TARGET_UNREACHABLE;
use crate::entry::relay_slot::RelaySlot;
use crate::entry::target_attempt::ForwardOutcome;
use crate::entry::target_attempt::attempt;
use crate::entry::transfer_gate::TransferSlot;
use crate::http_server::DEFAULT_HEAD_BYTES;
use crate::http_server::DEFAULT_IDLE_TIMEOUT;
use crate::memory::MemoryGate;

/// `Retry-After` when targets refused all attempts.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(200);
/// `Retry-After` of a host that stops: others serve the request at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(10);
/// `Retry-After` when the holder of the key is overloaded: keys move to other targets within one to
/// two seconds.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a host that relays for others and has a full link: new connections show within that
/// time whether it still is.
const RELAY_BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` for a request that crashes targets: the time until the targets are back.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(10);
/// `Retry-After` when the memory for bodies is used up: about the time in which senders without
/// progress are closed.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time for which a body waits for memory. Senders without progress are closed in about a
/// second, and what they held is free then.
const MAX_BODY_WAIT: Duration = Duration::from_secs(2);
/// Part of the caller's time limit for which its body may wait, so that it can try elsewhere.
const BODY_WAIT_SHARE: f64 = 0.25;
/// Number of targets that a request may crash before all hosts refuse it.
const CRASH_LIMIT: u8 = 3;
/// Attempts that may fail before anything is sent. They do not count towards the route's
/// `max_attempts`.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Limits of a caller's connection while this host has no configuration.
const DEFAULT_CALLER_LIMITS: CallerLimits = CallerLimits {
    parser: ParserLimits { head_bytes: DEFAULT_HEAD_BYTES, body_bytes: 1024 * 1024 },
    idle_timeout: DEFAULT_IDLE_TIMEOUT,
};
/// Longest idle time of a caller's connection, whatever the configuration states: a time that exceeds
/// the range of the clock ended every connection.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// Bytes that a relayed request's head may have beyond the limit for callers.
const RELAY_HEAD_BYTES: usize = 1024;

/// Handles the requests of callers, or of other entry hosts, on an entry host.
pub(crate) struct RequestHandler {
    host: Rc<EntryHost>,
    origin: RequestOrigin,
}

impl RequestHandler {
    pub(crate) fn new(host: Rc<EntryHost>, origin: RequestOrigin) -> Self {
        Self { host, origin }
    }
}

impl CallerHandler for RequestHandler {
    fn limits(&self) -> CallerLimits {
        let bytes = |limit: u64| usize::try_from(limit).unwrap_or(usize::MAX);
        let config = self.host.config();
        let limits = config.map_or(DEFAULT_CALLER_LIMITS, |config| CallerLimits {
            parser: ParserLimits {
                head_bytes: bytes(config.limits.max_head_bytes),
                body_bytes: bytes(config.limits.max_body_bytes),
            },
            idle_timeout: config
                .limits
                .idle_timeout
                .max(config.limits.head_timeout)
                .min(MAX_IDLE_TIMEOUT),
        });
        match self.origin {
            RequestOrigin::Caller => limits,
            RequestOrigin::EntryHost => CallerLimits {
                parser: ParserLimits {
                    head_bytes: limits.parser.head_bytes.saturating_add(RELAY_HEAD_BYTES),
                    ..limits.parser
                },
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
            },
        }
    }

    fn is_stopping(&self) -> bool {
        self.host.is_stopping.get()
    }

    fn respond(
        self: Rc<Self>,
        request: Request<RequestBody>,
        turn: RequestTurn,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static {
        handle_request(self.host.clone(), request, self.origin, turn)
    }

    fn refuse(&self, error: ParseError) -> Response<ResponseBody> {
        let refusal = LocalReply::client_error(error.status(), error.reason());
        log_refusal(&self.host, self.host.next_number(), &refusal);
        self.host.metrics.count_request("none", refusal.reason, Duration::ZERO);
        refusal.response_to(self.origin)
    }

    fn refuse_for_memory(&self) -> Response<ResponseBody> {
        let refusal = LocalReply::not_executed("memory_full", MEMORY_RETRY_AFTER);
        log_refusal(&self.host, self.host.next_number(), &refusal);
        self.host.metrics.count_request("none", refusal.reason, Duration::ZERO);
        refusal.response_to(self.origin)
    }

    fn max_body_wait(&self, head: &request::Parts) -> Duration {
        let timeout = self.host.adapter.read_request_metadata(head).timeout;
        timeout.map_or(MAX_BODY_WAIT, |timeout| MAX_BODY_WAIT.min(timeout.mul_f64(BODY_WAIT_SHARE)))
    }

    fn memory(&self) -> (Rc<MemoryGate>, ConnectionGroup) {
        let group = match self.origin {
            RequestOrigin::Caller => ConnectionGroup::Callers,
            RequestOrigin::EntryHost => ConnectionGroup::Hosts,
        };
        (self.host.memory.clone(), group)
    }

    fn count_pipelined(&self) {
        self.host.metrics.pipelined_requests.inc();
    }
}

/// Handles one request, from reading it to the response.
async fn handle_request(
    host: Rc<EntryHost>,
    request: Request<RequestBody>,
    origin: RequestOrigin,
    turn: RequestTurn,
) -> Response<ResponseBody> {
    let started = Instant::now();
    let number = host.next_number();
    let (head, body) = request.into_parts();
    wait_for_config(&host, &head, started).await;
    let (service, response, outcome) =
        match read_request(&host, (head, body), origin, started, number) {
            Ok(read) => {
                if read.rule.repeat == RepeatRule::AtMostOnce {
                    turn.wait().await;
                }
                let service = read.params.service.clone();
                let (response, outcome) = forward_request(&host, &read).await;
                (service.to_string(), response, outcome)
            }
            Err(refusal) => {
                log_refusal(&host, number, &refusal);
                ("none".to_owned(), refusal.response_to(origin), refusal.reason)
            }
        };
    host.metrics.count_request(&service, outcome, started.elapsed());
    response
}

fn log_refusal(host: &EntryHost, number: u64, refusal: &LocalReply) {
    log::info!(
        "event=refused number={number} status={} reason={} config={}",
        refusal.status.as_u16(),
        refusal.reason,
        host.state().config_version(),
    );
}

/// Forwards a request to targets, with retries where they are safe. Returns the response and the
/// outcome for metrics.
async fn forward_request(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
) -> (Response<ResponseBody>, &'static str) {
    let params = &request.params;
    let is_relayed = request.origin == RequestOrigin::EntryHost;
    if is_relayed && host.connections.path().is_lost() {
        return refuse(host, request, LocalReply::not_executed(PATH_LOST, REFUSAL_RETRY_AFTER));
    }
    if !is_relayed {
        // The host that received the request from the caller counts it.
        host.record_request(&params.service, params.key);
    }
    let Some(_relay_slot) = RelaySlot::enter(&host.connections, request.origin) else {
        let refusal = LocalReply::not_executed(RELAY_BUSY, RELAY_BUSY_RETRY_AFTER);
        return refuse(host, request, refusal);
    };
    if !is_within_holder_share(host, params) {
        return refuse(
            host,
            request,
            LocalReply::not_executed("holder_overloaded", OVERLOAD_RETRY_AFTER),
        );
    }
    let mut slot = match enter_transfer(host, request).await {
        Ok(slot) => slot,
        Err(refusal) => return refuse(host, request, refusal),
    };
    let mut tried: Vec<TargetName> = Vec::new();
    let (mut reached, mut unsent) = (0, 0);
    // Attempts that count towards the route's limit: targets that did not hold the key do not.
    let mut counted = 0;
    let mut misdirections = MisdirectionRetry::default();
    let mut may_relay = !is_relayed;
    let mut was_refused = false;
    // Whether a connection to the last target could not be established.
    let mut is_unreachable = false;
    // The reply if no further attempt is made.
    let mut last = None;
    loop {
        let verdict = {
            let quarantine = host.quarantine.borrow();
            quarantine.verdict(host.now(), request.fingerprint, CRASH_LIMIT)
        };
        if verdict == CrashVerdict::Refused {
            let refusal = LocalReply::not_executed("crashes_targets", QUARANTINE_RETRY_AFTER);
            return refuse(host, request, last.unwrap_or(refusal));
        }
        if !host.may_send(params) {
            let refusal = LocalReply::not_executed("stopping", STOP_RETRY_AFTER);
            return refuse(host, request, last.unwrap_or(refusal));
        }
        // Also keeps the request from other entry hosts, which may not know of the evacuation yet.
        if let Some(refusal) = evacuation_refusal(host, params) {
            return refuse(host, request, last.unwrap_or(refusal));
        }
        if may_relay && (is_unreachable || host.lacks_path(params)) {
            may_relay = false;
            if reached > 0 && !may_retry(host, request) {
                let refusal = LocalReply::not_executed("retry_budget", REFUSAL_RETRY_AFTER);
                return refuse(host, request, last.unwrap_or(refusal));
            }
            let attempts = request.rule.max_attempts.max(1).saturating_sub(counted).max(1);
            if let Some(ended) = send_through_relay(host, request, attempts, &mut slot, last).await
            {
                return ended;
            }
        }
        let permit = match admit(host, params, &tried).await {
            Ok(permit) => permit,
            Err(_) if may_relay && host.connections.path().is_lost() => {
                is_unreachable = true;
                continue;
            }
            Err(refusal) => return refuse(host, request, last.unwrap_or(refusal)),
        };
        // The host may have started to close while the request was queued.
        if !host.may_send(params) {
            continue;
        }
        if reached > 0 && !may_retry(host, request) {
            let refusal = LocalReply::not_executed("retry_budget", REFUSAL_RETRY_AFTER);
            return refuse(host, request, last.unwrap_or(refusal));
        }
        let mut target = permit.holder.target.clone();
        let outcome = if reached == 0 && may_hedge(host, request) {
            let (last_target, outcome, failed) =
                // Two attempts at once need more memory than one, which other requests do not pay for.
                Box::pin(hedged_attempt(host, request, permit, &tried, &mut slot)).await;
            if let Some(failed) = failed {
                match failed.outcome {
                    ForwardOutcome::Response(_) => {}
                    ForwardOutcome::NotExecuted { reason, reached: was_reached, .. } => {
                        reached += u32::from(was_reached);
                        counted += u32::from(was_reached);
                        was_refused |= was_reached;
                        last = Some(LocalReply::not_executed(reason, REFUSAL_RETRY_AFTER));
                    }
                    ForwardOutcome::Unknown { status, reason, .. } => {
                        reached += 1;
                        counted += 1;
                        last = Some(LocalReply::outcome_unknown(status, reason));
                    }
                }
                tried.push(failed.target);
            }
            target = last_target;
            outcome
        } else {
            attempt(host, request, permit, was_refused, &mut slot).await
        };
        let misdirected = matches!(outcome, ForwardOutcome::NotExecuted { misdirected: true, .. });
        let may_try_again =
            matches!(outcome, ForwardOutcome::Unknown { is_connection_fault: true, .. });
        match outcome {
            ForwardOutcome::Response(mut response) => {
                if is_relayed {
                    RelayRefusal::remove(response.headers_mut());
                }
                return (*response, "answered");
            }
            ForwardOutcome::NotExecuted { reason, reached: was_reached, .. } => {
                reached += u32::from(was_reached);
                counted += u32::from(was_reached && !misdirected);
                was_refused |= was_reached;
                unsent += u32::from(!was_reached);
                is_unreachable = reason == TARGET_UNREACHABLE;
                // If an earlier attempt of an idempotent request may have been executed, the reply
                // must keep saying so.
                let was_unknown = last.as_ref().is_some_and(|last: &LocalReply| {
                    last.status != StatusCode::SERVICE_UNAVAILABLE
                });
                if !was_unknown {
                    last = Some(LocalReply::not_executed(reason, REFUSAL_RETRY_AFTER));
                }
            }
            ForwardOutcome::Unknown { status, reason, .. } => {
                reached += 1;
                counted += 1;
                last = Some(LocalReply::outcome_unknown(status, reason));
                if request.rule.repeat == RepeatRule::AtMostOnce {
                    return refuse(host, request, LocalReply::outcome_unknown(status, reason));
                }
            }
        }
        let repeat_after = if misdirected { misdirections.record() } else { Some(Duration::ZERO) };
        let is_exhausted = counted >= request.rule.max_attempts.max(1)
            || repeat_after.is_none()
            || unsent >= MAX_UNSENT_ATTEMPTS
            || (is_relayed && is_unreachable && params.key.is_some())
            || Instant::now() >= params.deadline;
        if let Some(last) = last.filter(|_| is_exhausted) {
            return refuse(host, request, last);
        }
        if let Some(wait) = repeat_after.filter(|wait| !wait.is_zero()) {
            tokio::time::sleep(wait).await;
        }
        if params.key.is_none() && !may_try_again {
            tried.push(target);
        }
    }
}

/// Sends a request through another entry host. Returns the response and the outcome for metrics;
/// `None` if no relay is known and this host can try by itself. `last` is the reply if the request
/// is not executed.
async fn send_through_relay(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    attempts: u32,
    slot: &mut Option<TransferSlot>,
    last: Option<LocalReply>,
) -> Option<(Response<ResponseBody>, &'static str)> {
    let refusal = match relay(host, request, attempts, slot).await {
        Some(RelayOutcome::Response(response)) => return Some((*response, "relayed")),
        Some(RelayOutcome::Unknown { status, reason }) => {
            return Some(refuse(host, request, LocalReply::outcome_unknown(status, reason)));
        }
        Some(RelayOutcome::Refused { reason, retry_after }) => {
            if reason == TARGET_UNREACHABLE {
                host.record_unreachable_everywhere(&request.params);
            }
            LocalReply::not_executed("relay_refused", retry_after)
        }
        None if host.connections.path().is_lost() => {
            LocalReply::not_executed(PATH_LOST, REFUSAL_RETRY_AFTER)
        }
        None => return None,
    };
    Some(refuse(host, request, last.unwrap_or(refusal)))
}

/// Waits until the host's link has room for a large response, if the route has such.
async fn enter_transfer(
    host: &EntryHost,
    request: &ReadRequest,
) -> Result<Option<TransferSlot>, LocalReply> {
    if request.rule.repeat != RepeatRule::UntilFirstByte {
        return Ok(None);
    }
    let max_wait = max_wait(host, host.now(), &request.params);
    match host.transfers.enter(max_wait).await {
        Ok(slot) => Ok(Some(slot)),
        Err(wait) => {
            let retry_after = wait.clamp(REFUSAL_RETRY_AFTER, OVERLOAD_RETRY_AFTER);
            Err(LocalReply::not_executed("link_busy", retry_after))
        }
    }
}

/// Whether the request is within the fraction of requests that this host may send to the key's
/// holder. Always true unless the leader reported the holder as overloaded. Requests more urgent
/// than the service's least urgent routes pass regardless.
fn is_within_holder_share(host: &EntryHost, params: &AdmissionParams) -> bool {
    let Some(key) = params.key else { return true };
    let state = host.state();
    let Some(table) = state.table(&params.service) else { return true };
    let Some(holder) = &table.find(key).holder else { return true };
    if host.throttle.borrow().share_of(holder).is_none() {
        return true;
    }
    let config = state.config();
    let least_urgent = config.and_then(|config| config.least_urgent_priority(&params.service));
    let is_urgent = least_urgent.is_some_and(|least| params.priority < least);
    host.throttle.borrow_mut().admit(holder, is_urgent)
}

/// Whether the service's budget has a retry left, which is taken.
fn may_retry(host: &EntryHost, request: &ReadRequest) -> bool {
    let may_retry = host.try_retry(&request.params.service);
    if !may_retry {
        // The caller gets the outcome of the last attempt, which does not tell of the budget.
        log::info!(
            "event=retry_denied id={} number={} service={} cause=retry_budget",
            request.id(),
            request.number,
            request.params.service,
        );
    }
    may_retry
}

fn refuse(
    host: &EntryHost,
    request: &ReadRequest,
    reply: LocalReply,
) -> (Response<ResponseBody>, &'static str) {
    if reply.reason == ZONE_EVACUATED {
        host.metrics.evacuation_refusals.inc();
    }
    log::info!(
        "event=refused id={} number={} route={} service={} status={} reason={} age_ms={} key={} {} \
         waiting={} state={}",
        request.id(),
        request.number,
        request.rule.name,
        request.params.service,
        reply.status.as_u16(),
        reply.reason,
        request.started.elapsed().as_millis(),
        request.params.key.map_or(-1, i32::from),
        holder_log_fields(host, request),
        host.queue.borrow().len(),
        host.applied(),
    );
    (reply.response_to(request.origin), reply.reason)
}

/// Log fields that describe what this host knows about the holder of the request's key.
fn holder_log_fields(host: &EntryHost, request: &ReadRequest) -> String {
    let Some(key) = request.params.key else { return "holder=none".to_owned() };
    let state = host.state();
    let Some(table) = state.table(&request.params.service) else { return "holder=none".to_owned() };
    let assignment = table.find(key);
    let name = |holder: &Option<gw_ranges::RangeHolder>| {
        holder.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string)
    };
    let pool = host.pool.borrow();
    let target = assignment.holder.as_ref().and_then(|holder| pool.target(&holder.target));
    let throttle = host.throttle.borrow();
    let share = assignment.holder.as_ref().and_then(|holder| throttle.share_of(holder));
    format!(
        "holder={} next={} fence={} in_flight={} failures={} share={} limit_ms={}",
        name(&assignment.holder),
        name(&assignment.successor),
        assignment.fence,
        target.map_or(0, |target| target.in_flight),
        target.map_or(0, |target| target.failures()),
        share.map_or_else(|| "all".to_owned(), |share| format!("{share:.2}")),
        target.map_or(0, |target| target.limit_wait(host.now()).as_millis()),
    )
}
