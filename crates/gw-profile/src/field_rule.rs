use std::fmt;

use toml::Table;
use toml::Value;

/// What a field may be set to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// A whole number, both bounds inclusive.
    Integer(i64, i64),
    /// A number, both bounds inclusive.
    Number(f64, f64),
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A list of these words, each at most once.
    ChoiceList(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// A name of a profile.
    Name,
}

/// One field of a profile and its allowed values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FieldRule {
    /// Section and field as in the file, joined by a dot.
    pub path: &'static str,
    /// What the field may be set to.
    pub kind: FieldKind,
}

/// A field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} is {value}; allowed is {allowed}")]
pub struct FieldError {
    /// Section and field, joined by a dot.
    pub field: String,
    /// The value as TOML.
    pub value: String,
    /// What would be allowed.
    pub allowed: String,
}

const fn rule(path: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { path, kind }
}

/// Longest deadline of a request, in milliseconds.
///
/// A handover from a target whose dispatcher is lost waits for the last deadline that may have been
/// sent. With a dispatcher lease of 1 s before it, a longer one would leave the key without owner
/// for more than the 3 s that users accept.
pub const LONGEST_DEADLINE_MS: u32 = 1_000;

/// All fields of a profile.
///
/// `move.zone_hold_ms` is at least one zone lease (1,500 ms): a shorter hold would end before the
/// lease that it extends.
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
    /// Whether `value` is allowed.
    pub(crate) fn allows(&self, value: &Value) -> bool {
        match (self, value) {
            (FieldKind::Integer(min, max), Value::Integer(number)) => {
                (*min..=*max).contains(number)
            }
            (FieldKind::Number(min, max), Value::Float(number)) => (*min..=*max).contains(number),
            (FieldKind::Number(min, max), Value::Integer(number)) => {
                (*min..=*max).contains(&(*number as f64))
            }
            (FieldKind::Choice(words), Value::String(word)) => words.contains(&word.as_str()),
            (FieldKind::ChoiceList(words), Value::Array(list)) => is_choice_list(words, list),
            (FieldKind::Name, Value::String(name)) => {
                gw_types::ProfileName::new(name.as_str()).is_ok()
            }
            (FieldKind::Flag, Value::Boolean(_)) => true,
            _ => false,
        }
    }
}

fn is_choice_list(words: &[&str], list: &[Value]) -> bool {
    let is_word = |value: &Value| value.as_str().is_some_and(|word| words.contains(&word));
    let repeats = list.iter().enumerate().any(|(index, word)| list[..index].contains(word));
    list.iter().all(is_word) && !repeats
}

impl fmt::Display for FieldKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldKind::Integer(min, max) => write!(f, "a whole number from {min} to {max}"),
            FieldKind::Number(min, max) => write!(f, "a number from {min} to {max}"),
            FieldKind::Choice(words) => write!(f, "one of {}", words.join(", ")),
            FieldKind::ChoiceList(words) => {
                write!(f, "a list of {}, each at most once", words.join(", "))
            }
            FieldKind::Flag => f.write_str("true or false"),
            FieldKind::Name => {
                f.write_str("a name of 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'")
            }
        }
    }
}

/// The rule of the field at `path`.
pub(crate) fn rule_of(path: &str) -> Option<&'static FieldRule> {
    FIELD_RULES.iter().find(|rule| rule.path == path)
}

/// Fields and their values, with section and field joined by a dot, in order of the table.
pub(crate) fn flatten(table: &Table) -> Vec<(String, Value)> {
    let mut fields = Vec::new();
    for (name, value) in table {
        match value {
            Value::Table(section) if !section.is_empty() => {
                let inner = section.iter();
                fields
                    .extend(inner.map(|(field, value)| (format!("{name}.{field}"), value.clone())));
            }
            _ => fields.push((name.clone(), value.clone())),
        }
    }
    fields
}

/// The first field whose value is not allowed. Fields without a rule are left to the caller.
pub(crate) fn find_fault(fields: &[(String, Value)]) -> Option<FieldError> {
    fields.iter().find_map(|(path, value)| {
        let rule = rule_of(path)?;
        let fault = FieldError {
            field: path.clone(),
            value: value.to_string(),
            allowed: rule.kind.to_string(),
        };
        (!rule.kind.allows(value)).then_some(fault)
    })
}
