use std::time::Duration;

use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::HandoverId;

/// Answer of a dispatcher to a [`DrainRequest`](crate::DrainRequest): no request for the slots or
/// key is in flight to the old owner, and none will be sent.
///
/// A request that the dispatcher abandoned counts as in flight until its deadline, because the
/// target may still run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainDone {
    /// Handover that the request named.
    pub id: HandoverId,
    /// Dispatcher that answers.
    pub dispatcher: HostId,
    /// Time since the dispatcher process started. While it is shorter than the longest deadline, a
    /// request of an earlier boot, which this process does not know, may still be in flight.
    pub run_age: Duration,
}
