use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::TrafficState;

/// Maximum number of services with their own series, which bounds memory. Further services share
/// the label `other`.
const MAX_SERVICES: usize = 256;

/// Upper bound of the first bucket of request durations, in seconds. That of the last finite bucket
/// is 2^15 times as large (16 s).
const FIRST_BUCKET_S: f64 = 0.000_5;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Series of one service. Cached, so that recording a request allocates no labels.
struct ServiceSeries {
    answered: Counter,
    not_run: Counter,
    unknown: Counter,
    seconds: Histogram,
}

impl ServiceSeries {
    fn record(&self, outcome: &str, elapsed: Duration) {
        let counter = match outcome {
            "answered" => &self.answered,
            "not-run" => &self.not_run,
            _ => &self.unknown,
        };
        counter.inc();
        self.seconds.observe(elapsed.as_secs_f64());
    }
}

type SeriesList = RwLock<Vec<(String, Arc<ServiceSeries>)>>;

/// Requests of callers, or requests of other hosts, by service and outcome.
struct RequestSeries {
    requests: Family<OutcomeLabels, Counter>,
    seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    /// Sorted by service.
    services: SeriesList,
}

impl RequestSeries {
    fn new() -> Self {
        let histogram: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, 16));
        Self {
            requests: Family::default(),
            seconds: Family::new_with_constructor(histogram),
            services: SeriesList::default(),
        }
    }

    fn record(&self, service: &str, outcome: &str, elapsed: Duration) {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = services.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            return services[index].1.record(outcome, elapsed);
        }
        drop(services);
        self.add(service).record(outcome, elapsed);
    }

    fn add(&self, service: &str) -> Arc<ServiceSeries> {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        let service = if services.len() < MAX_SERVICES { service } else { "other" };
        match services.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => services[index].1.clone(),
            Err(index) => {
                let series = Arc::new(self.series(service));
                services.insert(index, (service.to_owned(), series.clone()));
                series
            }
        }
    }

    fn series(&self, service: &str) -> ServiceSeries {
        let counter = |outcome| {
            let labels = OutcomeLabels { service: service.to_owned(), outcome };
            self.requests.get_or_create(&labels).clone()
        };
        let labels = ServiceLabels { service: service.to_owned() };
        ServiceSeries {
            answered: counter("answered"),
            not_run: counter("not-run"),
            unknown: counter("unknown"),
            seconds: self.seconds.get_or_create(&labels).clone(),
        }
    }
}

/// Metrics of the traffic side in the Prometheus text format.
///
/// The values of all labels are services, outcomes and fixed causes, so that the number of series
/// is bounded.
pub struct TrafficMetrics {
    registry: Registry,
    callers: RequestSeries,
    forwards: RequestSeries,
    refused_forwards: Family<CauseLabels, Counter>,
    in_flight: Gauge,
    waiting: Gauge,
    connections: Gauge,
}

impl Default for TrafficMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl TrafficMetrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("galenawheel"),
            callers: RequestSeries::new(),
            forwards: RequestSeries::new(),
            refused_forwards: Family::default(),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            connections: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let Self { registry, callers, forwards, .. } = self;
        registry.register("requests", "Callers' requests", callers.requests.clone());
        let help = "Time from a caller's request to the head of its answer in seconds";
        registry.register("request_duration_seconds", help, callers.seconds.clone());
        registry.register("forwards", "Requests of other hosts", forwards.requests.clone());
        let help = "Time from a forwarded request to the head of its answer in seconds";
        registry.register("forward_duration_seconds", help, forwards.seconds.clone());
        let help = "Forwarded requests whose ticket was refused";
        registry.register("refused_forwards", help, self.refused_forwards.clone());
        let help = "Requests that are being sent to targets";
        registry.register("requests_in_flight", help, self.in_flight.clone());
        let help = "Requests that wait for a target";
        registry.register("requests_waiting", help, self.waiting.clone());
        let help = "Open connections of callers and other hosts";
        registry.register("connections", help, self.connections.clone());
    }

    pub(crate) fn record_request(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.callers.record(service, outcome, elapsed);
    }

    pub(crate) fn record_forwarded_request(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.forwards.record(service, outcome, elapsed);
    }

    pub(crate) fn record_refused_forward(&self, cause: &'static str) {
        self.refused_forwards.get_or_create(&CauseLabels { cause }).inc();
    }

    pub(crate) fn connection_opened(&self) {
        self.connections.inc();
    }

    pub(crate) fn connection_closed(&self) {
        self.connections.dec();
    }

    /// Returns all metrics as text. The gauges of requests are read from `state`.
    pub fn encode(&self, state: &TrafficState) -> String {
        self.in_flight.set(state.requests_in_flight() as i64);
        self.waiting.set(state.waiting_requests() as i64);
        let mut text = String::new();
        // Writing to a string does not fail.
        encode(&mut text, &self.registry).ok();
        text
    }
}
