use std::time::Duration;

use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaseHolder;

/// What a holder or candidate wants of a zone peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromiseOperation {
    /// A promise that lasts this long.
    Promise(Duration),
    /// End the promise; the sender no longer holds the zone.
    Release,
}

/// A holder or candidate asks a host of its zone, itself included, for a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseRequest {
    /// The zone.
    pub zone: ZoneName,
    /// The sender and its term.
    pub holder: LeaseHolder,
    /// Grows with each request of the run; the answer echoes it.
    pub sequence: u64,
    /// What the sender wants.
    pub operation: PromiseOperation,
}
