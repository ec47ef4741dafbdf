use std::time::Duration;

use gw_types::Timestamp;

use crate::KeyRange;

/// Keys of one bucket.
const BUCKET_KEYS: u32 = 16;
/// Number of buckets.
const BUCKET_COUNT: usize = 4096;
/// Time in which the weight of old requests halves. Busy keys change within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Heat of a bucket without requests, so that idle keys are spread by number.
const BASE_HEAT: f64 = 0.0025;

/// Recent requests of a service by key, in buckets of neighbouring keys.
#[derive(Clone, Debug)]
pub struct HeatMap {
    buckets: Vec<f32>,
    decayed: Timestamp,
}

impl HeatMap {
    /// A map without requests.
    pub fn new(now: Timestamp) -> Self {
        Self { buckets: vec![0.0; BUCKET_COUNT], decayed: now }
    }

    /// The bucket of `key`.
    pub fn bucket_of(key: u16) -> u16 {
        (u32::from(key) / BUCKET_KEYS) as u16
    }

    /// The keys of `bucket`.
    pub fn keys_of(bucket: u16) -> KeyRange {
        let first = u32::from(bucket) * BUCKET_KEYS;
        KeyRange { first: first as u16, last: (first + BUCKET_KEYS - 1) as u16 }
    }

    /// Adds `count` requests for keys of `bucket`.
    pub fn add(&mut self, bucket: u16, count: u32) {
        if let Some(heat) = self.buckets.get_mut(usize::from(bucket)) {
            *heat += count as f32;
        }
    }

    /// Lets old requests lose weight.
    pub fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed);
        self.decayed = now;
        let factor = 0.5_f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        self.buckets.iter_mut().for_each(|heat| *heat *= factor);
    }

    /// Heat of the keys of `range`. Above 0. Within a bucket, heat is taken as even.
    pub fn heat_of(&self, range: KeyRange) -> f64 {
        let buckets = Self::bucket_of(range.first)..=Self::bucket_of(range.last);
        buckets.map(|bucket| self.part_heat(bucket, range)).sum()
    }

    fn part_heat(&self, bucket: u16, range: KeyRange) -> f64 {
        let keys = Self::keys_of(bucket);
        let first = keys.first.max(range.first);
        let last = keys.last.min(range.last);
        let part = f64::from(KeyRange { first, last }.key_count()) / f64::from(BUCKET_KEYS);
        part * (BASE_HEAT + f64::from(self.buckets[usize::from(bucket)]))
    }

    /// The last key of the part at the start of `range` whose heat is closest to `wanted` without
    /// ending inside a bucket, unless the range lies within one bucket.
    pub fn cut(&self, range: KeyRange, wanted: f64) -> u16 {
        let first = Self::bucket_of(range.first);
        let last = Self::bucket_of(range.last);
        if first == last {
            let share = (wanted / self.heat_of(range)).clamp(0.0, 1.0);
            let keys = (f64::from(range.key_count()) * share).round().max(1.0) as u32;
            return (u32::from(range.first) + keys - 1).min(u32::from(range.last)) as u16;
        }
        let mut sum = 0.0;
        for bucket in first..last {
            let heat = self.part_heat(bucket, range);
            if sum + heat / 2.0 >= wanted && bucket > first {
                return Self::keys_of(bucket - 1).last;
            }
            sum += heat;
            if sum >= wanted {
                return Self::keys_of(bucket).last;
            }
        }
        Self::keys_of(last - 1).last
    }
}
