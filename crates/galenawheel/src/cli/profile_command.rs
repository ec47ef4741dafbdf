use clap::ArgMatches;
use gw_daemon::operators::ChangeReport;
use gw_daemon::operators::HistoryEntry;
use gw_daemon::operators::ProfileSummary;
use gw_profile::Profile;
use serde::Serialize;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::console::Console;
use super::operator_client::OperatorClient;
use super::profile_source::ProfileSource;
use super::profile_source::fetch;
use super::wall_time::format_wall_time;

/// A field that differs between two profiles, for `--format json`.
#[derive(Serialize)]
struct FieldDifference {
    field: String,
    from: String,
    to: String,
}

/// Prints a profile.
pub(super) async fn show(
    matches: &ArgMatches,
    client: &OperatorClient,
    console: &mut Console<'_>,
) -> CommandResult {
    let revision = matches.get_one::<u64>("revision").copied();
    let report = console
        .wait_with_progress("an answer", fetch(client, &profile_name(matches), revision))
        .await?;
    console.report(&report, || {
        let mut lines = vec![format!("# revision {}, {}", report.revision, origin(&report.change))];
        lines.extend(report.text.lines().map(str::to_owned));
        lines
    });
    Ok(ExitStatus::Success)
}

/// Prints all profiles.
pub(super) async fn list(client: &OperatorClient, console: &mut Console<'_>) -> CommandResult {
    let profiles: Vec<ProfileSummary> =
        console.wait_with_progress("an answer", client.get("/v1/profiles")).await?;
    console.report(&profiles, || profiles.iter().map(summary_line).collect());
    Ok(ExitStatus::Success)
}

/// Prints the stored revisions of a profile, newest first.
pub(super) async fn history(
    matches: &ArgMatches,
    client: &OperatorClient,
    console: &mut Console<'_>,
) -> CommandResult {
    let name = profile_name(matches);
    gw_types::ProfileName::new(name.as_str())
        .map_err(|error| CommandError::Usage(error.to_string()))?;
    let path = format!("/v1/profiles/{name}/history");
    let entries: Vec<HistoryEntry> =
        console.wait_with_progress("an answer", client.get(&path)).await?;
    console.report(&entries, || {
        if entries.is_empty() {
            return vec![format!("profile {name} is as shipped")];
        }
        entries.iter().flat_map(history_lines).collect()
    });
    Ok(ExitStatus::Success)
}

/// Prints the fields that differ between two profiles.
pub(super) async fn diff(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let parse_source =
        |name: &str| matches.get_one::<String>(name).map(|text| ProfileSource::parse(text));
    let first = parse_source("from").transpose()?;
    let first = first.ok_or_else(|| CommandError::Usage("a profile is required".to_owned()))?;
    let (from, to) = match (parse_source("to").transpose()?, first) {
        (Some(to), from) => (from, to),
        (None, ProfileSource::File(file)) => {
            let file = ProfileSource::File(file);
            let name = file.load(None).await?.name.to_string();
            (ProfileSource::Hosts { name, revision: None }, file)
        }
        (None, _) => {
            let reason = "a second profile is required unless the first is a file";
            return Err(CommandError::Usage(reason.to_owned()));
        }
    };
    let is_local = [&from, &to].iter().all(|source| matches!(source, ProfileSource::File(_)));
    let client = if is_local { None } else { Some(OperatorClient::from_matches(matches)?) };
    let from = console.wait_with_progress("an answer", from.load(client.as_ref())).await?;
    let to = console.wait_with_progress("an answer", to.load(client.as_ref())).await?;
    print_diff(&from, &to, console);
    Ok(ExitStatus::Success)
}

fn print_diff(from: &Profile, to: &Profile, console: &mut Console<'_>) {
    let changes = gw_profile::diff(from, to);
    let fields = changes.iter().map(|change| FieldDifference {
        field: change.field.clone(),
        from: change.from.clone(),
        to: change.to.clone(),
    });
    console.report(&fields.collect::<Vec<_>>(), || {
        if changes.is_empty() {
            return vec!["no differences".to_owned()];
        }
        changes.iter().map(ToString::to_string).collect()
    });
}

fn profile_name(matches: &ArgMatches) -> String {
    matches.get_one::<String>("name").cloned().unwrap_or_default()
}

/// Describes who made a change and when.
fn origin(change: &Option<ChangeReport>) -> String {
    match change {
        Some(change) => format!("by {} at {}", change.operator, format_wall_time(change.at_ms)),
        None => "as shipped".to_owned(),
    }
}

fn summary_line(profile: &ProfileSummary) -> String {
    let services = match profile.services.len() {
        0 => "no service".to_owned(),
        _ => profile.services.join(", "),
    };
    let ProfileSummary { name, revision, change, .. } = profile;
    format!("{name}: revision {revision}, {}; used by {services}", origin(change))
}

fn history_lines(entry: &HistoryEntry) -> Vec<String> {
    let change = &entry.change;
    let mut lines = vec![format!(
        "revision {} by {} at {}, change {}",
        entry.revision,
        change.operator,
        format_wall_time(change.at_ms),
        change.change_id,
    )];
    lines.extend(entry.changes.iter().flatten().map(|field| format!("  {field}")));
    lines
}
