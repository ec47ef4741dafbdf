use serde::Deserialize;
use serde::Serialize;

use crate::FormatVersion;
use crate::ZoneEvacuation;

/// Parts of the fleet state that builds before [`FormatVersion::EVACUATIONS`] do not know.
///
/// Encoded behind the parts that they know. New fields are added at the end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct StateAdditions {
    /// Sorted by zone.
    pub(crate) evacuations: Vec<ZoneEvacuation>,
}

impl StateAdditions {
    /// Returns the oldest version that can represent the additions.
    pub(crate) fn format(&self) -> FormatVersion {
        match self.evacuations.is_empty() {
            true => FormatVersion::UNSTATED,
            false => FormatVersion::EVACUATIONS,
        }
    }
}
