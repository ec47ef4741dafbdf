use std::collections::VecDeque;
use std::sync::Arc;

use gw_profile::DEFAULT_PROFILE_NAME;
use gw_profile::FIELD_RULES;
use gw_profile::FieldKind;
use gw_profile::Profile;
use gw_profile::Revision;
use gw_profile::shipped_profile;
use gw_types::ServiceDefinition;
use gw_types::ZoneName;
use gw_types::ZoneTable;

use crate::ControlState;
use crate::DelegatedRange;
use crate::ProfileRevision;
use crate::ServiceWarning;
use crate::SlotDelegation;
use crate::ZoneGrant;

/// The profile that applies to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveProfile {
    /// Values of the profile.
    pub profile: Arc<Profile>,
    /// Revision of the profile; [`Revision::NONE`] for a shipped profile.
    pub revision: Revision,
}

/// Read access to a [`ControlState`].
#[derive(Clone, Copy, Debug)]
pub struct ControlView<'a> {
    state: &'a ControlState,
}

impl<'a> ControlView<'a> {
    pub(crate) fn new(state: &'a ControlState) -> Self {
        Self { state }
    }

    /// The registered definition of `service`.
    pub fn definition(self, service: &str) -> Option<&'a Arc<ServiceDefinition>> {
        self.state.services.entry(service).map(|entry| &entry.definition)
    }

    /// All registered definitions, sorted by name.
    pub fn definitions(self) -> impl Iterator<Item = &'a Arc<ServiceDefinition>> {
        self.state.services.definitions()
    }

    /// The profile that applies to a registered service; absent if the service is unknown.
    pub fn service_profile(self, service: &str) -> Option<EffectiveProfile> {
        let definition = self.definition(service)?;
        Some(self.effective_profile(definition.profile.as_str()))
    }

    /// The profile that applies to a service whose definition names `profile`: the operators'
    /// profile of that name, else the shipped profile of that name, else `default`.
    pub fn effective_profile(self, profile: &str) -> EffectiveProfile {
        self.existing_profile(profile)
            .or_else(|| self.existing_profile(DEFAULT_PROFILE_NAME))
            .expect("the shipped default profile parses")
    }

    fn existing_profile(self, name: &str) -> Option<EffectiveProfile> {
        if let Some(latest) = self.state.profiles.latest(name) {
            let profile = latest.profile.clone();
            return Some(EffectiveProfile { profile, revision: latest.revision });
        }
        let profile = shipped_profile(name)?;
        Some(EffectiveProfile { profile, revision: Revision::NONE })
    }

    /// The latest revision of the profile `name`; absent if no operator has created it.
    pub fn profile(self, name: &str) -> Option<&'a ProfileRevision> {
        self.state.profiles.latest(name)
    }

    /// The latest revision of each profile that operators have created, sorted by name.
    pub fn profiles(self) -> impl Iterator<Item = &'a ProfileRevision> {
        self.state.profiles.all_latest()
    }

    /// The kept revisions of a profile, newest first.
    pub fn history(self, name: &str) -> impl Iterator<Item = &'a ProfileRevision> {
        self.state.profiles.history(name).into_iter().flat_map(|history| history.iter().rev())
    }

    /// The delegation of the slots of `service` to zones; absent before the first one.
    pub fn delegation(self, service: &str) -> Option<&'a SlotDelegation> {
        let known = &self.state.delegations;
        let position = known.binary_search_by(|entry| entry.service.as_str().cmp(service)).ok()?;
        known.get(position)
    }

    /// The delegations of all keyed services, sorted by service.
    pub fn delegations(self) -> &'a [SlotDelegation] {
        &self.state.delegations
    }

    /// Whether every zone that may have held slots of `range` before has released them. A zone has
    /// released them if its stored table was made after it had applied the delegation and does not
    /// contain the slots, or if its hold had expired when the delegation was made.
    pub fn is_released(&self, service: &str, range: &DelegatedRange) -> bool {
        let Some(delegation) = self.delegation(service) else { return false };
        let others = delegation.earlier_holders.iter().filter(|zone| **zone != range.zone);
        others.into_iter().all(|zone| {
            delegation.is_expired(zone, range.term) || self.has_released(zone, service, range)
        })
    }

    fn has_released(&self, zone: &ZoneName, service: &str, range: &DelegatedRange) -> bool {
        let Some(table) = self.zone_table(zone.as_str()) else { return false };
        let held = table.service(service).map_or(&[][..], |held| &held.ranges);
        let overlaps = held.iter().any(|held| held.first <= range.last && range.first <= held.last);
        table.delegation_term >= range.term && !overlaps
    }

    /// The latest lease grant of `zone`; absent before the first one.
    pub fn grant(self, zone: &str) -> Option<&'a ZoneGrant> {
        self.state.zones.grant_of(zone)
    }

    /// The latest lease grants of all zones, sorted by zone.
    pub fn grants(self) -> impl Iterator<Item = &'a ZoneGrant> {
        self.state.zones.grants()
    }

    /// The latest table of `zone` in the control log.
    pub fn zone_table(self, zone: &str) -> Option<&'a Arc<ZoneTable>> {
        self.state.zones.table(zone)
    }

    /// The latest tables of all zones in the control log, sorted by zone.
    pub fn zone_tables(self) -> impl Iterator<Item = &'a Arc<ZoneTable>> {
        self.state.zones.tables()
    }

    /// The longest `zone_hold_ms` in milliseconds that any host may use for `service` if it has
    /// applied the log up to index `since` or later.
    ///
    /// A zone that was isolated at `since` does not know of later changes. A hold that was
    /// shortened afterwards must not decide when its slots may be delegated to another zone. If the
    /// kept history does not reach back to `since`, returns the longest hold that profiles may set.
    pub fn longest_zone_hold_ms(self, service: &str, since: u64) -> u32 {
        let Some(entry) = self.state.services.entry(service) else { return max_zone_hold_ms() };
        if entry.index > since {
            return self.longest_hold_of_all(since);
        }
        let name = entry.definition.profile.as_str();
        let own = self.longest_hold_since(name, since);
        let fallback = match self.state.profiles.history(name) {
            Some(history) if !is_created_after(history, since) => 0,
            _ if shipped_profile(name).is_some() => 0,
            _ => self.longest_hold_since(DEFAULT_PROFILE_NAME, since),
        };
        own.max(fallback)
    }

    fn longest_hold_of_all(self, since: u64) -> u32 {
        let created = self.state.profiles.all_kept().map(|entry| entry.profile.name.as_str());
        let names = created.chain(gw_profile::SHIPPED_PROFILE_NAMES);
        let mut names: Vec<_> = names.collect();
        names.sort_unstable();
        names.dedup();
        names.into_iter().map(|name| self.longest_hold_since(name, since)).max().unwrap_or(0)
    }

    /// The longest `zone_hold_ms` among the revisions of profile `name` that were in force at index
    /// `since` or later.
    fn longest_hold_since(self, name: &str, since: u64) -> u32 {
        let shipped = || shipped_profile(name).map_or(0, |profile| profile.moves.zone_hold_ms);
        let Some(history) = self.state.profiles.history(name) else { return shipped() };
        let first = history.partition_point(|entry| entry.index <= since);
        let later = history.iter().skip(first.saturating_sub(1));
        let longest = later.map(|entry| entry.profile.moves.zone_hold_ms).max().unwrap_or(0);
        match (first, history.front()) {
            (0, Some(oldest)) if oldest.revision == Revision(1) => longest.max(shipped()),
            (0, _) => max_zone_hold_ms(),
            _ => longest,
        }
    }

    /// Problems of a service definition that operators should correct.
    pub(crate) fn warnings(self, definition: &ServiceDefinition) -> Vec<ServiceWarning> {
        let mut warnings = Vec::new();
        if self.state.profiles.latest(definition.profile.as_str()).is_none() {
            let used = self.effective_profile(definition.profile.as_str()).profile.name.clone();
            if used != definition.profile {
                let named = definition.profile.clone();
                warnings.push(ServiceWarning::NoSuchProfile { named, used });
            }
        }
        let others = self.definitions().filter(|other| other.name != definition.name);
        let same = others.filter(|other| other.route == definition.route);
        warnings
            .extend(same.map(|other| ServiceWarning::SameRoute { service: other.name.clone() }));
        warnings
    }
}

fn is_created_after(history: &VecDeque<ProfileRevision>, since: u64) -> bool {
    history.front().is_some_and(|oldest| oldest.index > since)
}

fn max_zone_hold_ms() -> u32 {
    let rule = FIELD_RULES.iter().find(|rule| rule.path == "move.zone_hold_ms");
    match rule.map(|rule| rule.kind) {
        Some(FieldKind::Integer(_, max)) => u32::try_from(max).unwrap_or(u32::MAX),
        _ => u32::MAX,
    }
}
