use std::time::Duration;

use gw_balance::AnsweredRequests;
use gw_dispatch::QuarantineEntry;
use gw_fleet::FormatVersion;
use gw_ranges::RangeHolder;
use gw_types::Timestamp;

use crate::entry::control_links::ControlLink;
use crate::entry::control_links::ControlLinks;
use crate::link::EntryReport;
use crate::link::LimitReport;
use crate::link::LinkId;
use crate::link::LinkMessage;
use crate::link::RunReport;
use crate::link::ServiceHeat;

/// Ticks between reports to control hosts that do not lead; the reports show them that this host is
/// alive.
const FOLLOWER_REPORT_TICKS: u32 = 2;
/// Interval at which a host logs that its state may be outdated: the time within which a
/// change has to be in force.
const OUTDATED_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// What an entry host reports to control hosts and logs about them.
impl ControlLinks {
    /// Logs, at intervals, that no control host in contact with a majority has confirmed this host's
    /// state for some time. A host whose state was confirmed once goes on to serve requests with it.
    pub(super) fn log_outdated_state(&mut self, now: Timestamp) {
        let current_at = self.host.current_at.get().unwrap_or(Timestamp::ZERO);
        if now.since(current_at.max(self.outdated_logged_at)) < OUTDATED_LOG_INTERVAL {
            return;
        }
        self.outdated_logged_at = now;
        let heads = self.links.iter().filter_map(|link| link.head.as_ref());
        let newest = heads.map(|head| head.index).max();
        let current = self.links.iter().filter(|link| Self::is_usable(link, now)).count();
        let connected: Vec<_> = self.links.iter().map(|link| link.peer).collect();
        let hosts: Vec<_> = self.group.hosts.iter().map(|(address, _)| *address).collect();
        log::warn!(
            "event=state_outdated config={} applied={} newest={newest:?} contact_ms={} \
             connected={connected:?} current={current} known={hosts:?} seeds={:?} awaits_reply={}",
            self.host.state().config_version(),
            self.host.applied(),
            now.since(self.host.last_contact.get()).as_millis(),
            self.host.settings.borrow().seeds,
            !self.may_fetch(),
        );
    }

    pub(super) fn report(&mut self) {
        let now = self.host.now();
        let is_leader = |link: &&ControlLink| link.head.as_ref().is_some_and(|head| head.is_leader);
        let leader = self.links.iter().filter(is_leader).max_by_key(|link| link.last_received);
        let leader = leader.map(|link| link.link.id);
        self.host.quarantine.borrow_mut().expire(now);
        let mut crashes = self.take_crashes(now, leader);
        let base = EntryReport {
            clock: now.as_nanos(),
            applied: self.host.applied(),
            heat: Vec::new(),
            runs: Vec::new(),
            crashes: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            takes_relays: self.host.takes_relays(),
        };
        self.ticks = self.ticks.wrapping_add(1);
        let is_follower_turn = self.ticks.is_multiple_of(FOLLOWER_REPORT_TICKS);
        for link in &self.links {
            let is_leader = Some(link.link.id) == leader;
            if !is_leader && !is_follower_turn {
                continue;
            }
            let report = if is_leader {
                let heat = self.take_request_counts();
                let runs = self.take_answered();
                let limits = LimitReport::of(now, &self.host.named_limits.borrow());
                let leaving = self.host.pool.borrow().leaving();
                let crashes = std::mem::take(&mut crashes);
                EntryReport { heat, runs, crashes, limits, leaving, ..base.clone() }
            } else {
                base.clone()
            };
            link.link.send(&LinkMessage::Report(report));
            if is_leader && link.link.supports(FormatVersion::EVACUATIONS) {
                let paces = self.host.pool.borrow_mut().take_paces();
                let percent = |(holder, pace): (RangeHolder, f64)| (holder, (pace * 100.0) as u16);
                let percents: Vec<_> = paces.into_iter().map(percent).collect();
                if !percents.is_empty() {
                    link.link.send(&LinkMessage::TargetPaces { percents });
                }
                let reports = self.host.take_warmth_reports();
                if !reports.is_empty() {
                    link.link.send(&LinkMessage::Warmth { reports });
                }
            }
        }
    }

    /// Returns the evidence of crashes that was not reported over this connection to the leader yet.
    /// A new leader knows nothing of what was reported to the last one.
    fn take_crashes(&mut self, now: Timestamp, leader: Option<LinkId>) -> Vec<QuarantineEntry> {
        let quarantine = self.host.quarantine.borrow();
        let reported = self.reported_crashes.take().filter(|(link, _)| Some(*link) == leader);
        let Some(leader) = leader else { return Vec::new() };
        self.reported_crashes = Some((leader, quarantine.revision()));
        quarantine.changed_entries(now, reported.map_or(0, |(_, revision)| revision))
    }

    fn take_request_counts(&self) -> Vec<ServiceHeat> {
        let mut reports: Vec<ServiceHeat> = Vec::new();
        for ((service, key), count) in std::mem::take(&mut *self.host.request_counts.borrow_mut()) {
            match reports.last_mut().filter(|report| report.service == service) {
                Some(report) => report.counts.push((key, count)),
                None => reports.push(ServiceHeat { service, counts: vec![(key, count)] }),
            }
        }
        reports
    }

    fn take_answered(&self) -> Vec<RunReport> {
        let answered = self.host.pool.borrow_mut().take_answered(self.host.now());
        let report = |answered: AnsweredRequests| RunReport {
            holder: answered.holder,
            runs: answered.count,
            milliseconds: u32::try_from(answered.total.as_millis()).unwrap_or(u32::MAX),
            rests: answered.rests,
            rest_millis: u32::try_from(answered.rest.as_millis()).unwrap_or(u32::MAX),
        };
        answered.into_iter().map(report).collect()
    }
}
