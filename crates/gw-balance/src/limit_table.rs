use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::TargetName;
use gw_types::Timestamp;

/// Age from which a statement that a target has no limit is dropped. Older statements of other hosts
/// have arrived by then.
const MAX_WITHDRAWAL_AGE: Duration = Duration::from_secs(60);

/// What a run of a target last said about the rate of requests that it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLimit {
    /// Run of the target.
    pub holder: RangeHolder,
    /// Requests per second that it takes from all entry hosts together; `None` if it takes all.
    pub per_second: Option<f64>,
    /// When it said so, on this host's clock.
    pub stated_at: Timestamp,
}

/// The limits that targets have named, from answers to this host and reports of others.
///
/// The newest statement about a run replaces earlier ones, in whichever order they arrive, so that
/// all hosts agree.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    /// Sorted by holder.
    limits: Vec<TargetLimit>,
}

impl LimitTable {
    /// Records a statement unless a newer one is known. Returns whether the limit has changed.
    pub fn record(&mut self, limit: TargetLimit) -> bool {
        match self.limits.binary_search_by(|known| known.holder.cmp(&limit.holder)) {
            Ok(index) => {
                let known = &mut self.limits[index];
                if limit.stated_at <= known.stated_at {
                    return false;
                }
                let is_changed = known.per_second != limit.per_second;
                *known = limit;
                is_changed
            }
            // A target that never named a limit needs no entry.
            Err(_) if limit.per_second.is_none() => false,
            Err(position) => {
                self.limits.insert(position, limit);
                true
            }
        }
    }

    /// Returns the limit of a run in requests per second; `None` if it has none.
    pub fn per_second(&self, target: &TargetName, run: u64) -> Option<f64> {
        self.find(target, run).and_then(|limit| limit.per_second)
    }

    /// Returns the newest statement of a run; `None` if it never named a limit.
    pub fn find(&self, target: &TargetName, run: u64) -> Option<&TargetLimit> {
        let order = |known: &TargetLimit| {
            known.holder.target.cmp(target).then_with(|| known.holder.run.cmp(&run))
        };
        self.limits.binary_search_by(order).ok().map(|index| &self.limits[index])
    }

    /// Returns all statements, sorted by holder.
    pub fn limits(&self) -> &[TargetLimit] {
        &self.limits
    }

    /// Drops the statements of runs that have ended, and old statements without a limit.
    pub fn expire(&mut self, now: Timestamp, is_live: impl Fn(&RangeHolder) -> bool) {
        self.limits.retain(|limit| {
            let is_fresh =
                limit.per_second.is_some() || now.since(limit.stated_at) < MAX_WITHDRAWAL_AGE;
            is_fresh && is_live(&limit.holder)
        });
    }
}
