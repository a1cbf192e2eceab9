//! Attempts at instances that this node doesn't reach: they go by way of a peer.

use super::attempts::log_attempt_ended;
use super::{RequestContext, Requests};
use crate::dispatch::PermitOutcome;
use crate::forwarding::{
    FORWARD_PATH, PEER_CONNECT_TIMEOUT, PEER_REUSE_IDLE, PeerChoice, forward_outcome,
};
use crate::identity::InstanceId;
use crate::io::{Action, ClientId, ExchangeFailure, ExchangeOptions};
use crate::peers::{ForwardPurpose, ForwardRequest};
use crate::protections::Protection;
use crate::reachability::Path;
use crate::requests::observed::Observed;
use crate::requests::open_request::Attempt;
use crate::whole_millis;
use ledgelead_http::{Request, Response};
use ledgelead_types::codec;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of attempts of one request that never left this node or its peer.
pub(super) const MAX_UNSENT: u32 = 6;
/// Time without an answer after which the link to an instance is suspected, unless the answer
/// is expected later.
const SILENCE: Duration = Duration::from_millis(300);
/// Multiple of the expected time after which an instance counts as silent.
const SILENCE_FACTOR: u32 = 3;
/// Maximum number of links that are suspected at a time because no instance answers.
const MAX_SUSPECTED: usize = 3;
/// Time by which a peer's attempt ends before this node stops waiting for it.
const HOP_MARGIN: Duration = Duration::from_millis(10);

/// Logged for an attempt that was aborted since the link to its instance has failed.
const LINK_FAILED: &str = "link_failed";

/// The result of an attempt.
pub(super) struct AttemptResult {
    /// The response, or why there is none.
    pub(super) result: Result<Response, ExchangeFailure>,
    /// Whether an attempt at the instance was made, by this node or a peer.
    pub(super) was_attempted: bool,
    /// The end of the exchange with the peer that was asked to forward the attempt.
    pub(super) forward: Option<&'static str>,
}

/// How an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPath {
    Direct,
    ByPeer(SocketAddr),
}

impl Requests {
    /// Chooses how an attempt at an instance is sent. `None` if neither this node nor a peer
    /// is known to reach it.
    pub(super) fn attempt_path(
        &self,
        id: &InstanceId,
        context: &mut RequestContext<'_>,
    ) -> Option<AttemptPath> {
        let now = context.now;
        match context.reachability.path(id, now) {
            Path::Direct => return Some(AttemptPath::Direct),
            Path::Unreachable => return None,
            Path::ByPeer => {}
        }
        context.reachability.record_demand(id, now);
        let reachability = &*context.reachability;
        let choice = PeerChoice {
            registry: context.registry,
            node: context.node,
            heartbeat_senders: context.heartbeat_senders,
            is_excluded: |peer| reachability.excludes(id, peer, now),
            has_path: |peer| reachability.is_reached_by(id, peer, now),
        };
        let chosen = match self.protections.has(Protection::Forwarding) {
            true => context.forward_peers.choose(&choice, now),
            false => None,
        };
        if chosen.is_none() {
            context.reachability.record_no_peer(id, now);
        }
        chosen.map(AttemptPath::ByPeer)
    }

    /// Evaluates the end of an exchange with a peer, and returns the result of the attempt.
    pub(super) fn forward_ended(
        &mut self,
        peer: SocketAddr,
        attempt: &Attempt,
        result: Result<Response, ExchangeFailure>,
        context: &mut RequestContext<'_>,
    ) -> AttemptResult {
        let outcome = forward_outcome(result);
        context.forward_peers.ended(peer, &outcome, context.now);
        let forward = outcome.name();
        *self.counters.forwards.entry(forward).or_default() += 1;
        if outcome.lacks_path() {
            context
                .reachability
                .record_peer_failure(&attempt.instance, peer, context.now);
        }
        if outcome.has_path() {
            context
                .reachability
                .record_peer_contact(&attempt.instance, peer, context.now);
        }
        let was_attempted = outcome.was_attempted();
        AttemptResult {
            result: outcome.into_result(),
            was_attempted,
            forward: Some(forward),
        }
    }

    /// Records what the end of a direct attempt shows about the link to its instance.
    pub(super) fn record_link(
        &self,
        attempt: &Attempt,
        result: &Result<Response, ExchangeFailure>,
        context: &mut RequestContext<'_>,
    ) {
        let (id, now) = (&attempt.instance, context.now);
        match result {
            Ok(_) => context.reachability.record_contact(id, attempt.sent, now),
            Err(failure) if failure.shows_failed_link() => {
                context.reachability.record_failure(id, now);
            }
            Err(_) => {}
        }
    }

    /// Whether a failure may be that of this node's own link, so that it says nothing about
    /// the instance.
    pub(super) fn may_be_own_failure(
        &self,
        attempt: &Attempt,
        was_attempted: bool,
        failure: ExchangeFailure,
        context: &RequestContext<'_>,
    ) -> bool {
        let has_peers = self.protections.has(Protection::LinkBackoff) && context.registry.len() > 1;
        match attempt.via {
            Some(_) => !was_attempted,
            None => {
                has_peers && (failure.shows_failed_link() || context.reachability.is_isolated())
            }
        }
    }

    /// The instances whose links are suspected: they have not answered this node's attempts
    /// for long. If no instance has answered for a while, a few of those with open attempts.
    pub fn silent_instances(&self, context: &RequestContext<'_>) -> BTreeSet<InstanceId> {
        let now = context.now;
        let is_quiet = context.reachability.last_contact() + SILENCE <= now;
        let mut waiting = BTreeSet::new();
        let mut silent = BTreeSet::new();
        let direct = self.open.values().filter_map(|open| open.attempt.as_ref());
        for attempt in direct.filter(|attempt| attempt.via.is_none()) {
            let limit = SILENCE.max(attempt.expected * SILENCE_FACTOR);
            let last_answer = self
                .statistics
                .get(&attempt.instance)
                .and_then(|stats| stats.last_answer());
            if attempt.sent + SILENCE > now || last_answer.is_some_and(|at| at > attempt.sent) {
                continue;
            }
            waiting.insert(attempt.instance.clone());
            if attempt.sent + limit <= now {
                silent.insert(attempt.instance.clone());
            }
        }
        if is_quiet && waiting.len() > 1 {
            silent.extend(waiting.into_iter().take(MAX_SUSPECTED));
        }
        silent
    }

    /// Sends idempotent requests anew whose attempts wait on failed links.
    pub fn abandon_failed_links(
        &mut self,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let mut stranded: Vec<ClientId> = self
            .open
            .iter()
            .filter(|(_, open)| {
                let attempt = open
                    .attempt
                    .as_ref()
                    .filter(|attempt| attempt.via.is_none());
                open.is_idempotent()
                    && attempt.is_some_and(|attempt| {
                        let path = context.reachability.path(&attempt.instance, context.now);
                        path != Path::Direct && attempt.sent + SILENCE <= context.now
                    })
                    && open.tried.len() < open.route.max_attempts as usize
                    && self.can_retry(open, context)
            })
            .map(|(client, _)| *client)
            .collect();
        stranded.sort_unstable();
        for client in stranded {
            self.abandon(client, context, out);
        }
    }

    fn abandon(
        &mut self,
        client: ClientId,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let Some(attempt) = open.attempt.take() else {
            return;
        };
        open.may_have_run = true;
        open.timed_out = true;
        log_attempt_ended(
            open,
            &attempt,
            &Observed::ended_by_node(LINK_FAILED),
            context,
        );
        self.end_attempt(&attempt, PermitOutcome::NoSample);
        out.push(Action::Cancel {
            exchange: attempt.exchange,
        });
        self.advance(client, context, out);
    }

    /// Whether no instance of the service can be reached, neither by this node nor by a peer.
    pub(super) fn is_cut_off(&self, client: ClientId, context: &RequestContext<'_>) -> bool {
        let Some(open) = self.open.get(&client) else {
            return false;
        };
        let mut serving = context
            .directory
            .of_service(&open.service)
            .filter(|instance| instance.serves())
            .peekable();
        let is_unreachable =
            |id: &InstanceId| context.reachability.path(id, context.now) == Path::Unreachable;
        serving.peek().is_some() && serving.all(|instance| is_unreachable(&instance.record.id))
    }
}

/// Wraps a request for a peer that forwards it.
pub(super) fn wrapped(
    request: Request,
    instance: &InstanceId,
    is_idempotent: bool,
    fresh_connection: bool,
    direct: &ExchangeOptions,
) -> (Request, ExchangeOptions) {
    let timeout = direct.timeout.saturating_sub(HOP_MARGIN);
    let purpose = ForwardPurpose::Request {
        idempotent: is_idempotent,
        fresh_connection,
    };
    let timeout_ms = u32::try_from(whole_millis(timeout)).unwrap_or(u32::MAX);
    let forward = ForwardRequest::new(instance.as_str(), purpose, timeout_ms, request);
    let options = ExchangeOptions {
        reuse_idle_below: PEER_REUSE_IDLE,
        write_timeout: direct.write_timeout,
        ..ExchangeOptions::new(
            PEER_CONNECT_TIMEOUT.min(direct.connect_timeout),
            direct.timeout,
        )
    };
    let request = Request::new("POST", FORWARD_PATH, codec::encode(&forward));
    (request, options)
}
