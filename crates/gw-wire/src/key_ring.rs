use std::fmt;

use crate::FrameError;

/// Length of an authenticator in bytes.
pub const AUTHENTICATOR_BYTES: usize = 16;

/// Number that identifies a frame key on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u16);

/// Secret key for frame authenticators, shared by all hosts.
#[derive(Clone)]
pub struct FrameKey {
    /// Number that frames refer to the key by.
    pub id: KeyId,
    secret: [u8; 32],
}

impl FrameKey {
    /// Creates the key with number `id`.
    pub fn new(id: KeyId, secret: [u8; 32]) -> Self {
        Self { id, secret }
    }

    fn derive(&self, context: &str) -> Self {
        Self { id: self.id, secret: blake3::derive_key(context, &self.secret) }
    }

    fn authenticate(&self, bytes: &[u8]) -> [u8; AUTHENTICATOR_BYTES] {
        let hash = blake3::keyed_hash(&self.secret, bytes);
        let mut authenticator = [0; AUTHENTICATOR_BYTES];
        authenticator.copy_from_slice(&hash.as_bytes()[..AUTHENTICATOR_BYTES]);
        authenticator
    }
}

impl fmt::Debug for FrameKey {
    /// Omits the secret, so that it is never logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Reason why keys cannot form a key ring.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// The list of keys is empty.
    #[error("there is no key")]
    Empty,
    /// Two keys have the same number.
    #[error("key {} is given twice", .id.0)]
    Duplicate {
        /// Number of both keys.
        id: KeyId,
    },
}

/// Set of frame keys. One key signs frames, and frames signed by any of them are accepted.
///
/// To rotate keys without downtime, add the new key as an accepted one on all hosts, then make it
/// the signing key on all hosts, then remove the old key.
#[derive(Clone, Debug)]
pub struct KeyRing {
    /// Sorted by id, without duplicates, never empty.
    keys: Vec<FrameKey>,
    /// Index of the signing key in `keys`.
    signing: usize,
}

impl KeyRing {
    /// Creates a ring that signs with the first of `keys` and accepts all of them.
    pub fn new(mut keys: Vec<FrameKey>) -> Result<Self, KeyRingError> {
        let signing = keys.first().ok_or(KeyRingError::Empty)?.id;
        keys.sort_by_key(|key| key.id);
        if let Some(pair) = keys.windows(2).find(|pair| pair[0].id == pair[1].id) {
            return Err(KeyRingError::Duplicate { id: pair[0].id });
        }
        let signing = keys.iter().position(|key| key.id == signing).ok_or(KeyRingError::Empty)?;
        Ok(Self { keys, signing })
    }

    /// Returns a ring with keys derived for the purpose `context`. Frames signed for another
    /// purpose are not accepted, although the secrets are the same.
    pub fn derive(&self, context: &str) -> Self {
        let keys = self.keys.iter().map(|key| key.derive(context)).collect();
        Self { keys, signing: self.signing }
    }

    /// Returns the number of the signing key.
    pub fn signing_key(&self) -> KeyId {
        self.keys[self.signing].id
    }

    pub(crate) fn sign(&self, bytes: &[u8]) -> [u8; AUTHENTICATOR_BYTES] {
        self.keys[self.signing].authenticate(bytes)
    }

    /// Verifies an authenticator. Compares in constant time, which `blake3::Hash` guarantees for
    /// its own comparison.
    pub(crate) fn verify(
        &self,
        key: KeyId,
        bytes: &[u8],
        authenticator: &[u8; AUTHENTICATOR_BYTES],
    ) -> Result<(), FrameError> {
        let index = self
            .keys
            .binary_search_by_key(&key, |known| known.id)
            .map_err(|_| FrameError::UnknownKey { key })?;
        let expected = self.keys[index].authenticate(bytes);
        if padded_hash(&expected) == padded_hash(authenticator) {
            Ok(())
        } else {
            Err(FrameError::Authenticator)
        }
    }
}

fn padded_hash(authenticator: &[u8; AUTHENTICATOR_BYTES]) -> blake3::Hash {
    let mut bytes = [0; 32];
    bytes[..AUTHENTICATOR_BYTES].copy_from_slice(authenticator);
    blake3::Hash::from_bytes(bytes)
}
