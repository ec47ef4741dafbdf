use std::time::Duration;

use gw_types::TargetName;
use gw_types::Timestamp;

use crate::RetryBudget;

/// A request whose last attempt failed, as input to [`RetryPolicy::decide`].
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest<'a> {
    /// Whether running the request twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Whether a byte of the last attempt may have reached a target.
    pub was_sent: bool,
    /// Number of attempts so far, including the first.
    pub attempts: u8,
    /// Expected service time.
    pub expected: Duration,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Timestamp,
    /// Targets that crashed while they were running the request.
    pub crashed: &'a [TargetName],
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRefusal {
    /// The request is not idempotent and may have been run.
    MayHaveRun,
    /// The request has crashed as many targets as the profile allows.
    CrashLimit,
    /// The request has had the maximum number of attempts.
    AttemptLimit,
    /// The expected service time does not fit before the deadline.
    Deadline,
    /// The retry budget of the service is used up.
    Budget,
}

/// Decision on a request whose last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on a target for which [`RetryPolicy::may_use`] holds.
    Retry,
    /// End the request with the outcome of its last attempt.
    Stop(RetryRefusal),
}

/// Rules that decide whether a failed request is retried.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    /// Number of targets that a request may crash before it is no longer retried.
    pub crash_limit: u8,
    /// Maximum number of attempts of one request, including the first.
    pub attempt_limit: u8,
}

impl RetryPolicy {
    /// Decides whether `request` is retried, and takes the retry from `budget` if so.
    ///
    /// A target cannot have run an attempt of which no byte was sent. Such an attempt may be
    /// followed by another one even if the request is not idempotent. The budget applies in both
    /// cases.
    pub fn decide(
        &self,
        now: Timestamp,
        request: &RetryRequest<'_>,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        match self.refusal(now, request) {
            Some(refusal) => RetryDecision::Stop(refusal),
            None if budget.try_retry(now) => RetryDecision::Retry,
            None => RetryDecision::Stop(RetryRefusal::Budget),
        }
    }

    /// Whether `request` may be sent to `target`, which it must not have crashed before.
    pub fn may_use(request: &RetryRequest<'_>, target: &TargetName) -> bool {
        !request.crashed.contains(target)
    }

    fn refusal(&self, now: Timestamp, request: &RetryRequest<'_>) -> Option<RetryRefusal> {
        if request.was_sent && !request.is_idempotent {
            return Some(RetryRefusal::MayHaveRun);
        }
        if request.crashed.len() >= usize::from(self.crash_limit) {
            return Some(RetryRefusal::CrashLimit);
        }
        if request.attempts >= self.attempt_limit {
            return Some(RetryRefusal::AttemptLimit);
        }
        (now + request.expected >= request.deadline).then_some(RetryRefusal::Deadline)
    }
}
