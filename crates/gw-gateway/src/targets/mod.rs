//! Pooled HTTP connections to targets.

mod exchange;
mod order_sender;
mod outgoing_body;
mod socket_options;
mod target_connections;
mod target_stream;

pub(crate) use exchange::ConnectionUse;
pub(crate) use exchange::ExchangeOptions;
pub(crate) use exchange::ExchangeOutcome;
pub(crate) use exchange::StreamedReply;
pub(crate) use exchange::TargetReply;
pub(crate) use order_sender::send_order;
pub(crate) use outgoing_body::OutgoingBody;
pub(crate) use socket_options::reset_on_close;
pub(crate) use socket_options::set_buffer_sizes;
pub(crate) use socket_options::set_socket_options;
pub(crate) use target_connections::TargetConnections;
pub(crate) use target_stream::TargetStream;
