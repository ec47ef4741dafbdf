use std::str::FromStr;

use gw_control::AuditQuery;
use gw_control::WallTime;
use gw_types::KeyHash;
use gw_types::SLOT_COUNT;
use gw_types::SlotIndex;

/// Number of records of an audit page if the call has no `limit`.
const DEFAULT_PAGE_SIZE: usize = 100;

/// The fields of a call's query, percent-decoded.
pub(super) struct QueryFields(Vec<(String, String)>);

/// Error in the query of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum QueryError {
    /// The call has no such field.
    #[error("unknown query field {field:?}; allowed are {allowed}")]
    Unknown { field: String, allowed: String },
    /// The field occurs more than once.
    #[error("query field {0:?} is given more than once")]
    Repeated(String),
    /// A required field is missing.
    #[error("query field {0:?} is missing")]
    Missing(&'static str),
    /// The value of the field is invalid.
    #[error("query field {field:?} has value {value:?}: {reason}")]
    Value { field: &'static str, value: String, reason: String },
    /// A name or a value contains a malformed percent sequence or is not UTF-8.
    #[error("the percent encoding of {0:?} is malformed")]
    Encoding(String),
}

impl QueryFields {
    /// Parses `query`, which may contain only the fields `allowed`, each at most once.
    pub(super) fn parse(query: &str, allowed: &[&str]) -> Result<Self, QueryError> {
        let mut fields: Vec<(String, String)> = Vec::new();
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (field, value) = part.split_once('=').unwrap_or((part, ""));
            let (field, value) = (percent_decode(field)?, percent_decode(value)?);
            if !allowed.contains(&field.as_str()) {
                return Err(QueryError::Unknown { field, allowed: allowed.join(", ") });
            }
            if fields.iter().any(|(known, _)| *known == field) {
                return Err(QueryError::Repeated(field));
            }
            fields.push((field, value));
        }
        Ok(Self(fields))
    }

    fn text(&self, field: &str) -> Option<&str> {
        let found = self.0.iter().find(|(known, _)| known == field);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of `field`, or `None` if the query does not contain it.
    pub(super) fn get<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, QueryError>
    where
        T::Err: std::fmt::Display,
    {
        self.parsed(field, str::parse)
    }

    /// Returns the value of `field`, which is required.
    pub(super) fn require<T: FromStr>(&self, field: &'static str) -> Result<T, QueryError>
    where
        T::Err: std::fmt::Display,
    {
        self.get(field)?.ok_or(QueryError::Missing(field))
    }

    fn parsed<'a, T, E: std::fmt::Display>(
        &'a self,
        field: &'static str,
        parse: impl FnOnce(&'a str) -> Result<T, E>,
    ) -> Result<Option<T>, QueryError> {
        let Some(value) = self.text(field) else { return Ok(None) };
        let invalid = |error: E| QueryError::Value {
            field,
            value: value.to_owned(),
            reason: error.to_string(),
        };
        parse(value).map(Some).map_err(invalid)
    }

    /// Parses the query of an audit call.
    pub(super) fn audit_query(query: &str) -> Result<AuditQuery, QueryError> {
        let allowed =
            ["from", "until", "service", "key", "slot", "target", "profile", "before", "limit"];
        let fields = Self::parse(query, &allowed)?;
        let slot = |text: &str| match text.parse::<u16>() {
            Ok(slot) if slot < SLOT_COUNT => Ok(SlotIndex(slot)),
            _ => Err(format!("must be a number from 0 to {}", SLOT_COUNT - 1)),
        };
        let limit = fields.get::<usize>("limit")?.unwrap_or(DEFAULT_PAGE_SIZE);
        if limit == 0 {
            let reason = "must be at least 1".to_owned();
            return Err(QueryError::Value { field: "limit", value: "0".to_owned(), reason });
        }
        Ok(AuditQuery {
            from: fields.get("from")?.map(WallTime),
            until: fields.get("until")?.map(WallTime),
            service: fields.parsed("service", gw_types::ServiceName::new)?,
            key: fields.text("key").map(|key| KeyHash::of(key.as_bytes())),
            slot: fields.parsed("slot", slot)?,
            target: fields.parsed("target", gw_types::TargetName::new)?,
            profile: fields.parsed("profile", gw_types::ProfileName::new)?,
            before: fields.get("before")?,
            limit,
        })
    }
}

/// Decodes percent sequences (RFC 3986, section 2.1) and replaces `+` by a space.
fn percent_decode(text: &str) -> Result<String, QueryError> {
    let malformed = || QueryError::Encoding(text.to_owned());
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        match byte {
            b'%' => {
                let (digits, tail) = rest.split_at_checked(2).ok_or_else(malformed)?;
                let digits = std::str::from_utf8(digits).map_err(|_| malformed())?;
                if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                    return Err(malformed());
                }
                bytes.push(u8::from_str_radix(digits, 16).map_err(|_| malformed())?);
                rest = tail;
            }
            b'+' => bytes.push(b' '),
            _ => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).map_err(|_| malformed())
}
