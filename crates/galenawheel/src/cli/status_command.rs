use gw_daemon::operators::HostReport;
use gw_daemon::operators::KeyReport;
use gw_daemon::operators::StatusReport;
use gw_daemon::operators::TargetReport;
use gw_daemon::operators::ZoneReport;
use gw_types::TargetState;

use super::CommandResult;
use super::ExitStatus;
use super::console::Console;
use super::operator_client::OperatorClient;

/// Prints the state of the system as the first host that answers knows it.
pub(super) async fn run(client: &OperatorClient, console: &mut Console<'_>) -> CommandResult {
    let status: StatusReport =
        console.wait_with_progress("an answer", client.get("/v1/status")).await?;
    console.report(&status, || status_lines(&status));
    Ok(ExitStatus::Success)
}

fn status_lines(status: &StatusReport) -> Vec<String> {
    let leader = status.control_leader.as_ref().map_or("unknown", |leader| leader.as_str());
    let ready = if status.is_ready { "ready" } else { "not ready" };
    let mut lines = vec![format!(
        "seen by host {} ({ready}): control index {}, control leader {leader}",
        status.host, status.control_index,
    )];
    let mut zones: Vec<_> = status.hosts.iter().map(|host| &host.zone).collect();
    zones.sort();
    zones.dedup();
    for zone in zones {
        let report = status.zones.iter().find(|report| report.zone == *zone);
        lines.push(format!("zone {zone}: {}", report.map_or("no table yet".into(), zone_text)));
        let hosts = status.hosts.iter().filter(|host| host.zone == *zone);
        lines.extend(hosts.map(host_line));
        lines.extend(report.iter().flat_map(|report| report.targets.iter().map(target_line)));
    }
    lines.extend(status.keys.iter().map(key_line));
    lines
}

fn zone_text(zone: &ZoneReport) -> String {
    let leader = zone.leader.as_ref().map_or("none", |leader| leader.as_str());
    let table = format!("leader {leader}, table version {}.{}", zone.table_term, zone.table_number);
    match zone.unreachable_ms {
        Some(unreachable_ms) => {
            format!("{table}, no heartbeat for {}", format_seconds(unreachable_ms))
        }
        None => table,
    }
}

fn host_line(host: &HostReport) -> String {
    let state = match (host.unreachable_ms, host.is_ready) {
        (Some(unreachable_ms), _) => {
            format!("cannot be reached for {}", format_seconds(unreachable_ms))
        }
        (None, Some(true)) => "ready".to_owned(),
        (None, Some(false)) => "not ready".to_owned(),
        (None, None) => "not heard by this host".to_owned(),
    };
    format!("  host {}: {state}", host.host)
}

fn target_line(target: &TargetReport) -> String {
    let state = match target.state {
        TargetState::Starting => "starting",
        TargetState::Serving => "serving",
        TargetState::Draining => "draining",
        TargetState::Lost => "lost",
    };
    let dispatcher = target.dispatcher.as_ref().map_or("none", |host| host.as_str());
    format!(
        "  target {} of {}: {state}, {} slots, {} hot keys, dispatcher {dispatcher}",
        target.target, target.service, target.slots, target.keys,
    )
}

fn key_line(keys: &KeyReport) -> String {
    let KeyReport { service, slots, unreachable_slots, .. } = keys;
    if *unreachable_slots == 0 {
        return format!("service {service}: all {slots} slots have a reachable owner");
    }
    let causes = [
        (keys.without_owner, "without owner"),
        (keys.owner_lost, "owner lost"),
        (keys.without_dispatcher, "without dispatcher"),
        (keys.dispatcher_unreachable, "dispatcher not reachable"),
    ];
    let causes = causes.iter().filter(|(count, _)| *count > 0);
    let causes: Vec<_> = causes.map(|(count, cause)| format!("{count} {cause}")).collect();
    format!(
        "service {service}: {unreachable_slots} of {slots} slots have no reachable owner ({}); \
         a lost zone's slots move after its zone_hold of {}",
        causes.join(", "),
        format_seconds(u64::from(keys.zone_hold_ms)),
    )
}

fn format_seconds(millis: u64) -> String {
    format!("{}.{} s", millis / 1_000, millis % 1_000 / 100)
}
