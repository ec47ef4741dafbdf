use std::time::Duration;

/// Maximum number of connections that a target accepts from one dispatcher.
pub const MAX_CONNECTIONS: u16 = 110;

/// Time to allow for opening a connection.
pub const NEW_CONNECTION_COST: Duration = Duration::from_millis(1);

/// How a request obtains a connection to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Use an idle connection.
    Reuse,
    /// Open a connection, which takes about [`NEW_CONNECTION_COST`].
    Open,
    /// No connection is idle and the limit is reached.
    AtLimit,
}

/// Counts the connections from a dispatcher to one target.
///
/// Invariant: the sum of idle and busy connections never exceeds the limit.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    limit: u16,
    idle: u16,
    busy: u16,
}

impl ConnectionBudget {
    /// Creates a budget of `limit` connections, clamped to `1..=MAX_CONNECTIONS`.
    pub fn new(limit: u16) -> Self {
        Self { limit: limit.clamp(1, MAX_CONNECTIONS), idle: 0, busy: 0 }
    }

    /// Marks a connection as busy with one request and returns how to obtain it.
    pub fn acquire(&mut self) -> ConnectionChoice {
        if self.idle > 0 {
            self.idle -= 1;
            self.busy += 1;
            return ConnectionChoice::Reuse;
        }
        if self.open() >= self.limit {
            return ConnectionChoice::AtLimit;
        }
        self.busy += 1;
        ConnectionChoice::Open
    }

    /// Returns the connection of a request that ended. `reusable` is false if it was closed.
    pub fn release(&mut self, reusable: bool) {
        if self.busy == 0 {
            return;
        }
        self.busy -= 1;
        self.idle += u16::from(reusable);
    }

    /// Removes an idle connection that was closed from the count.
    pub fn close_idle(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }

    /// Returns the number of open connections, idle and busy.
    pub fn open(&self) -> u16 {
        self.idle + self.busy
    }
}
