use std::collections::BTreeMap;
use std::time::Duration;

use gw_profile::Profile;
use gw_profile::ShedClass;
use gw_types::ServiceName;
use gw_types::TargetEntry;
use gw_types::TargetState;
use gw_types::Timestamp;

use crate::CrashQuarantine;
use crate::CrashVerdict;
use crate::LoadView;
use crate::NotRunReason;
use crate::QuarantineOptions;
use crate::QueueOptions;
use crate::RecordOptions;
use crate::RecordTable;
use crate::RequestFingerprint;
use crate::RetryBudget;
use crate::RetryDecision;
use crate::RetryPolicy;
use crate::RetryRequest;
use crate::RouteShape;
use crate::ServiceTimes;
use crate::SlowStart;
use crate::TargetQueue;

/// Settings of a [`Dispatcher`] that apply to all services of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatcherOptions {
    /// Maximum number of fingerprints in quarantine.
    pub quarantine_capacity: usize,
    /// How long a fingerprint stays in quarantine after its last crash.
    pub quarantine_hold: Duration,
    /// Maximum number of route shapes whose service times are kept.
    pub shape_limit: usize,
    /// Maximum size in bytes of a service's idempotency records, and of the copies held for it.
    pub record_bytes: usize,
    /// Maximum number of attempts of one request, including the first.
    pub attempt_limit: u8,
    /// Exceeds every record version that an earlier run of this host used.
    pub first_record_version: u64,
}

/// Attributes by which a request is classified before it is queued.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// Service that the request belongs to.
    pub service: &'a ServiceName,
    /// HTTP method.
    pub method: &'a str,
    /// Route shape, which groups requests of similar service time.
    pub shape: RouteShape,
    /// Identifies the request for the quarantine.
    pub fingerprint: RequestFingerprint,
    /// Whether the request has had an attempt before.
    pub is_retry: bool,
}

/// Classification of a request for its target's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Whether running the request twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Class in the profile's shed order.
    pub class: ShedClass,
    /// Whether the request belongs to the lane for long work.
    pub is_long: bool,
    /// Whether the request must run alone on its target, being a suspect of the quarantine.
    pub runs_alone: bool,
    /// Expected service time.
    pub expected: Duration,
}

#[derive(Clone, Debug)]
struct ServiceState {
    profile: Profile,
    budget: RetryBudget,
    records: RecordTable,
}

/// Dispatch state that all targets of one host share: service times, retry budgets, quarantine,
/// idempotency records and load.
///
/// Queues are created here but owned by the caller, which keeps each behind its own lock.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    options: DispatcherOptions,
    services: BTreeMap<ServiceName, ServiceState>,
    times: ServiceTimes,
    quarantine: CrashQuarantine,
    load: LoadView,
}

impl Dispatcher {
    /// Creates a dispatcher without services.
    pub fn new(options: DispatcherOptions) -> Self {
        let quarantine = CrashQuarantine::new(QuarantineOptions {
            capacity: options.quarantine_capacity,
            hold: options.quarantine_hold,
        });
        let times = ServiceTimes::new(options.shape_limit);
        let services = BTreeMap::new();
        Self { options, services, times, quarantine, load: LoadView::new() }
    }

    /// Adds a service, or replaces its profile. Records and the retry budget are kept.
    ///
    /// Existing queues are updated by [`TargetQueue::set_options`].
    pub fn set_service(&mut self, now: Timestamp, service: &ServiceName, profile: &Profile) {
        let record_options = RecordOptions::from_rules(&profile.refuse, self.options.record_bytes);
        if let Some(state) = self.services.get_mut(service) {
            state.budget.set_share(profile.refuse.retry_budget);
            state.records.set_options(record_options);
            state.profile = profile.clone();
            return;
        }
        let state = ServiceState {
            profile: profile.clone(),
            budget: RetryBudget::new(profile.refuse.retry_budget, now),
            records: RecordTable::new(record_options, self.options.first_record_version),
        };
        self.services.insert(service.clone(), state);
    }

    /// Creates an empty queue for a target; `None` if its service is unknown.
    pub fn new_queue(&self, now: Timestamp, entry: &TargetEntry) -> Option<TargetQueue> {
        let profile = &self.services.get(&entry.service)?.profile;
        let options = QueueOptions::from_profile(profile, entry.work_slots);
        let slow_start = match entry.state {
            TargetState::Starting => SlowStart::cold(now, options.slow_start),
            _ => SlowStart::warm(),
        };
        Some(TargetQueue::new(options, slow_start))
    }

    /// Classifies a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the service is unknown or the request is in quarantine.
    pub fn classify(
        &self,
        now: Timestamp,
        attributes: &RequestAttributes<'_>,
    ) -> Result<RequestClass, NotRunReason> {
        let state = self.services.get(attributes.service).ok_or(NotRunReason::NoTarget)?;
        let rules = &state.profile.refuse;
        let verdict = self.quarantine.verdict(now, attributes.fingerprint, rules.crash_limit);
        if verdict == CrashVerdict::Refused {
            return Err(NotRunReason::Quarantined);
        }
        let is_idempotent = !rules.all_non_idempotent && is_idempotent_method(attributes.method);
        let estimate = self.times.estimate(attributes.service, attributes.shape);
        let class = match (is_idempotent, attributes.is_retry, estimate.is_long) {
            (false, _, _) => ShedClass::NonIdempotent,
            (true, true, _) => ShedClass::Retry,
            (true, false, true) => ShedClass::LongIdempotent,
            (true, false, false) => ShedClass::ShortIdempotent,
        };
        Ok(RequestClass {
            is_idempotent,
            class,
            is_long: estimate.is_long,
            runs_alone: verdict == CrashVerdict::Suspect,
            expected: estimate.expected,
        })
    }

    /// Counts a first attempt, which adds to the retry budget of the service.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.budget.record_request(now);
        }
    }

    /// Records that a target answered the request after `time`.
    pub fn record_answer(&mut self, attributes: &RequestAttributes<'_>, time: Duration) {
        self.times.observe(attributes.service, attributes.shape, time);
        self.quarantine.record_completion(attributes.fingerprint);
    }

    /// Decides whether a failed request is retried; `None` if its service is unknown.
    pub fn decide_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        request: &RetryRequest<'_>,
    ) -> Option<RetryDecision> {
        let state = self.services.get_mut(service)?;
        let crash_limit = state.profile.refuse.crash_limit;
        let policy = RetryPolicy { crash_limit, attempt_limit: self.options.attempt_limit };
        Some(policy.decide(now, request, &mut state.budget))
    }

    /// Returns the idempotency records of a service, if it is known.
    pub fn records(&mut self, service: &ServiceName) -> Option<&mut RecordTable> {
        self.services.get_mut(service).map(|state| &mut state.records)
    }

    /// Returns the quarantine of requests that crash targets.
    pub fn quarantine(&mut self) -> &mut CrashQuarantine {
        &mut self.quarantine
    }

    /// Returns what this host knows of the load of targets.
    pub fn load(&mut self) -> &mut LoadView {
        &mut self.load
    }

    /// Removes expired quarantine entries and records. To be called every few seconds.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        self.services.values_mut().for_each(|state| state.records.expire(now));
    }
}

/// Whether RFC 9110, section 9.2.2, defines the method as idempotent.
fn is_idempotent_method(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
}
