use std::sync::Arc;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use serde::Deserialize;
use serde::Serialize;

use crate::TableOutcome;
use crate::TableRefusal;
use crate::zone_table_check::check_table;

/// Maximum number of availability zones, which bounds the size of the control state.
pub const MAX_ZONES: usize = 64;

/// Number of terms of a zone for which the last recorded move batch is remembered. A batch of an
/// earlier leader may be committed after one of its successor.
const BATCH_TERMS: usize = 4;

/// The latest grant of a zone's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneGrant {
    /// The zone whose lease was granted.
    pub zone: ZoneName,
    /// The host that the lease was granted to.
    pub host: HostId,
    /// Boot id of the host's process that the lease was granted to.
    pub boot: BootId,
    /// Term of the lease, larger than all terms before.
    pub term: TermNumber,
}

/// The latest lease grant and table of each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ZoneStore {
    /// Sorted by zone, at most [`MAX_ZONES`].
    zones: Vec<ZoneEntry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ZoneEntry {
    /// Only replaced by a grant with a larger term.
    grant: ZoneGrant,
    /// Only replaced by a table with a larger version.
    table: Option<Arc<ZoneTable>>,
    /// Version of the last recorded move batch of each of the latest terms, sorted; at most
    /// [`BATCH_TERMS`].
    batches: Vec<TableVersion>,
}

impl ZoneStore {
    pub(crate) fn has_room_for(&self, zone: &str) -> bool {
        self.entry(zone).is_some() || self.zones.len() < MAX_ZONES
    }

    pub(crate) fn grant(&mut self, grant: ZoneGrant) {
        match self.zones.binary_search_by(|entry| entry.grant.zone.cmp(&grant.zone)) {
            Ok(position) => self.zones[position].grant = grant,
            Err(position) => {
                let entry = ZoneEntry { grant, table: None, batches: Vec::new() };
                self.zones.insert(position, entry);
            }
        }
    }

    /// Stores `table` if its term is that of the latest grant and its version is larger than that
    /// of the stored table.
    pub(crate) fn store(&mut self, table: &ZoneTable) -> TableOutcome {
        let Some(entry) = self.entry_mut(table.zone.as_str()) else {
            return TableOutcome::Refused(TableRefusal::NotGranted);
        };
        match entry.check(table) {
            Ok(()) => {
                entry.table = Some(Arc::new(table.clone()));
                TableOutcome::Stored { version: table.version }
            }
            Err(None) => TableOutcome::Stored { version: table.version },
            Err(Some(refusal)) => TableOutcome::Refused(refusal),
        }
    }

    /// Marks a batch of moves as recorded. Returns whether it is new, that is, to be recorded.
    pub(crate) fn record_batch(&mut self, zone: &str, version: TableVersion) -> bool {
        let Some(entry) = self.entry_mut(zone) else { return false };
        if version.term > entry.grant.term {
            return false;
        }
        match entry.batches.binary_search_by_key(&version.term, |batch| batch.term) {
            Ok(position) if entry.batches[position].number >= version.number => return false,
            Ok(position) => entry.batches[position] = version,
            Err(0) if entry.batches.len() == BATCH_TERMS => return false,
            Err(position) => entry.batches.insert(position, version),
        }
        if entry.batches.len() > BATCH_TERMS {
            entry.batches.remove(0);
        }
        true
    }

    pub(crate) fn grants(&self) -> impl Iterator<Item = &ZoneGrant> {
        self.zones.iter().map(|entry| &entry.grant)
    }

    pub(crate) fn grant_of(&self, zone: &str) -> Option<&ZoneGrant> {
        self.entry(zone).map(|entry| &entry.grant)
    }

    pub(crate) fn tables(&self) -> impl Iterator<Item = &Arc<ZoneTable>> {
        self.zones.iter().filter_map(|entry| entry.table.as_ref())
    }

    pub(crate) fn table(&self, zone: &str) -> Option<&Arc<ZoneTable>> {
        self.entry(zone)?.table.as_ref()
    }

    /// All targets of `service` that are not lost, with their boot ids, from the tables of all
    /// zones.
    pub(crate) fn live_targets(&self, service: &str) -> Vec<(TargetName, BootId)> {
        let targets = self.tables().flat_map(|table| &table.targets);
        let live = targets.filter(|target| {
            target.service.as_str() == service && target.state != TargetState::Lost
        });
        live.map(|target| (target.name.clone(), target.boot)).collect()
    }

    fn entry(&self, zone: &str) -> Option<&ZoneEntry> {
        let position =
            self.zones.binary_search_by(|entry| entry.grant.zone.as_str().cmp(zone)).ok()?;
        self.zones.get(position)
    }

    fn entry_mut(&mut self, zone: &str) -> Option<&mut ZoneEntry> {
        let position =
            self.zones.binary_search_by(|entry| entry.grant.zone.as_str().cmp(zone)).ok()?;
        self.zones.get_mut(position)
    }
}

impl ZoneEntry {
    /// Checks whether `table` may replace the stored one. `Err(None)` means that both are equal, so
    /// that there is nothing to store.
    fn check(&self, table: &ZoneTable) -> Result<(), Option<TableRefusal>> {
        let granted = self.grant.term;
        if let Some(held) = self.table.as_ref().filter(|held| held.version == table.version) {
            let refusal = TableRefusal::OldVersion { held: held.version };
            return Err((**held != *table).then_some(refusal));
        }
        if table.version.term < granted {
            return Err(Some(TableRefusal::OldTerm { granted }));
        }
        if table.version.term > granted {
            return Err(Some(TableRefusal::NotGranted));
        }
        if let Some(held) = self.table.as_ref().filter(|held| held.version > table.version) {
            return Err(Some(TableRefusal::OldVersion { held: held.version }));
        }
        check_table(table).map_err(|rule| Some(TableRefusal::Malformed(rule)))
    }
}
