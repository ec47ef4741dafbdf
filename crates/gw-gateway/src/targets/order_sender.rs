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
use crate::targets::ConnectionUse;
use crate::targets::ExchangeOptions;
use crate::targets::ExchangeOutcome;
use crate::targets::OutgoingBody;
use crate::targets::TargetConnections;

/// Longest wait for the response to a grant. A busy target accepts a new connection only when a slot is
/// free, after the time of a request; a grant that is given up too early is uncertain, and its keys need
/// a new token.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_200);
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

/// Sends an order to a target over a connection of its own. The order is dropped if `may_send` returns
/// `false` right before it would be handed to the connection.
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
        // Responses to orders have no id. A faulty target may write an earlier response once more,
        // at any time and with any content, so only the first response on a connection is certain
        // to be that to the order.
        connection: ConnectionUse::Exclusive,
        max_whole_bytes: MAX_REPLY_BYTES,
    };
    let end = connections.exchange(address, request, &options, &may_send).await;
    read_reply(adapter, order, end)
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
        | ExchangeOutcome::Malformed { .. }
        | ExchangeOutcome::Broken { .. }
        | ExchangeOutcome::TimedOut => unanswered(OrderOutcome::Unanswered),
    }
}
