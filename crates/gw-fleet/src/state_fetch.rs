use std::time::Duration;

use gw_types::Timestamp;

/// Time without a byte from a control host after which its reply is given up. Longer than the
/// retransmission timeout of a link that loses packets.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a part of a large message after which a reply is given up although the control host
/// sends others: it does not answer. With the time to notice, and the reply of another control host, the
/// state is at most 2 s old.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a reply is given up although bytes still arrive: the control host may have
/// dropped the request. On a link of 2 Mbit/s, 1 MB takes as long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// What a connection has delivered.
#[derive(Clone, Copy, Debug)]
pub struct LinkProgress {
    /// When it last delivered data.
    pub last_byte: Timestamp,
    /// When it last delivered a part of a message that was not complete.
    pub last_part: Timestamp,
}

/// A learner's request for the entries that it lacks; `L` identifies a connection.
///
/// At most one request is outstanding. A complete state takes most of a second on a slow link, and
/// further copies would delay the first one and everything else on that link.
#[derive(Clone, Debug)]
pub struct StateFetch<L> {
    /// Connection on which the reply is awaited, and when the request was sent.
    outstanding: Option<(L, Timestamp)>,
    /// Connection on which a request was given up and nothing was received since that answers one.
    unanswered: Option<L>,
}

impl<L> Default for StateFetch<L> {
    fn default() -> Self {
        Self { outstanding: None, unanswered: None }
    }
}

impl<L: Copy + PartialEq> StateFetch<L> {
    /// Whether a request may be sent now. `progress` returns what a connection has delivered; `None` if it
    /// has ended.
    pub fn may_start(&self, now: Timestamp, progress: impl Fn(L) -> Option<LinkProgress>) -> bool {
        let Some((link, since)) = self.outstanding else { return true };
        let Some(LinkProgress { last_byte, last_part }) = progress(link) else { return true };
        now.since(since.max(last_byte)) >= STALL_TIMEOUT
            || now.since(since.max(last_part)) >= ANSWER_TIMEOUT
            || now.since(since) >= REPLY_TIMEOUT
    }

    /// Whether the last request on `link` is not answered. Others are asked first.
    pub fn is_unanswered(&self, link: L) -> bool {
        self.unanswered == Some(link)
            || self.outstanding.is_some_and(|(awaited, _)| awaited == link)
    }

    /// Records that a request was sent on `link`.
    pub fn start(&mut self, now: Timestamp, link: L) {
        let given_up = self.outstanding.replace((link, now));
        self.unanswered = given_up.map(|(awaited, _)| awaited).or(self.unanswered);
    }

    /// Records that a reply has arrived on `link`, or that the connection has ended.
    pub fn finish(&mut self, link: L) {
        if self.outstanding.is_some_and(|(awaited, _)| awaited == link) {
            self.outstanding = None;
        }
        self.unanswered.take_if(|unanswered| *unanswered == link);
    }
}
