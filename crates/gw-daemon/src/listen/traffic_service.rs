use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;

use super::CallerConnection;
use super::HttpService;
use super::http_listener::ResponseFuture;
use crate::traffic::Router;

/// Serves the requests of callers.
pub(crate) struct CallersService(pub(crate) Arc<Router>);

impl HttpService for CallersService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<CallerConnection>,
    ) -> ResponseFuture {
        Box::pin(async move { self.0.handle_caller(request, &connection).await })
    }
}

/// Serves the requests that other hosts forward.
pub(crate) struct ForwardsService(pub(crate) Arc<Router>);

impl HttpService for ForwardsService {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<CallerConnection>,
    ) -> ResponseFuture {
        Box::pin(async move { self.0.handle_forward(request, &connection).await })
    }
}
