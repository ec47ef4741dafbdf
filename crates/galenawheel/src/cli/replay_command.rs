use std::fs::File;
use std::path::PathBuf;

use clap::ArgMatches;
use gw_replay::ReplayOptions;
use gw_replay::ReplayVariant;
use gw_replay::Scenario;
use gw_replay::Trace;
use gw_replay::outcome_table;
use gw_replay::replay;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::console::Console;
use super::profile_source::read_file;

/// Simulates a recorded trace under a profile and the baselines, in virtual time.
pub(super) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let scenario = match matches.get_one::<String>("layout").map_or("", String::as_str) {
        "ullvav" => Scenario::ullvav(),
        _ => Scenario::slipwerk(),
    };
    let profile = match matches.get_one::<PathBuf>("profile") {
        Some(path) => read_file(path)?,
        None => gw_profile::shipped_profile(scenario.name)
            .map(|profile| (*profile).clone())
            .ok_or_else(|| CommandError::Usage("--profile is required".to_owned()))?,
    };
    let path = matches.get_one::<PathBuf>("trace").cloned().unwrap_or_default();
    let to_error = |error: &dyn std::fmt::Display| {
        CommandError::Usage(format!("cannot read {}: {error}", path.display()))
    };
    let file = File::open(&path).map_err(|error| to_error(&error))?;
    let trace = Trace::read(file).map_err(|error| to_error(&error))?;
    let options = ReplayOptions {
        seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
        ..ReplayOptions::default()
    };
    let variants = ReplayVariant::with_baselines(&profile);
    let outcomes = variants.iter().map(|variant| replay(&scenario, &trace, variant, &options));
    let outcomes: Vec<_> = outcomes.collect();
    console.report(&outcomes, || outcome_table(&outcomes).lines().map(str::to_owned).collect());
    Ok(ExitStatus::Success)
}
