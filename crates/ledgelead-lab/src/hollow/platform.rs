//! The simulated platform of a hollow deployment.

use super::accounts::{Direction, Traffic};
use super::calibration::Costs;
use super::deployment;
use super::event::Event;
use super::world::World;
use crate::simulation::deployment::{node_address, node_id};
use crate::simulation::event::NodeRun;
use crate::standin::platform::{PlatformResponse, PlatformState, WatchId};
use ledgelead_core::{CallId, Input};
use ledgelead_types::platform::*;
use ledgelead_types::{Bytes, ConfigurationVersion, Span, Time, ZoneId};
use std::collections::BTreeMap;

/// How long the platform keeps a watch open; equals the node's default.
const WATCH_TIMEOUT: Span = Span::from_seconds(5);
/// One-way delay between a node and the platform.
const DELAY: Span = Span::from_millis(3);
/// Delay until a machine's change appears in the list.
const MACHINE_LIST_LAG: Span = Span::from_seconds(8);
/// JSON size of a machine in the list, including brackets and commas.
const MACHINE_JSON_BYTES: usize = 68;

/// The platform and its pending watches.
pub struct HollowPlatform {
    /// Costs of a call apart from its body.
    pub costs: Costs,
    state: PlatformState,
    watchers: BTreeMap<WatchId, (NodeRun, CallId)>,
}

impl HollowPlatform {
    /// Creates a platform without objects.
    pub fn new(costs: Costs) -> HollowPlatform {
        HollowPlatform {
            costs,
            state: PlatformState::new(MACHINE_LIST_LAG),
            watchers: BTreeMap::new(),
        }
    }

    /// Updates the state of a machine.
    pub fn list_machine(&mut self, now: Time, index: usize, zone: ZoneId, state: MachineState) {
        let entry = MachineEntry {
            node: node_id(index),
            zone,
            address: node_address(index),
            state,
        };
        self.state.set_machine(now, entry);
    }
}

impl World {
    /// Stores the initial configuration.
    pub(super) fn store_first_configuration(&mut self) {
        let configuration = deployment::configuration(&self.shape);
        let value = serde_json::to_vec(&configuration).expect("a configuration is plain data");
        let create = PlatformCall::CompareAndSwap {
            name: CONFIGURATION_OBJECT.into(),
            expected: ObjectVersion(0),
            value: Bytes(value),
        };
        self.platform.state.call(self.now, &create);
        self.after_platform_step();
    }

    pub(super) fn call_platform(&mut self, run: NodeRun, call: CallId, request: PlatformCall) {
        let bytes = self.platform.costs.request_head_bytes + call_body_bytes(&request);
        self.accounts[run.index].count(Traffic::Platform, Direction::Out, bytes);
        let event = Event::PlatformCall {
            from: run,
            call,
            request,
        };
        self.after(DELAY, event);
    }

    pub(super) fn platform_called(&mut self, from: NodeRun, call: CallId, request: &PlatformCall) {
        match self.platform.state.call(self.now, request) {
            PlatformResponse::Ended(reply) => self.platform_answers(from, call, reply),
            PlatformResponse::Watching(watch) => {
                self.platform.watchers.insert(watch, (from, call));
                self.after(WATCH_TIMEOUT, Event::WatchTimeout(watch));
            }
        }
        self.after_platform_step();
    }

    /// Records writes and answers the watches that they end.
    fn after_platform_step(&mut self) {
        self.check_writes();
        for (watch, reply) in self.platform.state.take_ready_watches() {
            self.watch_ends(watch, reply);
        }
    }

    pub(super) fn watch_times_out(&mut self, watch: WatchId) {
        if let Some(reply) = self.platform.state.end_watch(watch) {
            self.watch_ends(watch, reply);
        }
    }

    fn watch_ends(&mut self, watch: WatchId, reply: Result<PlatformReply, PlatformError>) {
        if let Some((run, call)) = self.platform.watchers.remove(&watch) {
            self.platform_answers(run, call, reply);
        }
    }

    fn platform_answers(
        &mut self,
        to: NodeRun,
        call: CallId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        self.after(DELAY, Event::PlatformReply { to, call, reply });
    }

    pub(super) fn platform_replied(
        &mut self,
        to: NodeRun,
        call: CallId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        let body = reply.as_ref().map_or(0, reply_body_bytes);
        let bytes = self.platform.costs.answer_head_bytes + body;
        self.accounts[to.index].count(Traffic::Platform, Direction::In, bytes);
        self.input(to, Input::PlatformReplied { call, reply });
    }

    fn check_writes(&mut self) {
        for write in self.platform.state.take_writes() {
            if &*write.name == CONFIGURATION_OBJECT {
                let version = ConfigurationVersion(write.version.0);
                self.lags.stored(write.at, version);
            }
        }
    }
}

fn call_body_bytes(call: &PlatformCall) -> usize {
    match call {
        PlatformCall::CompareAndSwap { value, .. } => value.0.len(),
        PlatformCall::Get { .. } | PlatformCall::Watch { .. } | PlatformCall::ListMachines => 0,
    }
}

fn reply_body_bytes(reply: &PlatformReply) -> usize {
    match reply {
        PlatformReply::Object { value, .. } => value.0.len(),
        PlatformReply::Machines(machines) => machines.len() * MACHINE_JSON_BYTES,
        PlatformReply::NotFound
        | PlatformReply::Unchanged
        | PlatformReply::Swapped { .. }
        | PlatformReply::Conflict { .. } => 0,
    }
}
