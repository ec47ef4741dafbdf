use std::time::Duration;

use gw_dispatch::InverseReporter;
use gw_dispatch::LeastWaitChooser;
use gw_dispatch::LoadReporter;
use gw_dispatch::LoadView;
use gw_dispatch::OnChangeReporter;
use gw_dispatch::PeriodicReporter;
use gw_dispatch::RandomSource;
use gw_dispatch::TargetCandidate;
use gw_dispatch::TargetChooser;
use gw_dispatch::TargetLoad;
use gw_dispatch::chooser_for;
use gw_profile::SpreadPolicy;
use gw_types::Timestamp;

use crate::ReplayVariant;
use crate::ReporterKind;

/// Bytes of one report to one host: target name, load, and its share of the frame overhead.
const REPORT_BYTES: u64 = 48;

/// Load reports between hosts, each host's view of the targets' load, and its choice of targets.
pub(crate) struct LoadReporting {
    /// View of each host.
    pub(crate) views: Vec<LoadView>,
    /// Choosers of each host and service.
    choosers: Vec<Vec<Box<dyn TargetChooser>>>,
    /// Reporter of each target; absent if no reports are sent.
    reporters: Vec<Option<Box<dyn LoadReporter>>>,
    /// Bytes of all reports sent so far.
    pub(crate) sent_bytes: u64,
}

impl LoadReporting {
    pub(crate) fn new(
        variant: &ReplayVariant,
        hosts: usize,
        services: usize,
        targets: usize,
    ) -> Self {
        let choosers = |_| (0..services).map(|_| make_chooser(variant)).collect();
        Self {
            views: vec![LoadView::new(); hosts],
            choosers: (0..hosts).map(choosers).collect(),
            reporters: (0..targets).map(|_| make_reporter(variant.reporter)).collect(),
            sent_bytes: 0,
        }
    }

    /// Chooses one of `candidates` by the view of `host`; returns its index.
    pub(crate) fn choose(
        &mut self,
        now: Timestamp,
        host: usize,
        service: usize,
        candidates: &[TargetCandidate],
        random: &mut dyn RandomSource,
    ) -> Option<usize> {
        self.choosers[host][service].choose(now, &self.views[host], candidates, random)
    }

    /// Whether the load of `target` is reported now. Counts the bytes of a report to `receivers`
    /// other hosts if so.
    pub(crate) fn is_report_due(
        &mut self,
        now: Timestamp,
        target: usize,
        load: TargetLoad,
        receivers: usize,
    ) -> bool {
        let Some(reporter) = &mut self.reporters[target] else { return false };
        let is_due = reporter.observe(now, load);
        if is_due {
            self.sent_bytes += REPORT_BYTES * receivers as u64;
        }
        is_due
    }
}

fn make_chooser(variant: &ReplayVariant) -> Box<dyn TargetChooser> {
    let rules = &variant.profile.spread;
    if rules.policy == SpreadPolicy::LeastWait && variant.sample_size.is_some() {
        let penalty = Duration::from_millis(u64::from(rules.other_zone_penalty_ms));
        return Box::new(LeastWaitChooser::new(penalty, variant.sample_size));
    }
    chooser_for(rules)
}

fn make_reporter(kind: ReporterKind) -> Option<Box<dyn LoadReporter>> {
    match kind {
        ReporterKind::None => None,
        ReporterKind::Periodic(interval) => Some(Box::new(PeriodicReporter::new(interval))),
        ReporterKind::OnChange(threshold) => Some(Box::new(OnChangeReporter::new(threshold))),
        ReporterKind::Inverse(interval) => Some(Box::new(InverseReporter::new(interval))),
    }
}
