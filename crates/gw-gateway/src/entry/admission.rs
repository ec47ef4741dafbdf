use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::AttemptOutcome;
use gw_balance::HolderAvailability;
use gw_balance::RequestQueue;
use gw_balance::WaitingRequest;
use gw_ranges::KeyRange;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::entry::entry_host::EntryHost;
use crate::entry::local_reply::LocalReply;

/// Longest queue wait, as a multiple of the time left until the latency objective. A late response
/// still has a part of its value to the caller; the deadline bounds the wait as well.
const OBJECTIVE_WAIT_FACTOR: f64 = 1.5;
/// Longest queue wait of a request that is past its objective, as a multiple of the time left until
/// its deadline.
const LATE_WAIT_SHARE: f64 = 0.25;
/// Longest wait while a key range moves to another holder. Most moves take a few milliseconds more
/// than the longest request that is running on the old holder.
const MAX_MOVE_WAIT: Duration = Duration::from_millis(250);
/// Longest pause of a holder that a request waits out. Covers the pause of a holder that is full
/// and the pauses after its first failures.
const MAX_PAUSE_WAIT: Duration = Duration::from_millis(200);
/// Longest wait for a target whose named limit allows no request now.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(500);
/// `Retry-After` when the key has no usable holder: about the duration of a move.
pub(crate) const MOVE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Reason of a refusal because all targets for the request are in evacuated zones.
pub(crate) const ZONE_EVACUATED: &str = "zone_evacuated";
/// Shortest `Retry-After` of a request refused under load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest `Retry-After` of a request refused under load.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Reason of a refusal: the only targets that the request may be sent to are cold.
const TARGET_COLD: &str = "target_cold";
/// Largest body, in bytes, of a request that no target takes only if none has capacity. A larger one
/// may have to wait for the bytes that are in flight at targets.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// The properties of a request that admission depends on.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionParams {
    pub(crate) number: u64,
    pub(crate) service: ServiceName,
    /// `None` for services that are not partitioned by key.
    pub(crate) key: Option<u16>,
    pub(crate) priority: u8,
    pub(crate) body_bytes: usize,
    /// Latency objective: a later response has less value to the caller.
    pub(crate) objective: Instant,
    /// When this host stops waiting for a response.
    pub(crate) deadline: Instant,
}

/// Permission to send one request to a target. The request counts as in flight at the target until
/// the permit is dropped.
pub(crate) struct SendPermit {
    host: Rc<EntryHost>,
    pub(crate) holder: RangeHolder,
    pub(crate) address: SocketAddr,
    body_bytes: usize,
    outcome: AttemptOutcome,
}

impl SendPermit {
    fn new(
        host: &Rc<EntryHost>,
        (holder, address): (RangeHolder, SocketAddr),
        body_bytes: usize,
    ) -> Self {
        let now = host.now();
        let mut pool = host.pool.borrow_mut();
        host.metrics.cold_requests.inc_by(u64::from(pool.is_cold(now, &holder)));
        pool.record_start(now, &holder);
        drop(pool);
        host.sent_bytes.borrow_mut().record_start(&holder.target, body_bytes);
        let outcome = AttemptOutcome::Cancelled;
        Self { host: host.clone(), holder, address, body_bytes, outcome }
    }

    /// Releases the permit and records the outcome of the request. A permit that is dropped without
    /// this call counts as cancelled.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        let now = self.host.now();
        self.host.pool.borrow_mut().record_end(now, &self.holder, self.outcome);
        self.host.sent_bytes.borrow_mut().record_end(&self.holder.target, self.body_bytes);
        self.host.admission_wakeup.notify_one();
    }
}

/// Removes a request from the queue when it stops waiting, including when its caller disconnects.
struct QueueGuard<'a> {
    host: &'a EntryHost,
    number: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.host.queue.borrow_mut().remove(self.number);
        self.host.waiters.borrow_mut().remove(&self.number);
    }
}

/// Expected wait of a request until a target has capacity for it.
enum WaitEstimate {
    /// The request can be sent after about this time.
    Wait(Duration),
    /// No useful estimate exists; the request is refused at once.
    Refused { reason: &'static str, retry_after: Duration },
}

/// Waits until a target has capacity for the request and returns a permit to send it. Refuses the
/// request at once if the estimated wait is too long. `tried` are targets that must not be used
/// again.
pub(crate) async fn admit(
    host: &Rc<EntryHost>,
    params: &AdmissionParams,
    tried: &[TargetName],
) -> Result<SendPermit, LocalReply> {
    let now = host.now();
    if !has_queued_ahead(host, params)
        && let Some(selected) =
            select_target(host, now, (&params.service, params.key, params.body_bytes), tried)
    {
        return Ok(SendPermit::new(host, selected, params.body_bytes));
    }
    let max_wait = max_wait(host, now, params);
    let wait = match estimate_wait(host, now, params) {
        WaitEstimate::Refused { reason, retry_after } => {
            host.metrics.cold_refusals.inc_by(u64::from(reason == TARGET_COLD));
            return Err(LocalReply::not_executed(reason, retry_after));
        }
        WaitEstimate::Wait(wait) => wait,
    };
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    if wait > max_wait {
        return Err(LocalReply::not_executed("overloaded", retry_after));
    }
    let (sender, receiver) = oneshot::channel();
    host.waiters.borrow_mut().insert(params.number, sender);
    host.queue.borrow_mut().push(WaitingRequest {
        number: params.number,
        service: params.service.clone(),
        key: params.key,
        tried: tried.to_vec(),
        priority: params.priority,
        body_bytes: params.body_bytes,
    });
    // No request may be in flight whose end would wake up the admission.
    host.admission_wakeup.notify_one();
    host.metrics.waiting.set(host.queue.borrow().len() as i64);
    let guard = QueueGuard { host, number: params.number };
    let admitted = tokio::time::timeout(max_wait, receiver).await;
    drop(guard);
    host.metrics.waiting.set(host.queue.borrow().len() as i64);
    match admitted {
        Ok(Ok(permit)) => Ok(permit),
        _ => Err(evacuation_refusal(host, params)
            .unwrap_or_else(|| LocalReply::not_executed("waited_too_long", retry_after))),
    }
}

/// Returns a permit for a further attempt of a request without a key if a target has capacity now that
/// no queued request of the service waits for.
pub(crate) fn admit_now(
    host: &Rc<EntryHost>,
    params: &AdmissionParams,
    tried: &[TargetName],
) -> Option<SendPermit> {
    if host.queue.borrow().count_ahead(&params.service, u8::MAX) > 0 {
        return None;
    }
    let wanted = (&params.service, params.key, params.body_bytes);
    let selected = select_target(host, host.now(), wanted, tried)?;
    Some(SendPermit::new(host, selected, params.body_bytes))
}

/// Returns the refusal of a request that no target may get because zones are evacuated; `None` if one
/// may.
pub(crate) fn evacuation_refusal(host: &EntryHost, params: &AdmissionParams) -> Option<LocalReply> {
    if !is_evacuated(host, host.now(), &params.service, params.key) {
        return None;
    }
    let retry_after = match host.pool.borrow().has_targets(&params.service) {
        true => MOVE_RETRY_AFTER,
        false => MAX_RETRY_AFTER,
    };
    Some(LocalReply::not_executed(ZONE_EVACUATED, retry_after))
}

/// Whether no target may get a request because zones are evacuated. A key that moves will have another
/// holder.
fn is_evacuated(host: &EntryHost, now: Timestamp, service: &ServiceName, key: Option<u16>) -> bool {
    if !host.has_evacuations() {
        return false;
    }
    let pool = host.pool.borrow();
    let Some(key) = key else { return pool.is_evacuated(service) };
    let state = host.state();
    let assignment = state.table(service).map(|table| table.find(key));
    let Some(assignment) = assignment.filter(|assignment| assignment.successor.is_none()) else {
        return false;
    };
    let availability =
        assignment.holder.as_ref().map(|holder| pool.holder_availability(now, holder));
    availability == Some(HolderAvailability::Evacuated)
}

/// Whether a queued request that takes precedence needs the same key range, or, without a key, the
/// same service.
fn has_queued_ahead(host: &EntryHost, params: &AdmissionParams) -> bool {
    let queue = host.queue.borrow();
    let Some(key) = params.key else {
        return queue.count_ahead(&params.service, params.priority) > 0;
    };
    let state = host.state();
    let Some(table) = state.table(&params.service) else { return false };
    count_ahead_in_range(&queue, params, table.find(key).range) > 0
}

/// Counts the queued requests for keys of `range` that take precedence.
fn count_ahead_in_range(queue: &RequestQueue, params: &AdmissionParams, range: KeyRange) -> usize {
    let is_same = |other: Option<u16>| other.is_some_and(|other| range.contains(other));
    queue.count_ahead_for_keys(&params.service, params.priority, is_same)
}

/// Selects a target that the request may be sent to now: the holder of its key, or for services
/// without keys the target with the shortest expected response time.
fn select_target(
    host: &EntryHost,
    now: Timestamp,
    (service, key, body_bytes): (&ServiceName, Option<u16>, usize),
    tried: &[TargetName],
) -> Option<(RangeHolder, SocketAddr)> {
    let (pool, sent) = (host.pool.borrow(), host.sent_bytes.borrow());
    let Some(key) = key else {
        let is_path_lost = host.connections.path().is_lost();
        let target = pool.pick_among(now, service, tried, |target| {
            (!is_path_lost || host.connections.has_idle(target.record.address))
                && sent.may_send(&target.record.name, body_bytes)
        })?;
        return Some((target.record.holder(), target.record.address));
    };
    let state = host.state();
    let assignment = state.table(service)?.find(key);
    let holder = assignment.holder.as_ref().filter(|_| assignment.successor.is_none())?;
    let is_available = pool.holder_availability(now, holder) == HolderAvailability::Available;
    if !is_available || !sent.may_send(&holder.target, body_bytes) {
        return None;
    }
    Some((holder.clone(), pool.target(&holder.target)?.record.address))
}

/// Longest time that the request may wait in the queue and still be worth sending.
pub(crate) fn max_wait(host: &EntryHost, now: Timestamp, params: &AdmissionParams) -> Duration {
    let response_time = host.pool.borrow().typical_response_time(now, &params.service);
    let until = |at: Instant| at.saturating_duration_since(Instant::now());
    let before_deadline =
        until(params.deadline).saturating_sub(Duration::from_secs_f64(response_time * 1.2));
    let useful = until(params.objective).mul_f64(OBJECTIVE_WAIT_FACTOR);
    useful.max(until(params.deadline).mul_f64(LATE_WAIT_SHARE)).min(before_deadline)
}

/// Estimates from the queue, response times and pending moves when a target will have capacity for
/// the request.
fn estimate_wait(host: &EntryHost, now: Timestamp, params: &AdmissionParams) -> WaitEstimate {
    let pool = host.pool.borrow();
    let response_time = pool.typical_response_time(now, &params.service);
    let ahead = host.queue.borrow().count_ahead(&params.service, params.priority) as f64;
    let Some(key) = params.key else {
        if !pool.has_targets(&params.service) {
            return WaitEstimate::Refused { reason: "no_target", retry_after: MAX_RETRY_AFTER };
        }
        let capacity = pool.capacity(now, &params.service);
        if capacity == 0
            && let Some(wait) = pool.limit_wait(now, &params.service)
        {
            let interval = pool.cold_interval(now, &params.service);
            let turns = interval.map_or(Duration::ZERO, |interval| interval.mul_f64(ahead));
            return wait_for_limit(wait + turns, interval.is_some());
        }
        let capacity = f64::from(capacity.max(1));
        return WaitEstimate::Wait(Duration::from_secs_f64(
            (ahead + 1.0) * response_time / capacity,
        ));
    };
    let state = host.state();
    let assignment = state.table(&params.service).map(|table| table.find(key));
    let Some(assignment) = assignment.filter(|assignment| assignment.holder.is_some()) else {
        return WaitEstimate::Refused {
            reason: "key_without_holder",
            retry_after: MOVE_RETRY_AFTER,
        };
    };
    if assignment.successor.is_some() {
        let move_started = host.move_started.borrow();
        let since = move_started.get(&(params.service.clone(), assignment.range.first)).copied();
        let age = since.map_or(Duration::ZERO, |since| now.since(since));
        return match MAX_MOVE_WAIT.checked_sub(age) {
            Some(rest) => WaitEstimate::Wait(rest),
            None => WaitEstimate::Refused { reason: "key_moves", retry_after: MOVE_RETRY_AFTER },
        };
    }
    let availability =
        assignment.holder.as_ref().map(|holder| pool.holder_availability(now, holder));
    let target = assignment.holder.as_ref().and_then(|holder| pool.target(&holder.target));
    match (availability, target) {
        (Some(HolderAvailability::Busy | HolderAvailability::Available), Some(target)) => {
            let response_time = target.response_time(now).unwrap_or(response_time);
            let ahead = count_ahead_in_range(&host.queue.borrow(), params, assignment.range);
            let turns = (ahead + 1) as f64 / f64::from(target.in_flight.max(1));
            WaitEstimate::Wait(Duration::from_secs_f64(turns * response_time))
        }
        (Some(HolderAvailability::Paused), Some(target))
            if target.remaining_pause(now) <= MAX_PAUSE_WAIT =>
        {
            WaitEstimate::Wait(target.remaining_pause(now))
        }
        (Some(HolderAvailability::Limited), Some(target)) => {
            let ahead = count_ahead_in_range(&host.queue.borrow(), params, assignment.range);
            let turns = u32::try_from(ahead).unwrap_or(u32::MAX);
            let interval = target.limit_interval(now);
            let wait = target.limit_wait(now) + interval.saturating_mul(turns);
            wait_for_limit(wait, target.is_cold(now))
        }
        (Some(HolderAvailability::Paused), Some(_)) => {
            WaitEstimate::Refused { reason: "holder_fails", retry_after: MOVE_RETRY_AFTER }
        }
        _ => WaitEstimate::Refused { reason: "holder_unknown", retry_after: MOVE_RETRY_AFTER },
    }
}

/// Returns the estimate for a request that has to wait until the limit of a target allows it.
fn wait_for_limit(wait: Duration, is_cold: bool) -> WaitEstimate {
    if wait <= MAX_LIMIT_WAIT {
        return WaitEstimate::Wait(wait);
    }
    let retry_after = wait.clamp(MOVE_RETRY_AFTER, MAX_RETRY_AFTER);
    let reason = if is_cold { TARGET_COLD } else { "target_limited" };
    WaitEstimate::Refused { reason, retry_after }
}

/// Admits queued requests for which a target has capacity, each time something has changed that may
/// affect them.
pub(crate) async fn run_admission(host: Rc<EntryHost>) {
    /// Polling is needed because pauses of targets end without a notification.
    const POLL_INTERVAL: Duration = Duration::from_millis(25);
    loop {
        if host.queue.borrow().is_empty() {
            host.admission_wakeup.notified().await;
        } else {
            // The queue is examined after a notification and after a timeout alike.
            tokio::time::timeout(POLL_INTERVAL, host.admission_wakeup.notified()).await.ok();
        }
        let now = host.now();
        // Services without keys for which no target has capacity.
        let mut full: Vec<ServiceName> = Vec::new();
        // Requests that no target may get any more.
        let mut evacuated: Vec<u64> = Vec::new();
        let admitted = host.queue.borrow_mut().take_admitted(|request| {
            if is_evacuated(&host, now, &request.service, request.key) {
                evacuated.push(request.number);
                return None;
            }
            if request.key.is_none() && full.contains(&request.service) {
                return None;
            }
            let wanted = (&request.service, request.key, request.body_bytes);
            let found = select_target(&host, now, wanted, &request.tried);
            let is_small = request.body_bytes <= SMALL_BODY_BYTES;
            if found.is_none() && request.key.is_none() && request.tried.is_empty() && is_small {
                full.push(request.service.clone());
            }
            found.map(|selected| SendPermit::new(&host, selected, request.body_bytes))
        });
        for number in evacuated {
            // Ends the wait of the request, which is then refused.
            host.waiters.borrow_mut().remove(&number);
        }
        for (number, permit) in admitted {
            let sender = host.waiters.borrow_mut().remove(&number);
            if let Some(sender) = sender {
                // If the caller has just disconnected, the permit is dropped and thereby released.
                sender.send(permit).ok();
            }
        }
    }
}
