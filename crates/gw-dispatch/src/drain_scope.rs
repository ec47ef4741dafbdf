use gw_types::KeyHash;
use gw_types::SlotIndex;

/// Set of requests that a drain covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainScope {
    /// All requests to the target.
    Target,
    /// Requests whose key lies in a range of slots.
    Slots {
        /// First slot of the range.
        first: SlotIndex,
        /// Last slot of the range, inclusive.
        last: SlotIndex,
    },
    /// Requests with this key.
    Key(KeyHash),
}

impl DrainScope {
    /// Whether the drain covers a request with `key`; `None` is a request without a key.
    pub fn covers(&self, key: Option<KeyHash>) -> bool {
        match (*self, key) {
            (DrainScope::Target, _) => true,
            (DrainScope::Slots { first, last }, Some(key)) => (first..=last).contains(&key.slot()),
            (DrainScope::Key(drained), Some(key)) => drained == key,
            (_, None) => false,
        }
    }
}
