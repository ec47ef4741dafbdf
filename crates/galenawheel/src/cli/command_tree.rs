use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::ValueParser;
use clap::value_parser;
use clap_complete::Shell;

/// Default of `--timeout` in seconds. At the supported system size a change is in force within 6 s,
/// plus the duration of an election.
const DEFAULT_TIMEOUT_S: &str = "10";

/// Help text about the exit codes.
const EXIT_CODES: &str = "Exit codes:
  0  done; for a profile change: accepted and in force everywhere
  1  another failure
  2  wrong usage or settings
  3  accepted, but not confirmed by every host in time
  4  refused: conflict or invalid profile
  5  outcome not known; resend with the change id that is printed";

/// Returns the commands and arguments of the command line.
pub fn command() -> Command {
    Command::new("galenawheel")
        .about("Controls a galenawheel system through profiles, and shows its state")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(format!(
            "{EXIT_CODES}\n\n{}",
            examples(&["galenawheel status --host 10.0.0.1:7402 --token-file operators.token"]),
        ))
        .args(client_arguments())
        .subcommand(profile_command())
        .subcommand(status_command())
        .subcommand(audit_command())
        .subcommand(evacuations_command())
        .subcommand(settings_command())
        .subcommand(replay_command())
        .subcommand(story_command())
        .subcommand(completions_command())
}

fn examples(lines: &[&str]) -> String {
    let lines: Vec<_> = lines.iter().map(|line| format!("  {line}")).collect();
    format!("Examples:\n{}", lines.join("\n"))
}

/// Returns the arguments that all commands accept.
fn client_arguments() -> [Arg; 4] {
    [
        Arg::new("host")
            .long("host")
            .value_name("ADDRESS")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Operators' listener of a host; repeat it for more hosts to try in turn"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("File with the operators' token; only its owner may have access (mode 0600)"),
        Arg::new("format")
            .long("format")
            .value_name("FORMAT")
            .global(true)
            .value_parser(["text", "json"])
            .default_value("text")
            .help("Output format of results"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .global(true)
            .value_parser(value_parser!(u64).range(1..=3_600))
            .default_value(DEFAULT_TIMEOUT_S)
            .help("Maximum time for the whole command"),
    ]
}

/// Returns an optional argument `--name VALUE`.
fn option(name: &'static str, value: &'static str, parser: impl Into<ValueParser>) -> Arg {
    Arg::new(name).long(name).value_name(value).value_parser(parser.into())
}

/// Returns a required positional argument.
fn required(name: &'static str, value: &'static str, parser: impl Into<ValueParser>) -> Arg {
    Arg::new(name).value_name(value).required(true).value_parser(parser.into())
}

fn text() -> ValueParser {
    value_parser!(String)
}

fn path() -> ValueParser {
    value_parser!(PathBuf)
}

fn number() -> ValueParser {
    value_parser!(u64).into()
}

fn profile_command() -> Command {
    Command::new("profile")
        .about("Shows and changes profiles")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(examples(&["galenawheel profile list --host 10.0.0.1:7402 --token-file t"]))
        .subcommand(apply_command())
        .subcommand(show_command())
        .subcommand(
            Command::new("list")
                .about("Lists all profiles with their revisions and services")
                .after_help(examples(&["galenawheel profile list --format json"])),
        )
        .subcommand(diff_command())
        .subcommand(
            Command::new("history")
                .about("Lists the stored revisions of a profile, newest first, with their changes")
                .after_help(examples(&["galenawheel profile history slipwerk"]))
                .arg(required("name", "NAME", text()).help("The profile")),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Applies a profile file and waits until it is in force in every zone")
        .long_about(
            "Applies a profile file and waits until it is in force in every zone. Name a host of \
             each zone with --host: a host knows the members of its own zone, and of other zones \
             only the zone leader and the control hosts.",
        )
        .after_help(format!(
            "{}\n\n{EXIT_CODES}",
            examples(&[
                "galenawheel profile apply slipwerk.toml --operator alva",
                "galenawheel profile apply slipwerk.toml --base 4 --timeout 30",
                "galenawheel profile apply slipwerk.toml --base 4 --change-id 5f0c9d",
            ]),
        ))
        .arg(required("file", "FILE", path()).help("The profile, in TOML"))
        .arg(
            option("base", "REVISION", number())
                .help("Revision that the change is based on; the one in force if not given"),
        )
        .arg(option("change-id", "ID", text()).help(
            "Id of the change; repeat it to get the outcome of a change whose answer was lost",
        ))
        .arg(option("operator", "NAME", text()).help(
            "Name of the operator who makes the change; the environment variable USER if not given",
        ))
}

fn show_command() -> Command {
    Command::new("show")
        .about("Prints a profile as TOML")
        .after_help(examples(&[
            "galenawheel profile show slipwerk",
            "galenawheel profile show slipwerk --revision 3",
        ]))
        .arg(required("name", "NAME", text()).help("The profile"))
        .arg(
            option("revision", "REVISION", number())
                .help("A stored revision; 0 is the shipped profile"),
        )
}

fn diff_command() -> Command {
    Command::new("diff")
        .about("Prints the fields that differ between two profiles")
        .long_about(
            "Prints the fields that differ between two profiles. Each is a FILE (with '/' or the \
             ending .toml), a NAME, or NAME@REVISION. A single file is compared with the revision \
             in force.",
        )
        .after_help(examples(&[
            "galenawheel profile diff slipwerk.toml",
            "galenawheel profile diff slipwerk@3 slipwerk@4",
            "galenawheel profile diff old.toml new.toml",
        ]))
        .arg(required("from", "FROM", text()).help("The first profile"))
        .arg(Arg::new("to").value_name("TO").value_parser(text()).help("The second profile"))
}

fn status_command() -> Command {
    Command::new("status")
        .about("Shows hosts, zones, targets and the slots without a reachable owner")
        .after_help(examples(&["galenawheel status --host 10.0.0.1:7402 --host 10.0.0.2:7402"]))
}

fn audit_command() -> Command {
    let time = "TIME";
    Command::new("audit")
        .about("Shows profile changes and ownership moves, newest first")
        .after_help(examples(&[
            "galenawheel audit --profile slipwerk --limit 10",
            "galenawheel audit --service slipreader --slot 4711",
            "galenawheel audit --from 2026-12-01T00:00:00Z --before 812",
        ]))
        .arg(option("from", time, text()).help("Not earlier than this, in UTC"))
        .arg(option("until", time, text()).help("Earlier than this, in UTC"))
        .arg(option("service", "NAME", text()).help("Moves of this service"))
        .arg(option("key", "KEY", text()).help("Moves of this key, by itself or with its slot"))
        .arg(option("slot", "SLOT", value_parser!(u64).range(0..16_384)).help("Moves of this slot"))
        .arg(option("target", "NAME", text()).help("Moves from or to this target"))
        .arg(option("profile", "NAME", text()).help("Changes of this profile"))
        .arg(option("before", "SEQUENCE", number()).help("Records older than this one"))
        .arg(
            option("limit", "COUNT", value_parser!(u64).range(1..=1_000))
                .help("Maximum number of records; 100 if not given"),
        )
}

fn evacuations_command() -> Command {
    Command::new("evacuations")
        .about("Lists the evacuated zones, as a control host on the users' platform knows them")
        .long_about(
            "Lists the evacuated zones, as a control host on the users' platform knows them. Name \
             the address for control calls with --host, several to try in turn. No token is needed.",
        )
        .after_help(examples(&[
            "galenawheel evacuations --host 10.0.0.1:8544",
            "galenawheel evacuations --host 10.0.0.1:8544 --format json",
        ]))
}

fn settings_command() -> Command {
    Command::new("settings")
        .about("Checks or writes settings of hosts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(examples(&["galenawheel settings check host.toml"]))
        .subcommand(
            Command::new("check")
                .about("Prints each error of a settings file on one line: file, field, reason")
                .after_help(examples(&["galenawheel settings check /etc/galenawheel/host.toml"]))
                .arg(required("file", "FILE", path()).help("The settings file")),
        )
        .subcommand(
            Command::new("generate")
                .about("Writes settings and new keys for an example layout on loopback ports")
                .after_help(examples(&[
                    "galenawheel settings generate single demo",
                    "galenawheel settings generate slipwerk demo --base-port 7600",
                ]))
                .arg(required("layout", "LAYOUT", ["single", "slipwerk", "ullvav"]).help("Layout"))
                .arg(required("folder", "FOLDER", path()).help("An empty or new folder"))
                .arg(
                    option("base-port", "PORT", value_parser!(u16).range(1..))
                        .default_value("7400")
                        .help("First port; each host uses ten"),
                ),
        )
}

fn replay_command() -> Command {
    Command::new("replay")
        .about("Simulates a recorded trace under a profile and baselines, in virtual time")
        .long_about(
            "Simulates a recorded trace under a profile and baselines, in virtual time. The \
             trace is CSV with the columns time_us, zone, service, key, kind, cost_us.",
        )
        .after_help(examples(&[
            "galenawheel replay trace.csv --layout slipwerk",
            "galenawheel replay trace.csv --layout ullvav --profile ullvav.toml --seed 7",
        ]))
        .arg(required("trace", "TRACE", path()).help("The trace"))
        .arg(
            option("layout", "LAYOUT", ["slipwerk", "ullvav"])
                .required(true)
                .help("Zones, hosts and services"),
        )
        .arg(option("profile", "FILE", path()).help("Profile; the shipped one if not given"))
        .arg(option("seed", "NUMBER", number()).default_value("1").help("Random seed"))
}

fn story_command() -> Command {
    Command::new("story")
        .about(
            "Prints the log lines about one request, and the events that may explain its outcome",
        )
        .after_help(examples(&["galenawheel story 9c41d07be2a35f68 edge-*.log core-*.log"]))
        .arg(required("id", "ID", value_parser!(String)).help("Id of the request"))
        .arg(
            required("log", "FILE", path())
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Log files, each named after its host"),
        )
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .after_help(examples(&["galenawheel completions bash > galenawheel.bash"]))
        .arg(required("shell", "SHELL", value_parser!(Shell)).help("The shell"))
}
