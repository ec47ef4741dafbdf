use gw_profile::Revision;
use gw_types::ProfileName;
use serde::Deserialize;
use serde::Serialize;

use crate::ControlCommand;
use crate::ControlOutcome;
use crate::ControlState;
use crate::SnapshotError;

/// A contiguous section of the committed control log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryBatch {
    /// Index of the entry before the section. A host must have applied at least this index to apply
    /// the batch without a gap.
    pub after: u64,
    /// Index of the last entry of the section.
    pub through: u64,
    /// Indexes and commands in ascending order, above `after` and up to `through`. Log entries
    /// without a command are left out.
    pub entries: Vec<(u64, ControlCommand)>,
}

/// Why a batch or a snapshot was not applied. The state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LearnError {
    /// Entries before the batch are missing. They are to be fetched from `applied` on.
    #[error("entries after {applied} up to {after} are missing")]
    Gap {
        /// Index of the last applied entry.
        applied: u64,
        /// [`EntryBatch::after`] of the batch.
        after: u64,
    },
    /// The entries of the batch are out of order or outside its bounds.
    #[error("entry {index} is out of order")]
    Order {
        /// Index of the first such entry.
        index: u64,
    },
    /// The snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The snapshot has a later index but an earlier revision of a profile, so it belongs to
    /// another log.
    #[error("the snapshot has revision {offered} of profile {profile}; in force is {held}")]
    OlderRevision {
        /// Name of the profile.
        profile: ProfileName,
        /// Revision of the profile in the learner's state.
        held: Revision,
        /// Revision of the profile in the snapshot; zero if it does not contain the profile.
        offered: Revision,
    },
}

/// Builds the control state from fetched entries and snapshots on a host without a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlLearner {
    state: ControlState,
}

impl ControlLearner {
    /// A learner with an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// The state as of the last applied entry.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Index of the last applied entry. The next fetch asks for the entries after it.
    pub fn applied(&self) -> u64 {
        self.state.applied()
    }

    /// Applies the entries of `batch` that were not applied before, and returns their indexes and
    /// outcomes. Batches may repeat and overlap, but not leave a gap.
    pub fn apply_entries(
        &mut self,
        batch: &EntryBatch,
    ) -> Result<Vec<(u64, ControlOutcome)>, LearnError> {
        check_order(batch)?;
        let applied = self.applied();
        if batch.after > applied {
            return Err(LearnError::Gap { applied, after: batch.after });
        }
        let new = batch.entries.iter().filter(|(index, _)| *index > applied);
        let outcomes = new.map(|(index, command)| (*index, self.state.apply(*index, command)));
        let outcomes = outcomes.collect();
        self.state.advance(batch.through);
        Ok(outcomes)
    }

    /// Replaces the state by a snapshot if the snapshot has a later index. Returns whether it was
    /// replaced.
    pub fn install_snapshot(&mut self, bytes: &[u8]) -> Result<bool, LearnError> {
        let offered = ControlState::restore(bytes)?;
        if offered.applied() <= self.applied() {
            return Ok(false);
        }
        self.check_revisions(&offered)?;
        self.state = offered;
        Ok(true)
    }

    fn check_revisions(&self, offered: &ControlState) -> Result<(), LearnError> {
        for held in self.state.view().profiles() {
            let profile = &held.profile.name;
            let found = offered.view().profile(profile.as_str());
            let found = found.map_or(Revision::NONE, |latest| latest.revision);
            if found < held.revision {
                let (profile, held) = (profile.clone(), held.revision);
                return Err(LearnError::OlderRevision { profile, held, offered: found });
            }
        }
        Ok(())
    }
}

fn check_order(batch: &EntryBatch) -> Result<(), LearnError> {
    let mut previous = batch.after;
    for (index, _) in &batch.entries {
        if *index <= previous || *index > batch.through {
            return Err(LearnError::Order { index: *index });
        }
        previous = *index;
    }
    Ok(())
}
