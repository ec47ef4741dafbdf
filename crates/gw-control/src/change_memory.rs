use std::collections::VecDeque;

use gw_profile::ChangeId;
use gw_types::KeyHash;
use serde::Deserialize;
use serde::Serialize;

use crate::ProfileOutcome;

/// Changes whose answers are kept for resends, in addition to those in the history of profiles.
///
/// A resend of a change that is in neither is treated as new. It cannot be applied twice: an
/// accepted change leaves the history only after many later revisions, so its base is old and the
/// resend is told of a conflict.
pub const CHANGE_CACHE_LIMIT: usize = 10_000;

/// First answers to changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeMemory {
    /// Oldest first, at most [`CHANGE_CACHE_LIMIT`], without duplicate ids.
    answers: VecDeque<ChangeAnswer>,
}

/// The first answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeAnswer {
    change_id: ChangeId,
    /// Hash of the id, compared first.
    id_hash: KeyHash,
    pub(crate) fingerprint: KeyHash,
    pub(crate) outcome: ProfileOutcome,
}

impl ChangeMemory {
    pub(crate) fn find(&self, change_id: &ChangeId) -> Option<&ChangeAnswer> {
        let hash = KeyHash::of(change_id.as_str().as_bytes());
        let is_same =
            |answer: &&ChangeAnswer| answer.id_hash == hash && answer.change_id == *change_id;
        self.answers.iter().rev().find(is_same)
    }

    pub(crate) fn add(
        &mut self,
        change_id: ChangeId,
        fingerprint: KeyHash,
        outcome: ProfileOutcome,
    ) {
        if self.answers.len() == CHANGE_CACHE_LIMIT {
            self.answers.pop_front();
        }
        let id_hash = KeyHash::of(change_id.as_str().as_bytes());
        self.answers.push_back(ChangeAnswer { change_id, id_hash, fingerprint, outcome });
    }
}
