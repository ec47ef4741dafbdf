use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_fleet::FormatVersion;
use gw_ranges::OrderKind;
use gw_ranges::OrderOutcome;
use gw_ranges::TargetOrder;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::control::control_host::ControlHost;
use crate::link::CallResult;
use crate::link::LinkHandle;
use crate::link::LinkId;
use crate::link::LinkMessage;
use crate::targets::send_order;

/// Time within which an entry host may start to send an order of the leader.
const RELAY_WINDOW: Duration = Duration::from_millis(700);
/// Longest wait for the outcome of a relayed grant: the relay window plus the wait for the target.
const RELAY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest wait for the outcome of a relayed release. Targets respond to a release when running
/// requests have ended.
const RELAY_RELEASE_TIMEOUT: Duration = Duration::from_millis(3_400);
/// How long orders to a target are relayed first after it could not be reached directly, and through
/// other entry hosts after one could not reach it.
const DIRECT_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Age of an entry host's last reported clock after which no orders are relayed through the host.
const MAX_CLOCK_AGE: Duration = Duration::from_millis(600);

/// Shortest time between two steps of the granters besides the regular ones. A step looks at every
/// range, and a hundred moves a second would take the leader's time from its heartbeats.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(10);

/// Targets that could not be reached, with the time of the last failure.
#[derive(Default)]
pub(crate) struct UnreachableTargets {
    /// Those that could not be reached directly.
    direct: RefCell<BTreeMap<TargetName, Timestamp>>,
    /// Those to which an entry host could not send an order, with the connection to that host. An
    /// entry host that only fails to reach one target does not take its own path for lost.
    relayed: RefCell<BTreeMap<(TargetName, LinkId), Timestamp>>,
}

impl UnreachableTargets {
    /// Whether `target` could not be reached directly a short time ago.
    fn contains(&self, now: Timestamp, target: &TargetName) -> bool {
        self.direct.borrow().get(target).is_some_and(|at| now.since(*at) < DIRECT_RETRY_DELAY)
    }

    /// Records the result of an attempt to reach `target` directly.
    fn record(&self, now: Timestamp, target: &TargetName, is_reached: bool) {
        if is_reached {
            self.direct.borrow_mut().remove(target);
        } else {
            self.direct.borrow_mut().insert(target.clone(), now);
        }
    }

    /// Whether the entry host at the other end of `link` could not send an order to `target` a short
    /// time ago.
    fn has_failed(&self, now: Timestamp, target: &TargetName, link: LinkId) -> bool {
        let relayed = self.relayed.borrow();
        let failed_at = relayed.get(&(target.clone(), link));
        failed_at.is_some_and(|at| now.since(*at) < DIRECT_RETRY_DELAY)
    }

    /// Records the outcome of an order to `target` through an entry host.
    fn record_relayed(
        &self,
        now: Timestamp,
        target: &TargetName,
        link: LinkId,
        outcome: &OrderOutcome,
    ) {
        let mut relayed = self.relayed.borrow_mut();
        relayed.retain(|_, failed_at| now.since(*failed_at) < DIRECT_RETRY_DELAY);
        if *outcome == OrderOutcome::NotSent {
            relayed.insert((target.clone(), link), now);
        }
    }
}

/// Carries out the orders and proposals that the range granters ask for. Does nothing unless this
/// host is the confirmed leader.
pub(crate) fn step_granters(host: &Rc<ControlHost>, unreachable: &Rc<UnreachableTargets>) {
    let now = host.now();
    if !host.is_confirmed_leader() || !host.granter_pacer.get().is_due(now) {
        return;
    }
    host.granters_stepped_at.set(now);
    let (orders, commands) = {
        let log = host.log.borrow();
        host.monitor.borrow_mut().retain_registered(now, log.state());
        host.granters.borrow_mut().step(now, log.state(), &host.monitor.borrow())
    };
    for order in orders {
        spawn_local(run_order(host.clone(), unreachable.clone(), order));
    }
    commands.into_iter().for_each(|command| host.propose(command));
    let mut pacer = host.granter_pacer.get();
    pacer.record(now, host.now());
    host.granter_pacer.set(pacer);
}

async fn run_order(host: Rc<ControlHost>, unreachable: Rc<UnreachableTargets>, order: TargetOrder) {
    let outcome = match find_address(&host, &order) {
        Some((address, zone)) => deliver(&host, &unreachable, &order, address, &zone).await,
        None => OrderOutcome::NotSent,
    };
    let end = match &outcome {
        OrderOutcome::Done { .. } => "done",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::NotSent => "not_sent",
    };
    host.metrics.count_order(order.service.as_str(), end);
    host.metrics.connections_opened.set(host.connections.opened() as i64);
    let is_routine = matches!(order.kind, OrderKind::Grant { .. }) && end == "done";
    let level = if is_routine { log::Level::Debug } else { log::Level::Info };
    log::log!(
        level,
        "event=order service={} target={} range={} fence={} kind={:?} outcome={end}",
        order.service,
        order.holder,
        order.range,
        order.fence,
        order.kind,
    );
    host.granters.borrow_mut().order_done(host.now(), &order, &outcome);
    let is_due = host.now().since(host.granters_stepped_at.get()) >= MIN_STEP_INTERVAL;
    if order.kind == OrderKind::Release && is_due {
        // Callers wait for the next step of the move, so it is taken at once. After a grant, the
        // next tick is soon enough.
        step_granters(&host, &unreachable);
    }
}

/// Returns the address to which an order is sent and the zone of the target; `None` if the order must
/// not be sent, or no longer.
fn find_address(host: &ControlHost, order: &TargetOrder) -> Option<(SocketAddr, ZoneName)> {
    let log = host.log.borrow();
    let record = log.state().order_address(&order.holder, &order.kind)?;
    Some((record.address, record.zone.clone()))
}

/// Sends an order to its target, directly or through an entry host.
///
/// An order is sent a second time only if nothing of it was sent the first time.
async fn deliver(
    host: &Rc<ControlHost>,
    unreachable: &UnreachableTargets,
    order: &TargetOrder,
    address: SocketAddr,
    zone: &ZoneName,
) -> OrderOutcome {
    let target = &order.holder.target;
    let mut relays = relay_candidates(host, unreachable, zone, order).into_iter();
    if unreachable.contains(host.now(), target)
        && let Some(relay) = relays.next()
    {
        let outcome = relay_order(host, unreachable, relay, order, address).await;
        if outcome != OrderOutcome::NotSent {
            return outcome;
        }
    }
    // Checked right before sending: a host that was suspended or lost its majority must not grant
    // ranges, and a later run may have announced itself since.
    let may_send = || host.is_confirmed_leader() && find_address(host, order).is_some();
    let reply = send_order(&*host.adapter, &host.connections, address, order, may_send).await;
    if reply.is_leaving {
        host.record_leaving([&order.holder], "order");
    }
    let outcome = reply.outcome;
    let is_reached = matches!(outcome, OrderOutcome::Done { .. } | OrderOutcome::Refused);
    unreachable.record(host.now(), target, is_reached);
    if is_reached && matches!(order.kind, OrderKind::Grant { .. }) {
        host.connections.open_ahead(address);
    }
    if outcome == OrderOutcome::NotSent
        && may_send()
        && let Some(relay) = relays.next()
    {
        return relay_order(host, unreachable, relay, order, address).await;
    }
    outcome
}

/// Returns the entry hosts that may relay an order, each with the latest time on its clock at which
/// it may send the order. First are those that have not just failed to reach the target, of these
/// those that can reach targets, and of these those of the target's zone.
fn relay_candidates(
    host: &ControlHost,
    unreachable: &UnreachableTargets,
    zone: &ZoneName,
    order: &TargetOrder,
) -> Vec<(LinkHandle, u64)> {
    let now = host.now();
    let links = host.links.borrow();
    let mut found: Vec<((bool, bool, bool), LinkHandle, u64)> = links
        .iter()
        .filter(|link| link.is_entry())
        // Hosts of earlier builds may take the second copy of another answer for the confirmation of
        // a release.
        .filter(|link| {
            order.kind != OrderKind::Release || link.link.supports(FormatVersion::EVACUATIONS)
        })
        .filter_map(|link| {
            let (clock, reported_at) =
                link.clock.filter(|(_, reported_at)| now.since(*reported_at) < MAX_CLOCK_AGE)?;
            let is_other_zone = link.hello.as_ref().is_none_or(|(_, other, _)| other != zone);
            // The window starts when the entry host read its clock, not when the report arrived, so
            // network delay shortens it and never extends it.
            debug_assert!(reported_at <= now);
            let has_failed = unreachable.has_failed(now, &order.holder.target, link.link.id);
            let rank = (has_failed, !link.takes_relays, is_other_zone);
            Some((rank, link.link.clone(), clock + RELAY_WINDOW.as_nanos() as u64))
        })
        .collect();
    found.sort_by_key(|(rank, _, send_before)| (*rank, std::cmp::Reverse(*send_before)));
    found.into_iter().map(|(_, link, send_before)| (link, send_before)).collect()
}

/// Sends an order through an entry host and waits for its outcome.
async fn relay_order(
    host: &ControlHost,
    unreachable: &UnreachableTargets,
    (link, send_before): (LinkHandle, u64),
    order: &TargetOrder,
    address: SocketAddr,
) -> OrderOutcome {
    let call = host.next_call();
    let (sender, receiver) = oneshot::channel();
    host.pending_calls.borrow_mut().insert(call, sender);
    let message = LinkMessage::RunOrder { call, order: order.clone(), address, send_before };
    if !link.send(&message) {
        host.pending_calls.borrow_mut().remove(&call);
        return OrderOutcome::NotSent;
    }
    let limit = match order.kind {
        OrderKind::Grant { .. } => RELAY_TIMEOUT,
        OrderKind::Release => RELAY_RELEASE_TIMEOUT,
    };
    let result = tokio::time::timeout(limit, receiver).await;
    host.pending_calls.borrow_mut().remove(&call);
    let outcome = match result {
        Ok(Ok(CallResult::Order(outcome))) => outcome,
        _ => OrderOutcome::Unanswered,
    };
    unreachable.record_relayed(host.now(), &order.holder.target, link.id, &outcome);
    outcome
}
