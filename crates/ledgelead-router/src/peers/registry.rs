//! The nodes that registered themselves in the store.

use crate::identity::{NodeIdentity, NodeName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a node registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// This life of the node.
    pub identity: NodeIdentity,
    /// Its zone.
    pub zone: ZoneName,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// What it may use of a core, in thousandths.
    #[serde(default)]
    pub millicores: u32,
}

/// The registered nodes.
#[derive(Debug, Default)]
pub struct Registry {
    nodes: BTreeMap<NodeName, NodeRecord>,
    /// How many zones the nodes are in; each request asks for it.
    zones: u32,
}

impl Registry {
    /// Takes over a whole list.
    pub fn replace_all(&mut self, records: Vec<NodeRecord>) {
        self.nodes = records
            .into_iter()
            .map(|record| (record.identity.node.clone(), record))
            .collect();
        self.count_zones();
    }

    /// A registration was made or changed.
    pub fn upsert(&mut self, record: NodeRecord) {
        self.nodes.insert(record.identity.node.clone(), record);
        self.count_zones();
    }

    /// A registration is gone.
    pub fn remove(&mut self, node: &NodeName) {
        self.nodes.remove(node);
        self.count_zones();
    }

    /// One node.
    pub fn get(&self, node: &NodeName) -> Option<&NodeRecord> {
        self.nodes.get(node)
    }

    /// All nodes in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &NodeRecord> + Clone {
        self.nodes.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// How many zones they are in.
    pub fn zones(&self) -> u32 {
        self.zones
    }

    fn count_zones(&mut self) {
        let zones: BTreeSet<&ZoneName> = self.nodes.values().map(|record| &record.zone).collect();
        self.zones = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether a later life of this node is registered: this one has ended.
    pub fn has_ended(&self, identity: &NodeIdentity) -> bool {
        self.nodes
            .get(&identity.node)
            .is_some_and(|record| record.identity.incarnation != identity.incarnation)
    }
}
