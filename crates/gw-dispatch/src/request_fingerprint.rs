use std::fmt;

use gw_types::KeyHash;
use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3Default;

fn add_part(hasher: &mut Xxh3Default, part: Option<&[u8]>) {
    // The length prefix keeps the boundaries between parts unambiguous.
    let len = part.map_or(u64::MAX, |part| part.len() as u64);
    hasher.update(&len.to_le_bytes());
    hasher.update(part.unwrap_or_default());
}

/// Hash of the attributes that identify a request: method, path and query, key, caller and, if it is
/// in memory as a whole, the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u128);

impl RequestFingerprint {
    /// Returns the fingerprint of a request. `path` includes the query. `caller` are the credentials
    /// by which the caller is known, if any. `body` is the whole body, or `None` if it is not in memory
    /// as a whole.
    pub fn of(
        method: &str,
        path: &str,
        key: Option<KeyHash>,
        caller: Option<&[u8]>,
        body: Option<&[u8]>,
    ) -> Self {
        let mut hasher = Self::start(method, path, key, caller);
        add_part(&mut hasher, body);
        Self(hasher.digest128())
    }

    /// The same for a body of `len` bytes that is in memory in `segments`.
    pub fn of_segments<'a>(
        method: &str,
        path: &str,
        key: Option<KeyHash>,
        caller: Option<&[u8]>,
        len: usize,
        segments: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Self::start(method, path, key, caller);
        hasher.update(&(len as u64).to_le_bytes());
        segments.for_each(|segment| hasher.update(segment));
        Self(hasher.digest128())
    }

    fn start(method: &str, path: &str, key: Option<KeyHash>, caller: Option<&[u8]>) -> Xxh3Default {
        let mut hasher = Xxh3Default::new();
        add_part(&mut hasher, Some(method.as_bytes()));
        add_part(&mut hasher, Some(path.as_bytes()));
        add_part(&mut hasher, key.map(|key| key.0.to_le_bytes()).as_ref().map(|key| &key[..]));
        // Without credentials, fingerprints equal those of earlier builds.
        if caller.is_some() {
            add_part(&mut hasher, caller);
        }
        hasher
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies an idempotency record: hash of the service and the value of `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordKey(pub u128);

impl RecordKey {
    /// Returns the key of the record for `idempotency_key` of `service`.
    pub fn of(service: &ServiceName, idempotency_key: &[u8]) -> Self {
        let mut hasher = Xxh3Default::new();
        add_part(&mut hasher, Some(service.as_str().as_bytes()));
        add_part(&mut hasher, Some(idempotency_key));
        Self(hasher.digest128())
    }
}
