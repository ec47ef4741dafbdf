//! Pooled HTTP connections to targets.

mod exchange;
mod order_sender;
mod socket_options;
mod target_connections;

pub(crate) use exchange::ExchangeOutcome;
pub(crate) use exchange::TargetReply;
pub(crate) use order_sender::send_order;
pub(crate) use socket_options::set_socket_options;
pub(crate) use target_connections::TargetConnections;
