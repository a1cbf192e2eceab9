//! Reads the configuration from the platform's store on behalf of all nodes,
//! when this node is among the readers, and writes the commands of operators
//! that arrived here.

mod commands;
mod machines;
mod watch;

use crate::finding::Finding;
use crate::readers::is_reader;
use crate::swap::CallNumbers;
use commands::{CommandStep, Commands};
use ledgelead_types::administration::{AdministrationCommand, CommandResult};
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::platform::{
    MachineEntry, ObjectVersion, PlatformCall, PlatformError, PlatformReply,
};
use ledgelead_types::{Bytes, ConfigurationVersion, NodeId, Span, Time};
use machines::MachinePoll;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;
use watch::Watch;

/// Delay before a node that has become a reader reads: nodes that start
/// together hear of each other first.
const READER_DELAY: Span = Span::from_millis(300);
/// Random addition to [`READER_DELAY`].
const READER_JITTER: Span = Span::from_millis(400);
/// Delay before a node that got no configuration from anybody reads it itself.
const ORPHAN_DELAY: Span = Span::from_seconds(5);
/// Random addition to [`ORPHAN_DELAY`].
const ORPHAN_JITTER: Span = Span::from_seconds(20);

/// What the keeper of one node starts from.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationManagerSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of every random decision.
    pub random_seed: u64,
}

/// Something that the keeper hears of.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationManagerInput {
    /// The live nodes, this one among them.
    LiveNodes(Vec<LiveNode>),
    /// The newest configuration known on this node.
    Current(Arc<Configuration>),
    /// The platform answered a call. Every call is answered once.
    PlatformReplied {
        /// The call.
        call: u64,
        /// Its answer.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// An operator's command that changes the configuration.
    Command {
        /// Names the command's end.
        ticket: u64,
        /// The command.
        command: AdministrationCommand,
    },
}

/// Something that the keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationManagerOutput {
    /// Call the platform.
    CallPlatform {
        /// Names the answer.
        call: u64,
        /// The call.
        request: PlatformCall,
    },
    /// A configuration newer than the one held was read or written.
    Publish(Configuration),
    /// A command ended.
    CommandFinished {
        /// The command.
        ticket: u64,
        /// How.
        result: CommandResult,
    },
    /// The platform stopped or started answering this node.
    PlatformReachable(bool),
    /// The platform's list of machines, as just read.
    MachineList(Vec<MachineEntry>),
    /// The object in the store is not a valid configuration; the one held
    /// stays in force.
    InvalidObject {
        /// Version of the object.
        version: ObjectVersion,
        /// What is wrong with it.
        findings: Vec<Finding>,
    },
}

/// For what a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Watch,
    Machines,
    Command { ticket: u64 },
}

/// Reader and writer of the configuration on one node.
pub struct ConfigurationManager {
    node: NodeId,
    live: Vec<LiveNode>,
    held: Arc<Configuration>,
    newest_published: ConfigurationVersion,
    reads_from: Option<Time>,
    orphan_reads_at: Time,
    watch: Watch,
    machines: MachinePoll,
    commands: Commands,
    calls: BTreeMap<u64, Purpose>,
    numbers: CallNumbers,
    reachable: Option<bool>,
    refused: Option<ObjectVersion>,
    random: Pcg64Mcg,
    outputs: Vec<ConfigurationManagerOutput>,
}

impl ConfigurationManager {
    /// A keeper that knows no configuration and no other node.
    pub fn new(settings: ConfigurationManagerSettings, now: Time) -> ConfigurationManager {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let orphan_reads_at = now + ORPHAN_DELAY + jitter(&mut random, ORPHAN_JITTER);
        ConfigurationManager {
            node: settings.node,
            live: Vec::new(),
            held: Arc::default(),
            newest_published: ConfigurationVersion(0),
            reads_from: None,
            orphan_reads_at,
            watch: Watch::new(now),
            machines: MachinePoll::new(now),
            commands: Commands::default(),
            calls: BTreeMap::new(),
            numbers: CallNumbers::default(),
            reachable: None,
            refused: None,
            random,
            outputs: Vec::new(),
        }
    }

    /// Takes in what happened at `now`.
    pub fn step(&mut self, now: Time, input: ConfigurationManagerInput) {
        match input {
            ConfigurationManagerInput::LiveNodes(live) => self.take_live_nodes(now, live),
            ConfigurationManagerInput::Current(configuration) => {
                if configuration.version > self.held.version {
                    self.held = configuration;
                }
            }
            ConfigurationManagerInput::PlatformReplied { call, reply } => {
                self.take_reply(now, call, reply)
            }
            ConfigurationManagerInput::Command { ticket, command } => {
                let step = self.commands.begin(ticket, command);
                self.carry_out(ticket, step);
            }
        }
    }

    /// Does what has become due by `now`.
    pub fn tick(&mut self, now: Time) {
        if !self.may_read(now) {
            return;
        }
        if self.watch.is_due(now) {
            self.orphan_reads_at = now + ORPHAN_DELAY + jitter(&mut self.random, ORPHAN_JITTER);
            let after = self.newest_seen();
            let request = self.watch.begin(after);
            self.call(Purpose::Watch, request);
        }
        if self.is_reading(now) && self.machines.is_due(now) {
            let request = self.machines.begin();
            self.call(Purpose::Machines, request);
        }
    }

    /// When [`ConfigurationManager::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let as_reader = self.reads_from.map(|from| {
            let due = self.watch.next_due().min(self.machines.next_due());
            from.max(due)
        });
        let as_orphan = self
            .is_orphan()
            .then(|| self.orphan_reads_at.max(self.watch.next_due()));
        let dues = as_reader.into_iter().chain(as_orphan);
        dues.min().unwrap_or(Time(u64::MAX))
    }

    /// What is to be done since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<ConfigurationManagerOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Whether this node is among the platform's readers.
    pub fn is_reader(&self) -> bool {
        self.reads_from.is_some()
    }

    fn take_live_nodes(&mut self, now: Time, live: Vec<LiveNode>) {
        self.live = live;
        if !is_reader(self.node, &self.live) {
            self.reads_from = None;
        } else if self.reads_from.is_none() {
            let delay = READER_DELAY + jitter(&mut self.random, READER_JITTER);
            self.reads_from = Some(now + delay);
        }
    }

    fn is_reading(&self, now: Time) -> bool {
        self.reads_from.is_some_and(|from| from <= now)
    }

    fn is_orphan(&self) -> bool {
        self.newest_seen() == ObjectVersion(0)
    }

    fn may_read(&self, now: Time) -> bool {
        self.is_reading(now) || (self.is_orphan() && self.orphan_reads_at <= now)
    }

    /// Newest version of the object that this node has seen, also when it was
    /// not valid.
    fn newest_seen(&self) -> ObjectVersion {
        let held = self.held.version.max(self.newest_published);
        ObjectVersion(held.0).max(self.refused.unwrap_or_default())
    }

    fn call(&mut self, purpose: Purpose, request: PlatformCall) {
        let call = self.numbers.next();
        self.calls.insert(call, purpose);
        self.outputs
            .push(ConfigurationManagerOutput::CallPlatform { call, request });
    }

    fn take_reply(&mut self, now: Time, call: u64, reply: Result<PlatformReply, PlatformError>) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        self.note_reachable(reply.is_ok());
        match purpose {
            Purpose::Watch => self.take_watch_reply(now, reply),
            Purpose::Machines => self.take_machines_reply(now, reply),
            Purpose::Command { ticket } => {
                let step = self.commands.replied(ticket, reply);
                self.carry_out(ticket, step);
            }
        }
    }

    fn note_reachable(&mut self, reachable: bool) {
        if self.reachable != Some(reachable) {
            self.reachable = Some(reachable);
            self.outputs
                .push(ConfigurationManagerOutput::PlatformReachable(reachable));
        }
    }

    fn take_watch_reply(&mut self, now: Time, reply: Result<PlatformReply, PlatformError>) {
        self.watch.ended(now, &reply, &mut self.random);
        if let Ok(PlatformReply::Object { version, value }) = reply {
            self.take_object(version, &value);
        }
    }

    fn take_object(&mut self, version: ObjectVersion, value: &Bytes) {
        if version <= self.newest_seen() {
            return;
        }
        match crate::json::decode_configuration(value, version) {
            Ok(configuration) => self.publish(configuration),
            Err(findings) => {
                self.refused = Some(version);
                self.outputs
                    .push(ConfigurationManagerOutput::InvalidObject { version, findings });
            }
        }
    }

    fn publish(&mut self, configuration: Configuration) {
        let newest = self.held.version.max(self.newest_published);
        if configuration.version > newest {
            self.newest_published = configuration.version;
            self.outputs
                .push(ConfigurationManagerOutput::Publish(configuration));
        }
    }

    fn take_machines_reply(&mut self, now: Time, reply: Result<PlatformReply, PlatformError>) {
        self.machines.ended(now);
        if let Ok(PlatformReply::Machines(machines)) = reply {
            self.outputs
                .push(ConfigurationManagerOutput::MachineList(machines.0));
        }
    }

    fn carry_out(&mut self, ticket: u64, step: CommandStep) {
        match step {
            CommandStep::Call(request) => self.call(Purpose::Command { ticket }, request),
            CommandStep::Finished {
                result,
                configuration,
            } => {
                if let Some(configuration) = configuration {
                    self.publish(configuration);
                }
                self.outputs
                    .push(ConfigurationManagerOutput::CommandFinished { ticket, result });
            }
        }
    }
}

fn jitter(random: &mut Pcg64Mcg, most: Span) -> Span {
    Span(random.random_range(0..=most.as_micros()))
}
