use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::AttemptOutcome;
use gw_balance::HolderAvailability;
use gw_balance::WaitingRequest;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::entry::entry_host::EntryHost;
use crate::entry::own_answer::OwnAnswer;

/// How many times the time left until the objective a request may wait for room. A late answer still
/// has a part of its value; the deadline bounds the wait as well.
const WAIT_SHARE: f64 = 1.5;
/// Longest wait for a key range that changes its holder. Most moves take a few milliseconds more
/// than the longest run under way.
const MOVE_WAIT: Duration = Duration::from_millis(250);
/// Pause of a holder that a request waits for: that of a full target, or after the first failures.
const SHORT_PAUSE: Duration = Duration::from_millis(200);
/// When a caller may try again after its key had no holder: about the time of a move.
const MOVE_RETRY: Duration = Duration::from_millis(300);
/// Shortest time after which a refused caller may come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller may come back.
const LONGEST_RETRY: Duration = Duration::from_millis(1_000);

/// What admission has to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    pub(crate) number: u64,
    pub(crate) service: ServiceName,
    /// `None` for services that are not divided by key.
    pub(crate) key: Option<u16>,
    pub(crate) priority: u8,
    /// When the answer loses a part of its value.
    pub(crate) objective: Instant,
    /// When the answer is no longer waited for.
    pub(crate) deadline: Instant,
}

/// The right to send one request to a target. Counts as in flight until it is dropped.
pub(crate) struct Ticket {
    host: Rc<EntryHost>,
    pub(crate) holder: RangeHolder,
    pub(crate) address: SocketAddr,
    end: AttemptOutcome,
}

impl Ticket {
    fn new(host: &Rc<EntryHost>, holder: RangeHolder, address: SocketAddr) -> Self {
        host.pool.borrow_mut().record_start(&holder);
        Self { host: host.clone(), holder, address, end: AttemptOutcome::Cancelled }
    }

    /// Gives the right back.
    pub(crate) fn finish(mut self, end: AttemptOutcome) {
        self.end = end;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.host.now();
        self.host.pool.borrow_mut().record_end(now, &self.holder, self.end);
        self.host.room.notify_one();
    }
}

/// Removes a request from the line when it no longer waits, also because its caller left.
struct WaitGuard<'a> {
    host: &'a EntryHost,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.host.line.borrow_mut().remove(self.number);
        self.host.waiters.borrow_mut().remove(&self.number);
    }
}

/// How long a request would wait for room.
enum Outlook {
    /// About this long.
    Wait(Duration),
    /// Too long to tell.
    Hopeless { reason: &'static str, retry_after: Duration },
}

/// Gives the right to send a request to a target as soon as one has room, or refuses it at once
/// when that would take too long.
pub(crate) async fn admit(
    host: &Rc<EntryHost>,
    plan: &RequestPlan,
    tried: &[TargetName],
) -> Result<Ticket, OwnAnswer> {
    let now = host.now();
    if !is_behind(host, plan)
        && let Some((holder, address)) = pick(host, now, &plan.service, plan.key, tried)
    {
        return Ok(Ticket::new(host, holder, address));
    }
    let patience = patience(host, now, plan);
    let wait = match outlook(host, now, plan) {
        Outlook::Hopeless { reason, retry_after } => {
            return Err(OwnAnswer::not_run(reason, retry_after));
        }
        Outlook::Wait(wait) => wait,
    };
    let retry_after = wait.clamp(SHORTEST_RETRY, LONGEST_RETRY);
    if wait > patience {
        return Err(OwnAnswer::not_run("overloaded", retry_after));
    }
    let (sender, receiver) = oneshot::channel();
    host.waiters.borrow_mut().insert(plan.number, sender);
    host.line.borrow_mut().push(WaitingRequest {
        number: plan.number,
        service: plan.service.clone(),
        key: plan.key,
        tried: tried.to_vec(),
        priority: plan.priority,
    });
    host.metrics.waiting.set(host.line.borrow().len() as i64);
    let guard = WaitGuard { host, number: plan.number };
    let admitted = tokio::time::timeout(patience, receiver).await;
    drop(guard);
    host.metrics.waiting.set(host.line.borrow().len() as i64);
    match admitted {
        Ok(Ok(ticket)) => Ok(ticket),
        _ => Err(OwnAnswer::not_run("waited_too_long", retry_after)),
    }
}

/// Whether a request that is served first waits for the same target or service.
fn is_behind(host: &EntryHost, plan: &RequestPlan) -> bool {
    let line = host.line.borrow();
    let Some(key) = plan.key else { return line.count_ahead(&plan.service, plan.priority) > 0 };
    let state = host.state.borrow();
    let Some(table) = state.table(&plan.service) else { return false };
    let range = table.find(key).range;
    let is_same = |other: Option<u16>| other.is_some_and(|other| range.contains(other));
    line.count_ahead_for_keys(&plan.service, plan.priority, is_same) > 0
}

/// A target that may be sent the request now.
fn pick(
    host: &EntryHost,
    now: Timestamp,
    service: &ServiceName,
    key: Option<u16>,
    tried: &[TargetName],
) -> Option<(RangeHolder, SocketAddr)> {
    let pool = host.pool.borrow();
    let Some(key) = key else {
        let line = pool.pick(now, service, tried)?;
        return Some((line.record.holder(), line.record.address));
    };
    let state = host.state.borrow();
    let held = state.table(service)?.find(key);
    let holder = held.holder.as_ref().filter(|_| held.successor.is_none())?;
    if pool.holder_availability(now, holder) != HolderAvailability::Available {
        return None;
    }
    Some((holder.clone(), pool.target(&holder.target)?.record.address))
}

fn patience(host: &EntryHost, now: Timestamp, plan: &RequestPlan) -> Duration {
    let run_time = host.pool.borrow().typical_response_time(now, &plan.service);
    let until = |at: Instant| at.saturating_duration_since(Instant::now());
    let in_time = until(plan.deadline).saturating_sub(Duration::from_secs_f64(run_time * 1.2));
    until(plan.objective).mul_f64(WAIT_SHARE).min(in_time)
}

fn outlook(host: &EntryHost, now: Timestamp, plan: &RequestPlan) -> Outlook {
    let pool = host.pool.borrow();
    let run_time = pool.typical_response_time(now, &plan.service);
    let ahead = host.line.borrow().count_ahead(&plan.service, plan.priority) as f64;
    let Some(key) = plan.key else {
        if !pool.has_targets(&plan.service) {
            return Outlook::Hopeless { reason: "no_target", retry_after: LONGEST_RETRY };
        }
        let capacity = f64::from(pool.capacity(now, &plan.service).max(1));
        return Outlook::Wait(Duration::from_secs_f64((ahead + 1.0) * run_time / capacity));
    };
    let state = host.state.borrow();
    let held = state.table(&plan.service).map(|table| table.find(key));
    let Some(held) = held.filter(|held| held.holder.is_some()) else {
        return Outlook::Hopeless { reason: "key_without_holder", retry_after: MOVE_RETRY };
    };
    if held.successor.is_some() {
        let moves = host.moves.borrow();
        let since = moves.get(&(plan.service.clone(), held.range.first)).copied();
        let age = since.map_or(Duration::ZERO, |since| now.since(since));
        return match MOVE_WAIT.checked_sub(age) {
            Some(rest) => Outlook::Wait(rest),
            None => Outlook::Hopeless { reason: "key_moves", retry_after: MOVE_RETRY },
        };
    }
    let pick = held.holder.as_ref().map(|holder| pool.holder_availability(now, holder));
    let line = held.holder.as_ref().and_then(|holder| pool.target(&holder.target));
    match (pick, line) {
        (Some(HolderAvailability::Busy | HolderAvailability::Available), Some(line)) => {
            let range = held.range;
            let run_time = line.response_time(now).unwrap_or(run_time);
            let same =
                host.line.borrow().count_ahead_for_keys(&plan.service, plan.priority, |other| {
                    other.is_some_and(|other| range.contains(other))
                });
            let turns = (same + 1) as f64 / f64::from(line.in_flight.max(1));
            Outlook::Wait(Duration::from_secs_f64(turns * run_time))
        }
        (Some(HolderAvailability::Paused), Some(line))
            if line.remaining_pause(now) <= SHORT_PAUSE =>
        {
            Outlook::Wait(line.remaining_pause(now))
        }
        (Some(HolderAvailability::Paused), Some(_)) => {
            Outlook::Hopeless { reason: "holder_fails", retry_after: MOVE_RETRY }
        }
        _ => Outlook::Hopeless { reason: "holder_unknown", retry_after: MOVE_RETRY },
    }
}

/// Lets waiting requests start for which there is room, whenever something has changed.
pub(crate) async fn serve_line(host: Rc<EntryHost>) {
    /// Pauses of targets end without a notice.
    const LOOK_INTERVAL: Duration = Duration::from_millis(25);
    loop {
        if host.line.borrow().is_empty() {
            host.room.notified().await;
        } else {
            // Either way the line is looked at.
            tokio::time::timeout(LOOK_INTERVAL, host.room.notified()).await.ok();
        }
        let now = host.now();
        let admitted = host.line.borrow_mut().take_admitted(|request| {
            let found = pick(&host, now, &request.service, request.key, &request.tried);
            found.map(|(holder, address)| Ticket::new(&host, holder, address))
        });
        for (number, ticket) in admitted {
            let waiter = host.waiters.borrow_mut().remove(&number);
            if let Some(waiter) = waiter {
                // A caller that has just left gives the ticket back.
                waiter.send(ticket).ok();
            }
        }
    }
}
