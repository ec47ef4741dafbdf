//! Command line of the capacity benchmarks.
#![forbid(unsafe_code)]

use std::error::Error;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use gw_capacity::Cluster;
use gw_capacity::ClusterLayout;
use gw_capacity::HostRole;
use gw_capacity::MeasureOptions;
use gw_capacity::MeasuredValue;
use gw_capacity::QuantityFit;
use gw_capacity::SizeAxis;
use gw_capacity::dispatch_costs;
use gw_capacity::fit_values;
use gw_capacity::journal_costs;
use gw_capacity::measure_layout;
use gw_capacity::measured_values;
use gw_capacity::run_until_quiet;
use gw_capacity::table_costs;
use gw_capacity::time_to_replace_host;
use gw_capacity::write_fits;
use gw_capacity::write_table;
use gw_capacity::write_values;

/// Number of entry hosts in the sweeps over targets and slots.
const FIXED_HOSTS: usize = 24;
/// Numbers of targets in the zone tables that `parts` measures.
const TABLE_TARGETS: [usize; 3] = [8, 80, 600];
/// Maximum virtual time to wait for a quiet control log.
const SETTLE_LIMIT: Duration = Duration::from_secs(400);
/// Maximum virtual time to wait until the targets of a lost host have other dispatchers.
const LOSS_LIMIT: Duration = Duration::from_secs(20);
/// Payload sizes of journal entries: a small command, and tables of 10 and 337 targets.
const JOURNAL_BYTES: [usize; 3] = [256, 1_024, 16_384];

fn main() -> Result<(), Box<dyn Error>> {
    match command().get_matches().subcommand() {
        Some(("slopes", arguments)) => slopes(arguments),
        Some(("parts", arguments)) => parts(arguments),
        Some(("losses", arguments)) => losses(arguments),
        _ => Ok(()),
    }
}

fn command() -> Command {
    let seed = Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64));
    let out = Arg::new("out").long("out").required(true).value_parser(value_parser!(PathBuf));
    let numbers = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_delimiter(',')
            .value_parser(value_parser!(usize))
    };
    let slopes = Command::new("slopes")
        .about("Measures clusters of several sizes and fits lines")
        .arg(numbers("hosts", "8,24,80,200").help("Entry hosts, with 30 targets for each 8"))
        .arg(numbers("zones", "3,7").help("Availability zones"))
        .arg(numbers("targets", "30,90,180,360").help("Targets at 24 hosts and 3 zones"))
        .arg(numbers("services", "1,2,4").help("Keyed services at 24 hosts and 3 zones"))
        .arg(
            Arg::new("steady")
                .long("steady-only")
                .action(ArgAction::SetTrue)
                .help("Leaves out event costs and propagation times"),
        )
        .arg(seed.clone())
        .arg(out.clone().help("Folder for the CSV files"));
    let parts = Command::new("parts")
        .about("Measures zone tables, routes, records and the journal outside of a cluster")
        .arg(out.help("Folder for parts.csv and for a temporary journal"));
    let losses = Command::new("losses")
        .about("Measures the time until the targets of a lost host have another dispatcher")
        .arg(numbers("hosts", "8,24,80").help("Entry hosts; 8 embed the replicas"))
        .arg(numbers("seeds", "1,2,3").help("One trial for each seed"));
    let tool = Command::new("gw-capacity").subcommand_required(true);
    tool.subcommand(slopes).subcommand(parts).subcommand(losses)
}

fn numbers(arguments: &ArgMatches, name: &str) -> Vec<usize> {
    arguments.get_many(name).map(|all| all.copied().collect()).unwrap_or_default()
}

fn slopes(arguments: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let seed = arguments.get_one("seed").copied().unwrap_or(1);
    let with_events = !arguments.get_flag("steady");
    let options = MeasureOptions { seed, with_events, ..MeasureOptions::default() };
    let mut values = Vec::new();
    let mut fits = Vec::new();
    let hosts = numbers(arguments, "hosts");
    for zones in numbers(arguments, "zones") {
        values.extend(measure(ClusterLayout::deployed(zones), &options)?);
        let layouts = hosts.iter().map(|hosts| ClusterLayout::proportional(*hosts, zones));
        sweep(SizeAxis::Hosts, layouts, &options, &mut values, &mut fits)?;
    }
    let base = ClusterLayout::proportional(FIXED_HOSTS, 3);
    let steady = MeasureOptions { with_events: false, ..options };
    let targets = numbers(arguments, "targets");
    let layouts = targets.iter().map(|targets| ClusterLayout { targets: *targets, ..base });
    sweep(SizeAxis::Targets, layouts, &steady, &mut values, &mut fits)?;
    let services = numbers(arguments, "services");
    let layouts =
        services.iter().map(|services| ClusterLayout { keyed_services: *services, ..base });
    sweep(SizeAxis::Slots, layouts, &steady, &mut values, &mut fits)?;
    let folder: &PathBuf = arguments.get_one("out").ok_or("no folder")?;
    save(folder, &values, &fits)
}

fn sweep(
    axis: SizeAxis,
    layouts: impl Iterator<Item = ClusterLayout>,
    options: &MeasureOptions,
    values: &mut Vec<MeasuredValue>,
    fits: &mut Vec<QuantityFit>,
) -> Result<(), Box<dyn Error>> {
    let mut measured = Vec::new();
    for layout in layouts {
        measured.extend(measure(layout, options)?);
    }
    fits.extend(fit_values(axis, &measured));
    values.extend(measured);
    Ok(())
}

fn measure(
    layout: ClusterLayout,
    options: &MeasureOptions,
) -> Result<Vec<MeasuredValue>, Box<dyn Error>> {
    let measurement = measure_layout(layout, options);
    write_table(io::stdout().lock(), &measurement)?;
    Ok(measured_values(&measurement))
}

fn save(
    folder: &Path,
    values: &[MeasuredValue],
    fits: &[QuantityFit],
) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    write_values(File::create(folder.join("values.csv"))?, values)?;
    write_fits(File::create(folder.join("fits.csv"))?, fits)?;
    Ok(())
}

fn losses(arguments: &ArgMatches) -> Result<(), Box<dyn Error>> {
    for hosts in numbers(arguments, "hosts") {
        let layout = match hosts {
            8 => ClusterLayout::deployed(3),
            _ => ClusterLayout::proportional(hosts, 3),
        };
        for role in HostRole::ALL {
            for seed in numbers(arguments, "seeds") {
                let mut cluster = Cluster::new(layout, seed as u64);
                cluster.run(Duration::from_secs(35));
                run_until_quiet(&mut cluster, SETTLE_LIMIT);
                let time = time_to_replace_host(&mut cluster, role, LOSS_LIMIT);
                println!("hosts={hosts} role={role} seed={seed} time={time:?}");
            }
        }
    }
    Ok(())
}

fn parts(arguments: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let folder: &PathBuf = arguments.get_one("out").ok_or("no folder")?;
    std::fs::create_dir_all(folder)?;
    let mut costs = Vec::new();
    for targets in TABLE_TARGETS {
        costs.extend(table_costs(targets));
    }
    costs.extend(dispatch_costs());
    for bytes in JOURNAL_BYTES {
        costs.extend(journal_costs(folder, bytes)?);
    }
    let mut writer = csv::Writer::from_path(folder.join("parts.csv"))?;
    writer.write_record(["quantity", "size", "value"])?;
    for cost in &costs {
        let value = format!("{:.1}", cost.value);
        println!("{:<30} {:>8} {:>12}", cost.quantity, cost.size, value);
        writer.write_record([cost.quantity.clone(), cost.size.to_string(), value])?;
    }
    writer.flush()?;
    Ok(())
}
