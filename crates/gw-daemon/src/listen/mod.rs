//! Listeners of an entry host and the services behind them.

mod bearer_token;
mod caller_connection;
mod connection_driver;
mod http_listener;
mod json_reply;
mod operator_api;
mod operators_service;
mod ready_state;
mod targets_service;
mod traffic_service;

pub use operator_api::ApiFuture;
pub use operator_api::ApiReply;
pub use operator_api::ApiRequest;
pub use operator_api::OperatorApi;
pub use ready_state::ReadyState;

pub(crate) use caller_connection::CallerConnection;
pub(crate) use http_listener::HttpListener;
pub(crate) use http_listener::HttpService;
pub(crate) use http_listener::ListenerParts;
pub(crate) use operators_service::OperatorsService;
pub(crate) use targets_service::TargetsService;
pub(crate) use traffic_service::CallersService;
pub(crate) use traffic_service::ForwardsService;
