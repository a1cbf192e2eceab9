//! What a node knows of its link to one instance.

use crate::Timestamp;
use crate::io::ExchangeId;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before a failed link is probed; it doubles with each further failure.
const FIRST_RETRY: Duration = Duration::from_millis(250);
/// Maximum of that delay.
const MAX_RETRY: Duration = Duration::from_secs(1);
/// The same for a link that has failed again soon after it recovered, so that a link that
/// keeps failing and recovering carries few requests.
const MAX_RETRY_FLAPPING: Duration = Duration::from_secs(4);
/// A link that fails within this time after its recovery is flapping.
const FLAPPING_TIME: Duration = Duration::from_secs(5);
/// How long a peer that doesn't reach an instance either is not asked for it again.
const PEER_RETRY: Duration = Duration::from_millis(700);
/// Delay before peers are asked again for an instance that none of them reaches.
const UNREACHABLE_FOR: Duration = Duration::from_millis(500);
/// Number of peers without a link to an instance after which it counts as unreachable.
const MAX_PEERS_ASKED: usize = 8;
/// How long a peer that has reached an instance is preferred.
const PEER_PREFERRED_FOR: Duration = Duration::from_secs(2);
/// Maximum number of such peers that are remembered.
const MAX_PREFERRED: usize = 8;
/// A link that no request has needed for this long is not probed.
const WANTED_FOR: Duration = Duration::from_secs(5);
/// Limit for the doubling of the delay; the maximum is reached before.
const MAX_DOUBLINGS: u32 = 6;

/// The state of a link that has failed or is suspected to have failed.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub(super) is_failing: bool,
    failures: u32,
    pub(super) retry_at: Timestamp,
    pub(super) probe: Option<ExchangeId>,
    failed_at: Timestamp,
    pub(super) recovered_at: Option<Timestamp>,
    /// When the link was last probed on suspicion.
    pub(super) suspected_at: Option<Timestamp>,
    wanted_at: Timestamp,
    /// Peers that don't reach the instance either, and until when they are not asked again.
    failed_peers: Vec<(SocketAddr, Timestamp)>,
    unreachable_until: Timestamp,
    /// Peers that have reached the instance, and until when they are preferred.
    reaching_peers: Vec<(SocketAddr, Timestamp)>,
}

impl Link {
    /// Records a failed connection; `jitter` spreads the probes of many links.
    pub(super) fn record_failure(&mut self, jitter: f64, now: Timestamp) {
        let is_flapping = self
            .recovered_at
            .is_some_and(|recovered| now < recovered + FLAPPING_TIME);
        if !self.is_failing {
            self.failed_at = now;
            self.failures = if is_flapping { self.failures } else { 0 };
        }
        let doubled = FIRST_RETRY * (1 << self.failures.min(MAX_DOUBLINGS));
        let longest = match is_flapping {
            true => MAX_RETRY_FLAPPING,
            false => MAX_RETRY,
        };
        self.is_failing = true;
        self.failures += 1;
        self.retry_at = now + doubled.min(longest).mul_f64(1.0 + jitter);
    }

    /// Records contact that began at `began`. Contact that began before the failure proves
    /// nothing about the link since. Returns whether the link has recovered.
    pub(super) fn record_contact(&mut self, began: Timestamp, now: Timestamp) -> bool {
        if !self.is_failing || began < self.failed_at {
            return false;
        }
        self.is_failing = false;
        self.recovered_at = Some(now);
        self.failed_peers.clear();
        self.reaching_peers.clear();
        self.unreachable_until = Timestamp::ZERO;
        true
    }

    /// Records that a request needs the instance.
    pub(super) fn record_demand(&mut self, now: Timestamp) {
        self.wanted_at = now;
    }

    /// Records that a peer doesn't reach the instance either.
    pub(super) fn record_peer_failure(&mut self, peer: SocketAddr, now: Timestamp) {
        self.failed_peers
            .retain(|(known, until)| *known != peer && *until > now);
        self.failed_peers.push((peer, now + PEER_RETRY));
        self.reaching_peers.retain(|(known, _)| *known != peer);
        if self.failed_peers.len() >= MAX_PEERS_ASKED {
            self.record_unreachable(now);
        }
    }

    /// Records that a peer has reached the instance.
    pub(super) fn record_peer_contact(&mut self, peer: SocketAddr, now: Timestamp) {
        self.unreachable_until = Timestamp::ZERO;
        self.failed_peers.retain(|(known, _)| *known != peer);
        self.reaching_peers
            .retain(|(known, until)| *known != peer && *until > now);
        if self.reaching_peers.len() < MAX_PREFERRED {
            self.reaching_peers.push((peer, now + PEER_PREFERRED_FOR));
        }
    }

    /// Whether a peer has recently reached the instance.
    pub(super) fn is_reached_by(&self, peer: SocketAddr, now: Timestamp) -> bool {
        self.reaching_peers
            .iter()
            .any(|(known, until)| *known == peer && *until > now)
    }

    /// Records that no peer reaches the instance.
    pub(super) fn record_unreachable(&mut self, now: Timestamp) {
        self.unreachable_until = now + UNREACHABLE_FOR;
    }

    /// Whether neither this node nor its peers reach the instance.
    pub(super) fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Whether a peer is known not to reach the instance either.
    pub(super) fn excludes(&self, peer: SocketAddr, now: Timestamp) -> bool {
        self.failed_peers
            .iter()
            .any(|(known, until)| *known == peer && *until > now)
    }

    /// Whether the link is probed once its delay is over.
    pub(super) fn awaits_probe(&self) -> bool {
        let is_wanted = self.retry_at < self.wanted_at + WANTED_FOR;
        self.is_failing && self.probe.is_none() && is_wanted
    }

    /// Whether nothing about the link matters any more.
    pub(super) fn is_forgotten(&self, now: Timestamp) -> bool {
        let recovered = self.recovered_at.unwrap_or_default();
        let changed = self.failed_at.max(recovered).max(self.wanted_at);
        let suspected = self.suspected_at.unwrap_or_default();
        self.probe.is_none() && changed.max(suspected) + MAX_RETRY_FLAPPING * 2 < now
    }
}
