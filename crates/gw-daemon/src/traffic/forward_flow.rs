use std::sync::Arc;

use gw_dispatch::CallerHash;
use gw_types::HostId;
use gw_types::TargetEntry;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use super::Router;
use super::body_source::BodySource;
use super::dispatch_flow::insert_request_id;
use super::exchange::ExchangeOptions;
use super::exchange::OpenExchange;
use super::exchange::RequestHead;
use super::exchange::exchange;
use super::request_context::RequestContext;
use super::request_context::RequestDeadline;
use super::request_context::is_idempotent;
use super::request_context::route_shape;
use crate::dispatch::ConnectionPool;
use crate::forward::ForwardTicket;
use crate::http::CallerBody;
use crate::http::FORWARD;
use crate::http::Failure;
use crate::http::FailureCause;
use crate::http::IDEMPOTENCY_KEY;
use crate::http::OUTCOME;
use crate::http::REASON;
use crate::http::ResponseBody;
use crate::http::ResponseGuard;
use crate::http::remove_internal_fields;
use crate::listen::CallerConnection;

/// Largest body in bytes of another host's failure response that is read in order to reuse the
/// connection.
const MAX_FAILURE_BODY_BYTES: usize = 1_024;

impl Router {
    /// Forwards a request to `host`, the dispatcher of its target.
    pub(super) async fn forward(
        &self,
        context: &mut RequestContext,
        host: HostId,
        target: &TargetEntry,
    ) -> Result<Response<ResponseBody>, Failure> {
        let unknown_host = Failure::not_run(FailureCause::StaleRoute);
        let pool = self.parts.host_pools.get(host).ok_or(unknown_host)?;
        let prepared = context.body.prepare().await;
        prepared.map_err(|failure| Failure::not_run(failure.into()))?;
        let load = self.load_guard(context, target);
        self.set_ticket(context, target)?;
        let options = ExchangeOptions {
            deadline: context.deadline.instant,
            connect_timeout: self.parts.limits.connect_timeout(),
            cancel: None,
            idempotent: context.idempotent,
        };
        let exchanged = exchange(&pool, &context.head, &mut context.body, options).await;
        let exchanged = exchanged.map_err(|failure| match failure.cause {
            FailureCause::ConnectFailed => {
                Failure { cause: FailureCause::HostUnreachable, ..failure }
            }
            FailureCause::ConnectionLost => Failure { cause: FailureCause::HostLost, ..failure },
            _ => failure,
        })?;
        if let Some(failure) = forwarded_failure(&exchanged.response) {
            reuse_connection(exchanged, &pool, context.deadline).await;
            return Err(failure);
        }
        let OpenExchange { response, connection, progress, timer } = exchanged;
        let (work, run, capture) = (None, None, None);
        let guard = ResponseGuard { connection, pool, progress, work, load, run, capture };
        Ok(self.relay_response(response, guard, timer, context, None))
    }

    /// Sets the header fields with the ticket and the request ID.
    fn set_ticket(
        &self,
        context: &mut RequestContext,
        target: &TargetEntry,
    ) -> Result<(), Failure> {
        let ticket = ForwardTicket {
            service: context.service.clone(),
            target: target.name.clone(),
            boot: target.boot,
            key: context.key,
            deadline_ms: context.deadline.remaining_ms(),
            request_id: context.request_id.clone(),
            caller: context.caller.0,
            attempts: context.attempts,
            crashed: context.crashed.clone(),
        };
        let signed = self.parts.signer.sign(&ticket);
        let signed = signed.map_err(|_| Failure::not_run(FailureCause::InvalidTicket))?;
        let value = HeaderValue::try_from(signed);
        let value = value.map_err(|_| Failure::not_run(FailureCause::InvalidTicket))?;
        context.head.headers.insert(FORWARD, value);
        insert_request_id(&mut context.head.headers, &context.request_id);
        Ok(())
    }

    /// Handles a request that another host forwarded. It is never forwarded again.
    pub(crate) async fn handle_forward(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        let started = std::time::Instant::now();
        let (service, result) = match self.accept_forward(request, connection) {
            Ok((mut context, target)) => {
                let result = self.dispatch(&mut context, &target).await;
                (Some(context.service), result)
            }
            Err(cause) => (None, Err(Failure::not_run(cause))),
        };
        let service = service.as_ref().map_or("none", |service| service.as_str());
        let outcome = result.as_ref().map_or_else(|failure| failure.outcome(), |_| "answered");
        self.parts.metrics.record_forwarded_request(service, outcome, started.elapsed());
        result.unwrap_or_else(|failure| failure.into_response(self.parts.host.name.as_str()))
    }

    fn accept_forward(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Result<(RequestContext, TargetEntry), FailureCause> {
        connection.next_verdict()?;
        let (mut parts, body) = request.into_parts();
        let ticket = parts.headers.get(FORWARD).ok_or(FailureCause::InvalidTicket)?;
        let ticket = self.parts.verifier.verify(ticket.as_bytes()).map_err(|error| {
            self.parts.metrics.record_refused_forward(error.cause());
            let (caller, cause) = (connection.peer, error.cause());
            log::warn!("event=forward_refused from={caller} cause={cause}");
            FailureCause::InvalidTicket
        })?;
        let target = self.forwarded_target(&ticket)?;
        let profile = self.state().profile_of(ticket.service.as_str());
        let idempotent = is_idempotent(&parts.method, &profile);
        let limits = &self.parts.limits;
        let body = CallerBody::new(body, limits.body_bytes, limits.body_timeout());
        let field = parts.headers.get(IDEMPOTENCY_KEY).filter(|_| !idempotent);
        let idempotency_key = field.map(|value| value.as_bytes().to_vec());
        remove_internal_fields(&mut parts.headers);
        self.clean_request(&mut parts.headers);
        let remaining = std::time::Duration::from_millis(u64::from(ticket.deadline_ms));
        let context = RequestContext {
            service: ticket.service,
            key: ticket.key,
            profile,
            idempotent,
            idempotency_key,
            deadline: RequestDeadline::after(self.state().now(), remaining),
            shape: route_shape(&parts.method, &parts.uri),
            head: RequestHead { method: parts.method, uri: parts.uri, headers: parts.headers },
            body: BodySource::new(body),
            prefetches_body: true,
            request_id: ticket.request_id,
            caller: CallerHash(ticket.caller),
            attempts: ticket.attempts,
            reroutes: 0,
            crashed: ticket.crashed,
            unreachable: Vec::new(),
            last_failure: None,
            reset: connection.reset.clone(),
        };
        Ok((context, target))
    }

    /// Returns the target that the ticket names, if this host is the dispatcher of that target
    /// process.
    fn forwarded_target(&self, ticket: &ForwardTicket) -> Result<TargetEntry, FailureCause> {
        let plan = self.state().plan();
        let assignment = plan.assignment(ticket.target.as_str()).ok_or(FailureCause::StaleRoute)?;
        if assignment.target.boot != ticket.boot || assignment.target.service != ticket.service {
            return Err(FailureCause::StaleRoute);
        }
        Ok(assignment.target.clone())
    }
}

/// Returns the failure that the other host reports, or `None` if a target answered. A response
/// without an outcome does not come from a host of this system, so the request may have run.
fn forwarded_failure(response: &Response<Incoming>) -> Option<Failure> {
    let text = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let outcome = text(OUTCOME).unwrap_or("unknown");
    if outcome == "answered" {
        return None;
    }
    let cause = text(REASON).and_then(FailureCause::from_name);
    let cause = cause.unwrap_or(FailureCause::InvalidResponse);
    Some(Failure { cause, written: outcome != "not-run" })
}

/// Reads the body of a failure response and returns the connection to the pool.
async fn reuse_connection(
    exchanged: OpenExchange,
    pool: &Arc<ConnectionPool>,
    deadline: RequestDeadline,
) {
    let OpenExchange { response, connection, progress, .. } = exchanged;
    let reading = Limited::new(response.into_body(), MAX_FAILURE_BODY_BYTES).collect();
    let read = tokio::time::timeout_at(deadline.instant, reading).await;
    if matches!(read, Ok(Ok(_))) && progress.is_complete() {
        pool.put_back(connection);
    }
}
