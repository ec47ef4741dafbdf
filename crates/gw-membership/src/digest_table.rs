use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::DigestSummary;
use crate::ZoneDigest;

/// Most fetches that a host waits for. Bounds the load that a restarted host puts on others.
pub const MAX_FETCHES_IN_FLIGHT: usize = 4;

/// Wait before the same item is fetched again, doubled with each try.
const FIRST_RETRY: Duration = Duration::from_millis(200);

/// Longest wait before the same item is fetched again.
const LAST_RETRY: Duration = Duration::from_millis(6_400);

/// A fetch counts as in flight for this long; an answer that takes longer is lost.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A part of the state that is fetched by itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchItem {
    /// Control entries, or a snapshot.
    Control,
    /// The table of a zone.
    Table(ZoneName),
    /// Quarantine fingerprints.
    Quarantine,
}

/// Something to fetch from another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// Whom to ask.
    pub from: HostId,
    /// What to ask for.
    pub item: FetchItem,
}

/// Which versions of the state this host and others hold, and what to fetch from whom.
#[derive(Clone, Debug, Default)]
pub struct DigestTable {
    own: DigestSummary,
    /// Sorted by host.
    others: Vec<HostDigest>,
    /// Sorted by item; only items that are behind.
    attempts: Vec<FetchAttempt>,
}

#[derive(Clone, Debug)]
struct HostDigest {
    host: HostId,
    boot: BootId,
    sequence: u64,
    /// Versions never go back within a run.
    digest: DigestSummary,
}

#[derive(Clone, Debug)]
struct FetchAttempt {
    item: FetchItem,
    tries: u32,
    sent: Timestamp,
    retry_at: Timestamp,
}

impl DigestTable {
    /// A table of a host that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// What this host holds, for its heartbeats.
    pub fn own(&self) -> &DigestSummary {
        &self.own
    }

    /// Notes that this host holds the control entries up to `index`.
    pub fn set_control_index(&mut self, index: u64) {
        if index > self.own.control_index {
            self.own.control_index = index;
            self.end_attempt(&FetchItem::Control);
        }
    }

    /// Notes that this host holds `version` of a zone's table.
    pub fn set_table_version(&mut self, zone: &ZoneName, version: TableVersion) {
        if raise_version(&mut self.own.tables, zone, version) {
            self.end_attempt(&FetchItem::Table(zone.clone()));
        }
    }

    /// Notes the digest of the quarantine fingerprints that this host holds.
    pub fn set_quarantine_digest(&mut self, digest: u64) {
        if digest != self.own.quarantine {
            self.own.quarantine = digest;
            self.end_attempt(&FetchItem::Quarantine);
        }
    }

    /// Takes the digest of heartbeat `sequence` of another host. A later run starts again from
    /// what it says; an earlier run or heartbeat changes nothing that a later one said.
    pub fn record_digest(
        &mut self,
        from: HostId,
        boot: BootId,
        sequence: u64,
        digest: &DigestSummary,
    ) {
        match self.others.binary_search_by_key(&from, |known| known.host) {
            Ok(place) if self.others[place].boot > boot => {}
            Ok(place) if self.others[place].boot == boot => {
                self.others[place].raise(sequence, digest);
            }
            Ok(place) => self.others[place] = HostDigest::new(from, boot, sequence, digest),
            Err(place) => {
                self.others.insert(place, HostDigest::new(from, boot, sequence, digest));
            }
        }
    }

    /// The control index of another host's latest digest; absent when nothing was heard of its run.
    pub fn control_index_of(&self, host: HostId) -> Option<u64> {
        let place = self.others.binary_search_by_key(&host, |known| known.host).ok()?;
        Some(self.others[place].digest.control_index)
    }

    /// Stops fetching from a host that is unreachable. Its next heartbeat brings it back.
    pub fn remove(&mut self, host: HostId) {
        self.others.retain(|known| known.host != host);
    }

    /// The highest control index that any known host holds.
    pub fn highest_control_index(&self) -> u64 {
        let known = self.others.iter().map(|known| known.digest.control_index);
        known.max().unwrap_or(0).max(self.own.control_index)
    }

    /// The highest version of a zone's table that any known host holds.
    pub fn highest_table_version(&self, zone: &ZoneName) -> TableVersion {
        let known = self.others.iter().map(|known| version_of(&known.digest.tables, zone));
        known.max().unwrap_or_default().max(version_of(&self.own.tables, zone))
    }

    /// How many known hosts hold at least `version` of a zone's table.
    pub fn count_holders(&self, zone: &ZoneName, version: TableVersion) -> usize {
        let holds = |known: &&HostDigest| version_of(&known.digest.tables, zone) >= version;
        self.others.iter().filter(holds).count()
    }

    /// What to fetch now. Each item is asked of one host at a time; a retry waits longer and asks
    /// the next host that holds more.
    pub fn fetches(&mut self, now: Timestamp) -> Vec<FetchRequest> {
        let items = self.items_behind();
        self.attempts.retain(|attempt| items.contains(&attempt.item));
        let in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight(now)).count();
        let room = MAX_FETCHES_IN_FLIGHT.saturating_sub(in_flight);
        let mut due: Vec<_> = items.into_iter().filter(|item| self.is_due(item, now)).collect();
        due.sort_by_key(|item| self.attempt(item).map_or(0, |attempt| attempt.tries));
        due.truncate(room);
        due.into_iter().filter_map(|item| self.start(item, now)).collect()
    }

    /// Items of which some host holds more, control entries first.
    fn items_behind(&self) -> Vec<FetchItem> {
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
        let place = self.attempts.binary_search_by(|attempt| attempt.item.cmp(item)).ok()?;
        self.attempts.get(place)
    }

    fn is_due(&self, item: &FetchItem, now: Timestamp) -> bool {
        self.attempt(item).is_none_or(|attempt| attempt.retry_at <= now)
    }

    fn start(&mut self, item: FetchItem, now: Timestamp) -> Option<FetchRequest> {
        let tries = self.attempt(&item).map_or(0, |attempt| attempt.tries);
        let sources = self.others.iter().filter(|known| self.is_ahead(known, &item));
        let sources: Vec<_> = sources.map(|known| known.host).collect();
        let from = *sources.get(tries as usize % sources.len().max(1))?;
        let wait = FIRST_RETRY.saturating_mul(1 << tries.min(16)).min(LAST_RETRY);
        let attempt =
            FetchAttempt { item: item.clone(), tries: tries + 1, sent: now, retry_at: now + wait };
        match self.attempts.binary_search_by(|known| known.item.cmp(&item)) {
            Ok(place) => self.attempts[place] = attempt,
            Err(place) => self.attempts.insert(place, attempt),
        }
        Some(FetchRequest { from, item })
    }

    fn end_attempt(&mut self, item: &FetchItem) {
        self.attempts.retain(|attempt| attempt.item != *item);
    }
}

impl FetchAttempt {
    fn is_in_flight(&self, now: Timestamp) -> bool {
        now < self.retry_at.min(self.sent + FETCH_TIMEOUT)
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

    fn raise(&mut self, sequence: u64, digest: &DigestSummary) {
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

/// Raises the version of `zone` in a list sorted by zone; returns whether it was lower.
fn raise_version(tables: &mut Vec<ZoneDigest>, zone: &ZoneName, version: TableVersion) -> bool {
    match tables.binary_search_by(|table| table.zone.cmp(zone)) {
        Ok(place) if tables[place].version >= version => return false,
        Ok(place) => tables[place].version = version,
        Err(place) => tables.insert(place, ZoneDigest { zone: zone.clone(), version }),
    }
    true
}

fn version_of(tables: &[ZoneDigest], zone: &ZoneName) -> TableVersion {
    let place = tables.binary_search_by(|table| table.zone.cmp(zone));
    place.map_or(TableVersion::default(), |place| tables[place].version)
}
