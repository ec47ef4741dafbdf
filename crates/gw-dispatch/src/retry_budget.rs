use std::time::Duration;

use gw_types::Timestamp;

/// Number of parts of the window.
const PART_COUNT: usize = 10;
/// Length of one part. The window covers the last 10 s.
const PART_LENGTH: Duration = Duration::from_secs(1);
/// Retries that a quiet service may make regardless of its share; refilled by one each second.
/// Without it, a service with few requests could never retry.
const FLOOR_TOKENS: f64 = 3.0;
/// Tokens by which the default floor is refilled each second.
const FLOOR_REFILL_PER_SECOND: f64 = 1.0;
/// Length of the window.
const WINDOW_LENGTH: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Bounds retries to a share of the requests of the last 10 s.
///
/// Invariant: within any window, retries never exceed the share of its requests, plus those taken
/// from the floor. Without another setting, the floor is a bucket of 3 tokens refilled by one each
/// second.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    parts: [WindowPart; PART_COUNT],
    /// Size of the floor's bucket.
    floor: f64,
    floor_tokens: f64,
    /// Tokens by which the floor's bucket is refilled each second.
    refill_per_second: f64,
    refilled: Timestamp,
}

impl RetryBudget {
    /// A budget of `share` of the requests, 0 to 1.
    pub fn new(share: f64, now: Timestamp) -> Self {
        let parts = [WindowPart::default(); PART_COUNT];
        let floor = FLOOR_TOKENS;
        let share = share.clamp(0.0, 1.0);
        let refill_per_second = FLOOR_REFILL_PER_SECOND;
        Self { share, parts, floor, floor_tokens: floor, refill_per_second, refilled: now }
    }

    /// Bounds the retries regardless of the share to `retries` within any window.
    ///
    /// A full bucket of half as many tokens that is refilled within a window gives out at most that
    /// many in one window.
    pub fn set_min_retries(&mut self, retries: f64) {
        self.floor = retries.max(0.0) / 2.0;
        self.floor_tokens = self.floor_tokens.min(self.floor);
        self.refill_per_second = self.floor / WINDOW_LENGTH.as_secs_f64();
    }

    /// Puts a changed share in force.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Timestamp) {
        self.part(now).requests += 1;
    }

    /// Takes one retry from the budget; `false` when there is none left.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let (requests, retries) = self.totals(now);
        if (retries + 1) as f64 <= self.share * requests as f64 {
            self.part(now).retries += 1;
            return true;
        }
        if self.floor_tokens < 1.0 || self.share == 0.0 {
            return false;
        }
        self.floor_tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Timestamp) {
        let earned = now.since(self.refilled).as_secs_f64() * self.refill_per_second;
        self.floor_tokens = (self.floor_tokens + earned).min(self.floor);
        self.refilled = self.refilled.max(now);
    }

    fn totals(&self, now: Timestamp) -> (u64, u64) {
        let oldest = part_number(now).saturating_sub(PART_COUNT as u64 - 1);
        let recent = self.parts.iter().filter(|part| part.number >= oldest);
        recent.fold((0, 0), |sum, part| (sum.0 + part.requests, sum.1 + part.retries))
    }

    fn part(&mut self, now: Timestamp) -> &mut WindowPart {
        let number = part_number(now);
        let part = &mut self.parts[(number % PART_COUNT as u64) as usize];
        if part.number != number {
            *part = WindowPart { number, ..WindowPart::default() };
        }
        part
    }
}

fn part_number(now: Timestamp) -> u64 {
    now.as_nanos() / PART_LENGTH.as_nanos() as u64
}
