//! Probes of a protocol period.

use super::{Membership, PERIOD, SUSPICION_WITH_HINT};
use crate::members::Entry;
use crate::message::NodeStatus;
use crate::probes::{Probe, Purpose};
use ledgelead_types::{NodeId, Span, Time};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// Time allowed for the direct ping before other nodes are asked to ping.
const DIRECT_TIMEOUT: Span = Span::from_millis(200);
/// Number of nodes asked to ping.
const INDIRECT_PROBES: usize = 2;
/// Probes of each dead node per period, by all live nodes together.
const DEAD_PROBES_PER_PERIOD: f64 = 4.0;
/// Maximum number of nodes pinged per period for a proof that an earlier incarnation has
/// ended.
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

    /// Suspects the node probed in the ending period, if neither direct nor indirect pings
    /// reached it.
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
            self.request_indirect_ping(helper, target, nonce);
        }
    }

    /// Occasionally pings a node that is considered dead, because after a partition one side
    /// has to make contact first. The probability is low enough that all live nodes together
    /// send a few pings per dead node and period.
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
