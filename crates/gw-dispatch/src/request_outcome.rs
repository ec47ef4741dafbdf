use crate::RefusalReason;

/// Why a request was not run. No byte of it reached a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The queue was full and the request was shed by the profile's order.
    Shed,
    /// The requests ahead would have taken too long to meet the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The key or its target is being drained.
    Draining,
    /// The host that received the request is not the dispatcher of the key's target.
    StaleRoute,
    /// No target of the service accepts work.
    NoTarget,
    /// The target's dispatcher could not be reached.
    DispatcherUnreachable,
    /// The target refused the connection.
    ConnectionRefused,
    /// All connections to the target are in use.
    ConnectionLimit,
    /// The request crashed too many targets.
    Quarantined,
    /// The idempotency record could not be consulted or copied.
    RecordUnavailable,
    /// The table of idempotency records is full.
    RecordsFull,
    /// The idempotency key was used for a different request.
    RecordMismatch,
    /// The caller left before the request started.
    CallerLeft,
}

impl From<RefusalReason> for NotRunReason {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::Shed => NotRunReason::Shed,
            RefusalReason::DeadlineUnreachable => NotRunReason::DeadlineUnreachable,
            RefusalReason::DeadlinePassed => NotRunReason::DeadlinePassed,
            RefusalReason::Draining => NotRunReason::Draining,
        }
    }
}

/// Why it is unknown whether a request was run. A byte of it may have reached a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection ended before the answer began.
    ConnectionLost,
    /// The target did not answer before the deadline.
    AnswerTimeout,
    /// The dispatcher became unreachable after it had received the request.
    DispatcherLost,
    /// An earlier request with the idempotency key is still running.
    StillRunning,
    /// The outcome of an earlier request with the idempotency key is unknown.
    EarlierUnknown,
    /// An earlier request with the idempotency key was answered, but the answer was too large to
    /// be stored.
    AnswerNotStored,
}

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The target sent a complete answer.
    Answered,
    /// The request was not run.
    NotRun(NotRunReason),
    /// The request may have been run.
    Unknown(UnknownReason),
}

/// Status code and header fields of an answer that is generated instead of the target's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFields {
    /// HTTP status code.
    pub status: u16,
    /// Value of `galenawheel-outcome`.
    pub outcome: &'static str,
    /// `error` parameter of `Proxy-Status` (RFC 9209, section 2.3).
    pub proxy_error: &'static str,
    /// `details` parameter of `Proxy-Status`.
    pub details: &'static str,
    /// Value of `Retry-After` in seconds; absent if a resend cannot succeed or is not safe.
    pub retry_after_s: Option<u32>,
}

impl RequestOutcome {
    /// Returns the generated answer; `None` for [`RequestOutcome::Answered`].
    ///
    /// `retry_after_s` is the estimated time in seconds until a resend may succeed; at least 1 is
    /// used.
    pub fn fields(self, retry_after_s: u32) -> Option<AnswerFields> {
        match self {
            RequestOutcome::Answered => None,
            RequestOutcome::NotRun(reason) => Some(reason.fields(retry_after_s.max(1))),
            RequestOutcome::Unknown(reason) => Some(reason.fields()),
        }
    }
}

impl NotRunReason {
    fn fields(self, retry_after_s: u32) -> AnswerFields {
        let (status, proxy_error, details) = self.parts();
        let is_final = matches!(
            self,
            NotRunReason::Quarantined | NotRunReason::RecordMismatch | NotRunReason::CallerLeft
        );
        let retry_after_s = (!is_final).then_some(retry_after_s);
        AnswerFields { status, outcome: "not-run", proxy_error, details, retry_after_s }
    }

    fn parts(self) -> (u16, &'static str, &'static str) {
        match self {
            NotRunReason::Shed => (429, "http_request_denied", "shed"),
            NotRunReason::DeadlineUnreachable => {
                (503, "http_request_denied", "deadline-unreachable")
            }
            NotRunReason::DeadlinePassed => (503, "destination_unavailable", "deadline-passed"),
            NotRunReason::Draining => (503, "destination_unavailable", "draining"),
            NotRunReason::StaleRoute => (503, "destination_unavailable", "stale-route"),
            NotRunReason::NoTarget => (503, "destination_not_found", "no-target"),
            NotRunReason::DispatcherUnreachable => {
                (503, "destination_unavailable", "dispatcher-unreachable")
            }
            NotRunReason::ConnectionRefused => (503, "connection_refused", "connection-refused"),
            NotRunReason::ConnectionLimit => (503, "connection_limit_reached", "connection-limit"),
            NotRunReason::Quarantined => (503, "http_request_denied", "quarantined"),
            NotRunReason::RecordUnavailable => (503, "proxy_internal_error", "record-unavailable"),
            NotRunReason::RecordsFull => (503, "http_request_denied", "records-full"),
            // Status code of the IETF HTTPAPI working group's Idempotency-Key draft.
            NotRunReason::RecordMismatch => (422, "http_request_error", "idempotency-key-reused"),
            NotRunReason::CallerLeft => (503, "http_request_error", "caller-left"),
        }
    }
}

impl UnknownReason {
    fn fields(self) -> AnswerFields {
        let (status, proxy_error, details) = match self {
            UnknownReason::ConnectionLost => (502, "connection_terminated", "connection-lost"),
            UnknownReason::AnswerTimeout => (504, "http_response_timeout", "answer-timeout"),
            UnknownReason::DispatcherLost => (502, "connection_terminated", "dispatcher-lost"),
            UnknownReason::StillRunning => (504, "http_response_timeout", "still-running"),
            UnknownReason::EarlierUnknown => (502, "http_response_incomplete", "earlier-unknown"),
            UnknownReason::AnswerNotStored => {
                (502, "http_response_incomplete", "answer-not-stored")
            }
        };
        AnswerFields { status, outcome: "unknown", proxy_error, details, retry_after_s: None }
    }
}
