//! How many requests an instance gets while it is cold.
//!
//! A cold instance bears few requests a second over all nodes together, and nodes
//! don't know of each other's requests in time. So only few nodes send to it at all,
//! those that come first for it by rendezvous hashing among the nodes of its zone,
//! and each of them only so many a second. A node whose view of the nodes is behind
//! may take itself for one of them; the bound's slack is for that.

use crate::Timestamp;
use crate::configuration::Configuration;
use crate::directory::Instance;
use crate::identity::{InstanceId, NodeName};
use crate::peers::Registry;
use crate::rendezvous;
use std::collections::HashMap;
use std::time::Duration;

/// The span in which requests to a cold instance are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests that one node sends to a cold instance in a window: two, so that half of
/// an instance's share isn't lost with one slow node.
const SENT_BY_ONE: usize = 2;

/// What the operator allows to be sent to a cold instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate that the instance bears, over all nodes.
    pub overage: f64,
}

impl Default for ColdBound {
    fn default() -> ColdBound {
        ColdBound { overage: 1.0 }
    }
}

/// Who may send how much to one cold instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Allowance {
    senders: usize,
    each: usize,
}

impl ColdBound {
    fn allowance(self, rate: f64) -> Allowance {
        let total = (rate * self.overage).max(1.0) as usize;
        let each = SENT_BY_ONE.min(total);
        Allowance {
            senders: total / each,
            each,
        }
    }
}

/// Requests that this node has sent to cold instances lately.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    sent: HashMap<InstanceId, Vec<Timestamp>>,
}

impl ColdSends {
    /// A request is sent to a cold instance.
    pub fn note(&mut self, id: &InstanceId, now: Timestamp) {
        let sent = self.sent.entry(id.clone()).or_default();
        sent.retain(|at| *at + WINDOW > now);
        sent.push(now);
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Timestamp) {
        self.sent
            .retain(|_, sent| sent.iter().any(|at| *at + WINDOW > now));
    }

    fn count(&self, id: &InstanceId, now: Timestamp) -> usize {
        let sent = self.sent.get(id);
        let recent = |sent: &Vec<Timestamp>| sent.iter().filter(|at| **at + WINDOW > now).count();
        sent.map_or(0, recent)
    }
}

/// Decides whether this node may send to an instance that may be cold.
#[derive(Clone, Copy)]
pub struct ColdGate<'a> {
    /// What the operator allows.
    pub bound: ColdBound,
    /// Says what cold instances of each service bear.
    pub configuration: Option<&'a Configuration>,
    /// The nodes.
    pub registry: &'a Registry,
    /// This node.
    pub node: &'a NodeName,
    /// What this node has sent.
    pub sends: &'a ColdSends,
}

impl ColdGate<'_> {
    /// Whether a request may go to the instance now.
    pub fn admits(&self, instance: &Instance, now: Timestamp) -> bool {
        if !instance.is_cold(now) {
            return true;
        }
        let Some(rate) = self.cold_rate(instance) else {
            return true;
        };
        let Allowance { senders, each } = self.bound.allowance(rate);
        self.sends.count(&instance.record.id, now) < each && self.is_sender(instance, senders)
    }

    fn cold_rate(&self, instance: &Instance) -> Option<f64> {
        let service = self.configuration?.service(&instance.record.service)?;
        service.cold_rate
    }

    /// Whether this node is among the first for the instance. Nodes of other zones
    /// are only where its own has none.
    fn is_sender(&self, instance: &Instance, senders: usize) -> bool {
        let zone = &instance.record.zone;
        let in_zone = || self.registry.iter().filter(|node| node.zone == *zone);
        let Some(own) = self.registry.get(self.node) else {
            return false;
        };
        let id = instance.record.id.stable_hash();
        let weight = |node: &NodeName| rendezvous::weight(node, id);
        let own_weight = weight(self.node);
        let before = |name: &NodeName| weight(name) > own_weight;
        if in_zone().next().is_none() {
            let all = self.registry.iter();
            return all.filter(|node| before(&node.identity.node)).count() < senders;
        }
        let first = in_zone().filter(|node| before(&node.identity.node)).count() < senders;
        own.zone == *zone && first
    }
}
