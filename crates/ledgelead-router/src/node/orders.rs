//! Orders of the coordinator to instances, and their answers.

use super::Node;
use crate::Timestamp;
use crate::answer_filter::AnswerFilter;
use crate::dialect::{Order, OrderAnswer};
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::{
    Action, ConnectionPool, ConnectionReuse, ExchangeFailure, ExchangeId, ExchangeOptions,
};
use crate::ownership::coordinator::OutgoingOrder;
use crate::protections::Protection;
use crate::reachability::Path;
use crate::settings::ORDER_TRANSIT;
use crate::whole_millis;
use ledgelead_http::Response;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for connecting to an instance.
pub(super) const ORDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a new connection is observed before an order is written. An instance that is full
/// resets it at once; an order that was written then counts as delivered, and extends the
/// lease.
pub(super) const ORDER_OBSERVATION: Duration = Duration::from_millis(2);
/// Timeout for a grant, which the instance answers without waiting for anything.
pub(super) const GRANT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for a release, which the instance answers once the work on the keys has ended.
pub(super) const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum idle time of a connection that is reused for orders.
const ORDER_REUSE_IDLE: Duration = Duration::from_secs(7);

/// An order without an answer.
pub(super) struct OrderInFlight {
    pub(super) instance: InstanceId,
    pub(super) order: Order,
    pub(super) answer: AnswerFilter,
    pub(super) sent: Timestamp,
    /// The peer that forwards it.
    pub(super) via: Option<SocketAddr>,
    /// Number of peers that were asked to forward it.
    pub(super) asked: u32,
}

/// Options with which an order takes any answer, on connections that it shares with requests.
fn without_matching(options: ExchangeOptions) -> ExchangeOptions {
    ExchangeOptions {
        answer: AnswerFilter::Any,
        pool: ConnectionPool::Requests,
        reuse_idle_below: ORDER_REUSE_IDLE,
        reuse: ConnectionReuse::Always,
        ..options
    }
}

impl Node {
    /// Answers to orders carry no id, so an order must not share a connection with exchanges
    /// whose second answers could pass for its own: requests of clients, earlier releases, and
    /// for the first grant under a token also earlier grants.
    fn order_options(&self, outgoing: &OutgoingOrder) -> ExchangeOptions {
        let headers = self.dialect.headers();
        let (on_success, reuse, timeout) = match &outgoing.order {
            Order::Grant { .. } => (None, ConnectionReuse::AfterSuccess, GRANT_TIMEOUT),
            Order::Release { .. } => (
                Some(headers.handover.as_str().into()),
                ConnectionReuse::Never,
                RELEASE_TIMEOUT,
            ),
        };
        let options = ExchangeOptions {
            answer: AnswerFilter::WithoutHeader {
                header: headers.attempt_id.as_str().into(),
                on_success,
            },
            pool: ConnectionPool::Orders,
            reuse_idle_below: match outgoing.is_first_grant {
                true => Duration::ZERO,
                false => ORDER_REUSE_IDLE,
            },
            reuse,
            observe_before_write: ORDER_OBSERVATION,
            ..ExchangeOptions::new(ORDER_CONNECT_TIMEOUT, timeout)
        };
        match self.settings.protections.has(Protection::MatchOrderAnswers) {
            true => options,
            false => without_matching(options),
        }
    }

    pub(super) fn send_order(
        &mut self,
        outgoing: OutgoingOrder,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        match self.reachability.path(&outgoing.instance, now) {
            Path::Direct => self.send_order_directly(outgoing, now, out),
            Path::Unreachable => self.order_not_sent(outgoing.exchange, now),
            Path::ByPeer => {
                let OutgoingOrder {
                    exchange,
                    instance,
                    order,
                    ..
                } = outgoing;
                self.forward_order(exchange, instance, order, 0, now, out);
            }
        }
    }

    fn send_order_directly(
        &mut self,
        outgoing: OutgoingOrder,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let options = self.order_options(&outgoing);
        log::debug!(target: "ownership", "{}: {:?}", outgoing.instance, outgoing.order);
        let request = self
            .dialect
            .order_request(&outgoing.instance, &outgoing.order);
        let in_flight = OrderInFlight {
            instance: outgoing.instance,
            order: outgoing.order,
            answer: options.answer.clone(),
            sent: now,
            via: None,
            asked: 0,
        };
        self.coordination
            .orders
            .insert(outgoing.exchange, in_flight);
        out.push(Action::Exchange {
            exchange: outgoing.exchange,
            address: outgoing.address,
            request,
            options: Box::new(options),
        });
    }

    pub(super) fn order_answered(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(in_flight) = self.coordination.orders.remove(&exchange) else {
            return;
        };
        self.coordination.schedule_step();
        let Some((in_flight, result)) = self.order_result(exchange, in_flight, result, now, out)
        else {
            return;
        };
        let is_own = |response: &Response| in_flight.answer.accepts(response);
        let result = result.and_then(|response| match is_own(&response) {
            true => Ok(response),
            false => Err(ExchangeFailure::Malformed),
        });
        if let Ok(response) = &result {
            self.log_release(&in_flight, response, now);
            self.apply_order_notice(&in_flight.instance, response, now, out);
        }
        let OrderInFlight {
            instance,
            order,
            via,
            ..
        } = in_flight;
        let answer = result.map(|response| self.dialect.order_answer(&instance, &response));
        if !matches!(answer, Ok(OrderAnswer::Done { .. })) {
            let (kind, range, fence) = match &order {
                Order::Grant { range, fence, .. } => ("grant", range, fence),
                Order::Release { range, fence } => ("release", range, fence),
            };
            let failed = Event::OrderFailed {
                instance: &instance,
                order: kind,
                first: range.first,
                last: range.last,
                fence: *fence,
                answer: &format!("{answer:?}"),
            };
            failed.emit();
        }
        // The process of a peer may end with the order in its kernel's buffer.
        let transit = match via {
            Some(_) => ORDER_TRANSIT,
            None => Duration::ZERO,
        };
        if let Some(coordinator) = self.coordination.coordinator_mut() {
            coordinator.order_ended_in_transit(exchange, answer, transit, now);
        }
    }

    /// Logs the answer to a release. Grants are answered too often for a line each.
    fn log_release(&self, in_flight: &OrderInFlight, response: &Response, now: Timestamp) {
        let Order::Release { range, fence } = &in_flight.order else {
            return;
        };
        let headers = self.dialect.headers();
        let released = Event::KeysReleased {
            instance: &in_flight.instance,
            first: range.first,
            last: range.last,
            fence: *fence,
            took_ms: whole_millis(now.saturating_sub(in_flight.sent)),
            handover: response.headers.get(&headers.handover).is_some(),
            attempt: response.headers.text(&headers.attempt_id),
        };
        released.emit();
    }
}
