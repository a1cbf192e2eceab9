//! Attempts that this node makes at instances on behalf of peers that don't reach them.

use super::Node;
use super::orders::{ORDER_CONNECT_TIMEOUT, ORDER_OBSERVATION};
use crate::Timestamp;
use crate::answer_filter::AnswerFilter;
use crate::dialect::HeaderNames;
use crate::events::Event;
use crate::identity::InstanceId;
use crate::io::{
    Action, ClientId, ConnectionPool, ConnectionReuse, ExchangeFailure, ExchangeId, ExchangeOptions,
};
use crate::peers::{ForwardAnswer, ForwardDecline, ForwardPurpose, ForwardRequest};
use crate::protections::Protection;
use crate::reachability::Path;
use crate::requests::{Observed, RequestProfile, promises_not_run, request_options};
use crate::whole_millis;
use ledgelead_http::{Request, Response};
use ledgelead_types::codec;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of attempts in flight on behalf of peers. Beyond it, peers ask another node.
const MAX_OPEN: usize = 256;
/// Maximum age of an order that is sent on: the sender counts the hold from a later time.
const MAX_ORDER_AGE: Duration = Duration::from_millis(250);
/// Maximum time for a forwarded order.
const MAX_ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// An attempt in flight.
struct ForwardedAttempt {
    client: ClientId,
    instance: InstanceId,
    sent: Timestamp,
    /// The client's id of its request; none for an order.
    request: Option<Box<str>>,
}

impl ForwardedAttempt {
    fn log_end(
        &self,
        result: &Result<Response, ExchangeFailure>,
        headers: &HeaderNames,
        now: Timestamp,
    ) {
        let Some(request) = &self.request else {
            return;
        };
        let observed = Observed::of_exchange(result, Duration::ZERO, headers);
        if observed.failure.is_none() && !observed.status.is_some_and(promises_not_run) {
            return;
        }
        let ended = Event::ForwardedAttemptEnded {
            request,
            instance: &self.instance,
            took_ms: whole_millis(now.saturating_sub(self.sent)),
            failure: observed.failure,
            status: observed.status,
            answered_by: observed.answered_by.as_deref(),
        };
        ended.emit();
    }
}

/// Attempts on behalf of peers.
#[derive(Default)]
pub(super) struct ForwardServer {
    open: HashMap<ExchangeId, ForwardedAttempt>,
    by_client: HashMap<ClientId, ExchangeId>,
    /// Requests of peers, by how they were handled.
    counters: BTreeMap<&'static str, u64>,
}

impl ForwardServer {
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.open.contains_key(&exchange)
    }

    pub(super) fn instance_of(&self, exchange: ExchangeId) -> Option<&InstanceId> {
        Some(&self.open.get(&exchange)?.instance)
    }

    pub(super) fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }

    /// Cancels the attempt of a peer that has disconnected.
    pub(super) fn client_disconnected(&mut self, client: ClientId, out: &mut Vec<Action>) {
        if let Some(exchange) = self.by_client.remove(&client) {
            self.open.remove(&exchange);
            out.push(Action::Cancel { exchange });
        }
    }

    fn count(&mut self, handled: &'static str) {
        *self.counters.entry(handled).or_default() += 1;
    }
}

impl Node {
    /// Handles a peer's request to forward.
    pub(super) fn forward_requested(
        &mut self,
        client: ClientId,
        request: &Request,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Ok(forward) = codec::decode::<ForwardRequest>(&request.body) else {
            let response = Response::new(400, Vec::new());
            out.push(Action::Respond { client, response });
            return;
        };
        match self.forward_target(&forward, now) {
            Ok((instance, address)) => {
                self.forward(client, forward, instance, address, now, out);
            }
            Err(decline) => {
                self.forward_server.count("declined");
                respond(client, &ForwardAnswer::Declined(decline), out);
            }
        }
    }

    /// The instance of a request to forward, and its address by this node's own directory.
    fn forward_target(
        &self,
        forward: &ForwardRequest,
        now: Timestamp,
    ) -> Result<(InstanceId, SocketAddr), ForwardDecline> {
        if self.stopping || self.forward_server.open.len() >= MAX_OPEN {
            return Err(ForwardDecline::Busy);
        }
        if let ForwardPurpose::Order { epoch, sent_ms, .. } = forward.purpose
            && !self.is_recent_order(epoch, sent_ms, now)
        {
            return Err(ForwardDecline::Outdated);
        }
        if self.reachability.is_isolated() {
            return Err(ForwardDecline::Isolated);
        }
        let id = InstanceId::parse(&forward.instance);
        let instance = self.directory.get(&id).ok_or(ForwardDecline::NoPath)?;
        // The peer that asks may not know yet that the instance leaves, or its request was held up
        // on its way. Orders still reach it, since its keys have to be released.
        let is_request = matches!(forward.purpose, ForwardPurpose::Request { .. });
        let has_drained = is_request && self.requests.has_drained(instance, now);
        let is_usable = !instance.ended && !instance.is_gone() && !has_drained;
        match is_usable && self.reachability.path(&id, now) == Path::Direct {
            true => Ok((id, instance.record.address)),
            false => Err(ForwardDecline::NoPath),
        }
    }

    /// Whether an order is one of the current coordinator and was sent just now. One that was
    /// held up on its way, or by a suspension of this node, could reach the instance after its
    /// keys were granted to another one.
    fn is_recent_order(&self, epoch: u64, sent_ms: u64, now: Timestamp) -> bool {
        if !self.settings.protections.has(Protection::RecentOrders) {
            return true;
        }
        let age = self.messaging.delay.age(epoch, sent_ms, now);
        epoch >= self.newest_epoch() && age.is_some_and(|age| age <= MAX_ORDER_AGE)
    }

    fn forward(
        &mut self,
        client: ClientId,
        forward: ForwardRequest,
        instance: InstanceId,
        address: SocketAddr,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let timeout = Duration::from_millis(u64::from(forward.timeout_ms));
        let purpose = forward.purpose.clone();
        let request = forward.into_request();
        let name = request.headers.text(&self.dialect.headers().attempt_id);
        let name = name.map(Into::into);
        let options = match purpose {
            ForwardPurpose::Request {
                idempotent,
                fresh_connection,
            } => {
                let profile = RequestProfile {
                    is_idempotent: idempotent,
                    fresh_connection,
                    left: timeout,
                    max_idle: self
                        .reachability
                        .reuse_limit(&instance, now)
                        .into_iter()
                        .chain(self.requests.zone_idle_limit(now))
                        .min(),
                };
                request_options(&request, &profile, self.dialect.headers())
            }
            ForwardPurpose::Order { is_release, .. } => {
                self.forwarded_order_options(is_release, timeout)
            }
        };
        let exchange = self.exchanges.next_id();
        let attempt = ForwardedAttempt {
            client,
            instance,
            sent: now,
            request: name,
        };
        self.forward_server.count("attempted");
        self.forward_server.open.insert(exchange, attempt);
        self.forward_server.by_client.insert(client, exchange);
        out.push(Action::Exchange {
            exchange,
            address,
            request,
            options: Box::new(options),
        });
    }

    /// A forwarded order gets a connection of its own, on which no other answer can arrive.
    fn forwarded_order_options(&self, is_release: bool, timeout: Duration) -> ExchangeOptions {
        let headers = self.dialect.headers();
        let on_success = is_release.then(|| headers.handover.as_str().into());
        let timeout = match is_release {
            true => timeout,
            false => timeout.min(MAX_ORDER_TIMEOUT),
        };
        ExchangeOptions {
            answer: AnswerFilter::WithoutHeader {
                header: headers.attempt_id.as_str().into(),
                on_success,
            },
            pool: ConnectionPool::Orders,
            reuse: ConnectionReuse::Never,
            observe_before_write: ORDER_OBSERVATION,
            ..ExchangeOptions::new(ORDER_CONNECT_TIMEOUT, timeout)
        }
    }

    /// Returns the result of an attempt to the peer that asked for it.
    pub(super) fn forwarded_attempt_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.forward_server.open.remove(&exchange) else {
            return;
        };
        self.forward_server.by_client.remove(&attempt.client);
        self.record_link(&attempt.instance, attempt.sent, result.as_ref().err(), now);
        attempt.log_end(&result, self.dialect.headers(), now);
        respond(attempt.client, &ForwardAnswer::new(result), out);
    }
}

fn respond(client: ClientId, answer: &ForwardAnswer, out: &mut Vec<Action>) {
    let response = Response::new(200, codec::encode(answer));
    out.push(Action::Respond { client, response });
}
