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

/// An announcement is relayed in full this often even if nothing changed, since the zone leader may
/// have missed it. Shorter than the expiry of 1.5 s.
const FULL_EVERY: Duration = Duration::from_secs(1);

/// Each announcement and renewal is relayed a second time after this wait. Without it, two lost in a
/// row expire a live target: the third renewal is due when the expiry of 1.5 s ends.
const REPEAT_AFTER: Duration = Duration::from_millis(200);

/// Times that a report is relayed: reports are not acknowledged, and one of three gets through with
/// a probability of 99.9% at 10% loss.
const REPORT_REPEATS: u8 = 3;

/// An answer of a target is relayed at most this often; it only extends the target's registration.
const ANSWER_EVERY: Duration = Duration::from_millis(250);

/// A target that was silent for this long is dropped from the relay.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Most targets that one host relays for. Bounds memory.
const MAX_TARGETS: usize = 4_096;

/// Most reports that wait to be relayed. Bounds memory.
const MAX_REPORTS: usize = 1_024;

/// Bytes of a batch's head: two numbers and the count of items, each at its longest.
const HEAD_BYTES: usize = 10 + 10 + 3;

/// Why a message is not relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// It does not fit into a batch.
    #[error("the announcement takes {bytes} bytes; a batch has {MAX_BATCH_BYTES}")]
    TooLarge {
        /// Size of the encoded announcement.
        bytes: usize,
    },
    /// The relay holds as much as it may.
    #[error("the relay holds as many targets or reports as it may")]
    Full,
}

/// Collects what targets tell one entry host, and batches it for their zone leader.
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
    /// When the target or its traffic was last heard of.
    touched: Timestamp,
    announcement: Option<(TargetAnnouncement, Timestamp)>,
    /// Whether the zone leader has published what the announcement says.
    is_known: bool,
    is_renewed: bool,
    full_sent: Option<Timestamp>,
    /// When the latest item is relayed again, and whether in full.
    repeat: Option<(Timestamp, bool)>,
    traffic: Option<RelayedTraffic>,
    /// Run and answer of the health endpoint, and whether it was relayed.
    health: Option<((BootId, bool), bool)>,
}

#[derive(Debug)]
struct RelayedTraffic {
    boot: BootId,
    answered: Option<Timestamp>,
    failures_in_row: u32,
    is_changed: bool,
    sent: Option<Timestamp>,
}

#[derive(Debug)]
struct RelayedReport {
    report: TargetReport,
    heard: Timestamp,
    repeats: u8,
}

impl TargetRelay {
    /// The relay of a host's run.
    pub fn new(boot: BootId) -> Self {
        Self { boot, sequence: 0, targets: Vec::new(), reports: Vec::new() }
    }

    /// Takes an announcement. One that is older than another of the same target is dropped.
    pub fn announce(
        &mut self,
        now: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RelayError> {
        let bytes = item_bytes(&announced(now, now, announcement));
        if bytes + HEAD_BYTES > MAX_BATCH_BYTES {
            return Err(RelayError::TooLarge { bytes });
        }
        self.target(now, &announcement.target)?.announce(now, announcement, false);
        Ok(())
    }

    /// Takes an announcement whose content the zone leader has published. Only its renewal is
    /// relayed: the leader knows the rest. Where a target renews at another host each time, no host
    /// would otherwise relay anything but whole announcements.
    pub fn announce_published(
        &mut self,
        now: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> Result<(), RelayError> {
        self.target(now, &announcement.target)?.announce(now, announcement, true);
        Ok(())
    }

    /// Takes a target's report.
    pub fn report(&mut self, now: Timestamp, report: &TargetReport) -> Result<(), RelayError> {
        self.reports.retain(|known| known.report != *report);
        if self.reports.len() == MAX_REPORTS {
            return Err(RelayError::Full);
        }
        let report = report.clone();
        self.reports.push(RelayedReport { report, heard: now, repeats: REPORT_REPEATS });
        Ok(())
    }

    /// Takes the result of a request that this host, as dispatcher, sent to a target.
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

    /// Takes the answer of a target's health endpoint. Relayed only when it differs from the last.
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

    /// Relays every known announcement in full again, for a new zone leader.
    pub fn resend_all(&mut self) {
        for target in &mut self.targets {
            target.full_sent = None;
            target.is_known = false;
            target.is_renewed = target.announcement.is_some();
        }
    }

    /// The batches to send now; none if nothing is new. Each takes at most [`MAX_BATCH_BYTES`].
    pub fn take_batches(&mut self, now: Timestamp) -> Vec<RelayBatch> {
        self.targets.retain(|target| now.since(target.touched) < FORGET_AFTER);
        let mut items: Vec<_> = self.reports.iter().map(|known| known.item(now)).collect();
        self.reports.iter_mut().for_each(|known| known.repeats -= 1);
        self.reports.retain(|known| known.repeats > 0);
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
                free = MAX_BATCH_BYTES - HEAD_BYTES;
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
        let place = self.targets.binary_search_by(|known| known.target.cmp(name));
        let place = match place {
            Ok(place) => place,
            Err(_) if self.targets.len() == MAX_TARGETS => return Err(RelayError::Full),
            Err(place) => {
                self.targets.insert(place, RelayedTarget::new(name.clone(), now));
                place
            }
        };
        let target = &mut self.targets[place];
        target.touched = now;
        Ok(target)
    }
}

impl RelayedTarget {
    fn new(target: TargetName, now: Timestamp) -> Self {
        Self {
            target,
            touched: now,
            announcement: None,
            is_known: false,
            is_renewed: false,
            full_sent: None,
            repeat: None,
            traffic: None,
            health: None,
        }
    }

    fn announce(&mut self, now: Timestamp, announcement: &TargetAnnouncement, is_known: bool) {
        if let Some((known, _)) = &self.announcement {
            let order = (announcement.boot_id, announcement.sequence);
            if order < (known.boot_id, known.sequence) {
                return;
            }
            let same = TargetAnnouncement { sequence: known.sequence, ..announcement.clone() };
            if same != *known {
                self.full_sent = None;
            }
        }
        self.announcement = Some((announcement.clone(), now));
        self.is_known = is_known;
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
            let is_due = self.full_sent.is_none_or(|sent| now.since(sent) >= FULL_EVERY);
            let is_full = is_due && !self.is_known;
            if is_full {
                self.full_sent = Some(now);
            }
            self.repeat = Some((now + REPEAT_AFTER, is_full));
            return self.renewal(now, is_full);
        }
        let (_, is_full) = self.repeat.take_if(|(at, _)| *at <= now)?;
        self.renewal(now, is_full)
    }

    fn renewal(&self, now: Timestamp, is_full: bool) -> Option<RelayItem> {
        let (announcement, heard) = self.announcement.as_ref()?;
        if is_full {
            return Some(announced(now, *heard, announcement));
        }
        let event = RelayEvent::Renewed {
            target: self.target.clone(),
            boot: announcement.boot_id,
            sequence: announcement.sequence,
        };
        Some(RelayItem { age_ms: age_ms(now, *heard), event })
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
        traffic.sent = Some(now);
        let summary = TrafficSummary {
            target: self.target.clone(),
            boot: traffic.boot,
            last_answer_age_ms: traffic.answered.map(|answered| age_ms(now, answered)),
            failures_in_row: traffic.failures_in_row,
        };
        Some(RelayItem { age_ms: 0, event: RelayEvent::Traffic(summary) })
    }
}

impl RelayedTraffic {
    fn new(boot: BootId) -> Self {
        Self { boot, answered: None, failures_in_row: 0, is_changed: false, sent: None }
    }

    fn add(&mut self, now: Timestamp, answered: bool) {
        let is_due = self.sent.is_none_or(|sent| now.since(sent) >= ANSWER_EVERY);
        if answered {
            self.is_changed |= self.failures_in_row > 0 || is_due;
            self.answered = Some(now);
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
        RelayItem { age_ms: age_ms(now, self.heard), event }
    }
}

fn announced(now: Timestamp, heard: Timestamp, announcement: &TargetAnnouncement) -> RelayItem {
    let event = RelayEvent::Announced(Box::new(announcement.clone()));
    RelayItem { age_ms: age_ms(now, heard), event }
}

/// Rounded up, so that liveness is never extended.
fn age_ms(now: Timestamp, then: Timestamp) -> u32 {
    let nanos = now.since(then).as_nanos();
    u32::try_from(nanos.div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

fn item_bytes(item: &RelayItem) -> usize {
    postcard::to_stdvec(item).expect("a relay item has an encoding").len()
}
