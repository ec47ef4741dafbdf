use std::time::Duration;

/// Generator of randomised election timeouts (SplitMix64).
///
/// Does not use `rand`, whose small generators may change between versions: the seed of a failing
/// schedule must reproduce that schedule after an update.
#[derive(Debug)]
pub(crate) struct TimeoutSource {
    state: u64,
    min: Duration,
    max: Duration,
}

impl TimeoutSource {
    pub(crate) fn new(seed: u64, min: Duration, max: Duration) -> Self {
        Self { state: seed, min, max: max.max(min) }
    }

    /// Returns a timeout between `min` and `max`, both included.
    pub(crate) fn draw(&mut self) -> Duration {
        let width = (self.max - self.min).as_nanos() as u64;
        self.min + Duration::from_nanos(self.next() % (width + 1))
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
