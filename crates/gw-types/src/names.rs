use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name. Limits the size of frames, log lines and metric labels.
const MAX_NAME_BYTES: usize = 64;

/// Error for a string that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is too long.
    #[error("name of {len} bytes is longer than {MAX_NAME_BYTES} bytes")]
    TooLong {
        /// Length of the string in bytes.
        len: usize,
    },
    /// The string contains a character that is not allowed in names.
    #[error("name {name:?} contains {found:?}; allowed are a-z, A-Z, 0-9, '-', '_' and '.'")]
    Character {
        /// The whole string.
        name: String,
        /// The first character that is not allowed.
        found: char,
    },
}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { len: name.len() });
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.chars().find(|&c| !is_allowed(c)) {
        Some(found) => Err(NameError::Character { name: name.to_owned(), found }),
        None => Ok(()),
    }
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name of 1 to 64 bytes of `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
            ///
            /// # Errors
            ///
            /// Returns an error if `name` is empty, too long or contains another character.
            pub fn new(name: impl Into<Arc<str>>) -> Result<Self, NameError> {
                let name = name.into();
                check_name(&name)?;
                Ok(Self(name))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = NameError;

            fn try_from(name: Arc<str>) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Arc<str> {
                name.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(name: &str) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

define_name! {
    /// Name of a host, unique among all hosts.
    HostName
}
define_name! {
    /// Name of an availability zone, unique among all zones.
    ZoneName
}
define_name! {
    /// Name of a service, unique among all services.
    ServiceName
}
define_name! {
    /// Name of a profile, unique among all profiles.
    ProfileName
}
define_name! {
    /// Name of a target, unique among the targets of all services.
    TargetName
}
