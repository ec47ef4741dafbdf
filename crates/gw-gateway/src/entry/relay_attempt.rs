use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::AttemptOutcome;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response;
use tokio::time::Instant;

use crate::callers::ResponseBody;
use crate::entry::admission::MOVE_RETRY_AFTER;
use crate::entry::entry_host::EntryHost;
use crate::entry::forwarded_stream::ForwardedStream;
use crate::entry::read_request::ReadRequest;
use crate::entry::relay_headers::PATH_LOST;
use crate::entry::relay_headers::RELAY_BUSY;
use crate::entry::relay_headers::RelayRefusal;
use crate::entry::relay_headers::RelayTerms;
use crate::entry::relay_headers::TARGET_UNREACHABLE;
use crate::entry::relay_turn::RelayTurn;
use crate::entry::target_attempt::MAX_WHOLE_BYTES;
use crate::entry::target_attempt::build_response;
use crate::entry::target_attempt::copy_request;
use crate::entry::target_attempt::max_idle;
use crate::entry::transfer_gate::TransferSlot;
use crate::targets::ConnectionUse;
use crate::targets::ExchangeOptions;
use crate::targets::ExchangeOutcome;
use crate::targets::OutgoingBody;
use crate::targets::StreamedReply;
use crate::targets::TargetReply;

/// Number of relays through which a request is sent, as long as none of them can execute it.
const MAX_RELAYS: usize = 3;
/// The same while relays are busy: further tries would fill their links.
const MAX_BUSY_RELAYS: usize = 2;
/// Part of the remaining time that is kept for the reply of a relay: a round trip to another zone and
/// the wait at two busy hosts. A relay that states at its own deadline that the request was not
/// executed would otherwise do so too late, and the outcome would be unknown.
const RELAY_RETURN_MARGIN: Duration = Duration::from_millis(60);

/// `Retry-After` when no relay takes a request: about the time for which they are avoided.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of sending a request through other entry hosts.
pub(crate) enum RelayOutcome {
    /// The response of a target.
    Response(Box<Response<ResponseBody>>),
    /// A target may have executed the request.
    Unknown { status: StatusCode, reason: &'static str },
    /// No target has executed the request.
    Refused { reason: String, retry_after: Duration },
}

/// Sends a request through another entry host, which admits it and sends it to a target. `None` if
/// no relay is known, or if none has room and this host can still try by itself. It may be sent to
/// `attempts` targets. A large response takes `slot` with it.
pub(crate) async fn relay(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    attempts: u32,
    slot: &mut Option<TransferSlot>,
) -> Option<RelayOutcome> {
    let mut tried = Vec::new();
    let mut last = None;
    while tried.len() < MAX_RELAYS {
        let Some(turn) = host.relays.choose(host.now(), &tried) else {
            let is_lost = host.connections.path().is_lost();
            if tried.is_empty() && is_lost && host.relays.is_any_known() {
                return Some(refused(RELAY_BUSY, BUSY_RETRY_AFTER));
            }
            break;
        };
        tried.push(turn.address());
        let outcome = relay_through(host, request, attempts, &turn, slot).await;
        let RelayOutcome::Refused { reason, .. } = &outcome else { return Some(outcome) };
        if ![PATH_LOST, TARGET_UNREACHABLE, RELAY_BUSY].contains(&reason.as_str()) {
            return Some(outcome);
        }
        if reason == RELAY_BUSY && tried.len() >= MAX_BUSY_RELAYS {
            return Some(outcome);
        }
        last = Some(outcome);
    }
    last
}

async fn relay_through(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    attempts: u32,
    turn: &RelayTurn,
    slot: &mut Option<TransferSlot>,
) -> RelayOutcome {
    let address = turn.address();
    let deadline = request.params.deadline;
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return refused("too_late", MOVE_RETRY_AFTER);
    }
    let connection = ConnectionUse::Shared { max_idle: max_idle(request) };
    let options = ExchangeOptions { deadline, connection, max_whole_bytes: MAX_WHOLE_BYTES };
    let relay_time = remaining.saturating_sub(RELAY_RETURN_MARGIN).max(remaining / 2);
    let outgoing = build_request(request, relay_time, attempts);
    let end = host.relays.connections().exchange(address, outgoing, &options, || true).await;
    match end {
        ExchangeOutcome::Replied(TargetReply { head, body, elapsed, .. }) => {
            match read_reply(host, request, turn, &head, elapsed) {
                Ok(()) => respond(head, ResponseBody::Whole(body)),
                Err(outcome) => outcome,
            }
        }
        ExchangeOutcome::Streaming(reply) => {
            let StreamedReply { head, len, stream, elapsed, .. } = *reply;
            match read_reply(host, request, turn, &head, elapsed) {
                Ok(()) => {
                    let outcome = AttemptOutcome::Cancelled;
                    let stream =
                        ForwardedStream::new(host, request, None, stream, outcome, slot.take());
                    let pieces = Box::new(stream);
                    let body = ResponseBody::Streamed { len, pieces, deadline };
                    respond(head, body)
                }
                Err(outcome) => outcome,
            }
        }
        ExchangeOutcome::NotSent(cause) => {
            log_relay(request, address, "not_sent", &cause);
            turn.record_failed(host.now());
            refused(TARGET_UNREACHABLE, MOVE_RETRY_AFTER)
        }
        ExchangeOutcome::Malformed { cause, .. } => {
            log_relay(request, address, "malformed", &cause);
            unknown(StatusCode::BAD_GATEWAY, "relay_malformed")
        }
        ExchangeOutcome::Broken { cause, .. } => {
            log_relay(request, address, "broken", &cause);
            unknown(StatusCode::BAD_GATEWAY, "relay_broke")
        }
        ExchangeOutcome::TimedOut => {
            log_relay(request, address, "timed_out", "no answer until the deadline");
            turn.record_slow();
            unknown(StatusCode::GATEWAY_TIMEOUT, "no_answer")
        }
    }
}

/// Checks whether a relay's reply is the response of a target to this request.
fn read_reply(
    host: &EntryHost,
    request: &ReadRequest,
    turn: &RelayTurn,
    head: &response::Parts,
    elapsed: Duration,
) -> Result<(), RelayOutcome> {
    let address = turn.address();
    if let Some(refusal) = RelayRefusal::read(&head.headers) {
        log_relay(request, address, "refused", &refusal.reason);
        match refusal.reason.as_str() {
            PATH_LOST => turn.record_failed(host.now()),
            RELAY_BUSY => turn.record_busy(host.now()),
            _ => turn.record_taken(),
        }
        return Err(match refusal.is_not_run {
            true => refused(&refusal.reason, refusal.retry_after.unwrap_or(MOVE_RETRY_AFTER)),
            false => unknown(head.status, "relay_unknown"),
        });
    }
    turn.record_taken();
    let request_id = host.adapter.read_response_metadata(head).request_id;
    if request.metadata.request_id.is_some() && request_id != request.metadata.request_id {
        log_relay(request, address, "foreign_answer", head.status.as_str());
        return Err(unknown(StatusCode::BAD_GATEWAY, "foreign_answer"));
    }
    log::info!(
        "event=relayed id={} number={} route={} service={} relay={address} key={} status={} \
         waited_ms={} ran_ms={}",
        request.id(),
        request.number,
        request.rule.name,
        request.params.service,
        request.params.key.map_or(-1, i32::from),
        head.status.as_u16(),
        request.started.elapsed().saturating_sub(elapsed).as_millis(),
        elapsed.as_millis(),
    );
    Ok(())
}

fn log_relay(request: &ReadRequest, address: SocketAddr, end: &str, cause: &str) {
    log::info!(
        "event=relay_failed id={} number={} route={} service={} relay={address} end={end} \
         cause=\"{cause}\"",
        request.id(),
        request.number,
        request.rule.name,
        request.params.service,
    );
}

fn refused(reason: &str, retry_after: Duration) -> RelayOutcome {
    RelayOutcome::Refused { reason: reason.to_owned(), retry_after }
}

fn unknown(status: StatusCode, reason: &'static str) -> RelayOutcome {
    RelayOutcome::Unknown { status, reason }
}

fn respond(head: response::Parts, body: ResponseBody) -> RelayOutcome {
    RelayOutcome::Response(Box::new(build_response(head, body)))
}

fn build_request(
    request: &ReadRequest,
    remaining: Duration,
    attempts: u32,
) -> Request<OutgoingBody> {
    let mut outgoing = copy_request(request);
    let age = request.started.elapsed();
    RelayTerms { remaining, age, attempts }.write(outgoing.headers_mut());
    outgoing
}
