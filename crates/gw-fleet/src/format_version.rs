use serde::Deserialize;
use serde::Serialize;

/// Version of the messages that hosts exchange and of the data that control hosts store.
///
/// While machines are upgraded one after the other, hosts of two builds work together. The shape of
/// existing messages, commands and records never changes; a version adds new kinds of them, which
/// are sent only to hosts that can read them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FormatVersion(u16);

impl FormatVersion {
    /// Builds that do not state a version.
    pub const UNSTATED: Self = Self(1);
    /// Evacuations of availability zones, encoded states, cold targets, frames in pieces.
    pub const EVACUATIONS: Self = Self(2);
    /// The version of this build.
    pub const CURRENT: Self = Self::EVACUATIONS;
}

impl std::fmt::Display for FormatVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
