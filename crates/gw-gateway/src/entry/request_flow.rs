use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_balance::RunEnd;
use gw_daemon::remove_hop_fields;
use gw_dispatch::CrashRun;
use gw_dispatch::CrashVerdict;
use gw_dispatch::RequestFingerprint;
use gw_routing::RepeatRule;
use gw_routing::RouteRule;
use gw_types::BootId;
use gw_types::KeyHash;
use gw_types::TargetName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::entry::admission::RequestPlan;
use crate::entry::admission::Ticket;
use crate::entry::admission::admit;
use crate::entry::entry_host::EntryHost;
use crate::entry::own_answer::OwnAnswer;
use crate::ports::CallerFacts;
use crate::ports::TargetStamp;
use crate::targets::ExchangeEnd;
use crate::targets::TargetReply;

/// How long an answer is waited for when neither caller nor route says.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// When a caller may try again while the host knows no configuration.
const STARTUP_RETRY: Duration = Duration::from_millis(500);
/// When a caller may try again after all attempts were refused by targets.
const REFUSAL_RETRY: Duration = Duration::from_millis(200);
/// When a caller may try again whose key has more requests than its holder can run: keys move to
/// other targets within a second or two.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// When a caller may send a request again that crashes targets: when the targets are back.
const QUARANTINE_RETRY: Duration = Duration::from_secs(10);
/// Targets that a request may crash before it is refused everywhere.
const CRASH_LIMIT: u8 = 3;
/// Idle time after which a kept connection is not used for a request that must run once at most: it
/// may have gone silent meanwhile, and the outcome of what is written to it would not be known.
const CAREFUL_IDLE: Duration = Duration::from_secs(1);
/// Attempts that end before anything is sent and do not count as attempts of the route.
const UNSENT_LIMIT: u32 = 3;
/// Time kept for the way of the answer back to the caller.
const RETURN_TIME: Duration = Duration::from_millis(5);
/// Wait for a newer view after a target said that the key is not its own.
const VIEW_WAIT: Duration = Duration::from_millis(40);

/// A request as it was read.
struct ReadRequest {
    number: u64,
    started: Instant,
    head: request::Parts,
    body: Bytes,
    facts: CallerFacts,
    rule: RouteRule,
    plan: RequestPlan,
    fingerprint: RequestFingerprint,
}

/// What becomes of a request after one attempt.
enum AttemptEnd {
    Answer(Response<Full<Bytes>>),
    /// It has not run; another attempt is allowed.
    NotRun {
        reason: &'static str,
        reached: bool,
        misdirected: bool,
    },
    /// It may have run.
    Unknown {
        status: StatusCode,
        reason: &'static str,
    },
}

/// Answers one request of a caller.
pub(crate) async fn answer_caller(
    host: Rc<EntryHost>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let started = Instant::now();
    let number = host.next_number();
    let (service, mut response, end) = match read_request(&host, request, started, number).await {
        Ok(read) => {
            let service = read.plan.service.clone();
            let (response, end) = run_request(&host, &read).await;
            (service.to_string(), response, end)
        }
        Err(refusal) => {
            log::info!(
                "event=refused number={number} status={} reason={} config={}",
                refusal.status.as_u16(),
                refusal.reason,
                host.state.borrow().config_version(),
            );
            ("none".to_owned(), refusal.response(), refusal.reason)
        }
    };
    host.metrics.count_request(&service, end, started.elapsed());
    if host.is_stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn read_request(
    host: &Rc<EntryHost>,
    request: Request<Incoming>,
    started: Instant,
    number: u64,
) -> Result<ReadRequest, OwnAnswer> {
    let (head, body) = request.into_parts();
    let facts = host.dialect.read_caller(&head);
    let Some(config) = host.config() else {
        return Err(OwnAnswer::not_run("no_configuration", STARTUP_RETRY));
    };
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let name = named.or_else(|| head.uri.host()).unwrap_or_default().to_owned();
    let Some(rule) = config.find_route(&name, head.uri.path()).cloned() else {
        return Err(unknown_route(host));
    };
    let limit = usize::try_from(config.limits.max_body_bytes).unwrap_or(usize::MAX);
    let body = match Limited::new(body, limit).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return Err(OwnAnswer::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        Err(_) => return Err(OwnAnswer::invalid(StatusCode::BAD_REQUEST, "body_broken")),
    };
    let Some(service) = host.choose_service(&name, &rule) else {
        return Err(OwnAnswer::not_run("no_service", STARTUP_RETRY));
    };
    let is_keyed = config.service(&service).is_some_and(|spec| spec.is_keyed);
    if is_keyed && facts.key.is_none() {
        return Err(OwnAnswer::invalid(StatusCode::BAD_REQUEST, "key_missing"));
    }
    let key = facts.key.filter(|_| is_keyed);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let key_hash = key.map(|key| KeyHash(u64::from(key)));
    let fingerprint = RequestFingerprint::of(head.method.as_str(), path, key_hash, Some(&body));
    let patience = facts.patience.unwrap_or(DEFAULT_PATIENCE);
    let longest = rule.timeout.unwrap_or(DEFAULT_PATIENCE).min(patience);
    let plan = RequestPlan {
        number,
        service,
        key,
        priority: rule.priority,
        objective: started + rule.objective,
        deadline: started + longest.saturating_sub(RETURN_TIME),
    };
    Ok(ReadRequest { number, started, head, body, facts, rule, plan, fingerprint })
}

/// A host that may have missed a configuration cannot say that a route does not exist.
fn unknown_route(host: &EntryHost) -> OwnAnswer {
    /// Age of the last contact with a control host that is in contact with a majority.
    const FRESH_TIME: Duration = Duration::from_millis(1_500);
    let age = host.now().since(host.current_at.get());
    if age > FRESH_TIME {
        return OwnAnswer::not_run("route_unknown_while_cut_off", STARTUP_RETRY);
    }
    OwnAnswer::invalid(StatusCode::NOT_FOUND, "route_unknown")
}

/// Runs a request on targets until it is answered. Returns the answer and how it came about.
async fn run_request(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
) -> (Response<Full<Bytes>>, &'static str) {
    let plan = &request.plan;
    host.note_request(&plan.service, plan.key);
    if !passes_gate(host, plan) {
        return refuse(host, request, OwnAnswer::not_run("holder_overloaded", OVERLOAD_RETRY));
    }
    let mut tried: Vec<TargetName> = Vec::new();
    let (mut reached, mut unsent) = (0, 0);
    // What is to be said when no further attempt is made.
    let mut last = None;
    loop {
        let verdict = {
            let quarantine = host.quarantine.borrow();
            quarantine.judge(host.now(), request.fingerprint, CRASH_LIMIT)
        };
        if verdict == CrashVerdict::Refused {
            let refusal = OwnAnswer::not_run("crashes_targets", QUARANTINE_RETRY);
            return refuse(host, request, last.unwrap_or(refusal));
        }
        let ticket = match admit(host, plan, &tried).await {
            Ok(ticket) => ticket,
            Err(refusal) => return refuse(host, request, last.unwrap_or(refusal)),
        };
        if reached > 0 && !host.try_retry(&plan.service) {
            let refusal = OwnAnswer::not_run("retry_budget", REFUSAL_RETRY);
            return refuse(host, request, last.unwrap_or(refusal));
        }
        let target = ticket.holder.target.clone();
        let end = attempt(host, request, ticket).await;
        let misdirected = matches!(end, AttemptEnd::NotRun { misdirected: true, .. });
        match end {
            AttemptEnd::Answer(response) => return (response, "answered"),
            AttemptEnd::NotRun { reason, reached: arrived, .. } => {
                reached += u32::from(arrived);
                unsent += u32::from(!arrived);
                // An earlier attempt of an idempotent request may have run; then that is said.
                let was_unknown = last
                    .as_ref()
                    .is_some_and(|last: &OwnAnswer| last.status != StatusCode::SERVICE_UNAVAILABLE);
                if !was_unknown {
                    last = Some(OwnAnswer::not_run(reason, REFUSAL_RETRY));
                }
            }
            AttemptEnd::Unknown { status, reason } => {
                reached += 1;
                last = Some(OwnAnswer::unknown(status, reason));
                if request.rule.repeat == RepeatRule::AtMostOnce {
                    return refuse(host, request, OwnAnswer::unknown(status, reason));
                }
            }
        }
        let is_over = reached >= request.rule.max_attempts.max(1)
            || unsent >= UNSENT_LIMIT
            || Instant::now() >= plan.deadline;
        if let Some(last) = last.filter(|_| is_over) {
            return refuse(host, request, last);
        }
        if misdirected {
            tokio::time::sleep(VIEW_WAIT).await;
        }
        if plan.key.is_none() {
            tried.push(target);
        }
    }
}

/// Whether the holder of the request's key can run it, as far as the leader knows of all requests
/// for that holder.
fn passes_gate(host: &EntryHost, plan: &RequestPlan) -> bool {
    let Some(key) = plan.key else { return true };
    let state = host.state.borrow();
    let Some(table) = state.table(&plan.service) else { return true };
    let Some(holder) = &table.find(key).holder else { return true };
    if host.gate.borrow().share_of(holder).is_none() {
        return true;
    }
    let config = state.config();
    let least_urgent = config.and_then(|config| config.least_urgent(&plan.service));
    let is_urgent = least_urgent.is_some_and(|least| plan.priority < least);
    host.gate.borrow_mut().pass(holder, is_urgent)
}

fn refuse(
    host: &EntryHost,
    request: &ReadRequest,
    answer: OwnAnswer,
) -> (Response<Full<Bytes>>, &'static str) {
    log::info!(
        "event=refused id={} number={} route={} service={} status={} reason={} age_ms={} key={} {} \
         waiting={} state={}",
        request_id(request),
        request.number,
        request.rule.name,
        request.plan.service,
        answer.status.as_u16(),
        answer.reason,
        request.started.elapsed().as_millis(),
        request.plan.key.map_or(-1, i32::from),
        holder_view(host, request),
        host.line.borrow().len(),
        host.applied.get(),
    );
    (answer.response(), answer.reason)
}

/// What the host believes of the holder of the request's key, for the log.
fn holder_view(host: &EntryHost, request: &ReadRequest) -> String {
    let Some(key) = request.plan.key else { return "holder=none".to_owned() };
    let state = host.state.borrow();
    let Some(table) = state.table(&request.plan.service) else { return "holder=none".to_owned() };
    let held = table.find(key);
    let name = |holder: &Option<gw_ranges::RangeHolder>| {
        holder.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string)
    };
    let pool = host.pool.borrow();
    let line = held.holder.as_ref().and_then(|holder| pool.line(&holder.target));
    let gate = host.gate.borrow();
    let share = held.holder.as_ref().and_then(|holder| gate.share_of(holder));
    format!(
        "holder={} next={} fence={} in_flight={} failures={} share={}",
        name(&held.holder),
        name(&held.successor),
        held.fence,
        line.map_or(0, |line| line.in_flight),
        line.map_or(0, |line| line.failures()),
        share.map_or_else(|| "all".to_owned(), |share| format!("{share:.2}")),
    )
}

fn request_id(request: &ReadRequest) -> &str {
    request.facts.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
}

/// Sends a request to the target of `ticket`.
async fn attempt(host: &Rc<EntryHost>, request: &ReadRequest, ticket: Ticket) -> AttemptEnd {
    let now = Instant::now();
    let until = request.plan.deadline;
    let remaining = until.saturating_duration_since(now);
    if remaining.is_zero() {
        ticket.finish(RunEnd::Cancelled);
        return AttemptEnd::NotRun { reason: "too_late", reached: false, misdirected: false };
    }
    let (holder, address) = (ticket.holder.clone(), ticket.address);
    let outgoing = build_request(host, request, &holder.target, remaining);
    let flight = InFlight::start(host, &ticket, request.fingerprint);
    let max_idle = match request.rule.repeat {
        RepeatRule::Idempotent => Duration::MAX,
        RepeatRule::AtMostOnce => CAREFUL_IDLE,
    };
    let end = host.connections.exchange(address, outgoing, until, max_idle, || true).await;
    let others = flight.finish();
    log::debug!(
        "event=exchange id={} target={} address={address} end={end:?}",
        request_id(request),
        holder.target,
    );
    match end {
        ExchangeEnd::Replied(reply) => take_reply(host, request, ticket, reply),
        ExchangeEnd::NotSent(cause) => {
            log_failure(request, &ticket, "not_sent", &cause);
            ticket.finish(RunEnd::Unreachable);
            AttemptEnd::NotRun { reason: "target_unreachable", reached: false, misdirected: false }
        }
        ExchangeEnd::Broken(cause) => {
            log_failure(request, &ticket, "broken", &cause);
            let run = CrashRun { target: holder.target.clone(), boot: BootId(holder.run) };
            host.quarantine.borrow_mut().record_crash(host.now(), &run, &others);
            ticket.finish(RunEnd::Broken);
            AttemptEnd::Unknown { status: StatusCode::BAD_GATEWAY, reason: "connection_broke" }
        }
        ExchangeEnd::TimedOut => {
            log_failure(request, &ticket, "timed_out", "no answer until the deadline");
            ticket.finish(RunEnd::Unanswered);
            AttemptEnd::Unknown { status: StatusCode::GATEWAY_TIMEOUT, reason: "no_answer" }
        }
    }
}

fn log_failure(request: &ReadRequest, ticket: &Ticket, end: &str, cause: &str) {
    log::info!(
        "event=attempt_failed id={} number={} service={} target={} address={} end={end} \
         cause=\"{cause}\"",
        request_id(request),
        request.number,
        request.plan.service,
        ticket.holder,
        ticket.address,
    );
}

fn build_request(
    host: &EntryHost,
    request: &ReadRequest,
    target: &TargetName,
    remaining: Duration,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = origin_form(&request.head.uri);
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    remove_hop_fields(headers);
    headers.remove(header::EXPECT);
    if !request.body.is_empty() || headers.contains_key(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    let stamp = TargetStamp { target: target.clone(), remaining };
    host.dialect.stamp_request(headers, &stamp);
    outgoing
}

/// Path and query alone, as they came.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from)
}

/// Requests of this host at a target, for telling which of them crashed it.
struct InFlight<'a> {
    host: &'a EntryHost,
    entry: (gw_ranges::RangeHolder, RequestFingerprint),
}

impl<'a> InFlight<'a> {
    fn start(host: &'a EntryHost, ticket: &Ticket, fingerprint: RequestFingerprint) -> Self {
        let entry = (ticket.holder.clone(), fingerprint);
        host.in_flight.borrow_mut().push(entry.clone());
        Self { host, entry }
    }

    /// Returns all requests that were at the target, this one included.
    fn finish(self) -> Vec<RequestFingerprint> {
        let flights = self.host.in_flight.borrow();
        let same = flights.iter().filter(|(holder, _)| *holder == self.entry.0);
        same.map(|(_, fingerprint)| *fingerprint).collect()
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut flights = self.host.in_flight.borrow_mut();
        if let Some(index) = flights.iter().position(|entry| *entry == self.entry) {
            flights.swap_remove(index);
        }
    }
}

/// Decides what a whole answer means.
fn take_reply(
    host: &EntryHost,
    request: &ReadRequest,
    ticket: Ticket,
    reply: TargetReply,
) -> AttemptEnd {
    let said = host.dialect.read_answer(&reply.head);
    let is_own = said.request_id.is_some() && said.request_id == request.facts.request_id;
    let status = reply.head.status;
    if said.is_refusal && (said.request_id.is_none() || is_own) {
        log_failure(request, &ticket, "refused", status.as_str());
        let is_other = said.other_target.as_ref().is_some_and(|name| *name != ticket.holder.target);
        ticket.finish(if is_other { RunEnd::Replaced } else { RunEnd::Refused });
        let reason = if said.is_misdirected { "target_misdirected" } else { "target_full" };
        return AttemptEnd::NotRun { reason, reached: true, misdirected: said.is_misdirected };
    }
    if !is_own && request.facts.request_id.is_some() {
        // An answer to another request: nothing on this connection can be trusted.
        log_failure(request, &ticket, "foreign_answer", status.as_str());
        host.connections.forget(ticket.address);
        ticket.finish(RunEnd::Broken);
        return AttemptEnd::Unknown { status: StatusCode::BAD_GATEWAY, reason: "foreign_answer" };
    }
    let is_failure = status.is_server_error();
    host.quarantine.borrow_mut().record_completion(request.fingerprint);
    log::info!(
        "event=answered id={} number={} service={} target={} key={} status={} waited_ms={} \
         ran_ms={} state={}",
        request_id(request),
        request.number,
        request.plan.service,
        ticket.holder,
        request.plan.key.map_or(-1, i32::from),
        status.as_u16(),
        request.started.elapsed().saturating_sub(reply.elapsed).as_millis(),
        reply.elapsed.as_millis(),
        host.applied.get(),
    );
    ticket.finish(RunEnd::Answered { elapsed: reply.elapsed, is_failure });
    AttemptEnd::Answer(relay(reply))
}

fn relay(reply: TargetReply) -> Response<Full<Bytes>> {
    let TargetReply { head, body, .. } = reply;
    let len = body.len();
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = head.status;
    let headers = response.headers_mut();
    *headers = head.headers;
    remove_hop_fields(headers);
    // Answers without a body, such as those to HEAD, keep the length that they state.
    if len > 0 {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(len));
    }
    response
}
