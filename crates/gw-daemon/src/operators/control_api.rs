use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use gw_types::ProfileName;
use serde::Serialize;

use crate::ApiFuture;
use crate::ApiReply;
use crate::ApiRequest;
use crate::OperatorApi;
use crate::control::ControlClient;
use crate::control::ControlError;
use crate::operators::AuditReport;
use crate::operators::HistoryEntry;
use crate::operators::InForceReport;
use crate::operators::ProfileReport;
use crate::operators::ProfileSummary;
use crate::operators::StatusReport;
use crate::operators::query_fields::QueryError;
use crate::operators::query_fields::QueryFields;

/// Answers operators' calls with the state of the control thread.
#[derive(Clone)]
pub struct ControlApi {
    pub(super) client: ControlClient,
    /// Call ID of the next proposal, without `PROPOSAL_BIT`.
    pub(super) next_call: Arc<AtomicU64>,
}

/// Error of an operators' call.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// No call has this path.
    #[error("no such call")]
    NoSuchCall,
    /// The call does not support this method.
    #[error("method {method} is not allowed here; allowed is {allowed}")]
    Method { method: String, allowed: &'static str },
    /// The path or the body of the call is malformed.
    #[error("{0}")]
    Malformed(String),
    /// The query is malformed.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// The profile does not exist.
    #[error("there is no profile {0}")]
    NoProfile(String),
    /// The revision does not exist, or it is no longer kept.
    #[error("profile {name} has no revision {revision}, or it is not kept any more")]
    NoRevision { name: String, revision: u64 },
    /// The control thread did not reply.
    #[error(transparent)]
    Control(#[from] ControlError),
}

/// Answer to an operators' call.
pub(super) type CallResult = Result<ApiReply, CallError>;

impl CallError {
    fn status(&self) -> u16 {
        match self {
            Self::NoSuchCall | Self::NoProfile(_) | Self::NoRevision { .. } => 404,
            Self::Method { .. } => 405,
            Self::Malformed(_) | Self::Query(_) => 400,
            Self::Control(_) => 503,
        }
    }
}

impl ControlApi {
    /// Creates the API of the host whose control thread `client` is connected to.
    pub fn new(client: ControlClient) -> Self {
        Self { client, next_call: Arc::default() }
    }

    async fn answer(self, request: ApiRequest) -> ApiReply {
        let answer = self.route(&request).await;
        answer.unwrap_or_else(|error| error_reply(error.status(), &error.to_string()))
    }

    async fn route(&self, request: &ApiRequest) -> CallResult {
        let path = request.path.strip_prefix("/v1/").ok_or(CallError::NoSuchCall)?;
        let parts: Vec<_> = path.split('/').collect();
        let allowed = if matches!(parts[..], ["profiles", _]) { "GET, POST" } else { "GET" };
        match (request.method.as_str(), &parts[..]) {
            ("GET", ["status"]) => self.status(request).await,
            ("GET", ["profiles"]) => self.profiles(request).await,
            ("GET", ["profiles", name]) => self.profile(name, request).await,
            ("POST", ["profiles", name]) => self.apply(name, request).await,
            ("GET", ["profiles", name, "history"]) => self.history(name, request).await,
            ("GET", ["audit"]) => self.audit(request).await,
            ("GET", ["in-force"]) => self.in_force(request).await,
            (
                method,
                ["status" | "profiles" | "audit" | "in-force"]
                | ["profiles", _]
                | ["profiles", _, "history"],
            ) => Err(CallError::Method { method: method.to_owned(), allowed }),
            _ => Err(CallError::NoSuchCall),
        }
    }

    async fn status(&self, request: &ApiRequest) -> CallResult {
        QueryFields::parse(&request.query, &[])?;
        Ok(json(200, &self.client.query(StatusReport::of).await?))
    }

    async fn profiles(&self, request: &ApiRequest) -> CallResult {
        QueryFields::parse(&request.query, &[])?;
        let all = self.client.query(|node, _| ProfileSummary::all(node.control_view())).await?;
        Ok(json(200, &all))
    }

    async fn profile(&self, name: &str, request: &ApiRequest) -> CallResult {
        let revision = QueryFields::parse(&request.query, &["revision"])?.get("revision")?;
        let name = profile_name(name)?.to_string();
        let wanted = name.clone();
        let report = self.client.query(move |node, _| {
            let view = node.control_view();
            (ProfileReport::of(view, &wanted, revision), ProfileReport::of(view, &wanted, None))
        });
        match (report.await?, revision) {
            ((Some(report), _), _) => Ok(json(200, &report)),
            ((None, Some(_)), Some(revision)) => Err(CallError::NoRevision { name, revision }),
            _ => Err(CallError::NoProfile(name)),
        }
    }

    async fn history(&self, name: &str, request: &ApiRequest) -> CallResult {
        QueryFields::parse(&request.query, &[])?;
        let name = profile_name(name)?.to_string();
        let wanted = name.clone();
        let found = self.client.query(move |node, _| {
            let view = node.control_view();
            ProfileReport::of(view, &wanted, None).map(|_| HistoryEntry::all(view, &wanted))
        });
        found.await?.map(|history| json(200, &history)).ok_or(CallError::NoProfile(name))
    }

    async fn audit(&self, request: &ApiRequest) -> CallResult {
        let query = QueryFields::audit_query(&request.query)?;
        let page = self.client.query(move |node, _| node.control_state().audit(&query)).await?;
        Ok(json(200, &AuditReport::from(page)))
    }

    async fn in_force(&self, request: &ApiRequest) -> CallResult {
        let index = QueryFields::parse(&request.query, &["index"])?.require("index")?;
        let report = self.client.query(move |node, _| InForceReport::of(node, index)).await?;
        Ok(json(200, &report))
    }
}

impl OperatorApi for ControlApi {
    fn handle(&self, request: ApiRequest) -> ApiFuture {
        Box::pin(self.clone().answer(request))
    }
}

/// Parses the profile name of a path.
pub(super) fn profile_name(text: &str) -> Result<ProfileName, CallError> {
    ProfileName::new(text).map_err(|error| CallError::Malformed(error.to_string()))
}

/// Creates an answer with `body` as JSON.
pub(super) fn json(status: u16, body: &impl Serialize) -> ApiReply {
    match serde_json::to_vec(body) {
        Ok(body) => ApiReply { status, body: body.into() },
        Err(error) => error_reply(500, &error.to_string()),
    }
}

/// Creates an error answer with `reason` as JSON.
fn error_reply(status: u16, reason: &str) -> ApiReply {
    let body = serde_json::json!({ "error": reason }).to_string();
    ApiReply { status, body: Bytes::from(body) }
}
