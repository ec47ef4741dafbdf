//! Profiles of services: rules, file format, validation and revisions.
//!
//! A profile controls how the requests of a service are balanced over targets ([`SpreadRules`]),
//! when its slots and keys move ([`MoveRules`]), and when its requests are queued, shed or retried
//! ([`RefuseRules`]). Operators change the behaviour of the system only through profiles.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod change_id;
mod field_rule;
mod move_rules;
mod profile;
mod profile_diff;
mod profile_error;
mod profile_file;
mod refuse_rules;
mod revision;
mod shipped_profiles;
mod spread_rules;

pub use change_id::ChangeId;
pub use change_id::ChangeIdError;
pub use change_id::MAX_CHANGE_ID_BYTES;
pub use field_rule::FIELD_RULES;
pub use field_rule::FieldError;
pub use field_rule::FieldKind;
pub use field_rule::FieldRule;
pub use field_rule::LONGEST_DEADLINE_MS;
pub use move_rules::MoveRules;
pub use profile::Profile;
pub use profile_diff::FieldChange;
pub use profile_diff::diff;
pub use profile_error::FileLocation;
pub use profile_error::ProfileError;
pub use profile_file::ProfileFile;
pub use refuse_rules::QueueOrder;
pub use refuse_rules::RecordCopies;
pub use refuse_rules::RefuseRules;
pub use refuse_rules::ShedClass;
pub use revision::Revision;
pub use shipped_profiles::DEFAULT_PROFILE_NAME;
pub use shipped_profiles::SHIPPED_PROFILE_NAMES;
pub use shipped_profiles::shipped_profile;
pub use spread_rules::SpreadPolicy;
pub use spread_rules::SpreadRules;
