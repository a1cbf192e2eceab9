//! Faults of the network and the processes.

use super::Simulation;
use ledgelead_types::NodeId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Active faults of the network.
#[derive(Default)]
pub struct Faults {
    /// Messages lost, in percent.
    loss: u32,
    /// Messages delivered twice, in percent.
    duplication: u32,
    /// Messages that take up to `slow_delay`, in percent.
    slow: u32,
    partitions: BTreeSet<(NodeId, NodeId)>,
}

/// Delay of a message in microseconds, normally and when it is slow.
const DELAY: std::ops::Range<u64> = 100..1_500;
const SLOW_DELAY: std::ops::Range<u64> = 1_500..120_000;

impl Faults {
    /// A network that loses, duplicates and reorders messages.
    pub fn lossy() -> Faults {
        Faults {
            loss: 5,
            duplication: 5,
            slow: 3,
            partitions: BTreeSet::new(),
        }
    }

    pub fn is_partitioned(&self, from: NodeId, to: NodeId) -> bool {
        self.partitions.contains(&(from, to))
    }

    /// Partitions a node from the others, in one or both directions.
    pub fn isolate(&mut self, node: NodeId, others: &[NodeId], inward: bool, outward: bool) {
        for other in others.iter().filter(|other| **other != node) {
            if outward {
                self.partitions.insert((node, *other));
            }
            if inward {
                self.partitions.insert((*other, node));
            }
        }
    }

    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
    }

    /// Delays of the delivered copies of a message; none if it is lost.
    pub fn deliveries(&self, random: &mut Pcg64Mcg) -> Vec<u64> {
        let mut chance = |percent: u32| percent > 0 && random.random_range(0..100) < percent;
        if chance(self.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(chance(self.duplication));
        let slow = chance(self.slow);
        let range = if slow { SLOW_DELAY } else { DELAY };
        (0..copies)
            .map(|_| random.random_range(range.clone()))
            .collect()
    }
}

impl Simulation {
    /// Injects one random fault or ends one. While restarted replicas are being replaced,
    /// at most one replica is restarted at a time, so a majority of the voters survives.
    pub fn inject_fault(&mut self) {
        let nodes: Vec<NodeId> = self.processes.keys().copied().collect();
        let node = nodes[self.random.random_range(0..nodes.len())];
        match self.random.random_range(0..10) {
            0 => self.faults.isolate(node, &nodes, true, true),
            1 => self.faults.isolate(node, &nodes, true, false),
            2 => self.faults.isolate(node, &nodes, false, true),
            3..=5 => self.faults.heal_partitions(),
            6 => {
                let span = self.random.random_range(0..600_000);
                let until = self.now + span;
                self.processes.get_mut(&node).expect("it runs").paused_until = until;
            }
            7 if !self.replaces_restarted || self.voters_are_running() => self.restart(node),
            8 => {
                if let Some(leader) = self.leader() {
                    let to = self.processes[&node].member;
                    let _refused =
                        self.with_replica(leader, |one, now| one.transfer_leadership(now, to));
                }
            }
            _ => {}
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        for process in self.processes.values_mut() {
            process.paused_until = 0;
        }
    }
}
