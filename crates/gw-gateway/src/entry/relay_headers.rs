use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::entry::local_reply::LocalReply;

/// Milliseconds for which the sending host still waits for the response.
const REMAINING: HeaderName = HeaderName::from_static("galenawheel-remaining-ms");
/// Milliseconds since the sending host received the request.
const AGE: HeaderName = HeaderName::from_static("galenawheel-age-ms");
/// Number of targets that the request may still be sent to.
const ATTEMPTS: HeaderName = HeaderName::from_static("galenawheel-attempts");
/// Whether a target may have executed the request; absent from responses of targets.
const OUTCOME: HeaderName = HeaderName::from_static("galenawheel-outcome");
/// Machine-readable reason of a response that is not a target's.
const REASON: HeaderName = HeaderName::from_static("galenawheel-reason");
/// No target executed the request, and none will.
const NOT_RUN: &str = "not-run";
/// A target may have executed the request.
const UNKNOWN: &str = "unknown";

/// Reason of a relay that has lost its path to targets, too.
pub(crate) const PATH_LOST: &str = "target_path_lost";
/// Reason of a host that could not establish a connection to the target.
pub(crate) const TARGET_UNREACHABLE: &str = "target_unreachable";

/// Reason of a relay that has as many requests of other hosts in flight as its link carries.
pub(crate) const RELAY_BUSY: &str = "relay_busy";

/// Terms of a request that another entry host sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayTerms {
    /// How long the sender still waits for the response.
    pub(crate) remaining: Duration,
    /// How long ago the sender received the request.
    pub(crate) age: Duration,
    /// Number of targets that the request may still be sent to.
    pub(crate) attempts: u32,
}

impl RelayTerms {
    /// Writes the terms into the headers of a request to a relay.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(REMAINING, HeaderValue::from(milliseconds(self.remaining)));
        headers.insert(AGE, HeaderValue::from(milliseconds(self.age)));
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
    }

    /// Removes the terms from the headers of a relayed request and returns them.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut number = |name: &HeaderName| headers.remove(name)?.to_str().ok()?.parse().ok();
        let (remaining, age): (Option<u64>, Option<u64>) = (number(&REMAINING), number(&AGE));
        let attempts = number(&ATTEMPTS).and_then(|attempts| u32::try_from(attempts).ok());
        Some(Self {
            remaining: Duration::from_millis(remaining?),
            age: Duration::from_millis(age?),
            attempts: attempts?,
        })
    }
}

/// A response of a relay that is not a target's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayRefusal {
    /// Whether no target executed the request.
    pub(crate) is_not_run: bool,
    /// Machine-readable reason.
    pub(crate) reason: String,
    /// When the caller may come back, if the relay says so.
    pub(crate) retry_after: Option<Duration>,
}

impl RelayRefusal {
    /// Marks the headers of a local reply to a relayed request.
    pub(crate) fn write(reply: &LocalReply, headers: &mut HeaderMap) {
        let outcome = if reply.status.is_server_error() && reply.retry_after.is_none() {
            UNKNOWN
        } else {
            NOT_RUN
        };
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        headers.insert(REASON, HeaderValue::from_static(reply.reason));
    }

    /// Reads the headers of a relay's response; `None` if it is the response of a target.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let is_not_run = text(&OUTCOME)? == NOT_RUN;
        let seconds = text(&header::RETRY_AFTER).and_then(|value| value.parse().ok());
        let retry_after = seconds.and_then(|time| Duration::try_from_secs_f64(time).ok());
        let reason = text(&REASON).unwrap_or_default().to_owned();
        Some(Self { is_not_run, reason, retry_after })
    }

    /// Removes the mark from the headers of a target's response.
    pub(crate) fn remove(headers: &mut HeaderMap) {
        headers.remove(&OUTCOME);
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
