use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use gw_dispatch::CallerHash;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RetryRequest;
use gw_dispatch::RouteShape;
use gw_dispatch::ServiceEstimate;
use gw_profile::Profile;
use gw_profile::ShedClass;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::Timestamp;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use tokio::time::Instant;

use super::body_source::BodySource;
use super::exchange::RequestHead;
use crate::http::Failure;

/// State of one request while this host handles it.
pub(crate) struct RequestContext {
    pub(crate) service: ServiceName,
    /// `None` for an unkeyed service.
    pub(crate) key: Option<KeyHash>,
    pub(crate) profile: Arc<Profile>,
    pub(crate) idempotent: bool,
    /// Present only on a non-idempotent request.
    pub(crate) idempotency_key: Option<Vec<u8>>,
    pub(crate) deadline: RequestDeadline,
    pub(crate) head: RequestHead,
    pub(crate) body: BodySource,
    /// Whether the body is read before the request is queued. Unset if the caller expects
    /// `100 Continue`, which hyper sends when reading of the body starts.
    pub(crate) prefetches_body: bool,
    pub(crate) request_id: Arc<str>,
    pub(crate) caller: CallerHash,
    pub(crate) shape: RouteShape,
    /// Number of completed attempts.
    pub(crate) attempts: u8,
    /// Number of times that the request was routed again without an attempt.
    pub(crate) reroutes: u8,
    /// Targets whose connection was lost while they ran the request.
    pub(crate) crashed: Vec<TargetName>,
    /// Target processes, with their dispatchers, that were unreachable.
    pub(crate) unreachable: Vec<TriedTarget>,
    /// Failure of the last attempt. `written` is set if any attempt has written a byte.
    pub(crate) last_failure: Option<Failure>,
    /// Set if the caller's connection has to be reset.
    pub(crate) reset: Arc<AtomicBool>,
}

/// A target process and the dispatcher by way of which it was tried.
#[derive(Clone, Debug)]
pub(crate) struct TriedTarget {
    name: TargetName,
    boot: BootId,
    dispatcher: Option<HostId>,
}

impl TriedTarget {
    pub(crate) fn new(target: &TargetEntry) -> Self {
        let TargetEntry { name, boot, dispatcher, .. } = target;
        Self { name: name.clone(), boot: *boot, dispatcher: *dispatcher }
    }

    fn matches(&self, target: &TargetEntry) -> bool {
        self.name == target.name && self.boot == target.boot && self.dispatcher == target.dispatcher
    }
}

/// Deadline of a request, on the clock of the host and on that of the timers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDeadline {
    pub(crate) timestamp: Timestamp,
    pub(crate) instant: Instant,
}

impl RequestDeadline {
    pub(crate) fn after(now: Timestamp, remaining: Duration) -> Self {
        Self { timestamp: now + remaining, instant: Instant::now() + remaining }
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.instant.saturating_duration_since(Instant::now())
    }

    /// Returns the remaining time in milliseconds, rounded down.
    pub(crate) fn remaining_ms(&self) -> u32 {
        u32::try_from(self.remaining().as_millis()).unwrap_or(u32::MAX)
    }
}

impl RequestContext {
    pub(crate) fn shed_class(&self, estimate: &ServiceEstimate) -> ShedClass {
        match (self.idempotent, self.attempts > 0, estimate.is_long) {
            (false, _, _) => ShedClass::NonIdempotent,
            (true, true, _) => ShedClass::Retry,
            (true, false, true) => ShedClass::LongIdempotent,
            (true, false, false) => ShedClass::ShortIdempotent,
        }
    }

    /// Returns the fingerprint of method, path, key, caller and body. A body that is not completely
    /// buffered is left out, so that requests that differ only in a long body have the same
    /// fingerprint.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = match &self.body {
            BodySource::Buffered(bytes) => Some(&bytes[..]),
            _ => None,
        };
        let caller = self.head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
        RequestFingerprint::of(self.head.method.as_str(), path, self.key, caller, body)
    }

    /// Returns whether the target may be tried: no connection to it was lost with this request, and
    /// this process of it was not unreachable by way of the same dispatcher.
    pub(crate) fn may_use(&self, target: &TargetEntry) -> bool {
        !self.crashed.contains(&target.name)
            && !self.unreachable.iter().any(|tried| tried.matches(target))
    }

    /// Records a failed attempt. Returns the failure with `written` set if any attempt has written
    /// a byte.
    pub(crate) fn record_failure(&mut self, failure: Failure) -> Failure {
        let was_written = self.last_failure.is_some_and(|last| last.written);
        let failure = Failure { written: failure.written || was_written, ..failure };
        self.last_failure = Some(failure);
        failure
    }

    pub(crate) fn retry_request(&self, was_sent: bool, expected: Duration) -> RetryRequest<'_> {
        RetryRequest {
            is_idempotent: self.idempotent,
            was_sent,
            attempts: self.attempts,
            expected,
            deadline: self.deadline.timestamp,
            crashed: &self.crashed,
        }
    }
}

/// Returns whether a request with this method may be repeated (RFC 9110, section 9.2.2).
pub(crate) fn is_idempotent(method: &Method, profile: &Profile) -> bool {
    !profile.refuse.all_non_idempotent && method.is_idempotent()
}

/// Returns the shape by which service times are grouped: method and first path segment.
pub(crate) fn route_shape(method: &Method, uri: &Uri) -> RouteShape {
    let segment = uri.path().split('/').nth(1).unwrap_or("");
    let method = KeyHash::of(method.as_str().as_bytes()).0;
    RouteShape(method ^ KeyHash::of(segment.as_bytes()).0)
}
