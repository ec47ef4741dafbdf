use std::time::Duration;

use gw_types::BootId;
use gw_types::TermNumber;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Outcome of a [`LeaseRequest`](crate::LeaseRequest).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The sender is the holder of the latest committed grant, and its lease is renewed.
    Renewed {
        /// Term of the grant.
        term: TermNumber,
        /// Length of the lease, measured from the send time of the request.
        remaining: Duration,
        /// How long promises may extend the hold, measured from the base of this renewal; the crate
        /// documentation defines the base.
        zone_hold: Duration,
        /// Whether the previous holder released the lease instead of letting it expire. Dispatcher
        /// leases that it granted may then still be in use.
        after_release: bool,
    },
    /// Another host may hold the zone, or a change of its holder is being committed.
    Held,
    /// The sender must first apply the control log up to this index.
    Behind(u64),
    /// The sender is not the holder of the latest grant, whose term is given.
    Superseded(TermNumber),
    /// The answering control leader has no recent acknowledgement of a majority, so it cannot show
    /// that it still leads the control group.
    Unconfirmed,
    /// The release was processed.
    Released,
    /// The control group does not know the zone.
    UnknownZone,
}

/// Answer of the control leader to a [`LeaseRequest`](crate::LeaseRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Zone that the request named.
    pub zone: ZoneName,
    /// Boot ID of the host that sent the request.
    pub boot: BootId,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Result of the request.
    pub outcome: LeaseOutcome,
}
