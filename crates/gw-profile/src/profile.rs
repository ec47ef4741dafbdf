use gw_types::ProfileName;
use serde::Deserialize;
use serde::Serialize;
use toml::Table;

use crate::FieldError;
use crate::MoveRules;
use crate::RefuseRules;
use crate::SpreadRules;
use crate::field_rule::find_fault;
use crate::field_rule::flatten;

/// Named rules that a service runs under.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Unique among profiles.
    pub name: ProfileName,
    /// How work is spread over targets.
    #[serde(default)]
    pub spread: SpreadRules,
    /// How keys and slots move between targets and zones.
    #[serde(default, rename = "move")]
    pub moves: MoveRules,
    /// What is refused, queued, shed and retried.
    #[serde(default)]
    pub refuse: RefuseRules,
}

impl Profile {
    /// A profile with the default rules.
    pub fn with_defaults(name: ProfileName) -> Self {
        Self {
            name,
            spread: SpreadRules::default(),
            moves: MoveRules::default(),
            refuse: RefuseRules::default(),
        }
    }

    /// Checks every field against [`FIELD_RULES`](crate::FIELD_RULES). A profile that did not come
    /// from a file, such as one in a replicated command, may hold any value.
    pub fn check(&self) -> Result<(), FieldError> {
        let fault = find_fault(&flatten(&self.to_table()));
        fault.map_or(Ok(()), Err)
    }

    /// The profile as it is written to a file.
    pub(crate) fn to_table(&self) -> Table {
        Table::try_from(self).expect("every field of a profile has a form in TOML")
    }
}
