//! Calls and watches between nodes and the simulated platform, including lost and delayed
//! answers.

use super::deployment;
use super::event::{Event, NodeRun, ToNode};
use super::network::Endpoint;
use super::world::World;
use crate::scenario::Scenario;
use crate::standin::platform::{PlatformCondition, PlatformResponse, PlatformState, WatchId};
use ledgelead_core::CallId;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::platform::*;
use ledgelead_types::{Bytes, ConfigurationVersion, Span, Time};
use std::collections::BTreeMap;

/// How long a node waits for a reply of the platform, except for watches.
const CALL_TIMEOUT: Span = Span::from_seconds(3);
/// How long the platform keeps a watch open.
const WATCH_TIMEOUT: Span = Span::from_seconds(10);

/// The platform and its pending watches.
pub struct PlatformProcess {
    /// Its state.
    pub state: PlatformState,
    watchers: BTreeMap<WatchId, (NodeRun, CallId)>,
    disturbed: BTreeMap<usize, PlatformCondition>,
    undisturbed_since: Time,
}

impl PlatformProcess {
    /// Creates a platform without objects.
    pub fn new(scenario: &Scenario) -> PlatformProcess {
        let lag = scenario.platform.machine_list_lag_seconds;
        PlatformProcess {
            state: PlatformState::new(super::rng::seconds(lag)),
            watchers: BTreeMap::new(),
            disturbed: BTreeMap::new(),
            undisturbed_since: Time::ZERO,
        }
    }

    /// Since when the platform has been undisturbed; `now` during a disturbance.
    pub fn undisturbed_since(&self, now: Time) -> Time {
        if self.disturbed.is_empty() {
            self.undisturbed_since
        } else {
            now
        }
    }
}

impl World<'_> {
    /// Stores the initial configuration.
    pub(super) fn platform_starts(&mut self) {
        let configuration = deployment::configuration(self.scenario);
        let value = serde_json::to_vec(&configuration).expect("a configuration is plain data");
        let create = PlatformCall::CompareAndSwap {
            name: CONFIGURATION_OBJECT.into(),
            expected: ObjectVersion(0),
            value: Bytes(value),
        };
        self.platform.state.call(Time::ZERO, &create);
        self.check_writes();
    }

    pub(super) fn call_platform(&mut self, run: NodeRun, call: CallId, request: PlatformCall) {
        let now = self.now();
        self.measurements.platform_call(now, run.index, &request);
        let is_watch = matches!(request, PlatformCall::Watch { .. });
        let timeout = if is_watch {
            WATCH_TIMEOUT + CALL_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        let node = Endpoint::Node(run.index);
        let (delay, error) = match self.network.segment(node, Endpoint::Platform) {
            Some(delay) => (Some(delay), PlatformError::AnswerLost),
            None => (None, PlatformError::Unavailable),
        };
        let expired = ToNode::PlatformReplied(call, Err(error));
        self.after(timeout, Event::ToNode(run, expired));
        if let Some(delay) = delay {
            self.after(delay, Event::ToPlatform(run, call, request));
        }
    }

    pub(super) fn reach_platform(&mut self, run: NodeRun, call: CallId, request: &PlatformCall) {
        let now = self.now();
        match self.platform.state.call(now, request) {
            PlatformResponse::Ended(reply) => self.platform_answers(run, call, reply),
            PlatformResponse::Watching(watch) => {
                self.platform.watchers.insert(watch, (run, call));
                self.after(WATCH_TIMEOUT, Event::WatchTimeout(watch));
            }
        }
        self.check_writes();
        for (watch, reply) in self.platform.state.take_ready_watches() {
            self.watch_ends(watch, reply);
        }
    }

    fn platform_answers(
        &mut self,
        run: NodeRun,
        call: CallId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let node = Endpoint::Node(run.index);
        let Some(delay) = self.network.segment(Endpoint::Platform, node) else {
            return;
        };
        if let Ok(reply) = &reply {
            let now = self.now();
            self.measurements.platform_reply(now, run.index, reply);
        }
        let delay = delay + self.platform.state.condition.delay;
        let event = ToNode::PlatformReplied(call, reply);
        self.after(delay, Event::ToNode(run, event));
    }

    fn watch_ends(&mut self, watch: WatchId, reply: Result<PlatformReply, PlatformError>) {
        if let Some((run, call)) = self.platform.watchers.remove(&watch) {
            self.platform_answers(run, call, reply);
        }
    }

    pub(super) fn watch_times_out(&mut self, watch: WatchId) {
        if let Some(reply) = self.platform.state.end_watch(watch) {
            self.watch_ends(watch, reply);
        }
    }

    fn check_writes(&mut self) {
        for write in self.platform.state.take_writes() {
            if &*write.name != CONFIGURATION_OBJECT {
                continue;
            }
            match serde_json::from_slice::<Configuration>(&write.value.0) {
                Ok(mut stored) => {
                    stored.version = ConfigurationVersion(write.version.0);
                    let checker = &mut self.checker;
                    checker
                        .configuration
                        .written(write.at, &stored, &mut checker.violations);
                }
                Err(error) => log::error!("a node stored an invalid configuration: {error}"),
            }
        }
    }

    /// Begins a disturbance of the platform by a fault, or ends it if there is no condition.
    pub(super) fn disturb_platform(&mut self, fault: usize, condition: Option<PlatformCondition>) {
        match condition {
            Some(condition) => {
                self.platform.disturbed.insert(fault, condition);
            }
            None => {
                self.platform.disturbed.remove(&fault);
            }
        }
        let mut combined = PlatformCondition::default();
        for condition in self.platform.disturbed.values() {
            combined.down |= condition.down;
            combined.loses_answers |= condition.loses_answers;
            combined.delay = combined.delay.max(condition.delay);
        }
        self.platform.undisturbed_since = self.now();
        self.platform.state.condition = combined;
        if combined.down {
            for watch in self.platform.state.drop_watches() {
                self.watch_ends(watch, Err(PlatformError::Unavailable));
            }
        }
    }

    /// Updates the state of a node's machine in the platform's list.
    pub(super) fn list_machine(&mut self, index: usize, state: MachineState) {
        let entry = MachineEntry {
            node: deployment::node_id(index),
            zone: deployment::zone_id(self.nodes[index].zone),
            address: deployment::node_address(index),
            state,
        };
        let now = self.now();
        self.platform.state.set_machine(now, entry);
    }
}
