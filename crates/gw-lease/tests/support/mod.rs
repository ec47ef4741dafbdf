//! Seeded random numbers, clocks in virtual time and a network that loses, delays and duplicates
//! messages.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use gw_types::Timestamp;

/// Seeds of the schedules to run. `GW_SEED` sets the first, `GW_SCHEDULES` the number.
pub fn schedules(default: u64) -> std::ops::Range<u64> {
    let read = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = read("GW_SEED").unwrap_or(1);
    first..first + read("GW_SCHEDULES").unwrap_or(default)
}

/// SplitMix64 generator.
pub struct Random(pub u64);

impl Random {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Returns true in `percent` of 100 cases.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Clock whose rate differs by up to 0.5% from true time, so that two clocks differ by up to 1%.
#[derive(Clone, Copy)]
pub struct SkewedClock {
    offset_ms: u64,
    rate_ppm: u64,
}

impl SkewedClock {
    pub fn new(random: &mut Random) -> Self {
        let rate_ppm = [995_000, 1_005_000, 995_000 + random.below(10_001)];
        let pick = random.below(3) as usize;
        Self { offset_ms: random.below(1_000_000), rate_ppm: rate_ppm[pick] }
    }

    /// Creates a clock with the lowest or the highest allowed rate.
    pub fn extreme(random: &mut Random) -> Self {
        let rate_ppm = if random.chance(50) { 995_000 } else { 1_005_000 };
        Self { offset_ms: random.below(1_000_000), rate_ppm }
    }

    /// Returns the reading of the clock at true time `now`, in milliseconds.
    pub fn at(&self, now: u64) -> Timestamp {
        let nanos = u128::from(now) * u128::from(self.rate_ppm);
        Timestamp::from_millis(self.offset_ms) + Duration::from_nanos(nanos as u64)
    }
}

/// Messages in flight between nodes, ordered by arrival time.
pub struct FaultyNetwork<M> {
    queue: BTreeMap<(u64, u64), (usize, M)>,
    sent: u64,
    /// Directions that lose every message, with the end of the loss.
    blocked: BTreeMap<(usize, usize), u64>,
    loss_percent: u64,
    delay_ms: u64,
}

impl<M: Clone> FaultyNetwork<M> {
    pub fn new(random: &mut Random) -> Self {
        let loss_percent = [0, 5, 25][random.below(3) as usize];
        let delay_ms = [5, 50, 400][random.below(3) as usize];
        let (queue, blocked) = (BTreeMap::new(), BTreeMap::new());
        Self { queue, sent: 0, blocked, loss_percent, delay_ms }
    }

    /// Limits delays to a few milliseconds, except for messages that are held back.
    pub fn limit_delays(&mut self) {
        self.delay_ms = 3;
    }

    /// Loses every message from `from` to `to` before `until`.
    pub fn block(&mut self, from: usize, to: usize, until: u64) {
        self.blocked.insert((from, to), until);
    }

    pub fn send(&mut self, random: &mut Random, now: u64, from: usize, to: usize, message: M) {
        let is_blocked = self.blocked.get(&(from, to)).is_some_and(|until| now < *until);
        if from != to && (is_blocked || random.chance(self.loss_percent)) {
            return;
        }
        let copies = if from != to && random.chance(5) { 2 } else { 1 };
        for _ in 0..copies {
            // A few messages are held back for longer than any lease lasts.
            let held_back = if random.chance(2) { random.below(5_000) } else { 0 };
            let delay = if from == to { 0 } else { 1 + random.below(self.delay_ms) + held_back };
            self.push(now + delay, to, message.clone());
        }
    }

    fn push(&mut self, at: u64, to: usize, message: M) {
        self.sent += 1;
        self.queue.insert((at, self.sent), (to, message));
    }

    /// Returns the next message that has arrived by `now`. A message for a paused node arrives
    /// after the pause.
    pub fn receive(&mut self, now: u64, paused: &[u64]) -> Option<(usize, M)> {
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, message) = entry.remove();
            match paused.get(to).copied().filter(|until| now < *until) {
                Some(until) => self.push(until, to, message),
                None => return Some((to, message)),
            }
        }
        None
    }
}
