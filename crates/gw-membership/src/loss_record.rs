use std::collections::VecDeque;
use std::time::Duration;

use gw_types::Timestamp;

use crate::LossCause;
use crate::RegistryOptions;

/// Losses that are remembered; the wait has reached its limit before.
const MAX_LOSSES: usize = 8;

/// Recent losses of one target. A target that is lost again and again must wait longer each time,
/// so that its slots do not move back and forth.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossRecord {
    /// Oldest first.
    times: VecDeque<Timestamp>,
    /// The target may not come back before this.
    blocked_until: Timestamp,
}

impl LossRecord {
    /// Notes a loss and sets how long the target has to stay away.
    ///
    /// One loss by expiry or restart costs no wait, since it may be a pause of the network. A
    /// target that fails its requests while it announces itself waits from the first time, or it
    /// would be back within one renewal.
    pub(crate) fn add(&mut self, now: Timestamp, cause: LossCause, options: &RegistryOptions) {
        self.times.retain(|time| now.since(*time) < options.damping_window);
        if self.times.len() == MAX_LOSSES {
            self.times.pop_front();
        }
        self.times.push_back(now);
        let free = if matches!(cause, LossCause::Expired | LossCause::Replaced) { 1 } else { 0 };
        let damped = self.times.len().saturating_sub(free);
        self.blocked_until = now + wait(damped, options);
    }

    pub(crate) fn is_blocked(&self, now: Timestamp) -> bool {
        now < self.blocked_until
    }
}

fn wait(damped: usize, options: &RegistryOptions) -> Duration {
    let Some(doublings) = damped.checked_sub(1) else { return Duration::ZERO };
    let wait = options.min_damping_wait.saturating_mul(1 << doublings.min(MAX_LOSSES));
    wait.min(options.max_damping_wait)
}
