//! Connections to targets.

mod exchange;
mod order_sender;
mod socket_options;
mod target_connections;

pub(crate) use exchange::ExchangeEnd;
pub(crate) use exchange::TargetReply;
pub(crate) use order_sender::send_order;
pub(crate) use socket_options::tune_socket;
pub(crate) use target_connections::TargetConnections;
