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
use crate::change_memory::ChangeMemory;
use crate::profile_book::ProfileBook;
use crate::service_book::ServiceBook;
use crate::slot_delegation::check_cover;
use crate::zone_book::ZoneBook;

/// Format of [`ControlState::snapshot`]; the first byte of a snapshot.
pub const SNAPSHOT_VERSION: u8 = 1;

/// Why bytes are not a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// There are no bytes.
    #[error("the control snapshot is empty")]
    Empty,
    /// The snapshot was written by a later program.
    #[error("the control snapshot has format {found}; this program reads {SNAPSHOT_VERSION}")]
    Version {
        /// The snapshot's format.
        found: u8,
    },
    /// The bytes after the version cannot be decoded.
    #[error("the control snapshot of {bytes} bytes cannot be decoded")]
    Malformed {
        /// Length of the snapshot.
        bytes: usize,
    },
}

/// Everything that the control log decides, as of [`applied`](Self::applied).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Index of the last applied entry; never goes back.
    applied: u64,
    /// The last term drawn, by grants and delegations alike.
    last_term: TermNumber,
    pub(crate) profiles: ProfileBook,
    changes: ChangeMemory,
    pub(crate) services: ServiceBook,
    /// Sorted by service; keyed services only.
    pub(crate) delegations: Vec<SlotDelegation>,
    pub(crate) zones: ZoneBook,
    audit: AuditTrail,
}

impl ControlState {
    /// The state before the first entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the entry at `index`. An entry that was applied before changes nothing. Indexes may
    /// have gaps, because the log also has entries of its own.
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

    /// Notes that the log's entries up to `index` hold no further commands.
    pub fn advance(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The last term drawn.
    pub fn last_term(&self) -> TermNumber {
        self.last_term
    }

    /// What hosts read from the state.
    pub fn view(&self) -> ControlView<'_> {
        ControlView::new(self)
    }

    /// A page of the audit trail, newest first.
    pub fn audit(&self, query: &AuditQuery) -> AuditPage {
        self.audit.query(query)
    }

    /// The state as bytes: the format version, then the state in postcard. Equal states have equal
    /// bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![SNAPSHOT_VERSION])
            .expect("the control state has an encoding")
    }

    /// The state that `bytes` were made of.
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
        if let Some((known, outcome)) = self.first_answer(change) {
            let taken = ProfileOutcome::Refused(ProfileRefusal::ChangeIdTaken);
            return if known == fingerprint { outcome } else { taken };
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

    /// Fingerprint and outcome of the first change with the same id.
    fn first_answer(&self, change: &ProfileChange) -> Option<(gw_types::KeyHash, ProfileOutcome)> {
        if let Some(answer) = self.changes.find(&change.change_id) {
            return Some((answer.fingerprint, answer.outcome.clone()));
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
        let Some(term) = self.draw_term() else { return GrantOutcome::TermsExhausted };
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
        check_cover(ranges)?;
        let place = self.delegations.binary_search_by(|known| known.service.cmp(service));
        let previous = place.ok().map(|place| &self.delegations[place]);
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
        delegation.note_expired(expired);
        match place {
            Ok(place) => self.delegations[place] = delegation,
            Err(place) => self.delegations.insert(place, delegation),
        }
        Ok(DelegateOutcome::Delegated { term: next, moved })
    }

    fn record_moves(&mut self, batch: &MoveBatch) -> u32 {
        if !self.zones.note_batch(batch.zone.as_str(), batch.version) {
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

    fn draw_term(&mut self) -> Option<TermNumber> {
        let term = self.next_term()?;
        self.last_term = term;
        Some(term)
    }
}
