use std::collections::HashMap;
use std::time::Duration;

use gw_types::ServiceName;

/// Weight of one observation in the exponential moving means, which corresponds to about 20
/// observations.
const OBSERVATION_WEIGHT: f64 = 0.05;
/// A shape is long if its typical service time exceeds that of its service by this factor.
/// Stragglers take 20 to 50 times the mean, and routes of one class differ by a factor below 4.
const LONG_FACTOR: f64 = 4.0;
/// Expected service time before the first observation.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Groups requests of a service with similar service times, for example a hash of the method and
/// the fixed segments of the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteShape(pub u64);

/// Estimate for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEstimate {
    /// Mean service time of the shape, or of the service if the shape is unknown.
    pub expected: Duration,
    /// Whether the request is long compared to its service.
    pub is_long: bool,
}

/// Moving means of a service time.
///
/// The arithmetic mean estimates the load. The mean of the logarithm separates short shapes from
/// long ones, since single stragglers have little influence on it.
#[derive(Clone, Copy, Debug)]
struct TimeMean {
    mean_s: f64,
    mean_log: f64,
    count: u64,
    last_observation: u64,
}

impl TimeMean {
    fn first(seconds: f64) -> Self {
        Self { mean_s: seconds, mean_log: seconds.ln(), count: 1, last_observation: 0 }
    }

    fn observe(&mut self, seconds: f64) {
        self.count += 1;
        // The first observations have equal weight, so that an extreme first one decays quickly.
        let weight = OBSERVATION_WEIGHT.max(1.0 / self.count as f64);
        self.mean_s += weight * (seconds - self.mean_s);
        self.mean_log += weight * (seconds.ln() - self.mean_log);
    }
}

/// Observed service times for each service and route shape.
///
/// Invariant: holds at most `shape_limit` shapes and as many services; beyond that, the least
/// recently observed one is evicted.
#[derive(Clone, Debug)]
pub struct ServiceTimes {
    shape_limit: usize,
    shapes: HashMap<(ServiceName, RouteShape), TimeMean>,
    services: HashMap<ServiceName, TimeMean>,
    observation_count: u64,
}

impl ServiceTimes {
    /// Creates an empty table. A `shape_limit` of 0 is raised to 1.
    pub fn new(shape_limit: usize) -> Self {
        let shape_limit = shape_limit.max(1);
        Self { shape_limit, shapes: HashMap::new(), services: HashMap::new(), observation_count: 0 }
    }

    /// Records that a request took `time` on its target.
    pub fn observe(&mut self, service: &ServiceName, shape: RouteShape, time: Duration) {
        // A minimum of one microsecond keeps the logarithm finite.
        let seconds = time.as_secs_f64().max(1e-6);
        self.observation_count += 1;
        self.make_room(service, shape);
        let number = self.observation_count;
        for mean in [
            self.shapes.entry((service.clone(), shape)).or_insert(TimeMean::first(seconds)),
            self.services.entry(service.clone()).or_insert(TimeMean::first(seconds)),
        ] {
            mean.observe(seconds);
            mean.last_observation = number;
        }
    }

    /// Returns the estimate for a request of `shape`. A shape without observations is taken to be
    /// short and to take the mean time of its service.
    pub fn estimate(&self, service: &ServiceName, shape: RouteShape) -> ServiceEstimate {
        let Some(overall) = self.services.get(service) else {
            return ServiceEstimate { expected: DEFAULT_SERVICE_TIME, is_long: false };
        };
        let mean = self.shapes.get(&(service.clone(), shape)).unwrap_or(overall);
        let is_long = mean.mean_log - overall.mean_log > LONG_FACTOR.ln();
        ServiceEstimate { expected: Duration::from_secs_f64(mean.mean_s), is_long }
    }

    /// Returns the number of shapes with observations.
    pub fn len(&self) -> usize {
        self.shapes.len()
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.shapes.is_empty()
    }

    fn make_room(&mut self, service: &ServiceName, shape: RouteShape) {
        let key = (service.clone(), shape);
        if self.shapes.len() >= self.shape_limit && !self.shapes.contains_key(&key) {
            evict_least_recent(&mut self.shapes);
        }
        if self.services.len() >= self.shape_limit && !self.services.contains_key(service) {
            evict_least_recent(&mut self.services);
        }
    }
}

fn evict_least_recent<K: Clone + Eq + std::hash::Hash>(means: &mut HashMap<K, TimeMean>) {
    let oldest =
        means.iter().min_by_key(|(_, mean)| mean.last_observation).map(|(key, _)| key.clone());
    if let Some(key) = oldest {
        means.remove(&key);
    }
}
