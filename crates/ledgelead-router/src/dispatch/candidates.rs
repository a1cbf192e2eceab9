//! Which node is the dispatcher of a queue.

use crate::identity::ZoneName;
use crate::peers::{NodeRecord, Registry};
use crate::rendezvous;
use std::net::SocketAddr;

/// Nodes with at least this share of the strongest one's part of a core hand out permits: a
/// weak one would hold up each request by its own work.
const STRONG_SHARE: f64 = 0.5;

/// The dispatchers of a queue in the order in which they are asked. Nothing is agreed upon:
/// nodes whose views of the others differ may ask different ones, and each hands out as many
/// permits as there are slots, which the instances' own queues bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidates {
    /// Who is asked.
    pub first: SocketAddr,
    /// Who is asked where the first is silent.
    pub second: Option<SocketAddr>,
}

impl Candidates {
    /// The first two of the strong nodes in the queue's zone by rendezvous hashing, so that
    /// a node that comes or goes changes the dispatcher of few queues. None where the zone
    /// has no node.
    pub fn of_queue(queue: u64, zone: &ZoneName, registry: &Registry) -> Option<Candidates> {
        Candidates::among(queue, || registry.iter().filter(|node| node.zone == *zone))
    }

    /// The limiters of an instance: as for a queue in its zone, or of all strong nodes where
    /// that has none.
    pub fn of_limit(instance: u64, zone: &ZoneName, registry: &Registry) -> Option<Candidates> {
        Candidates::of_queue(instance, zone, registry)
            .or_else(|| Candidates::among(instance, || registry.iter()))
    }

    fn among<'a, I>(queue: u64, nodes: impl Fn() -> I) -> Option<Candidates>
    where
        I: Iterator<Item = &'a NodeRecord>,
    {
        let strongest = nodes().map(|node| node.millicores).max()?;
        let least = f64::from(strongest) * STRONG_SHARE;
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
