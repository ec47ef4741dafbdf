use std::net::SocketAddr;
use std::time::Duration;

use gw_types::Timestamp;

/// Time for which a relay is avoided after it could not be reached or has no path to targets
/// either.
const AVOIDED_TIME: Duration = Duration::from_secs(1);

/// An entry host through which requests can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Where it accepts requests of other entry hosts.
    pub address: SocketAddr,
    /// Whether it is in this host's availability zone.
    pub is_same_zone: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownRelay {
    peer: RelayPeer,
    avoided_until: Timestamp,
}

/// The relays of one entry host, used in turn: those of its own zone as long as one of them works.
#[derive(Clone, Debug, Default)]
pub struct RelayPool {
    relays: Vec<KnownRelay>,
    /// Number of relays chosen so far.
    turn: usize,
}

impl RelayPool {
    /// Replaces the relays. Those that stay in the list stay avoided.
    pub fn update(&mut self, peers: impl IntoIterator<Item = RelayPeer>) {
        let old = std::mem::take(&mut self.relays);
        let known = |peer: RelayPeer| {
            let before = old.iter().find(|relay| relay.peer.address == peer.address);
            let avoided_until = before.map_or(Timestamp::ZERO, |relay| relay.avoided_until);
            KnownRelay { peer, avoided_until }
        };
        self.relays = peers.into_iter().map(known).collect();
    }

    /// Returns the relay for the next request, other than those in `tried`.
    pub fn choose(&mut self, now: Timestamp, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let is_usable = |relay: &&KnownRelay| {
            relay.avoided_until <= now && !tried.contains(&relay.peer.address)
        };
        let usable = self.relays.iter().filter(is_usable);
        let has_same_zone = usable.clone().any(|relay| relay.peer.is_same_zone);
        let nearest = usable.filter(|relay| relay.peer.is_same_zone == has_same_zone);
        let nearest: Vec<SocketAddr> = nearest.map(|relay| relay.peer.address).collect();
        self.turn = self.turn.wrapping_add(1);
        nearest.get(self.turn % nearest.len().max(1)).copied()
    }

    /// Records that a relay could not be reached or cannot reach targets.
    pub fn avoid(&mut self, now: Timestamp, address: SocketAddr) {
        let relays = self.relays.iter_mut().filter(|relay| relay.peer.address == address);
        relays.for_each(|relay| relay.avoided_until = now + AVOIDED_TIME);
    }
}
