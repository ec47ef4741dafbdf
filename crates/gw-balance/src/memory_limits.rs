use crate::ConnectionGroup;

/// Fraction of the budget that only small bodies may use, so that large ones do not keep them out.
const SMALL_SHARE: f64 = 0.125;
/// Memory that a connection may use beside what is counted for it, in bytes: its task, its buffers
/// and those of the kernel.
const CONNECTION_BYTES: u64 = 64 * 1024;

/// Limits of a [`MemoryBudget`](crate::MemoryBudget).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bytes that are held in all classes together.
    pub total: usize,
    /// Part of them that large bodies may not use.
    pub small_reserve: usize,
    /// Open connections by group.
    pub connections: [usize; ConnectionGroup::COUNT],
}

impl MemoryLimits {
    /// Largest body, in bytes, that can ever be held.
    pub fn largest_body(&self) -> usize {
        self.total - self.small_reserve
    }

    /// Derives the limits from the memory and descriptors of the process. `share` is the fraction of
    /// the memory for what is held for others; the rest is for the process itself and for buffers of
    /// the kernel.
    pub fn new(memory_bytes: u64, share: f64, max_descriptors: u64) -> Self {
        let bytes = |bytes: f64| bytes as usize;
        let total = memory_bytes as f64 * share;
        let by_memory = usize::try_from(memory_bytes / CONNECTION_BYTES).unwrap_or(usize::MAX);
        let connections = ConnectionGroup::ALL.map(|group| {
            let by_descriptors = max_descriptors as f64 * group.descriptor_share();
            bytes(by_descriptors).min(by_memory).max(1)
        });
        Self { total: bytes(total), small_reserve: bytes(total * SMALL_SHARE), connections }
    }
}
