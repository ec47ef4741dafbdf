//! Replays of generated traces of both users against their objectives, with and without faults.

use gw_profile::Profile;
use gw_replay::Outcome;
use gw_replay::ReplayOptions;
use gw_replay::ReplayVariant;
use gw_replay::Scenario;
use gw_replay::TraceShape;
use gw_replay::generate;
use gw_replay::outcome_csv;
use gw_replay::outcome_table;
use gw_replay::replay;
use gw_types::ProfileName;

/// Objective for the share of requests answered within 20 ms beyond service time and network delay.
const WAIT_OBJECTIVE_SHARE: f64 = 0.99;
/// Objective for the time until a key is served again after the loss of its target.
const OUTAGE_OBJECTIVE_MS: u64 = 3_000;

fn profile() -> Profile {
    Profile::with_defaults(ProfileName::new("default").unwrap())
}

fn run(scenario: &Scenario, shape: TraceShape) -> Outcome {
    let trace = generate(scenario, shape);
    let variant = ReplayVariant::of_profile(&profile());
    replay(scenario, &trace, &variant, &ReplayOptions::default())
}

/// At ordinary load, more than 1% of requests must not wait for longer than the objective, and no
/// write may run twice.
#[test]
fn ordinary_load_meets_the_wait_objective() {
    for scenario in [Scenario::slipwerk(), Scenario::ullvav()] {
        let scenario = scenario.without_faults();
        let outcome = run(&scenario, TraceShape::DAY);
        assert!(outcome.within_stated >= WAIT_OBJECTIVE_SHARE, "{}: {outcome:?}", scenario.name);
        assert_eq!(outcome.write_runs_max, 1, "{}", scenario.name);
    }
}

/// Guards against keys that stay without owner after the loss or freeze of their target, and
/// against writes that run twice because their caller resends them.
#[test]
fn faults_at_peak_load_meet_the_outage_objective() {
    for scenario in [Scenario::slipwerk(), Scenario::ullvav()] {
        let outcome = run(&scenario, TraceShape::PEAK);
        let outage_ms = outcome.unreachable_ms.expect("lost slots are served again");
        assert!(outage_ms <= OUTAGE_OBJECTIVE_MS, "{}: {outage_ms} ms", scenario.name);
        assert_eq!(outcome.write_runs_max, 1, "{}", scenario.name);
        assert!(outcome.unknown > 0.0, "{}: the faults had no effect", scenario.name);
        let retry_budget = profile().refuse.retry_budget;
        assert!(outcome.amplification <= 1.0 + retry_budget, "{}", scenario.name);
    }
}

/// Guards against results that differ between runs of the same seed, and against missing baselines.
#[test]
fn replay_is_repeatable_and_compares_baselines() {
    let scenario = Scenario::ullvav();
    let shape = TraceShape { seconds: 2, ..TraceShape::DAY };
    let trace = generate(&scenario, shape);
    assert_eq!(trace, generate(&scenario, shape));
    let run_all = || -> Vec<Outcome> {
        let variants = ReplayVariant::with_baselines(&profile());
        let options = ReplayOptions::default();
        variants.iter().map(|variant| replay(&scenario, &trace, variant, &options)).collect()
    };
    let outcomes = run_all();
    assert_eq!(outcomes, run_all());
    assert_eq!(outcome_csv(&outcomes).unwrap().lines().count(), 1 + outcomes.len());
    let table = outcome_table(&outcomes);
    for name in ["profile", "round-robin", "random", "first-in-first-out", "no-moves", "direct"] {
        assert!(table.contains(name), "{name} is missing");
    }
}
