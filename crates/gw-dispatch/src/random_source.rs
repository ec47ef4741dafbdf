/// Source of random numbers. Passed in by the caller, so that a run is reproducible from its seed.
pub trait RandomSource {
    /// Returns the next 64 random bits.
    fn next_u64(&mut self) -> u64;

    /// Returns a number below `bound`, which must be at least 1.
    fn below(&mut self, bound: usize) -> usize {
        // Multiply-shift (Lemire 2019); the bias is below 2^-32 for the bounds used here.
        ((u128::from(self.next_u64()) * bound as u128) >> 64) as usize
    }
}

/// The SplitMix64 generator (Steele, Lea and Flood 2014). Not cryptographically secure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitMix(u64);

impl SplitMix {
    /// Creates a generator with a fixed seed.
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }
}

impl RandomSource for SplitMix {
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
