//! The ports of a node's actor in the simulation.

use super::clock::NodeClock;
use super::event::NodeRun;
use ledgelead_core::Output;
use ledgelead_node::Ports;
use ledgelead_types::{Span, Time};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Outputs of the nodes in the order in which they were produced.
pub type Outbox = Rc<RefCell<Vec<(NodeRun, Output)>>>;

/// Collects the outputs of a node and provides its clock.
pub struct SimulatedPorts {
    /// The node incarnation.
    pub run: NodeRun,
    /// Its clock.
    pub clock: Rc<NodeClock>,
    /// Destination of its outputs.
    pub outbox: Outbox,
}

impl Ports for SimulatedPorts {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn perform(&mut self, output: Output) {
        self.outbox.borrow_mut().push((self.run, output));
    }

    fn timer_delay(&self, span: Span) -> Duration {
        self.clock.timer_delay(span)
    }
}
