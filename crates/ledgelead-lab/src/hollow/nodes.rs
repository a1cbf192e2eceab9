//! Processes of hollow nodes, and the replacement of their sockets.

use super::accounts::{Direction, Traffic};
use super::deployment;
use super::event::Event;
use super::network::zone_of;
use super::world::World;
use crate::simulation::deployment::{node_address, node_id, zone_id};
use crate::simulation::event::NodeRun;
use ledgelead_core::{Input, NodeCore, NodeSettings, Output, PeerMessage};
use ledgelead_membership::{DisseminationMessage, ItemKey};
use ledgelead_node::peer::frame::{CHALLENGE_BYTES, ClusterKey, HEADER_BYTES, Session};
use ledgelead_types::administration::CommandResult;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::event::Event as Recorded;
use ledgelead_types::platform::MachineState;
use ledgelead_types::protections::Protections;
use ledgelead_types::view::NodeView;
use ledgelead_types::{GroupId, Incarnation, NodeId, Span, Time};
use std::rc::Rc;

/// Downtime of a stopped or killed node.
const RESTART_DELAY: Span = Span::from_seconds(2);

/// A node's machine, with its process while it is running.
pub struct HollowNode {
    /// Index of its zone.
    pub zone: usize,
    /// Its process, if it is running.
    pub process: Option<HollowProcess>,
    /// Whether its machine is lost for the rest of the run.
    pub is_lost: bool,
    index: usize,
}

/// An incarnation of a node's process.
pub struct HollowProcess {
    /// Its index and incarnation.
    pub run: NodeRun,
    core: NodeCore,
    wakes_at: Time,
}

impl HollowNode {
    /// Creates a machine whose process is not running.
    pub fn new(index: usize) -> HollowNode {
        HollowNode {
            zone: zone_of(index),
            process: None,
            is_lost: false,
            index,
        }
    }

    /// A snapshot of the node's state; `None` while it is not running.
    pub fn view(&self, now: Time) -> Option<NodeView> {
        self.process.as_ref().map(|process| process.core.view(now))
    }

    /// Its current incarnation.
    pub fn run(&self) -> Option<NodeRun> {
        self.process.as_ref().map(|process| process.run)
    }
}

/// Authenticates frames as the transport does. A single session replaces all connections,
/// since the cost does not depend on the connection.
pub struct FrameSealer {
    session: Session,
    buffer: Vec<u8>,
}

impl FrameSealer {
    /// Creates a sealer with an arbitrary key.
    pub fn new() -> FrameSealer {
        let key = ClusterKey::new(b"hollow nodes");
        FrameSealer {
            session: Session::new(key, [0; CHALLENGE_BYTES], NodeId(1), NodeId(2)),
            buffer: Vec::new(),
        }
    }

    /// Size of the frame for a payload; `None` if the payload is too long.
    fn seal(&mut self, payload: &[u8]) -> Option<usize> {
        self.buffer.clear();
        self.session
            .seal_frame(payload, &mut self.buffer)
            .ok()
            .map(|()| self.buffer.len())
    }
}

impl World {
    pub(super) fn node_starts(&mut self, index: usize) {
        if self.nodes[index].process.is_some() || self.nodes[index].is_lost {
            return;
        }
        let run = NodeRun {
            index,
            incarnation: Incarnation(self.process_rng.number()),
        };
        let settings = NodeSettings {
            node: node_id(index),
            incarnation: run.incarnation,
            zone: zone_id(self.nodes[index].zone),
            address: node_address(index),
            seeds: deployment::seeds(self.nodes.len()),
            random_seed: self.process_rng.number(),
            protections: Protections::default(),
            assigner: AssignerChoice::Planner,
        };
        let core = NodeCore::new(settings, self.now);
        self.nodes[index].process = Some(HollowProcess {
            run,
            core,
            wakes_at: Time(u64::MAX),
        });
        self.list_machine(index, MachineState::Live);
        self.step(run, |core, now| core.tick(now));
    }

    /// Ends a node's process immediately.
    pub(super) fn node_ends(&mut self, index: usize) {
        if self.nodes[index].process.take().is_some() {
            self.lags.node_ended(index);
        }
    }

    pub(super) fn node_restarts_later(&mut self, index: usize) {
        self.node_ends(index);
        self.after(RESTART_DELAY, Event::StartNode(index));
    }

    pub(super) fn node_wakes(&mut self, run: NodeRun) {
        let now = self.now;
        let Some(process) = self.process_of(run) else {
            return;
        };
        if process.wakes_at != now {
            return;
        }
        process.wakes_at = Time(u64::MAX);
        self.step(run, |core, now| core.tick(now));
    }

    pub(super) fn frame_arrives(&mut self, to: NodeRun, from: NodeId, payload: &[u8]) {
        if self.process_of(to).is_none() {
            return;
        }
        let sealer = &mut self.sealer;
        let (message, nanos) = self.stopwatch.time(|| {
            sealer.seal(payload);
            decode::<PeerMessage>(payload)
        });
        let Ok(message) = message else {
            log::error!("failed to decode a message from a node");
            return;
        };
        let account = &mut self.accounts[to.index];
        account.codec_nanos += nanos;
        account.partners.insert(from);
        let traffic = Traffic::Peer(message.kind());
        account.count(traffic, Direction::In, payload.len() + HEADER_BYTES);
        let groups = groups_with_routes_in(&message);
        self.input(to, Input::Peer { from, message });
        self.record_routes(to, &groups);
    }

    /// Records the routes of a node after a message that contained some, complete or as a
    /// delta.
    fn record_routes(&mut self, run: NodeRun, groups: &[GroupId]) {
        let now = self.now;
        for group in groups {
            let process = self.process_of(run);
            let version = process.and_then(|process| process.core.routes_version(*group));
            if let Some(version) = version {
                self.lags.routes_reached(now, run.index, *group, version);
            }
        }
    }

    /// Passes an input to a node.
    pub(super) fn input(&mut self, run: NodeRun, input: Input) {
        self.step(run, |core, now| core.step(now, input));
    }

    fn process_of(&mut self, run: NodeRun) -> Option<&mut HollowProcess> {
        let process = self.nodes[run.index].process.as_mut();
        process.filter(|process| process.run == run)
    }

    /// Steps a node as its actor does, and carries out its outputs.
    fn step(&mut self, run: NodeRun, step: impl FnOnce(&mut NodeCore, Time)) {
        let now = self.now;
        let process = self.nodes[run.index].process.as_mut();
        let Some(process) = process.filter(|process| process.run == run) else {
            return;
        };
        let core = &mut process.core;
        let ((outputs, wakeup), nanos) = self.stopwatch.time(|| {
            step(core, now);
            let outputs = core.take_outputs();
            if outputs.iter().any(changes_view) {
                std::hint::black_box(core.view(now));
            }
            (outputs, core.next_wakeup())
        });
        self.accounts[run.index].decision_nanos += nanos;
        let wakeup = wakeup.max(now + Span::from_micros(1));
        if wakeup < process.wakes_at {
            process.wakes_at = wakeup;
            self.events.add(wakeup, Event::Wake(run));
        }
        for output in outputs {
            self.perform(run, output);
        }
    }

    fn perform(&mut self, run: NodeRun, output: Output) {
        match output {
            Output::SendPeer { to, message } => self.send_frame(run, to, &message),
            Output::RenewLease {
                call,
                server,
                renewal,
                ..
            } => self.renew(run, call, server, renewal),
            Output::CallPlatform { call, request } => self.call_platform(run, call, request),
            Output::Record(event) => self.recorded(run, &event),
            Output::CommandFinished { result, .. } => self.record_command(&result),
            Output::Stopped => self.node_restarts_later(run.index),
            Output::Forward(forward) => self.forward(run, &forward),
            Output::Respond { outcome, .. } => self.responded(outcome),
            Output::PeerAddress { .. }
            | Output::CancelAttempt { .. }
            | Output::KeepAnswer(_)
            | Output::ForgetAnswer(_)
            | Output::Inquired { .. } => {}
        }
    }

    fn send_frame(&mut self, run: NodeRun, to: NodeId, message: &PeerMessage) {
        let sealer = &mut self.sealer;
        let ((payload, frame), nanos) = self.stopwatch.time(|| {
            let payload = encode(message);
            let frame = sealer.seal(&payload);
            (payload, frame)
        });
        let account = &mut self.accounts[run.index];
        account.codec_nanos += nanos;
        let Some(frame_bytes) = frame else {
            log::error!(
                "a message of {} bytes exceeds the frame size",
                payload.len()
            );
            return;
        };
        account.partners.insert(to);
        account.count(Traffic::Peer(message.kind()), Direction::Out, frame_bytes);
        let index = to.0 as usize - 1;
        let Some(receiver) = self.nodes.get(index).and_then(HollowNode::run) else {
            return;
        };
        let delay = self.delay(self.nodes[run.index].zone, self.nodes[index].zone);
        let from = node_id(run.index);
        let payload = Rc::from(payload);
        self.after(
            delay,
            Event::Frame {
                to: receiver,
                from,
                payload,
            },
        );
    }

    fn recorded(&mut self, run: NodeRun, event: &Recorded) {
        let now = self.now;
        match event {
            Recorded::ConfigurationApplied { version } => {
                self.lags.applied(now, run.index, *version);
            }
            Recorded::OwnerChanged {
                group,
                range,
                to: Some(_),
                token,
                ..
            } => {
                self.lags.owner_changed(now, *group, *range, *token);
                self.lags.routes_reached(now, run.index, *group, *token);
            }
            _ => {}
        }
    }

    fn record_command(&mut self, result: &CommandResult) {
        let is_done = matches!(
            result,
            CommandResult::Configured { .. } | CommandResult::Operated { .. }
        );
        if !is_done {
            self.failed_commands += 1;
            log::warn!("command failed: {result:?}");
        }
    }

    /// Updates the state of a node's machine in the platform's list.
    pub(super) fn list_machine(&mut self, index: usize, state: MachineState) {
        let zone = zone_id(self.nodes[index].zone);
        self.platform.list_machine(self.now, index, zone, state);
    }

    /// Indexes of the nodes in a zone.
    pub(super) fn nodes_in(&self, zone: usize) -> Vec<usize> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|node| node.zone == zone)
            .map(|node| node.index)
            .collect()
    }
}

/// Whether the node's actor reads the complete view after this output.
fn changes_view(output: &Output) -> bool {
    matches!(
        output,
        Output::Record(Recorded::ConfigurationApplied { .. } | Recorded::NodeStatusChanged { .. })
    )
}

/// The groups whose routes a message contains.
fn groups_with_routes_in(message: &PeerMessage) -> Vec<GroupId> {
    let PeerMessage::Dissemination(message) = message else {
        return Vec::new();
    };
    let keys: Vec<ItemKey> = match message {
        DisseminationMessage::Items(items) => items.iter().map(|item| item.key).collect(),
        DisseminationMessage::Delta(delta) => vec![delta.header.key],
        _ => Vec::new(),
    };
    let routes = |key: ItemKey| match key {
        ItemKey::Routes(group) => Some(group),
        _ => None,
    };
    keys.into_iter().filter_map(routes).collect()
}
