use std::collections::VecDeque;
use std::time::Duration;

use gw_types::Timestamp;

const WINDOW: Duration = Duration::from_secs(60);

/// Limits the number of moves in any 60 seconds.
#[derive(Clone, Debug)]
pub struct ChurnBudget {
    per_minute: u32,
    /// Time and number of the moves in the last 60 seconds.
    spent: VecDeque<(Timestamp, u32)>,
}

impl ChurnBudget {
    /// Creates a budget of `per_minute` moves.
    pub fn new(per_minute: u32) -> Self {
        Self { per_minute, spent: VecDeque::new() }
    }

    /// Returns the number of moves that are allowed at `now`.
    pub fn available(&mut self, now: Timestamp) -> u32 {
        while self.spent.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW) {
            self.spent.pop_front();
        }
        let spent: u32 = self.spent.iter().map(|(_, count)| count).sum();
        self.per_minute.saturating_sub(spent)
    }

    /// Takes up to `count` moves from the budget and returns the number taken.
    pub fn take(&mut self, now: Timestamp, count: u32) -> u32 {
        let taken = count.min(self.available(now));
        if taken > 0 {
            self.spent.push_back((now, taken));
        }
        taken
    }
}
