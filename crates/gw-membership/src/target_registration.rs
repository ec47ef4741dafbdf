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

/// One registered target.
pub(crate) struct TargetRegistration {
    /// `state` is a copy of the machine's; `boot` never goes back.
    entry: TargetEntry,
    /// Absent until the first announcement after a rebuild from a zone table.
    definition: Option<ServiceDefinition>,
    health: StateMachine<TargetHealth>,
    /// Latest announcement of the run; never goes back within a run.
    sequence: u64,
    /// Latest renewal or answer; never goes back.
    last_seen: Timestamp,
    /// When the target was last given its state by joining or being lost.
    since: Timestamp,
    /// Whether the run asked to drain. Never undone within a run.
    has_drained: bool,
    is_unhealthy: bool,
    overloaded_until: Option<Timestamp>,
    /// Host, run and batch of the latest traffic summary.
    observed: Option<(HostId, BootId, u64)>,
    losses: LossRecord,
    /// When the run was last lost. A copy of the report that caused the loss was heard before.
    last_loss: Option<Timestamp>,
}

impl TargetRegistration {
    pub(crate) fn new(announcement: &TargetAnnouncement, seen: Timestamp, now: Timestamp) -> Self {
        let mut registration = Self::from_entry(&entry_of(announcement), seen);
        registration.since = now;
        registration.definition = Some(announcement.definition());
        registration.sequence = announcement.sequence;
        registration
    }

    /// A target as an adopted zone table lists it, seen at `now`.
    pub(crate) fn from_entry(entry: &TargetEntry, now: Timestamp) -> Self {
        let mut registration = Self {
            entry: entry.clone(),
            definition: None,
            health: TargetHealth.state_machine(),
            sequence: 0,
            last_seen: now,
            since: now,
            has_drained: entry.state == TargetState::Draining,
            is_unhealthy: false,
            overloaded_until: None,
            observed: None,
            losses: LossRecord::default(),
            last_loss: None,
        };
        match entry.state {
            TargetState::Starting => {}
            TargetState::Serving => registration.handle(HealthEvent::WarmedUp),
            TargetState::Draining => registration.handle(HealthEvent::DrainAsked),
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
            self.observed = None;
        }
    }

    /// Takes an announcement of the registered run or a later one.
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
        let returned = self.try_return(now);
        Ok(returned.or_else(|| changed.filter(|_| !self.is_lost())))
    }

    /// Takes a renewal; returns whether it is newer than the ones before.
    ///
    /// Announcements without numbers (sequence 0) all count as new.
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

    /// Lets a lost target join again if its wait is over and it was seen since.
    pub(crate) fn try_return(&mut self, now: Timestamp) -> Option<TargetChange> {
        if !self.is_lost() || self.has_drained || self.losses.is_blocked(now) {
            return None;
        }
        self.since = now;
        self.is_unhealthy = false;
        self.handle(HealthEvent::Returned);
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
        if !was_lost && !self.has_drained {
            self.losses.add(now, LossCause::Replaced, options);
        }
        let dispatcher = self.entry.dispatcher;
        self.entry = TargetEntry { dispatcher, ..entry_of(announcement) };
        self.definition = Some(announcement.definition());
        self.sequence = announcement.sequence;
        self.last_seen = seen;
        self.has_drained = false;
        self.last_loss = None;
        self.overloaded_until = None;
        self.handle(HealthEvent::Failed);
        match self.try_return(now) {
            Some(_) if !was_lost => {
                Some(TargetChange::Restarted { entry: self.entry.clone(), previous })
            }
            None if !was_lost => {
                self.since = now;
                Some(self.lost(previous, LossCause::Replaced))
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
            TroubleKind::Failing if self.last_loss.is_some_and(|lost| seen <= lost) => None,
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
        if self.has_drained {
            return None;
        }
        self.has_drained = true;
        self.handle(HealthEvent::DrainAsked);
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

    /// Takes what the host `from` saw of the target in its batch (`run`, `sequence`).
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
        if let Some(known) = self.observed.filter(|known| (known.1, known.2) >= (from.1, from.2)) {
            return Err(RegistryError::OldSequence { known: known.2 });
        }
        self.observed = Some(from);
        if let Some(before) = summary.last_answer_age_ms {
            let answered = seen - Duration::from_millis(u64::from(before));
            self.last_seen = self.last_seen.max(answered);
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

    /// Changes that are due by time alone.
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
        if self.entry.state == TargetState::Starting && now.since(self.since) >= slow_start {
            self.handle(HealthEvent::WarmedUp);
            changes.push(TargetChange::Changed { entry: self.entry.clone() });
        }
        changes
    }

    /// When [`tick`](Self::tick) next has something to do.
    pub(crate) fn next_wakeup(&self, slow_start: Duration, options: &RegistryOptions) -> Timestamp {
        let by_state = match self.entry.state {
            TargetState::Lost => self.since + options.lost_retention,
            TargetState::Starting => (self.since + slow_start).min(self.last_seen + options.expiry),
            TargetState::Serving | TargetState::Draining => self.last_seen + options.expiry,
        };
        self.overloaded_until.map_or(by_state, |until| until.min(by_state))
    }

    /// Whether the target has been lost for so long that its run need not be remembered.
    pub(crate) fn is_forgotten(&self, now: Timestamp, options: &RegistryOptions) -> bool {
        self.is_lost() && now.since(self.since) >= options.lost_retention
    }

    /// When the target was lost; absent if it is not.
    pub(crate) fn lost_since(&self) -> Option<Timestamp> {
        self.is_lost().then_some(self.since)
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
        if !self.has_drained {
            self.losses.add(now, cause, options);
        }
        self.since = now;
        self.last_loss = Some(now);
        self.handle(HealthEvent::Failed);
        Some(self.lost(self.entry.boot, cause))
    }

    fn lost(&self, boot: BootId, cause: LossCause) -> TargetChange {
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
