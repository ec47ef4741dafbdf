use std::fmt;

use crate::FieldError;

/// A place in a profile file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileLine {
    /// The file as the caller named it.
    pub file: String,
    /// Line in the file, counted from 1, where it is known.
    pub line: Option<usize>,
}

impl fmt::Display for FileLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        self.line.map_or(Ok(()), |line| write!(f, ":{line}"))
    }
}

/// Why a profile file is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// The file is not TOML.
    #[error("{at}: {message}")]
    Syntax {
        /// Where the text stops being TOML.
        at: FileLine,
        /// What the TOML reader says.
        message: String,
    },
    /// The file sets a field that profiles do not have.
    #[error("{at}: unknown field {field} with value {value}; allowed are {allowed}")]
    UnknownField {
        /// Where the field is.
        at: FileLine,
        /// Section and field, joined by a dot.
        field: String,
        /// The value as TOML.
        value: String,
        /// The fields that the section has.
        allowed: String,
    },
    /// A field has a value of the wrong kind or outside its range.
    #[error("{at}: {fault}")]
    Value {
        /// Where the field is.
        at: FileLine,
        /// The field, its value and the allowed range.
        fault: FieldError,
    },
    /// The file does not name its profile.
    #[error("{file}: field name is missing; allowed is {allowed}")]
    NoName {
        /// The file as the caller named it.
        file: String,
        /// What would be allowed.
        allowed: String,
    },
}
