use std::net::SocketAddr;
use std::rc::Rc;

use gw_ranges::OrderKind;
use gw_ranges::TargetOrder;
use gw_types::Timestamp;

use crate::entry::entry_host::EntryHost;
use crate::link::CallResult;
use crate::link::LinkHandle;
use crate::link::LinkMessage;
use crate::targets::send_order;

/// Delivers an order to a target on behalf of the control leader, which cannot reach the target
/// itself.
pub(super) async fn relay_order(
    host: Rc<EntryHost>,
    link: LinkHandle,
    call: u64,
    order: TargetOrder,
    address: SocketAddr,
    send_before: Timestamp,
) {
    let is_grant = matches!(order.kind, OrderKind::Grant { .. });
    let may_send =
        || host.now() < send_before && (!is_grant || host.state().may_grant(&order.holder));
    let reply = send_order(&*host.adapter, &host.connections, address, &order, may_send).await;
    if reply.is_leaving {
        host.pool.borrow_mut().record_leaving(host.now(), &order.holder);
    }
    let outcome = reply.outcome;
    log::info!(
        "event=order_relayed service={} target={} range={} fence={} outcome={outcome:?}",
        order.service,
        order.holder,
        order.range,
        order.fence,
    );
    link.send(&LinkMessage::Answer { call, result: CallResult::Order(outcome) });
}
