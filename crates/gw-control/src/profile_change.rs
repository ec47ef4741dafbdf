use gw_profile::ChangeId;
use gw_profile::Profile;
use gw_profile::Revision;
use gw_types::KeyHash;
use serde::Deserialize;
use serde::Serialize;

use crate::OperatorName;
use crate::WallTime;

/// An operator's request to create or replace a profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProfileChange {
    /// The whole new profile.
    pub profile: Profile,
    /// The revision that the change is based on; [`Revision::NONE`] for a new profile.
    pub base: Revision,
    /// Chosen by the sender, the same in each resend of the change.
    pub change_id: ChangeId,
    /// The operator who makes the change.
    pub operator: OperatorName,
    /// When the change was received. May differ between resends.
    pub at: WallTime,
}

impl ProfileChange {
    /// Hash of everything that a resend repeats. Distinguishes a resend from a different change
    /// with the same id.
    pub(crate) fn fingerprint(&self) -> KeyHash {
        let content = (&self.profile, self.base, &self.operator);
        let bytes = postcard::to_stdvec(&content).expect("a profile change has an encoding");
        KeyHash::of(&bytes)
    }
}
