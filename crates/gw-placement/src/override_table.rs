use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::MAX_OVERRIDES;
use gw_types::TargetName;

/// Error of [`OverrideTable::set`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverrideError {
    /// The service already has [`MAX_OVERRIDES`] overrides.
    #[error("the service already has {MAX_OVERRIDES} overrides")]
    Full,
    /// The given token is not above that of the existing override.
    #[error("token {given} is not above {current}")]
    Token {
        /// Token given to [`OverrideTable::set`].
        given: FencingToken,
        /// Token of the existing override.
        current: FencingToken,
    },
}

/// Overrides of one service: sorted by key, at most [`MAX_OVERRIDES`], and with tokens that only
/// increase.
#[derive(Debug)]
pub struct OverrideTable<'a> {
    overrides: &'a mut Vec<KeyOverride>,
}

impl<'a> OverrideTable<'a> {
    /// Wraps `overrides`, which must be sorted by key.
    pub fn new(overrides: &'a mut Vec<KeyOverride>) -> Self {
        Self { overrides }
    }

    /// Adds or replaces the override of `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service has the maximum number of overrides, or if `token` does not
    /// exceed the token of the existing override.
    pub fn set(
        &mut self,
        key: KeyHash,
        owner: Option<TargetName>,
        token: FencingToken,
    ) -> Result<(), OverrideError> {
        let entry = KeyOverride { key, owner, token };
        match self.overrides.binary_search_by_key(&key, |existing| existing.key) {
            Ok(index) if self.overrides[index].token >= token => {
                let current = self.overrides[index].token;
                return Err(OverrideError::Token { given: token, current });
            }
            Ok(index) => self.overrides[index] = entry,
            Err(_) if self.overrides.len() >= MAX_OVERRIDES => return Err(OverrideError::Full),
            Err(index) => self.overrides.insert(index, entry),
        }
        Ok(())
    }

    /// Removes the override of `key` and returns it. It must be safe for the owner of the slot to
    /// serve the key.
    pub fn remove(&mut self, key: KeyHash) -> Option<KeyOverride> {
        let index = self.overrides.binary_search_by_key(&key, |existing| existing.key).ok()?;
        Some(self.overrides.remove(index))
    }
}
