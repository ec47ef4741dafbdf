use std::sync::Arc;

use crate::FencingToken;
use crate::KeyHash;
use crate::SLOT_COUNT;
use crate::ServiceDefinition;
use crate::SlotIndex;
use crate::TargetEntry;
use crate::TargetName;
use crate::ZoneName;
use crate::ZoneTable;

/// Target index of a slot or key without an owner.
const NO_TARGET: u32 = u32::MAX;
/// Zone index of a slot that no zone table lists.
const NO_ZONE: u16 = u16::MAX;

/// Routes of all services, compiled from zone tables. Lookups neither lock nor allocate.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// In order of precedence: a request belongs to the first service whose route matches it.
    services: Vec<ServiceRoutes>,
}

/// Targets, slot owners and key overrides of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoutes {
    /// Definition of the service.
    pub definition: Arc<ServiceDefinition>,
    /// All targets of the service in all zones, sorted by name.
    targets: Vec<ZoneTarget>,
    /// One entry per slot; empty for an unkeyed service.
    slots: Box<[SlotOwner]>,
    /// Sorted by key and zone. An override applies only while its zone holds the key's slot: after
    /// the slot is delegated to another zone, the table of the previous zone may still list it.
    overrides: Vec<(KeyHash, SlotOwner)>,
}

/// A target and the zone whose table lists it.
#[derive(Clone, Debug)]
struct ZoneTarget {
    zone: ZoneName,
    entry: TargetEntry,
}

#[derive(Clone, Copy, Debug)]
struct SlotOwner {
    /// Index into the service's targets, or [`NO_TARGET`].
    target: u32,
    /// Index of the zone whose table names the owner, or [`NO_ZONE`].
    zone: u16,
    token: FencingToken,
}

impl SlotOwner {
    const NONE: SlotOwner =
        SlotOwner { target: NO_TARGET, zone: NO_ZONE, token: FencingToken::NONE };
}

/// Owner and fencing token of a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyRoute<'a> {
    /// Slot that contains the key.
    pub slot: SlotIndex,
    /// Whether the owner and token come from an override of the key. Such a token cannot be
    /// compared with tokens of the slot.
    pub is_override: bool,
    /// Token of the latest grant or revocation of the key, or of its slot without an override.
    pub token: FencingToken,
    /// Zone and entry of the owner; absent while the key is in handover or no target can serve it.
    pub owner: Option<(&'a ZoneName, &'a TargetEntry)>,
}

impl RoutingTable {
    /// Compiles the routes of all services in `definitions` from the zone tables.
    ///
    /// If two zone tables list a slot, the entry with the larger token applies: the other one dates
    /// from before the slot was delegated to its current zone.
    pub fn compile<'a>(
        definitions: impl IntoIterator<Item = &'a Arc<ServiceDefinition>>,
        zones: &[Arc<ZoneTable>],
    ) -> Self {
        let mut services: Vec<_> = definitions
            .into_iter()
            .map(|definition| ServiceRoutes::compile(definition.clone(), zones))
            .collect();
        services.sort_by(|a, b| {
            let order = b.definition.route.precedence().cmp(&a.definition.route.precedence());
            order.then_with(|| a.definition.name.cmp(&b.definition.name))
        });
        Self { services }
    }

    /// Returns the service that a request for `path` on `host` belongs to.
    pub fn service_for(&self, host: Option<&str>, path: &str) -> Option<&ServiceRoutes> {
        self.services.iter().find(|service| service.definition.route.matches(host, path))
    }

    /// Returns the routes of the service `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceRoutes> {
        self.services.iter().find(|service| service.definition.name.as_str() == name)
    }

    /// Returns all services in order of precedence.
    pub fn services(&self) -> &[ServiceRoutes] {
        &self.services
    }
}

impl ServiceRoutes {
    fn compile(definition: Arc<ServiceDefinition>, zones: &[Arc<ZoneTable>]) -> Self {
        let mut targets: Vec<ZoneTarget> = zones
            .iter()
            .flat_map(|table| table.targets.iter().map(|entry| (table.zone.clone(), entry)))
            .filter(|(_, entry)| entry.service == definition.name)
            .map(|(zone, entry)| ZoneTarget { zone, entry: entry.clone() })
            .collect();
        targets.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        let slot_count = if definition.is_keyed() { usize::from(SLOT_COUNT) } else { 0 };
        let slots = vec![SlotOwner::NONE; slot_count].into_boxed_slice();
        let mut routes = Self { definition, targets, slots, overrides: Vec::new() };
        if routes.definition.is_keyed() {
            for (zone, table) in zones.iter().enumerate() {
                routes.add_zone(zone as u16, table);
            }
            routes.overrides.sort_by_key(|(key, owner)| (*key, owner.zone));
        }
        routes
    }

    fn add_zone(&mut self, zone: u16, table: &ZoneTable) {
        let Some(service) = table.service(self.definition.name.as_str()) else { return };
        for range in &service.ranges {
            let owner = self.slot_owner(zone, range.owner.as_ref(), range.token);
            for slot in range.first..=range.last.min(SLOT_COUNT - 1) {
                let current = &mut self.slots[usize::from(slot)];
                if owner.token > current.token {
                    *current = owner;
                }
            }
        }
        for key_override in &service.overrides {
            let owner = self.slot_owner(zone, key_override.owner.as_ref(), key_override.token);
            self.overrides.push((key_override.key, owner));
        }
    }

    fn slot_owner(&self, zone: u16, name: Option<&TargetName>, token: FencingToken) -> SlotOwner {
        let target = name
            .and_then(|name| {
                self.targets.binary_search_by(|target| target.entry.name.cmp(name)).ok()
            })
            .map_or(NO_TARGET, |index| index as u32);
        SlotOwner { target, zone, token }
    }

    /// Returns the owner and token of `key`. Does not allocate.
    ///
    /// In an unkeyed service, which has no slots, no key has an owner.
    pub fn key_route(&self, key: KeyHash) -> KeyRoute<'_> {
        let slot = key.slot();
        let slot_owner = self.slots.get(slot.as_usize()).copied().unwrap_or(SlotOwner::NONE);
        let search_key = (key, slot_owner.zone);
        let override_index =
            self.overrides.binary_search_by_key(&search_key, |(key, owner)| (*key, owner.zone));
        let is_override = override_index.is_ok();
        let owner = override_index.map_or(slot_owner, |index| self.overrides[index].1);
        let target = self.targets.get(owner.target as usize);
        KeyRoute {
            slot,
            is_override,
            token: owner.token,
            owner: target.map(|target| (&target.zone, &target.entry)),
        }
    }

    /// Returns the token of the latest grant or revocation of `slot`.
    pub fn slot_token(&self, slot: SlotIndex) -> FencingToken {
        self.slots.get(slot.as_usize()).map_or(FencingToken::NONE, |owner| owner.token)
    }

    /// Returns all targets of the service with their zones, sorted by target name.
    pub fn targets(&self) -> impl Iterator<Item = (&ZoneName, &TargetEntry)> {
        self.targets.iter().map(|target| (&target.zone, &target.entry))
    }
}
