use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceDefinition;
use gw_types::TargetEntry;
use gw_types::TargetState;
use gw_types::Timestamp;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::LossCause;
use crate::RegistryError;
use crate::RegistryOptions;
use crate::TargetAnnouncement;
use crate::TargetChange;
use crate::TrafficSummary;
use crate::TroubleKind;
use crate::loss_record::LossRecord;
use crate::target_health::HealthEvent;
use crate::target_health::TargetHealth;

/// A target in the registry.
pub(crate) struct TargetRegistration {
    /// `state` mirrors the state machine; `boot` never decreases.
    entry: TargetEntry,
    /// Absent after a rebuild from a zone table until the target announces itself.
    definition: Option<ServiceDefinition>,
    health: StateMachine<TargetHealth>,
    /// Sequence of the latest announcement of the run; never decreases within a run.
    sequence: u64,
    /// Time of the latest renewal or answer; never decreases within a run.
    last_seen: Timestamp,
    /// Time when the target last joined or was lost.
    state_since: Timestamp,
    /// Whether the run requested to drain. Never reset within a run.
    is_drain_requested: bool,
    is_unhealthy: bool,
    overloaded_until: Option<Timestamp>,
    /// Host, run and batch sequence of the latest traffic summary.
    last_summary: Option<(HostId, BootId, u64)>,
    losses: LossRecord,
    /// Time when the run was last lost. A failure report made before it does not cause another
    /// loss, since it may be a copy of the report that caused this one.
    last_lost_at: Option<Timestamp>,
}

impl TargetRegistration {
    pub(crate) fn new(announcement: &TargetAnnouncement, seen: Timestamp, now: Timestamp) -> Self {
        let mut registration = Self::from_entry(&entry_of(announcement), seen);
        registration.state_since = now;
        registration.definition = Some(announcement.definition());
        registration.sequence = announcement.sequence;
        registration
    }

    /// Creates the registration of a target listed in an adopted zone table, as if seen at `now`.
    pub(crate) fn from_entry(entry: &TargetEntry, now: Timestamp) -> Self {
        let mut registration = Self {
            entry: entry.clone(),
            definition: None,
            health: TargetHealth.state_machine(),
            sequence: 0,
            last_seen: now,
            state_since: now,
            is_drain_requested: entry.state == TargetState::Draining,
            is_unhealthy: false,
            overloaded_until: None,
            last_summary: None,
            losses: LossRecord::default(),
            last_lost_at: None,
        };
        match entry.state {
            TargetState::Starting => {}
            TargetState::Serving => registration.handle(HealthEvent::WarmedUp),
            TargetState::Draining => registration.handle(HealthEvent::DrainRequested),
            TargetState::Lost => registration.handle(HealthEvent::Failed),
        }
        registration
    }

    pub(crate) fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    pub(crate) fn definition(&self) -> Option<&ServiceDefinition> {
        self.definition.as_ref()
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.entry.state == TargetState::Lost
    }

    pub(crate) fn set_dispatcher(&mut self, dispatcher: Option<HostId>) {
        if self.entry.dispatcher != dispatcher {
            self.entry.dispatcher = dispatcher;
            self.last_summary = None;
        }
    }

    /// Processes an announcement of the registered run or a later one.
    pub(crate) fn announce(
        &mut self,
        announcement: &TargetAnnouncement,
        seen: Timestamp,
        now: Timestamp,
        options: &RegistryOptions,
    ) -> Result<Option<TargetChange>, RegistryError> {
        if announcement.boot_id > self.entry.boot {
            return Ok(self.start_run(announcement, seen, now, options));
        }
        if !self.renew(announcement.boot_id, announcement.sequence, seen)? {
            return Ok(None);
        }
        let changed = self.update(announcement);
        let rejoined = self.try_rejoin(now);
        Ok(rejoined.or_else(|| changed.filter(|_| !self.is_lost())))
    }

    /// Processes a renewal. Returns whether it is newer than the previous ones.
    ///
    /// Announcements that are not numbered (sequence 0) always count as new.
    pub(crate) fn renew(
        &mut self,
        boot: BootId,
        sequence: u64,
        seen: Timestamp,
    ) -> Result<bool, RegistryError> {
        self.check_run(boot)?;
        if sequence < self.sequence {
            return Err(RegistryError::OldSequence { known: self.sequence });
        }
        if sequence == self.sequence && sequence > 0 {
            return Ok(false);
        }
        self.sequence = sequence;
        self.last_seen = self.last_seen.max(seen);
        Ok(true)
    }

    /// Lets a lost target rejoin if its damping wait is over. To be called when the target was
    /// seen.
    pub(crate) fn try_rejoin(&mut self, now: Timestamp) -> Option<TargetChange> {
        if !self.is_lost() || self.is_drain_requested || self.losses.is_blocked(now) {
            return None;
        }
        self.state_since = now;
        self.is_unhealthy = false;
        self.handle(HealthEvent::Rejoined);
        Some(TargetChange::Joined { entry: self.entry.clone() })
    }

    fn start_run(
        &mut self,
        announcement: &TargetAnnouncement,
        seen: Timestamp,
        now: Timestamp,
        options: &RegistryOptions,
    ) -> Option<TargetChange> {
        let previous = self.entry.boot;
        let was_lost = self.is_lost();
        if !was_lost && !self.is_drain_requested {
            self.losses.record(now, LossCause::Replaced, options);
        }
        let dispatcher = self.entry.dispatcher;
        self.entry = TargetEntry { dispatcher, ..entry_of(announcement) };
        self.definition = Some(announcement.definition());
        self.sequence = announcement.sequence;
        self.last_seen = seen;
        self.is_drain_requested = false;
        self.last_lost_at = None;
        self.overloaded_until = None;
        self.handle(HealthEvent::Failed);
        match self.try_rejoin(now) {
            Some(_) if !was_lost => {
                Some(TargetChange::Restarted { entry: self.entry.clone(), previous })
            }
            None if !was_lost => {
                self.state_since = now;
                Some(self.loss_change(previous, LossCause::Replaced))
            }
            joined => joined,
        }
    }

    fn update(&mut self, announcement: &TargetAnnouncement) -> Option<TargetChange> {
        let before = self.entry.clone();
        self.entry.address = announcement.address;
        self.entry.checks_tokens = announcement.checks_tokens;
        self.entry.work_slots = announcement.work_slots.max(1);
        self.definition = Some(announcement.definition());
        (before != self.entry).then(|| TargetChange::Changed { entry: self.entry.clone() })
    }

    pub(crate) fn report(
        &mut self,
        boot: BootId,
        trouble: TroubleKind,
        seen: Timestamp,
        now: Timestamp,
        options: &RegistryOptions,
    ) -> Result<Option<TargetChange>, RegistryError> {
        self.check_run(boot)?;
        Ok(match trouble {
            TroubleKind::Overloaded => self.overload(now + options.overload_duration),
            TroubleKind::Failing if self.last_lost_at.is_some_and(|lost| seen <= lost) => None,
            TroubleKind::Failing => self.lose(now, LossCause::Reported, options),
            TroubleKind::Draining | TroubleKind::Leaving => self.drain(),
        })
    }

    fn overload(&mut self, until: Timestamp) -> Option<TargetChange> {
        let was_overloaded = self.overloaded_until.replace(until).is_some();
        (!was_overloaded).then(|| self.overload_change(true))
    }

    fn overload_change(&self, is_overloaded: bool) -> TargetChange {
        TargetChange::Overloaded { target: self.entry.name.clone(), is_overloaded }
    }

    fn drain(&mut self) -> Option<TargetChange> {
        if self.is_drain_requested {
            return None;
        }
        self.is_drain_requested = true;
        self.handle(HealthEvent::DrainRequested);
        let (target, boot) = (self.entry.name.clone(), self.entry.boot);
        (!self.is_lost()).then_some(TargetChange::Draining { target, boot })
    }

    pub(crate) fn set_health(
        &mut self,
        boot: BootId,
        is_healthy: bool,
    ) -> Result<(), RegistryError> {
        self.check_run(boot)?;
        self.is_unhealthy = !is_healthy;
        Ok(())
    }

    /// Processes a traffic summary; `from` is the sending host, its run and the sequence of the
    /// batch.
    pub(crate) fn observe(
        &mut self,
        from: (HostId, BootId, u64),
        summary: &TrafficSummary,
        seen: Timestamp,
        now: Timestamp,
        options: &RegistryOptions,
    ) -> Result<Option<TargetChange>, RegistryError> {
        self.check_run(summary.boot)?;
        if self.entry.dispatcher != Some(from.0) {
            return Err(RegistryError::NotDispatcher);
        }
        if let Some(known) =
            self.last_summary.filter(|known| (known.1, known.2) >= (from.1, from.2))
        {
            return Err(RegistryError::OldSequence { known: known.2 });
        }
        self.last_summary = Some(from);
        if let Some(age) = summary.last_answer_age_ms {
            let answered_at = seen - Duration::from_millis(u64::from(age));
            self.last_seen = self.last_seen.max(answered_at);
        }
        let limit = match self.is_unhealthy {
            true => options.unhealthy_failure_limit,
            false => options.failure_limit,
        };
        if summary.failures_in_row < limit {
            return Ok(None);
        }
        Ok(self.lose(now, LossCause::Failures, options))
    }

    /// Returns the changes that are due because time has passed.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        slow_start: Duration,
        options: &RegistryOptions,
    ) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        if self.overloaded_until.is_some_and(|until| until <= now) {
            self.overloaded_until = None;
            changes.push(self.overload_change(false));
        }
        if now.since(self.last_seen) >= options.expiry {
            changes.extend(self.lose(now, LossCause::Expired, options));
        }
        if self.entry.state == TargetState::Starting && now.since(self.state_since) >= slow_start {
            self.handle(HealthEvent::WarmedUp);
            changes.push(TargetChange::Changed { entry: self.entry.clone() });
        }
        changes
    }

    /// Returns when to call [`tick`](Self::tick) next.
    pub(crate) fn next_wakeup(&self, slow_start: Duration, options: &RegistryOptions) -> Timestamp {
        let by_state = match self.entry.state {
            TargetState::Lost => self.state_since + options.lost_retention,
            TargetState::Starting => {
                (self.state_since + slow_start).min(self.last_seen + options.expiry)
            }
            TargetState::Serving | TargetState::Draining => self.last_seen + options.expiry,
        };
        self.overloaded_until.map_or(by_state, |until| until.min(by_state))
    }

    /// Whether the target has been lost for so long that it can be removed from the registry.
    pub(crate) fn is_removable(&self, now: Timestamp, options: &RegistryOptions) -> bool {
        self.is_lost() && now.since(self.state_since) >= options.lost_retention
    }

    /// Returns when the target was lost; `None` if it is not lost.
    pub(crate) fn lost_since(&self) -> Option<Timestamp> {
        self.is_lost().then_some(self.state_since)
    }

    fn lose(
        &mut self,
        now: Timestamp,
        cause: LossCause,
        options: &RegistryOptions,
    ) -> Option<TargetChange> {
        if self.is_lost() {
            return None;
        }
        if !self.is_drain_requested {
            self.losses.record(now, cause, options);
        }
        self.state_since = now;
        self.last_lost_at = Some(now);
        self.handle(HealthEvent::Failed);
        Some(self.loss_change(self.entry.boot, cause))
    }

    fn loss_change(&self, boot: BootId, cause: LossCause) -> TargetChange {
        TargetChange::Lost { target: self.entry.name.clone(), boot, cause }
    }

    fn check_run(&self, boot: BootId) -> Result<(), RegistryError> {
        if boot < self.entry.boot {
            return Err(RegistryError::OldRun { known: self.entry.boot });
        }
        if boot > self.entry.boot {
            return Err(RegistryError::UnknownRun);
        }
        Ok(())
    }

    fn handle(&mut self, event: HealthEvent) {
        self.health.handle(&event);
        self.entry.state = self.health.state().target_state();
    }
}

fn entry_of(announcement: &TargetAnnouncement) -> TargetEntry {
    TargetEntry {
        name: announcement.target.clone(),
        service: announcement.service.clone(),
        address: announcement.address,
        boot: announcement.boot_id,
        state: TargetState::Starting,
        work_slots: announcement.work_slots.max(1),
        checks_tokens: announcement.checks_tokens,
        dispatcher: None,
    }
}
