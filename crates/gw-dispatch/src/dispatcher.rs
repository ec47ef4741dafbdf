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

/// Settings of a [`Dispatcher`] that do not come from a profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatcherOptions {
    /// Most fingerprints in quarantine.
    pub quarantine_capacity: usize,
    /// How long a fingerprint is held after its last crash.
    pub quarantine_hold: Duration,
    /// Most route shapes whose service times are kept.
    pub shape_limit: usize,
    /// Bytes of idempotency records of each service, and as many of copies.
    pub record_bytes: usize,
    /// Most attempts of one request, the first included.
    pub attempt_limit: u8,
    /// Larger than any version of a record that an earlier run of this host used.
    pub first_record_version: u64,
}

/// A request before it is queued.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// HTTP method.
    pub method: &'a str,
    /// Groups requests that take about the same time.
    pub shape: RouteShape,
    /// Identifies the request for the quarantine.
    pub fingerprint: RequestFingerprint,
    /// Whether an attempt was made before.
    pub is_retry: bool,
}

/// What a request's facts mean for its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Whether running it twice has the effect of running it once.
    pub is_idempotent: bool,
    /// Decides what is shed first.
    pub class: ShedClass,
    /// Whether it goes to the lane for long work.
    pub is_long: bool,
    /// Whether it must run alone on its target.
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

/// Dispatch state of one host that its targets share: service times, retry budgets, quarantine,
/// idempotency records and load. Queues are made here and held by the caller, each behind its own
/// lock.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    options: DispatcherOptions,
    services: BTreeMap<ServiceName, ServiceState>,
    times: ServiceTimes,
    quarantine: CrashQuarantine,
    load: LoadView,
}

impl Dispatcher {
    /// A dispatcher without services.
    pub fn new(options: DispatcherOptions) -> Self {
        let quarantine = CrashQuarantine::new(QuarantineOptions {
            capacity: options.quarantine_capacity,
            hold: options.quarantine_hold,
        });
        let times = ServiceTimes::new(options.shape_limit);
        let services = BTreeMap::new();
        Self { options, services, times, quarantine, load: LoadView::new() }
    }

    /// Adds a service, or puts a changed profile in force. Records and budgets are kept.
    ///
    /// Queues made before take the change by [`TargetQueue::set_options`].
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

    /// An empty queue for a target; `None` if its service is not known.
    pub fn new_queue(&self, now: Timestamp, entry: &TargetEntry) -> Option<TargetQueue> {
        let profile = &self.services.get(&entry.service)?.profile;
        let options = QueueOptions::from_profile(profile, entry.work_slots);
        let slow_start = match entry.state {
            TargetState::Starting => SlowStart::cold(now, options.slow_start),
            _ => SlowStart::warm(),
        };
        Some(TargetQueue::new(options, slow_start))
    }

    /// Classifies a request, or tells why it is refused.
    pub fn classify(
        &self,
        now: Timestamp,
        facts: &RequestAttributes<'_>,
    ) -> Result<RequestClass, NotRunReason> {
        let state = self.services.get(facts.service).ok_or(NotRunReason::NoTarget)?;
        let rules = &state.profile.refuse;
        let verdict = self.quarantine.verdict(now, facts.fingerprint, rules.crash_limit);
        if verdict == CrashVerdict::Refused {
            return Err(NotRunReason::Quarantined);
        }
        let is_idempotent = !rules.all_non_idempotent && is_idempotent_method(facts.method);
        let estimate = self.times.estimate(facts.service, facts.shape);
        let class = match (is_idempotent, facts.is_retry, estimate.is_long) {
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

    /// Counts a first attempt for the service's retry budget.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.budget.record_request(now);
        }
    }

    /// Counts a run that was answered.
    pub fn record_answer(&mut self, facts: &RequestAttributes<'_>, time: Duration) {
        self.times.observe(facts.service, facts.shape, time);
        self.quarantine.record_completion(facts.fingerprint);
    }

    /// Decides whether a failed request is tried again; `None` if its service is not known.
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

    /// Idempotency records of a service.
    pub fn records(&mut self, service: &ServiceName) -> Option<&mut RecordTable> {
        self.services.get_mut(service).map(|state| &mut state.records)
    }

    /// Requests that crash targets.
    pub fn quarantine(&mut self) -> &mut CrashQuarantine {
        &mut self.quarantine
    }

    /// Load of the targets.
    pub fn load(&mut self) -> &mut LoadView {
        &mut self.load
    }

    /// Forgets what is past its time. To be called every few seconds.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        self.services.values_mut().for_each(|state| state.records.expire(now));
    }
}

/// Idempotent methods of RFC 9110, section 9.2.2.
fn is_idempotent_method(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
}
