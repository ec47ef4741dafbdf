use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_ranges::OrderKind;
use gw_ranges::OrderOutcome;
use gw_ranges::RangeHolder;
use gw_ranges::TargetOrder;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::control::control_host::ControlHost;
use crate::link::CallResult;
use crate::link::LinkHandle;
use crate::link::LinkMessage;
use crate::targets::send_order;

/// Time within which an entry host may start to send an order of the leader.
const RELAY_WINDOW: Duration = Duration::from_millis(700);
/// Longest wait for the outcome of a relayed grant: the window, and the wait for the target.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Longest wait for the outcome of a relayed release, which waits for running work.
const RELAY_RELEASE_TIMEOUT: Duration = Duration::from_millis(3_400);
/// How long a target that could not be reached directly is reached through entry hosts.
const DIRECT_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Age of its clock at which an entry host is not used for orders.
const MAX_CLOCK_AGE: Duration = Duration::from_millis(600);

/// Targets that could not be reached directly, with the time of the failure.
#[derive(Default)]
pub(crate) struct UnreachableTargets(RefCell<BTreeMap<TargetName, Timestamp>>);

impl UnreachableTargets {
    fn contains(&self, now: Timestamp, target: &TargetName) -> bool {
        self.0.borrow().get(target).is_some_and(|at| now.since(*at) < DIRECT_RETRY_DELAY)
    }

    fn record(&self, now: Timestamp, target: &TargetName, is_reached: bool) {
        if is_reached {
            self.0.borrow_mut().remove(target);
        } else {
            self.0.borrow_mut().insert(target.clone(), now);
        }
    }
}

/// Does what the granters ask for, as leader.
pub(crate) fn step_granters(host: &Rc<ControlHost>, unreachable: &Rc<UnreachableTargets>) {
    if !host.is_confirmed_leader() {
        return;
    }
    let now = host.now();
    let (orders, commands) = {
        let log = host.log.borrow();
        host.monitor.borrow_mut().retain_registered(log.state());
        host.granters.borrow_mut().step(now, log.state(), &host.monitor.borrow())
    };
    for order in orders {
        spawn_local(run_order(host.clone(), unreachable.clone(), order));
    }
    commands.into_iter().for_each(|command| host.propose(command));
}

async fn run_order(host: Rc<ControlHost>, unreachable: Rc<UnreachableTargets>, order: TargetOrder) {
    let outcome = match find_address(&host, &order.holder) {
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
    if order.kind == OrderKind::Release {
        // Callers wait for the next step of the move; grants can wait for the next tick.
        step_granters(&host, &unreachable);
    }
}

/// Where a run of a target takes orders. A later run at the same place may have taken a grant that
/// was meant for an earlier one, so a release goes there.
fn find_address(host: &ControlHost, holder: &RangeHolder) -> Option<(SocketAddr, ZoneName)> {
    let log = host.log.borrow();
    let state = log.state();
    let live = state.target(&holder.target);
    let departed = state.departed().iter().map(|departed| &departed.record);
    let mut records = live.into_iter().chain(departed);
    let record = records.find(|record| record.holder() == *holder).or(live)?;
    Some((record.address, record.zone.clone()))
}

async fn deliver(
    host: &Rc<ControlHost>,
    unreachable: &UnreachableTargets,
    order: &TargetOrder,
    address: SocketAddr,
    zone: &ZoneName,
) -> OrderOutcome {
    let target = &order.holder.target;
    let mut relays = relay_candidates(host, zone).into_iter();
    if unreachable.contains(host.now(), target)
        && let Some(relay) = relays.next()
    {
        let outcome = relay_order(host, relay, order, address).await;
        if outcome != OrderOutcome::NotSent {
            return outcome;
        }
    }
    // A host that froze or lost its majority must not grant anything.
    let may_send = || host.is_confirmed_leader();
    let outcome = send_order(&*host.adapter, &host.connections, address, order, may_send).await;
    let is_reached = matches!(outcome, OrderOutcome::Done { .. } | OrderOutcome::Refused);
    unreachable.record(host.now(), target, is_reached);
    if outcome == OrderOutcome::NotSent
        && host.is_confirmed_leader()
        && let Some(relay) = relays.next()
    {
        return relay_order(host, relay, order, address).await;
    }
    outcome
}

/// Entry hosts that may carry an order, those of the target's zone first, with the time on their
/// clocks up to which they may send it.
fn relay_candidates(host: &ControlHost, zone: &ZoneName) -> Vec<(LinkHandle, u64)> {
    let now = host.now();
    let links = host.links.borrow();
    let mut found: Vec<(bool, LinkHandle, u64)> = links
        .iter()
        .filter(|link| link.is_entry())
        .filter_map(|link| {
            let (clock, told) = link.clock.filter(|(_, told)| now.since(*told) < MAX_CLOCK_AGE)?;
            let is_other_zone = link.hello.as_ref().is_none_or(|(_, other, _)| other != zone);
            // Counted from when the clock was read, so that the window ends early, not late.
            debug_assert!(told <= now);
            Some((is_other_zone, link.link.clone(), clock + RELAY_WINDOW.as_nanos() as u64))
        })
        .collect();
    found.sort_by_key(|(is_other_zone, _, send_before)| {
        (*is_other_zone, std::cmp::Reverse(*send_before))
    });
    found.into_iter().map(|(_, link, send_before)| (link, send_before)).collect()
}

async fn relay_order(
    host: &ControlHost,
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
    let answer = tokio::time::timeout(limit, receiver).await;
    host.pending_calls.borrow_mut().remove(&call);
    match answer {
        Ok(Ok(CallResult::Order(outcome))) => outcome,
        _ => OrderOutcome::Unanswered,
    }
}
