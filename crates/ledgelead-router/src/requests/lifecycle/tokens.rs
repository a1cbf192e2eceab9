//! Requests to instances with a rate limit. Each attempt, retries included, needs a token from
//! a limiter before it is sent.

use super::decide::Step;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::dispatch::Candidates;
use crate::identity::{InstanceId, ZoneName};
use crate::io::{Action, ClientId};
use crate::protections::Protection;
use crate::rate_limit::{LimitStatement, TokenStatus};
use crate::requests::open_request::OpenRequest;
use crate::requests::tokens::{Token, TokenDecision, TokenRequest, TokenState};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a decision after which the limiter is asked again, or the next one. A machine
/// may stall for most of it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of times a limiter is asked before it counts as unresponsive.
const MAX_REQUESTS_PER_LIMITER: usize = 2;
/// How long an unresponsive limiter isn't asked: about the time that nodes need to learn of
/// the loss of another node.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(1);
/// Time after which an instance is tried again if none of its limiters responds.
const NO_LIMITER_PAUSE: Duration = Duration::from_millis(300);

impl Requests {
    /// Returns the token requests since the last call.
    pub fn take_token_requests(&mut self) -> Vec<(SocketAddr, TokenRequest)> {
        std::mem::take(&mut self.tokens.outbox)
    }

    /// The step that obtains a token for a request about to be sent to this instance, if it
    /// needs one and has none.
    pub(super) fn token_step(&self, client: ClientId, instance: &InstanceId) -> Option<Step> {
        if self.statistics.limits.is_empty() || !self.protections.has(Protection::HonorRateLimit) {
            return None;
        }
        self.statistics.limits.limit(instance.stable_hash())?;
        let open = self.open.get(&client)?;
        let is_held =
            |token: &Token| token.instance == *instance && token.state == TokenState::Held;
        let has_token = open.token.as_ref().is_some_and(is_held);
        (!has_token).then(|| Step::RequestToken(instance.clone()))
    }

    /// The wait for a requested token, if a limiter may still decide.
    pub(super) fn awaited_token(open: &OpenRequest, now: Timestamp) -> Option<Step> {
        match open.token.as_ref()?.state {
            TokenState::Requested { check_at, .. } if check_at > now => {
                Some(Step::AwaitToken(check_at))
            }
            _ => None,
        }
    }

    /// Sends a request without a key to the instance that its token is for, if that instance
    /// still serves.
    pub(super) fn held_token_step(
        &self,
        open: &OpenRequest,
        context: &RequestContext<'_>,
    ) -> Option<Step> {
        let token = open.token.as_ref()?;
        if token.state != TokenState::Held {
            return None;
        }
        let instance = context.directory.get(&token.instance)?;
        let id = &instance.record.id;
        let is_usable = instance.serves()
            && !open.tried.contains(id)
            && self.statistics.backoff_left(id, context.now).is_none();
        if !is_usable {
            return None;
        }
        let left = open.time_left(context.now);
        let selected = self.selection(context).estimate_instance(instance, left);
        Some(Step::Send(selected, instance.record.address))
    }

    /// Requests a token from a limiter of the instance. If no limiter responds, the instance
    /// counts as without tokens for a short time.
    pub(super) fn request_token(
        &mut self,
        client: ClientId,
        instance: &InstanceId,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let hash = instance.stable_hash();
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let earlier = open.token.take();
        let same = earlier.filter(|token| token.instance == *instance);
        let earlier_request = match same.map(|token| token.state) {
            Some(TokenState::Requested {
                limiter,
                requests_sent,
                ..
            }) => Some((limiter, requests_sent)),
            _ => None,
        };
        let known = context.directory.get(instance);
        let zone = known.map(|instance| instance.record.zone.clone());
        let in_zone =
            |zone: &ZoneName| self.limiter_to_ask(instance, zone, earlier_request, context);
        let limiter = zone.as_ref().and_then(in_zone);
        let statement = self.statistics.limits.statement(hash);
        let (Some((limiter, requests_sent)), Some(zone), Some(statement)) =
            (limiter, zone, statement)
        else {
            self.statistics
                .limits
                .mark_refused(hash, NO_LIMITER_PAUSE, now);
            self.advance(client, context, out);
            return;
        };
        let number = self.tokens.assign_number(client);
        let check_at = now + REPLY_TIMEOUT;
        let token_request = TokenRequest {
            number,
            instance: hash,
            zone,
            statement,
        };
        self.tokens.outbox.push((limiter, token_request));
        if let Some(open) = self.open.get_mut(&client) {
            open.token = Some(Token {
                instance: instance.clone(),
                number,
                state: TokenState::Requested {
                    limiter,
                    requests_sent,
                    check_at,
                },
            });
        }
        self.await_token(client, check_at);
    }

    /// The limiter to ask next, and the number of requests sent to it including the next one.
    fn limiter_to_ask(
        &mut self,
        instance: &InstanceId,
        zone: &ZoneName,
        earlier_request: Option<(SocketAddr, usize)>,
        context: &RequestContext<'_>,
    ) -> Option<(SocketAddr, usize)> {
        let own = context.registry.get(context.node).map(|node| node.address);
        if !self.protections.has(Protection::SharedRateLimit) {
            return own.map(|own| (own, 1));
        }
        let candidates = Candidates::of_limit(instance.stable_hash(), zone, context.registry)?;
        if let Some((limiter, requests_sent)) = earlier_request {
            if requests_sent < MAX_REQUESTS_PER_LIMITER {
                return Some((limiter, requests_sent + 1));
            }
            self.tokens
                .unresponsive
                .insert(limiter, context.now + UNRESPONSIVE_TTL);
        }
        let is_responsive = |candidate: &SocketAddr| {
            let unresponsive = self.tokens.unresponsive.get(candidate);
            unresponsive.is_none_or(|until| *until <= context.now)
        };
        let in_order = [Some(candidates.first), candidates.second];
        let limiter = in_order.into_iter().flatten().find(is_responsive)?;
        Some((limiter, 1))
    }

    pub(super) fn await_token(&mut self, client: ClientId, until: Timestamp) {
        if let Some(open) = self.open.get(&client) {
            let wake = until.min(open.due);
            self.wake_at(client, wake);
        }
    }

    /// Handles the decision of a limiter.
    pub fn token_decided(
        &mut self,
        from: SocketAddr,
        decision: &TokenDecision,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        self.tokens.unresponsive.remove(&from);
        let now = context.now;
        match decision.status {
            TokenStatus::Granted => {}
            TokenStatus::Refused(wait) => {
                self.statistics
                    .limits
                    .mark_refused(decision.instance, wait, now);
            }
            TokenStatus::Unlimited => {
                let ended = LimitStatement {
                    limit: None,
                    at: now,
                };
                self.statistics
                    .limits
                    .record_from_peer(decision.instance, ended);
            }
        }
        let Some(client) = self.tokens.take_client(decision.number) else {
            return;
        };
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let Some(token) = open
            .token
            .as_mut()
            .filter(|token| token.number == decision.number)
        else {
            return;
        };
        match decision.status {
            TokenStatus::Granted => token.state = TokenState::Held,
            TokenStatus::Refused(_) | TokenStatus::Unlimited => open.token = None,
        }
        self.advance(client, context, out);
    }
}
