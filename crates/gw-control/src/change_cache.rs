use std::collections::VecDeque;

use gw_profile::ChangeId;
use gw_types::KeyHash;
use serde::Deserialize;
use serde::Serialize;

use crate::ProfileOutcome;

/// Maximum number of profile changes whose outcomes are cached for resends. Outcomes of accepted
/// changes can also be found in the kept revisions of profiles.
///
/// A resend of a change that is in neither is treated as a new change. It still cannot be applied
/// twice: an accepted change leaves the kept revisions only after many later ones, so its base is
/// outdated and the resend gets a conflict.
pub const CHANGE_CACHE_LIMIT: usize = 10_000;

/// Outcomes of the latest profile changes, from which resends are answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeCache {
    /// Oldest first, at most [`CHANGE_CACHE_LIMIT`], without duplicate ids.
    outcomes: VecDeque<CachedOutcome>,
}

/// The outcome of the first change with an id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CachedOutcome {
    change_id: ChangeId,
    /// Hash of the id, compared first to speed up the search.
    id_hash: KeyHash,
    pub(crate) fingerprint: KeyHash,
    pub(crate) outcome: ProfileOutcome,
}

impl ChangeCache {
    pub(crate) fn find(&self, change_id: &ChangeId) -> Option<&CachedOutcome> {
        let hash = KeyHash::of(change_id.as_str().as_bytes());
        let is_same =
            |cached: &&CachedOutcome| cached.id_hash == hash && cached.change_id == *change_id;
        self.outcomes.iter().rev().find(is_same)
    }

    pub(crate) fn add(
        &mut self,
        change_id: ChangeId,
        fingerprint: KeyHash,
        outcome: ProfileOutcome,
    ) {
        if self.outcomes.len() == CHANGE_CACHE_LIMIT {
            self.outcomes.pop_front();
        }
        let id_hash = KeyHash::of(change_id.as_str().as_bytes());
        self.outcomes.push_back(CachedOutcome { change_id, id_hash, fingerprint, outcome });
    }
}
