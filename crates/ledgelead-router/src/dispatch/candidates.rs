//! Determines which node is the dispatcher of a queue.

use crate::identity::ZoneName;
use crate::peers::{NodeRecord, Registry};
use crate::rendezvous;
use std::net::SocketAddr;

/// Only nodes whose CPU allowance is at least this share of the largest one grant permits. A
/// weak node would delay each request by its own processing time.
const MIN_RELATIVE_CPU: f64 = 0.5;

/// The dispatchers of a queue in the order in which they are asked. There is no agreement
/// among nodes: nodes with different views of the others may ask different dispatchers. Each
/// dispatcher then grants as many permits as there are slots, and the queues of the instances
/// absorb the excess.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidates {
    /// The dispatcher to ask first.
    pub first: SocketAddr,
    /// The dispatcher to ask if the first doesn't respond.
    pub second: Option<SocketAddr>,
}

impl Candidates {
    /// The first two by rendezvous hashing among the strong nodes in the queue's zone, so that
    /// a node that joins or leaves changes the dispatcher of few queues. `None` if the zone
    /// has no node.
    pub fn of_queue(queue: u64, zone: &ZoneName, registry: &Registry) -> Option<Candidates> {
        Candidates::among(queue, || registry.iter().filter(|node| node.zone == *zone))
    }

    /// The limiters of an instance: chosen as for a queue in its zone, or among all strong
    /// nodes if the zone has none.
    pub fn of_limit(instance: u64, zone: &ZoneName, registry: &Registry) -> Option<Candidates> {
        Candidates::of_queue(instance, zone, registry)
            .or_else(|| Candidates::among(instance, || registry.iter()))
    }

    fn among<'a, I>(queue: u64, nodes: impl Fn() -> I) -> Option<Candidates>
    where
        I: Iterator<Item = &'a NodeRecord>,
    {
        let strongest = nodes().map(|node| node.millicores).max()?;
        let least = f64::from(strongest) * MIN_RELATIVE_CPU;
        let is_strong = |node: &&NodeRecord| f64::from(node.millicores) >= least;
        let weighed = |node: &NodeRecord| {
            let weight = rendezvous::weight(&node.identity.node, queue);
            (weight, node.address)
        };
        let mut first = None;
        let mut second = None;
        for candidate in nodes().filter(is_strong).map(weighed) {
            if first.is_none_or(|known| candidate > known) {
                second = first;
                first = Some(candidate);
            } else if second.is_none_or(|known| candidate > known) {
                second = Some(candidate);
            }
        }
        let (_, first) = first?;
        Some(Candidates {
            first,
            second: second.map(|(_, address)| address),
        })
    }
}
