//! Memory that a host holds for callers, targets and other hosts.

mod connection_memory;
mod held_bytes;
mod memory_gate;

pub(crate) use connection_memory::BODY_STEP_BYTES;
pub(crate) use connection_memory::ConnectionMemory;
pub(crate) use held_bytes::HeldBytes;
pub(crate) use memory_gate::MemoryGate;
