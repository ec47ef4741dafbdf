use std::time::Duration;

use gw_profile::Profile;
use gw_profile::QueueOrder;
use gw_profile::SpreadPolicy;

/// Which hosts queue requests for a target and send to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendingMode {
    /// Only the target's dispatcher, with one queue for all entry hosts.
    Dispatcher,
    /// Every entry host, each with its own queue. Serves as a baseline. The profile's queue limit
    /// is divided evenly among the hosts, so that as many requests may wait for a target as with a
    /// dispatcher.
    Direct,
}

/// When a dispatcher reports its targets' load to the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReporterKind {
    /// No reports are sent.
    None,
    /// Reports at a fixed interval.
    Periodic(Duration),
    /// Reports when the number of outstanding requests has changed by this many.
    OnChange(u32),
    /// Reports at this interval while the target is idle, and more often the higher its load.
    Inverse(Duration),
}

/// A configuration to replay a trace with: a profile and the mechanisms that are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayVariant {
    /// Name in reports.
    pub name: &'static str,
    /// Profile that applies to all services.
    pub profile: Profile,
    /// Which hosts send to a target.
    pub sending: SendingMode,
    /// Whether slots and keys are moved to balance load. After the loss of a target they always
    /// move.
    pub has_load_moves: bool,
    /// When load reports are sent.
    pub reporter: ReporterKind,
    /// Number of randomly sampled candidates that the least-wait policy compares; all if absent.
    pub sample_size: Option<usize>,
}

impl ReplayVariant {
    /// Replays `profile` unchanged, with dispatchers, load moves and periodic load reports.
    pub fn of_profile(profile: &Profile) -> Self {
        Self {
            name: "profile",
            profile: profile.clone(),
            sending: SendingMode::Dispatcher,
            has_load_moves: true,
            reporter: ReporterKind::Periodic(Duration::from_millis(400)),
            sample_size: None,
        }
    }

    /// Returns the unchanged profile and the baselines: simpler choice policies, FIFO queues, no
    /// load moves, and direct sending.
    pub fn with_baselines(profile: &Profile) -> Vec<Self> {
        let base = Self::of_profile(profile);
        let with_policy = |name, policy| {
            let mut variant = Self { name, ..base.clone() };
            variant.profile.spread.policy = policy;
            variant
        };
        let mut fifo = Self { name: "first-in-first-out", ..base.clone() };
        fifo.profile.refuse.queue_order = QueueOrder::Fifo;
        let direct = Self { name: "direct", sending: SendingMode::Direct, ..base.clone() };
        let round_robin = with_policy("round-robin", SpreadPolicy::RoundRobin);
        let random = with_policy("random", SpreadPolicy::Random);
        let no_moves = Self { name: "no-moves", has_load_moves: false, ..base.clone() };
        vec![base, round_robin, random, fifo, no_moves, direct]
    }
}

/// Returns variants that differ in when load is reported and in how many candidates are compared.
///
/// No variant sends more bytes of reports than periodic reports every `interval`. `measure` returns
/// the bytes per second that a variant sends; it is used to find the most frequent setting of each
/// other reporter that stays within this budget.
pub fn load_report_variants(
    profile: &Profile,
    interval: Duration,
    measure: impl Fn(&ReplayVariant) -> f64,
) -> Vec<ReplayVariant> {
    let base = ReplayVariant::of_profile(profile);
    let with = |name, reporter| ReplayVariant { name, reporter, ..base.clone() };
    let periodic = with("periodic", ReporterKind::Periodic(interval));
    let budget = measure(&periodic);
    let fits = |variant: &ReplayVariant| measure(variant) <= budget;
    let on_change = (1..64).map(|threshold| with("on-change", ReporterKind::OnChange(threshold)));
    let intervals = (1..64).map(|step| interval + interval * step / 8);
    let inverse = intervals.map(|idle| with("inverse", ReporterKind::Inverse(idle)));
    let mut variants = vec![with("no-reports", ReporterKind::None)];
    variants.extend(on_change.into_iter().find(fits));
    variants.extend(inverse.into_iter().find(fits));
    variants.push(ReplayVariant {
        name: "periodic, best of 2",
        sample_size: Some(2),
        ..periodic.clone()
    });
    variants.push(ReplayVariant {
        name: "periodic, best of 3",
        sample_size: Some(3),
        ..periodic.clone()
    });
    variants.push(periodic);
    variants
}

/// Simulation parameters that are not part of a profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayOptions {
    /// Seed of the random choice of entry hosts and of randomized choice policies.
    pub seed: u64,
    /// Time from the loss of a target until its announcement expires and all hosts stop using it.
    pub detect_after: Duration,
    /// Time from the loss of a target until its slots have new owners: besides the announcement,
    /// the dispatcher's grant and the deadline of the last request must have expired, with a margin
    /// for clock drift.
    pub reassign_after: Duration,
    /// Time until another host has confirmed its copy of an idempotency record.
    pub copy_delay: Duration,
    /// Time after which a caller resends a non-idempotent request that was not answered.
    pub resend_after: Duration,
}

impl Default for ReplayOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            detect_after: Duration::from_millis(1_500),
            reassign_after: Duration::from_millis(2_600),
            copy_delay: Duration::from_millis(1),
            resend_after: Duration::from_millis(500),
        }
    }
}
