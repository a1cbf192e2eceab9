//! Nodes to contact in addition to the live nodes of the membership.

use crate::settings::SeedAddress;
use ledgelead_types::platform::{MachineEntry, MachineState};
use ledgelead_types::{NodeId, Text};
use std::collections::BTreeMap;

/// Seeds from the settings, and machines from the platform's latest list.
#[derive(Debug)]
pub(super) struct Contacts {
    own: NodeId,
    seeds: BTreeMap<NodeId, Text>,
    machines: BTreeMap<NodeId, Text>,
}

impl Contacts {
    /// The seeds except the node itself.
    pub(super) fn new(own: NodeId, seeds: Vec<SeedAddress>) -> Contacts {
        let seeds = seeds
            .into_iter()
            .filter(|seed| seed.node != own)
            .map(|seed| (seed.node, seed.address))
            .collect();
        Contacts {
            own,
            seeds,
            machines: BTreeMap::new(),
        }
    }

    /// Applies the list of machines; only live ones are kept.
    pub(super) fn apply_machine_list(&mut self, machines: Vec<MachineEntry>) {
        self.machines = machines
            .into_iter()
            .filter(|machine| machine.state == MachineState::Live && machine.node != self.own)
            .map(|machine| (machine.node, machine.address))
            .collect();
    }

    /// All contacts, in order.
    pub(super) fn nodes(&self) -> impl Iterator<Item = NodeId> {
        let only_machines = self
            .machines
            .keys()
            .filter(|node| !self.seeds.contains_key(node));
        self.seeds.keys().chain(only_machines).copied()
    }

    /// The address of a contact; the platform's list takes precedence over the settings.
    pub(super) fn address(&self, node: NodeId) -> Option<&Text> {
        self.machines.get(&node).or_else(|| self.seeds.get(&node))
    }
}
