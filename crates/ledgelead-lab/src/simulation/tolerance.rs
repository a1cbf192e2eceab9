//! Whether more was lost at once than the system claims to tolerate.
//!
//! Replicas of a group stand in different zones and keep nothing on disk: two
//! processes that die in different zones before the group has replaced the
//! first may take a quorum, and with it assignments that were acknowledged.
//! Single ownership is promised all the same. The checker has to know, since
//! it must not blame the system for what it doesn't claim.

use super::network::Endpoint;
use super::world::World;
use ledgelead_types::{Span, Time};

/// How long a group may take to replace a lost replica while no other node is
/// paused or cut off.
const REPLACEMENT_TIME: Span = Span::from_seconds(5);

/// Losses of nodes that may not have been made good yet.
#[derive(Clone, Debug, Default)]
pub struct Tolerance {
    outstanding: Vec<NodeLoss>,
}

#[derive(Clone, Copy, Debug)]
struct NodeLoss {
    zone: usize,
    /// Undisturbed time since.
    undisturbed: Span,
}

impl Tolerance {
    /// A process died; returns whether this is beyond what is tolerated.
    fn record_loss(&mut self, zone: usize) -> bool {
        let beyond = self.outstanding.iter().any(|loss| loss.zone != zone);
        self.outstanding.push(NodeLoss {
            zone,
            undisturbed: Span::ZERO,
        });
        beyond
    }

    /// A second passed without a disturbed node.
    fn age(&mut self, span: Span) {
        for loss in &mut self.outstanding {
            loss.undisturbed = loss.undisturbed + span;
        }
        self.outstanding
            .retain(|loss| loss.undisturbed <= REPLACEMENT_TIME);
    }
}

impl World<'_> {
    /// Notes that a node's process ended without handing its roles over.
    pub(super) fn record_node_loss(&mut self, index: usize) {
        if !self.tolerance.record_loss(self.nodes[index].zone) {
            return;
        }
        let now = self.now();
        self.session
            .add_line(now, || "more was lost than is tolerated".to_owned());
        self.checker.ownership.record_beyond_tolerance();
        self.checker.leaving.clear();
    }

    /// Each second: lets losses settle while no node is disturbed.
    pub(super) fn age_losses(&mut self, passed: Span) {
        let disturbed = (0..self.nodes.len()).any(|index| {
            let paused = self.nodes[index].process.is_some() && !self.nodes[index].is_active();
            paused || self.network.is_cut(Endpoint::Node(index))
        });
        if !disturbed && self.now() > Time::ZERO {
            self.tolerance.age(passed);
        }
    }
}
