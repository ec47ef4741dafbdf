use std::collections::BTreeSet;
use std::collections::HashMap;

use gw_types::KeyHash;

/// Bounds on the load of a key, as counted by a [`KeyCounter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLoad {
    /// Key to which the load belongs.
    pub key: KeyHash,
    /// Upper bound on the load.
    pub upper: u64,
    /// Lower bound on the load.
    pub lower: u64,
}

/// Finds the keys with the highest load in bounded memory.
///
/// Uses the Space-Saving algorithm of Metwally, Agrawal and El Abbadi, *Efficient Computation of
/// Frequent and Top-k Elements in Data Streams* (2005). The counter contains every key with more
/// than total / capacity of the load.
#[derive(Clone, Debug)]
pub struct KeyCounter {
    capacity: usize,
    total: u64,
    /// Count of each key, and the part of the count that may belong to other keys.
    counts: HashMap<KeyHash, (u64, u64)>,
    by_count: BTreeSet<(u64, KeyHash)>,
}

impl KeyCounter {
    /// Creates a counter of up to `capacity` keys, at least one.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, total: 0, counts: HashMap::new(), by_count: BTreeSet::new() }
    }

    /// Adds `load` to a key.
    pub fn add(&mut self, key: KeyHash, load: u64) {
        self.total += load;
        let (count, error) = match self.counts.get(&key).copied() {
            Some((count, error)) => {
                self.by_count.remove(&(count, key));
                (count, error)
            }
            None if self.counts.len() < self.capacity => (0, 0),
            None => self.evict_smallest(),
        };
        self.counts.insert(key, (count + load, error));
        self.by_count.insert((count + load, key));
    }

    fn evict_smallest(&mut self) -> (u64, u64) {
        let Some((count, key)) = self.by_count.pop_first() else { return (0, 0) };
        self.counts.remove(&key);
        (count, count)
    }

    /// Returns the load of all keys together.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the bounds on the load of `key`, which are zero if the key is not counted.
    pub fn load(&self, key: KeyHash) -> KeyLoad {
        let (upper, error) = self.counts.get(&key).copied().unwrap_or((0, 0));
        KeyLoad { key, upper, lower: upper - error }
    }

    /// Returns the counted keys by descending count.
    pub fn heaviest(&self) -> impl Iterator<Item = KeyLoad> {
        self.by_count.iter().rev().map(|(_, key)| self.load(*key))
    }

    /// Removes all keys and resets the total.
    pub fn clear(&mut self) {
        self.total = 0;
        self.counts.clear();
        self.by_count.clear();
    }
}
