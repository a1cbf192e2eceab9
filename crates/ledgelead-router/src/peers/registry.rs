//! The nodes that are registered in the store.

use crate::identity::{NodeIdentity, NodeName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A node's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node and its incarnation.
    pub identity: NodeIdentity,
    /// Its zone.
    pub zone: ZoneName,
    /// Where other nodes can reach it.
    pub address: SocketAddr,
    /// Its CPU limit, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
}

/// A registration with its revision in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The registration.
    pub record: NodeRecord,
    /// The store's revision of this registration.
    pub revision: u64,
}

/// The registered nodes.
#[derive(Debug, Default)]
pub struct Registry {
    nodes: BTreeMap<NodeName, Registration>,
    /// Number of nodes per zone; each request needs the number of zones.
    zones: BTreeMap<ZoneName, usize>,
    /// Zone by node address; looked up for each datagram.
    by_address: HashMap<SocketAddr, ZoneName>,
}

impl Registry {
    /// Replaces all registrations.
    pub fn replace_all(&mut self, registrations: Vec<Registration>) {
        *self = Registry::default();
        for registration in registrations {
            self.insert(registration);
        }
    }

    /// Adds or replaces a registration, unless the known one is newer.
    pub fn upsert(&mut self, registration: Registration) {
        let node = registration.record.identity.node.clone();
        let known = self.nodes.get(&node).map(|known| known.revision);
        if known.is_none_or(|known| known < registration.revision) {
            self.insert(registration);
        }
    }

    /// Removes a registration.
    pub fn remove(&mut self, node: &NodeName) {
        if let Some(known) = self.nodes.remove(node) {
            self.unindex(&known.record);
        }
    }

    fn insert(&mut self, registration: Registration) {
        let record = registration.record.clone();
        let node = record.identity.node.clone();
        if let Some(known) = self.nodes.insert(node, registration) {
            self.unindex(&known.record);
        }
        *self.zones.entry(record.zone.clone()).or_default() += 1;
        self.by_address.insert(record.address, record.zone);
    }

    /// Removes a registration from the indexes.
    fn unindex(&mut self, record: &NodeRecord) {
        self.by_address.remove(&record.address);
        if let Some(nodes) = self.zones.get_mut(&record.zone) {
            *nodes -= 1;
            if *nodes == 0 {
                self.zones.remove(&record.zone);
            }
        }
    }

    /// The registration of a node, without its revision.
    pub fn get(&self, node: &NodeName) -> Option<&NodeRecord> {
        Some(&self.nodes.get(node)?.record)
    }

    /// The registration of a node.
    pub fn registration(&self, node: &NodeName) -> Option<&Registration> {
        self.nodes.get(node)
    }

    /// All nodes, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &NodeRecord> + Clone {
        self.nodes.values().map(|known| &known.record)
    }

    /// All registrations, in the order of the nodes' names.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.nodes.values()
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The number of zones.
    pub fn zones(&self) -> u32 {
        u32::try_from(self.zones.len()).unwrap_or(u32::MAX)
    }

    /// The zone of the node at an address.
    pub fn zone_at(&self, address: SocketAddr) -> Option<&ZoneName> {
        self.by_address.get(&address)
    }

    /// Whether no node is registered.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether a later incarnation of a node is registered, which proves that this one has
    /// ended.
    ///
    /// This incarnation was registered before the store's revision `registered_by`, for
    /// example the revision of a record that names it as coordinator. A registration of
    /// another incarnation from before that revision may be an earlier one, and proves
    /// nothing.
    pub fn has_ended(&self, identity: &NodeIdentity, registered_by: u64) -> bool {
        self.nodes.get(&identity.node).is_some_and(|known| {
            let is_other_incarnation = known.record.identity.incarnation != identity.incarnation;
            is_other_incarnation && known.revision > registered_by
        })
    }
}
