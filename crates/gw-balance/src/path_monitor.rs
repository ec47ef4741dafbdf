use std::net::SocketAddr;
use std::time::Duration;

use gw_types::Timestamp;

/// Number of targets to which no connection could be opened, one after the other, from which the
/// path is probed. Fewer may have ended by themselves.
const SUSPECT_TARGETS: usize = 3;
/// Age from which a failed connection no longer counts.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(3);
/// Time without any response, while requests are in flight, after which the path is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Tells whether a host has lost its path to targets, from the outcomes of its own exchanges.
///
/// A target that fails alone says nothing about the host, and several may be out of reach with their
/// zone. Failures therefore only raise doubts, and the path counts as lost when probes of targets
/// that have responded last fail too. A response over an open connection does not show that the
/// path is intact: a network may carry on open connections and refuse new ones.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    /// Addresses to which connections failed since one last succeeded, sorted, with the time of the
    /// last failure.
    failures: Vec<(SocketAddr, Timestamp)>,
    /// When the first request was sent since a target last responded.
    unanswered_since: Option<Timestamp>,
    is_lost: bool,
}

impl PathMonitor {
    /// Records that a request is sent to a target.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a target has responded over an open connection, or ended it.
    pub fn record_response(&mut self) {
        self.unanswered_since = None;
    }

    /// Records that a connection was opened.
    pub fn record_connected(&mut self) {
        *self = Self::default();
    }

    /// Records that no connection to `address` could be opened.
    pub fn record_unreachable(&mut self, now: Timestamp, address: SocketAddr) {
        self.failures.retain(|(_, failed_at)| now.since(*failed_at) < MAX_FAILURE_AGE);
        match self.failures.binary_search_by(|(known, _)| known.cmp(&address)) {
            Ok(index) => self.failures[index].1 = now,
            Err(position) => self.failures.insert(position, (address, now)),
        }
    }

    /// Records that no connection to any of the targets that were probed could be opened.
    pub fn record_probe_failed(&mut self) {
        self.is_lost = true;
    }

    /// Whether the path to targets counts as lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether requests are in flight and no target responds, so that open connections do not work
    /// either.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) > SILENCE_TIMEOUT)
    }

    /// Whether connections should be opened to find out if the path is intact.
    pub fn needs_probe(&self, now: Timestamp) -> bool {
        let is_recent =
            |(_, failed_at): &&(SocketAddr, Timestamp)| now.since(*failed_at) < MAX_FAILURE_AGE;
        let failed = self.failures.iter().filter(is_recent).count();
        self.is_lost || self.is_silent(now) || failed >= SUSPECT_TARGETS
    }
}
