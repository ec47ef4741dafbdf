use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gw_dispatch::RetryBudget;
use gw_dispatch::RetryDecision;
use gw_dispatch::RetryPolicy;
use gw_dispatch::RetryRequest;
use gw_dispatch::RouteShape;
use gw_dispatch::ServiceEstimate;
use gw_dispatch::ServiceTimes;
use gw_types::ServiceName;
use gw_types::Timestamp;

/// Largest number of route shapes with recorded service times. Limits the memory that callers can
/// occupy with arbitrary paths.
const MAX_ROUTE_SHAPES: usize = 1_024;

/// Largest number of attempts of one request, including the first.
const MAX_ATTEMPTS: u8 = 3;

/// Service times and retry budgets of all services, as observed by this host.
pub(crate) struct RequestStats {
    state: Mutex<StatsState>,
}

struct StatsState {
    times: ServiceTimes,
    budgets: HashMap<ServiceName, (f64, RetryBudget)>,
}

impl StatsState {
    /// Returns the retry budget of a service. A changed share starts a new budget.
    fn budget(&mut self, now: Timestamp, service: &ServiceName, share: f64) -> &mut RetryBudget {
        let is_current = self.budgets.get(service).is_some_and(|(known, _)| *known == share);
        if !is_current {
            self.budgets.insert(service.clone(), (share, RetryBudget::new(share, now)));
        }
        let new = || (share, RetryBudget::new(share, now));
        &mut self.budgets.entry(service.clone()).or_insert_with(new).1
    }
}

impl RequestStats {
    pub(crate) fn new() -> Self {
        let (times, budgets) = (ServiceTimes::new(MAX_ROUTE_SHAPES), HashMap::new());
        Self { state: Mutex::new(StatsState { times, budgets }) }
    }

    fn lock(&self) -> MutexGuard<'_, StatsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new request towards the retry budget of its service.
    pub(crate) fn record_request(&self, now: Timestamp, service: &ServiceName, share: f64) {
        self.lock().budget(now, service, share).record_request(now);
    }

    pub(crate) fn estimate(&self, service: &ServiceName, shape: RouteShape) -> ServiceEstimate {
        self.lock().times.estimate(service, shape)
    }

    pub(crate) fn observe(&self, service: &ServiceName, shape: RouteShape, time: Duration) {
        self.lock().times.observe(service, shape, time);
    }

    /// Returns whether a failed request may be retried, and if so deducts the retry from the budget
    /// of its service.
    pub(crate) fn may_retry(
        &self,
        now: Timestamp,
        service: &ServiceName,
        (share, crash_limit): (f64, u8),
        request: &RetryRequest<'_>,
    ) -> bool {
        let policy = RetryPolicy { crash_limit, attempt_limit: MAX_ATTEMPTS };
        let mut state = self.lock();
        let budget = state.budget(now, service, share);
        policy.decide(now, request, budget) == RetryDecision::Retry
    }
}
