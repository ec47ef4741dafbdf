use std::rc::Rc;
use std::time::Duration;

use gw_dispatch::RequestFingerprint;
use gw_pipeline::RequestBody;
use gw_routing::RouteRule;
use gw_types::KeyHash;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use http::request;
use tokio::time::Instant;

use crate::entry::admission::AdmissionParams;
use crate::entry::entry_host::EntryHost;
use crate::entry::local_reply::LocalReply;
use crate::entry::relay_headers::RelayTerms;
use crate::ports::RequestMetadata;

/// Response timeout when neither the caller nor the route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the start of the process within which a first state arrives if all hosts start at the
/// same time: an election and a transfer over a narrow link. Requests wait for it: a caller that is
/// refused meanwhile has used up its retries by then.
const STARTUP_TIME: Duration = Duration::from_millis(1_800);
/// Part of the time that a caller waits for which its request may wait for the first state.
const STARTUP_WAIT_SHARE: f64 = 0.5;
/// `Retry-After` while this host has no configuration or cannot determine a service or route.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Part of the caller's timeout reserved for returning the response to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Longest objective, whatever the configuration states: a time that exceeds the range of the clock
/// ended every connection.
const MAX_OBJECTIVE: Duration = Duration::from_secs(24 * 60 * 60);

/// Who sent a request to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another entry host, which cannot reach targets itself.
    EntryHost,
}

/// A completely received request with its route.
pub(crate) struct ReadRequest {
    pub(crate) number: u64,
    pub(crate) origin: RequestOrigin,
    pub(crate) started: Instant,
    pub(crate) head: request::Parts,
    pub(crate) body: RequestBody,
    pub(crate) metadata: RequestMetadata,
    pub(crate) rule: RouteRule,
    pub(crate) params: AdmissionParams,
    pub(crate) fingerprint: RequestFingerprint,
}

impl ReadRequest {
    /// Returns the caller's request id for logs, or `-`.
    pub(crate) fn id(&self) -> &str {
        self.metadata.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Waits, in the first moments of the process, until this host has a configuration to serve by.
pub(crate) async fn wait_for_config(host: &EntryHost, head: &request::Parts, started: Instant) {
    if host.serving_config().is_none() {
        let timeout = host.adapter.read_request_metadata(head).timeout.unwrap_or(DEFAULT_TIMEOUT);
        let end = started + timeout.mul_f64(STARTUP_WAIT_SHARE);
        host.wait_for_config((host.started_at + STARTUP_TIME).min(end)).await;
    }
}

/// Looks up the route and service of a request.
pub(crate) fn read_request(
    host: &Rc<EntryHost>,
    (mut head, body): (request::Parts, RequestBody),
    origin: RequestOrigin,
    started: Instant,
    number: u64,
) -> Result<ReadRequest, LocalReply> {
    let mut metadata = host.adapter.read_request_metadata(&head);
    let (mut age, mut max_attempts) = (Duration::ZERO, u32::MAX);
    if origin == RequestOrigin::EntryHost
        && let Some(terms) = RelayTerms::take(&mut head.headers)
    {
        metadata.timeout = Some(terms.remaining);
        age = terms.age;
        max_attempts = terms.attempts;
    }
    let Some(config) = host.serving_config() else {
        let reason = match host.config() {
            Some(_) => "state_not_confirmed",
            None => "no_configuration",
        };
        return Err(LocalReply::not_executed(reason, STARTUP_RETRY_AFTER));
    };
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let name = named.or_else(|| head.uri.host()).unwrap_or_default().to_owned();
    let Some(mut rule) = config.find_route(&name, head.uri.path()).cloned() else {
        return Err(unknown_route(host));
    };
    rule.max_attempts = rule.max_attempts.min(max_attempts);
    let Some(service) = host.choose_service(&name, &rule) else {
        return Err(LocalReply::not_executed("no_service", STARTUP_RETRY_AFTER));
    };
    let is_keyed = config.service(&service).is_some_and(|spec| spec.is_keyed);
    if is_keyed && metadata.key.is_none() {
        return Err(LocalReply::client_error(StatusCode::BAD_REQUEST, "key_missing"));
    }
    let key = metadata.key.filter(|_| is_keyed);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let key_hash = key.map(|key| KeyHash(u64::from(key)));
    let fingerprint = RequestFingerprint::of_segments(
        head.method.as_str(),
        path,
        key_hash,
        head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes),
        body.len(),
        body.segments().map(|segment| &segment[..]),
    );
    let caller_timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = rule.timeout.unwrap_or(DEFAULT_TIMEOUT).min(caller_timeout);
    let params = AdmissionParams {
        number,
        service,
        key,
        priority: rule.priority,
        body_bytes: body.len(),
        objective: started + rule.objective.min(MAX_OBJECTIVE).saturating_sub(age),
        deadline: started + timeout.saturating_sub(RETURN_MARGIN),
    };
    Ok(ReadRequest { number, origin, started, head, body, metadata, rule, params, fingerprint })
}

/// Reply for a path without a route. A host that may have missed a configuration cannot state that
/// the route does not exist.
fn unknown_route(host: &EntryHost) -> LocalReply {
    /// Longest time since a control host in contact with a majority was heard.
    const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_500);
    let age = host.now().since(host.last_contact.get());
    if age > MAX_CONTACT_AGE || !host.has_caught_up.get() {
        return LocalReply::not_executed("route_unknown_while_cut_off", STARTUP_RETRY_AFTER);
    }
    LocalReply::client_error(StatusCode::NOT_FOUND, "route_unknown")
}
