use gw_types::TargetName;

/// Largest sum of bodies, in bytes, that this host has sent to one target and that are not answered.
/// A target holds them in its memory, which is not known here. A larger body is sent alone.
const MAX_TARGET_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of bodies that this host has sent to targets and that are not answered.
#[derive(Clone, Debug, Default)]
pub struct SentBytes {
    /// Sorted by name; only targets with such bytes.
    by_target: Vec<(TargetName, usize)>,
}

impl SentBytes {
    /// Whether a body of `bytes` may be sent to `target` now.
    pub fn may_send(&self, target: &TargetName, bytes: usize) -> bool {
        bytes == 0
            || self
                .index(target)
                .is_none_or(|index| self.by_target[index].1 + bytes <= MAX_TARGET_BYTES)
    }

    /// Records that a request with a body of `bytes` is sent to `target`.
    pub fn record_start(&mut self, target: &TargetName, bytes: usize) {
        if bytes == 0 {
            return;
        }
        match self.index(target) {
            Some(index) => self.by_target[index].1 += bytes,
            None => {
                let position = self.by_target.partition_point(|(name, _)| name < target);
                self.by_target.insert(position, (target.clone(), bytes));
            }
        }
    }

    /// Records that such a request has ended.
    pub fn record_end(&mut self, target: &TargetName, bytes: usize) {
        let Some(index) = self.index(target).filter(|_| bytes > 0) else { return };
        self.by_target[index].1 -= bytes;
        if self.by_target[index].1 == 0 {
            self.by_target.remove(index);
        }
    }

    fn index(&self, target: &TargetName) -> Option<usize> {
        self.by_target.binary_search_by(|(name, _)| name.cmp(target)).ok()
    }
}
