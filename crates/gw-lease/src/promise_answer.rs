use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaseHolder;

/// Answer of a zone host to a [`PromiseRequest`](crate::PromiseRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseAnswer {
    /// Zone that the request named.
    pub zone: ZoneName,
    /// Host that answers.
    pub from: HostId,
    /// Holder or candidate that sent the request.
    pub holder: LeaseHolder,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Whether the host made the promise.
    pub granted: bool,
    /// Highest version of the zone table that the answering host holds.
    pub version: TableVersion,
}
