use std::fmt;
use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::TargetEntry;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;

use crate::RegistryError;
use crate::RegistryOptions;
use crate::RelayBatch;
use crate::RelayEvent;
use crate::RelayItem;
use crate::TargetAnnouncement;
use crate::TargetChange;
use crate::TargetReport;
use crate::target_registration::TargetRegistration;

/// Registry of the targets of one zone, held by the zone leader.
///
/// Messages may be lost, duplicated, reordered and relayed by several hosts.
///
/// Invariants: an older run or announcement never undoes a newer one, and a run that has started to
/// drain never serves again.
pub struct TargetRegistry {
    zone: ZoneName,
    options: RegistryOptions,
    /// Sorted by name, at most `options.max_targets`.
    targets: Vec<TargetRegistration>,
    /// Slow start of services that set their own, sorted by service.
    slow_starts: Vec<(ServiceName, Duration)>,
    /// Changes since the last call of `take_changes`, in order.
    changes: Vec<TargetChange>,
}

impl fmt::Debug for TargetRegistry {
    /// Implemented by hand, because the state machines do not implement `Debug`. The entries
    /// contain their states.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetRegistry")
            .field("zone", &self.zone)
            .field("entries", &self.entries().collect::<Vec<_>>())
            .field("changes", &self.changes)
            .finish_non_exhaustive()
    }
}

impl TargetRegistry {
    /// Creates a registry without targets.
    pub fn new(zone: ZoneName, options: RegistryOptions) -> Self {
        Self { zone, options, targets: Vec::new(), slow_starts: Vec::new(), changes: Vec::new() }
    }

    /// Creates the registry of a new zone leader that adopted `table` at `now`.
    ///
    /// Each target has one expiry from `now` to renew its registration. The content of the table
    /// does not result in changes.
    pub fn rebuild(table: &ZoneTable, now: Timestamp, options: RegistryOptions) -> Self {
        let mut registry = Self::new(table.zone.clone(), options);
        let entries = table.targets.iter();
        registry.targets =
            entries.map(|entry| TargetRegistration::from_entry(entry, now)).collect();
        registry.targets.sort_by(|a, b| a.entry().name.cmp(&b.entry().name));
        registry
    }

    /// Sets the time that targets of `service` take to get their full share of work.
    pub fn set_slow_start(&mut self, service: &ServiceName, slow_start: Duration) {
        match self.slow_starts.binary_search_by(|(key, _)| key.cmp(service)) {
            Ok(index) => self.slow_starts[index].1 = slow_start,
            Err(index) => self.slow_starts.insert(index, (service.clone(), slow_start)),
        }
    }

    /// Sets the dispatcher of a target. Traffic summaries of other hosts are rejected.
    pub fn set_dispatcher(&mut self, target: &str, dispatcher: Option<HostId>) {
        if let Ok(index) = self.position(target) {
            self.targets[index].set_dispatcher(dispatcher);
        }
    }

    /// Processes an announcement that a host received at `seen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement changes nothing, for example because it is outdated.
    pub fn announce(
        &mut self,
        now: Timestamp,
        seen: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RegistryError> {
        self.check_age(now, seen)?;
        if announcement.zone != self.zone {
            return Err(RegistryError::OtherZone { zone: announcement.zone.clone() });
        }
        match self.position(announcement.target.as_str()) {
            Ok(index) => self.announce_registered(index, now, seen, announcement),
            Err(_) => self.register(now, seen, announcement),
        }
    }

    fn announce_registered(
        &mut self,
        index: usize,
        now: Timestamp,
        seen: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RegistryError> {
        let registration = &mut self.targets[index];
        let is_later_run = announcement.boot_id > registration.entry().boot;
        let is_replaceable = registration.is_lost() && is_later_run;
        if registration.entry().service != announcement.service && !is_replaceable {
            let registered = registration.entry().service.clone();
            return Err(RegistryError::OtherService { registered });
        }
        let change = registration.announce(announcement, seen, now, &self.options)?;
        self.changes.extend(change);
        Ok(())
    }

    fn register(
        &mut self,
        now: Timestamp,
        seen: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RegistryError> {
        if self.targets.len() >= self.options.max_targets && !self.remove_oldest_lost() {
            return Err(RegistryError::Full { limit: self.options.max_targets });
        }
        let registration = TargetRegistration::new(announcement, seen, now);
        self.changes.push(TargetChange::Joined { entry: registration.entry().clone() });
        let index = self.position(announcement.target.as_str()).unwrap_or_else(|index| index);
        self.targets.insert(index, registration);
        Ok(())
    }

    fn remove_oldest_lost(&mut self) -> bool {
        let lost = self.targets.iter().enumerate();
        let lost =
            lost.filter_map(|(index, registration)| Some((registration.lost_since()?, index)));
        let Some((_, index)) = lost.min() else { return false };
        self.targets.remove(index);
        true
    }

    /// Processes a renewal of a run that was announced in full before.
    ///
    /// # Errors
    ///
    /// Returns an error if the renewal is outdated or the run is not registered.
    pub fn renew(
        &mut self,
        now: Timestamp,
        seen: Timestamp,
        target: &str,
        boot: BootId,
        sequence: u64,
    ) -> Result<(), RegistryError> {
        self.check_age(now, seen)?;
        let registration = self.registration_mut(target)?;
        if registration.renew(boot, sequence, seen)? {
            let change = registration.try_rejoin(now);
            self.changes.extend(change);
        }
        Ok(())
    }

    /// Processes a report of a target that a host received at `seen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the report is outdated or the run is not registered.
    pub fn report(
        &mut self,
        now: Timestamp,
        seen: Timestamp,
        report: &TargetReport,
    ) -> Result<(), RegistryError> {
        self.check_age(now, seen)?;
        let options = self.options.clone();
        let registration = self.registration_mut(report.target.as_str())?;
        let change = registration.report(report.boot_id, report.trouble, seen, now, &options)?;
        self.changes.extend(change);
        Ok(())
    }

    /// Processes all items of a batch that `from` sent. Returns an error for each item that was
    /// ignored because it is outdated, belongs to another zone or service, or names an unknown run.
    pub fn apply_batch(
        &mut self,
        now: Timestamp,
        from: HostId,
        batch: &RelayBatch,
    ) -> Vec<RegistryError> {
        let items = batch.items.iter();
        items.filter_map(|item| self.apply_item(now, from, batch, item).err()).collect()
    }

    fn apply_item(
        &mut self,
        now: Timestamp,
        from: HostId,
        batch: &RelayBatch,
        item: &RelayItem,
    ) -> Result<(), RegistryError> {
        let seen = now - Duration::from_millis(u64::from(item.age_ms));
        match &item.event {
            RelayEvent::Announced(announcement) => self.announce(now, seen, announcement),
            RelayEvent::Renewed { target, boot, sequence } => {
                self.renew(now, seen, target.as_str(), *boot, *sequence)
            }
            RelayEvent::Reported(report) => self.report(now, seen, report),
            RelayEvent::Traffic(summary) => {
                self.check_age(now, seen)?;
                let options = self.options.clone();
                let sender = (from, batch.boot, batch.sequence);
                let registration = self.registration_mut(summary.target.as_str())?;
                let change = registration.observe(sender, summary, seen, now, &options)?;
                self.changes.extend(change);
                Ok(())
            }
            RelayEvent::Health { target, boot, is_healthy } => {
                self.check_age(now, seen)?;
                self.registration_mut(target.as_str())?.set_health(*boot, *is_healthy)
            }
        }
    }

    /// Expires targets, ends slow starts and overload, and removes targets lost long ago.
    pub fn tick(&mut self, now: Timestamp) {
        for index in 0..self.targets.len() {
            let slow_start = self.slow_start(&self.targets[index].entry().service);
            let changes = self.targets[index].tick(now, slow_start, &self.options);
            self.changes.extend(changes);
        }
        self.targets.retain(|registration| !registration.is_removable(now, &self.options));
    }

    /// Returns when to call [`tick`](Self::tick) next; `None` without targets.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = self.targets.iter().map(|registration| {
            registration.next_wakeup(self.slow_start(&registration.entry().service), &self.options)
        });
        wakeups.min()
    }

    /// Returns the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<TargetChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the entry of a target, even if it is lost.
    pub fn target(&self, name: &str) -> Option<&TargetEntry> {
        self.position(name).ok().map(|index| self.targets[index].entry())
    }

    /// Returns the sequence of the latest announcement of the registered run.
    pub fn sequence(&self, name: &str) -> Option<u64> {
        self.position(name).ok().map(|index| self.targets[index].sequence())
    }

    /// Returns all targets for the zone table, sorted by name. Lost ones are included until they
    /// are removed, so that a new zone leader knows their runs.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.iter().map(TargetRegistration::entry)
    }

    /// Returns the service definitions announced by targets that are not lost, with the announcing
    /// targets.
    pub fn definitions(&self) -> impl Iterator<Item = (&ServiceDefinition, &TargetEntry)> {
        let live = self.targets.iter().filter(|registration| !registration.is_lost());
        live.filter_map(|registration| Some((registration.definition()?, registration.entry())))
    }

    fn check_age(&self, now: Timestamp, seen: Timestamp) -> Result<(), RegistryError> {
        if now.since(seen) < self.options.expiry { Ok(()) } else { Err(RegistryError::TooLate) }
    }

    fn registration_mut(&mut self, target: &str) -> Result<&mut TargetRegistration, RegistryError> {
        let index = self.position(target).map_err(|_| RegistryError::UnknownRun)?;
        Ok(&mut self.targets[index])
    }

    fn position(&self, target: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|registration| registration.entry().name.as_str().cmp(target))
    }

    fn slow_start(&self, service: &ServiceName) -> Duration {
        let index = self.slow_starts.binary_search_by(|(key, _)| key.cmp(service));
        index.map_or(self.options.slow_start, |index| self.slow_starts[index].1)
    }
}
