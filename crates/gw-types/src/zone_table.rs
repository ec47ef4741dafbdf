use serde::Deserialize;
use serde::Serialize;

use crate::FencingToken;
use crate::KeyHash;
use crate::ServiceName;
use crate::TargetEntry;
use crate::TargetName;
use crate::TermNumber;
use crate::ZoneName;

/// Maximum number of key overrides of one service in a zone. Limits the state for hot keys.
pub const MAX_OVERRIDES: usize = 256;

/// Version of a zone table, ordered by the term of the zone lease, then by number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// Term of the zone lease under which the leader wrote the version.
    pub term: TermNumber,
    /// Number of the version within the term; increases by one with each change.
    pub number: u64,
}

/// Targets of one zone and ownership of its slots and keys. Only the zone leader writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// Zone that the table describes.
    pub zone: ZoneName,
    /// A host replaces its copy of the table only by one with a larger version.
    pub version: TableVersion,
    /// Highest delegation term of the control log that the leader had applied when it wrote the
    /// version. A zone has released a slot that was delegated away in an earlier or the same term
    /// if the table does not list the slot.
    pub delegation_term: TermNumber,
    /// Sorted by name, without duplicates.
    pub targets: Vec<TargetEntry>,
    /// Sorted by service, without duplicates. Contains only keyed services.
    pub services: Vec<ServiceTable>,
}

impl ZoneTable {
    /// Creates the table of a zone without targets.
    pub fn empty(zone: ZoneName) -> Self {
        Self {
            zone,
            version: TableVersion::default(),
            delegation_term: TermNumber::default(),
            targets: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Returns the target `name`.
    pub fn target(&self, name: &str) -> Option<&TargetEntry> {
        let index = self.targets.binary_search_by(|target| target.name.as_str().cmp(name)).ok()?;
        self.targets.get(index)
    }

    /// Returns the slots and overrides of `service` that the zone holds; absent if it holds none.
    pub fn service(&self, service: &str) -> Option<&ServiceTable> {
        let index =
            self.services.binary_search_by(|table| table.service.as_str().cmp(service)).ok()?;
        self.services.get(index)
    }
}

/// Ownership of the slots and overridden keys of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTable {
    /// Name of the keyed service.
    pub service: ServiceName,
    /// Sorted by first slot, without overlap. Contains only slots that are delegated to the zone.
    pub ranges: Vec<SlotRange>,
    /// Sorted by key, at most [`MAX_OVERRIDES`]. An override takes precedence over the key's slot.
    pub overrides: Vec<KeyOverride>,
}

/// Consecutive slots with the same owner and token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRange {
    /// First slot, inclusive.
    pub first: u16,
    /// Last slot, inclusive.
    pub last: u16,
    /// Target that owns the slots; absent while they are in handover or no target can own them.
    pub owner: Option<TargetName>,
    /// Token of the latest grant or revocation of the slots.
    pub token: FencingToken,
}

/// Ownership of a hot key, separate from that of its slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOverride {
    /// Hash of the key.
    pub key: KeyHash,
    /// Target that owns the key; absent while the key is in handover.
    pub owner: Option<TargetName>,
    /// Token of the latest grant or revocation; larger than every token that the key's slot had
    /// before the override was created.
    pub token: FencingToken,
}
