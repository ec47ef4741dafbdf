use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// An availability zone whose targets are to get no requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// When it was requested, in milliseconds since 1970 on the clock of the leader at that time.
    pub since_unix_ms: u64,
}
