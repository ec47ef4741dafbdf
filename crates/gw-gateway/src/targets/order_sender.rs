use std::net::SocketAddr;
use std::time::Duration;

use gw_pipeline::RequestBody;
use gw_ranges::OrderKind;
use gw_ranges::OrderOutcome;
use gw_ranges::TargetOrder;
use http::Request;
use http::header;
use tokio::time::Instant;

use crate::ports::ProtocolAdapter;
use crate::targets::ExchangeOptions;
use crate::targets::ExchangeOutcome;
use crate::targets::OutgoingBody;
use crate::targets::TargetConnections;

/// Longest wait for the response to a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the response to a release, which a target sends when running requests have
/// ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest response to an order, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024;

/// What a target has said to an order.
#[derive(Debug)]
pub(crate) struct OrderReply {
    pub(crate) outcome: OrderOutcome,
    /// Whether the target has carried out the order and says that it leaves.
    pub(crate) is_leaving: bool,
}

/// Sends an order to a target. The order is dropped if `may_send` returns `false` right before it
/// would be handed to the connection.
pub(crate) async fn send_order(
    adapter: &dyn ProtocolAdapter,
    connections: &TargetConnections,
    address: SocketAddr,
    order: &TargetOrder,
    may_send: impl Fn() -> bool,
) -> OrderReply {
    let call = adapter.write_order(order);
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(OutgoingBody::from(RequestBody::from(call.body)));
    let request = match request {
        Ok(mut request) => {
            request.headers_mut().extend(call.headers);
            request
        }
        Err(error) => {
            log::error!("event=order_not_written target={} cause=\"{error}\"", order.holder.target);
            return OrderReply { outcome: OrderOutcome::NotSent, is_leaving: false };
        }
    };
    let limit = match order.kind {
        OrderKind::Grant { .. } => GRANT_TIMEOUT,
        OrderKind::Release => RELEASE_TIMEOUT,
    };
    let options = ExchangeOptions {
        deadline: Instant::now() + limit,
        max_idle: Duration::MAX,
        max_whole_bytes: MAX_REPLY_BYTES,
    };
    let end = connections.exchange(address, request.clone(), &options, &may_send).await;
    if !is_doubtful(adapter, &end) {
        return read_reply(adapter, order, end);
    }
    // Orders can be repeated; the answer over a new connection is that to this order.
    log::warn!("event=order_answer_doubtful target={} address={address}", order.holder);
    connections.close_idle(address);
    let options = ExchangeOptions { max_idle: Duration::ZERO, ..options };
    let end = connections.exchange(address, request, &options, &may_send).await;
    match read_reply(adapter, order, end) {
        // The first one was sent.
        OrderReply { outcome: OrderOutcome::NotSent, .. } => {
            OrderReply { outcome: OrderOutcome::Unanswered, is_leaving: false }
        }
        reply => reply,
    }
}

/// Whether an answer may be that to an earlier order or request on the same connection, which a
/// faulty target has written once more. Answers to orders have no id.
fn is_doubtful(adapter: &dyn ProtocolAdapter, end: &ExchangeOutcome) -> bool {
    let ExchangeOutcome::Replied(reply) = end else { return false };
    let has_id = adapter.read_response_metadata(&reply.head).request_id.is_some();
    reply.was_pooled && (has_id || !reply.head.status.is_success())
}

fn read_reply(
    adapter: &dyn ProtocolAdapter,
    order: &TargetOrder,
    end: ExchangeOutcome,
) -> OrderReply {
    let unanswered = |outcome| OrderReply { outcome, is_leaving: false };
    match end {
        ExchangeOutcome::Replied(reply) => {
            let outcome =
                adapter.read_order_response(order, reply.head.status, &reply.head.headers);
            let is_done = matches!(outcome, OrderOutcome::Done { .. });
            let is_leaving = is_done && adapter.read_response_metadata(&reply.head).is_leaving;
            OrderReply { outcome, is_leaving }
        }
        ExchangeOutcome::NotSent(_) => unanswered(OrderOutcome::NotSent),
        // Responses to orders are small; anything else is not one.
        ExchangeOutcome::Streaming(_)
        | ExchangeOutcome::Broken { .. }
        | ExchangeOutcome::TimedOut => unanswered(OrderOutcome::Unanswered),
    }
}
