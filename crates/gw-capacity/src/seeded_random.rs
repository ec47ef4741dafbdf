/// Deterministic pseudorandom number generator: SplitMix64 (Steele, Lea and Flood, 2014).
#[derive(Clone, Debug)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator. The same `seed` gives the same sequence.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number of the sequence.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }
}
