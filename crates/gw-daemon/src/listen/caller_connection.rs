use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use gw_dispatch::CallerHash;
use gw_types::KeyHash;

use crate::http::VerdictQueue;

/// State shared by the requests of one connection.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) peer: SocketAddr,
    /// Hash of the peer's IP address, for fair queueing between callers.
    pub(crate) caller: CallerHash,
    /// Verdicts of the head scanner, one for each request that has not been handled.
    pub(crate) verdicts: Arc<VerdictQueue>,
    /// Set if a response was cut off. The connection must then be reset, since closing it could be
    /// taken for the regular end of the body.
    pub(crate) reset: Arc<AtomicBool>,
}

impl CallerConnection {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        let caller = CallerHash(KeyHash::of(peer.ip().to_string().as_bytes()).0);
        Self { peer, caller, verdicts: Arc::default(), reset: Arc::default() }
    }
}
