use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 8] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0];

/// Labels of a counter by service and outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct EndLabels {
    /// Name of the service; `none` if the request was refused before its service was known.
    pub(crate) service: String,
    /// Outcome of the request or order.
    pub(crate) end: String,
}

/// Labels of a metric by service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    /// Name of the service.
    pub(crate) service: String,
}

/// Labels of a counter by reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    pub(crate) reason: &'static str,
}

/// Labels of a gauge by class of memory.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ClassLabels {
    pub(crate) class: &'static str,
}

/// Metrics of an entry host or control host, under the prefix `galenawheel`.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<EndLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    orders: Family<EndLabels, Counter>,
    second_attempts: Family<EndLabels, Counter>,
    pub(crate) pipelined_requests: Counter,
    pub(crate) streamed_bytes: Counter,
    pub(crate) broken_responses: Counter,
    pub(crate) held_bytes: Family<ClassLabels, Gauge>,
    pub(crate) memory_refusals: Family<ReasonLabels, Counter>,
    pub(crate) memory_closures: Family<ReasonLabels, Counter>,
    pub(crate) waiting: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) state_index: Gauge,
    pub(crate) connections_opened: Gauge,
    pub(crate) is_leader: Gauge,
    pub(crate) journal_batches: Counter,
    pub(crate) is_path_lost: Gauge,
    pub(crate) cold_targets: Gauge,
    pub(crate) cold_requests: Counter,
    pub(crate) cold_refusals: Counter,
    pub(crate) dropped_lines: Gauge,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) evacuation_refusals: Counter,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("galenawheel"),
            requests: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            orders: Family::default(),
            second_attempts: Family::default(),
            pipelined_requests: Counter::default(),
            streamed_bytes: Counter::default(),
            broken_responses: Counter::default(),
            held_bytes: Family::default(),
            memory_refusals: Family::default(),
            memory_closures: Family::default(),
            waiting: Gauge::default(),
            config_version: Gauge::default(),
            state_index: Gauge::default(),
            connections_opened: Gauge::default(),
            is_leader: Gauge::default(),
            journal_batches: Counter::default(),
            is_path_lost: Gauge::default(),
            cold_targets: Gauge::default(),
            cold_requests: Counter::default(),
            cold_refusals: Counter::default(),
            dropped_lines: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuation_refusals: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests of callers by end", self.requests.clone());
        let help = "Time from reading a request's head to its answer, in seconds";
        registry.register("request_seconds", help, self.latency.clone());
        registry.register("orders", "Orders about key ranges by end", self.orders.clone());
        let help = "Second attempts for slow requests: sent, won, lost, cancelled or denied";
        registry.register("second_attempts", help, self.second_attempts.clone());
        let help = "Requests that were read before an earlier one of their connection was answered";
        registry.register("pipelined_requests", help, self.pipelined_requests.clone());
        let help = "Bytes of responses that were forwarded as they arrived";
        registry.register("streamed_bytes", help, self.streamed_bytes.clone());
        let help = "Responses that broke off after their head was forwarded";
        registry.register("broken_responses", help, self.broken_responses.clone());
        let help = "Bytes held for callers and targets by class";
        registry.register("held_bytes", help, self.held_bytes.clone());
        let help = "Requests refused for lack of memory by reason";
        registry.register("memory_refusals", help, self.memory_refusals.clone());
        let help = "Connections closed for their memory or descriptor by reason";
        registry.register("shed_connections", help, self.memory_closures.clone());
        registry.register("waiting_requests", "Requests that wait for room", self.waiting.clone());
        let help = "Version of the routing configuration in force";
        registry.register("config_version", help, self.config_version.clone());
        let help = "Index of the control log that is applied";
        registry.register("state_index", help, self.state_index.clone());
        let help = "Connections to targets made since the start";
        registry.register("target_connections_opened", help, self.connections_opened.clone());
        registry.register("control_leader", "1 on the control leader", self.is_leader.clone());
        let help = "Batches of the control log that were handed to the disk, each with a sync";
        registry.register("journal_batches", help, self.journal_batches.clone());
        let help = "1 while no target can be reached from this host";
        registry.register("target_path_lost", help, self.is_path_lost.clone());
        let help = "Targets that are presumed cold";
        registry.register("cold_targets", help, self.cold_targets.clone());
        let help = "Requests sent to cold targets under leases";
        registry.register("cold_requests", help, self.cold_requests.clone());
        let help = "Requests refused since targets are cold";
        registry.register("cold_refusals", help, self.cold_refusals.clone());
        let help = "Log lines dropped since the start";
        registry.register("log_lines_dropped", help, self.dropped_lines.clone());
        let help = "Zones whose targets are to get no requests";
        registry.register("evacuated_zones", help, self.evacuated_zones.clone());
        let help = "Requests refused because the targets for them are in evacuated zones";
        registry.register("evacuation_refusals", help, self.evacuation_refusals.clone());
    }

    /// Records a finished request: its outcome and the time from its head to its response.
    pub(crate) fn count_request(&self, service: &str, end: &str, elapsed: Duration) {
        let labels = EndLabels { service: service.to_owned(), end: end.to_owned() };
        self.requests.get_or_create(&labels).inc();
        let labels = ServiceLabels { service: service.to_owned() };
        self.latency.get_or_create(&labels).observe(elapsed.as_secs_f64());
    }

    /// Records an event of a second attempt for a slow request.
    pub(crate) fn count_second_attempt(&self, service: &str, end: &str) {
        let labels = EndLabels { service: service.to_owned(), end: end.to_owned() };
        self.second_attempts.get_or_create(&labels).inc();
    }

    /// Records the outcome of an order to a target.
    pub(crate) fn count_order(&self, service: &str, end: &str) {
        let labels = EndLabels { service: service.to_owned(), end: end.to_owned() };
        self.orders.get_or_create(&labels).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.dropped_lines.set(crate::log_output::dropped_lines() as i64);
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            log::error!("event=metrics_not_encoded");
        }
        text
    }
}
