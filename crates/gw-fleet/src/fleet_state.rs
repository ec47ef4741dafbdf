use std::net::SocketAddr;
use std::sync::Arc;

use gw_ranges::OrderKind;
use gw_ranges::RangeCommand;
use gw_ranges::RangeHolder;
use gw_ranges::RangeTable;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_routing::RoutingConfig;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::DepartedTarget;
use crate::DepartureCause;
use crate::FleetCommand;
use crate::FleetOutcome;
use crate::FormatVersion;
use crate::ReplicaRecord;
use crate::StoredConfig;
use crate::TargetPhase;
use crate::TargetRecord;
use crate::ZoneEvacuation;
use crate::state_additions::StateAdditions;

/// Number of departed targets kept. Exceeds the number that can leave while a late announcement is
/// still in transit.
const MAX_DEPARTED_TARGETS: usize = 1024;

/// Failure to encode or decode a snapshot.
#[derive(Debug, thiserror::Error)]
#[error("snapshot of the fleet state: {0}")]
pub struct SnapshotError(#[from] postcard::Error);

/// State machine of the control log. Deterministic: equal logs yield equal states.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    /// Sorted by id.
    replicas: Vec<ReplicaRecord>,
    /// Highest replica id assigned so far.
    last_replica: u16,
    /// Current configuration. Its version never decreases.
    config: Option<StoredConfig>,
    /// Sorted by name. No two targets have the same address.
    targets: Vec<TargetRecord>,
    /// In order of removal; at most [`MAX_DEPARTED_TARGETS`].
    departed: Vec<DepartedTarget>,
    /// Range tables, sorted by service.
    tables: Vec<(ServiceName, RangeTable)>,
    /// Highest fencing token assigned so far, over all services. Never decreases.
    last_fence: u64,
    /// Not part of the serialized form, which earlier builds read; see [`FleetState::snapshot`].
    #[serde(skip)]
    additions: StateAdditions,
}

impl FleetState {
    /// Applies the next command of the log.
    pub fn apply(&mut self, command: &FleetCommand) -> FleetOutcome {
        match command {
            FleetCommand::SetFirstReplicas(first) => self.set_first_replicas(first),
            FleetCommand::AddReplica { folder, peers, calls } => {
                self.add_replica(*folder, *peers, *calls)
            }
            FleetCommand::RemoveReplica { id } => {
                self.replicas.retain(|replica| replica.id != *id);
                FleetOutcome::Applied
            }
            FleetCommand::SetConfig(config) => {
                let is_newer = config.routing.version > self.config_version();
                if is_newer || self.config.is_none() {
                    self.config = Some(config.clone());
                }
                FleetOutcome::Config(self.config_version())
            }
            FleetCommand::PatchConfig(patch) => self.patch_config(patch),
            FleetCommand::PutTarget(record) => self.put_target(record),
            FleetCommand::RemoveTarget { name, run, cause } => {
                self.remove_target(name, *run, *cause)
            }
            FleetCommand::ChangeRanges(change) => self.change_ranges(change),
            FleetCommand::StartEvacuation(evacuation) => self.start_evacuation(evacuation),
            FleetCommand::EndEvacuation { zone } => self.end_evacuation(zone),
        }
    }

    fn patch_config(&mut self, patch: &ConfigPatch) -> FleetOutcome {
        let patched = self.config.as_ref().and_then(|config| patch.apply(&config.routing));
        let Some(routing) = patched else { return FleetOutcome::Superseded };
        self.config = Some(StoredConfig { routing: Arc::new(routing), document: Arc::from([]) });
        FleetOutcome::Config(self.config_version())
    }

    fn set_first_replicas(&mut self, first: &[ReplicaRecord]) -> FleetOutcome {
        if self.last_replica > 0 {
            return FleetOutcome::Superseded;
        }
        self.replicas = first.to_vec();
        self.replicas.sort_by_key(|replica| replica.id);
        self.last_replica = self.replicas.last().map_or(0, |replica| replica.id.0);
        FleetOutcome::Applied
    }

    fn add_replica(&mut self, folder: u64, peers: SocketAddr, calls: SocketAddr) -> FleetOutcome {
        if let Some(known) = self.replicas.iter().find(|replica| replica.folder == folder) {
            return FleetOutcome::Replica(known.id);
        }
        self.last_replica += 1;
        let id = HostId(self.last_replica);
        self.replicas.push(ReplicaRecord { id, folder, peers, calls });
        FleetOutcome::Replica(id)
    }

    fn put_target(&mut self, record: &TargetRecord) -> FleetOutcome {
        let is_outdated = |departed: &DepartedTarget| {
            departed.cause != DepartureCause::Silent
                && departed.record.name == record.name
                && departed.record.run >= record.run
        };
        if self.departed.iter().any(is_outdated) {
            return FleetOutcome::Superseded;
        }
        let has_same_address =
            |other: &&TargetRecord| other.address == record.address && other.name != record.name;
        if let Some(other) = self.targets.iter().find(has_same_address).cloned() {
            if other.run > record.run {
                return FleetOutcome::Superseded;
            }
            self.remove_target(&other.name, None, DepartureCause::Ended);
        }
        match self.targets.binary_search_by(|known| known.name.cmp(&record.name)) {
            Err(position) => {
                let was_draining = self.departed.iter().any(|departed| {
                    departed.record.holder() == record.holder()
                        && departed.record.phase == TargetPhase::Draining
                });
                self.departed.retain(|departed| departed.record.name != record.name);
                self.targets.insert(position, record.clone());
                if was_draining {
                    self.targets[position].phase = TargetPhase::Draining;
                }
            }
            Ok(index) => {
                let known = &mut self.targets[index];
                if known.run > record.run {
                    return FleetOutcome::Superseded;
                }
                let is_draining = known.run == record.run && known.phase == TargetPhase::Draining;
                *known = record.clone();
                if is_draining {
                    known.phase = TargetPhase::Draining;
                }
            }
        }
        FleetOutcome::Applied
    }

    fn remove_target(
        &mut self,
        name: &TargetName,
        run: Option<u64>,
        cause: DepartureCause,
    ) -> FleetOutcome {
        let found = self.targets.binary_search_by(|known| known.name.cmp(name));
        let index = match found {
            Ok(index) if run.is_none_or(|run| run == self.targets[index].run) => index,
            _ => {
                // A target that was removed as silent has now deregistered itself.
                let removed = self.departed.iter_mut().find(|departed| {
                    departed.record.name == *name
                        && run.is_none_or(|run| run == departed.record.run)
                });
                if let Some(departed) = removed.filter(|_| cause == DepartureCause::Left) {
                    departed.cause = cause;
                }
                return FleetOutcome::Superseded;
            }
        };
        let record = self.targets.remove(index);
        self.departed.retain(|departed| departed.record.name != record.name);
        self.departed.push(DepartedTarget { record, cause });
        if self.departed.len() > MAX_DEPARTED_TARGETS {
            self.departed.remove(0);
        }
        FleetOutcome::Applied
    }

    fn change_ranges(&mut self, change: &RangeCommand) -> FleetOutcome {
        let mut is_changed = false;
        match change {
            RangeCommand::Announce { service, moves } => {
                let table = self.table_mut(service);
                for transfer in moves {
                    is_changed |= table.announce(transfer);
                }
            }
            RangeCommand::Assign { service, moves } => {
                let fence = self.last_fence + 1;
                let table = self.table_mut(service);
                for transfer in moves {
                    is_changed |= table.assign(transfer, fence);
                }
                self.last_fence = fence;
            }
        }
        if is_changed { FleetOutcome::Applied } else { FleetOutcome::Superseded }
    }

    fn start_evacuation(&mut self, evacuation: &ZoneEvacuation) -> FleetOutcome {
        match self.find_evacuation(&evacuation.zone) {
            Ok(_) => FleetOutcome::Superseded,
            Err(position) => {
                self.additions.evacuations.insert(position, evacuation.clone());
                FleetOutcome::Applied
            }
        }
    }

    fn end_evacuation(&mut self, zone: &ZoneName) -> FleetOutcome {
        match self.find_evacuation(zone) {
            Ok(index) => {
                self.additions.evacuations.remove(index);
                FleetOutcome::Applied
            }
            Err(_) => FleetOutcome::Superseded,
        }
    }

    fn find_evacuation(&self, zone: &ZoneName) -> Result<usize, usize> {
        self.additions.evacuations.binary_search_by(|known| known.zone.cmp(zone))
    }

    fn table_mut(&mut self, service: &ServiceName) -> &mut RangeTable {
        let found = self.tables.binary_search_by(|(name, _)| name.cmp(service));
        let index = found.unwrap_or_else(|position| {
            self.tables.insert(position, (service.clone(), RangeTable::default()));
            position
        });
        &mut self.tables[index].1
    }

    /// Returns the replicas of the control group, sorted by id.
    pub fn replicas(&self) -> &[ReplicaRecord] {
        &self.replicas
    }

    /// Returns the replica that the host of the replica `id` has become after the loss of its disk: it
    /// joins again at the same address under a higher id.
    pub fn replica_successor(&self, id: HostId) -> Option<HostId> {
        let record = self.replicas.iter().find(|replica| replica.id == id)?;
        let latest = self.replicas.iter().rfind(|other| other.peers == record.peers)?;
        (latest.id > id).then_some(latest.id)
    }

    /// Returns whether the replica `id` was part of the group and has been removed.
    pub fn is_removed(&self, id: HostId) -> bool {
        id.0 <= self.last_replica && !self.replicas.iter().any(|replica| replica.id == id)
    }

    /// Returns the current configuration with the operators' document.
    pub fn stored_config(&self) -> Option<&StoredConfig> {
        self.config.as_ref()
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Option<&Arc<RoutingConfig>> {
        self.config.as_ref().map(|config| &config.routing)
    }

    /// Returns the version of the current configuration; 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.config().map_or(ConfigVersion::default(), |config| config.version)
    }

    /// Returns the targets, sorted by name.
    pub fn targets(&self) -> &[TargetRecord] {
        &self.targets
    }

    /// Returns the target `name`.
    pub fn target(&self, name: &TargetName) -> Option<&TargetRecord> {
        let found = self.targets.binary_search_by(|known| known.name.cmp(name));
        found.ok().map(|index| &self.targets[index])
    }

    /// Returns the target that `holder` is a run of, if that run is the present one.
    pub fn live_target(&self, holder: &RangeHolder) -> Option<&TargetRecord> {
        self.target(&holder.target).filter(|target| target.run == holder.run)
    }

    /// Returns whether no run of the target `name` is registered, or can return without a later
    /// start.
    pub fn has_left(&self, name: &TargetName) -> bool {
        let can_return = |departed: &DepartedTarget| {
            departed.record.name == *name && departed.cause == DepartureCause::Silent
        };
        self.target(name).is_none() && !self.departed.iter().any(can_return)
    }

    /// Returns the most recently removed targets, in order of removal.
    pub fn departed(&self) -> &[DepartedTarget] {
        &self.departed
    }

    /// Returns the latest known run of the target `name`, also if it has been removed.
    pub fn latest_run(&self, name: &TargetName) -> Option<u64> {
        let departed = self.departed.iter().map(|departed| &departed.record);
        let records = departed.filter(|record| record.name == *name).chain(self.target(name));
        records.map(|record| record.run).max()
    }

    /// Returns whether a grant to `holder` may be sent. A later run of the target, which receives
    /// orders at the same address, must not take a grant with a token of the earlier run for its own.
    pub fn may_grant(&self, holder: &RangeHolder) -> bool {
        self.latest_run(&holder.target).is_none_or(|run| run <= holder.run)
    }

    /// Returns the record with the address to which an order is sent; `None` if it must not be sent.
    ///
    /// A release for a run that is no longer known goes to the present run: it may have accepted a
    /// grant that was meant for the earlier one, before it announced itself.
    pub fn order_address(&self, holder: &RangeHolder, kind: &OrderKind) -> Option<&TargetRecord> {
        let live = self.target(&holder.target);
        let departed = self.departed.iter().map(|departed| &departed.record);
        let same_run = live.into_iter().chain(departed).find(|record| record.holder() == *holder);
        match kind {
            OrderKind::Grant { .. } => same_run.filter(|_| self.may_grant(holder)),
            OrderKind::Release => same_run.or(live),
        }
    }

    /// Returns whether an announcement is that of a run that has left or ended, and therefore late.
    pub fn is_outdated(&self, record: &TargetRecord) -> bool {
        let has_departed = self.departed.iter().any(|departed| {
            departed.record.name == record.name
                && departed.record.run == record.run
                && departed.cause != DepartureCause::Silent
        });
        has_departed || self.latest_run(&record.name).is_some_and(|run| run > record.run)
    }

    /// Returns whether an announcement names a service that the configuration does not name, with the
    /// name or the address of a target of one that it names, or of one that was silent. Such an
    /// announcement comes from another writer and must change nothing about that target.
    pub fn contradicts_service(&self, record: &TargetRecord) -> bool {
        let silent = self.departed.iter().filter(|left| left.cause == DepartureCause::Silent);
        let mut known = self.targets.iter().chain(silent.map(|departed| &departed.record));
        self.config.is_some()
            && !self.names_service(record)
            && known.any(|known| {
                (known.name == record.name || known.address == record.address)
                    && self.names_service(known)
            })
    }

    /// Returns the target that keeps an announcement from being registered, as a later run at the same
    /// address, although the configuration names only the service of the announcement.
    pub fn misplaced_target(&self, record: &TargetRecord) -> Option<RangeHolder> {
        let is_misplaced = |other: &&TargetRecord| {
            other.address == record.address && other.name != record.name && other.run > record.run
        };
        let other = self.targets.iter().find(is_misplaced)?;
        (self.names_service(record) && !self.names_service(other)).then(|| other.holder())
    }

    fn names_service(&self, record: &TargetRecord) -> bool {
        self.config().is_some_and(|config| config.service(&record.service).is_some())
    }

    /// Returns the range table of `service`; `None` if none of its ranges was ever assigned.
    pub fn table(&self, service: &ServiceName) -> Option<&RangeTable> {
        let found = self.tables.binary_search_by(|(name, _)| name.cmp(service));
        found.ok().map(|index| &self.tables[index].1)
    }

    /// Returns the zones whose targets are to get no requests, sorted by zone.
    pub fn evacuations(&self) -> &[ZoneEvacuation] {
        &self.additions.evacuations
    }

    /// Returns whether the targets of `zone` are to get no requests.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.find_evacuation(zone).is_ok()
    }

    /// Returns the oldest version that can represent the whole state.
    pub fn format(&self) -> FormatVersion {
        self.additions.format()
    }

    /// Returns the state for entry hosts, without the document of the configuration.
    pub fn for_entry_hosts(&self) -> Self {
        let config = self.config.as_ref().map(StoredConfig::without_document);
        Self { config, ..self.clone() }
    }

    /// Encodes the state: the part that all builds know, followed by additions, which earlier builds
    /// ignore.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let bytes = postcard::to_stdvec(self)?;
        Ok(postcard::to_extend(&self.additions, bytes)?)
    }

    /// Decodes a snapshot of [`FleetState::snapshot`], also one of an earlier build, which ends
    /// without additions.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (mut state, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            state.additions = postcard::from_bytes(rest)?;
        }
        Ok(state)
    }
}
