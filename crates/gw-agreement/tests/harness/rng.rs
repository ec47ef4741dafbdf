/// SplitMix64 generator. A seed produces the same schedule on every platform.
#[derive(Clone)]
pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `limit`.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    pub(crate) fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }
}
