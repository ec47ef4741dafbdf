use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a change id. Limits the memory for the outcomes that answer resent changes.
pub const MAX_CHANGE_ID_BYTES: usize = 64;

/// Id by which a resent change is recognized. The sender chooses it and keeps it unique among its
/// changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct ChangeId(Arc<str>);

/// Error for a string that is not a valid change id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeIdError {
    /// The string is empty.
    #[error("a change id must not be empty")]
    Empty,
    /// The string is too long.
    #[error("change id of {len} bytes is longer than {MAX_CHANGE_ID_BYTES} bytes")]
    TooLong {
        /// Length of the string in bytes.
        len: usize,
    },
    /// The string contains a byte that is not printable ASCII.
    #[error("change id {id:?} has characters other than printable ASCII")]
    Character {
        /// The whole string.
        id: String,
    },
}

impl ChangeId {
    /// Creates a change id of 1 to 64 bytes of printable ASCII.
    ///
    /// # Errors
    ///
    /// Returns an error if `id` is empty, too long or contains another byte.
    pub fn new(id: impl Into<Arc<str>>) -> Result<Self, ChangeIdError> {
        let id = id.into();
        if id.is_empty() {
            return Err(ChangeIdError::Empty);
        }
        if id.len() > MAX_CHANGE_ID_BYTES {
            return Err(ChangeIdError::TooLong { len: id.len() });
        }
        if !id.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' ') {
            return Err(ChangeIdError::Character { id: id.to_string() });
        }
        Ok(Self(id))
    }

    /// Returns the id as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(id: Arc<str>) -> Result<Self, ChangeIdError> {
        Self::new(id)
    }
}

impl From<ChangeId> for Arc<str> {
    fn from(id: ChangeId) -> Arc<str> {
        id.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
