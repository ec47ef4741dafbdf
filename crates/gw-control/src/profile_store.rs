use std::collections::VecDeque;
use std::sync::Arc;

use gw_profile::ChangeId;
use gw_profile::Profile;
use gw_profile::Revision;
use gw_types::KeyHash;
use gw_types::ProfileName;
use serde::Deserialize;
use serde::Serialize;

use crate::OperatorName;
use crate::ProfileChange;
use crate::ProfileOutcome;
use crate::ProfileRefusal;
use crate::WallTime;

/// Maximum number of profiles, which bounds the size of the control state. Users have one or a few
/// per service.
pub const MAX_PROFILES: usize = 256;

/// Maximum number of revisions kept of each profile. The oldest are dropped.
pub const HISTORY_LIMIT: usize = 64;

/// One accepted revision of a profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProfileRevision {
    /// Revision number; 1 for the first revision of a profile.
    pub revision: Revision,
    /// The whole profile as of this revision.
    pub profile: Arc<Profile>,
    /// The operator who made the change.
    pub operator: OperatorName,
    /// When the change was first received.
    pub at: WallTime,
    /// Id of the change that made the revision.
    pub change_id: ChangeId,
    /// Index of the log entry that made the revision.
    pub index: u64,
    /// [`ProfileChange::fingerprint`] of the change.
    pub(crate) fingerprint: KeyHash,
}

/// All profiles that operators have created, with their latest revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ProfileStore {
    /// Sorted by name, at most [`MAX_PROFILES`].
    profiles: Vec<ProfileHistory>,
}

/// The latest revisions of one profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ProfileHistory {
    name: ProfileName,
    /// Consecutive revisions, oldest first; at least one and at most [`HISTORY_LIMIT`].
    revisions: VecDeque<ProfileRevision>,
}

impl ProfileStore {
    /// Accepts a change if its values are valid and its base is the latest revision. The change
    /// must not be a resend.
    pub(crate) fn change(&mut self, index: u64, change: &ProfileChange) -> ProfileOutcome {
        if let Err(fault) = change.profile.check() {
            return ProfileOutcome::Refused(fault.into());
        }
        match self.latest(change.profile.name.as_str()) {
            Some(latest) if latest.revision != change.base => ProfileOutcome::Conflict {
                winner: latest.revision,
                operator: latest.operator.clone(),
                at: latest.at,
            },
            None if change.base != Revision::NONE => {
                ProfileOutcome::Refused(ProfileRefusal::NoSuchProfile)
            }
            None if self.profiles.len() == MAX_PROFILES => {
                ProfileOutcome::Refused(ProfileRefusal::TooManyProfiles)
            }
            _ => self.accept(index, change),
        }
    }

    fn accept(&mut self, index: u64, change: &ProfileChange) -> ProfileOutcome {
        let revision = change.base.next();
        let entry = ProfileRevision {
            revision,
            profile: Arc::new(change.profile.clone()),
            operator: change.operator.clone(),
            at: change.at,
            change_id: change.change_id.clone(),
            index,
            fingerprint: change.fingerprint(),
        };
        let name = &change.profile.name;
        match self.profiles.binary_search_by(|history| history.name.cmp(name)) {
            Ok(position) => self.profiles[position].add(entry),
            Err(position) => {
                let revisions = VecDeque::from([entry]);
                self.profiles.insert(position, ProfileHistory { name: name.clone(), revisions });
            }
        }
        ProfileOutcome::Accepted { revision }
    }

    /// The kept revision that the change `change_id` made.
    pub(crate) fn find_change(&self, change_id: &ChangeId) -> Option<&ProfileRevision> {
        let mut revisions = self.profiles.iter().flat_map(|history| &history.revisions);
        revisions.find(|entry| entry.change_id == *change_id)
    }

    pub(crate) fn latest(&self, name: &str) -> Option<&ProfileRevision> {
        self.history(name)?.back()
    }

    pub(crate) fn history(&self, name: &str) -> Option<&VecDeque<ProfileRevision>> {
        let position =
            self.profiles.binary_search_by(|history| history.name.as_str().cmp(name)).ok()?;
        Some(&self.profiles[position].revisions)
    }

    /// The latest revision of each profile, sorted by name.
    pub(crate) fn all_latest(&self) -> impl Iterator<Item = &ProfileRevision> {
        self.profiles.iter().filter_map(|history| history.revisions.back())
    }

    /// All kept revisions of all profiles.
    pub(crate) fn all_kept(&self) -> impl Iterator<Item = &ProfileRevision> {
        self.profiles.iter().flat_map(|history| &history.revisions)
    }
}

impl ProfileHistory {
    fn add(&mut self, entry: ProfileRevision) {
        if self.revisions.len() == HISTORY_LIMIT {
            self.revisions.pop_front();
        }
        self.revisions.push_back(entry);
    }
}
