//! Pings on their way, and the order in which nodes are probed.

use ledgelead_types::{NodeId, Span, Time};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// How long the answer to a ping is recognised.
const PING_TTL: Span = Span::from_seconds(5);
/// Most pings that are remembered; the oldest is forgotten first.
const MAX_TRACKED_PINGS: usize = 512;

/// For whom a ping was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// For this node itself.
    Own,
    /// For another node's indirect ping.
    Relay {
        /// Who asked.
        requester: NodeId,
        /// Its nonce.
        nonce: u64,
    },
}

/// A ping on its way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentPing {
    /// Whom it asks.
    pub(crate) target: NodeId,
    /// When it was sent.
    pub(crate) sent: Time,
    /// For whom.
    pub(crate) purpose: Purpose,
}

/// Pings that were sent, by nonce.
#[derive(Debug, Default)]
pub(crate) struct SentPings {
    by_nonce: BTreeMap<u64, SentPing>,
    next_nonce: u64,
}

impl SentPings {
    /// Nonces start at a random number, so that an answer to an earlier run
    /// of this process is not taken for one to this run.
    pub(crate) fn starting_at(nonce: u64) -> SentPings {
        SentPings {
            by_nonce: BTreeMap::new(),
            next_nonce: nonce / 2,
        }
    }

    /// Notes a ping and returns its nonce.
    pub(crate) fn send(&mut self, now: Time, target: NodeId, purpose: Purpose) -> u64 {
        self.by_nonce
            .retain(|_, ping| now.since(ping.sent) < PING_TTL);
        if self.by_nonce.len() >= MAX_TRACKED_PINGS {
            self.by_nonce.pop_first();
        }
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let ping = SentPing {
            target,
            sent: now,
            purpose,
        };
        self.by_nonce.insert(nonce, ping);
        nonce
    }

    /// Takes the ping that an answer of `from` belongs to.
    pub(crate) fn take(&mut self, from: NodeId, nonce: u64) -> Option<SentPing> {
        let is_answer = self.by_nonce.get(&nonce)?.target == from;
        is_answer.then(|| self.by_nonce.remove(&nonce))?
    }
}

/// The probe of the present protocol period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    /// The node probed.
    pub(crate) target: NodeId,
    /// Nonce of the direct ping, used for the indirect ones as well.
    pub(crate) nonce: u64,
    /// When others are asked to ping it; `None` once they are.
    pub(crate) indirect_at: Option<Time>,
    /// Whether it answered.
    pub(crate) is_answered: bool,
}

/// Round-robin order over shuffled nodes: bounds the time until a given node
/// is probed to two rounds (SWIM, section 4.3).
#[derive(Debug, Default)]
pub(crate) struct ProbeOrder {
    round: Vec<NodeId>,
}

impl ProbeOrder {
    /// The next node of those in `live`, if there are any.
    pub(crate) fn next(&mut self, live: &[NodeId], random: &mut Pcg64Mcg) -> Option<NodeId> {
        loop {
            if self.round.is_empty() {
                self.round = live.to_vec();
                self.round.shuffle(random);
            }
            let node = self.round.pop()?;
            if live.binary_search(&node).is_ok() {
                return Some(node);
            }
        }
    }
}
