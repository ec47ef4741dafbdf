use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_dispatch::CrashVerdict;
use gw_routing::RepeatRule;
use gw_types::TargetName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::entry::admission::RequestPlan;
use crate::entry::admission::admit;
use crate::entry::entry_host::EntryHost;
use crate::entry::own_answer::OwnAnswer;
use crate::entry::read_request::ReadRequest;
use crate::entry::read_request::read_request;
use crate::entry::target_attempt::AttemptEnd;
use crate::entry::target_attempt::attempt;

/// When a caller may try again after all attempts were refused by targets.
const REFUSAL_RETRY: Duration = Duration::from_millis(200);
/// When a caller may try again whose key has more requests than its holder can run: keys move to
/// other targets within a second or two.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// When a caller may send a request again that crashes targets: when the targets are back.
const QUARANTINE_RETRY: Duration = Duration::from_secs(10);
/// Targets that a request may crash before it is refused everywhere.
const CRASH_LIMIT: u8 = 3;
/// Attempts that end before anything is sent and do not count as attempts of the route.
const UNSENT_LIMIT: u32 = 3;
/// Wait for a newer view after a target said that the key is not its own.
const VIEW_WAIT: Duration = Duration::from_millis(40);

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
            quarantine.verdict(host.now(), request.fingerprint, CRASH_LIMIT)
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
    let least_urgent = config.and_then(|config| config.least_urgent_priority(&plan.service));
    let is_urgent = least_urgent.is_some_and(|least| plan.priority < least);
    host.gate.borrow_mut().admit(holder, is_urgent)
}

fn refuse(
    host: &EntryHost,
    request: &ReadRequest,
    answer: OwnAnswer,
) -> (Response<Full<Bytes>>, &'static str) {
    log::info!(
        "event=refused id={} number={} route={} service={} status={} reason={} age_ms={} key={} {} \
         waiting={} state={}",
        request.id(),
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
    let line = held.holder.as_ref().and_then(|holder| pool.target(&holder.target));
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
