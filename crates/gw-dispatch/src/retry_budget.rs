use std::time::Duration;

use gw_types::Timestamp;

/// Number of slices of the sliding window.
const SLICE_COUNT: usize = 10;
/// Length of one slice of the window.
const SLICE_LENGTH: Duration = Duration::from_secs(1);
/// Default size of the token bucket for retries beyond the share. Without it, a service with few
/// requests could never retry.
const DEFAULT_MIN_RETRY_TOKENS: f64 = 3.0;
/// Default refill rate of that bucket in tokens per second.
const DEFAULT_REFILL_PER_SECOND: f64 = 1.0;
/// Length of the sliding window.
const WINDOW_LENGTH: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlice {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Limits retries to a share of the requests of the last 10 s.
///
/// A token bucket allows a minimum of retries beyond the share, by default 3 tokens that are
/// refilled at one per second.
///
/// Invariant: within any window, the number of retries never exceeds the share of its requests plus
/// the tokens taken from the bucket.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    slices: [WindowSlice; SLICE_COUNT],
    /// Capacity of the token bucket.
    token_limit: f64,
    tokens: f64,
    refill_per_second: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget of `share` of the requests, clamped to `0.0..=1.0`.
    pub fn new(share: f64, now: Timestamp) -> Self {
        let slices = [WindowSlice::default(); SLICE_COUNT];
        let token_limit = DEFAULT_MIN_RETRY_TOKENS;
        let share = share.clamp(0.0, 1.0);
        let refill_per_second = DEFAULT_REFILL_PER_SECOND;
        Self {
            share,
            slices,
            token_limit,
            tokens: token_limit,
            refill_per_second,
            refilled_at: now,
        }
    }

    /// Creates a budget like [`RetryBudget::new`], but with an empty bucket: for a process whose
    /// predecessor may have used its tokens within the same window.
    pub fn without_tokens(share: f64, now: Timestamp) -> Self {
        Self { tokens: 0.0, ..Self::new(share, now) }
    }

    /// Sets the number of retries that are allowed beyond the share within any window.
    ///
    /// The bucket gets half as many tokens and is refilled once per window: a full bucket then
    /// yields at most `retries` tokens within one window.
    pub fn set_min_retries(&mut self, retries: f64) {
        self.token_limit = retries.max(0.0) / 2.0;
        self.tokens = self.tokens.min(self.token_limit);
        self.refill_per_second = self.token_limit / WINDOW_LENGTH.as_secs_f64();
    }

    /// Replaces the share, clamped to `0.0..=1.0`.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Counts a first attempt, of which the share may be retried.
    pub fn record_request(&mut self, now: Timestamp) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry from the budget; returns `false` if none is left. A share of 0 allows no
    /// retries at all.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let (requests, retries) = self.totals(now);
        if (retries + 1) as f64 <= self.share * requests as f64 {
            self.slice(now).retries += 1;
            return true;
        }
        if self.tokens < 1.0 || self.share == 0.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Timestamp) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.refill_per_second;
        self.tokens = (self.tokens + earned).min(self.token_limit);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn totals(&self, now: Timestamp) -> (u64, u64) {
        let oldest = slice_number(now).saturating_sub(SLICE_COUNT as u64 - 1);
        let recent = self.slices.iter().filter(|slice| slice.number >= oldest);
        recent.fold((0, 0), |sum, slice| (sum.0 + slice.requests, sum.1 + slice.retries))
    }

    fn slice(&mut self, now: Timestamp) -> &mut WindowSlice {
        let number = slice_number(now);
        let slice = &mut self.slices[(number % SLICE_COUNT as u64) as usize];
        if slice.number != number {
            *slice = WindowSlice { number, ..WindowSlice::default() };
        }
        slice
    }
}

fn slice_number(now: Timestamp) -> u64 {
    now.as_nanos() / SLICE_LENGTH.as_nanos() as u64
}
