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

/// The targets of one zone, kept by the zone leader.
///
/// Messages may be lost, repeated, reordered and relayed by several hosts. An older run or
/// announcement never undoes a newer one, and a run that drains never serves again.
pub struct TargetRegistry {
    zone: ZoneName,
    options: RegistryOptions,
    /// Sorted by name, at most `options.max_targets`.
    targets: Vec<TargetRegistration>,
    /// Sorted by service.
    slow_starts: Vec<(ServiceName, Duration)>,
    /// Not yet taken, in order.
    changes: Vec<TargetChange>,
}

impl fmt::Debug for TargetRegistry {
    /// Written out, because state machines have no debug form; their state is in the entries.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TargetRegistry")
            .field("zone", &self.zone)
            .field("entries", &self.entries().collect::<Vec<_>>())
            .field("changes", &self.changes)
            .finish_non_exhaustive()
    }
}

impl TargetRegistry {
    /// A registry without targets.
    pub fn new(zone: ZoneName, options: RegistryOptions) -> Self {
        Self { zone, options, targets: Vec::new(), slow_starts: Vec::new(), changes: Vec::new() }
    }

    /// The registry of a new zone leader that adopted `table` at `now`. Each target has one expiry
    /// from then to renew. Gives no changes for what the table says.
    pub fn rebuild(table: &ZoneTable, now: Timestamp, options: RegistryOptions) -> Self {
        let mut registry = Self::new(table.zone.clone(), options);
        let entries = table.targets.iter();
        registry.targets =
            entries.map(|entry| TargetRegistration::from_entry(entry, now)).collect();
        registry.targets.sort_by(|a, b| a.entry().name.cmp(&b.entry().name));
        registry
    }

    /// Sets how long targets of `service` take to their full share of work.
    pub fn set_slow_start(&mut self, service: &ServiceName, slow_start: Duration) {
        match self.slow_starts.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(place) => self.slow_starts[place].1 = slow_start,
            Err(place) => self.slow_starts.insert(place, (service.clone(), slow_start)),
        }
    }

    /// Notes which host may send to a target; only its observations count.
    pub fn set_dispatcher(&mut self, target: &str, dispatcher: Option<HostId>) {
        if let Ok(place) = self.place(target) {
            self.targets[place].set_dispatcher(dispatcher);
        }
    }

    /// Takes an announcement that was heard at `seen`.
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
        match self.place(announcement.target.as_str()) {
            Ok(place) => self.announce_again(place, now, seen, announcement),
            Err(_) => self.add(now, seen, announcement),
        }
    }

    fn announce_again(
        &mut self,
        place: usize,
        now: Timestamp,
        seen: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RegistryError> {
        let known = &mut self.targets[place];
        let is_later_run = announcement.boot_id > known.entry().boot;
        let is_replaceable = known.is_lost() && is_later_run;
        if known.entry().service != announcement.service && !is_replaceable {
            let registered = known.entry().service.clone();
            return Err(RegistryError::OtherService { registered });
        }
        let change = known.announce(announcement, seen, now, &self.options)?;
        self.changes.extend(change);
        Ok(())
    }

    fn add(
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
        let place = self.place(announcement.target.as_str()).unwrap_or_else(|place| place);
        self.targets.insert(place, registration);
        Ok(())
    }

    fn remove_oldest_lost(&mut self) -> bool {
        let lost = self.targets.iter().enumerate();
        let lost = lost.filter_map(|(place, known)| Some((known.lost_since()?, place)));
        let Some((_, place)) = lost.min() else { return false };
        self.targets.remove(place);
        true
    }

    /// Takes a renewal of a run that was announced in full before.
    pub fn renew(
        &mut self,
        now: Timestamp,
        seen: Timestamp,
        target: &str,
        boot: BootId,
        sequence: u64,
    ) -> Result<(), RegistryError> {
        self.check_age(now, seen)?;
        let known = self.known(target)?;
        if known.renew(boot, sequence, seen)? {
            let change = known.try_return(now);
            self.changes.extend(change);
        }
        Ok(())
    }

    /// Takes a target's report that was heard at `seen`.
    pub fn report(
        &mut self,
        now: Timestamp,
        seen: Timestamp,
        report: &TargetReport,
    ) -> Result<(), RegistryError> {
        self.check_age(now, seen)?;
        let options = self.options.clone();
        let known = self.known(report.target.as_str())?;
        let change = known.report(report.boot_id, report.trouble, seen, now, &options)?;
        self.changes.extend(change);
        Ok(())
    }

    /// Takes all items of a batch that `from` sent. Returns an error for each item that changed
    /// nothing because it was old, foreign or unknown.
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
                let known = self.known(summary.target.as_str())?;
                let change = known.observe(sender, summary, seen, now, &options)?;
                self.changes.extend(change);
                Ok(())
            }
            RelayEvent::Health { target, boot, is_healthy } => {
                self.check_age(now, seen)?;
                self.known(target.as_str())?.set_health(*boot, *is_healthy)
            }
        }
    }

    /// Expires targets, ends slow starts and forgets targets lost long ago.
    pub fn tick(&mut self, now: Timestamp) {
        for place in 0..self.targets.len() {
            let slow_start = self.slow_start(&self.targets[place].entry().service);
            let changes = self.targets[place].tick(now, slow_start, &self.options);
            self.changes.extend(changes);
        }
        self.targets.retain(|known| !known.is_forgotten(now, &self.options));
    }

    /// When [`tick`](Self::tick) next has something to do; absent without targets.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = self
            .targets
            .iter()
            .map(|known| known.next_wakeup(self.slow_start(&known.entry().service), &self.options));
        wakeups.min()
    }

    /// The changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<TargetChange> {
        std::mem::take(&mut self.changes)
    }

    /// The target called `name`, lost ones included.
    pub fn target(&self, name: &str) -> Option<&TargetEntry> {
        self.place(name).ok().map(|place| self.targets[place].entry())
    }

    /// Sequence of the latest announcement of the registered run.
    pub fn sequence(&self, name: &str) -> Option<u64> {
        self.place(name).ok().map(|place| self.targets[place].sequence())
    }

    /// All targets for the zone table, sorted by name. Lost ones are included until they are
    /// forgotten, so that a new zone leader knows their runs.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.iter().map(TargetRegistration::entry)
    }

    /// What targets that are not lost announce of their services, with the runs that announce it.
    pub fn definitions(&self) -> impl Iterator<Item = (&ServiceDefinition, &TargetEntry)> {
        let live = self.targets.iter().filter(|known| !known.is_lost());
        live.filter_map(|known| Some((known.definition()?, known.entry())))
    }

    fn check_age(&self, now: Timestamp, seen: Timestamp) -> Result<(), RegistryError> {
        if now.since(seen) < self.options.expiry { Ok(()) } else { Err(RegistryError::TooLate) }
    }

    fn known(&mut self, target: &str) -> Result<&mut TargetRegistration, RegistryError> {
        let place = self.place(target).map_err(|_| RegistryError::UnknownRun)?;
        Ok(&mut self.targets[place])
    }

    fn place(&self, target: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|known| known.entry().name.as_str().cmp(target))
    }

    fn slow_start(&self, service: &ServiceName) -> Duration {
        let place = self.slow_starts.binary_search_by(|(known, _)| known.cmp(service));
        place.map_or(self.options.slow_start, |place| self.slow_starts[place].1)
    }
}
