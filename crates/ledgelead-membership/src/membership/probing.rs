//! Whom a node pings in a protocol period.

use super::{Membership, PERIOD, SUSPICION_WITH_HINT};
use crate::members::Entry;
use crate::message::NodeStatus;
use crate::probes::{Probe, Purpose};
use ledgelead_types::{NodeId, Span, Time};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// How long the direct ping may take before others are asked.
const DIRECT_TIMEOUT: Span = Span::from_millis(200);
/// How many others are asked to ping.
const INDIRECT_PROBES: usize = 2;
/// Probes of each dead node in a period, by all live nodes together.
const DEAD_PROBES_PER_PERIOD: f64 = 4.0;
/// Nodes that one node pings in a period for proof of an earlier run's end.
const MAX_PROOF_PROBES: usize = 8;

impl Membership {
    pub(super) fn begin_period(&mut self, now: Time) {
        self.next_period = now + PERIOD;
        self.conclude_probe(now);
        self.members.forget(now);
        if self.own.status == NodeStatus::Left {
            return;
        }
        let live: Vec<NodeId> = self.members.live().collect();
        self.probe = self
            .order
            .next(&live, &mut self.random)
            .map(|target| Probe {
                target,
                nonce: self.ping(now, target, Purpose::Own),
                indirect_at: Some(now + DIRECT_TIMEOUT),
                is_answered: false,
            });
        self.probe_dead(now, live.len());
        self.proof_probes_due = self.proofs.has_unproven();
        self.ask_contacts(live.is_empty());
    }

    /// Suspects the node probed in the period that ends, if nobody reached it.
    fn conclude_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.is_answered) else {
            return;
        };
        let mut span = self.suspicion();
        if self.leaving_machines.contains(&probe.target) {
            span = span.times(SUSPICION_WITH_HINT);
        }
        let size = self.cluster_size();
        if self.members.suspect(probe.target, now + span).is_some() {
            self.gossip.push(probe.target, size);
        }
    }

    pub(super) fn probe_indirectly(&mut self, now: Time) {
        let Some(probe) = self.probe.as_mut() else {
            return;
        };
        let is_due = probe.indirect_at.is_some_and(|due| due <= now);
        if !is_due || probe.is_answered {
            return;
        }
        probe.indirect_at = None;
        let (target, nonce) = (probe.target, probe.nonce);
        let others: Vec<NodeId> = self.members.live().filter(|node| *node != target).collect();
        let helpers: Vec<NodeId> = others
            .sample(&mut self.random, INDIRECT_PROBES)
            .copied()
            .collect();
        for helper in helpers {
            self.ask_to_ping(helper, target, nonce);
        }
    }

    /// Pings now and then a node that is thought dead: after a cut somebody
    /// has to speak first. Seldom enough that a dead node costs all others
    /// together a few pings a period.
    fn probe_dead(&mut self, now: Time, live: usize) {
        let dead: Vec<NodeId> = self.members.dead().collect();
        let chance = DEAD_PROBES_PER_PERIOD * dead.len() as f64 / (live + 1) as f64;
        if !self.random.random_bool(chance.min(1.0)) {
            return;
        }
        if let Some(node) = dead.choose(&mut self.random).copied() {
            self.ping(now, node, Purpose::Own);
        }
    }

    pub(super) fn probe_unproven(&mut self, now: Time) {
        self.proof_probes_due = false;
        let members = &self.members;
        self.proofs
            .retain_unproven(|node| members.get(node).is_some_and(Entry::is_live));
        let unproven: Vec<NodeId> = self.proofs.unproven().take(MAX_PROOF_PROBES).collect();
        for node in unproven {
            self.ping(now, node, Purpose::Own);
        }
    }
}
