//! The node's actor, which owns and drives the core's state machine.
//!
//! The actor has neither sockets nor a clock: both are behind [`Ports`], so that the
//! simulation can run the same actor with simulated ports and a virtual clock.

use ledgelead_core::{Input, NodeCore, NodeSettings, Output};
use ledgelead_types::event::Event;
use ledgelead_types::view::NodeView;
use ledgelead_types::{Span, Time};
use stakker::{CX, FixedTimerKey, at};
use std::time::Duration;

/// The environment of the actor: its clock and the execution of outputs.
pub trait Ports: 'static {
    /// The current time on this process's monotonic clock.
    fn now(&self) -> Time;

    /// Executes one output. Must not block.
    fn perform(&mut self, output: Output);

    /// Called with the node's view after a change of the configuration or of the live
    /// nodes.
    fn observe(&mut self, _view: &NodeView) {}

    /// How long the actor's timers have to wait until this process's clock has advanced
    /// by `span`. A simulated clock that runs fast or slow returns a different duration.
    fn timer_delay(&self, span: Span) -> Duration {
        span.to_std()
    }
}

/// Added to every timer. Without it, rounding could make a timer fire early and be
/// armed again in a busy loop.
const TIMER_ROUNDING: Duration = Duration::from_micros(1);

/// The actor.
pub struct NodeActor<P: Ports> {
    core: NodeCore,
    ports: P,
    timer: FixedTimerKey,
    armed_for: Option<Time>,
}

impl<P: Ports> NodeActor<P> {
    /// Starts the core.
    pub fn init(cx: CX![], settings: NodeSettings, ports: P) -> Option<Self> {
        let core = NodeCore::new(settings, ports.now());
        let mut actor = NodeActor {
            core,
            ports,
            timer: FixedTimerKey::default(),
            armed_for: None,
        };
        actor.perform_outputs(cx);
        Some(actor)
    }

    /// Handles one event.
    pub fn input(&mut self, cx: CX![], input: Input) {
        self.core.step(self.ports.now(), input);
        self.perform_outputs(cx);
    }

    /// Handles several events; their outputs are executed together.
    pub fn inputs(&mut self, cx: CX![], inputs: Vec<Input>) {
        for input in inputs {
            self.core.step(self.ports.now(), input);
        }
        self.perform_outputs(cx);
    }

    /// Calls `receive` with this node's view for operators.
    pub fn inspect(&mut self, _cx: CX![], receive: impl FnOnce(NodeView)) {
        receive(self.core.view(self.ports.now()));
    }

    fn timer_fired(&mut self, cx: CX![]) {
        self.armed_for = None;
        self.core.tick(self.ports.now());
        self.perform_outputs(cx);
    }

    /// Executes the core's outputs and arms the timer.
    fn perform_outputs(&mut self, cx: CX![]) {
        let mut view_changed = false;
        for output in self.core.take_outputs() {
            view_changed |= changes_view(&output);
            self.ports.perform(output);
        }
        if view_changed {
            let view = self.core.view(self.ports.now());
            self.ports.observe(&view);
        }
        self.arm_timer(cx);
    }

    fn arm_timer(&mut self, cx: CX![]) {
        let wakeup = self.core.next_wakeup();
        if self.armed_for == Some(wakeup) {
            return;
        }
        cx.timer_del(self.timer);
        self.armed_for = None;
        if wakeup == ledgelead_core::io::NEVER {
            return;
        }
        let delay = self.ports.timer_delay(wakeup.since(self.ports.now()));
        let instant = cx.now() + delay + TIMER_ROUNDING;
        self.timer = at!(instant, [cx], timer_fired());
        self.armed_for = Some(wakeup);
    }
}

fn changes_view(output: &Output) -> bool {
    matches!(
        output,
        Output::Record(Event::ConfigurationApplied { .. } | Event::NodeStatusChanged { .. })
    )
}
