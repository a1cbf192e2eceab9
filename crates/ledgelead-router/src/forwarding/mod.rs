//! Forwarding by way of peers: the choice of a peer, and what its answer proves.

mod outcome;

pub use outcome::{ForwardOutcome, forward_outcome};

use crate::Timestamp;
use crate::identity::NodeName;
use crate::peers::{ForwardDecline, NodeRecord, Registry};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP path on which nodes ask each other to forward.
pub const FORWARD_PATH: &str = "/forward";
/// Timeout for connecting to a peer.
pub const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum idle time of a connection to a peer that is reused.
pub const PEER_REUSE_IDLE: Duration = Duration::from_secs(4);

/// How long a peer that can't forward is not asked again; it doubles with each further time.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Maximum of that time.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// How long a busy peer is not asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Limit for the doubling; the maximum is reached before.
const MAX_DOUBLINGS: u32 = 4;

/// Share of choices that consider all peers alike.
const EXPLORED_SHARE: f64 = 0.1;
/// How long a peer that has forwarded is preferred.
const PREFERRED_FOR: Duration = Duration::from_secs(2);

/// What the choice of a peer depends on.
pub struct PeerChoice<'a, Excluded, HasPath> {
    /// All nodes.
    pub registry: &'a Registry,
    /// This node.
    pub node: &'a NodeName,
    /// Nodes from which this one hears the coordinator, for when it doesn't know the others'
    /// registrations yet.
    pub heartbeat_senders: [Option<SocketAddr>; 2],
    /// Whether a peer is known not to reach the instance.
    pub is_excluded: Excluded,
    /// Whether a peer has recently reached the instance.
    pub has_path: HasPath,
}

/// What this node knows of a peer that forwards for it.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    open: u32,
    failures: u32,
    avoided_until: Timestamp,
    /// When it last forwarded to an instance and returned its response.
    forwarded_at: Option<Timestamp>,
}

/// The peers that forward for this node.
#[derive(Debug)]
pub struct ForwardPeers {
    peers: HashMap<SocketAddr, Peer>,
    rng: Pcg64Mcg,
}

impl ForwardPeers {
    /// Creates the state of a node that has asked no peer yet.
    pub fn new(seed: u64) -> ForwardPeers {
        ForwardPeers {
            peers: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Chooses a peer: one that has reached the instance, or else one that has forwarded to any
    /// instance, or else any, with a preference for the own zone. Those that could not forward
    /// when they were last asked come last. Of two random ones, the one with fewer open requests
    /// of this node. Now and then the choice is among all that have not failed, so that more of
    /// them share the work.
    pub fn choose(
        &mut self,
        choice: &PeerChoice<'_, impl Fn(SocketAddr) -> bool, impl Fn(SocketAddr) -> bool>,
        now: Timestamp,
    ) -> Option<SocketAddr> {
        let explores = self.rng.random_bool(EXPLORED_SHARE);
        let zone = choice.registry.get(choice.node).map(|own| own.zone.clone());
        let usable = choice.registry.iter().filter(|peer| {
            peer.identity.node != *choice.node
                && !self.is_avoided(peer.address, now)
                && !(choice.is_excluded)(peer.address)
        });
        let rank = |peer: &NodeRecord| {
            let is_far = Some(&peer.zone) != zone.as_ref();
            let trust = match explores {
                _ if self.has_failed(peer.address) => 3,
                true => 0,
                false if (choice.has_path)(peer.address) => 0,
                false if self.has_forwarded(peer.address, now) => 1,
                false => 2,
            };
            (trust, is_far)
        };
        let ranked: Vec<_> = usable.map(|peer| (rank(peer), peer.address)).collect();
        let Some(best) = ranked.iter().map(|(rank, _)| *rank).min() else {
            let mut senders = choice.heartbeat_senders.into_iter().flatten();
            return senders
                .find(|sender| !self.is_avoided(*sender, now) && !(choice.is_excluded)(*sender));
        };
        let candidates: Vec<SocketAddr> = ranked
            .into_iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, address)| address)
            .collect();
        let first = *candidates.choose(&mut self.rng)?;
        let second = *candidates.choose(&mut self.rng)?;
        Some(match self.open(first) <= self.open(second) {
            true => first,
            false => second,
        })
    }

    /// Whether some peer can be asked now.
    pub fn has_usable(&self, registry: &Registry, node: &NodeName, now: Timestamp) -> bool {
        let is_usable =
            |peer: &NodeRecord| peer.identity.node != *node && !self.is_avoided(peer.address, now);
        registry.iter().any(is_usable)
    }

    /// Records that a peer was asked.
    pub fn sent(&mut self, peer: SocketAddr) {
        self.peers.entry(peer).or_default().open += 1;
    }

    /// Records that an exchange with a peer was cancelled.
    pub fn cancelled(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.open = peer.open.saturating_sub(1);
        }
    }

    /// Records the end of an exchange with a peer.
    pub fn ended(&mut self, address: SocketAddr, outcome: &ForwardOutcome, now: Timestamp) {
        self.cancelled(address);
        let jitter = self.rng.random_range(1.0..1.5);
        let peer = self.peers.entry(address).or_default();
        if outcome.has_path() {
            peer.forwarded_at = Some(now);
        }
        match outcome {
            ForwardOutcome::Attempted(_)
            | ForwardOutcome::Declined(ForwardDecline::NoPath | ForwardDecline::Outdated) => {
                peer.failures = 0;
            }
            ForwardOutcome::Declined(ForwardDecline::Busy) => {
                peer.avoided_until = now + BUSY_PAUSE.mul_f64(jitter);
            }
            ForwardOutcome::Declined(ForwardDecline::Isolated)
            | ForwardOutcome::Unsupported
            | ForwardOutcome::NotReached
            | ForwardOutcome::Unknown(_) => {
                let doubled = FIRST_PAUSE * (1 << peer.failures.min(MAX_DOUBLINGS));
                peer.failures += 1;
                peer.avoided_until = now + doubled.min(MAX_PAUSE).mul_f64(jitter);
            }
        }
    }

    /// Drops the state of peers that are no longer registered.
    pub fn expire(&mut self, registry: &Registry) {
        self.peers
            .retain(|address, peer| peer.open > 0 || registry.zone_at(*address).is_some());
    }

    fn is_avoided(&self, address: SocketAddr, now: Timestamp) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| now < peer.avoided_until)
    }

    fn has_forwarded(&self, address: SocketAddr, now: Timestamp) -> bool {
        let peer = self.peers.get(&address);
        let forwarded_at = peer.and_then(|peer| peer.forwarded_at);
        forwarded_at.is_some_and(|at| now < at + PREFERRED_FOR)
    }

    /// Whether a peer could not forward when it was last asked.
    fn has_failed(&self, address: SocketAddr) -> bool {
        self.peers
            .get(&address)
            .is_some_and(|peer| peer.failures > 0)
    }

    fn open(&self, address: SocketAddr) -> u32 {
        self.peers.get(&address).map_or(0, |peer| peer.open)
    }
}
