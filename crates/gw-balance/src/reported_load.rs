use std::time::Duration;

use gw_types::KeyHash;
use gw_types::Timestamp;

/// Time in which the requests of other hosts in a report lose half of their weight. In trials with
/// requests of 100 ms, 200 ms gave fewer refusals than 50 or 100 ms.
const HALF_LIFE: Duration = Duration::from_millis(200);
/// Time for which a holder that has reported to be full gets nothing: about that of one request, after
/// which a slot is free.
const FULL_TIME: Duration = Duration::from_millis(100);
/// Age from which a report counts nothing; its weight is 6% by then.
const MAX_AGE: Duration = Duration::from_millis(800);
/// Smallest weight that a host gives to a report. If hosts all gave it the same weight, 100 of 100
/// would choose the only idle target among full ones.
const MIN_TRUST: f64 = 0.5;
/// Weight of the newest report in the average pace, which changes many times a second.
const PACE_WEIGHT: f64 = 0.2;

/// Load that a target states in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Present processing time as a multiple of the usual one; `None` if it is not stated.
    pub pace: Option<f64>,
}

/// Which uses are made of reported loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadUses {
    /// For the choice among targets without keys.
    pub choice: bool,
    /// For requests to holders of keys.
    pub admission: bool,
    /// For reports to the leader, which plans keys by the speed of their holders.
    pub speed: bool,
}

impl Default for LoadUses {
    fn default() -> Self {
        Self { choice: true, admission: true, speed: true }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    at: Timestamp,
    /// Requests of other hosts.
    others: u32,
    slots: u32,
    /// Weight that this host gives to the report.
    trust: f64,
}

/// The load of one target, from its last report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetLoad {
    last: Option<ReceivedLoad>,
    /// Moving average of the pace; `None` if the target states none.
    pace: Option<f64>,
    /// Whether the pace was stated since the last report to the leader.
    has_new_pace: bool,
}

impl TargetLoad {
    /// Records a report that came with a response, when `own` further requests of this host were in
    /// flight. `seed` differs between hosts and targets.
    pub(crate) fn record(&mut self, now: Timestamp, load: &ReportedLoad, own: u32, seed: f64) {
        let others = load.running.saturating_add(load.waiting).saturating_sub(own);
        let bytes = [seed.to_bits().to_le_bytes(), now.as_nanos().to_le_bytes()].concat();
        let fraction = KeyHash::of(&bytes).0 as f64 / u64::MAX as f64;
        let trust = MIN_TRUST + (1.0 - MIN_TRUST) * fraction;
        self.last = Some(ReceivedLoad { at: now, others, slots: load.slots, trust });
        if let Some(pace) = load.pace {
            let average = self.pace.get_or_insert(pace);
            *average += PACE_WEIGHT * (pace - *average);
            self.has_new_pace = true;
        }
    }

    /// Returns the present number of other hosts' requests, as far as the last report still tells.
    pub(crate) fn others(&self, now: Timestamp) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        let age = now.since(last.at);
        if age >= MAX_AGE {
            return 0.0;
        }
        let weight = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        f64::from(last.others) * weight
    }

    /// Returns the same with the weight that this host gives to the report.
    pub(crate) fn trusted_others(&self, now: Timestamp) -> f64 {
        self.others(now) * self.last.map_or(0.0, |last| last.trust)
    }

    /// Returns whether the slots of the target and a queue of `queue` requests are full, with `own`
    /// requests of this host in flight.
    pub(crate) fn is_full(&self, now: Timestamp, own: u32, queue: u32) -> bool {
        let Some(last) = self.last else { return false };
        let capacity = last.slots.saturating_add(queue);
        let is_new = now.since(last.at) < FULL_TIME;
        let others = if is_new { f64::from(last.others) } else { self.others(now) };
        others + f64::from(own) >= f64::from(capacity)
    }

    /// Returns the average processing time as a multiple of the usual one, if the target states it.
    pub(crate) fn pace(&self) -> Option<f64> {
        self.pace
    }

    /// Returns the average pace if the target has stated it since the last call.
    pub(crate) fn take_pace(&mut self) -> Option<f64> {
        self.pace.filter(|_| std::mem::take(&mut self.has_new_pace))
    }
}
