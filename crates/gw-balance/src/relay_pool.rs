use std::net::SocketAddr;
use std::time::Duration;

use gw_types::Timestamp;

/// Time for which a relay is avoided after it could not be reached or has no path to targets either.
const AVOIDED_TIME: Duration = Duration::from_secs(1);
/// Time for which a relay is avoided that has as many requests in flight as its link carries. Doubled
/// each time that it turns away a request again: refusals to all hosts without a path would fill its
/// link too.
const BUSY_TIME: Duration = Duration::from_millis(500);
/// Largest number of doublings of [`BUSY_TIME`].
const MAX_DOUBLINGS: u32 = 2;
/// Requests that a relay may have in flight before it has answered any.
const FIRST_WINDOW: usize = 32;
/// Largest number of requests in flight at a relay.
const MAX_WINDOW: usize = 64;

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
    /// Requests that it turned away since it last took one.
    turned_away: u32,
    in_flight: usize,
    /// Largest number of requests in flight, so that a relay that is busy or out of reach gets few
    /// requests at a time. From 1 to [`MAX_WINDOW`].
    window: usize,
}

impl KnownRelay {
    fn new(peer: RelayPeer) -> Self {
        let (avoided_until, window) = (Timestamp::ZERO, FIRST_WINDOW);
        Self { peer, avoided_until, turned_away: 0, in_flight: 0, window }
    }
}

/// The relays of one entry host, used in turn: those of its own zone as long as one of them takes
/// requests.
#[derive(Clone, Debug, Default)]
pub struct RelayPool {
    relays: Vec<KnownRelay>,
    /// Number of relays chosen so far.
    turn: usize,
}

impl RelayPool {
    /// Replaces the relays. Those that stay in the list keep their windows and stay avoided.
    pub fn update(&mut self, peers: impl IntoIterator<Item = RelayPeer>) {
        let old = std::mem::take(&mut self.relays);
        let known = |peer: RelayPeer| {
            let before = old.iter().find(|relay| relay.peer.address == peer.address);
            before.map_or_else(|| KnownRelay::new(peer), |relay| KnownRelay { peer, ..*relay })
        };
        self.relays = peers.into_iter().map(known).collect();
    }

    /// Returns whether no relay is known.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// Returns the relay for the next request, other than those in `tried`, and counts the request as
    /// in flight there until [`RelayPool::leave`]. `None` if none has room.
    pub fn choose(&mut self, now: Timestamp, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let is_usable = |relay: &&KnownRelay| {
            relay.avoided_until <= now
                && relay.in_flight < relay.window
                && !tried.contains(&relay.peer.address)
        };
        let usable = self.relays.iter().filter(is_usable);
        let has_same_zone = usable.clone().any(|relay| relay.peer.is_same_zone);
        let nearest = usable.filter(|relay| relay.peer.is_same_zone == has_same_zone);
        let nearest: Vec<SocketAddr> = nearest.map(|relay| relay.peer.address).collect();
        self.turn = self.turn.wrapping_add(1);
        let address = nearest.get(self.turn % nearest.len().max(1)).copied()?;
        self.find(address)?.in_flight += 1;
        Some(address)
    }

    /// Records that a request is no longer in flight at a relay.
    pub fn leave(&mut self, address: SocketAddr) {
        if let Some(relay) = self.find(address) {
            relay.in_flight = relay.in_flight.saturating_sub(1);
        }
    }

    /// Records that a relay has taken a request and responded.
    pub fn record_taken(&mut self, address: SocketAddr) {
        if let Some(relay) = self.find(address) {
            relay.turned_away = 0;
            relay.window = (relay.window + 1).min(MAX_WINDOW);
        }
    }

    /// Records that a relay has not responded in time. The target may be slow, so the relay is not
    /// avoided.
    pub fn record_slow(&mut self, address: SocketAddr) {
        if let Some(relay) = self.find(address) {
            relay.window = (relay.window / 2).max(1);
        }
    }

    /// Records that a relay takes no more requests at present.
    pub fn record_busy(&mut self, now: Timestamp, address: SocketAddr) {
        if let Some(relay) = self.find(address)
            && relay.avoided_until <= now
        {
            relay.window = (relay.window / 2).max(1);
            let doublings = relay.turned_away.min(MAX_DOUBLINGS);
            relay.avoided_until = now + BUSY_TIME * (1 << doublings);
            relay.turned_away += 1;
        }
    }

    /// Records that a relay could not be reached or cannot reach targets.
    pub fn record_failed(&mut self, now: Timestamp, address: SocketAddr) {
        if let Some(relay) = self.find(address) {
            relay.window = 1;
            relay.avoided_until = now + AVOIDED_TIME;
        }
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut KnownRelay> {
        self.relays.iter_mut().find(|relay| relay.peer.address == address)
    }
}
