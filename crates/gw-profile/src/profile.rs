use gw_types::ProfileName;
use serde::Deserialize;
use serde::Serialize;
use toml::Table;

use crate::FieldError;
use crate::MoveRules;
use crate::RefuseRules;
use crate::SpreadRules;
use crate::field_rule::find_invalid_field;
use crate::field_rule::flatten;

/// Named set of rules that apply to the services that choose it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Unique among all profiles.
    pub name: ProfileName,
    /// How requests are balanced over targets.
    #[serde(default)]
    pub spread: SpreadRules,
    /// When keys and slots move between targets and zones.
    #[serde(default, rename = "move")]
    pub moves: MoveRules,
    /// How requests are queued, shed, retried and deduplicated.
    #[serde(default)]
    pub refuse: RefuseRules,
}

impl Profile {
    /// Creates a profile with the default rules.
    pub fn with_defaults(name: ProfileName) -> Self {
        Self {
            name,
            spread: SpreadRules::default(),
            moves: MoveRules::default(),
            refuse: RefuseRules::default(),
        }
    }

    /// Checks every field against [`FIELD_RULES`](crate::FIELD_RULES).
    ///
    /// [`ProfileFile::parse`](crate::ProfileFile::parse) makes the same checks; a profile from
    /// another source, such as a replicated command, may contain any value.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value is not allowed.
    pub fn check(&self) -> Result<(), FieldError> {
        let error = find_invalid_field(&flatten(&self.to_table()));
        error.map_or(Ok(()), Err)
    }

    /// Returns the profile as the TOML table that is written to a file.
    pub(crate) fn to_table(&self) -> Table {
        Table::try_from(self).expect("every field of a profile has a form in TOML")
    }
}
