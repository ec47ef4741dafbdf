//! Parsing, validation, writing and comparison of profiles.

use gw_profile::ChangeId;
use gw_profile::ChangeIdError;
use gw_profile::FIELD_RULES;
use gw_profile::FieldKind;
use gw_profile::Profile;
use gw_profile::ProfileFile;
use gw_profile::SHIPPED_PROFILE_NAMES;
use gw_profile::diff;
use gw_profile::shipped_profile;

struct ErrorCase {
    text: &'static str,
    message: &'static str,
}

const ERROR_CASES: &[ErrorCase] = &[
    ErrorCase {
        text: "name = \"a\"\n\n[refuse]\nqueue_limit = 0\n",
        message: "p.toml:4: refuse.queue_limit is 0; allowed is a whole number from 1 to 10000",
    },
    ErrorCase {
        text: "name = \"a\"\n[move]\nzone_hold_ms = 1499\n",
        message: "p.toml:3: move.zone_hold_ms is 1499; allowed is a whole number from 1500 to \
                  3600000",
    },
    ErrorCase {
        text: "name = \"a\"\n[move]\nhot_key_share = nan\n",
        message: "p.toml:3: move.hot_key_share is nan; allowed is a number from 0.01 to 1",
    },
    ErrorCase {
        text: "name = \"a\"\n[refuse]\nretry_budget = -0.1\n",
        message: "p.toml:3: refuse.retry_budget is -0.1; allowed is a number from 0 to 1",
    },
    ErrorCase {
        text: "name = \"a\"\n[refuse]\ndeadline_ms = \"1s\"\n",
        message: "p.toml:3: refuse.deadline_ms is \"1s\"; allowed is a whole number from 10 to \
                  1000",
    },
    ErrorCase {
        text: "name = \"a\"\nspread.policy = \"fastest\"\n",
        message: "p.toml:2: spread.policy is \"fastest\"; allowed is one of least_wait, \
                  round_robin, random",
    },
    ErrorCase {
        text: "name = \"a\"\n[refuse]\nshed_order = [\"retry\", \"retry\"]\n",
        message: "p.toml:3: refuse.shed_order is [\"retry\", \"retry\"]; allowed is a list of \
                  retry, long_idempotent, short_idempotent, non_idempotent, each at most once",
    },
    ErrorCase {
        text: "name = \"a\"\n[refuse]\nall_non_idempotent = 1\n",
        message: "p.toml:3: refuse.all_non_idempotent is 1; allowed is true or false",
    },
    ErrorCase {
        text: "name = \"a\"\n\n[spread]\nspeed = 3\n",
        message: "p.toml:4: unknown field spread.speed with value 3; allowed are policy, \
                  other_zone_penalty_ms, slow_start_ms",
    },
    ErrorCase {
        text: "name = \"a\"\n[spred]\npolicy = \"random\"\n",
        message: "p.toml:3: unknown field spred.policy with value \"random\"; allowed are name, \
                  spread, move, refuse",
    },
    ErrorCase {
        text: "name = \"a\"\n[speed]\n",
        message: "p.toml:2: unknown field speed with value {}; allowed are name, spread, move, \
                  refuse",
    },
    ErrorCase {
        text: "name = \"a b\"\n",
        message: "p.toml:1: name is \"a b\"; allowed is a name of 1 to 64 characters of a-z, A-Z, \
                  0-9, '-', '_' and '.'",
    },
    ErrorCase {
        text: "[spread]\n",
        message: "p.toml: field name is missing; allowed is a name of 1 to 64 characters of a-z, \
                  A-Z, 0-9, '-', '_' and '.'",
    },
];

/// Guards against errors that do not state the location, the field, its value and the allowed
/// values.
#[test]
fn errors_name_file_line_field_value_and_range() {
    for case in ERROR_CASES {
        let error = ProfileFile::parse("p.toml", case.text).expect_err(case.text);
        assert_eq!(error.to_string(), case.message, "{}", case.text);
    }
}

/// Guards against a syntax error without a line number.
#[test]
fn syntax_errors_name_the_line() {
    let error = ProfileFile::parse("p.toml", "name = \"a\"\n[spread\n").unwrap_err();
    assert!(error.to_string().starts_with("p.toml:2: "), "{error}");
}

/// Guards against bounds that are off by one, and against a numeric field without a range.
#[test]
fn numeric_fields_accept_exactly_their_range() {
    for rule in FIELD_RULES {
        let values = match rule.kind {
            FieldKind::Integer(min, max) => vec![
                (min.to_string(), true),
                (max.to_string(), true),
                ((min - 1).to_string(), false),
                ((max + 1).to_string(), false),
            ],
            FieldKind::Number(min, max) => vec![
                (format!("{min:?}"), true),
                (format!("{max:?}"), true),
                (format!("{:?}", min - 0.001), false),
                (format!("{:?}", max + 0.001), false),
                ("inf".to_owned(), false),
            ],
            _ => continue,
        };
        for (value, is_allowed) in values {
            let text = format!("name = \"a\"\n{} = {value}\n", rule.path);
            let result = ProfileFile::parse("p.toml", &text);
            assert_eq!(result.is_ok(), is_allowed, "{text}: {result:?}");
        }
    }
}

/// Guards against a field of the profile without a rule, and a rule without a field: the value of
/// such a field would not be checked, or not be accepted in a file.
#[test]
fn rule_table_lists_exactly_the_written_fields() {
    let text = ProfileFile::write(&Profile::with_defaults("a".parse().unwrap()));
    let mut section = String::new();
    let mut written = Vec::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix('[') {
            section = format!("{}.", name.trim_end_matches(']'));
        } else if let Some((field, _)) = line.split_once(" = ") {
            written.push(format!("{section}{field}"));
        }
    }
    let known: Vec<_> = FIELD_RULES.iter().map(|rule| rule.path.to_owned()).collect();
    assert_eq!(written, known);
}

/// Guards against a shipped profile that does not parse, does not set all fields, or has a value
/// without a comment that states its reason.
#[test]
fn shipped_profiles_parse_and_give_a_reason_for_each_value() {
    let files = [
        include_str!("../profiles/default.toml"),
        include_str!("../profiles/slipwerk.toml"),
        include_str!("../profiles/ullvav.toml"),
    ];
    for (name, text) in SHIPPED_PROFILE_NAMES.into_iter().zip(files) {
        let profile = ProfileFile::parse(name, text).unwrap();
        assert_eq!(profile.name.as_str(), name);
        assert_eq!(shipped_profile(name).as_deref(), Some(&profile));
        let lines: Vec<_> = text.lines().collect();
        let values = lines.iter().filter(|line| line.contains(" = ")).count();
        assert_eq!(values, FIELD_RULES.len(), "{name} sets every field");
        for pair in lines.windows(2).filter(|pair| pair[1].contains(" = ")) {
            assert!(pair[0].starts_with("# "), "{name}: no reason for {}", pair[1]);
        }
    }
    assert_eq!(shipped_profile("absent"), None);
    assert_eq!(
        shipped_profile("default").as_deref(),
        Some(&Profile::with_defaults("default".parse().unwrap()))
    );
}

/// Guards against a field that is lost or altered when a profile is written.
#[test]
fn written_profiles_parse_to_equal_profiles() {
    for name in SHIPPED_PROFILE_NAMES {
        let profile = shipped_profile(name).unwrap();
        let text = ProfileFile::write(&profile);
        assert_eq!(ProfileFile::parse(name, &text).as_ref(), Ok(&*profile));
    }
}

/// Guards against changed fields that are missing from the comparison of two revisions.
#[test]
fn diff_lists_changed_fields_only() {
    let before = Profile::with_defaults("a".parse().unwrap());
    let mut after = before.clone();
    assert!(diff(&before, &after).is_empty());
    after.refuse.queue_limit = 32;
    after.moves.hot_key_share = 0.5;
    after.refuse.shed_order.truncate(1);
    let lines: Vec<_> = diff(&before, &after).iter().map(ToString::to_string).collect();
    let expected = [
        "move.hot_key_share: 0.2 -> 0.5",
        "refuse.queue_limit: 64 -> 32",
        "refuse.shed_order: [\"retry\", \"long_idempotent\", \"short_idempotent\", \
         \"non_idempotent\"] -> [\"retry\"]",
    ];
    assert_eq!(lines, expected);
}

/// Guards against invalid values in profiles that do not come from a file, such as those in
/// commands of the control log.
#[test]
fn check_rejects_values_that_parse_rejects() {
    let mut profile = Profile::with_defaults("a".parse().unwrap());
    assert_eq!(profile.check(), Ok(()));
    profile.moves.smallest_gain = f64::NAN;
    let error = profile.check().unwrap_err();
    assert_eq!(error.to_string(), "move.smallest_gain is nan; allowed is a number from 0 to 1");
}

/// Guards against change ids of unlimited length, for which the outcomes that answer resends would
/// need unlimited memory.
#[test]
fn change_ids_are_bounded() {
    assert!(ChangeId::new("x".repeat(64)).is_ok());
    assert_eq!(ChangeId::new("x".repeat(65)), Err(ChangeIdError::TooLong { len: 65 }));
    assert_eq!(ChangeId::new(""), Err(ChangeIdError::Empty));
    assert!(matches!(ChangeId::new("a\nb"), Err(ChangeIdError::Character { .. })));
}
