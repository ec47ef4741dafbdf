use gw_profile::Revision;
use gw_types::ProfileName;
use serde::Deserialize;
use serde::Serialize;

use crate::ControlCommand;
use crate::ControlOutcome;
use crate::ControlState;
use crate::SnapshotError;

/// Committed entries that follow one another in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryBatch {
    /// Index before the batch: a host that holds less has a gap.
    pub after: u64,
    /// Index that a host holds once it has applied the batch.
    pub through: u64,
    /// Indexes and commands, ascending, above `after` and up to `through`. Entries without a
    /// command, which the log makes for itself, are left out.
    pub entries: Vec<(u64, ControlCommand)>,
}

/// Why entries or a snapshot are not taken. The state is as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LearnError {
    /// Entries between are missing. Fetch from `applied`.
    #[error("entries after {applied} up to {after} are missing")]
    Gap {
        /// Index of the last applied entry.
        applied: u64,
        /// Index that the batch follows.
        after: u64,
    },
    /// The batch's entries are out of order or outside its bounds.
    #[error("entry {index} is out of order")]
    Order {
        /// The first such entry.
        index: u64,
    },
    /// The bytes are not a snapshot.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// The snapshot is later but has an earlier revision of a profile, so it comes from another
    /// log.
    #[error("the snapshot has revision {offered} of profile {profile}; in force is {held}")]
    OlderRevision {
        /// The profile.
        profile: ProfileName,
        /// The revision in force here.
        held: Revision,
        /// The snapshot's revision; zero if it does not have the profile.
        offered: Revision,
    },
}

/// Keeps a copy of the control state current on a host without a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlLearner {
    state: ControlState,
}

impl ControlLearner {
    /// A learner that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The state learnt so far.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Index of the last applied entry. A fetch asks for the entries after it.
    pub fn applied(&self) -> u64 {
        self.state.applied()
    }

    /// Applies the entries of `batch` that are new and returns their indexes and outcomes. Batches
    /// may repeat and overlap.
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

    /// Replaces the state by a snapshot if that is later. Returns whether it was.
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
