use std::time::Duration;

use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::WarmUpLimit;

/// Time without a statement from which it is not known whether a run is still what it was: more than
/// one announcement interval of 0.9 s, and the way of an announcement over a follower.
const MAX_STATEMENT_AGE: Duration = Duration::from_millis(1_500);
/// Time for which statements of a run that has no record yet are kept; its record is committed
/// within a second.
const UNREGISTERED_TIME: Duration = Duration::from_secs(5);
/// Time after the end of an evacuation in which announcements may arrive that are older than it.
const LATE_STATEMENT_TIME: Duration = Duration::from_millis(1_200);
/// Time after a statement that a run is cold in which an earlier one may arrive over another control
/// host.
const OVERTAKING_TIME: Duration = Duration::from_millis(300);
/// Largest number of runs of unknown state that a list names. Bounds the size of a message that each
/// entry host gets four times a second.
const MAX_UNSURE: usize = 64;

#[derive(Clone, Debug)]
struct RunWarmth {
    holder: RangeHolder,
    cold_until: Timestamp,
    /// Until when statements that the run is warm are not relied on.
    doubted_until: Timestamp,
    stated_at: Timestamp,
}

/// Which runs of targets are cold, from their statements.
#[derive(Debug, Default)]
pub struct WarmthTable {
    /// Sorted by service.
    limits: Vec<WarmUpLimit>,
    /// Sorted by holder.
    runs: Vec<RunWarmth>,
}

impl WarmthTable {
    /// Replaces the limits, which are sorted by service.
    pub fn set_limits(&mut self, limits: Vec<WarmUpLimit>) {
        self.limits = limits;
    }

    /// Returns the limits, sorted by service.
    pub fn limits(&self) -> &[WarmUpLimit] {
        &self.limits
    }

    /// Returns whether requests to cold targets of a service are limited.
    pub fn is_limited(&self, service: &ServiceName) -> bool {
        WarmUpLimit::find(&self.limits, service).is_some()
    }

    /// Records what a run said `age` ago: for how long it stays cold. Returns whether the run is new,
    /// has become cold or has become warm.
    pub fn record(
        &mut self,
        now: Timestamp,
        holder: &RangeHolder,
        remaining: Duration,
        age: Duration,
    ) -> bool {
        let stated_at = now - age;
        let cold_until = stated_at + remaining;
        match self.runs.binary_search_by(|known| known.holder.cmp(holder)) {
            Ok(index) => {
                let known = &mut self.runs[index];
                if stated_at < known.stated_at {
                    return false;
                }
                let was_cold = now < known.cold_until;
                known.cold_until = cold_until.max(known.doubted_until);
                known.stated_at = stated_at;
                if !remaining.is_zero() {
                    known.doubted_until = known.doubted_until.max(stated_at + OVERTAKING_TIME);
                }
                was_cold != (now < known.cold_until)
            }
            Err(index) => {
                let doubt = if remaining.is_zero() { Duration::ZERO } else { OVERTAKING_TIME };
                self.runs.insert(
                    index,
                    RunWarmth {
                        holder: holder.clone(),
                        cold_until,
                        doubted_until: stated_at + doubt,
                        stated_at,
                    },
                );
                true
            }
        }
    }

    /// Records that a run may have become cold: the evacuation of its zone has ended.
    pub fn record_doubt(&mut self, now: Timestamp, holder: &RangeHolder) {
        self.record(now, holder, Duration::ZERO, Duration::ZERO);
        if let Ok(index) = self.runs.binary_search_by(|known| known.holder.cmp(holder)) {
            let known = &mut self.runs[index];
            known.doubted_until = now + LATE_STATEMENT_TIME;
            known.cold_until = known.cold_until.max(known.doubted_until);
        }
    }

    /// Drops runs that are not registered.
    pub fn retain(&mut self, now: Timestamp, is_registered: impl Fn(&RangeHolder) -> bool) {
        self.runs.retain(|run| {
            is_registered(&run.holder) || now.since(run.stated_at) < UNREGISTERED_TIME
        });
    }

    fn find(&self, holder: &RangeHolder) -> Option<&RunWarmth> {
        let found = self.runs.binary_search_by(|known| known.holder.cmp(holder));
        found.ok().map(|index| &self.runs[index])
    }

    /// Returns the rate in requests per second that a target sustains, if it is cold and its service
    /// limits requests to cold targets.
    pub fn cold_rate(&self, now: Timestamp, target: &TargetRecord) -> Option<f64> {
        let limit = WarmUpLimit::find(&self.limits, &target.service)?;
        self.remaining(now, &target.holder()).map(|_| limit.per_second)
    }

    /// Returns for how long each run said last that it stays cold, and when, if there are limits.
    pub fn statements(&self) -> Vec<(RangeHolder, Duration, Timestamp)> {
        let runs = self.runs.iter().filter(|_| !self.limits.is_empty());
        let statement = |run: &RunWarmth| {
            (run.holder.clone(), run.cold_until.since(run.stated_at), run.stated_at)
        };
        runs.map(statement).collect()
    }

    /// Returns for how long a run stays cold, if it is cold.
    pub fn remaining(&self, now: Timestamp, holder: &RangeHolder) -> Option<Duration> {
        let remaining = self.find(holder)?.cold_until.since(now);
        Some(remaining).filter(|remaining| !remaining.is_zero())
    }

    /// Returns the runs among `targets` of which it is not known whether they are cold, sorted;
    /// `None` if there are too many to name.
    pub fn unsure<'a>(
        &self,
        now: Timestamp,
        targets: impl IntoIterator<Item = &'a TargetRecord>,
    ) -> Option<Vec<RangeHolder>> {
        let is_unsure = |holder: &RangeHolder| {
            self.find(holder).is_none_or(|run| {
                now >= run.cold_until && now.since(run.stated_at) > MAX_STATEMENT_AGE
            })
        };
        let limited = targets.into_iter().filter(|target| self.is_limited(&target.service));
        let mut unsure: Vec<RangeHolder> =
            limited.map(TargetRecord::holder).filter(|holder| is_unsure(holder)).collect();
        unsure.sort();
        (unsure.len() <= MAX_UNSURE).then_some(unsure)
    }
}
