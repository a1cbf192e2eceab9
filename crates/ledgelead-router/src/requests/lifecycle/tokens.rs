//! Requests to instances that name rate limits: each asks a limiter for a token before it is
//! sent, repeats included.

use super::decide::Step;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::dispatch::Candidates;
use crate::identity::{InstanceId, ZoneName};
use crate::io::{Action, ClientId};
use crate::protections::Protection;
use crate::rate_limit::{LimitStatement, TokenVerdict};
use crate::requests::open_request::OpenRequest;
use crate::requests::tokens::{Token, TokenDecision, TokenRequest, TokenState};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a decision after which a limiter is asked again, or the next one: a machine
/// may stand still for most of it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// How many times a limiter is asked before it counts as silent.
const ASKS_OF_ONE: usize = 2;
/// How long a silent limiter isn't asked: about the time in which nodes learn of the loss of
/// another.
const SILENT_TTL: Duration = Duration::from_secs(1);
/// Time after which an instance is tried again none of whose limiters is heard.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(300);

impl Requests {
    /// Asks for tokens since the last call.
    pub fn take_token_requests(&mut self) -> Vec<(SocketAddr, TokenRequest)> {
        std::mem::take(&mut self.tokens.outbox)
    }

    /// What is done first with a request that is about to be sent to this instance, if it
    /// needs a token and has none.
    pub(super) fn token_step(&self, client: ClientId, instance: &InstanceId) -> Option<Step> {
        if self.statistics.limits.is_empty() || !self.protections.has(Protection::HonorRateLimit) {
            return None;
        }
        self.statistics.limits.limit(instance.stable_hash())?;
        let open = self.open.get(&client)?;
        let is_held =
            |token: &Token| token.instance == *instance && token.state == TokenState::Held;
        let has_token = open.token.as_ref().is_some_and(is_held);
        (!has_token).then(|| Step::AskToken(instance.clone()))
    }

    /// The wait for a token that was asked for, if a limiter may still decide.
    pub(super) fn awaited_token(open: &OpenRequest, now: Timestamp) -> Option<Step> {
        match open.token.as_ref()?.state {
            TokenState::Asked { check_at, .. } if check_at > now => {
                Some(Step::AwaitToken(check_at))
            }
            _ => None,
        }
    }

    /// Sends a request without a key to the instance that it has a token of, if that still
    /// serves.
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
        let selected = self.selection(context).expect_one(instance, left);
        Some(Step::Send(selected, instance.record.address))
    }

    /// Asks a limiter of the instance. Where none is heard, the instance counts as without
    /// tokens for a moment.
    pub(super) fn ask_token(
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
        let asked = match same.map(|token| token.state) {
            Some(TokenState::Asked { of, asks, .. }) => Some((of, asks)),
            _ => None,
        };
        let known = context.directory.get(instance);
        let zone = known.map(|instance| instance.record.zone.clone());
        let in_zone = |zone: &ZoneName| self.limiter_to_ask(instance, zone, asked, context);
        let limiter = zone.as_ref().and_then(in_zone);
        let statement = self.statistics.limits.statement(hash);
        let (Some((limiter, asks)), Some(zone), Some(statement)) = (limiter, zone, statement)
        else {
            self.statistics
                .limits
                .mark_refused(hash, UNREACHABLE_WAIT, now);
            self.advance(client, context, out);
            return;
        };
        let number = self.tokens.number(client);
        let check_at = now + REPLY_TIMEOUT;
        let ask = TokenRequest {
            number,
            instance: hash,
            zone,
            statement,
        };
        self.tokens.outbox.push((limiter, ask));
        if let Some(open) = self.open.get_mut(&client) {
            open.token = Some(Token {
                instance: instance.clone(),
                number,
                state: TokenState::Asked {
                    of: limiter,
                    asks,
                    check_at,
                },
            });
        }
        self.await_token(client, check_at);
    }

    /// Which limiter is asked next, and how many times it has been then.
    fn limiter_to_ask(
        &mut self,
        instance: &InstanceId,
        zone: &ZoneName,
        asked: Option<(SocketAddr, usize)>,
        context: &RequestContext<'_>,
    ) -> Option<(SocketAddr, usize)> {
        let own = context.registry.get(context.node).map(|node| node.address);
        if !self.protections.has(Protection::SharedRateLimit) {
            return own.map(|own| (own, 1));
        }
        let candidates = Candidates::of_limit(instance.stable_hash(), zone, context.registry)?;
        if let Some((of, asks)) = asked {
            if asks < ASKS_OF_ONE {
                return Some((of, asks + 1));
            }
            self.tokens.silent.insert(of, context.now + SILENT_TTL);
        }
        let is_heard = |candidate: &SocketAddr| {
            let silent = self.tokens.silent.get(candidate);
            silent.is_none_or(|until| *until <= context.now)
        };
        let in_order = [Some(candidates.first), candidates.second];
        let limiter = in_order.into_iter().flatten().find(is_heard)?;
        Some((limiter, 1))
    }

    pub(super) fn await_token(&mut self, client: ClientId, until: Timestamp) {
        if let Some(open) = self.open.get(&client) {
            let wake = until.min(open.due);
            self.wake_at(client, wake);
        }
    }

    /// A limiter has decided on an ask.
    pub fn token_decided(
        &mut self,
        from: SocketAddr,
        decision: &TokenDecision,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        self.tokens.silent.remove(&from);
        let now = context.now;
        match decision.verdict {
            TokenVerdict::Granted => {}
            TokenVerdict::Refused(wait) => {
                self.statistics
                    .limits
                    .mark_refused(decision.instance, wait, now);
            }
            TokenVerdict::Unlimited => {
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
        match decision.verdict {
            TokenVerdict::Granted => token.state = TokenState::Held,
            TokenVerdict::Refused(_) | TokenVerdict::Unlimited => open.token = None,
        }
        self.advance(client, context, out);
    }
}
