use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gw_membership::TargetAnnouncement;
use gw_membership::TargetReport;
use gw_membership::TroubleKind;
use gw_node::CallId;
use gw_node::NodeEvent;
use gw_types::BootId;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::CallerConnection;
use super::HttpService;
use super::bearer_token::bearer_token;
use super::bearer_token::is_same_token;
use super::http_listener::ResponseFuture;
use super::json_reply::ApiError;
use super::json_reply::json_error;
use super::json_reply::json_reply;
use super::json_reply::read_body;
use crate::TrafficState;
use crate::control::ControlHandle;
use crate::control::ControlReply;
use crate::http::ResponseBody;
use crate::settings::RegistrationToken;

/// Longest wait for the control thread. Targets announce themselves every 500 ms.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of a request to `/v1/targets/leave`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetLeave {
    target: TargetName,
    boot_id: BootId,
}

/// Handles announcements, reports and leave requests of targets.
pub(crate) struct TargetsService {
    pub(crate) state: Arc<TrafficState>,
    pub(crate) control: Arc<dyn ControlHandle>,
    pub(crate) tokens: Vec<RegistrationToken>,
    /// Zones that occur in the settings.
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) next_call: AtomicU64,
}

impl HttpService for TargetsService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: Arc<CallerConnection>,
    ) -> ResponseFuture {
        Box::pin(async move { self.respond(request).await.unwrap_or_else(json_error) })
    }
}

impl TargetsService {
    async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let path = request.uri().path().to_owned();
        if !matches!(
            path.as_str(),
            "/v1/targets/announce" | "/v1/targets/report" | "/v1/targets/leave"
        ) {
            return Err((StatusCode::NOT_FOUND, format!("no call {path}")));
        }
        if request.method() != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "use POST".to_owned()));
        }
        let token = bearer_token(request.headers())?.to_owned();
        let body = read_body(request).await?;
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let event = match path.as_str() {
            "/v1/targets/announce" => self.announcement(call, &token, &body)?,
            "/v1/targets/report" => self.report(call, &token, parse(&body)?)?,
            _ => {
                let TargetLeave { target, boot_id } = parse(&body)?;
                let trouble = TroubleKind::Leaving;
                self.report(call, &token, TargetReport { target, boot_id, trouble })?
            }
        };
        self.call_control(call, event).await
    }

    fn announcement(&self, call: CallId, token: &str, body: &[u8]) -> Result<NodeEvent, ApiError> {
        let announcement: TargetAnnouncement = parse(body)?;
        self.check_token(token, &announcement.service)?;
        if !self.zones.contains(&announcement.zone) {
            let error = format!("field zone: {} is not a zone of the settings", announcement.zone);
            return Err((StatusCode::BAD_REQUEST, error));
        }
        if announcement.work_slots == 0 {
            let error = "field work_slots: must be at least 1".to_owned();
            return Err((StatusCode::BAD_REQUEST, error));
        }
        Ok(NodeEvent::Announce { call, announcement })
    }

    /// Checks a report and converts it to an event. The body does not contain the service, so it is
    /// looked up in the routing table.
    fn report(
        &self,
        call: CallId,
        token: &str,
        report: TargetReport,
    ) -> Result<NodeEvent, ApiError> {
        let routes = self.state.routes();
        let is_reporter = |service: &&gw_types::ServiceRoutes| {
            service.targets().any(|(_, entry)| entry.name == report.target)
        };
        let Some(service) = routes.services().iter().find(is_reporter) else {
            // Only the owner of a valid registration token may learn which targets exist.
            self.check_any_token(token)?;
            return Err((StatusCode::NOT_FOUND, format!("no target {}", report.target)));
        };
        self.check_token(token, &service.definition.name)?;
        Ok(NodeEvent::Report { call, report })
    }

    fn check_token(&self, given: &str, service: &ServiceName) -> Result<(), ApiError> {
        let is_valid = |known: &RegistrationToken| {
            known.service == *service && is_same_token(given, &known.token)
        };
        if self.tokens.iter().any(is_valid) {
            return Ok(());
        }
        Err((StatusCode::FORBIDDEN, format!("the token is not valid for service {service}")))
    }

    fn check_any_token(&self, given: &str) -> Result<(), ApiError> {
        if self.tokens.iter().any(|known| is_same_token(given, &known.token)) {
            return Ok(());
        }
        Err((StatusCode::FORBIDDEN, "the token is not valid".to_owned()))
    }

    async fn call_control(
        &self,
        call: CallId,
        event: NodeEvent,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let reply = tokio::time::timeout(CONTROL_TIMEOUT, self.control.call(call, event)).await;
        let unavailable = || (StatusCode::SERVICE_UNAVAILABLE, "try another host".to_owned());
        match reply.ok().and_then(Result::ok).ok_or_else(unavailable)? {
            ControlReply::Announced(reply) => {
                let body = serde_json::to_vec(&reply).map_err(|_| unavailable())?;
                Ok(json_reply(StatusCode::OK, body))
            }
            ControlReply::Reported => {
                Ok(json_reply(StatusCode::ACCEPTED, &b"{\"accepted\":true}"[..]))
            }
            ControlReply::Refused(reason) => Err((StatusCode::CONFLICT, reason.to_string())),
            ControlReply::Proposed(_) => Err(unavailable()),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
}
