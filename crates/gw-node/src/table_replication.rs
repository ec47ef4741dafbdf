use std::sync::Arc;
use std::time::Duration;

use gw_placement::TableDelta;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::Timestamp;
use gw_types::ZoneTable;

/// Interval at which the latest table is offered to peers that have not confirmed it.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// State of the zone that decides how many copies a version needs to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuorumState {
    /// Number of entry hosts of the zone.
    pub(crate) members: usize,
    /// Whether the zone's lease was last renewed by the control leader, which shows that the
    /// control log is reachable.
    pub(crate) is_connected: bool,
    /// Number of members, including this one, that are reachable and whose copies count.
    pub(crate) live_members: usize,
}

/// Replicates the zone leader's tables to the other entry hosts of the zone.
///
/// A version is acknowledged when a majority of the zone's hosts holds it and, while the control
/// group is reachable, it is committed in the control log. If no majority of the hosts is
/// reachable, and in a zone with one host, the commit alone is required, because the control log
/// then holds the table on a majority of the replicas' disks.
#[derive(Debug)]
pub(crate) struct TableReplication {
    host: HostId,
    /// The latest acknowledged table.
    acknowledged: Option<Arc<ZoneTable>>,
    /// The table that is being replicated; at most one at a time.
    pending: Option<PendingTable>,
    /// Highest version that is committed in the control log.
    committed: TableVersion,
    /// Highest version that each peer has confirmed, with the boot id of the peer's process.
    holders: Vec<(HostId, BootId, TableVersion)>,
    next_offer: Timestamp,
}

/// A table that has just been acknowledged.
#[derive(Debug)]
pub(crate) struct AcknowledgedTable {
    /// The previously acknowledged table of the same term.
    pub(crate) previous: Option<Arc<ZoneTable>>,
    pub(crate) table: Arc<ZoneTable>,
    /// Changes from the version before.
    pub(crate) delta: TableDelta,
}

#[derive(Debug)]
struct PendingTable {
    table: Arc<ZoneTable>,
    delta: TableDelta,
}

impl TableReplication {
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            acknowledged: None,
            pending: None,
            committed: TableVersion::default(),
            holders: Vec::new(),
            next_offer: Timestamp::ZERO,
        }
    }

    pub(crate) fn acknowledged(&self) -> Option<&Arc<ZoneTable>> {
        self.acknowledged.as_ref()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// The table that is being replicated.
    pub(crate) fn pending(&self) -> Option<&Arc<ZoneTable>> {
        self.pending.as_ref().map(|pending| &pending.table)
    }

    /// Changes from the version before the pending one.
    pub(crate) fn delta(&self) -> Option<&TableDelta> {
        self.pending.as_ref().map(|pending| &pending.delta)
    }

    /// Starts the replication of a table. None may be pending.
    pub(crate) fn start(&mut self, now: Timestamp, table: ZoneTable, delta: TableDelta) {
        self.pending = Some(PendingTable { table: Arc::new(table), delta });
        self.next_offer = now;
    }

    /// Records that a version is committed in the control log.
    pub(crate) fn record_committed(&mut self, version: TableVersion) {
        self.committed = self.committed.max(version);
    }

    /// Records that a peer's process holds a version. A confirmation of an earlier process of the
    /// peer is ignored.
    pub(crate) fn record_held(&mut self, peer: HostId, boot: BootId, version: TableVersion) {
        match self.holders.iter_mut().find(|(host, _, _)| *host == peer) {
            Some(known) if known.1 == boot => known.2 = known.2.max(version),
            Some(known) if known.1 < boot => *known = (peer, boot, version),
            Some(_) => {}
            None => self.holders.push((peer, boot, version)),
        }
    }

    /// Removes the copies of a peer that has restarted.
    pub(crate) fn remove_copies(&mut self, peer: HostId) {
        self.holders.retain(|(host, _, _)| *host != peer);
    }

    /// Acknowledges the pending table if it has enough copies, and returns it with the previous
    /// one. `counts` tells whether a peer's copy counts.
    pub(crate) fn try_acknowledge(
        &mut self,
        quorum: QuorumState,
        counts: impl Fn(HostId) -> bool,
    ) -> Option<AcknowledgedTable> {
        let version = self.pending.as_ref()?.table.version;
        let copies = self.copies(version, counts);
        let majority = quorum.members / 2 + 1;
        let has_majority = copies >= majority;
        let is_committed = self.committed >= version;
        let is_held = match quorum.is_connected {
            true => is_committed && (has_majority || quorum.live_members < majority),
            false => has_majority && quorum.members > 1,
        };
        let is_single = quorum.members == 1 && is_committed;
        if !(is_held || is_single) {
            return None;
        }
        let pending = self.pending.take()?;
        let previous = self.acknowledged.replace(pending.table.clone());
        Some(AcknowledgedTable { previous, table: pending.table, delta: pending.delta })
    }

    fn copies(&self, version: TableVersion, counts: impl Fn(HostId) -> bool) -> usize {
        let holders = self
            .holders
            .iter()
            .filter(|(host, _, held)| *host != self.host && *held >= version && counts(*host));
        holders.count() + 1
    }

    /// The peers that have not confirmed the latest table, if an offer to them is due.
    pub(crate) fn due_offers(&mut self, now: Timestamp, peers: &[HostId]) -> Vec<HostId> {
        let latest = self.pending().or(self.acknowledged()).map(|table| table.version);
        let Some(latest) = latest.filter(|_| now >= self.next_offer) else { return Vec::new() };
        self.next_offer = now + OFFER_INTERVAL;
        let held = |peer: &HostId| {
            let known = self.holders.iter().find(|(host, _, _)| host == peer);
            known.map(|known| known.2)
        };
        peers.iter().copied().filter(|peer| held(peer) < Some(latest)).collect()
    }

    /// Whether `peer` holds exactly the version that the pending delta is based on.
    pub(crate) fn can_use_delta(&self, peer: HostId) -> bool {
        let base = self.acknowledged.as_ref().map(|table| table.version);
        let held = self.holders.iter().find(|(host, _, _)| *host == peer).map(|known| known.2);
        self.pending.is_some() && base.is_some() && held == base
    }
}
