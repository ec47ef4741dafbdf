use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::OperatorName;
use gw_control::ProfileChange;
use gw_control::ProfileOutcome;
use gw_control::WallTime;
use gw_node::CallId;
use gw_node::NodeEvent;
use gw_profile::ChangeId;
use gw_profile::ProfileFile;
use gw_profile::Revision;
use gw_types::ProfileName;

use crate::ApiReply;
use crate::ApiRequest;
use crate::control::ControlHandle;
use crate::control::ControlReply;
use crate::operators::ApplyReply;
use crate::operators::ApplyRequest;
use crate::operators::ControlApi;
use crate::operators::control_api::CallError;
use crate::operators::control_api::CallResult;
use crate::operators::control_api::json;
use crate::operators::control_api::profile_name;

/// Set in the call IDs of proposals, so that they differ from those of targets' calls.
const PROPOSAL_BIT: u64 = 1 << 63;
/// Longest wait for this host to apply an accepted change. After it the answer is sent without the
/// index, and the command line queries the index.
const INDEX_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two reads of the applied state.
const INDEX_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl ControlApi {
    /// Handles `POST /v1/profiles/{name}`: proposes a profile change and waits for its outcome.
    pub(super) async fn apply(&self, name: &str, request: &ApiRequest) -> CallResult {
        let name = profile_name(name)?;
        let call: ApplyRequest = serde_json::from_slice(&request.body)
            .map_err(|error| CallError::Malformed(format!("body: {error}")))?;
        let change = match parse_change(&name, &call)? {
            Ok(change) => change,
            Err(error) => {
                let reply = ApplyReply::Refused { change_id: call.change_id, error };
                return Ok(reply_json(&reply));
            }
        };
        let reply = self.propose(change).await;
        log::info!(
            "event=profile_change profile={name} operator={:?} base={} change_id={:?} status={}",
            call.operator,
            call.base,
            call.change_id,
            reply.status(),
        );
        Ok(reply_json(&reply))
    }

    async fn propose(&self, change: ProfileChange) -> ApplyReply {
        let name = change.profile.name.clone();
        let change_id = change.change_id.to_string();
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed) | PROPOSAL_BIT);
        let command = ControlCommand::ApplyProfile(change);
        let answer = self.client.call(call, NodeEvent::Propose { call, command }).await;
        match answer {
            Ok(ControlReply::Proposed(ControlOutcome::Profile(outcome))) => {
                let index = match &outcome {
                    ProfileOutcome::Accepted { revision } => self.log_index(name, *revision).await,
                    _ => None,
                };
                ApplyReply::of(change_id, outcome, index)
            }
            _ => ApplyReply::Unknown {
                change_id,
                error: "the outcome is not known; resend with the same change id".to_owned(),
            },
        }
    }

    /// Waits until this host has applied `revision` and returns the index of its log entry.
    async fn log_index(&self, name: ProfileName, revision: Revision) -> Option<u64> {
        let find = async {
            loop {
                let name = name.clone();
                let index = self.client.query(move |node, _| {
                    let mut history = node.control_view().history(name.as_str());
                    history.find(|entry| entry.revision == revision).map(|entry| entry.index)
                });
                match index.await {
                    Ok(None) => tokio::time::sleep(INDEX_POLL_INTERVAL).await,
                    found => return found.ok().flatten(),
                }
            }
        };
        tokio::time::timeout(INDEX_TIMEOUT, find).await.ok().flatten()
    }
}

/// Parses the change of a call.
///
/// The outer error means that the call is malformed. The inner error says why the profile is
/// invalid.
fn parse_change(
    name: &ProfileName,
    call: &ApplyRequest,
) -> Result<Result<ProfileChange, String>, CallError> {
    let malformed = |error: &dyn std::fmt::Display| CallError::Malformed(error.to_string());
    let change_id = ChangeId::new(call.change_id.as_str()).map_err(|error| malformed(&error))?;
    let operator = OperatorName::new(call.operator.as_str()).map_err(|error| malformed(&error))?;
    let file = call.file.as_deref().unwrap_or("profile");
    let profile = match ProfileFile::parse(file, &call.text) {
        Ok(profile) if profile.name != *name => {
            let error = format!(
                "{file}: field name is {:?}, not {:?}",
                profile.name.as_str(),
                name.as_str()
            );
            return Ok(Err(error));
        }
        Ok(profile) => profile,
        Err(error) => return Ok(Err(error.to_string())),
    };
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let at = WallTime(wall.as_millis() as u64);
    Ok(Ok(ProfileChange { profile, base: Revision(call.base), change_id, operator, at }))
}

fn reply_json(reply: &ApplyReply) -> ApiReply {
    json(reply.status(), reply)
}
