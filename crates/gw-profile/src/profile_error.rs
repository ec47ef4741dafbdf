use std::fmt;

use crate::FieldError;

/// A location in a profile file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileLocation {
    /// Name of the file, as passed to the parser.
    pub file: String,
    /// Line in the file, counted from 1; absent if it is not known.
    pub line: Option<usize>,
}

impl fmt::Display for FileLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        self.line.map_or(Ok(()), |line| write!(f, ":{line}"))
    }
}

/// Error of parsing a profile file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// The file is not valid TOML.
    #[error("{at}: {message}")]
    Syntax {
        /// Location of the syntax error.
        at: FileLocation,
        /// Message of the TOML parser.
        message: String,
    },
    /// The file sets a field that does not exist in profiles.
    #[error("{at}: unknown field {field} with value {value}; allowed are {allowed}")]
    UnknownField {
        /// Location of the field.
        at: FileLocation,
        /// Section and field, joined by a dot.
        field: String,
        /// Value of the field, in TOML syntax.
        value: String,
        /// Fields of the section, or the sections if the section does not exist.
        allowed: String,
    },
    /// A field has a value of the wrong type or outside its range.
    #[error("{at}: {error}")]
    Value {
        /// Location of the field.
        at: FileLocation,
        /// Field, its value and the allowed values.
        error: FieldError,
    },
    /// The file has no `name` field.
    #[error("{file}: field name is missing; allowed is {allowed}")]
    MissingName {
        /// Name of the file, as passed to the parser.
        file: String,
        /// Description of the allowed names.
        allowed: String,
    },
}
