use std::fmt;

use crate::Profile;
use crate::field_rule::flatten;

/// A field whose value differs between two profiles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Section and field, joined by a dot.
    pub field: String,
    /// Value in the first profile, in TOML syntax.
    pub from: String,
    /// Value in the second profile, in TOML syntax.
    pub to: String,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}", self.field, self.from, self.to)
    }
}

/// Returns the fields that differ between `from` and `to`, sorted by section and field.
pub fn diff(from: &Profile, to: &Profile) -> Vec<FieldChange> {
    let before = flatten(&from.to_table());
    let after = flatten(&to.to_table());
    // The fields of both pair up, because a profile is always written with all fields in one order.
    let mut changes: Vec<_> = before
        .into_iter()
        .zip(after)
        .filter(|((_, from), (_, to))| from != to)
        .map(|((field, from), (_, to))| FieldChange {
            field,
            from: from.to_string(),
            to: to.to_string(),
        })
        .collect();
    changes.sort_by(|a, b| a.field.cmp(&b.field));
    changes
}
