use std::sync::Arc;
use std::time::Duration;

use gw_placement::TableDelta;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::Timestamp;
use gw_types::ZoneTable;

/// Interval at which an unanswered table is offered again.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// What must hold before a version of a zone table is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AcknowledgeRule {
    /// Number of entry hosts of the zone.
    pub(crate) members: usize,
    /// Whether the control leader renewed the zone's lease, so that the control log can be reached.
    pub(crate) is_connected: bool,
    /// Number of members that can be reached and are ready to count as copies, this one included.
    pub(crate) live_members: usize,
}

/// Copies of the zone leader's tables on its peers.
///
/// A version is acknowledged when a majority of the zone's hosts holds it and, while the control
/// group can be reached, it is committed in the control log. Where no majority can be reached, and
/// in a zone of one host, the control log alone is required: it holds the table on a majority of
/// disks.
#[derive(Debug)]
pub(crate) struct TableReplication {
    host: HostId,
    /// The latest acknowledged table.
    acknowledged: Option<Arc<ZoneTable>>,
    /// The next table; only one is under way at a time.
    pending: Option<PendingTable>,
    /// Highest version in the control log.
    committed: TableVersion,
    /// Highest version that each peer's run holds.
    holders: Vec<(HostId, BootId, TableVersion)>,
    next_offer: Timestamp,
}

/// A table that has just been acknowledged.
#[derive(Debug)]
pub(crate) struct AcknowledgedTable {
    /// The one before in the same term.
    pub(crate) previous: Option<Arc<ZoneTable>>,
    pub(crate) table: Arc<ZoneTable>,
    /// What changed from the version before.
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

    /// The table that waits for its copies.
    pub(crate) fn pending(&self) -> Option<&Arc<ZoneTable>> {
        self.pending.as_ref().map(|pending| &pending.table)
    }

    /// What changed from the version before the pending one.
    pub(crate) fn delta(&self) -> Option<&TableDelta> {
        self.pending.as_ref().map(|pending| &pending.delta)
    }

    /// Begins to copy a table. None may be pending.
    pub(crate) fn start(&mut self, now: Timestamp, table: ZoneTable, delta: TableDelta) {
        self.pending = Some(PendingTable { table: Arc::new(table), delta });
        self.next_offer = now;
    }

    /// Notes the highest version in the control log.
    pub(crate) fn record_committed(&mut self, version: TableVersion) {
        self.committed = self.committed.max(version);
    }

    /// Notes that a run of a peer holds a version.
    pub(crate) fn record_held(&mut self, peer: HostId, boot: BootId, version: TableVersion) {
        match self.holders.iter_mut().find(|(host, _, _)| *host == peer) {
            Some(known) if known.1 == boot => known.2 = known.2.max(version),
            Some(known) if known.1 < boot => *known = (peer, boot, version),
            Some(_) => {}
            None => self.holders.push((peer, boot, version)),
        }
    }

    /// Forgets what a peer held: it runs anew.
    pub(crate) fn remove_copies(&mut self, peer: HostId) {
        self.holders.retain(|(host, _, _)| *host != peer);
    }

    /// Acknowledges the pending table if the rule allows it, and returns it with the one before.
    pub(crate) fn try_acknowledge(
        &mut self,
        rule: AcknowledgeRule,
        counts: impl Fn(HostId) -> bool,
    ) -> Option<AcknowledgedTable> {
        let version = self.pending.as_ref()?.table.version;
        let copies = self.copies(version, counts);
        let majority = rule.members / 2 + 1;
        let has_majority = copies >= majority;
        let is_committed = self.committed >= version;
        let is_held = match rule.is_connected {
            true => is_committed && (has_majority || rule.live_members < majority),
            false => has_majority && rule.members > 1,
        };
        let is_single = rule.members == 1 && is_committed;
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

    /// Peers that lack the latest table, when an offer is due.
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

    /// Whether `peer` holds exactly the version before the pending one, so that a delta suffices.
    pub(crate) fn can_use_delta(&self, peer: HostId) -> bool {
        let base = self.acknowledged.as_ref().map(|table| table.version);
        let held = self.holders.iter().find(|(host, _, _)| *host == peer).map(|known| known.2);
        self.pending.is_some() && base.is_some() && held == base
    }
}
