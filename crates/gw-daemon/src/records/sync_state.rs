use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gw_types::HostId;

/// Progress of a restarted holder in fetching the records of one service from all other hosts.
#[derive(Debug, Default)]
pub(crate) struct SyncState {
    /// Number of the current fetch. Responses to earlier fetches are ignored.
    pub(crate) request: u64,
    /// Next part expected from each host; `u32::MAX` after a part that did not count.
    next_parts: BTreeMap<HostId, u32>,
    finished: BTreeSet<HostId>,
}

impl SyncState {
    /// Starts a fetch. Hosts that have sent all their records are not asked again.
    pub(crate) fn start_fetch(&mut self, request: u64) {
        self.request = request;
        self.next_parts.clear();
    }

    /// Returns whether `host` has not yet sent all its records.
    pub(crate) fn is_missing(&self, host: HostId) -> bool {
        !self.finished.contains(&host)
    }

    /// Records a part that was received from `host`. A part that is out of order or not complete
    /// invalidates the host's response to this fetch; the next fetch asks the host again.
    pub(crate) fn record_part(
        &mut self,
        host: HostId,
        part: u32,
        is_last: bool,
        is_complete: bool,
    ) {
        let expected = self.next_parts.entry(host).or_insert(0);
        if *expected != part || !is_complete {
            *expected = u32::MAX;
            return;
        }
        *expected += 1;
        if is_last {
            self.finished.insert(host);
        }
    }
}
