use std::time::Duration;

use gw_types::BootId;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::MAX_BATCH_BYTES;
use crate::RelayBatch;
use crate::RelayEvent;
use crate::RelayItem;
use crate::TargetAnnouncement;
use crate::TargetReport;
use crate::TrafficSummary;

/// Interval at which an unchanged announcement is relayed in full, since the zone leader may have
/// missed the previous ones. Shorter than the expiry of 1.5 s.
const FULL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after which each announcement and renewal is relayed a second time. Without the
/// repetition, two consecutive losses would expire a live target: the third renewal is due when the
/// expiry of 1.5 s ends.
const REPEAT_DELAY: Duration = Duration::from_millis(200);

/// Number of times that a report is relayed. Reports are not acknowledged; at 10% loss, at least
/// one of three copies arrives with a probability of 99.9%.
const REPORT_COPIES: u8 = 3;

/// Minimum interval between relayed answers of a target, which only extend its registration.
const ANSWER_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any message or traffic after which a target is removed from the relay.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of targets that a host relays for. Bounds memory.
const MAX_TARGETS: usize = 4_096;

/// Maximum number of reports that wait to be relayed. Bounds memory.
const MAX_REPORTS: usize = 1_024;

/// Maximum size of an encoded batch without its items, in bytes: boot id, sequence and number of
/// items.
const HEADER_BYTES: usize = 10 + 10 + 3;

/// Why the relay did not accept a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The announcement does not fit into a batch.
    #[error("the announcement takes {bytes} bytes; a batch has {MAX_BATCH_BYTES}")]
    TooLarge {
        /// Size of the encoded announcement in bytes.
        bytes: usize,
    },
    /// The relay holds the maximum number of targets or reports.
    #[error("the relay holds as many targets or reports as it may")]
    Full,
}

/// Collects the events about targets that reach an entry host, and batches them for the zone
/// leader.
#[derive(Debug)]
pub struct TargetRelay {
    boot: BootId,
    sequence: u64,
    /// Sorted by target, at most [`MAX_TARGETS`].
    targets: Vec<RelayedTarget>,
    /// In order of arrival, at most [`MAX_REPORTS`].
    reports: Vec<RelayedReport>,
}

#[derive(Debug)]
struct RelayedTarget {
    target: TargetName,
    /// Time of the latest message or traffic of the target.
    last_active_at: Timestamp,
    /// Latest announcement and the time when it was received.
    announcement: Option<(TargetAnnouncement, Timestamp)>,
    /// Whether the zone leader has published the content of the announcement.
    is_published: bool,
    /// Whether the announcement has not been relayed yet.
    is_renewed: bool,
    /// Time when the announcement was last relayed in full.
    full_sent_at: Option<Timestamp>,
    /// Time at which to relay the announcement a second time, and whether in full.
    repeat: Option<(Timestamp, bool)>,
    traffic: Option<RelayedTraffic>,
    /// Run and answer of the health endpoint, and whether the answer was relayed.
    health: Option<((BootId, bool), bool)>,
}

#[derive(Debug)]
struct RelayedTraffic {
    boot: BootId,
    answered_at: Option<Timestamp>,
    failures_in_row: u32,
    is_changed: bool,
    sent_at: Option<Timestamp>,
}

#[derive(Debug)]
struct RelayedReport {
    report: TargetReport,
    received_at: Timestamp,
    copies_left: u8,
}

impl TargetRelay {
    /// Creates the relay of a host; `boot` is the run of the host's process.
    pub fn new(boot: BootId) -> Self {
        Self { boot, sequence: 0, targets: Vec::new(), reports: Vec::new() }
    }

    /// Accepts an announcement. It is dropped if a newer one of the same target was accepted
    /// before.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is too large for a batch or the relay is full.
    pub fn announce(
        &mut self,
        now: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RelayError> {
        let bytes = item_bytes(&announced_item(now, now, announcement));
        if bytes + HEADER_BYTES > MAX_BATCH_BYTES {
            return Err(RelayError::TooLarge { bytes });
        }
        self.target(now, &announcement.target)?.announce(now, announcement, false);
        Ok(())
    }

    /// Accepts an announcement whose content the zone leader has published, so that only a renewal
    /// is relayed.
    ///
    /// Without this, full announcements would be relayed all the time if a target renews at a
    /// different host each time.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay is full.
    pub fn announce_published(
        &mut self,
        now: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RelayError> {
        self.target(now, &announcement.target)?.announce(now, announcement, true);
        Ok(())
    }

    /// Accepts a report of a target. A report equal to a waiting one replaces it.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay is full.
    pub fn report(&mut self, now: Timestamp, report: &TargetReport) -> Result<(), RelayError> {
        self.reports.retain(|known| known.report != *report);
        if self.reports.len() == MAX_REPORTS {
            return Err(RelayError::Full);
        }
        let report = report.clone();
        self.reports.push(RelayedReport { report, received_at: now, copies_left: REPORT_COPIES });
        Ok(())
    }

    /// Records whether a target answered a request that this host sent to it as its dispatcher.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay is full.
    pub fn observe(
        &mut self,
        now: Timestamp,
        target: &TargetName,
        boot: BootId,
        answered: bool,
    ) -> Result<(), RelayError> {
        self.target(now, target)?.observe(now, boot, answered);
        Ok(())
    }

    /// Records the answer of a target's health endpoint. It is relayed if it differs from the
    /// previous one.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay is full.
    pub fn health(
        &mut self,
        now: Timestamp,
        target: &TargetName,
        boot: BootId,
        is_healthy: bool,
    ) -> Result<(), RelayError> {
        let known = self.target(now, target)?;
        if known.health.as_ref().is_none_or(|health| health.0 != (boot, is_healthy)) {
            known.health = Some(((boot, is_healthy), false));
        }
        Ok(())
    }

    /// Schedules all announcements to be relayed in full again, for a new zone leader.
    pub fn resend_all(&mut self) {
        for target in &mut self.targets {
            target.full_sent_at = None;
            target.is_published = false;
            target.is_renewed = target.announcement.is_some();
        }
    }

    /// Returns the batches to send now; none if there is nothing new. Each takes at most
    /// [`MAX_BATCH_BYTES`] when encoded.
    pub fn take_batches(&mut self, now: Timestamp) -> Vec<RelayBatch> {
        self.targets.retain(|target| now.since(target.last_active_at) < IDLE_TIMEOUT);
        let mut items: Vec<_> = self.reports.iter().map(|known| known.item(now)).collect();
        self.reports.iter_mut().for_each(|known| known.copies_left -= 1);
        self.reports.retain(|known| known.copies_left > 0);
        for target in &mut self.targets {
            items.extend(target.take_renewal(now));
            items.extend(target.take_health());
            items.extend(target.take_traffic(now));
        }
        self.pack(items)
    }

    fn pack(&mut self, items: Vec<RelayItem>) -> Vec<RelayBatch> {
        let mut batches: Vec<RelayBatch> = Vec::new();
        let mut free = 0;
        for item in items {
            let bytes = item_bytes(&item);
            if bytes > free || batches.is_empty() {
                self.sequence += 1;
                let (boot, sequence) = (self.boot, self.sequence);
                batches.push(RelayBatch { boot, sequence, items: Vec::new() });
                free = MAX_BATCH_BYTES - HEADER_BYTES;
            }
            free = free.saturating_sub(bytes);
            batches.last_mut().expect("a batch was added").items.push(item);
        }
        batches
    }

    fn target(
        &mut self,
        now: Timestamp,
        name: &TargetName,
    ) -> Result<&mut RelayedTarget, RelayError> {
        let index = self.targets.binary_search_by(|known| known.target.cmp(name));
        let index = match index {
            Ok(index) => index,
            Err(_) if self.targets.len() == MAX_TARGETS => return Err(RelayError::Full),
            Err(index) => {
                self.targets.insert(index, RelayedTarget::new(name.clone(), now));
                index
            }
        };
        let target = &mut self.targets[index];
        target.last_active_at = now;
        Ok(target)
    }
}

impl RelayedTarget {
    fn new(target: TargetName, now: Timestamp) -> Self {
        Self {
            target,
            last_active_at: now,
            announcement: None,
            is_published: false,
            is_renewed: false,
            full_sent_at: None,
            repeat: None,
            traffic: None,
            health: None,
        }
    }

    fn announce(&mut self, now: Timestamp, announcement: &TargetAnnouncement, is_published: bool) {
        if let Some((known, _)) = &self.announcement {
            let version = (announcement.boot_id, announcement.sequence);
            if version < (known.boot_id, known.sequence) {
                return;
            }
            let renumbered =
                TargetAnnouncement { sequence: known.sequence, ..announcement.clone() };
            if renumbered != *known {
                self.full_sent_at = None;
            }
        }
        self.announcement = Some((announcement.clone(), now));
        self.is_published = is_published;
        self.is_renewed = true;
    }

    fn observe(&mut self, now: Timestamp, boot: BootId, answered: bool) {
        if self.traffic.as_ref().is_some_and(|traffic| traffic.boot > boot) {
            return;
        }
        if self.traffic.as_ref().is_none_or(|traffic| traffic.boot != boot) {
            self.traffic = Some(RelayedTraffic::new(boot));
        }
        if let Some(traffic) = &mut self.traffic {
            traffic.add(now, answered);
        }
    }

    fn take_renewal(&mut self, now: Timestamp) -> Option<RelayItem> {
        if std::mem::take(&mut self.is_renewed) {
            let is_due = self.full_sent_at.is_none_or(|sent| now.since(sent) >= FULL_INTERVAL);
            let is_full = is_due && !self.is_published;
            if is_full {
                self.full_sent_at = Some(now);
            }
            self.repeat = Some((now + REPEAT_DELAY, is_full));
            return self.renewal(now, is_full);
        }
        let (_, is_full) = self.repeat.take_if(|(at, _)| *at <= now)?;
        self.renewal(now, is_full)
    }

    fn renewal(&self, now: Timestamp, is_full: bool) -> Option<RelayItem> {
        let (announcement, received_at) = self.announcement.as_ref()?;
        if is_full {
            return Some(announced_item(now, *received_at, announcement));
        }
        let event = RelayEvent::Renewed {
            target: self.target.clone(),
            boot: announcement.boot_id,
            sequence: announcement.sequence,
        };
        Some(RelayItem { age_ms: age_ms(now, *received_at), event })
    }

    fn take_health(&mut self) -> Option<RelayItem> {
        let ((boot, is_healthy), is_relayed) = self.health.as_mut()?;
        if std::mem::replace(is_relayed, true) {
            return None;
        }
        let (target, boot, is_healthy) = (self.target.clone(), *boot, *is_healthy);
        Some(RelayItem { age_ms: 0, event: RelayEvent::Health { target, boot, is_healthy } })
    }

    fn take_traffic(&mut self, now: Timestamp) -> Option<RelayItem> {
        let traffic = self.traffic.as_mut()?;
        if !std::mem::take(&mut traffic.is_changed) {
            return None;
        }
        traffic.sent_at = Some(now);
        let summary = TrafficSummary {
            target: self.target.clone(),
            boot: traffic.boot,
            last_answer_age_ms: traffic.answered_at.map(|answered_at| age_ms(now, answered_at)),
            failures_in_row: traffic.failures_in_row,
        };
        Some(RelayItem { age_ms: 0, event: RelayEvent::Traffic(summary) })
    }
}

impl RelayedTraffic {
    fn new(boot: BootId) -> Self {
        Self { boot, answered_at: None, failures_in_row: 0, is_changed: false, sent_at: None }
    }

    fn add(&mut self, now: Timestamp, answered: bool) {
        let is_due = self.sent_at.is_none_or(|sent| now.since(sent) >= ANSWER_INTERVAL);
        if answered {
            self.is_changed |= self.failures_in_row > 0 || is_due;
            self.answered_at = Some(now);
            self.failures_in_row = 0;
        } else {
            self.is_changed = true;
            self.failures_in_row = self.failures_in_row.saturating_add(1);
        }
    }
}

impl RelayedReport {
    fn item(&self, now: Timestamp) -> RelayItem {
        let event = RelayEvent::Reported(self.report.clone());
        RelayItem { age_ms: age_ms(now, self.received_at), event }
    }
}

fn announced_item(
    now: Timestamp,
    received_at: Timestamp,
    announcement: &TargetAnnouncement,
) -> RelayItem {
    let event = RelayEvent::Announced(Box::new(announcement.clone()));
    RelayItem { age_ms: age_ms(now, received_at), event }
}

/// Returns the age in milliseconds, rounded up so that it never extends a registration.
fn age_ms(now: Timestamp, then: Timestamp) -> u32 {
    let nanos = now.since(then).as_nanos();
    u32::try_from(nanos.div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

fn item_bytes(item: &RelayItem) -> usize {
    postcard::to_stdvec(item).expect("a relay item has an encoding").len()
}
