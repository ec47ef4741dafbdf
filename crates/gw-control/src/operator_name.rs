use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of an operator name in bytes, which bounds the size of audit records.
const MAX_OPERATOR_BYTES: usize = 64;

/// Name of the operator who made a change, as authenticated by the operators' listener.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct OperatorName(Arc<str>);

/// The text is not a valid operator name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("operator name {name:?} must have 1 to {MAX_OPERATOR_BYTES} bytes, none of them control")]
pub struct OperatorNameError {
    /// The refused text.
    pub name: String,
}

impl OperatorName {
    /// Creates an operator name. Fails unless `name` has 1 to 64 bytes and no control characters.
    pub fn new(name: impl Into<Arc<str>>) -> Result<Self, OperatorNameError> {
        let name = name.into();
        let is_sized = (1..=MAX_OPERATOR_BYTES).contains(&name.len());
        if !is_sized || name.chars().any(char::is_control) {
            return Err(OperatorNameError { name: name.to_string() });
        }
        Ok(Self(name))
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for OperatorName {
    type Error = OperatorNameError;

    fn try_from(name: Arc<str>) -> Result<Self, OperatorNameError> {
        Self::new(name)
    }
}

impl From<OperatorName> for Arc<str> {
    fn from(name: OperatorName) -> Arc<str> {
        name.0
    }
}

impl fmt::Display for OperatorName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
