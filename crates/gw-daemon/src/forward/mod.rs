//! Tickets and connections for requests that one entry host forwards to another.

mod forward_signer;
mod forward_ticket;
mod forward_verifier;
mod host_pools;

pub use forward_signer::ForwardSigner;
pub use forward_ticket::ForwardTicket;
pub use forward_verifier::ForwardVerifier;

pub(crate) use forward_verifier::decode_hex;

pub(crate) use host_pools::HostPools;

/// Key derivation context. Keeps tickets and frames between hosts, which use the same secrets, from
/// being accepted in place of each other.
const KEY_CONTEXT: &str = "galenawheel 2026-12-04 forwarded request ticket";
