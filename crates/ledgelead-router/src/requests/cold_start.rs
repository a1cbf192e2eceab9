//! Limits the requests that a cold instance receives.
//!
//! A cold instance handles only a few requests per second over all nodes, and nodes learn of
//! each other's requests too late to coordinate. So only a few nodes send to it at all, the
//! first ones for it by rendezvous hashing among the nodes of its zone, and each of them sends
//! a fixed number per second. A node with an outdated view of the nodes may wrongly count
//! itself among them; the slack of the bound covers that.

use crate::Timestamp;
use crate::configuration::Configuration;
use crate::directory::Instance;
use crate::identity::{InstanceId, NodeName};
use crate::peers::Registry;
use crate::rendezvous;
use std::collections::HashMap;
use std::time::Duration;

/// Window in which requests to a cold instance are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests that one node sends to a cold instance per window. With two, one slow node doesn't
/// cost half of the instance's share.
const MAX_SENT_PER_NODE: usize = 2;

/// The operator's limit for requests to a cold instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate that the instance can handle, over all nodes.
    pub overage: f64,
}

impl Default for ColdBound {
    fn default() -> ColdBound {
        ColdBound { overage: 1.0 }
    }
}

/// How many nodes may send to a cold instance, and how many requests each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Allowance {
    senders: usize,
    per_sender: usize,
}

impl ColdBound {
    fn allowance(self, rate: f64) -> Allowance {
        let total = (rate * self.overage).max(1.0) as usize;
        let per_sender = MAX_SENT_PER_NODE.min(total);
        Allowance {
            senders: total / per_sender,
            per_sender,
        }
    }
}

/// Requests that this node recently sent to cold instances.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    sent: HashMap<InstanceId, Vec<Timestamp>>,
}

impl ColdSends {
    /// Records a request sent to a cold instance.
    pub fn record(&mut self, id: &InstanceId, now: Timestamp) {
        let sent = self.sent.entry(id.clone()).or_default();
        sent.retain(|at| *at + WINDOW > now);
        sent.push(now);
    }

    /// Drops requests that are outside of the window.
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
    /// The operator's limit.
    pub bound: ColdBound,
    /// Defines the rate that cold instances of each service can handle.
    pub configuration: Option<&'a Configuration>,
    /// Registered nodes.
    pub registry: &'a Registry,
    /// The name of this node.
    pub node: &'a NodeName,
    /// Requests that this node sent to cold instances.
    pub sends: &'a ColdSends,
}

impl ColdGate<'_> {
    /// Whether a request may be sent to the instance now.
    pub fn admits(&self, instance: &Instance, now: Timestamp) -> bool {
        if !instance.is_cold(now) {
            return true;
        }
        let Some(rate) = self.cold_rate(instance) else {
            return true;
        };
        let Allowance {
            senders,
            per_sender,
        } = self.bound.allowance(rate);
        self.sends.count(&instance.record.id, now) < per_sender && self.is_sender(instance, senders)
    }

    fn cold_rate(&self, instance: &Instance) -> Option<f64> {
        let service = self.configuration?.service(&instance.record.service)?;
        service.cold_rate
    }

    /// Whether this node is among the first `senders` nodes for the instance. Nodes of other
    /// zones qualify only if the instance's own zone has none.
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
