use std::time::Duration;

use gw_types::Timestamp;

/// Time without a byte from a control host after which its reply is given up. Longer than the
/// retransmission timeout of a link that loses packets.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a reply is given up although bytes still arrive: the control host may have
/// dropped the request. On a link of 2 Mbit/s, 1 MB takes as long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// A learner's request for the entries that it lacks; `L` identifies a connection.
///
/// At most one request is outstanding. A complete state takes most of a second on a slow link, and
/// further copies would delay the first one and everything else on that link.
#[derive(Clone, Debug)]
pub struct StateFetch<L> {
    /// Connection on which the reply is awaited, and when the request was sent.
    outstanding: Option<(L, Timestamp)>,
}

impl<L> Default for StateFetch<L> {
    fn default() -> Self {
        Self { outstanding: None }
    }
}

impl<L: Copy + PartialEq> StateFetch<L> {
    /// Whether a request may be sent now. `last_byte` returns when a connection last delivered data;
    /// `None` if it has ended.
    pub fn may_start(&self, now: Timestamp, last_byte: impl Fn(L) -> Option<Timestamp>) -> bool {
        let Some((link, since)) = self.outstanding else { return true };
        let Some(last_byte) = last_byte(link) else { return true };
        let last_progress = since.max(last_byte);
        now.since(last_progress) >= STALL_TIMEOUT || now.since(since) >= REPLY_TIMEOUT
    }

    /// Records that a request was sent on `link`.
    pub fn start(&mut self, now: Timestamp, link: L) {
        self.outstanding = Some((link, now));
    }

    /// Records that a reply has arrived on `link`, or that the connection has ended.
    pub fn finish(&mut self, link: L) {
        if self.outstanding.is_some_and(|(awaited, _)| awaited == link) {
            self.outstanding = None;
        }
    }
}
