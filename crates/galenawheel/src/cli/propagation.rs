use std::time::Duration;

use gw_daemon::operators::HostInForce;
use gw_daemon::operators::InForceReport;
use gw_daemon::operators::ZoneInForce;
use serde::Serialize;
use tokio::time::Instant;

use super::ExitStatus;
use super::console::Console;
use super::operator_client::OperatorClient;

/// Pause after every host was asked once.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call to one host, so that a host that hangs does not delay the others.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// A change that is committed in the control log.
pub(super) struct AcceptedChange {
    pub(super) profile: String,
    pub(super) revision: u64,
    pub(super) change_id: String,
    /// Index in the control log; absent if no host reported it in time.
    pub(super) index: Option<u64>,
}

/// Result of `profile apply`, for `--format json`.
#[derive(Serialize)]
struct ApplyResult<'a> {
    outcome: &'static str,
    profile: &'a str,
    revision: u64,
    change_id: &'a str,
    index: Option<u64>,
    in_force_everywhere: bool,
    zones: Vec<ZoneResult<'a>>,
}

#[derive(Serialize)]
struct ZoneResult<'a> {
    zone: &'a str,
    in_force: bool,
    /// Hosts that have not confirmed that they have applied the change.
    unconfirmed: Vec<&'a HostInForce>,
}

/// Asks the hosts until every host of every zone has applied the change or the time is over, and
/// prints the result.
pub(super) async fn wait_in_force(
    client: &OperatorClient,
    change: AcceptedChange,
    console: &mut Console<'_>,
) -> ExitStatus {
    let report = match change.index {
        Some(index) => poll(client, index, console).await,
        None => None,
    };
    let is_everywhere = report.as_ref().is_some_and(InForceReport::is_everywhere);
    let result = ApplyResult {
        outcome: "accepted",
        profile: &change.profile,
        revision: change.revision,
        change_id: &change.change_id,
        index: change.index,
        in_force_everywhere: is_everywhere,
        zones: report.iter().flat_map(zone_results).collect(),
    };
    console.report(&result, || result_lines(&result, report.as_ref()));
    if is_everywhere { ExitStatus::Success } else { ExitStatus::Unconfirmed }
}

/// Returns the merged reports of all hosts; absent if none answered.
async fn poll(
    client: &OperatorClient,
    index: u64,
    console: &mut Console<'_>,
) -> Option<InForceReport> {
    let mut merged: Option<InForceReport> = None;
    let mut next_progress_at = Instant::now() + PROGRESS_INTERVAL;
    loop {
        for host in &client.hosts {
            let path = format!("/v1/in-force?index={index}");
            let timeout = HOST_TIMEOUT.min(client.remaining());
            if let Ok(report) = client.get_from::<InForceReport>(*host, &path, timeout).await {
                match &mut merged {
                    Some(merged) => merged.merge(&report),
                    None => merged = Some(report),
                }
            }
            if merged.as_ref().is_some_and(InForceReport::is_everywhere) {
                return merged;
            }
        }
        if client.remaining().is_zero() {
            return merged;
        }
        if Instant::now() >= next_progress_at {
            next_progress_at += PROGRESS_INTERVAL;
            console.err_line(&progress_text(client, merged.as_ref()));
        }
        tokio::time::sleep(POLL_INTERVAL.min(client.remaining())).await;
    }
}

fn progress_text(client: &OperatorClient, report: Option<&InForceReport>) -> String {
    let left = client.remaining().as_secs();
    let Some(report) = report else {
        return format!("accepted; no host answers yet; waiting for up to {left} s more");
    };
    let missing = report.zones.iter().filter(|zone| !zone.is_confirmed(report.index));
    let missing: Vec<_> = missing.map(|zone| zone.zone.as_str()).collect();
    format!("accepted; not confirmed in {}; waiting for up to {left} s more", missing.join(", "))
}

fn zone_results(report: &InForceReport) -> Vec<ZoneResult<'_>> {
    let results = report.zones.iter().map(|zone| ZoneResult {
        zone: &zone.zone,
        in_force: zone.is_confirmed(report.index),
        unconfirmed: zone.hosts.iter().filter(|host| !host.has_applied(report.index)).collect(),
    });
    results.collect()
}

fn result_lines(result: &ApplyResult<'_>, report: Option<&InForceReport>) -> Vec<String> {
    let index = result.index.map_or("unknown".to_owned(), |index| index.to_string());
    let mut lines = vec![format!(
        "profile {}: revision {} accepted, change {}, control index {index}",
        result.profile, result.revision, result.change_id,
    )];
    match report {
        Some(report) => lines.extend(report.zones.iter().map(|zone| zone_line(zone, report.index))),
        None => lines.push("no host reported the zones in which it is in force".to_owned()),
    }
    lines
}

fn zone_line(zone: &ZoneInForce, index: u64) -> String {
    let missing = zone.hosts.iter().filter(|host| !host.has_applied(index));
    let missing = missing.map(|host| match host.applied {
        Some(applied) => format!("{} (has applied {applied})", host.host),
        None => format!("{} (state not known to the hosts that were asked)", host.host),
    });
    let missing: Vec<_> = missing.collect();
    if missing.is_empty() {
        return format!("zone {}: in force (hosts: {})", zone.zone, zone.hosts.len());
    }
    format!("zone {}: not confirmed by {}", zone.zone, missing.join(", "))
}
