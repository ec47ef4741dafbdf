use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::Timestamp;

use crate::ColdGrant;
use crate::ColdLease;
use crate::ColdList;
use crate::WarmUpLimit;
use crate::target_pacer::TargetPacer;

/// Time beyond the warm-up for which a run stays presumed cold without news from the leader: an
/// announcement interval.
const EXTRA_TIME: Duration = Duration::from_secs(1);
/// Time after a failed connection from which a list of the leader says something about the run. The
/// leader names runs that it has not heard for 1.5 s as unsure; 0.3 s allow for the way to it.
const FAILURE_MARGIN: Duration = Duration::from_millis(1_800);
/// Age of a failure from which connections are tried without a request. Lists end nearly all
/// presumptions before that.
const PROBE_AGE: Duration = Duration::from_secs(3);
/// Time between two such connections, each of which costs the target a little.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Expected wait for the next lease, permit or list, which come four times a second.
const NEWS_WAIT: Duration = Duration::from_millis(300);
/// Expected wait if another host has the lease of the target.
const OTHER_HOST_WAIT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct ConnectionFailure {
    at: Timestamp,
    /// Age of the failure from which a list of the leader ends the presumption.
    margin: Duration,
    /// First time after the failure at which the target was reached.
    reached_at: Option<Timestamp>,
    probed_at: Timestamp,
}

/// Whether one run of a target is presumed cold, and what this host may send to it meanwhile.
#[derive(Clone, Debug)]
pub(crate) struct ColdState {
    /// `None` if the service does not limit requests to cold targets: no run of it is cold.
    limit: Option<(Duration, f64)>,
    /// When and at which log index this host learnt of the run or of the end of its zone's
    /// evacuation; `None` once the leader has declared it warm since.
    learnt: Option<(Timestamp, u64)>,
    /// Until when the run is cold according to the leader's last list that named it.
    listed_until: Timestamp,
    /// Until when it is cold according to its own responses.
    stated_until: Timestamp,
    failure: Option<ConnectionFailure>,
    /// End of the lease for the whole rate of the target.
    leased_until: Timestamp,
    /// Spaces requests under the lease. Outlives it, so that a lease that is regained starts with no
    /// permit.
    pacer: Option<TargetPacer>,
    /// Numbers of single requests that may be sent until a time.
    permits: Vec<(Timestamp, u32)>,
}

impl ColdState {
    /// Creates the state of a run that this host has just learnt of, at log index `index`.
    pub(crate) fn new(now: Timestamp, index: u64) -> Self {
        Self {
            limit: None,
            learnt: Some((now, index)),
            listed_until: Timestamp::ZERO,
            stated_until: Timestamp::ZERO,
            failure: None,
            leased_until: Timestamp::ZERO,
            pacer: None,
            permits: Vec::new(),
        }
    }

    /// Returns whether the service limits requests to cold targets.
    pub(crate) fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns whether the run is presumed cold.
    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        let Some((warm_up, _)) = self.limit else { return false };
        let hold = warm_up + EXTRA_TIME;
        let is_suspect = self.failure.is_some_and(|failure| {
            failure.reached_at.is_none_or(|reached_at| now < reached_at + hold)
        });
        is_suspect
            || self.learnt.is_some_and(|(at, _)| now < at + hold)
            || now < self.listed_until
            || now < self.stated_until
    }

    /// Sets what the configuration says about the service.
    pub(crate) fn set_limit(&mut self, limit: Option<&WarmUpLimit>) {
        self.limit = limit.map(|limit| (limit.warm_up, limit.per_second));
    }

    /// Applies a list of the leader to the run.
    pub(crate) fn apply(&mut self, now: Timestamp, holder: &RangeHolder, list: &ColdList) {
        if let Some(remaining) = list.remaining(holder) {
            let warm_up = self.limit.map_or(Duration::ZERO, |(warm_up, _)| warm_up);
            self.listed_until = now + remaining.max(warm_up) + EXTRA_TIME;
        } else if list.declares_warm(holder, self.learnt.map_or(0, |(_, index)| index)) {
            self.listed_until = Timestamp::ZERO;
            self.learnt = None;
            self.failure = self.failure.filter(|failure| {
                list.sent_after.is_none_or(|sent_after| sent_after < failure.at + failure.margin)
            });
        }
        self.permits.retain(|(until, _)| now < *until);
        list.leases.iter().filter(|lease| lease.holder == *holder).for_each(|lease| {
            self.add_lease(now, lease);
        });
    }

    fn add_lease(&mut self, now: Timestamp, lease: &ColdLease) {
        match lease.grant {
            ColdGrant::Requests(count) => self.permits.push((lease.until, count)),
            ColdGrant::PerSecond(rate) => {
                self.leased_until = self.leased_until.max(lease.until);
                match &mut self.pacer {
                    Some(pacer) => pacer.set_rate(now, rate, 1),
                    pacer => *pacer = Some(TargetPacer::new(now, rate, 1, 0.0)),
                }
            }
        }
    }

    /// Records that the run may be cold as of log index `index`.
    pub(crate) fn record_doubt(&mut self, now: Timestamp, index: u64) {
        self.learnt = Some((now, index));
    }

    /// Records what the run said about itself. Returns whether it is news that the run is cold.
    pub(crate) fn record_statement(&mut self, now: Timestamp, remaining: Duration) -> bool {
        let is_news = !remaining.is_zero() && self.is_limited() && !self.is_cold(now);
        self.stated_until = now + remaining;
        if remaining.is_zero() {
            (self.learnt, self.failure) = (None, None);
            self.listed_until = Timestamp::ZERO;
        }
        is_news
    }

    /// Records that a connection to the target broke, or could not be established.
    pub(crate) fn record_failure(&mut self, now: Timestamp, is_unreachable: bool) {
        let margin = if is_unreachable { FAILURE_MARGIN } else { Duration::ZERO };
        let probed_at = self.failure.map_or(now, |failure| failure.probed_at);
        self.failure = Some(ConnectionFailure { at: now, margin, reached_at: None, probed_at });
    }

    /// Records that this host has no connection to the target and hears nothing from the leader. The
    /// state changes once until the next list, which may then be long in coming.
    pub(crate) fn record_unconnected(&mut self, now: Timestamp) {
        if self.is_limited() && self.failure.is_none() {
            self.record_failure(now, true);
        }
    }

    /// Records that the target was reached.
    pub(crate) fn record_reached(&mut self, now: Timestamp) {
        if let Some(failure) = &mut self.failure {
            failure.reached_at.get_or_insert(now);
        }
    }

    /// Returns whether a connection to the target is due that shows whether it can be reached, and
    /// counts it as tried.
    pub(crate) fn take_probe(&mut self, now: Timestamp) -> bool {
        let is_limited = self.is_limited();
        let Some(failure) = self.failure.as_mut().filter(|failure| failure.reached_at.is_none())
        else {
            return false;
        };
        let is_due = is_limited
            && now.since(failure.at) >= PROBE_AGE
            && now.since(failure.probed_at) >= PROBE_INTERVAL;
        if is_due {
            failure.probed_at = now;
        }
        is_due
    }

    /// Returns whether this host has the lease for the whole rate of the target.
    pub(crate) fn is_sponsored(&self, now: Timestamp) -> bool {
        self.is_cold(now) && now < self.leased_until
    }

    /// Returns the time until this host may send the next request to the run; an estimate if it has
    /// neither a lease nor a permit. Zero if the run is not presumed cold.
    pub(crate) fn wait(&self, now: Timestamp) -> Duration {
        if !self.is_cold(now)
            || self.permits.iter().any(|(until, count)| now < *until && *count > 0)
        {
            return Duration::ZERO;
        }
        match self.pacer.filter(|_| now < self.leased_until) {
            // A permit after the end of the lease counts on its renewal.
            Some(pacer) => pacer.next_permit(now).since(now),
            None if now < self.listed_until && self.permits.is_empty() => OTHER_HOST_WAIT,
            None => NEWS_WAIT,
        }
    }

    /// Returns the expected time between two requests of this host to the run; zero if it is not
    /// presumed cold.
    pub(crate) fn interval(&self, now: Timestamp) -> Duration {
        match self.pacer.filter(|_| now < self.leased_until) {
            _ if !self.is_cold(now) => Duration::ZERO,
            Some(pacer) => pacer.interval(),
            None => NEWS_WAIT,
        }
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        if !self.is_cold(now) {
            return;
        }
        let usable = self.permits.iter_mut().find(|(until, count)| now < *until && *count > 0);
        if let Some((_, count)) = usable {
            *count -= 1;
        } else if let Some(pacer) = &mut self.pacer {
            pacer.record_send(now);
        }
    }
}
