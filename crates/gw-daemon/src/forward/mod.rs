//! Requests that one entry host forwards to another.

mod forward_signer;
mod forward_ticket;
mod forward_verifier;
mod host_pools;

pub use forward_signer::ForwardSigner;
pub use forward_ticket::ForwardTicket;
pub use forward_verifier::ForwardVerifier;

pub(crate) use forward_verifier::decode_hex;

pub(crate) use host_pools::HostPools;

/// Separates tickets from frames between hosts, which are signed with the same secrets.
const KEY_CONTEXT: &str = "galenawheel 2026-12-04 forwarded request ticket";
