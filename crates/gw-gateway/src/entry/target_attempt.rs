use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::AttemptOutcome;
use gw_balance::TargetLimit;
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
use http::response;
use tokio::time::Instant;

use crate::callers::ResponseBody;
use crate::entry::admission::SendPermit;
use crate::entry::admission::ZONE_EVACUATED;
use crate::entry::entry_host::EntryHost;
use crate::entry::forwarded_stream::ForwardedStream;
use crate::entry::read_request::ReadRequest;
use crate::entry::read_request::RequestOrigin;
use crate::entry::relay_headers::PATH_LOST;
use crate::entry::relay_headers::TARGET_UNREACHABLE;
use crate::entry::transfer_gate::TransferSlot;
use crate::ports::AttemptMetadata;
use crate::targets::ConnectionUse;
use crate::targets::ExchangeOptions;
use crate::targets::ExchangeOutcome;
use crate::targets::OutgoingBody;
use crate::targets::StreamedReply;
use crate::targets::TargetReply;

/// Longest idle time of a pooled connection that may carry an at-most-once request. A connection
/// that was idle for longer may have become unresponsive, and the outcome of a request written to
/// it would be unknown.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_secs(1);

/// Largest response, in bytes, that is read completely before it is forwarded: until then a failure
/// can be repaired by another attempt. A larger one is forwarded as it arrives.
pub(crate) const MAX_WHOLE_BYTES: usize = 128 * 1024;
/// The same for routes with large responses, which are forwarded at a limited rate.
const MAX_WHOLE_DOWNLOAD_BYTES: usize = 16 * 1024;

/// Outcome of one attempt to forward a request.
pub(crate) enum ForwardOutcome {
    /// The target's response.
    Response(Box<Response<ResponseBody>>),
    /// The request was not executed; another attempt is safe.
    NotExecuted {
        reason: &'static str,
        /// Whether the request reached a target.
        reached: bool,
        /// Whether the request reached a target that does not hold its key.
        misdirected: bool,
    },
    /// The request may have been executed.
    Unknown {
        status: StatusCode,
        reason: &'static str,
        /// Whether the connection may be at fault and not the target, which can then be tried again.
        is_connection_fault: bool,
    },
}

/// Sends a request to the target of `permit` and waits for the response. A large response takes
/// `slot` with it. `was_refused` is whether a target has refused an earlier attempt.
pub(crate) async fn attempt(
    host: &Rc<EntryHost>,
    request: &ReadRequest,
    permit: SendPermit,
    was_refused: bool,
    slot: &mut Option<TransferSlot>,
) -> ForwardOutcome {
    let now = Instant::now();
    let until = request.params.deadline;
    let remaining = until.saturating_duration_since(now);
    if remaining.is_zero() {
        permit.finish(AttemptOutcome::Cancelled);
        return ForwardOutcome::NotExecuted {
            reason: "too_late",
            reached: false,
            misdirected: false,
        };
    }
    let (holder, address) = (permit.holder.clone(), permit.address);
    let outgoing = build_request(host, request, &holder.target, remaining);
    let in_flight = InFlightGuard::start(host, &permit, request.fingerprint);
    let max_idle = match was_refused {
        // A second copy of the refusal would carry the id of this attempt.
        true => Duration::ZERO,
        false => max_idle(request),
    };
    let max_whole_bytes = match request.rule.repeat {
        RepeatRule::UntilFirstByte => MAX_WHOLE_DOWNLOAD_BYTES,
        _ if !host.memory.has_room_for_responses() => MAX_WHOLE_DOWNLOAD_BYTES,
        RepeatRule::Idempotent | RepeatRule::AtMostOnce => MAX_WHOLE_BYTES,
    };
    let connection = ConnectionUse::Shared { max_idle };
    let options = ExchangeOptions { deadline: until, connection, max_whole_bytes };
    // The zone may become evacuated while a connection is opened.
    let is_keyed = request.params.key.is_some();
    let is_closed = || host.pool.borrow().is_closed(host.now(), &holder, is_keyed);
    let is_repeatable = request.rule.repeat != RepeatRule::AtMostOnce;
    let was_sent = Cell::new(false);
    let may_send = || {
        let may_send = !is_closed();
        was_sent.set(may_send);
        may_send
    };
    let end = tokio::select! {
        biased;
        end = host.connections.exchange(address, outgoing, &options, may_send) => end,
        () = host.path_silence(), if is_repeatable && request.origin == RequestOrigin::Caller => {
            drop(in_flight);
            if !was_sent.get() {
                // The connection has not been established yet.
                permit.finish(AttemptOutcome::Cancelled);
                return ForwardOutcome::NotExecuted {
                    reason: PATH_LOST,
                    reached: false,
                    misdirected: false,
                };
            }
            permit.finish(AttemptOutcome::Unanswered);
            return ForwardOutcome::Unknown {
                status: StatusCode::BAD_GATEWAY,
                reason: PATH_LOST,
                is_connection_fault: true,
            };
        }
    };
    let concurrent = in_flight.finish();
    log::debug!(
        "event=exchange id={} target={} address={address} end={end:?}",
        request.id(),
        holder.target,
    );
    match end {
        ExchangeOutcome::Replied(TargetReply { head, body, elapsed, was_pooled }) => {
            let len = Some(body.len() as u64);
            let reply = ReplyHead { head: &head, len, elapsed, was_pooled };
            match classify_reply(host, request, permit, reply) {
                Ok(permit) => {
                    permit.finish(answered(&head, elapsed));
                    let response = build_response(head, ResponseBody::Whole(body));
                    ForwardOutcome::Response(Box::new(response))
                }
                Err(outcome) => outcome,
            }
        }
        ExchangeOutcome::Streaming(reply) => {
            let StreamedReply { head, len, stream, elapsed, was_pooled } = *reply;
            let reply = ReplyHead { head: &head, len, elapsed, was_pooled };
            match classify_reply(host, request, permit, reply) {
                Ok(permit) => {
                    let outcome = answered(&head, elapsed);
                    let stream = ForwardedStream::new(
                        host,
                        request,
                        Some(permit),
                        stream,
                        outcome,
                        slot.take(),
                    );
                    let pieces = Box::new(stream);
                    let body = ResponseBody::Streamed { len, pieces, deadline: until };
                    ForwardOutcome::Response(Box::new(build_response(head, body)))
                }
                Err(outcome) => outcome,
            }
        }
        ExchangeOutcome::NotSent(cause) => {
            log_failure(request, &permit, "not_sent", &cause);
            if is_closed() {
                permit.finish(AttemptOutcome::Cancelled);
                return ForwardOutcome::NotExecuted {
                    reason: ZONE_EVACUATED,
                    reached: false,
                    misdirected: false,
                };
            }
            // While the path is lost, a failure says nothing about the target.
            let is_path_lost = host.connections.path().is_lost();
            permit.finish(match is_path_lost {
                true => AttemptOutcome::Cancelled,
                false => AttemptOutcome::Unreachable,
            });
            ForwardOutcome::NotExecuted {
                reason: TARGET_UNREACHABLE,
                reached: false,
                misdirected: false,
            }
        }
        ExchangeOutcome::Malformed { cause, was_pooled } => {
            log_failure(request, &permit, "malformed", &cause);
            if was_pooled {
                host.connections.close_idle(address);
            }
            permit.finish(AttemptOutcome::Broken);
            ForwardOutcome::Unknown {
                status: StatusCode::BAD_GATEWAY,
                reason: "malformed_answer",
                is_connection_fault: was_pooled,
            }
        }
        ExchangeOutcome::Broken { cause, was_pooled } => {
            log_failure(request, &permit, "broken", &cause);
            if was_pooled {
                host.connections.close_idle(address);
            }
            let run = CrashedRun { target: holder.target.clone(), boot: BootId(holder.run) };
            host.quarantine.borrow_mut().record_crash(host.now(), &run, &concurrent);
            permit.finish(AttemptOutcome::Broken);
            ForwardOutcome::Unknown {
                status: StatusCode::BAD_GATEWAY,
                reason: "connection_broke",
                is_connection_fault: was_pooled,
            }
        }
        ExchangeOutcome::TimedOut => {
            log_failure(request, &permit, "timed_out", "no answer until the deadline");
            permit.finish(AttemptOutcome::Unanswered);
            ForwardOutcome::Unknown {
                status: StatusCode::GATEWAY_TIMEOUT,
                reason: "no_answer",
                is_connection_fault: false,
            }
        }
    }
}

fn log_failure(request: &ReadRequest, permit: &SendPermit, end: &str, cause: &str) {
    log::info!(
        "event=attempt_failed id={} number={} route={} service={} target={} address={} end={end} \
         cause=\"{cause}\"",
        request.id(),
        request.number,
        request.rule.name,
        request.params.service,
        permit.holder,
        permit.address,
    );
}

/// Logs what a target has said about itself in its answer to a request.
fn log_statement(request: &ReadRequest, permit: &SendPermit, event: &str, details: &str) {
    log::info!(
        "event={event} id={} number={} service={} target={} {details}",
        request.id(),
        request.number,
        request.params.service,
        permit.holder,
    );
}

fn build_request(
    host: &EntryHost,
    request: &ReadRequest,
    target: &TargetName,
    remaining: Duration,
) -> Request<OutgoingBody> {
    let mut outgoing = copy_request(request);
    let metadata = AttemptMetadata { target: target.clone(), remaining };
    host.adapter.write_attempt_metadata(outgoing.headers_mut(), &metadata);
    outgoing
}

/// Returns the longest idle time of a pooled connection that may carry the request.
pub(crate) fn max_idle(request: &ReadRequest) -> Duration {
    match request.rule.repeat {
        // On a connection that was used before, a late second copy of an earlier response could not
        // be told from the response to this request.
        _ if request.metadata.request_id.is_none() => Duration::ZERO,
        RepeatRule::Idempotent | RepeatRule::UntilFirstByte => Duration::MAX,
        RepeatRule::AtMostOnce => MAX_IDLE_AT_MOST_ONCE,
    }
}

/// Returns a request to another server, with the caller's headers that are not about one
/// connection.
pub(crate) fn copy_request(request: &ReadRequest) -> Request<OutgoingBody> {
    let mut outgoing = Request::new(OutgoingBody::from(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = origin_form(&request.head.uri);
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    remove_hop_fields(headers);
    headers.remove(header::EXPECT);
    if !request.body.is_empty() || headers.contains_key(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    outgoing
}

/// Reduces a URI to its path and query, unchanged.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from)
}

/// Entry of a request in [`EntryHost::in_flight`], from which the requests are determined that may
/// have crashed a target.
struct InFlightGuard<'a> {
    host: &'a EntryHost,
    entry: (RangeHolder, RequestFingerprint),
}

impl<'a> InFlightGuard<'a> {
    fn start(host: &'a EntryHost, permit: &SendPermit, fingerprint: RequestFingerprint) -> Self {
        let entry = (permit.holder.clone(), fingerprint);
        host.in_flight.borrow_mut().push(entry.clone());
        Self { host, entry }
    }

    /// Removes the entry and returns all requests that were in flight at the target, including this
    /// one.
    fn finish(self) -> Vec<RequestFingerprint> {
        let in_flight = self.host.in_flight.borrow();
        let same = in_flight.iter().filter(|(holder, _)| *holder == self.entry.0);
        same.map(|(_, fingerprint)| *fingerprint).collect()
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.host.in_flight.borrow_mut();
        if let Some(index) = in_flight.iter().position(|entry| *entry == self.entry) {
            in_flight.swap_remove(index);
        }
    }
}

fn answered(head: &response::Parts, elapsed: Duration) -> AttemptOutcome {
    AttemptOutcome::Answered { elapsed, is_failure: head.status.is_server_error() }
}

/// What is known of a response when it is classified.
struct ReplyHead<'a> {
    head: &'a response::Parts,
    /// Length of the body, if it is known.
    len: Option<u64>,
    elapsed: Duration,
    /// Whether the connection had carried earlier requests.
    was_pooled: bool,
}

/// Classifies a response: refused, belonging to another request, or valid. Returns the permit with
/// a valid one.
fn classify_reply(
    host: &EntryHost,
    request: &ReadRequest,
    permit: SendPermit,
    reply: ReplyHead<'_>,
) -> Result<SendPermit, ForwardOutcome> {
    let ReplyHead { head, len, elapsed, was_pooled } = reply;
    let metadata = host.adapter.read_response_metadata(head);
    let is_id_echoed =
        metadata.request_id.is_some() && metadata.request_id == request.metadata.request_id;
    let status = head.status;
    if is_id_echoed && (metadata.rate_limit.is_some() || !metadata.is_refusal) {
        host.record_named_limit(TargetLimit {
            holder: permit.holder.clone(),
            per_second: metadata.rate_limit,
            stated_at: host.now(),
        });
    }
    if is_id_echoed
        && let Some(rest) = metadata.rest
        && host.pool.borrow_mut().record_rest(host.now(), &permit.holder, rest)
    {
        log_statement(request, &permit, "target_rest", &format!("ms={}", rest.as_millis()));
    }
    if is_id_echoed
        && metadata.is_leaving
        && host.pool.borrow_mut().record_leaving(host.now(), &permit.holder)
    {
        log_statement(request, &permit, "target_leaving", "source=answer");
    }
    if is_id_echoed && let Some(load) = &metadata.load {
        host.pool.borrow_mut().record_load(host.now(), &permit.holder, load);
    }
    if is_id_echoed && let Some(left) = metadata.warm_up_left {
        host.record_warmth(&permit.holder, left);
    }
    // On a connection that was used before, a refusal without an id may be that of an earlier request.
    let is_first_nameless = metadata.request_id.is_none() && !was_pooled;
    if metadata.is_refusal && (is_id_echoed || is_first_nameless) {
        log_failure(request, &permit, "refused", status.as_str());
        let is_other_target =
            metadata.other_target.as_ref().is_some_and(|name| *name != permit.holder.target);
        permit.finish(if is_other_target {
            AttemptOutcome::Replaced
        } else {
            AttemptOutcome::Refused
        });
        let reason = if metadata.is_misdirected { "target_misdirected" } else { "target_full" };
        return Err(ForwardOutcome::NotExecuted {
            reason,
            reached: true,
            misdirected: metadata.is_misdirected,
        });
    }
    if !is_id_echoed && request.metadata.request_id.is_some() {
        // The response belongs to another request, so no connection to this address can be trusted.
        log_failure(request, &permit, "foreign_answer", status.as_str());
        host.connections.close_idle(permit.address);
        permit.finish(AttemptOutcome::Broken);
        return Err(ForwardOutcome::Unknown {
            status: StatusCode::BAD_GATEWAY,
            reason: "foreign_answer",
            is_connection_fault: true,
        });
    }
    host.quarantine.borrow_mut().record_completion(request.fingerprint);
    log::info!(
        "event=answered id={} number={} route={} service={} target={} key={} status={} \
         waited_ms={} ran_ms={} bytes={} state={}",
        request.id(),
        request.number,
        request.rule.name,
        request.params.service,
        permit.holder,
        request.params.key.map_or(-1, i32::from),
        status.as_u16(),
        request.started.elapsed().saturating_sub(elapsed).as_millis(),
        elapsed.as_millis(),
        len.map_or_else(|| "unknown".to_owned(), |len| len.to_string()),
        host.applied(),
    );
    Ok(permit)
}

pub(crate) fn build_response(head: response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    remove_hop_fields(response.headers_mut());
    response
}
