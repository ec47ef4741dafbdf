use serde::Deserialize;
use serde::Serialize;

use crate::FencingToken;
use crate::KeyHash;
use crate::ServiceName;
use crate::TargetEntry;
use crate::TargetName;
use crate::TermNumber;
use crate::ZoneName;

/// Most overridden keys of one service. Bounds the state for hot keys.
pub const MAX_OVERRIDES: usize = 256;

/// Version of a zone table. Ordered by the term of the zone lease, then by number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// Term of the zone lease under which the version was made.
    pub term: TermNumber,
    /// Grows by one with each change in the term.
    pub number: u64,
}

/// Targets and ownership in one zone, written only by the zone's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// The zone that the table describes.
    pub zone: ZoneName,
    /// A host replaces a table only by one with a larger version.
    pub version: TableVersion,
    /// Highest delegation term in the control log that the leader had applied when it made the
    /// version. A table of this term or later that lacks a slot shows that the zone has let go
    /// of it.
    pub delegation_term: TermNumber,
    /// Sorted by name, without duplicates.
    pub targets: Vec<TargetEntry>,
    /// Sorted by service, without duplicates. Holds keyed services only.
    pub services: Vec<ServiceTable>,
}

impl ZoneTable {
    /// A table without targets.
    pub fn empty(zone: ZoneName) -> Self {
        Self {
            zone,
            version: TableVersion::default(),
            delegation_term: TermNumber::default(),
            targets: Vec::new(),
            services: Vec::new(),
        }
    }

    /// The target called `name`.
    pub fn target(&self, name: &str) -> Option<&TargetEntry> {
        let index = self.targets.binary_search_by(|target| target.name.as_str().cmp(name)).ok()?;
        self.targets.get(index)
    }

    /// The slots of `service` that the zone holds.
    pub fn service(&self, service: &str) -> Option<&ServiceTable> {
        let index =
            self.services.binary_search_by(|table| table.service.as_str().cmp(service)).ok()?;
        self.services.get(index)
    }
}

/// Ownership of one service's slots and overridden keys in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTable {
    /// The service.
    pub service: ServiceName,
    /// Sorted by first slot, without overlap. Holds only slots that are delegated to the zone.
    pub ranges: Vec<SlotRange>,
    /// Sorted by key, at most [`MAX_OVERRIDES`]. An override goes before the key's slot.
    pub overrides: Vec<KeyOverride>,
}

/// Neighbouring slots with one owner and one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRange {
    /// First slot.
    pub first: u16,
    /// Last slot, inclusive.
    pub last: u16,
    /// The owner; absent while the slots are in handover or no target can take them.
    pub owner: Option<TargetName>,
    /// Token of the latest grant or revocation.
    pub token: FencingToken,
}

/// A hot key with an owner of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOverride {
    /// The key.
    pub key: KeyHash,
    /// The owner; absent while the key is in handover.
    pub owner: Option<TargetName>,
    /// Token of the latest grant or revocation; larger than any that the key's slot had before the
    /// override was made.
    pub token: FencingToken,
}
