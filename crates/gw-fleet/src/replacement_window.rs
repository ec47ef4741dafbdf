use std::time::Duration;

use gw_types::Timestamp;

/// Time after a replica was added in which a silent one counts as replaced by it. Longer than the
/// time from the start of a new host to the stop of the one that it replaces.
const REPLACEMENT_WINDOW: Duration = Duration::from_secs(10);

/// Tells whether the control group has recently grown by a replica that replaces another one.
///
/// A lost replica whose successor has joined must not count towards the majority for long: a group
/// of four that has lost one does not survive a second loss, whereas a group of three does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplacementWindow {
    /// Replicas added minus replicas removed within one window of each other. A host that lost its
    /// disk is removed before it is added again, so it does not count as a successor.
    surplus: i32,
    last_added: Timestamp,
    last_removed: Timestamp,
}

impl ReplacementWindow {
    /// Records that a replica was added.
    pub fn record_added(&mut self, now: Timestamp) {
        self.forget_old_changes(now);
        self.surplus += 1;
        self.last_added = now;
    }

    /// Records that a replica was removed. At most one removal follows from each addition.
    pub fn record_removed(&mut self, now: Timestamp) {
        self.forget_old_changes(now);
        self.surplus -= 1;
        self.last_removed = now;
    }

    /// Whether a replica was added recently and none was removed for it.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.surplus > 0 && now.since(self.last_added) < REPLACEMENT_WINDOW
    }

    fn forget_old_changes(&mut self, now: Timestamp) {
        if now.since(self.last_added.max(self.last_removed)) >= REPLACEMENT_WINDOW {
            self.surplus = 0;
        }
    }
}
