use std::time::Duration;

use gw_balance::ColdGrant;
use gw_balance::ColdLease;
use gw_balance::ColdList;
use gw_balance::WarmUpLimit;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

/// What a run of a target said about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WarmthReport {
    pub(crate) holder: RangeHolder,
    /// For how long it stays cold, in milliseconds; 0 if it is warm.
    pub(crate) left_millis: u32,
    /// Time since it said so, in milliseconds; clocks of hosts are not synchronized.
    pub(crate) age_millis: u32,
}

impl WarmthReport {
    pub(crate) fn new(holder: RangeHolder, left: Duration, age: Duration) -> Self {
        // Rounded up: a run that is still cold must not seem warm.
        let left_millis = left.as_micros().div_ceil(1_000).try_into().unwrap_or(u32::MAX);
        Self { holder, left_millis, age_millis: millis(age) }
    }

    pub(crate) fn left(&self) -> Duration {
        Duration::from_millis(u64::from(self.left_millis))
    }

    pub(crate) fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_millis))
    }
}

/// What the configuration says about cold targets of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WarmUpReport {
    pub(crate) service: ServiceName,
    /// How long a target is cold, in milliseconds.
    pub(crate) warm_up_millis: u32,
    /// Requests per second that it sustains.
    pub(crate) per_second: f64,
}

/// What the receiver may send to a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum GrantReport {
    /// Requests at this rate in requests per second.
    PerSecond(f64),
    /// This number of requests.
    Requests(u32),
}

/// A lease of the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseReport {
    pub(crate) holder: RangeHolder,
    /// Its end on the receiver's clock, in nanoseconds.
    pub(crate) until: u64,
    pub(crate) grant: GrantReport,
}

/// Information for entry hosts about cold targets. Sent only if the configuration in force has limits
/// for them, or had some when it was last sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ColdMessage {
    /// Whether the sender is the confirmed leader. Messages of others contain only limits.
    pub(crate) is_leader: bool,
    /// Sorted by service.
    pub(crate) limits: Vec<WarmUpReport>,
    /// Log index up to which all runs that the message does not name are warm.
    pub(crate) through: Option<u64>,
    /// A time on the receiver's clock, in nanoseconds, at which the message was not sent yet.
    pub(crate) sent_after: Option<u64>,
    /// Cold runs with the milliseconds for which they stay cold, sorted by run.
    pub(crate) cold: Vec<(RangeHolder, u32)>,
    /// Runs of which the leader does not know whether they are cold, sorted.
    pub(crate) unsure: Vec<RangeHolder>,
    /// The receiver's own leases.
    pub(crate) leases: Vec<LeaseReport>,
}

impl ColdMessage {
    /// Returns the limits in the form of the message.
    pub(crate) fn limits_of(limits: &[WarmUpLimit]) -> Vec<WarmUpReport> {
        let report = |limit: &WarmUpLimit| WarmUpReport {
            service: limit.service.clone(),
            warm_up_millis: millis(limit.warm_up),
            per_second: limit.per_second,
        };
        limits.iter().map(report).collect()
    }

    /// Returns the list on the receiver's clock.
    pub(crate) fn received(self) -> ColdList {
        let limit = |report: WarmUpReport| WarmUpLimit {
            service: report.service,
            warm_up: Duration::from_millis(u64::from(report.warm_up_millis)),
            per_second: report.per_second,
        };
        let lease = |report: LeaseReport| ColdLease {
            holder: report.holder,
            until: Timestamp::from_nanos(report.until),
            grant: match report.grant {
                GrantReport::PerSecond(rate) => ColdGrant::PerSecond(rate),
                GrantReport::Requests(count) => ColdGrant::Requests(count),
            },
        };
        let cold =
            |(holder, left): (RangeHolder, u32)| (holder, Duration::from_millis(u64::from(left)));
        ColdList {
            limits: self.limits.into_iter().map(limit).collect(),
            through: self.through,
            sent_after: self.sent_after.map(Timestamp::from_nanos),
            cold: self.cold.into_iter().map(cold).collect(),
            unsure: self.unsure,
            leases: self.leases.into_iter().map(lease).collect(),
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
