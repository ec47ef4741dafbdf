use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use super::CommandResult;
use super::ExitStatus;
use super::console::Console;
use super::operator_client::OperatorClient;
use super::wall_time::format_wall_time;

/// The evacuated zones, as a control host lists them.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EvacuationsReport {
    /// Sorted by zone.
    evacuations: Vec<EvacuationReport>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct EvacuationReport {
    zone: ZoneName,
    /// When the evacuation was requested, by the clock of the control leader at that time.
    since_unix_ms: u64,
}

/// Prints the zones whose targets are to get no requests.
pub(super) async fn run(client: &OperatorClient, console: &mut Console<'_>) -> CommandResult {
    let report: EvacuationsReport =
        console.wait_with_progress("an answer", client.get("/evacuations")).await?;
    console.report(&report, || lines(&report));
    Ok(ExitStatus::Success)
}

fn lines(report: &EvacuationsReport) -> Vec<String> {
    if report.evacuations.is_empty() {
        return vec!["no zone is evacuated".to_owned()];
    }
    let line = |evacuation: &EvacuationReport| {
        let since = format_wall_time(evacuation.since_unix_ms);
        format!("zone {}: evacuated since {since}", evacuation.zone)
    };
    report.evacuations.iter().map(line).collect()
}
