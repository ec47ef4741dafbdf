use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use gw_control::OperatorName;
use gw_daemon::operators::ApplyReply;
use gw_daemon::operators::ApplyRequest;
use gw_daemon::operators::HistoryEntry;
use gw_profile::ChangeId;
use gw_profile::ProfileFile;
use hyper::Method;

use super::CommandError;
use super::CommandResult;
use super::ExitStatus;
use super::console::Console;
use super::operator_client::CallFailure;
use super::operator_client::HostResponse;
use super::operator_client::OperatorClient;
use super::profile_source::fetch;
use super::profile_source::read_text;
use super::propagation::AcceptedChange;
use super::propagation::wait_in_force;
use super::wall_time::format_wall_time;

/// Pause after every host was tried once.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Result of sending a change to the hosts.
enum SendOutcome {
    /// A host reported the outcome.
    Answered(ApplyReply),
    /// The change may be accepted, but no host reported the outcome. Contains the errors.
    Unknown(String),
    /// No host can have accepted the change. Contains the errors.
    NotAccepted(String),
}

/// Applies a profile file and waits until it is in force.
pub(super) async fn run(matches: &ArgMatches, console: &mut Console<'_>) -> CommandResult {
    let client = OperatorClient::from_matches(matches)?;
    let path = matches.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let (file, text) = read_text(&path)?;
    let name = ProfileFile::parse(&file, &text)?.name.to_string();
    let change_id = change_id(matches)?;
    let operator = operator(matches)?;
    let base = match matches.get_one::<u64>("base") {
        Some(base) => *base,
        None => {
            console
                .wait_with_progress("the revision in force", current_revision(&client, &name))
                .await?
        }
    };
    let request = ApplyRequest { text, file: Some(file), base, change_id, operator };
    match send(&client, &name, &request, console).await {
        SendOutcome::Answered(reply) => finish(&client, name, reply, console).await,
        SendOutcome::Unknown(reason) => {
            let error = format!("the outcome is not known: {reason}");
            let reply = ApplyReply::Unknown { change_id: request.change_id.clone(), error };
            finish(&client, name, reply, console).await
        }
        SendOutcome::NotAccepted(reason) => Err(CommandError::Failed(reason)),
    }
}

/// Returns the change id of the arguments, or a random one.
fn change_id(matches: &ArgMatches) -> Result<String, CommandError> {
    let random_id = || format!("{:032x}", rand::random::<u128>());
    let change_id = matches.get_one::<String>("change-id").cloned().unwrap_or_else(random_id);
    ChangeId::new(change_id.as_str()).map_err(|error| CommandError::Usage(error.to_string()))?;
    Ok(change_id)
}

/// Returns the operator of the arguments, or else the user of the environment.
fn operator(matches: &ArgMatches) -> Result<String, CommandError> {
    let given = matches.get_one::<String>("operator").cloned();
    let operator = given.or_else(|| std::env::var("USER").ok()).unwrap_or_default();
    let check = OperatorName::new(operator.as_str());
    check.map_err(|error| CommandError::Usage(format!("--operator: {error}")))?;
    Ok(operator)
}

/// Returns the revision in force; 0 for a profile that was never changed or does not exist.
async fn current_revision(client: &OperatorClient, name: &str) -> Result<u64, CommandError> {
    match fetch(client, name, None).await {
        Ok(report) => Ok(report.revision),
        Err(CommandError::Client(error)) if error.is_not_found() => Ok(0),
        Err(error) => Err(error),
    }
}

/// Sends the change to the hosts in turn until one reports the outcome or the time is over. All
/// attempts have the same change id, so that the change is accepted at most once.
async fn send(
    client: &OperatorClient,
    name: &str,
    request: &ApplyRequest,
    console: &mut Console<'_>,
) -> SendOutcome {
    let path = format!("/v1/profiles/{name}");
    let body = Bytes::from(serde_json::to_vec(request).unwrap_or_default());
    let mut may_be_accepted = false;
    let mut printed_reasons = Vec::new();
    loop {
        let mut reasons = Vec::new();
        for host in &client.hosts {
            // Half of the remaining time, so that another host can be tried if this one hangs.
            let timeout = client.remaining() / 2;
            let call = client.call(*host, Method::POST, &path, body.clone(), timeout);
            let reason = match console.wait_with_progress("the outcome", call).await {
                Ok(response) => match parse_reply(&response) {
                    Some(ApplyReply::Unknown { error, .. }) => {
                        may_be_accepted = true;
                        format!("{host}: {error}")
                    }
                    Some(reply) => return SendOutcome::Answered(reply),
                    None => {
                        // The host may have proposed the change before it failed.
                        may_be_accepted |= response.status >= 500;
                        format!("{host} answered {}: {}", response.status, response.reason())
                    }
                },
                Err(failure) => {
                    may_be_accepted |= matches!(failure, CallFailure::Lost(..));
                    failure.to_string()
                }
            };
            // Retries usually fail for the same reasons, which are printed only once.
            if !printed_reasons.contains(&reason) {
                console.err_line(&format!("{reason}; change {}", request.change_id));
                printed_reasons.push(reason.clone());
            }
            reasons.push(reason);
            if client.remaining().is_zero() {
                break;
            }
        }
        let reasons = reasons.join("; ");
        if !may_be_accepted {
            return SendOutcome::NotAccepted(reasons);
        }
        tokio::time::sleep(RETRY_PAUSE.min(client.remaining())).await;
        if client.remaining().is_zero() {
            return SendOutcome::Unknown(reasons);
        }
    }
}

/// Returns the outcome of a change; absent if the response refuses the call itself.
fn parse_reply(response: &HostResponse) -> Option<ApplyReply> {
    let reply: ApplyReply = serde_json::from_slice(&response.body).ok()?;
    (reply.status() == response.status).then_some(reply)
}

/// Prints the outcome. Waits first until an accepted change is in force.
async fn finish(
    client: &OperatorClient,
    name: String,
    reply: ApplyReply,
    console: &mut Console<'_>,
) -> CommandResult {
    let status = match &reply {
        ApplyReply::Accepted { change_id, revision, index } => {
            let (change_id, revision) = (change_id.clone(), *revision);
            let index = match index {
                Some(index) => Some(*index),
                None => {
                    let find = find_index(client, &name, revision);
                    console.wait_with_progress("a host that has applied the change", find).await
                }
            };
            let change = AcceptedChange { profile: name, revision, change_id, index };
            return Ok(wait_in_force(client, change, console).await);
        }
        ApplyReply::Conflict { .. } | ApplyReply::Refused { .. } => ExitStatus::Refused,
        ApplyReply::Unknown { .. } => ExitStatus::Unknown,
    };
    console.report(&reply, || vec![reply_text(&name, &reply)]);
    Ok(status)
}

/// Returns the control log index of the change that created `revision`, from the history of any
/// host that has applied it.
async fn find_index(client: &OperatorClient, name: &str, revision: u64) -> Option<u64> {
    while !client.remaining().is_zero() {
        let history: Result<Vec<HistoryEntry>, _> =
            client.get(&format!("/v1/profiles/{name}/history")).await;
        let entries = history.unwrap_or_default();
        if let Some(entry) = entries.iter().find(|entry| entry.revision == revision) {
            return Some(entry.change.index);
        }
        if entries.last().is_some_and(|oldest| oldest.revision > revision) {
            // The history no longer contains the revision. A host that has applied the latest one
            // has applied it too.
            return entries.first().map(|latest| latest.change.index);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    None
}

fn reply_text(name: &str, reply: &ApplyReply) -> String {
    match reply {
        ApplyReply::Conflict { winner, operator, at_ms, change_id, .. } => format!(
            "profile {name}: refused, because {operator} made revision {winner} at {}; \
             change {change_id} was not applied",
            format_wall_time(*at_ms),
        ),
        ApplyReply::Refused { error, change_id } => {
            format!("profile {name}: refused: {error}; change {change_id} was not applied")
        }
        ApplyReply::Unknown { error, change_id } => format!(
            "profile {name}: {error}; the change may be accepted; to get the answer, run the \
             command again with --change-id {change_id} and the same base"
        ),
        ApplyReply::Accepted { revision, .. } => format!("profile {name}: revision {revision}"),
    }
}
