//! Replays generated traces of both users with the default profile and the baselines, and prints
//! the results.
//!
//! Optional arguments: the deadline in milliseconds and the queue limit in requests.

use gw_profile::Profile;
use gw_replay::ReplayOptions;
use gw_replay::ReplayVariant;
use gw_replay::Scenario;
use gw_replay::TraceShape;
use gw_replay::generate;
use gw_replay::outcome_table;
use gw_replay::replay;
use gw_types::ProfileName;

fn main() {
    let mut profile = Profile::with_defaults(ProfileName::new("default").expect("valid name"));
    if let Some(deadline_ms) = std::env::args().nth(1) {
        profile.refuse.deadline_ms = deadline_ms.parse().expect("a deadline in milliseconds");
    }
    if let Some(queue_limit) = std::env::args().nth(2) {
        profile.refuse.queue_limit = queue_limit.parse().expect("a number of requests");
    }
    for (shape_name, shape) in [("day", TraceShape::DAY), ("crest", TraceShape::PEAK)] {
        for scenario in [Scenario::slipwerk(), Scenario::ullvav()] {
            let is_day = shape_name == "day";
            let scenario = if is_day { scenario.without_faults() } else { scenario };
            let trace = generate(&scenario, shape);
            let variants = ReplayVariant::with_baselines(&profile);
            let outcomes = variants
                .iter()
                .map(|variant| replay(&scenario, &trace, variant, &ReplayOptions::default()));
            let outcomes: Vec<_> = outcomes.collect();
            println!("{} {shape_name}: {} requests", scenario.name, trace.entries().len());
            println!("{}", outcome_table(&outcomes));
        }
    }
}
