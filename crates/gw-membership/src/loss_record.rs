use std::collections::VecDeque;
use std::time::Duration;

use gw_types::Timestamp;

use crate::LossCause;
use crate::RegistryOptions;

/// Maximum number of losses that are kept; the wait reaches its limit with fewer.
const MAX_LOSSES: usize = 8;

/// Flap damping of one target: its recent losses and the time until which it may not rejoin.
///
/// The wait doubles with each loss, so that the slots of a flapping target do not move back and
/// forth.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossRecord {
    /// Oldest first.
    loss_times: VecDeque<Timestamp>,
    /// Time before which the target may not rejoin.
    blocked_until: Timestamp,
}

impl LossRecord {
    /// Records a loss and sets the time before which the target may not rejoin.
    ///
    /// The first loss by expiry or restart has no wait, since a short network outage may have
    /// caused it. A target that fails requests while it keeps announcing itself waits from the
    /// first loss, or else it would rejoin with its next renewal.
    pub(crate) fn record(&mut self, now: Timestamp, cause: LossCause, options: &RegistryOptions) {
        self.loss_times.retain(|time| now.since(*time) < options.damping_window);
        if self.loss_times.len() == MAX_LOSSES {
            self.loss_times.pop_front();
        }
        self.loss_times.push_back(now);
        let undamped =
            if matches!(cause, LossCause::Expired | LossCause::Replaced) { 1 } else { 0 };
        let damped = self.loss_times.len().saturating_sub(undamped);
        self.blocked_until = now + damping_wait(damped, options);
    }

    pub(crate) fn is_blocked(&self, now: Timestamp) -> bool {
        now < self.blocked_until
    }
}

fn damping_wait(damped: usize, options: &RegistryOptions) -> Duration {
    let Some(doublings) = damped.checked_sub(1) else { return Duration::ZERO };
    let wait = options.min_damping_wait.saturating_mul(1 << doublings.min(MAX_LOSSES));
    wait.min(options.max_damping_wait)
}
