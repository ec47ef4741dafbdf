use std::collections::HashMap;
use std::time::Duration;

use gw_types::KeyHash;

use crate::CallerHash;
use crate::QueuedRequest;

/// Service time in nanoseconds by which a flow may be ahead of the others before its requests have
/// to wait. Within it the order is by deadline; a smaller value would degrade to round robin.
const MAX_LEAD_NS: u64 = 20_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Flow {
    Caller(CallerHash),
    Key(KeyHash),
}

/// Virtual time for fair queueing between callers and between keys.
///
/// Implements start-time fair queueing (Goyal, Vin and Cheng 1996). The flows are callers and keys,
/// and each request belongs to one or two of them. The start tag of a request is the virtual time
/// at which the earlier requests of its flows have received their service. Requests whose start tag
/// is close to the virtual time may start in any order; those further ahead wait.
#[derive(Clone, Debug)]
pub(crate) struct VirtualClock {
    virtual_ns: u64,
    /// Start tag of the next request of each flow; at most `flow_limit` flows.
    next_start_tags: HashMap<Flow, u64>,
    flow_limit: usize,
}

impl VirtualClock {
    pub(crate) fn new(flow_limit: usize) -> Self {
        Self { virtual_ns: 0, next_start_tags: HashMap::new(), flow_limit: flow_limit.max(2) }
    }

    /// Returns the start tag that `request` would get now.
    pub(crate) fn start_tag(&self, request: &QueuedRequest) -> u64 {
        let start_tags = flows(request).filter_map(|flow| self.next_start_tags.get(&flow).copied());
        start_tags.fold(self.virtual_ns, u64::max)
    }

    /// Charges the service of an admitted request with `start_tag` to its flows.
    pub(crate) fn charge(&mut self, request: &QueuedRequest, start_tag: u64) {
        self.evict_flows();
        for flow in flows(request) {
            self.next_start_tags.insert(flow, start_tag + cost(request.expected));
        }
    }

    /// Refunds the service of a request that was admitted but did not start.
    pub(crate) fn refund(&mut self, request: &QueuedRequest) {
        for flow in flows(request) {
            if let Some(tag) = self.next_start_tags.get_mut(&flow) {
                *tag = tag.saturating_sub(cost(request.expected));
            }
        }
    }

    /// Advances the virtual time to the lowest start tag of the waiting requests.
    pub(crate) fn advance(&mut self, lowest_start_tag: u64) {
        self.virtual_ns = self.virtual_ns.max(lowest_start_tag);
    }

    /// Returns by how much `start_tag` exceeds the range in which requests may start in any order;
    /// 0 if it is within the range.
    pub(crate) fn excess(&self, start_tag: u64) -> u64 {
        start_tag.saturating_sub(self.virtual_ns + MAX_LEAD_NS)
    }

    fn evict_flows(&mut self) {
        if self.next_start_tags.len() + 2 <= self.flow_limit {
            return;
        }
        let virtual_ns = self.virtual_ns;
        self.next_start_tags.retain(|_, tag| *tag > virtual_ns);
        if self.next_start_tags.len() + 2 > self.flow_limit {
            // Only flows ahead of the virtual time remain. Removing all of them treats them
            // equally.
            self.next_start_tags.clear();
        }
    }
}

fn cost(expected: Duration) -> u64 {
    // A minimum of one microsecond, so that a request counts even if its expected time is zero.
    u64::try_from(expected.as_nanos()).unwrap_or(u64::MAX / 4).clamp(1_000, u64::MAX / 4)
}

fn flows(request: &QueuedRequest) -> impl Iterator<Item = Flow> {
    let key = request.key.map(Flow::Key);
    std::iter::once(Flow::Caller(request.caller)).chain(key)
}
