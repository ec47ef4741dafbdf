use std::time::Duration;

use crate::Cluster;
use crate::ClusterEvent;
use crate::ClusterLayout;
use crate::EventCost;
use crate::RoleRates;
use crate::SteadyRate;
use crate::measure_event;
use crate::measure_steady;
use crate::resident_bytes;
use crate::time_to_change_profile;
use crate::time_to_serve_again;
use crate::time_to_spread_report;

/// Share of frames lost between hosts in the measurement with loss, in percent.
const LOSS_PERCENT: u64 = 10;
/// Time without a new control log entry after which the log counts as quiet. Longer than the
/// interval at which zone leaders rebalance dispatchers (1 s).
const QUIET_PERIOD: Duration = Duration::from_secs(5);
/// Number of targets that are lost to measure the time until their keys are served again. Small
/// enough that these and the targets that report fit among those of the keyed service (14 of 30).
const LOST_TARGETS: usize = 3;
/// Time after which a trial is given up.
const SPREAD_LIMIT: Duration = Duration::from_secs(20);

/// Parameters of the measurement of a layout. Times are virtual.
#[derive(Clone, Copy, Debug)]
pub struct MeasureOptions {
    /// Seed of message delays, message loss and random choices.
    pub seed: u64,
    /// Time after the start of the cluster before the control log may count as quiet.
    pub settle: Duration,
    /// Maximum time to wait for a quiet control log, which may be long because zone leaders
    /// rebalance dispatchers by only one target per second.
    pub settle_limit: Duration,
    /// Length of one measurement window in the steady state.
    pub window: Duration,
    /// Number of windows, over which the median of CPU times is taken.
    pub windows: usize,
    /// Whether event costs and propagation times are measured too.
    pub with_events: bool,
    /// Number of trials for each propagation time of a report or a profile change.
    pub trials: usize,
}

impl Default for MeasureOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            settle: Duration::from_secs(35),
            settle_limit: Duration::from_secs(400),
            window: Duration::from_secs(4),
            windows: 3,
            with_events: true,
            trials: 3,
        }
    }
}

/// Propagation times: the time until a change is known on all hosts, for several trials in
/// ascending order. Trials that did not finish within 20 s are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpreadTimes {
    /// Report of a draining target, until no host routes to it.
    pub report: Vec<Duration>,
    /// Profile change, until it is in force on all hosts.
    pub profile: Vec<Duration>,
    /// Loss of a target, until all entry hosts know new owners of its keys.
    pub served: Vec<Duration>,
}

/// All measurements of one layout.
#[derive(Clone, Debug)]
pub struct LayoutMeasurement {
    /// Layout that was measured.
    pub layout: ClusterLayout,
    /// Rates of each role in the steady state.
    pub roles: Vec<RoleRates>,
    /// Growth of the resident set per host in bytes, including the simulation's own share.
    pub resident_per_host: u64,
    /// Mean encoded size of a zone table in bytes.
    pub table_bytes: usize,
    /// Cost of each event; empty without [`MeasureOptions::with_events`].
    pub events: Vec<EventCost>,
    /// Propagation times without message loss.
    pub spread: SpreadTimes,
    /// Propagation times with 10% of the frames lost.
    pub lossy_spread: SpreadTimes,
}

/// Starts a cluster of the layout, waits until its control log is quiet, and measures it.
pub fn measure_layout(layout: ClusterLayout, options: &MeasureOptions) -> LayoutMeasurement {
    let resident = resident_bytes();
    let mut cluster = Cluster::new(layout, options.seed);
    cluster.run(options.settle);
    run_until_quiet(&mut cluster, options.settle_limit);
    let resident = resident_bytes().saturating_sub(resident);
    let roles = measure_steady(&mut cluster, options.window, options.windows);
    let table_bytes = mean_table_bytes(&cluster);
    let mut measurement = LayoutMeasurement {
        layout,
        roles,
        resident_per_host: resident / cluster.hosts().len() as u64,
        table_bytes,
        events: Vec::new(),
        spread: SpreadTimes::default(),
        lossy_spread: SpreadTimes::default(),
    };
    if options.with_events {
        add_events(&mut measurement, &mut cluster, options);
    }
    measurement
}

/// Runs the cluster until no host has applied a new control log entry for 5 s. Returns whether this
/// was the case within `limit`.
pub fn run_until_quiet(cluster: &mut Cluster, limit: Duration) -> bool {
    let applied = |cluster: &Cluster| {
        let nodes = cluster.hosts().iter().filter_map(|host| host.node.as_ref());
        nodes.map(|node| node.control_state().applied()).max()
    };
    let start = cluster.now();
    while cluster.now().since(start) < limit {
        let before = applied(cluster);
        cluster.run(QUIET_PERIOD);
        if applied(cluster) == before {
            return true;
        }
    }
    false
}

fn add_events(
    measurement: &mut LayoutMeasurement,
    cluster: &mut Cluster,
    options: &MeasureOptions,
) {
    measurement.spread = spread_times(cluster, options.trials, 1);
    cluster.loss_percent = LOSS_PERCENT;
    measurement.lossy_spread =
        spread_times(cluster, options.trials, 1 + options.trials + LOST_TARGETS);
    cluster.loss_percent = 0;
    for event in ClusterEvent::ALL {
        run_until_quiet(cluster, options.settle_limit);
        let steady = SteadyRate::measure(cluster, options.window);
        measurement.events.push(measure_event(cluster, event, &steady));
    }
}

fn spread_times(cluster: &mut Cluster, trials: usize, first_target: usize) -> SpreadTimes {
    let mut times = SpreadTimes::default();
    for trial in 0..trials {
        times.report.extend(time_to_spread_report(cluster, first_target + trial, SPREAD_LIMIT));
        cluster.run(Duration::from_millis(737));
        times.profile.extend(time_to_change_profile(cluster, SPREAD_LIMIT));
        cluster.run(Duration::from_millis(737));
    }
    for target in first_target + trials..first_target + trials + LOST_TARGETS {
        times.served.extend(time_to_serve_again(cluster, target, SPREAD_LIMIT));
        cluster.run(Duration::from_millis(737));
    }
    times.served.sort_unstable();
    times.report.sort_unstable();
    times.profile.sort_unstable();
    times
}

fn mean_table_bytes(cluster: &Cluster) -> usize {
    let node = cluster.hosts().first().and_then(|host| host.node.as_ref());
    let tables = node.map(|node| node.zone_tables()).unwrap_or_default();
    let sizes = tables.iter().map(|table| postcard::to_stdvec(&**table).map_or(0, |all| all.len()));
    sizes.sum::<usize>() / tables.len().max(1)
}
