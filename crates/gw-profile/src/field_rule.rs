use std::fmt;

use toml::Table;
use toml::Value;

/// Type and allowed values of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// An integer between two inclusive bounds.
    Integer(i64, i64),
    /// An integer or a float between two inclusive bounds.
    Number(f64, f64),
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// A list of these strings, each at most once.
    ChoiceList(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// A valid name of a profile.
    Name,
}

/// One field of a profile and its allowed values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FieldRule {
    /// Section and field as in the profile file, joined by a dot; `name` is in no section.
    pub path: &'static str,
    /// Type and allowed values of the field.
    pub kind: FieldKind,
}

/// Error for a field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} is {value}; allowed is {allowed}")]
pub struct FieldError {
    /// Section and field, joined by a dot.
    pub field: String,
    /// Rejected value, in TOML syntax.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

const fn rule(path: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { path, kind }
}

/// Longest deadline of a request, in milliseconds.
///
/// A handover from a target whose dispatcher is lost waits until the dispatcher lease (1 s) and
/// then the deadline of the last request that may have been sent have passed. With a longer
/// deadline, a key could be without an owner for more than the accepted 3 s.
pub const LONGEST_DEADLINE_MS: u32 = 1_000;

/// All fields of a profile, in the order in which they are written.
///
/// `move.zone_hold_ms` is at least the duration of a zone lease (1,500 ms), because a shorter hold
/// would end before the lease that it extends.
pub const FIELD_RULES: &[FieldRule] = &[
    rule("name", FieldKind::Name),
    rule("spread.policy", FieldKind::Choice(&["least_wait", "round_robin", "random"])),
    rule("spread.other_zone_penalty_ms", FieldKind::Integer(0, 1_000)),
    rule("spread.slow_start_ms", FieldKind::Integer(0, 600_000)),
    rule("move.hot_key_share", FieldKind::Number(0.01, 1.0)),
    rule("move.smallest_gain", FieldKind::Number(0.0, 1.0)),
    rule("move.moves_per_minute", FieldKind::Integer(0, 6_000)),
    rule("move.zone_hold_ms", FieldKind::Integer(1_500, 3_600_000)),
    rule("refuse.queue_limit", FieldKind::Integer(1, 10_000)),
    rule("refuse.queue_order", FieldKind::Choice(&["lanes", "fifo"])),
    rule("refuse.deadline_ms", FieldKind::Integer(10, LONGEST_DEADLINE_MS as i64)),
    rule(
        "refuse.shed_order",
        FieldKind::ChoiceList(&["retry", "long_idempotent", "short_idempotent", "non_idempotent"]),
    ),
    rule("refuse.retry_budget", FieldKind::Number(0.0, 1.0)),
    rule("refuse.crash_limit", FieldKind::Integer(1, 10)),
    rule("refuse.resend_horizon_ms", FieldKind::Integer(1_000, 86_400_000)),
    rule("refuse.record_limit", FieldKind::Integer(1, 1_000_000)),
    rule("refuse.record_copies", FieldKind::Choice(&["zone", "region"])),
    rule("refuse.all_non_idempotent", FieldKind::Flag),
];

impl FieldKind {
    /// Returns whether `value` has the type of the field and is allowed.
    pub(crate) fn allows(&self, value: &Value) -> bool {
        match (self, value) {
            (FieldKind::Integer(min, max), Value::Integer(number)) => {
                (*min..=*max).contains(number)
            }
            (FieldKind::Number(min, max), Value::Float(number)) => (*min..=*max).contains(number),
            (FieldKind::Number(min, max), Value::Integer(number)) => {
                (*min..=*max).contains(&(*number as f64))
            }
            (FieldKind::Choice(choices), Value::String(choice)) => {
                choices.contains(&choice.as_str())
            }
            (FieldKind::ChoiceList(choices), Value::Array(list)) => is_choice_list(choices, list),
            (FieldKind::Name, Value::String(name)) => {
                gw_types::ProfileName::new(name.as_str()).is_ok()
            }
            (FieldKind::Flag, Value::Boolean(_)) => true,
            _ => false,
        }
    }
}

fn is_choice_list(choices: &[&str], list: &[Value]) -> bool {
    let is_choice = |value: &Value| value.as_str().is_some_and(|choice| choices.contains(&choice));
    let has_duplicates =
        list.iter().enumerate().any(|(index, choice)| list[..index].contains(choice));
    list.iter().all(is_choice) && !has_duplicates
}

impl fmt::Display for FieldKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldKind::Integer(min, max) => write!(f, "a whole number from {min} to {max}"),
            FieldKind::Number(min, max) => write!(f, "a number from {min} to {max}"),
            FieldKind::Choice(choices) => write!(f, "one of {}", choices.join(", ")),
            FieldKind::ChoiceList(choices) => {
                write!(f, "a list of {}, each at most once", choices.join(", "))
            }
            FieldKind::Flag => f.write_str("true or false"),
            FieldKind::Name => {
                f.write_str("a name of 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'")
            }
        }
    }
}

/// Returns the rule of the field at `path`; absent if profiles have no such field.
pub(crate) fn rule_of(path: &str) -> Option<&'static FieldRule> {
    FIELD_RULES.iter().find(|rule| rule.path == path)
}

/// Returns the fields of `table` and its sections with their values, in the order of the table.
/// Section and field are joined by a dot; an empty section is returned like a field.
pub(crate) fn flatten(table: &Table) -> Vec<(String, Value)> {
    let mut fields = Vec::new();
    for (name, value) in table {
        match value {
            Value::Table(section) if !section.is_empty() => {
                let section_fields = section.iter();
                fields.extend(
                    section_fields.map(|(field, value)| (format!("{name}.{field}"), value.clone())),
                );
            }
            _ => fields.push((name.clone(), value.clone())),
        }
    }
    fields
}

/// Returns the first field whose value is not allowed. Fields without a rule are not checked.
pub(crate) fn find_invalid_field(fields: &[(String, Value)]) -> Option<FieldError> {
    fields.iter().find_map(|(path, value)| {
        let rule = rule_of(path)?;
        let error = FieldError {
            field: path.clone(),
            value: value.to_string(),
            allowed: rule.kind.to_string(),
        };
        (!rule.kind.allows(value)).then_some(error)
    })
}
