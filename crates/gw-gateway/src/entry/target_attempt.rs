use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_balance::AttemptOutcome;
use gw_daemon::remove_hop_fields;
use gw_dispatch::CrashedRun;
use gw_dispatch::RequestFingerprint;
use gw_ranges::RangeHolder;
use gw_routing::RepeatRule;
use gw_types::BootId;
use gw_types::TargetName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::time::Instant;

use crate::entry::admission::Ticket;
use crate::entry::entry_host::EntryHost;
use crate::entry::read_request::ReadRequest;
use crate::ports::AttemptMetadata;
use crate::targets::ExchangeEnd;
use crate::targets::TargetReply;

/// Idle time after which a kept connection is not used for a request that must run once at most: it
/// may have gone silent meanwhile, and the outcome of what is written to it would not be known.
const CAREFUL_IDLE: Duration = Duration::from_secs(1);

/// What becomes of a request after one attempt.
pub(crate) enum AttemptEnd {
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

/// Sends a request to the target of `ticket`.
pub(crate) async fn attempt(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    ticket: Ticket,
) -> AttemptEnd {
    let now = Instant::now();
    let until = request.plan.deadline;
    let remaining = until.saturating_duration_since(now);
    if remaining.is_zero() {
        ticket.finish(AttemptOutcome::Cancelled);
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
        request.id(),
        holder.target,
    );
    match end {
        ExchangeEnd::Replied(reply) => take_reply(host, request, ticket, reply),
        ExchangeEnd::NotSent(cause) => {
            log_failure(request, &ticket, "not_sent", &cause);
            ticket.finish(AttemptOutcome::Unreachable);
            AttemptEnd::NotRun { reason: "target_unreachable", reached: false, misdirected: false }
        }
        ExchangeEnd::Broken(cause) => {
            log_failure(request, &ticket, "broken", &cause);
            let run = CrashedRun { target: holder.target.clone(), boot: BootId(holder.run) };
            host.quarantine.borrow_mut().record_crash(host.now(), &run, &others);
            ticket.finish(AttemptOutcome::Broken);
            AttemptEnd::Unknown { status: StatusCode::BAD_GATEWAY, reason: "connection_broke" }
        }
        ExchangeEnd::TimedOut => {
            log_failure(request, &ticket, "timed_out", "no answer until the deadline");
            ticket.finish(AttemptOutcome::Unanswered);
            AttemptEnd::Unknown { status: StatusCode::GATEWAY_TIMEOUT, reason: "no_answer" }
        }
    }
}

fn log_failure(request: &ReadRequest, ticket: &Ticket, end: &str, cause: &str) {
    log::info!(
        "event=attempt_failed id={} number={} service={} target={} address={} end={end} \
         cause=\"{cause}\"",
        request.id(),
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
    let stamp = AttemptMetadata { target: target.clone(), remaining };
    host.dialect.write_attempt_metadata(headers, &stamp);
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
    entry: (RangeHolder, RequestFingerprint),
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
    let said = host.dialect.read_response_metadata(&reply.head);
    let is_own = said.request_id.is_some() && said.request_id == request.facts.request_id;
    let status = reply.head.status;
    if said.is_refusal && (said.request_id.is_none() || is_own) {
        log_failure(request, &ticket, "refused", status.as_str());
        let is_other = said.other_target.as_ref().is_some_and(|name| *name != ticket.holder.target);
        ticket.finish(if is_other { AttemptOutcome::Replaced } else { AttemptOutcome::Refused });
        let reason = if said.is_misdirected { "target_misdirected" } else { "target_full" };
        return AttemptEnd::NotRun { reason, reached: true, misdirected: said.is_misdirected };
    }
    if !is_own && request.facts.request_id.is_some() {
        // An answer to another request: nothing on this connection can be trusted.
        log_failure(request, &ticket, "foreign_answer", status.as_str());
        host.connections.forget(ticket.address);
        ticket.finish(AttemptOutcome::Broken);
        return AttemptEnd::Unknown { status: StatusCode::BAD_GATEWAY, reason: "foreign_answer" };
    }
    let is_failure = status.is_server_error();
    host.quarantine.borrow_mut().record_completion(request.fingerprint);
    log::info!(
        "event=answered id={} number={} service={} target={} key={} status={} waited_ms={} \
         ran_ms={} state={}",
        request.id(),
        request.number,
        request.plan.service,
        ticket.holder,
        request.plan.key.map_or(-1, i32::from),
        status.as_u16(),
        request.started.elapsed().saturating_sub(reply.elapsed).as_millis(),
        reply.elapsed.as_millis(),
        host.applied.get(),
    );
    ticket.finish(AttemptOutcome::Answered { elapsed: reply.elapsed, is_failure });
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
