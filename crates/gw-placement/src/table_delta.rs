use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::TableVersion;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use serde::Deserialize;
use serde::Serialize;

use crate::OverrideError;
use crate::ServiceDelta;

/// Error of [`TableDelta::apply`]. The receiver must fetch the whole table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta belongs to another zone.
    #[error("delta of zone {0} does not apply to this table")]
    Zone(ZoneName),
    /// The delta does not apply to the version of the table.
    #[error("delta begins at version {expected:?}, the table has {found:?}")]
    Version {
        /// Version to which the delta applies.
        expected: TableVersion,
        /// Version of the table.
        found: TableVersion,
    },
    /// The version of the result is not above the version to which the delta applies.
    #[error("delta ends at version {0:?}, which is not above the version it begins at")]
    Order(TableVersion),
    /// The index of a target name is out of range.
    #[error("delta has no target name with index {0}")]
    Name(u16),
    /// The first slot is above the last, or the last is not a valid slot.
    #[error("slots {first} to {last} are not a range of slots")]
    Slots {
        /// First slot of the range.
        first: u16,
        /// Last slot of the range, inclusive.
        last: u16,
    },
    /// An override cannot be changed as the delta specifies.
    #[error("delta cannot change an override: {0}")]
    Override(#[from] OverrideError),
    /// The result differs from the table from which the delta was made.
    #[error("digest of the changed table differs from the digest in the delta")]
    Digest,
}

/// Changes from one version of a zone table to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Zone of the table.
    pub zone: ZoneName,
    /// Version to which the delta applies.
    pub from: TableVersion,
    /// Version of the resulting table.
    pub to: TableVersion,
    /// Delegation term of the resulting table.
    pub delegation: TermNumber,
    /// Targets that changed or were added.
    pub targets: Vec<TargetEntry>,
    /// Targets that were removed.
    pub removed_targets: Vec<TargetName>,
    /// Target names to which `services` refers by index.
    pub names: Vec<TargetName>,
    /// Services that changed or were added.
    pub services: Vec<ServiceDelta>,
    /// Services that were removed.
    pub removed_services: Vec<ServiceName>,
    /// XXH3 digest of the resulting table.
    pub digest: u64,
}

impl TableDelta {
    /// Returns the changes from `old` to `new`, two versions of the table of one zone.
    pub fn between(old: &ZoneTable, new: &ZoneTable) -> Self {
        let is_changed = |entry: &&TargetEntry| old.target(entry.name.as_str()) != Some(*entry);
        let is_gone = |entry: &&TargetEntry| new.target(entry.name.as_str()).is_none();
        let is_dropped = |table: &&ServiceTable| new.service(table.service.as_str()).is_none();
        let mut names = Vec::new();
        let to_delta = |table| ServiceDelta::between(service_of(old, table), table, &mut names);
        let services = new.services.iter().filter_map(to_delta).collect();
        let removed_services = old.services.iter().filter(is_dropped);
        Self {
            zone: new.zone.clone(),
            from: old.version,
            to: new.version,
            delegation: new.delegation_term,
            targets: new.targets.iter().filter(is_changed).cloned().collect(),
            removed_targets: old
                .targets
                .iter()
                .filter(is_gone)
                .map(|entry| entry.name.clone())
                .collect(),
            names,
            services,
            removed_services: removed_services.map(|table| table.service.clone()).collect(),
            digest: digest(new),
        }
    }

    /// Returns the table that results from applying the delta to `table`.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta does not apply to `table`, is malformed, or does not lead to
    /// the table from which it was made.
    pub fn apply(&self, table: &ZoneTable) -> Result<ZoneTable, DeltaError> {
        self.check(table)?;
        let mut next = table.clone();
        next.version = self.to;
        next.delegation_term = self.delegation;
        next.targets.retain(|entry| !self.removed_targets.contains(&entry.name));
        for entry in &self.targets {
            match next.targets.binary_search_by(|existing| existing.name.cmp(&entry.name)) {
                Ok(index) => next.targets[index] = entry.clone(),
                Err(index) => next.targets.insert(index, entry.clone()),
            }
        }
        next.services.retain(|service| !self.removed_services.contains(&service.service));
        for delta in &self.services {
            delta.apply(service_entry(&mut next, &delta.service), &self.names)?;
        }
        match digest(&next) == self.digest {
            true => Ok(next),
            false => Err(DeltaError::Digest),
        }
    }

    fn check(&self, table: &ZoneTable) -> Result<(), DeltaError> {
        if self.zone != table.zone {
            return Err(DeltaError::Zone(self.zone.clone()));
        }
        if self.from != table.version {
            return Err(DeltaError::Version { expected: self.from, found: table.version });
        }
        if self.to <= self.from {
            return Err(DeltaError::Order(self.to));
        }
        Ok(())
    }
}

/// Returns the XXH3 hash of the encoded table.
fn digest(table: &ZoneTable) -> u64 {
    let encoded = postcard::to_stdvec(table).expect("a table of vectors and integers encodes");
    KeyHash::of(&encoded).0
}

fn service_of<'a>(table: &'a ZoneTable, like: &ServiceTable) -> Option<&'a ServiceTable> {
    table.service(like.service.as_str())
}

/// Returns the table of `service`, adding an empty one if it does not exist.
pub(crate) fn service_entry<'a>(
    table: &'a mut ZoneTable,
    service: &ServiceName,
) -> &'a mut ServiceTable {
    let found = table.services.binary_search_by(|existing| existing.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let service = service.clone();
        let empty = ServiceTable { service, ranges: Vec::new(), overrides: Vec::new() };
        table.services.insert(index, empty);
        index
    });
    &mut table.services[index]
}
