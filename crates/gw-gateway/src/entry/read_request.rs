use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_dispatch::RequestFingerprint;
use gw_routing::RouteRule;
use gw_types::KeyHash;
use http::Request;
use http::StatusCode;
use http::header;
use http::request;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::entry::admission::RequestPlan;
use crate::entry::entry_host::EntryHost;
use crate::entry::own_answer::OwnAnswer;
use crate::ports::RequestMetadata;

/// How long an answer is waited for when neither caller nor route says.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// When a caller may try again while the host knows no configuration.
const STARTUP_RETRY: Duration = Duration::from_millis(500);
/// Time kept for the way of the answer back to the caller.
const RETURN_TIME: Duration = Duration::from_millis(5);

/// A request as it was read.
pub(crate) struct ReadRequest {
    pub(crate) number: u64,
    pub(crate) started: Instant,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) facts: RequestMetadata,
    pub(crate) rule: RouteRule,
    pub(crate) plan: RequestPlan,
    pub(crate) fingerprint: RequestFingerprint,
}

impl ReadRequest {
    /// The caller's id, for logs.
    pub(crate) fn id(&self) -> &str {
        self.facts.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Reads a request whole and finds its route.
pub(crate) async fn read_request(
    host: &Rc<EntryHost>,
    request: Request<Incoming>,
    started: Instant,
    number: u64,
) -> Result<ReadRequest, OwnAnswer> {
    let (head, body) = request.into_parts();
    let facts = host.dialect.read_request_metadata(&head);
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
    let patience = facts.timeout.unwrap_or(DEFAULT_PATIENCE);
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
