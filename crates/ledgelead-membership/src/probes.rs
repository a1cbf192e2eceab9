//! Pings in flight, and the order in which nodes are probed.

use ledgelead_types::{NodeId, Span, Time};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// How long the answer to a ping is recognized.
const PING_TTL: Span = Span::from_seconds(5);
/// Maximum number of tracked pings; the oldest is dropped first.
const MAX_TRACKED_PINGS: usize = 512;

/// On whose behalf a ping was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// For this node.
    Own,
    /// For the indirect ping of another node.
    Relay {
        /// The node that asked.
        requester: NodeId,
        /// Its nonce.
        nonce: u64,
    },
}

/// A ping in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentPing {
    /// The node that was pinged.
    pub(crate) target: NodeId,
    /// When it was sent.
    pub(crate) sent: Time,
    /// On whose behalf it was sent.
    pub(crate) purpose: Purpose,
}

/// Sent pings, by nonce.
#[derive(Debug, Default)]
pub(crate) struct SentPings {
    by_nonce: BTreeMap<u64, SentPing>,
    next_nonce: u64,
}

impl SentPings {
    /// Nonces start at a random number, so that an answer to an earlier incarnation of this
    /// process is not mistaken for one to this incarnation.
    pub(crate) fn starting_at(nonce: u64) -> SentPings {
        SentPings {
            by_nonce: BTreeMap::new(),
            next_nonce: nonce / 2,
        }
    }

    /// Records a ping and returns its nonce.
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

    /// Removes and returns the ping that an answer from `from` belongs to.
    pub(crate) fn take(&mut self, from: NodeId, nonce: u64) -> Option<SentPing> {
        let is_answer = self.by_nonce.get(&nonce)?.target == from;
        is_answer.then(|| self.by_nonce.remove(&nonce))?
    }
}

/// The probe of the current protocol period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    /// The probed node.
    pub(crate) target: NodeId,
    /// Nonce of the direct ping, also used for the indirect ones.
    pub(crate) nonce: u64,
    /// When other nodes are asked to ping it; `None` once they have been asked.
    pub(crate) indirect_at: Option<Time>,
    /// Whether it answered.
    pub(crate) is_answered: bool,
}

/// Round-robin order over shuffled nodes, which bounds the time until a given node is probed
/// to two rounds (SWIM, section 4.3).
#[derive(Debug, Default)]
pub(crate) struct ProbeOrder {
    round: Vec<NodeId>,
}

impl ProbeOrder {
    /// The next of the nodes in `live`, if there are any.
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
