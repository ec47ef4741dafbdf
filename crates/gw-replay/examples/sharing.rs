//! Compares strategies of load reports with the same byte budget, and numbers of compared
//! candidates, on generated traces of both users.

use std::time::Duration;

use gw_profile::Profile;
use gw_replay::ReplayOptions;
use gw_replay::ReplayVariant;
use gw_replay::Scenario;
use gw_replay::TraceShape;
use gw_replay::generate;
use gw_replay::load_report_variants;
use gw_replay::outcome_table;
use gw_replay::replay;
use gw_types::ProfileName;

/// Interval of periodic reports, at which each entry host sends about 3 KB/s.
const INTERVAL: Duration = Duration::from_millis(400);

fn main() {
    let profile = Profile::with_defaults(ProfileName::new("default").expect("valid name"));
    for shape in [TraceShape::DAY, TraceShape::PEAK] {
        for scenario in [Scenario::slipwerk(), Scenario::ullvav()] {
            let scenario = scenario.without_faults();
            let trace = generate(&scenario, shape);
            let options = ReplayOptions::default();
            let run = |variant: &ReplayVariant| replay(&scenario, &trace, variant, &options);
            let bytes = |variant: &ReplayVariant| run(variant).report_bytes_a_second;
            let variants = load_report_variants(&profile, INTERVAL, bytes);
            let outcomes: Vec<_> = variants.iter().map(run).collect();
            println!("{}, crest factor {}", scenario.name, shape.peak_factor);
            println!("{}", outcome_table(&outcomes));
        }
    }
}
