use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::DigestSummary;
use crate::ZoneDigest;

/// Maximum number of fetches in flight. Bounds the load that a restarted host puts on others.
pub const MAX_FETCHES_IN_FLIGHT: usize = 4;

/// Delay before the first retry of a fetch; doubled with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between two retries of a fetch.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(6_400);

/// Time after which a fetch without a response no longer counts as in flight.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A part of the replicated state that is fetched separately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchItem {
    /// Entries of the control log, or a snapshot.
    Control,
    /// The table of this zone.
    Table(ZoneName),
    /// Fingerprints in quarantine.
    Quarantine,
}

/// A fetch that the host has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// Host to fetch from.
    pub from: HostId,
    /// Part of the state to fetch.
    pub item: FetchItem,
}

/// Tracks which versions of the state this and other hosts hold, and decides what to fetch from
/// which host.
#[derive(Clone, Debug, Default)]
pub struct DigestTable {
    own: DigestSummary,
    /// Sorted by host.
    others: Vec<HostDigest>,
    /// Sorted by item; contains only items of which another host holds more.
    attempts: Vec<FetchAttempt>,
}

#[derive(Clone, Debug)]
struct HostDigest {
    host: HostId,
    boot: BootId,
    sequence: u64,
    /// Versions never decrease within a run.
    digest: DigestSummary,
}

#[derive(Clone, Debug)]
struct FetchAttempt {
    item: FetchItem,
    tries: u32,
    sent_at: Timestamp,
    retry_at: Timestamp,
}

impl DigestTable {
    /// Creates the table of a host that holds no state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the versions that this host holds, for its heartbeats.
    pub fn own(&self) -> &DigestSummary {
        &self.own
    }

    /// Records that this host holds the control entries up to `index`.
    pub fn set_control_index(&mut self, index: u64) {
        if index > self.own.control_index {
            self.own.control_index = index;
            self.end_attempt(&FetchItem::Control);
        }
    }

    /// Records that this host holds `version` of the table of `zone`.
    pub fn set_table_version(&mut self, zone: &ZoneName, version: TableVersion) {
        if raise_version(&mut self.own.tables, zone, version) {
            self.end_attempt(&FetchItem::Table(zone.clone()));
        }
    }

    /// Records the digest of the quarantine fingerprints that this host holds.
    pub fn set_quarantine_digest(&mut self, digest: u64) {
        if digest != self.own.quarantine {
            self.own.quarantine = digest;
            self.end_attempt(&FetchItem::Quarantine);
        }
    }

    /// Records the digest in heartbeat `sequence` of another host.
    ///
    /// The first digest of a later run replaces that of the earlier one, since a restarted host may
    /// hold less. A digest of an earlier run is ignored. Within a run versions never decrease, so
    /// heartbeats may be reordered.
    pub fn record_digest(
        &mut self,
        from: HostId,
        boot: BootId,
        sequence: u64,
        digest: &DigestSummary,
    ) {
        match self.others.binary_search_by_key(&from, |known| known.host) {
            Ok(index) if self.others[index].boot > boot => {}
            Ok(index) if self.others[index].boot == boot => {
                self.others[index].merge(sequence, digest);
            }
            Ok(index) => self.others[index] = HostDigest::new(from, boot, sequence, digest),
            Err(index) => {
                self.others.insert(index, HostDigest::new(from, boot, sequence, digest));
            }
        }
    }

    /// Returns the control index that another host holds; `None` if no heartbeat of it is known.
    pub fn control_index_of(&self, host: HostId) -> Option<u64> {
        let index = self.others.binary_search_by_key(&host, |known| known.host).ok()?;
        Some(self.others[index].digest.control_index)
    }

    /// Removes a host that is unreachable. Its next heartbeat adds it again.
    pub fn remove(&mut self, host: HostId) {
        self.others.retain(|known| known.host != host);
    }

    /// Returns the highest control index that any known host holds, including this one.
    pub fn highest_control_index(&self) -> u64 {
        let known = self.others.iter().map(|known| known.digest.control_index);
        known.max().unwrap_or(0).max(self.own.control_index)
    }

    /// Returns the highest version of a zone's table that any known host holds, including this one.
    pub fn highest_table_version(&self, zone: &ZoneName) -> TableVersion {
        let known = self.others.iter().map(|known| version_of(&known.digest.tables, zone));
        known.max().unwrap_or_default().max(version_of(&self.own.tables, zone))
    }

    /// Returns the number of other hosts that hold at least `version` of a zone's table.
    pub fn count_holders(&self, zone: &ZoneName, version: TableVersion) -> usize {
        let holds = |known: &&HostDigest| version_of(&known.digest.tables, zone) >= version;
        self.others.iter().filter(holds).count()
    }

    /// Returns the fetches to send now.
    ///
    /// Each item is fetched from one host at a time. Each retry waits longer than the one before
    /// and goes to the next host that holds more.
    pub fn fetches(&mut self, now: Timestamp) -> Vec<FetchRequest> {
        let items = self.outdated_items();
        self.attempts.retain(|attempt| items.contains(&attempt.item));
        let in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight(now)).count();
        let free = MAX_FETCHES_IN_FLIGHT.saturating_sub(in_flight);
        let mut due: Vec<_> = items.into_iter().filter(|item| self.is_due(item, now)).collect();
        due.sort_by_key(|item| self.attempt(item).map_or(0, |attempt| attempt.tries));
        due.truncate(free);
        due.into_iter().filter_map(|item| self.start_fetch(item, now)).collect()
    }

    /// Returns the items of which another host holds more, control entries first.
    fn outdated_items(&self) -> Vec<FetchItem> {
        let tables = self.others.iter().flat_map(|known| &known.digest.tables);
        let mut items = vec![FetchItem::Control, FetchItem::Quarantine];
        items.extend(tables.map(|table| FetchItem::Table(table.zone.clone())));
        items.sort();
        items.dedup();
        items.retain(|item| self.others.iter().any(|known| self.is_ahead(known, item)));
        items
    }

    fn is_ahead(&self, known: &HostDigest, item: &FetchItem) -> bool {
        match item {
            FetchItem::Control => known.digest.control_index > self.own.control_index,
            FetchItem::Table(zone) => {
                version_of(&known.digest.tables, zone) > version_of(&self.own.tables, zone)
            }
            FetchItem::Quarantine => known.digest.quarantine != self.own.quarantine,
        }
    }

    fn attempt(&self, item: &FetchItem) -> Option<&FetchAttempt> {
        let index = self.attempts.binary_search_by(|attempt| attempt.item.cmp(item)).ok()?;
        self.attempts.get(index)
    }

    fn is_due(&self, item: &FetchItem, now: Timestamp) -> bool {
        self.attempt(item).is_none_or(|attempt| attempt.retry_at <= now)
    }

    fn start_fetch(&mut self, item: FetchItem, now: Timestamp) -> Option<FetchRequest> {
        let tries = self.attempt(&item).map_or(0, |attempt| attempt.tries);
        let sources = self.others.iter().filter(|known| self.is_ahead(known, &item));
        let sources: Vec<_> = sources.map(|known| known.host).collect();
        let from = *sources.get(tries as usize % sources.len().max(1))?;
        let wait = MIN_RETRY_DELAY.saturating_mul(1 << tries.min(16)).min(MAX_RETRY_DELAY);
        let attempt = FetchAttempt {
            item: item.clone(),
            tries: tries + 1,
            sent_at: now,
            retry_at: now + wait,
        };
        match self.attempts.binary_search_by(|known| known.item.cmp(&item)) {
            Ok(index) => self.attempts[index] = attempt,
            Err(index) => self.attempts.insert(index, attempt),
        }
        Some(FetchRequest { from, item })
    }

    fn end_attempt(&mut self, item: &FetchItem) {
        self.attempts.retain(|attempt| attempt.item != *item);
    }
}

impl FetchAttempt {
    fn is_in_flight(&self, now: Timestamp) -> bool {
        now < self.retry_at.min(self.sent_at + FETCH_TIMEOUT)
    }
}

impl HostDigest {
    fn new(host: HostId, boot: BootId, sequence: u64, digest: &DigestSummary) -> Self {
        let mut tables = Vec::new();
        for table in &digest.tables {
            raise_version(&mut tables, &table.zone, table.version);
        }
        let digest = DigestSummary { tables, ..digest.clone() };
        Self { host, boot, sequence, digest }
    }

    fn merge(&mut self, sequence: u64, digest: &DigestSummary) {
        self.digest.control_index = self.digest.control_index.max(digest.control_index);
        for table in &digest.tables {
            raise_version(&mut self.digest.tables, &table.zone, table.version);
        }
        if sequence >= self.sequence {
            self.sequence = sequence;
            self.digest.quarantine = digest.quarantine;
        }
    }
}

/// Raises the version of `zone` in a list sorted by zone. Returns whether it was lower.
fn raise_version(tables: &mut Vec<ZoneDigest>, zone: &ZoneName, version: TableVersion) -> bool {
    match tables.binary_search_by(|table| table.zone.cmp(zone)) {
        Ok(index) if tables[index].version >= version => return false,
        Ok(index) => tables[index].version = version,
        Err(index) => tables.insert(index, ZoneDigest { zone: zone.clone(), version }),
    }
    true
}

fn version_of(tables: &[ZoneDigest], zone: &ZoneName) -> TableVersion {
    let index = tables.binary_search_by(|table| table.zone.cmp(zone));
    index.map_or(TableVersion::default(), |index| tables[index].version)
}
