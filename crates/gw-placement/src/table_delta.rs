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

/// Why a delta was not applied. The receiver must fetch the whole table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta is of another zone.
    #[error("delta of zone {0} does not apply to this table")]
    Zone(ZoneName),
    /// The delta does not begin at the table's version.
    #[error("delta begins at version {expected:?}, the table has {found:?}")]
    Version {
        /// Where the delta begins.
        expected: TableVersion,
        /// The table's version.
        found: TableVersion,
    },
    /// The delta does not lead to a larger version.
    #[error("delta ends at version {0:?}, which is not larger than where it begins")]
    Order(TableVersion),
    /// A name index is out of range.
    #[error("delta has no name {0}")]
    Name(u16),
    /// Slots are out of range or out of order.
    #[error("slots {first} to {last} are not a range of slots")]
    Slots {
        /// First slot.
        first: u16,
        /// Last slot.
        last: u16,
    },
    /// An override cannot be changed as the delta says.
    #[error("override of the delta: {0}")]
    Override(#[from] OverrideError),
    /// The result differs from the table that the delta was made of.
    #[error("the changed table does not have the digest that the delta gives")]
    Digest,
}

/// What leads from one version of a zone table to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The zone.
    pub zone: ZoneName,
    /// Version that the delta applies to.
    pub from: TableVersion,
    /// Version of the result.
    pub to: TableVersion,
    /// Delegation term of the result.
    pub delegation: TermNumber,
    /// Targets that changed or are new.
    pub targets: Vec<TargetEntry>,
    /// Targets that are gone.
    pub removed_targets: Vec<TargetName>,
    /// Names that the services' changes refer to.
    pub names: Vec<TargetName>,
    /// Changed services.
    pub services: Vec<ServiceDelta>,
    /// Services that are gone.
    pub removed_services: Vec<ServiceName>,
    /// Digest of the result.
    pub digest: u64,
}

impl TableDelta {
    /// The changes from `old` to `new`, two versions of one zone's table.
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
            delegation: new.delegation,
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

    /// The table that the delta leads to from `table`.
    pub fn apply(&self, table: &ZoneTable) -> Result<ZoneTable, DeltaError> {
        self.check(table)?;
        let mut next = table.clone();
        next.version = self.to;
        next.delegation = self.delegation;
        next.targets.retain(|entry| !self.removed_targets.contains(&entry.name));
        for entry in &self.targets {
            match next.targets.binary_search_by(|known| known.name.cmp(&entry.name)) {
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

/// XXH3 of the encoded table.
fn digest(table: &ZoneTable) -> u64 {
    let encoded = postcard::to_stdvec(table).expect("a table of vectors and integers encodes");
    KeyHash::of(&encoded).0
}

fn service_of<'a>(table: &'a ZoneTable, like: &ServiceTable) -> Option<&'a ServiceTable> {
    table.service(like.service.as_str())
}

/// The table of `service`, added when it is new.
pub(crate) fn service_entry<'a>(
    table: &'a mut ZoneTable,
    service: &ServiceName,
) -> &'a mut ServiceTable {
    let found = table.services.binary_search_by(|known| known.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let service = service.clone();
        let fresh = ServiceTable { service, ranges: Vec::new(), overrides: Vec::new() };
        table.services.insert(index, fresh);
        index
    });
    &mut table.services[index]
}
