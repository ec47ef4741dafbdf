use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Revision of a profile: the number of its accepted changes, which increases by one with each.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a profile without accepted changes; base of the change that creates a profile.
    pub const NONE: Revision = Revision(0);

    /// Returns the revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
