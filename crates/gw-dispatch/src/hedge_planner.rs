use std::time::Duration;

use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::response_times::ResponseTimes;

/// Lowest quantile of response times after which a second attempt starts. An operator who allows
/// many second attempts gets them for slow responses still, not for ordinary ones.
const MIN_QUANTILE: f64 = 0.9;
/// Highest one: above it, single responses decide.
const MAX_QUANTILE: f64 = 0.98;
/// Second attempts that can be saved up. Slow responses come in groups; more than a few at once
/// would load the other targets just when the service is slow.
const MAX_SAVED_ATTEMPTS: f64 = 4.0;
/// Shortest time before a second attempt, about a round trip between zones. Services that respond
/// faster gain nothing from a second attempt.
const MIN_DELAY: Duration = Duration::from_millis(5);

/// Whether a second attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeVerdict {
    /// It may start.
    Allowed,
    /// It would probably end after the latency objective.
    TooLate,
    /// The share of requests that may get one is used up.
    OverShare,
}

/// State of one service.
#[derive(Clone, Debug)]
struct HedgedService {
    name: ServiceName,
    times: ResponseTimes,
    /// Second attempts that may start now.
    tokens: f64,
}

/// Decides which slow requests get a second attempt at another target, and when.
///
/// Invariant: of the requests of a service that were recorded since the start, at most the largest
/// share that was set got a second attempt.
#[derive(Clone, Debug)]
pub struct HedgePlanner {
    max_share: f64,
    /// Sorted by name. Grows with the number of services in the configuration.
    services: Vec<HedgedService>,
}

impl HedgePlanner {
    /// Creates a planner that gives a second attempt to at most `max_share` of the requests of each
    /// service, clamped to `0.0..=1.0`.
    pub fn new(max_share: f64) -> Self {
        Self { max_share: max_share.clamp(0.0, 1.0), services: Vec::new() }
    }

    /// Replaces the share, clamped to `0.0..=1.0`.
    pub fn set_max_share(&mut self, max_share: f64) {
        self.max_share = max_share.clamp(0.0, 1.0);
    }

    /// Records a request that may get a second attempt. Each one earns its share of an attempt.
    pub fn record_request(&mut self, service: &ServiceName) {
        let earned = self.max_share;
        let service = self.service_mut(service);
        service.tokens = (service.tokens + earned).min(MAX_SAVED_ATTEMPTS);
    }

    /// Records the response time of a target. For an attempt that was cancelled since another one
    /// was answered, this is the time until then: the response would have taken longer. Without
    /// these, each second attempt would remove a slow response, and further ones would start earlier.
    pub fn record_response(&mut self, now: Timestamp, service: &ServiceName, elapsed: Duration) {
        self.service_mut(service).times.record(now, elapsed);
    }

    /// Returns the time after which an attempt runs longer than nearly all responses of the service;
    /// `None` while too few responses are known.
    ///
    /// The quantile follows from the share, so that in steady load the slowest requests use up the
    /// share, and not whichever come first.
    pub fn delay(&mut self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let quantile = (1.0 - self.max_share).clamp(MIN_QUANTILE, MAX_QUANTILE);
        let found = self.service_mut(service).times.quantiles(now, quantile)?;
        Some(found.high.max(MIN_DELAY))
    }

    /// Decides whether a second attempt may start now for a request of which `remaining` is left
    /// until its latency objective. `expected` is the typical response time of the second target, if
    /// known.
    pub fn verdict(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        remaining: Duration,
        expected: Option<Duration>,
    ) -> HedgeVerdict {
        let quantile = (1.0 - self.max_share).clamp(MIN_QUANTILE, MAX_QUANTILE);
        let service = self.service_mut(service);
        let median = service.times.quantiles(now, quantile).map(|found| found.median);
        if median.max(expected).is_none_or(|needed| needed > remaining) {
            return HedgeVerdict::TooLate;
        }
        if service.tokens < 1.0 {
            return HedgeVerdict::OverShare;
        }
        HedgeVerdict::Allowed
    }

    /// Records that a second attempt has started.
    pub fn record_start(&mut self, service: &ServiceName) {
        let service = self.service_mut(service);
        service.tokens = (service.tokens - 1.0).max(0.0);
    }

    /// Drops the services that `is_known` rejects.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service| is_known(&service.name));
    }

    fn service_mut(&mut self, name: &ServiceName) -> &mut HedgedService {
        let found = self.services.binary_search_by(|service| service.name.cmp(name));
        let index = found.unwrap_or_else(|position| {
            let (name, times) = (name.clone(), ResponseTimes::default());
            self.services.insert(position, HedgedService { name, times, tokens: 0.0 });
            position
        });
        &mut self.services[index]
    }
}
