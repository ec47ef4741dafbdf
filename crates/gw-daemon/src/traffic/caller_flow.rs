use std::time::Duration;

use gw_types::HostId;
use gw_types::TargetEntry;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use http::header;
use hyper::body::Incoming;

use super::RouteChoice;
use super::Router;
use super::body_source::BodySource;
use super::choose_route;
use super::exchange::RequestHead;
use super::request_context::RequestContext;
use super::request_context::RequestDeadline;
use super::request_context::TriedTarget;
use super::request_context::is_idempotent;
use super::request_context::route_shape;
use super::target_picker::LoadGuard;
use crate::http::CallerBody;
use crate::http::Failure;
use crate::http::FailureCause;
use crate::http::HeadVerdict;
use crate::http::IDEMPOTENCY_KEY;
use crate::http::REQUEST_TIMEOUT;
use crate::http::ResponseBody;
use crate::listen::CallerConnection;

/// Largest number of times that a request is routed again because of an outdated routing table.
const MAX_REROUTES: u8 = 8;

/// Longest wait for a newer routing table after a stale route. There may be none to wait for: this
/// host may already have it, or the dispatcher's table may be the outdated one.
const STALE_ROUTE_WAIT: Duration = Duration::from_millis(20);

/// Destination of the next attempt of a request.
enum NextHop {
    /// A target that this host dispatches to.
    Local(TargetEntry),
    /// A target with another host as its dispatcher.
    Remote(HostId, TargetEntry),
    /// The key is in handover, or no target can take the request.
    Unavailable,
}

impl Router {
    /// Handles a caller's request and returns the response.
    pub(crate) async fn handle_caller(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        let started = std::time::Instant::now();
        let (service, result) = match self.accept(request, connection) {
            Ok(mut context) => {
                let result = self.process(&mut context).await;
                (Some(context.service), result)
            }
            Err(cause) => (None, Err(Failure::not_run(cause))),
        };
        let service = service.as_ref().map_or("none", |service| service.as_str());
        let outcome = result.as_ref().map_or_else(|failure| failure.outcome(), |_| "answered");
        self.parts.metrics.record_request(service, outcome, started.elapsed());
        result.unwrap_or_else(|failure| {
            let reason = failure.cause.name();
            log::debug!("event=request_failed service={service} outcome={outcome} reason={reason}");
            failure.into_response(self.parts.host.name.as_str())
        })
    }

    /// Validates and routes a request, and prepares its head for the next hop.
    fn accept(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Result<RequestContext, FailureCause> {
        connection.next_verdict()?;
        let (mut parts, body) = request.into_parts();
        if parts.method == Method::CONNECT {
            return Err(FailureCause::MethodNotAllowed);
        }
        let host = request_host(parts.version, &parts.uri, &parts.headers)?;
        let routes = self.state().routes();
        let (service, key) = match choose_route(&routes, Some(host), &parts.uri, &parts.headers) {
            RouteChoice::NoService => return Err(FailureCause::NoRoute),
            RouteChoice::InvalidKey(..) => return Err(FailureCause::MissingKey),
            RouteChoice::Unkeyed(service) => (&service.definition, None),
            RouteChoice::Keyed(service, key, _) => (&service.definition, Some(key)),
        };
        let profile = self.state().profiles().find(service.profile.as_str());
        let now = self.state().now();
        let deadline = RequestDeadline::after(now, time_limit(&parts.headers, &profile)?);
        let limits = &self.parts.limits;
        let body = CallerBody::new(body, limits.body_bytes, limits.body_timeout());
        if body.is_too_large() {
            return Err(FailureCause::BodyTooLarge);
        }
        let idempotent = is_idempotent(&parts.method, &profile);
        self.stats.record_request(now, &service.name, profile.refuse.retry_budget);
        let field = parts.headers.get(IDEMPOTENCY_KEY).filter(|_| !idempotent);
        let idempotency_key = field.map(|value| value.as_bytes().to_vec());
        let expects_continue = parts.headers.contains_key(header::EXPECT);
        self.clean_request(&mut parts.headers);
        set_origin_form(&mut parts.uri, &mut parts.headers)?;
        Ok(RequestContext {
            service: service.name.clone(),
            key,
            idempotent,
            idempotency_key,
            deadline,
            shape: route_shape(&parts.method, &parts.uri),
            head: RequestHead { method: parts.method, uri: parts.uri, headers: parts.headers },
            body: BodySource::new(body),
            prefetches_body: !expects_continue,
            request_id: self.new_request_id(),
            caller: connection.caller,
            profile,
            attempts: 0,
            reroutes: 0,
            crashed: Vec::new(),
            unreachable: Vec::new(),
            last_failure: None,
            reset: connection.reset.clone(),
        })
    }

    /// Sends the request to targets until one answers or no attempt is left.
    async fn process(
        &self,
        context: &mut RequestContext,
    ) -> Result<Response<ResponseBody>, Failure> {
        if context.prefetches_body {
            let prepared = context.body.prepare().await;
            prepared.map_err(|failure| Failure::not_run(failure.into()))?;
            self.check_quarantine(context)?;
        }
        loop {
            let seen = self.state().change_count();
            let (target, result) = match self.next_hop(context)? {
                NextHop::Unavailable => {
                    self.wait_for_table(context, seen).await?;
                    continue;
                }
                NextHop::Local(target) => {
                    let result = self.dispatch(context, &target).await;
                    (target, result)
                }
                NextHop::Remote(host, target) => {
                    let result = self.forward(context, host, &target).await;
                    (target, result)
                }
            };
            let failure = match result {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.prepare_retry(context, failure, &target, seen).await?;
        }
    }

    /// Returns where to send the request by the current routing table.
    fn next_hop(&self, context: &RequestContext) -> Result<NextHop, Failure> {
        let routes = self.state().routes();
        let unknown_service = Failure::not_run(FailureCause::NoRoute);
        let service = routes.service(context.service.as_str()).ok_or(unknown_service)?;
        let target = match context.key {
            Some(key) => service
                .key_route(key)
                .owner
                .map(|(_, entry)| entry)
                .filter(|entry| entry.state.accepts_work() && context.may_use(entry)),
            None => {
                let (now, rules) = (self.state().now(), &context.profile.spread);
                let may_use = |entry: &TargetEntry| context.may_use(entry);
                self.picker.pick(now, service, rules, &self.parts.host.zone, may_use)
            }
        };
        Ok(match target.and_then(|entry| Some((entry.dispatcher?, entry))) {
            Some((host, entry)) if host == self.parts.host.id => NextHop::Local(entry.clone()),
            Some((host, entry)) => NextHop::Remote(host, entry.clone()),
            None => NextHop::Unavailable,
        })
    }

    /// Waits for the next routing table or plan, up to the deadline. The number of requests that
    /// wait at the same time is limited.
    async fn wait_for_table(&self, context: &RequestContext, seen: u64) -> Result<(), Failure> {
        let last = |cause| context.last_failure.unwrap_or(Failure::not_run(cause));
        let full = |_| last(FailureCause::HandoverFull);
        let _permit = self.handover_permits.try_acquire().map_err(full)?;
        let changed = self.state().changed_since(seen);
        let waited = tokio::time::timeout_at(context.deadline.instant, changed).await;
        waited.map_err(|_| last(FailureCause::NoOwner))
    }

    /// Prepares a request for another attempt, or returns the failure if it must not be retried.
    async fn prepare_retry(
        &self,
        context: &mut RequestContext,
        failure: Failure,
        target: &TargetEntry,
        seen: u64,
    ) -> Result<(), Failure> {
        let overall = context.record_failure(failure);
        if !context.body.is_available() {
            return Err(overall);
        }
        if failure.cause.needs_newer_table() && !failure.written && context.reroutes < MAX_REROUTES
        {
            context.reroutes += 1;
            let changed = self.state().changed_since(seen);
            tokio::time::timeout(STALE_ROUTE_WAIT.min(context.deadline.remaining()), changed)
                .await
                .ok();
            return Ok(());
        }
        context.attempts += 1;
        match failure.cause {
            FailureCause::ConnectFailed
            | FailureCause::HostUnreachable
            | FailureCause::HostLost => {
                context.unreachable.push(TriedTarget::new(target));
            }
            FailureCause::ConnectionLost => context.crashed.push(target.name.clone()),
            _ => return Err(overall),
        }
        let expected = self.stats.estimate(&context.service, context.shape).expected;
        let rules = (context.profile.refuse.retry_budget, context.profile.refuse.crash_limit);
        let request = context.retry_request(failure.written, expected);
        let now = self.state().now();
        let may_retry = self.stats.may_retry(now, &context.service, rules, &request);
        if may_retry { Ok(()) } else { Err(overall) }
    }

    /// Counts an unkeyed request as outstanding at the picked target.
    pub(super) fn load_guard(
        &self,
        context: &RequestContext,
        target: &TargetEntry,
    ) -> Option<LoadGuard> {
        context
            .key
            .is_none()
            .then(|| LoadGuard::new(&self.picker, self.state().now(), &target.name))
    }
}

impl CallerConnection {
    /// Takes the scanner's verdict on the next request. Returns an error if the request has to be
    /// refused.
    pub(crate) fn next_verdict(&self) -> Result<(), FailureCause> {
        match self.verdicts.pop() {
            HeadVerdict::Clear => Ok(()),
            HeadVerdict::Ambiguous(reason) => {
                log::info!("event=request_refused caller={} reason={reason:?}", self.peer);
                Err(FailureCause::BadRequest)
            }
            HeadVerdict::RequestLineTooLong => Err(FailureCause::UriTooLong),
            HeadVerdict::HeadTooLong => Err(FailureCause::HeadTooLarge),
        }
    }
}

/// Returns the host without its port, from an absolute URI or else from the only `Host` field (RFC
/// 9112, section 3.2).
fn request_host<'a>(
    version: Version,
    uri: &'a Uri,
    headers: &'a HeaderMap,
) -> Result<&'a str, FailureCause> {
    let mut fields = headers.get_all(header::HOST).into_iter();
    let field = fields.next();
    if fields.next().is_some() || (field.is_none() && version == Version::HTTP_11) {
        return Err(FailureCause::BadRequest);
    }
    let field = field.map(|value| value.to_str().map_err(|_| FailureCause::BadRequest));
    let field = field.transpose()?.unwrap_or("");
    let authority = uri.authority().map_or(field, |authority| authority.as_str());
    if authority.contains('@') {
        return Err(FailureCause::BadRequest);
    }
    // The brackets of an IPv6 literal contain colons.
    let port = authority.rfind(':').filter(|&colon| !authority[colon..].contains(']'));
    Ok(&authority[..port.unwrap_or(authority.len())])
}

/// Reduces an absolute URI to its path and query, and sets `Host` to its authority.
fn set_origin_form(uri: &mut Uri, headers: &mut HeaderMap) -> Result<(), FailureCause> {
    let Some(authority) = uri.authority() else { return Ok(()) };
    let host = authority.as_str().parse().map_err(|_| FailureCause::BadRequest)?;
    headers.insert(header::HOST, host);
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    *uri = path.parse().map_err(|_| FailureCause::BadRequest)?;
    Ok(())
}

/// Returns the profile's time limit, or the caller's if it is shorter.
///
/// `Request-Timeout` contains the caller's limit in seconds, with optional decimals. No RFC defines
/// the field, but it is in common use. It can only shorten the limit, so an untrusted caller gains
/// nothing by setting it.
fn time_limit(
    headers: &HeaderMap,
    profile: &gw_profile::Profile,
) -> Result<Duration, FailureCause> {
    let limit = Duration::from_millis(u64::from(profile.refuse.deadline_ms));
    let Some(value) = headers.get(REQUEST_TIMEOUT) else { return Ok(limit) };
    let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let wanted = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Ok(wanted.ok_or(FailureCause::BadRequest)?.min(limit))
}
