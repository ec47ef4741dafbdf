//! Queues, in-flight requests and connections of the targets that this host dispatches to.

mod cancel_signal;
mod connection_pool;
mod dispatch_queue;
mod gated_stream;
mod in_flight_table;
mod queue_table;
mod write_gate;

pub(crate) use cancel_signal::CancelSignal;
pub(crate) use connection_pool::ConnectionPool;
pub(crate) use connection_pool::PooledConnection;
pub(crate) use dispatch_queue::DispatchQueue;
pub(crate) use dispatch_queue::DispatchRefusal;
pub(crate) use dispatch_queue::DispatchRequest;
pub(crate) use dispatch_queue::WorkPermit;
pub(crate) use gated_stream::GatedStream;
pub(crate) use in_flight_table::InFlightGuard;
pub(crate) use in_flight_table::InFlightTable;
pub(crate) use queue_table::QueueTable;
pub(crate) use write_gate::WriteCheck;
pub(crate) use write_gate::WriteGate;
