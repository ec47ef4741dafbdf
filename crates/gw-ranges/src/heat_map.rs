use std::time::Duration;

use gw_types::Timestamp;

use crate::KeyRange;

/// Keys of one block; sums are kept for blocks, so that large ranges are added up quickly.
const BLOCK_KEYS: usize = 256;
/// Number of keys.
const KEY_COUNT: usize = 65_536;
/// Time in which the weight of old requests halves. Busy keys change within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Heat of a key without requests, so that idle keys are spread by number. All idle keys together
/// weigh as much as a few requests.
const BASE_HEAT: f64 = 10.0 / KEY_COUNT as f64;
/// Weight of new requests at which all numbers are scaled back, to keep their precision.
const RESCALE_WEIGHT: f64 = 1e6;

/// Recent requests of a service by key.
///
/// Instead of all old numbers being lowered again and again, newer requests count more. Invariant:
/// each block's sum is that of its keys, up to rounding.
#[derive(Clone, Debug)]
pub struct HeatMap {
    keys: Vec<f32>,
    blocks: Vec<f32>,
    /// When a request has the weight 1.
    origin: Timestamp,
    /// The time for which heat is asked.
    now: Timestamp,
}

impl HeatMap {
    /// A map without requests.
    pub fn new(now: Timestamp) -> Self {
        let (keys, blocks) = (vec![0.0; KEY_COUNT], vec![0.0; KEY_COUNT / BLOCK_KEYS]);
        Self { keys, blocks, origin: now, now }
    }

    fn weight(&self) -> f64 {
        let age = self.now.since(self.origin).as_secs_f64();
        (age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Timestamp) {
        self.now = now;
        let weight = self.weight();
        if weight > RESCALE_WEIGHT {
            let factor = (1.0 / weight) as f32;
            self.keys.iter_mut().chain(&mut self.blocks).for_each(|heat| *heat *= factor);
            self.origin = now;
        }
    }

    /// Adds `count` requests for `key`.
    pub fn add(&mut self, key: u16, count: u32) {
        let heat = (f64::from(count) * self.weight()) as f32;
        self.keys[usize::from(key)] += heat;
        self.blocks[usize::from(key) / BLOCK_KEYS] += heat;
    }

    /// Heat of the keys of `range`: their recent requests. Above 0.
    pub fn heat_of(&self, range: KeyRange) -> f64 {
        let (mut key, end) = (usize::from(range.first), usize::from(range.last) + 1);
        let mut sum = 0.0;
        while key < end {
            let is_whole = key.is_multiple_of(BLOCK_KEYS) && key + BLOCK_KEYS <= end;
            let (heat, step) = match is_whole {
                true => (self.blocks[key / BLOCK_KEYS], BLOCK_KEYS),
                false => (self.keys[key], 1),
            };
            sum += f64::from(heat.max(0.0));
            key += step;
        }
        sum / self.weight() + f64::from(range.key_count()) * BASE_HEAT
    }

    /// Requests a second for the keys of `range`.
    pub fn rate_of(&self, range: KeyRange) -> f64 {
        self.heat_of(range) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// The key of `range` with the most heat.
    pub fn hottest_key(&self, range: KeyRange) -> u16 {
        let (first, last) = (usize::from(range.first), usize::from(range.last));
        let mut best = (range.first, f32::MIN);
        for block in first / BLOCK_KEYS..=last / BLOCK_KEYS {
            // No key has more heat than its block.
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

    /// The longest part at the start of `range` with at most the heat `limit`; `None` if already
    /// the first key has more.
    pub fn prefix_within(&self, range: KeyRange, limit: f64) -> Option<KeyRange> {
        let mut sum = 0.0;
        let mut last = None;
        for key in range.first..=range.last {
            sum += self.heat_of(KeyRange { first: key, last: key });
            if sum > limit {
                break;
            }
            last = Some(key);
        }
        last.map(|last| KeyRange { first: range.first, last })
    }

    /// The longest part at the end of `range` with at most the heat `limit`; `None` if already the
    /// last key has more.
    pub fn suffix_within(&self, range: KeyRange, limit: f64) -> Option<KeyRange> {
        let mut sum = 0.0;
        let mut first = None;
        for key in (range.first..=range.last).rev() {
            sum += self.heat_of(KeyRange { first: key, last: key });
            if sum > limit {
                break;
            }
            first = Some(key);
        }
        first.map(|first| KeyRange { first, last: range.last })
    }
}
