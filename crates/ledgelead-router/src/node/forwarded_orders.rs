//! Orders to instances that the coordinator doesn't reach: they go by way of a peer.

use super::Node;
use super::orders::{GRANT_TIMEOUT, OrderInFlight, RELEASE_TIMEOUT};
use crate::Timestamp;
use crate::answer_filter::AnswerFilter;
use crate::dialect::Order;
use crate::forwarding::{
    FORWARD_PATH, ForwardOutcome, PEER_CONNECT_TIMEOUT, PEER_REUSE_IDLE, PeerChoice,
    forward_outcome,
};
use crate::identity::InstanceId;
use crate::io::{Action, ExchangeFailure, ExchangeId, ExchangeOptions};
use crate::ownership::coordinator::Coordinator;
use crate::peers::{ForwardPurpose, ForwardRequest};
use crate::protections::Protection;
use crate::whole_millis;
use ledgelead_http::{Request, Response};
use ledgelead_types::codec;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of peers that are asked to forward an order.
const MAX_PEERS_ASKED: u32 = 6;
/// Time that a forwarded order may take in addition to a direct one. A peer that accepts it
/// after that takes it for outdated.
const HOP_TIME: Duration = Duration::from_millis(400);
/// How long before the end of its authority a coordinator stops having orders forwarded: until
/// then a peer may send them.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);

impl Node {
    /// Has a peer send an order, or takes it for not sent if there is none to ask.
    pub(super) fn forward_order(
        &mut self,
        exchange: ExchangeId,
        instance: InstanceId,
        order: Order,
        asked: u32,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        self.reachability.record_demand(&instance, now);
        let epoch = self.coordinator().map(Coordinator::epoch);
        let peer = self.order_peer(&instance, asked, now);
        let (Some(epoch), Some(peer)) = (epoch, peer) else {
            self.order_not_sent(exchange, now);
            return;
        };
        let (is_release, direct_timeout) = match &order {
            Order::Grant { .. } => (false, GRANT_TIMEOUT),
            Order::Release { .. } => (true, RELEASE_TIMEOUT),
        };
        let purpose = ForwardPurpose::Order {
            epoch,
            sent_ms: whole_millis(now),
            is_release,
        };
        let timeout_ms = u32::try_from(direct_timeout.as_millis()).unwrap_or(u32::MAX);
        let request = self.dialect.order_request(&instance, &order);
        let forward = ForwardRequest::new(instance.as_str(), purpose, timeout_ms, request);
        let in_flight = OrderInFlight {
            instance,
            order,
            answer: AnswerFilter::Any,
            sent: now,
            via: Some(peer),
            asked: asked + 1,
        };
        self.coordination.orders.insert(exchange, in_flight);
        self.forward_peers.sent(peer);
        out.push(Action::Exchange {
            exchange,
            address: peer,
            request: Request::new("POST", FORWARD_PATH, codec::encode(&forward)),
            options: Box::new(ExchangeOptions {
                reuse_idle_below: PEER_REUSE_IDLE,
                ..ExchangeOptions::new(PEER_CONNECT_TIMEOUT, direct_timeout + HOP_TIME)
            }),
        });
    }

    /// The peer to ask for an order, if any may still be asked.
    fn order_peer(
        &mut self,
        instance: &InstanceId,
        asked: u32,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let protections = self.settings.protections;
        let is_allowed = protections.has(Protection::ForwardedOrders)
            && protections.has(Protection::Forwarding)
            && asked < MAX_PEERS_ASKED
            && self.coordination.has_authority(now + FORWARD_MARGIN);
        if !is_allowed {
            return None;
        }
        let reachability = &self.reachability;
        let choice = PeerChoice {
            registry: &self.registry,
            node: &self.settings.identity.node,
            heartbeat_senders: [None; 2],
            is_excluded: |peer| reachability.excludes(instance, peer, now),
            has_path: |peer| reachability.is_reached_by(instance, peer, now),
        };
        self.forward_peers.choose(&choice, now)
    }

    /// An order was not sent, for lack of a path to its instance.
    pub(super) fn order_not_sent(&mut self, exchange: ExchangeId, now: Timestamp) {
        let is_cut_off = self.is_cut_off(now);
        let Some(coordinator) = self.coordination.coordinator_mut() else {
            return;
        };
        match is_cut_off {
            // Says nothing about the instance.
            true => coordinator.order_postponed(exchange, now),
            false => coordinator.order_ended(exchange, Err(ExchangeFailure::NotConnected), now),
        }
    }

    /// Evaluates the end of an order's exchange. Returns the order and its result, unless it
    /// was sent anew by way of a peer.
    pub(super) fn order_result(
        &mut self,
        exchange: ExchangeId,
        in_flight: OrderInFlight,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> Option<(OrderInFlight, Result<Response, ExchangeFailure>)> {
        let OrderInFlight { instance, sent, .. } = &in_flight;
        let (may_ask_again, result) = match in_flight.via {
            None => {
                self.record_link(instance, *sent, result.as_ref().err(), now);
                if result.as_ref().err() == Some(&ExchangeFailure::TimedOut) {
                    self.probe_if_suspected(instance, now, out);
                }
                let failure = result.as_ref().err();
                let has_failed = failure.is_some_and(|failure| failure.shows_failed_link());
                (has_failed, result)
            }
            Some(peer) => {
                let outcome = forward_outcome(result);
                self.forward_peers.ended(peer, &outcome, now);
                if outcome.lacks_path() {
                    self.reachability.record_peer_failure(instance, peer, now);
                } else if outcome.has_path() {
                    self.reachability.record_peer_contact(instance, peer, now);
                }
                let was_sent =
                    outcome.was_attempted() || matches!(outcome, ForwardOutcome::Unknown(_));
                let may_ask_again = !was_sent || outcome.lacks_path();
                (may_ask_again, outcome.into_result())
            }
        };
        let asked = in_flight.asked;
        if !may_ask_again || self.order_peer(instance, asked, now).is_none() {
            let is_own_failure = may_ask_again && self.is_cut_off(now);
            if is_own_failure {
                self.order_not_sent(exchange, now);
                return None;
            }
            return Some((in_flight, result));
        }
        let again = self.exchanges.next_id();
        if let Some(coordinator) = self.coordination.coordinator_mut() {
            coordinator.order_resent(exchange, again);
        }
        let OrderInFlight {
            instance, order, ..
        } = in_flight;
        self.forward_order(again, instance, order, asked, now, out);
        None
    }
}
