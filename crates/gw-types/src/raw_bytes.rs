//! Serialization of byte sequences as a whole, for `#[serde(with = "gw_types::raw_bytes")]`.
//!
//! The postcard encoding is that of a sequence of numbers, which serde writes and reads one by one:
//! for a megabyte this takes milliseconds, and a buffer that grows to twice the size.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

/// Serializes `bytes`.
pub fn serialize<S: Serializer>(bytes: &impl AsRef<[u8]>, output: S) -> Result<S::Ok, S::Error> {
    output.serialize_bytes(bytes.as_ref())
}

/// Deserializes bytes with a single copy.
pub fn deserialize<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: for<'a> From<&'a [u8]>,
{
    input.deserialize_bytes(BytesVisitor(PhantomData))
}

struct BytesVisitor<T>(PhantomData<T>);

impl<T: for<'a> From<&'a [u8]>> Visitor<'_> for BytesVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<T, E> {
        Ok(T::from(bytes))
    }
}
