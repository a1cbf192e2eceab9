//! Detects losses beyond what the system claims to tolerate.
//!
//! Replicas of a group run in different zones and keep nothing on disk. If two processes in
//! different zones die before the group has replaced the first one, a quorum may be lost, and
//! acknowledged assignments with it. Single ownership is guaranteed even then. The checker
//! must know about this case because it must not report the loss of assignments as a
//! violation.

use super::network::Endpoint;
use super::world::World;
use ledgelead_types::{Span, Time};

/// Time within which a group replaces a lost replica while no other node is paused or
/// partitioned.
const REPLACEMENT_TIME: Span = Span::from_seconds(5);

/// Node losses that may not have been compensated yet.
#[derive(Clone, Debug, Default)]
pub struct Tolerance {
    outstanding: Vec<NodeLoss>,
}

#[derive(Clone, Copy, Debug)]
struct NodeLoss {
    zone: usize,
    /// Undisturbed time since the loss.
    undisturbed: Span,
}

impl Tolerance {
    /// Records the loss of a process. Returns whether it exceeds the tolerance.
    fn record_loss(&mut self, zone: usize) -> bool {
        let beyond = self.outstanding.iter().any(|loss| loss.zone != zone);
        self.outstanding.push(NodeLoss {
            zone,
            undisturbed: Span::ZERO,
        });
        beyond
    }

    /// Records a period in which no node was disturbed.
    fn age(&mut self, span: Span) {
        for loss in &mut self.outstanding {
            loss.undisturbed = loss.undisturbed + span;
        }
        self.outstanding
            .retain(|loss| loss.undisturbed <= REPLACEMENT_TIME);
    }
}

impl World<'_> {
    /// Records that a node's process ended without handing over its roles.
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

    /// Ages the losses once per second, while no node is disturbed.
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
