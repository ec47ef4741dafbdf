use gw_dispatch::RandomSource;
use gw_dispatch::SplitMix;

use crate::RequestKind;
use crate::Scenario;
use crate::Trace;
use crate::TraceEntry;

/// Number of distinct cold keys of each service.
const KEY_COUNT: u64 = 1_000_000;
/// Number of keys that are hot at the same time.
const HOT_KEY_COUNT: u64 = 22;
/// Share of the requests to keyed services that use a hot key.
const HOT_KEY_SHARE: f64 = 0.2;
/// Period after which other keys become the hot ones.
const HOT_SET_PERIOD_US: u64 = 12_000_000;
/// Mean service time of short requests.
const MEAN_SHORT_COST_US: f64 = 3_000.0;
/// Share of requests of kind `scan`.
const SCAN_SHARE: f64 = 0.004;
/// Share of lookups and writes that are stragglers although their kind does not indicate it.
const HIDDEN_STRAGGLER_SHARE: f64 = 0.0005;
/// Lower and upper bound of a straggler's service time as a multiple of `MEAN_COST_US`. In the
/// users' traces it is 20 to 50 times the mean.
const STRAGGLER_FACTORS: (f64, f64) = (21.0, 49.0);
/// Mean service time of all requests, including stragglers.
const MEAN_COST_US: f64 = 3_550.0;
/// Share of requests of kind `write`.
const WRITE_SHARE: f64 = 0.15;

/// Parameters of a generated trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceShape {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the trace in seconds.
    pub seconds: u64,
    /// Mean number of requests per second and target outside peak load.
    pub rate_per_target: f64,
    /// Demand during the scenario's peak as a multiple of the mean; 1 for no peak.
    pub peak_factor: f64,
}

impl TraceShape {
    /// Ordinary load, which oscillates but has no peak.
    pub const DAY: TraceShape =
        TraceShape { seed: 20, seconds: 24, rate_per_target: 160.0, peak_factor: 1.0 };
    /// Peak load, as in drafting hours or on a wage day.
    pub const PEAK: TraceShape =
        TraceShape { seed: 21, seconds: 24, rate_per_target: 160.0, peak_factor: 3.2 };

    /// Returns the demand at `time_us` as a multiple of the mean: an oscillation of 25% with a
    /// period of two seconds, times the peak, which rises and falls within half a second.
    fn demand(&self, time_us: u64, scenario: &Scenario) -> f64 {
        let seconds = time_us as f64 / 1e6;
        let oscillation = 1.0 + 0.25 * (seconds * std::f64::consts::PI).sin();
        let from = scenario.peak.0.as_nanos() as f64 / 1e9;
        let until = scenario.peak.1.as_nanos() as f64 / 1e9;
        let rise = ((seconds - from) / 0.5).clamp(0.0, 1.0);
        let fall = ((until - seconds) / 0.5).clamp(0.0, 1.0);
        oscillation * (1.0 + (self.peak_factor - 1.0) * rise.min(fall))
    }
}

/// Returns a uniformly distributed number in (0, 1).
fn random_unit(random: &mut SplitMix) -> f64 {
    // 0 is excluded, so that the logarithm is finite.
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64 + 1e-17
}

/// Generates a trace for `scenario` with Poisson arrivals.
///
/// The same scenario and shape always give the same trace.
pub fn generate(scenario: &Scenario, shape: TraceShape) -> Trace {
    let mut random = SplitMix::new(shape.seed);
    let targets = scenario.target_count() as f64;
    let mut entries = Vec::new();
    let mut time_us = 0.0;
    loop {
        let demand = shape.demand(time_us as u64, scenario);
        let rate_per_us = shape.rate_per_target * targets * demand / 1e6;
        time_us += -random_unit(&mut random).ln() / rate_per_us;
        if time_us >= shape.seconds as f64 * 1e6 {
            break;
        }
        entries.push(generate_entry(scenario, time_us as u64, &mut random));
    }
    Trace::new(entries).expect("arrival times never decrease")
}

fn generate_entry(scenario: &Scenario, time_us: u64, random: &mut SplitMix) -> TraceEntry {
    let zone = scenario.zones[pick_zone(scenario, random)].clone();
    let service = pick_service(scenario, random);
    let service = &scenario.services[service];
    let is_hot = service.is_keyed && random_unit(random) < HOT_KEY_SHARE;
    let key = if is_hot { hot_key(time_us, random) } else { random.next_u64() % KEY_COUNT };
    let kind = match random_unit(random) {
        share if share < SCAN_SHARE => RequestKind::Scan,
        share if share < SCAN_SHARE + WRITE_SHARE => RequestKind::Write,
        _ => RequestKind::Lookup,
    };
    let is_straggler = kind == RequestKind::Scan || random_unit(random) < HIDDEN_STRAGGLER_SHARE;
    let cost_us = pick_cost(is_straggler, random);
    TraceEntry { time_us, zone, service: service.name.clone(), key, kind, cost_us }
}

/// Picks a zone in proportion to its entry hosts, as the platform's load balancer gives each entry
/// host the same share of requests.
fn pick_zone(scenario: &Scenario, random: &mut SplitMix) -> usize {
    let hosts = &scenario.hosts_per_zone;
    pick_weighted(hosts.iter().copied(), random)
}

fn pick_service(scenario: &Scenario, random: &mut SplitMix) -> usize {
    pick_weighted(scenario.services.iter().map(|service| service.target_count), random)
}

fn pick_weighted(weights: impl Iterator<Item = usize> + Clone, random: &mut SplitMix) -> usize {
    let mut number = random.below(weights.clone().sum());
    for (index, weight) in weights.enumerate() {
        if number < weight {
            return index;
        }
        number -= weight;
    }
    0
}

/// Picks a key of the current hot set; popularity follows a Zipf distribution with exponent 1.
/// Hot keys lie above the cold keys and differ in each period.
fn hot_key(time_us: u64, random: &mut SplitMix) -> u64 {
    let rank =
        ((HOT_KEY_COUNT as f64 + 1.0).powf(random_unit(random)) as u64).clamp(1, HOT_KEY_COUNT);
    let period = time_us / HOT_SET_PERIOD_US;
    KEY_COUNT + period * HOT_KEY_COUNT + rank
}

fn pick_cost(is_straggler: bool, random: &mut SplitMix) -> u64 {
    if is_straggler {
        let (low, high) = STRAGGLER_FACTORS;
        return (MEAN_COST_US * (low + (high - low) * random_unit(random))) as u64;
    }
    // Half constant and half exponential, like a lookup of variable depth.
    (MEAN_SHORT_COST_US * (0.5 - 0.5 * random_unit(random).ln())) as u64
}
