use std::time::Duration;

use gw_types::Timestamp;

use crate::ConnectionGroup;
use crate::MemoryClass;
use crate::MemoryLimits;

/// Largest body, in bytes, that counts as small: it may use the reserved part of the budget.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Time without progress after which a connection is closed if its memory or descriptor is needed.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Bytes that count as progress. A caller that sends or reads a byte now and then makes none: it
/// would hold memory for hours.
const PROGRESS_BYTES: usize = 8 * 1024;
/// Largest number of bodies that wait for memory. The kernel keeps up to the receive buffer of each.
const MAX_WAITING: usize = 32;
/// Number of connections that were told to close and are still open, beyond which no other is accepted
/// in their place.
const MAX_CLOSING: usize = 8;
/// Part of a group's connections that are asked to end at the same time, as a divisor. Others wait to be
/// accepted meanwhile.
const RETIRING_SHARE: usize = 8;
/// Interval between two reviews while memory is short.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// What a connection does. Only the time in its present state and its progress decide whether it
/// counts as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Between two requests.
    Idle,
    /// A head has arrived in part.
    Head,
    /// A body is arriving.
    Body,
    /// A request waits or runs: the caller is not at fault if nothing happens.
    Running,
    /// A response is being sent.
    Sending,
}

/// Answer to a demand of memory for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandAnswer {
    /// The bytes may be read.
    Granted,
    /// A later review decides; nothing is read until then.
    Waiting,
    /// No memory is left. Nothing of the request has been sent on.
    Refused,
    /// This host can never hold so much.
    TooLarge,
}

/// Decision of a review about one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryVerdict {
    /// The demand that waited is granted.
    Granted,
    /// The demand has waited for too long.
    Refused,
    /// The connection makes no progress and its memory is needed.
    Closed,
    /// Others wait to be accepted: the connection is to end with its next response.
    Retired,
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAnswer {
    /// There is room for one more.
    Open,
    /// There is room once this connection has been closed.
    Close(u64),
    /// There is room once this connection has ended; it is to end with its next response.
    Retire(u64),
    /// There is none.
    Full,
}

/// A demand that waits.
#[derive(Clone, Copy, Debug)]
struct WaitingDemand {
    /// Sum of the bytes of the body that it asks for.
    bytes: usize,
    is_small: bool,
    since: Timestamp,
    until: Timestamp,
}

#[derive(Debug)]
struct ConnectionEntry {
    id: u64,
    group: ConnectionGroup,
    state: ConnectionState,
    opened_at: Timestamp,
    /// Whether a request of the connection was complete.
    has_served: bool,
    /// When it last changed its state or made progress.
    active_at: Timestamp,
    /// Bytes sent or received since then.
    moved: usize,
    /// Bytes by class, in the order of [`MemoryClass::ALL`].
    held: [usize; 4],
    /// When the body that is arriving began.
    body_since: Timestamp,
    waiting: Option<WaitingDemand>,
    /// Whether the connection was told to close. It is not told again, and does not count.
    is_closing: bool,
    /// Whether the connection is to end with its next response.
    is_retiring: bool,
}

impl ConnectionEntry {
    fn is_stalled(&self, now: Timestamp) -> bool {
        !self.is_closing && self.waiting.is_none() && now.since(self.active_at) >= STALL_TIME
    }

    fn held_bytes(&self) -> usize {
        self.held.iter().sum()
    }
}

/// Decides who gets memory of a host for what it sends, and who is closed when there is none left.
///
/// - A body of known length gets all its memory before it is read, so that it can always end. One
///   without grows; if there is no room, the oldest of these waits and the others are refused, so
///   that they do not wait for each other.
/// - Small bodies, heads and responses may use the reserved part. Small bodies go first.
/// - While someone waits, or the total is exceeded, connections without progress are closed, the one
///   that has made none for longest first.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    /// Sorted by id. Ids grow.
    connections: Vec<ConnectionEntry>,
    /// Sum of the bytes of all connections by class.
    held: [usize; 4],
    /// Number of connections by group that were not told to close.
    open: [usize; ConnectionGroup::COUNT],
    /// Number of the others.
    closing: [usize; ConnectionGroup::COUNT],
    /// Number of connections with a demand that waits.
    waiting: usize,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: MemoryLimits) -> Self {
        let (connections, open) = (Vec::new(), [0; ConnectionGroup::COUNT]);
        Self { limits, connections, held: [0; 4], open, closing: open, waiting: 0 }
    }

    /// Returns the bytes held in a class.
    pub fn held(&self, class: MemoryClass) -> usize {
        self.held[class as usize]
    }

    /// Returns the bytes held in all classes.
    pub fn used(&self) -> usize {
        self.held.iter().sum()
    }

    /// Whether so much is held that no request should be started that can wait.
    pub fn is_short(&self) -> bool {
        self.used() > self.limits.total - self.limits.small_reserve || self.waiting > 0
    }

    /// Whether more is held than the total.
    pub fn is_exceeded(&self) -> bool {
        self.used() > self.limits.total
    }

    /// Whether a new connection of `group` may be accepted. A connection that has to be closed for it
    /// counts as closed.
    pub fn admit_connection(&mut self, now: Timestamp, group: ConnectionGroup) -> ConnectionAnswer {
        if self.closing[group as usize] >= MAX_CLOSING {
            return ConnectionAnswer::Full;
        }
        if self.open[group as usize] < self.limits.connections[group as usize] {
            return ConnectionAnswer::Open;
        }
        // First those that have never sent a complete request, then those without progress.
        let entries = self.connections.iter().enumerate();
        let closable = entries.filter(|(_, entry)| {
            let is_running = entry.state == ConnectionState::Running;
            entry.group == group && !is_running && entry.is_stalled(now)
        });
        let first = closable.min_by_key(|(_, entry)| (entry.has_served, entry.active_at));
        let Some((index, entry)) = first else { return self.retire_oldest(now, group) };
        let id = entry.id;
        self.set_closing(index, true);
        ConnectionAnswer::Close(id)
    }

    /// Chooses the oldest connection of a group in which all are busy, if it is not new. Otherwise
    /// callers that never leave would keep all others out.
    fn retire_oldest(&mut self, now: Timestamp, group: ConnectionGroup) -> ConnectionAnswer {
        let entries = || self.connections.iter().filter(|entry| entry.group == group);
        let retiring = entries().filter(|entry| entry.is_retiring).count();
        let limit = self.limits.connections[group as usize];
        if retiring >= (limit / RETIRING_SHARE).max(1) {
            return ConnectionAnswer::Full;
        }
        let mut entries = self.connections.iter_mut().filter(|entry| entry.group == group);
        let is_due = |entry: &ConnectionEntry| {
            let is_ending = entry.is_retiring || entry.is_closing;
            !is_ending && now.since(entry.opened_at) >= STALL_TIME
        };
        let Some(oldest) = entries.find(|entry| is_due(entry)) else {
            return ConnectionAnswer::Full;
        };
        oldest.is_retiring = true;
        ConnectionAnswer::Retire(oldest.id)
    }

    /// Adds a connection. Its id must be above all earlier ones.
    pub fn open(&mut self, now: Timestamp, id: u64, group: ConnectionGroup) {
        self.open[group as usize] += 1;
        self.connections.push(ConnectionEntry {
            id,
            group,
            state: ConnectionState::Idle,
            opened_at: now,
            has_served: false,
            active_at: now,
            moved: 0,
            held: [0; 4],
            body_since: now,
            waiting: None,
            is_closing: false,
            is_retiring: false,
        });
    }

    /// Removes a connection and all that is held for it.
    pub fn close(&mut self, id: u64) {
        if let Ok(index) = self.index(id) {
            self.set_closing(index, true);
            let entry = self.connections.remove(index);
            self.closing[entry.group as usize] -= 1;
            self.waiting -= usize::from(entry.waiting.is_some());
            for (held, of_entry) in self.held.iter_mut().zip(entry.held) {
                *held -= of_entry;
            }
        }
    }

    /// Records what a connection does. One that was told to close and does something again goes on.
    pub fn set_state(&mut self, now: Timestamp, id: u64, state: ConnectionState) {
        let Ok(index) = self.index(id) else { return };
        let entry = &mut self.connections[index];
        (entry.state, entry.active_at, entry.moved) = (state, now, 0);
        entry.has_served |= state == ConnectionState::Running;
        self.set_closing(index, false);
    }

    /// Records bytes that were received from the caller of a connection or taken by it.
    pub fn record_progress(&mut self, now: Timestamp, id: u64, bytes: usize) {
        let Ok(index) = self.index(id) else { return };
        let entry = &mut self.connections[index];
        entry.moved += bytes;
        if entry.moved >= PROGRESS_BYTES {
            (entry.active_at, entry.moved) = (now, 0);
        }
    }

    /// Changes what is held for a connection.
    pub fn add_held(&mut self, id: u64, class: MemoryClass, bytes: usize) {
        let Ok(index) = self.index(id) else { return };
        self.connections[index].held[class as usize] += bytes;
        self.held[class as usize] += bytes;
    }

    /// Releases bytes that were held for a connection.
    pub fn release(&mut self, id: u64, class: MemoryClass, bytes: usize) {
        let Ok(index) = self.index(id) else { return };
        self.connections[index].held[class as usize] -= bytes;
        self.held[class as usize] -= bytes;
    }

    /// Makes the body of `bytes` that has arrived on a connection that of a request.
    pub fn finish_body(&mut self, id: u64, bytes: usize) {
        let Ok(index) = self.index(id) else { return };
        let arriving = self.connections[index].held[MemoryClass::ArrivingBody as usize];
        self.release(id, MemoryClass::ArrivingBody, arriving);
        self.add_held(id, MemoryClass::Request, bytes);
    }

    /// Asks for memory so that the body that arrives on a connection may grow to `bytes`.
    pub fn demand(
        &mut self,
        now: Timestamp,
        id: u64,
        bytes: usize,
        max_wait: Duration,
    ) -> DemandAnswer {
        let Ok(index) = self.index(id) else { return DemandAnswer::Refused };
        let arriving = MemoryClass::ArrivingBody as usize;
        let has = self.connections[index].held[arriving];
        if has == 0 {
            self.connections[index].body_since = now;
        }
        let is_small = bytes <= SMALL_BODY_BYTES;
        if bytes > self.limit(false) {
            return DemandAnswer::TooLarge;
        }
        let more = bytes.saturating_sub(has);
        // A new large body does not overtake those that wait.
        let is_next = is_small || has > 0 || self.waiting == 0;
        if is_next && self.used() + more <= self.limit(is_small) {
            self.add_held(id, MemoryClass::ArrivingBody, more);
            return DemandAnswer::Granted;
        }
        if (has > 0 && !self.is_oldest_body(index)) || self.waiting >= MAX_WAITING {
            return DemandAnswer::Refused;
        }
        self.waiting += 1;
        self.connections[index].waiting =
            Some(WaitingDemand { bytes, is_small, since: now, until: now + max_wait });
        DemandAnswer::Waiting
    }

    /// When the next review is due; `None` while nobody waits and the total is not exceeded.
    pub fn review_interval(&self) -> Option<Duration> {
        (self.waiting > 0 || self.is_exceeded()).then_some(REVIEW_INTERVAL)
    }

    /// Decides about demands that wait, and closes connections without progress if memory is short.
    pub fn review(&mut self, now: Timestamp) -> Vec<(u64, MemoryVerdict)> {
        let mut verdicts = Vec::new();
        for entry in &mut self.connections {
            if entry.waiting.is_some_and(|waiting| waiting.until <= now) {
                (entry.waiting, entry.active_at) = (None, now);
                self.waiting -= 1;
                verdicts.push((entry.id, MemoryVerdict::Refused));
            }
        }
        let mut shortage = self.used().saturating_sub(self.limits.total);
        while let Some(index) = self.first_waiting() {
            let entry = &mut self.connections[index];
            let Some(waiting) = entry.waiting else { break };
            let more = waiting.bytes - entry.held[MemoryClass::ArrivingBody as usize];
            let (id, needed) = (entry.id, self.used() + more);
            let limit = self.limit(waiting.is_small);
            if needed > limit {
                shortage = needed - limit;
                break;
            }
            let entry = &mut self.connections[index];
            (entry.waiting, entry.active_at) = (None, now);
            self.waiting -= 1;
            self.add_held(id, MemoryClass::ArrivingBody, more);
            verdicts.push((id, MemoryVerdict::Granted));
        }
        // What is closed below is released when its connection has ended.
        let closing = self.connections.iter().filter(|entry| entry.is_closing);
        let mut freed: usize = closing.map(ConnectionEntry::held_bytes).sum();
        while freed < shortage {
            let entries = self.connections.iter().enumerate();
            let stalled = entries.filter(|(_, entry)| {
                let is_running = entry.state == ConnectionState::Running;
                !is_running && entry.held_bytes() > 0 && entry.is_stalled(now)
            });
            let Some((index, entry)) = stalled.min_by_key(|(_, entry)| entry.active_at) else {
                break;
            };
            freed += entry.held_bytes();
            verdicts.push((entry.id, MemoryVerdict::Closed));
            self.set_closing(index, true);
        }
        verdicts
    }

    /// Bytes that may be held once a small or a large body has been admitted.
    fn limit(&self, is_small: bool) -> usize {
        self.limits.total - if is_small { 0 } else { self.limits.small_reserve }
    }

    fn index(&self, id: u64) -> Result<usize, usize> {
        self.connections.binary_search_by_key(&id, |entry| entry.id)
    }

    fn set_closing(&mut self, index: usize, is_closing: bool) {
        let entry = &mut self.connections[index];
        let group = entry.group as usize;
        match (std::mem::replace(&mut entry.is_closing, is_closing), is_closing) {
            (false, true) => {
                self.open[group] -= 1;
                self.closing[group] += 1;
            }
            (true, false) => {
                self.open[group] += 1;
                self.closing[group] -= 1;
            }
            _ => {}
        }
    }

    /// Whether no body that grows is older than that of the connection at `index`.
    fn is_oldest_body(&self, index: usize) -> bool {
        let own = &self.connections[index];
        let arriving = MemoryClass::ArrivingBody as usize;
        self.connections.iter().filter(|entry| entry.held[arriving] > 0).all(|entry| {
            (own.body_since, own.id) <= (entry.body_since, entry.id) || entry.is_closing
        })
    }

    /// The demand that is granted first: one for a small body, then one for a body that has arrived in
    /// part, which holds memory, or else the one that has waited longest.
    fn first_waiting(&self) -> Option<usize> {
        let waiting = self.connections.iter().enumerate().filter_map(|(index, entry)| {
            let has_none = entry.held[MemoryClass::ArrivingBody as usize] == 0;
            let waiting = entry.waiting?;
            Some((!waiting.is_small, has_none, waiting.since, entry.id, index))
        });
        waiting.min().map(|(.., index)| index)
    }
}
