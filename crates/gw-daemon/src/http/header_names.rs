use http::HeaderName;

/// Prefix of the header names that only hosts may set.
pub(crate) const INTERNAL_PREFIX: &str = "galenawheel-";
/// Outcome of the request: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("galenawheel-outcome");
/// Name of the cause of a failure, for callers' logs and between hosts.
pub(crate) const REASON: HeaderName = HeaderName::from_static("galenawheel-reason");
/// Hash of the key if the routing table has an override for it, sent to targets.
pub(crate) const KEY: HeaderName = HeaderName::from_static("galenawheel-key");
/// Slot of the key, sent to targets.
pub(crate) const SLOT: HeaderName = HeaderName::from_static("galenawheel-slot");
/// Fencing token of the slot or key, sent to targets.
pub(crate) const TOKEN: HeaderName = HeaderName::from_static("galenawheel-token");
/// Time until the deadline in milliseconds, sent to targets.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("galenawheel-deadline-ms");
/// Identifies the request in logs of all hosts and targets.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("galenawheel-request-id");
/// Signed ticket of a forwarded request.
pub(crate) const FORWARD: HeaderName = HeaderName::from_static("galenawheel-forward");
/// Reason for which a target refused a request: `stale-token`.
pub(crate) const REFUSED: HeaderName = HeaderName::from_static("galenawheel-refused");
/// `Proxy-Status` (RFC 9209).
pub(crate) const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");
/// Identifies a non-idempotent request across resends.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The caller's time limit in seconds.
pub(crate) const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
