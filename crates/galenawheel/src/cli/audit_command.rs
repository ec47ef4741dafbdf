use clap::ArgMatches;
use gw_daemon::operators::AuditEntry;
use gw_daemon::operators::AuditEntryEvent;
use gw_daemon::operators::AuditReport;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::console::Console;
use super::operator_client::OperatorClient;
use super::wall_time::format_wall_time;
use super::wall_time::parse_wall_time;

/// Filters with any string as value.
const TEXT_FILTERS: [&str; 4] = ["service", "key", "target", "profile"];
/// Filters with a number as value.
const NUMBER_FILTERS: [&str; 3] = ["slot", "before", "limit"];
/// Filters with a time as value.
const TIME_FILTERS: [&str; 2] = ["from", "until"];

/// Prints a page of the audit trail.
pub(super) async fn run(
    matches: &ArgMatches,
    client: &OperatorClient,
    console: &mut Console<'_>,
) -> CommandResult {
    let path = format!("/v1/audit?{}", query(matches)?);
    let page: AuditReport = console.wait_with_progress("an answer", client.get(&path)).await?;
    console.report(&page, || {
        let mut lines: Vec<_> = page.records.iter().map(entry_line).collect();
        lines.extend(page.next.map(|next| format!("older records: --before {next}")));
        lines
    });
    Ok(ExitStatus::Success)
}

/// Returns the query string for the given filters.
fn query(matches: &ArgMatches) -> Result<String, CommandError> {
    let mut parameters = Vec::new();
    for name in TEXT_FILTERS {
        let value = matches.get_one::<String>(name);
        parameters.extend(value.map(|value| format!("{name}={}", percent_encode(value))));
    }
    for name in NUMBER_FILTERS {
        parameters.extend(matches.get_one::<u64>(name).map(|value| format!("{name}={value}")));
    }
    for name in TIME_FILTERS {
        if let Some(value) = matches.get_one::<String>(name) {
            let to_error = |reason| CommandError::Usage(format!("--{name}: {reason}"));
            parameters.push(format!("{name}={}", parse_wall_time(value).map_err(to_error)?));
        }
    }
    Ok(parameters.join("&"))
}

/// Percent-encodes all but the unreserved characters (RFC 3986, section 2.3).
fn percent_encode(text: &str) -> String {
    let is_unreserved =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~');
    let encoded = text.bytes().map(|byte| match is_unreserved(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    encoded.collect()
}

fn entry_line(entry: &AuditEntry) -> String {
    let prefix = format!("{} #{}", format_wall_time(entry.at_ms), entry.sequence);
    match &entry.event {
        AuditEntryEvent::Profile { profile, operator, base, change_id, result } => format!(
            "{prefix} profile {profile}: {operator}, base {base}, change {change_id}: {result}"
        ),
        AuditEntryEvent::Move { zone, service, scope, from, to, token, cause } => {
            let name = |target: &Option<String>| target.clone().unwrap_or("nobody".to_owned());
            let cause = serde_json::to_value(cause).unwrap_or_default();
            let cause = cause.as_str().unwrap_or_default().replace('_', " ");
            format!(
                "{prefix} move {service} {scope}: {} -> {}, token {token}, {cause}, zone {zone}",
                name(from),
                name(to),
            )
        }
    }
}
