use std::time::Duration;

use gw_types::Timestamp;

use crate::KeyRange;

/// Keys per block. The sum of each block is stored, so that large ranges are summed quickly.
const BLOCK_KEYS: usize = 256;
const KEY_COUNT: usize = 65_536;
/// Half-life of a request's weight. Short, because hot keys change within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Requests that every key counts as in addition to its own, so that idle keys are distributed by
/// number. Over the whole key space they add up to ten requests.
const IDLE_KEY_REQUESTS: f64 = 10.0 / KEY_COUNT as f64;
/// Weight of a new request at which all counts are rescaled, to keep `f32` precision.
const RESCALE_WEIGHT: f64 = 1e6;

/// Exponentially decayed numbers of requests for a service, by key.
///
/// The unit is one request that arrived just now; the weight of a request halves every `HALF_LIFE`.
/// Stored counts are not decayed one by one; newer requests are added with a larger weight instead.
/// Invariant: the sum of each block equals the sum of its keys, up to rounding.
#[derive(Clone, Debug)]
pub struct DecayedCounts {
    keys: Vec<f32>,
    blocks: Vec<f32>,
    /// Time at which a new request has weight 1.
    origin: Timestamp,
    /// Time to which results are decayed.
    now: Timestamp,
}

impl DecayedCounts {
    /// Creates counts of 0 for all keys.
    pub fn new(now: Timestamp) -> Self {
        let (keys, blocks) = (vec![0.0; KEY_COUNT], vec![0.0; KEY_COUNT / BLOCK_KEYS]);
        Self { keys, blocks, origin: now, now }
    }

    fn weight(&self) -> f64 {
        let age = self.now.since(self.origin).as_secs_f64();
        (age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Sets the time at which later calls add requests and to which they decay
    /// results. Rescales the stored counts when needed.
    pub fn advance(&mut self, now: Timestamp) {
        self.now = now;
        let weight = self.weight();
        if weight > RESCALE_WEIGHT {
            let factor = (1.0 / weight) as f32;
            self.keys.iter_mut().chain(&mut self.blocks).for_each(|count| *count *= factor);
            self.origin = now;
        }
    }

    /// Adds `count` requests for `key` at the current time.
    pub fn add(&mut self, key: u16, count: u32) {
        let weighted = (f64::from(count) * self.weight()) as f32;
        self.keys[usize::from(key)] += weighted;
        self.blocks[usize::from(key) / BLOCK_KEYS] += weighted;
    }

    /// Returns the decayed number of requests for the keys of `range`. Above 0, since every key
    /// also counts as a small fraction of a request.
    pub fn requests_of(&self, range: KeyRange) -> f64 {
        let (mut key, end) = (usize::from(range.first), usize::from(range.last) + 1);
        let mut sum = 0.0;
        while key < end {
            let is_whole = key.is_multiple_of(BLOCK_KEYS) && key + BLOCK_KEYS <= end;
            let (count, step) = match is_whole {
                true => (self.blocks[key / BLOCK_KEYS], BLOCK_KEYS),
                false => (self.keys[key], 1),
            };
            sum += f64::from(count.max(0.0));
            key += step;
        }
        sum / self.weight() + f64::from(range.key_count()) * IDLE_KEY_REQUESTS
    }

    /// Estimates the requests per second for the keys of `range`.
    pub fn rate_of(&self, range: KeyRange) -> f64 {
        self.requests_of(range) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Returns the key of `range` with the most requests; the lowest of several.
    pub fn hottest_key(&self, range: KeyRange) -> u16 {
        let (first, last) = (usize::from(range.first), usize::from(range.last));
        let mut best = (range.first, f32::MIN);
        for block in first / BLOCK_KEYS..=last / BLOCK_KEYS {
            // No key in a block can exceed the sum of the block.
            if self.blocks[block] <= best.1 {
                continue;
            }
            let start = first.max(block * BLOCK_KEYS);
            let end = last.min(block * BLOCK_KEYS + BLOCK_KEYS - 1);
            for key in start..=end {
                if self.keys[key] > best.1 {
                    best = (key as u16, self.keys[key]);
                }
            }
        }
        best.0
    }

    /// Returns the longest prefix of `range` with at most `limit` requests; `None` if the first key
    /// alone exceeds it.
    pub fn prefix_within(&self, range: KeyRange, limit: f64) -> Option<KeyRange> {
        let mut sum = 0.0;
        let mut last = None;
        for key in range.first..=range.last {
            sum += self.requests_of(KeyRange { first: key, last: key });
            if sum > limit {
                break;
            }
            last = Some(key);
        }
        last.map(|last| KeyRange { first: range.first, last })
    }

    /// Returns the longest suffix of `range` with at most `limit` requests; `None` if the last key
    /// alone exceeds it.
    pub fn suffix_within(&self, range: KeyRange, limit: f64) -> Option<KeyRange> {
        let mut sum = 0.0;
        let mut first = None;
        for key in (range.first..=range.last).rev() {
            sum += self.requests_of(KeyRange { first: key, last: key });
            if sum > limit {
                break;
            }
            first = Some(key);
        }
        first.map(|first| KeyRange { first, last: range.last })
    }
}
