use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::AuditEvent;
use crate::AuditPage;
use crate::AuditQuery;
use crate::ControlCommand;
use crate::ControlOutcome;
use crate::ControlView;
use crate::DelegateOutcome;
use crate::DelegateRefusal;
use crate::GrantOutcome;
use crate::MoveBatch;
use crate::ProfileChange;
use crate::ProfileOutcome;
use crate::ProfileRefusal;
use crate::ServiceOutcome;
use crate::SlotDelegation;
use crate::ZoneGrant;
use crate::ZoneRange;
use crate::audit_trail::AuditTrail;
use crate::change_cache::ChangeCache;
use crate::profile_store::ProfileStore;
use crate::service_registry::ServiceRegistry;
use crate::slot_delegation::check_coverage;
use crate::zone_store::ZoneStore;

/// Format version of [`ControlState::snapshot`], which is the first byte of a snapshot.
pub const SNAPSHOT_VERSION: u8 = 1;

/// Why bytes cannot be restored as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot is empty.
    #[error("the control snapshot is empty")]
    Empty,
    /// The snapshot has another format version.
    #[error("the control snapshot has format {found}; this program reads {SNAPSHOT_VERSION}")]
    Version {
        /// Format version of the snapshot.
        found: u8,
    },
    /// The bytes after the version cannot be decoded.
    #[error("the control snapshot of {bytes} bytes cannot be decoded")]
    Malformed {
        /// Length of the snapshot in bytes.
        bytes: usize,
    },
}

/// The state that results from applying the control log up to index [`applied`](Self::applied).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Index of the last applied entry; never decreases.
    applied: u64,
    /// The last allocated term. Zone grants and delegations share one counter.
    last_term: TermNumber,
    pub(crate) profiles: ProfileStore,
    changes: ChangeCache,
    pub(crate) services: ServiceRegistry,
    /// Sorted by service; keyed services only.
    pub(crate) delegations: Vec<SlotDelegation>,
    pub(crate) zones: ZoneStore,
    audit: AuditTrail,
}

impl ControlState {
    /// The state before the first entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the entry at `index`. Does nothing if the entry was applied before. Indexes may have
    /// gaps, because some log entries carry no command.
    pub fn apply(&mut self, index: u64, command: &ControlCommand) -> ControlOutcome {
        if index <= self.applied {
            return ControlOutcome::AlreadyApplied;
        }
        self.applied = index;
        match command {
            ControlCommand::ApplyProfile(change) => {
                ControlOutcome::Profile(self.apply_profile(index, change))
            }
            ControlCommand::RegisterService(definition) => {
                ControlOutcome::Service(self.register(index, definition, &[]))
            }
            ControlCommand::AnnounceDefinition { definition, targets } => {
                ControlOutcome::Service(self.register(index, definition, targets))
            }
            ControlCommand::GrantZone { zone, host, boot } => {
                ControlOutcome::Grant(self.grant_zone(zone, *host, *boot))
            }
            ControlCommand::Delegate { service, base, ranges, expired } => {
                ControlOutcome::Delegation(self.delegate(service, *base, ranges, expired))
            }
            ControlCommand::StoreZoneTable(table) => ControlOutcome::Table(self.zones.store(table)),
            ControlCommand::RecordMoves(batch) => ControlOutcome::Moves(self.record_moves(batch)),
        }
    }

    /// Advances the applied index over log entries without commands.
    pub fn advance(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The last term allocated to a zone grant or a delegation.
    pub fn last_term(&self) -> TermNumber {
        self.last_term
    }

    /// Read access to the state.
    pub fn view(&self) -> ControlView<'_> {
        ControlView::new(self)
    }

    /// The page of the audit trail that `query` selects, newest record first.
    pub fn audit(&self, query: &AuditQuery) -> AuditPage {
        self.audit.query(query)
    }

    /// Encodes the state: one byte with the format version, then the state in postcard. Equal
    /// states have equal encodings.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![SNAPSHOT_VERSION])
            .expect("the control state has an encoding")
    }

    /// Decodes a state from the bytes of a [`snapshot`](Self::snapshot).
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (&found, body) = bytes.split_first().ok_or(SnapshotError::Empty)?;
        if found != SNAPSHOT_VERSION {
            return Err(SnapshotError::Version { found });
        }
        match postcard::take_from_bytes(body) {
            Ok((state, [])) => Ok(state),
            _ => Err(SnapshotError::Malformed { bytes: bytes.len() }),
        }
    }

    fn apply_profile(&mut self, index: u64, change: &ProfileChange) -> ProfileOutcome {
        let fingerprint = change.fingerprint();
        if let Some((known, outcome)) = self.known_outcome(change) {
            let id_taken = ProfileOutcome::Refused(ProfileRefusal::ChangeIdTaken);
            return if known == fingerprint { outcome } else { id_taken };
        }
        let outcome = self.profiles.change(index, change);
        self.changes.add(change.change_id.clone(), fingerprint, outcome.clone());
        let event = AuditEvent::Profile {
            profile: change.profile.name.clone(),
            operator: change.operator.clone(),
            base: change.base,
            change_id: change.change_id.clone(),
            result: outcome.clone(),
        };
        self.audit.add(change.at, event);
        outcome
    }

    /// Fingerprint and outcome of the first change with the same id, if it is still known.
    fn known_outcome(&self, change: &ProfileChange) -> Option<(gw_types::KeyHash, ProfileOutcome)> {
        if let Some(cached) = self.changes.find(&change.change_id) {
            return Some((cached.fingerprint, cached.outcome.clone()));
        }
        let entry = self.profiles.find_change(&change.change_id)?;
        Some((entry.fingerprint, ProfileOutcome::Accepted { revision: entry.revision }))
    }

    fn register(
        &mut self,
        index: u64,
        definition: &ServiceDefinition,
        announced: &[(TargetName, BootId)],
    ) -> ServiceOutcome {
        let live = self.zones.live_targets(definition.name.as_str());
        let mut outcome = self.services.register(index, definition, announced, &live);
        if let ServiceOutcome::Registered { changed, warnings } = &mut outcome {
            *warnings = self.view().warnings(definition);
            if *changed && !definition.is_keyed() {
                self.delegations.retain(|delegation| delegation.service != definition.name);
            }
        }
        outcome
    }

    fn grant_zone(&mut self, zone: &ZoneName, host: HostId, boot: BootId) -> GrantOutcome {
        if !self.zones.has_room_for(zone.as_str()) {
            return GrantOutcome::TooManyZones;
        }
        let Some(term) = self.allocate_term() else { return GrantOutcome::TermsExhausted };
        self.zones.grant(ZoneGrant { zone: zone.clone(), host, boot, term });
        GrantOutcome::Granted { term }
    }

    fn delegate(
        &mut self,
        service: &ServiceName,
        base: TermNumber,
        ranges: &[ZoneRange],
        expired: &[ZoneName],
    ) -> DelegateOutcome {
        match self.try_delegate(service, base, ranges, expired) {
            Ok(outcome) => outcome,
            Err(refusal) => DelegateOutcome::Refused(refusal),
        }
    }

    fn try_delegate(
        &mut self,
        service: &ServiceName,
        base: TermNumber,
        ranges: &[ZoneRange],
        expired: &[ZoneName],
    ) -> Result<DelegateOutcome, DelegateRefusal> {
        let entry = self.services.entry(service.as_str()).ok_or(DelegateRefusal::NoSuchService)?;
        if !entry.definition.is_keyed() {
            return Err(DelegateRefusal::NotKeyed);
        }
        check_coverage(ranges)?;
        let position = self.delegations.binary_search_by(|known| known.service.cmp(service));
        let previous = position.ok().map(|position| &self.delegations[position]);
        let current = previous.map_or(TermNumber::default(), |previous| previous.term);
        let next = self.next_term().ok_or(DelegateRefusal::TermsExhausted)?;
        let (mut delegation, moved) =
            SlotDelegation::replace(service.clone(), previous, ranges, next);
        if moved == 0 {
            return Ok(DelegateOutcome::Unchanged { term: current });
        }
        if current != base {
            return Err(DelegateRefusal::StaleBase { current });
        }
        self.last_term = next;
        delegation.mark_expired(expired);
        match position {
            Ok(position) => self.delegations[position] = delegation,
            Err(position) => self.delegations.insert(position, delegation),
        }
        Ok(DelegateOutcome::Delegated { term: next, moved })
    }

    fn record_moves(&mut self, batch: &MoveBatch) -> u32 {
        if !self.zones.record_batch(batch.zone.as_str(), batch.version) {
            return 0;
        }
        for record in &batch.moves {
            let event = AuditEvent::Move { zone: batch.zone.clone(), record: record.clone() };
            self.audit.add(batch.at, event);
        }
        batch.moves.len() as u32
    }

    fn next_term(&self) -> Option<TermNumber> {
        self.last_term.0.checked_add(1).map(TermNumber)
    }

    fn allocate_term(&mut self) -> Option<TermNumber> {
        let term = self.next_term()?;
        self.last_term = term;
        Some(term)
    }
}
