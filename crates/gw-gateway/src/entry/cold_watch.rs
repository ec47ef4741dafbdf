use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::Timestamp;
use gw_types::ZoneName;
use tokio::task::spawn_local;

use crate::entry::entry_host::EntryHost;
use crate::link::ColdMessage;
use crate::link::WarmthReport;

/// Age of the leader's last list from which limits of other control hosts are taken.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

/// Time without a list of a leader from which targets without a connection may have restarted
/// unnoticed. Longer than nearly all changes of the leader.
const CUT_OFF_TIME: Duration = Duration::from_secs(3);

/// What an entry host keeps about cold targets besides the state of each.
#[derive(Default)]
pub(crate) struct ColdWatch {
    /// When the last list of a leader arrived; `None` if none did.
    listed_at: Cell<Option<Timestamp>>,
    /// Runs that were presumed cold, and whether this host had the lease, when that was last logged.
    logged: RefCell<Vec<(RangeHolder, bool)>>,
    /// Runs that have said to this host that they are cold since the last report to the leader, with
    /// the time that they named and when.
    stated: RefCell<Vec<(RangeHolder, Duration, Timestamp)>>,
}

impl EntryHost {
    /// Applies what a control host says about cold targets.
    pub(crate) fn apply_cold_message(&self, message: ColdMessage) {
        let now = self.now();
        let is_leader = message.is_leader;
        let list = message.received();
        if is_leader {
            self.cold.listed_at.set(Some(now));
            self.pool.borrow_mut().apply_cold_list(now, list);
        } else if self.cold.listed_at.get().is_none_or(|at| now.since(at) > MAX_LIST_AGE) {
            self.pool.borrow_mut().set_warm_up_limits(list.limits);
        }
        self.log_cold_targets();
        self.admission_wakeup.notify_one();
    }

    /// Records that the targets of zones whose evacuation has ended may be cold.
    pub(crate) fn record_evacuation_ends(&self, zones: &[ZoneName]) {
        let (now, index) = (self.now(), self.applied());
        let mut pool = self.pool.borrow_mut();
        zones.iter().for_each(|zone| pool.record_evacuation_end(now, zone, index));
    }

    /// Records for how long a run said, in a response to this host, that it stays cold.
    pub(crate) fn record_warmth(&self, holder: &RangeHolder, left: Duration) {
        let now = self.now();
        if self.pool.borrow_mut().record_warmth(now, holder, left) {
            log::info!("event=target_says_cold target={holder} left_ms={}", left.as_millis());
            self.cold.stated.borrow_mut().push((holder.clone(), left, now));
        }
    }

    /// Returns what runs have said about themselves since the last call.
    pub(crate) fn take_warmth_reports(&self) -> Vec<WarmthReport> {
        let now = self.now();
        let stated = std::mem::take(&mut *self.cold.stated.borrow_mut());
        let report = |(holder, left, at)| WarmthReport::new(holder, left, now.since(at));
        stated.into_iter().map(report).collect()
    }

    /// Opens connections, without requests, to targets that connections failed to, as far as that is
    /// due.
    pub(crate) fn probe_cold_targets(self: &Rc<Self>) {
        let now = self.now();
        let due = {
            let mut pool = self.pool.borrow_mut();
            // Before the first list, all runs that may be cold are presumed to be.
            let listed_at = self.cold.listed_at.get();
            let is_cut_off = listed_at.is_some_and(|at| now.since(at) > CUT_OFF_TIME);
            if is_cut_off && pool.has_warm_up_limits() {
                pool.record_unconnected(now, |target| {
                    self.connections.has_idle(target.record.address)
                });
            }
            pool.take_cold_probes(now)
        };
        for target in due {
            let host = self.clone();
            spawn_local(async move {
                if host.connections.probe(target.address).await {
                    host.pool.borrow_mut().record_reached(host.now(), &target.holder());
                }
            });
        }
    }

    /// Logs which runs have become cold or warm in the eyes of this host, and which leases it has
    /// gained or lost.
    pub(crate) fn log_cold_targets(&self) {
        let cold = {
            let pool = self.pool.borrow();
            if !pool.has_warm_up_limits() && self.cold.logged.borrow().is_empty() {
                return;
            }
            pool.cold_runs(self.now())
        };
        self.metrics.cold_targets.set(cold.len() as i64);
        let before = self.cold.logged.replace(cold.clone());
        let find = |list: &[(RangeHolder, bool)], holder: &RangeHolder| {
            let found = list.binary_search_by(|(known, _)| known.cmp(holder));
            found.ok().map(|index| list[index].1)
        };
        for (holder, is_leased) in &cold {
            let was_leased = find(&before, holder);
            if was_leased.is_none() {
                log::info!("event=target_cold target={holder}");
            }
            match (was_leased.unwrap_or(false), is_leased) {
                (false, true) => log::info!("event=cold_lease_gained target={holder}"),
                (true, false) => log::info!("event=cold_lease_lost target={holder}"),
                _ => {}
            }
        }
        for (holder, _) in before.iter().filter(|(holder, _)| find(&cold, holder).is_none()) {
            log::info!("event=target_warm target={holder}");
        }
    }
}
