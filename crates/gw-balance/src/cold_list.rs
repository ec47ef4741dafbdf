use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::Timestamp;

use crate::WarmUpLimit;

/// What a [`ColdLease`] allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdGrant {
    /// Requests at this rate, evenly spaced.
    PerSecond(f64),
    /// This number of requests.
    Requests(u32),
}

/// Permission of the leader for one host to send requests to a cold target.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdLease {
    /// The cold run.
    pub holder: RangeHolder,
    /// When the lease expires, on this host's clock.
    pub until: Timestamp,
    /// What may be sent until then.
    pub grant: ColdGrant,
}

/// What the leader says about cold targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdList {
    /// Sorted by service.
    pub limits: Vec<WarmUpLimit>,
    /// Log index up to which all runs that the list does not name are warm; `None` if the leader
    /// does not know enough to say so.
    pub through: Option<u64>,
    /// A time, on this host's clock, at which the list was not sent yet; `None` if it is not known.
    pub sent_after: Option<Timestamp>,
    /// Cold runs with the time for which they stay cold, sorted by run.
    pub cold: Vec<(RangeHolder, Duration)>,
    /// Runs of which the leader does not know whether they are cold, sorted.
    pub unsure: Vec<RangeHolder>,
    /// This host's leases.
    pub leases: Vec<ColdLease>,
}

impl ColdList {
    /// Returns how long a run stays cold, if the list names it as cold.
    pub fn remaining(&self, holder: &RangeHolder) -> Option<Duration> {
        let found = self.cold.binary_search_by(|(known, _)| known.cmp(holder));
        found.ok().map(|index| self.cold[index].1)
    }

    /// Returns whether the list declares a run warm that this host learnt of at log index `index`.
    pub fn declares_warm(&self, holder: &RangeHolder, index: u64) -> bool {
        self.through.is_some_and(|through| through >= index)
            && self.remaining(holder).is_none()
            && self.unsure.binary_search(holder).is_err()
    }
}
