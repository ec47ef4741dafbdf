use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use super::ApiRequest;
use super::CallerConnection;
use super::HttpService;
use super::OperatorApi;
use super::ReadyState;
use super::bearer_token::bearer_token;
use super::bearer_token::is_same_token;
use super::http_listener::ResponseFuture;
use super::json_reply::ApiError;
use super::json_reply::json_error;
use super::json_reply::json_reply;
use super::json_reply::read_body;
use crate::ShutdownHandle;
use crate::ShutdownPhase;
use crate::TrafficState;
use crate::http::ResponseBody;
use crate::metrics::TrafficMetrics;

/// Serves metrics, health checks and the operators' API. Metrics and health checks require no
/// token, since scrapers and load balancers rarely have one.
pub(crate) struct OperatorsService {
    pub(crate) state: Arc<TrafficState>,
    pub(crate) metrics: Arc<TrafficMetrics>,
    pub(crate) ready: Arc<ReadyState>,
    pub(crate) shutdown: ShutdownHandle,
    pub(crate) token: String,
    pub(crate) api: Arc<dyn OperatorApi>,
}

impl HttpService for OperatorsService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _connection: Arc<CallerConnection>,
    ) -> ResponseFuture {
        Box::pin(async move {
            match request.uri().path() {
                "/metrics" => self.metrics_text(),
                "/healthz" => text(StatusCode::OK, "ok\n"),
                "/readyz" => self.readiness(),
                _ => self.handle_api(request).await.unwrap_or_else(json_error),
            }
        })
    }
}

impl OperatorsService {
    fn metrics_text(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::text(self.metrics.encode(&self.state)));
        let format = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(format));
        response
    }

    fn readiness(&self) -> Response<ResponseBody> {
        if self.shutdown.phase() != ShutdownPhase::Running {
            text(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n")
        } else if self.ready.is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "waiting for state\n")
        }
    }

    async fn handle_api(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, ApiError> {
        if !is_same_token(bearer_token(request.headers())?, &self.token) {
            return Err((StatusCode::FORBIDDEN, "the token is not valid".to_owned()));
        }
        let method = request.method().as_str().to_owned();
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or("").to_owned();
        let body = read_body(request).await?;
        let reply = self.api.handle(ApiRequest { method, path, query, body }).await;
        let status = StatusCode::from_u16(reply.status);
        Ok(json_reply(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), reply.body))
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::text(body));
    *response.status_mut() = status;
    response
}
