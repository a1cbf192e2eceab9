//! The nodes that registered themselves in the store.

use crate::identity::{NodeIdentity, NodeName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
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

/// A registration as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// What the node registered.
    pub record: NodeRecord,
    /// The store's revision of this registration.
    pub revision: u64,
}

/// The registered nodes.
#[derive(Debug, Default)]
pub struct Registry {
    nodes: BTreeMap<NodeName, Registration>,
    /// How many nodes are in each zone; each request asks how many zones there are.
    zones: BTreeMap<ZoneName, usize>,
    /// The zones of nodes by address; each datagram asks for one.
    by_address: HashMap<SocketAddr, ZoneName>,
}

impl Registry {
    /// Takes over a whole list.
    pub fn replace_all(&mut self, registrations: Vec<Registration>) {
        *self = Registry::default();
        for registration in registrations {
            self.insert(registration);
        }
    }

    /// A registration was made or changed. An older one than is known changes
    /// nothing.
    pub fn upsert(&mut self, registration: Registration) {
        let node = registration.record.identity.node.clone();
        let known = self.nodes.get(&node).map(|known| known.revision);
        if known.is_none_or(|known| known < registration.revision) {
            self.insert(registration);
        }
    }

    /// A registration is gone.
    pub fn remove(&mut self, node: &NodeName) {
        if let Some(known) = self.nodes.remove(node) {
            self.forget(&known.record);
        }
    }

    fn insert(&mut self, registration: Registration) {
        let record = registration.record.clone();
        let node = record.identity.node.clone();
        if let Some(known) = self.nodes.insert(node, registration) {
            self.forget(&known.record);
        }
        *self.zones.entry(record.zone.clone()).or_default() += 1;
        self.by_address.insert(record.address, record.zone);
    }

    /// A registration doesn't count any more.
    fn forget(&mut self, record: &NodeRecord) {
        self.by_address.remove(&record.address);
        if let Some(nodes) = self.zones.get_mut(&record.zone) {
            *nodes -= 1;
            if *nodes == 0 {
                self.zones.remove(&record.zone);
            }
        }
    }

    /// One node.
    pub fn get(&self, node: &NodeName) -> Option<&NodeRecord> {
        Some(&self.nodes.get(node)?.record)
    }

    /// The registration of a node.
    pub fn registration(&self, node: &NodeName) -> Option<&Registration> {
        self.nodes.get(node)
    }

    /// All nodes in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &NodeRecord> + Clone {
        self.nodes.values().map(|known| &known.record)
    }

    /// All registrations in the order of the nodes' names.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.nodes.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// How many zones they are in.
    pub fn zones(&self) -> u32 {
        u32::try_from(self.zones.len()).unwrap_or(u32::MAX)
    }

    /// The zone of the node at an address.
    pub fn zone_at(&self, address: SocketAddr) -> Option<&ZoneName> {
        self.by_address.get(&address)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether a later life of a node is registered, so that this one has ended.
    ///
    /// This life was registered before the store's revision `registered_by`, for
    /// example that of a record which names it as coordinator. A registration
    /// of another life from before that may be an earlier one, and proves
    /// nothing.
    pub fn has_ended(&self, identity: &NodeIdentity, registered_by: u64) -> bool {
        self.nodes.get(&identity.node).is_some_and(|known| {
            let other_life = known.record.identity.incarnation != identity.incarnation;
            other_life && known.revision > registered_by
        })
    }
}
