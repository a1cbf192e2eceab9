//! Distribution of instances' rate limits among nodes, and messages about tokens.
//!
//! A limit applies to all nodes together, but an instance announces it to one node at a time.
//! So a node reports the limits it finds in responses to the coordinator, which announces them
//! to all nodes. Each request then asks one of the instance's limiters for a token.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::dispatch::Candidates;
use crate::identity::ZoneName;
use crate::io::Action;
use crate::peers::{
    Datagram, PeerMessage, RateLimitEntry, TokenStatusEntry, age_ms, encode, time_from_age,
};
use crate::protections::Protection;
use crate::rate_limit::{LimitStatement, LimiterRole, RateLimit, TokenStatus};
use crate::requests::{TokenDecision, TokenRequest};
use crate::short_millis;
use ledgelead_types::codec::{List, Text};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of limits in one message, 17 bytes each, so that it fits the smallest common
/// MTU.
const MAX_LIMITS: usize = 64;
/// Time after which a node repeats its token request if it sent the request to a node that is
/// not a limiter of the instance.
const OTHER_LIMITER_WAIT: Duration = Duration::from_millis(300);

impl Node {
    /// Sends the token requests of open requests to their limiters. Returns whether this node
    /// has decided on any of them itself.
    pub(super) fn send_token_requests(&mut self, now: Timestamp, out: &mut Vec<Action>) -> bool {
        let mut has_decided = false;
        loop {
            let token_requests = self.requests.take_token_requests();
            if token_requests.is_empty() {
                return has_decided;
            }
            for (to, token_request) in token_requests {
                if to == self.settings.peer_address {
                    has_decided = true;
                    let decision = self.decide_on_token(to, &token_request, now, out);
                    self.token_decided(to, &decision, now, out);
                } else {
                    let message = PeerMessage::TokenRequest {
                        number: token_request.number,
                        zone: Text(token_request.zone.to_string()),
                        limit: limit_entry(token_request.instance, token_request.statement, now),
                    };
                    send(to, &[encode(&message)], out);
                }
            }
        }
    }

    /// Answers another node's request for a token.
    pub(super) fn token_requested(
        &mut self,
        from: SocketAddr,
        token_request: &TokenRequest,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let decision = self.decide_on_token(from, token_request, now, out);
        let (status, wait) = match decision.status {
            TokenStatus::Granted => (TokenStatusEntry::Granted, Duration::ZERO),
            TokenStatus::Refused(wait) => (TokenStatusEntry::Refused, wait),
            TokenStatus::Unlimited => (TokenStatusEntry::Unlimited, Duration::ZERO),
        };
        let message = PeerMessage::TokenDecision {
            number: token_request.number,
            instance: token_request.instance,
            status,
            wait_ms: short_millis(wait),
        };
        send(from, &[encode(&message)], out);
    }

    /// Applies a limiter's decision on a token request of this node.
    pub(super) fn token_decided(
        &mut self,
        from: SocketAddr,
        decision: &TokenDecision,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let (requests, mut context) = self.requests_and_context(now);
        requests.token_decided(from, decision, &mut context, out);
    }

    fn decide_on_token(
        &mut self,
        requester: SocketAddr,
        token_request: &TokenRequest,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> TokenDecision {
        let limits = self.requests.limits_mut();
        limits.record_from_peer(token_request.instance, token_request.statement);
        let status = match limits.limit(token_request.instance) {
            None => TokenStatus::Unlimited,
            Some(limit) => match self.limiter_role(token_request, now, out) {
                Some(role) => {
                    self.limiter
                        .request_token(requester, token_request.instance, limit, role, now)
                }
                None => TokenStatus::Refused(OTHER_LIMITER_WAIT),
            },
        };
        TokenDecision {
            number: token_request.number,
            instance: token_request.instance,
            status,
        }
    }

    /// This node's role among an instance's limiters, by its own view of the nodes. Two nodes
    /// both count themselves as the first limiter only as long as their views differ.
    fn limiter_role(
        &mut self,
        token_request: &TokenRequest,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> Option<LimiterRole> {
        if !self.settings.protections.has(Protection::SharedRateLimit) {
            return Some(LimiterRole::Primary);
        }
        let own = self.settings.peer_address;
        let candidates =
            Candidates::of_limit(token_request.instance, &token_request.zone, &self.registry)?;
        if candidates.first == own {
            return Some(LimiterRole::Primary);
        }
        if candidates.second != Some(own) {
            return None;
        }
        let failover = self
            .limiter_failover
            .record_fallback_request(candidates.first, now);
        if failover.is_probed {
            let probe = PeerMessage::LimiterProbe { is_reply: false };
            send(candidates.first, &[encode(&probe)], out);
        }
        Some(match failover.is_lost {
            true => LimiterRole::Primary,
            false => LimiterRole::Secondary,
        })
    }

    /// Reports to the coordinator the limits that it has not announced.
    pub(super) fn report_limits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_some() || self.requests.limits().is_empty() {
            return;
        }
        let messages = limits_messages(self.requests.limits().unreported(), now);
        if let Some(address) = self.coordinator_address() {
            send(address, &messages, out);
        }
    }

    /// As coordinator, announces all limits with each heartbeat, since datagrams get lost and
    /// new nodes start.
    pub(super) fn announce_limits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_none() || self.requests.limits().is_empty() {
            return;
        }
        let messages = limits_messages(self.requests.limits().to_announce(now), now);
        if !messages.is_empty() {
            self.broadcast(&messages, now, out);
        }
    }

    /// Applies limits sent by another node.
    pub(super) fn limits_received(
        &mut self,
        from: SocketAddr,
        entries: &List<RateLimitEntry>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_coordinator = self.coordinator_address() == Some(from);
        let limits = self.requests.limits_mut();
        for entry in entries.iter() {
            let statement = statement_of(entry, now);
            limits.record_from_peer(entry.instance, statement);
            if is_coordinator {
                limits.mark_reported(entry.instance, statement.limit);
            }
        }
        self.reconsider_waiting(now, out);
    }
}

/// Handles a probe of another limiter, which is answered, or the reply to a probe, which needs
/// no answer.
pub(super) fn limiter_probed(from: SocketAddr, is_reply: bool, out: &mut Vec<Action>) {
    if !is_reply {
        let reply = PeerMessage::LimiterProbe { is_reply: true };
        send(from, &[encode(&reply)], out);
    }
}

/// Splits the limits into as many messages as needed.
fn limits_messages(
    limits: impl Iterator<Item = (u64, LimitStatement)>,
    now: Timestamp,
) -> Vec<Datagram> {
    let entry = |(instance, statement)| limit_entry(instance, statement, now);
    let limits: Vec<RateLimitEntry> = limits.map(entry).collect();
    let message = |part: &[RateLimitEntry]| {
        let limits = List(part.to_vec());
        encode(&PeerMessage::RateLimits { limits })
    };
    limits.chunks(MAX_LIMITS).map(message).collect()
}

fn limit_entry(instance: u64, statement: LimitStatement, now: Timestamp) -> RateLimitEntry {
    RateLimitEntry {
        instance,
        millis_per_s: statement.limit.map(|limit| limit.millis_per_s),
        age_ms: age_ms(statement.at, now),
    }
}

fn statement_of(entry: &RateLimitEntry, now: Timestamp) -> LimitStatement {
    LimitStatement {
        limit: entry
            .millis_per_s
            .map(|millis_per_s| RateLimit { millis_per_s }),
        at: time_from_age(entry.age_ms, now),
    }
}

/// Decodes a limiter's decision from a message.
pub(super) fn decode_token_status(status: TokenStatusEntry, wait_ms: u16) -> TokenStatus {
    match status {
        TokenStatusEntry::Granted => TokenStatus::Granted,
        TokenStatusEntry::Refused => {
            TokenStatus::Refused(Duration::from_millis(u64::from(wait_ms)))
        }
        TokenStatusEntry::Unlimited => TokenStatus::Unlimited,
    }
}

/// Decodes a token request from a message.
pub(super) fn decode_token_request(
    number: u64,
    zone: &Text,
    limit: &RateLimitEntry,
    now: Timestamp,
) -> TokenRequest {
    TokenRequest {
        number,
        instance: limit.instance,
        zone: ZoneName::from(zone.0.as_str()),
        statement: statement_of(limit, now),
    }
}
