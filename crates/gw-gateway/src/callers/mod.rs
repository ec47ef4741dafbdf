//! Connections of callers, whose requests are read ahead of their responses.

mod caller_connection;
mod caller_server;
mod request_turn;
mod response_body;

pub(crate) use caller_server::CallerHandler;
pub(crate) use caller_server::CallerLimits;
pub(crate) use caller_server::serve_callers;
pub(crate) use request_turn::RequestTurn;
pub(crate) use response_body::PieceSource;
pub(crate) use response_body::ResponseBody;
