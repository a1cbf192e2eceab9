//! Reads the configuration from the platform's store for all nodes if this node is a reader,
//! and writes the operators' commands received by this node.

mod call_schedule;
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

/// Delay before a new reader's first read, so that nodes that start together first learn of
/// each other.
const READER_DELAY: Span = Span::from_millis(300);
/// Random addition to [`READER_DELAY`].
const READER_JITTER: Span = Span::from_millis(400);
/// Delay before a node that has not received any configuration reads it itself.
const FALLBACK_READ_DELAY: Span = Span::from_seconds(5);
/// Random addition to [`FALLBACK_READ_DELAY`].
const FALLBACK_READ_JITTER: Span = Span::from_seconds(20);

/// Settings of a node's configuration manager.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationManagerSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of all random decisions.
    pub random_seed: u64,
}

/// Input of the configuration manager.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationManagerInput {
    /// The live nodes, including this one.
    LiveNodes(Vec<LiveNode>),
    /// The newest configuration known on this node.
    Current(Arc<Configuration>),
    /// The platform answered a call. Each call is answered exactly once.
    PlatformReplied {
        /// Identifier of the call.
        call: u64,
        /// Its answer.
        reply: Result<PlatformReply, PlatformError>,
    },
    /// An operator's command that changes the configuration.
    Command {
        /// Identifies the command's result.
        ticket: u64,
        /// The command.
        command: AdministrationCommand,
    },
}

/// Output of the configuration manager.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationManagerOutput {
    /// Call the platform.
    CallPlatform {
        /// Identifies the answer.
        call: u64,
        /// The call.
        request: PlatformCall,
    },
    /// A configuration newer than the current one was read or written.
    Publish(Configuration),
    /// A command ended.
    CommandFinished {
        /// Identifies the command.
        ticket: u64,
        /// The command's result.
        result: CommandResult,
    },
    /// The platform became unreachable or reachable for this node.
    PlatformReachable(bool),
    /// The platform's list of machines, as just read.
    MachineList(Vec<MachineEntry>),
    /// The object in the store is not a valid configuration; the current configuration stays
    /// in force.
    InvalidObject {
        /// Version of the object.
        version: ObjectVersion,
        /// Errors in the object.
        findings: Vec<Finding>,
    },
}

/// Purpose of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Watch,
    Machines,
    Command { ticket: u64 },
}

/// Reads and writes the configuration on one node.
pub struct ConfigurationManager {
    node: NodeId,
    live: Vec<LiveNode>,
    current: Arc<Configuration>,
    newest_published: ConfigurationVersion,
    reads_after: Option<Time>,
    fallback_read_at: Time,
    watch: Watch,
    machines: MachinePoll,
    commands: Commands,
    calls: BTreeMap<u64, Purpose>,
    call_numbers: CallNumbers,
    reachable: Option<bool>,
    invalid_object: Option<ObjectVersion>,
    random: Pcg64Mcg,
    outputs: Vec<ConfigurationManagerOutput>,
}

impl ConfigurationManager {
    /// A manager without a configuration and without known nodes.
    pub fn new(settings: ConfigurationManagerSettings, now: Time) -> ConfigurationManager {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let fallback_read_at =
            now + FALLBACK_READ_DELAY + jitter(&mut random, FALLBACK_READ_JITTER);
        ConfigurationManager {
            node: settings.node,
            live: Vec::new(),
            current: Arc::default(),
            newest_published: ConfigurationVersion(0),
            reads_after: None,
            fallback_read_at,
            watch: Watch::new(now),
            machines: MachinePoll::new(now),
            commands: Commands::default(),
            calls: BTreeMap::new(),
            call_numbers: CallNumbers::default(),
            reachable: None,
            invalid_object: None,
            random,
            outputs: Vec::new(),
        }
    }

    /// Processes an input at time `now`.
    pub fn step(&mut self, now: Time, input: ConfigurationManagerInput) {
        match input {
            ConfigurationManagerInput::LiveNodes(live) => self.handle_live_nodes(now, live),
            ConfigurationManagerInput::Current(configuration) => {
                if configuration.version > self.current.version {
                    self.current = configuration;
                }
            }
            ConfigurationManagerInput::PlatformReplied { call, reply } => {
                self.handle_reply(now, call, reply)
            }
            ConfigurationManagerInput::Command { ticket, command } => {
                let step = self.commands.begin(ticket, command);
                self.execute_step(ticket, step);
            }
        }
    }

    /// Performs the actions that are due at time `now`.
    pub fn tick(&mut self, now: Time) {
        if !self.may_read(now) {
            return;
        }
        if self.watch.schedule().is_due(now) {
            self.fallback_read_at =
                now + FALLBACK_READ_DELAY + jitter(&mut self.random, FALLBACK_READ_JITTER);
            let after = self.newest_seen();
            let request = self.watch.begin(after);
            self.call(Purpose::Watch, request);
        }
        if self.is_reading(now) && self.machines.schedule().is_due(now) {
            let request = self.machines.begin();
            self.call(Purpose::Machines, request);
        }
    }

    /// The time at which [`ConfigurationManager::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let as_reader = self.reads_after.map(|from| {
            let due = self
                .watch
                .schedule()
                .next_due()
                .min(self.machines.schedule().next_due());
            from.max(due)
        });
        let as_fallback = self
            .has_no_configuration()
            .then(|| self.fallback_read_at.max(self.watch.schedule().next_due()));
        let dues = as_reader.into_iter().chain(as_fallback);
        dues.min().unwrap_or(Time(u64::MAX))
    }

    /// Removes and returns the outputs since the previous call, in order.
    pub fn take_outputs(&mut self) -> Vec<ConfigurationManagerOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Whether this node is a reader of the platform's objects.
    pub fn is_reader(&self) -> bool {
        self.reads_after.is_some()
    }

    fn handle_live_nodes(&mut self, now: Time, live: Vec<LiveNode>) {
        self.live = live;
        if !is_reader(self.node, &self.live) {
            self.reads_after = None;
        } else if self.reads_after.is_none() {
            let delay = READER_DELAY + jitter(&mut self.random, READER_JITTER);
            self.reads_after = Some(now + delay);
        }
    }

    fn is_reading(&self, now: Time) -> bool {
        self.reads_after.is_some_and(|from| from <= now)
    }

    fn has_no_configuration(&self) -> bool {
        self.newest_seen() == ObjectVersion(0)
    }

    fn may_read(&self, now: Time) -> bool {
        self.is_reading(now) || (self.has_no_configuration() && self.fallback_read_at <= now)
    }

    /// Newest version of the object seen by this node, including invalid ones.
    fn newest_seen(&self) -> ObjectVersion {
        let current = self.current.version.max(self.newest_published);
        ObjectVersion(current.0).max(self.invalid_object.unwrap_or_default())
    }

    fn call(&mut self, purpose: Purpose, request: PlatformCall) {
        let call = self.call_numbers.next();
        self.calls.insert(call, purpose);
        self.outputs
            .push(ConfigurationManagerOutput::CallPlatform { call, request });
    }

    fn handle_reply(&mut self, now: Time, call: u64, reply: Result<PlatformReply, PlatformError>) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        self.update_reachable(reply.is_ok());
        match purpose {
            Purpose::Watch => self.handle_watch_reply(now, reply),
            Purpose::Machines => self.handle_machines_reply(now, reply),
            Purpose::Command { ticket } => {
                let step = self.commands.handle_reply(ticket, reply);
                self.execute_step(ticket, step);
            }
        }
    }

    fn update_reachable(&mut self, reachable: bool) {
        if self.reachable != Some(reachable) {
            self.reachable = Some(reachable);
            self.outputs
                .push(ConfigurationManagerOutput::PlatformReachable(reachable));
        }
    }

    fn handle_watch_reply(&mut self, now: Time, reply: Result<PlatformReply, PlatformError>) {
        self.watch.ended(now, &reply, &mut self.random);
        if let Ok(PlatformReply::Object { version, value }) = reply {
            self.handle_object(version, &value);
        }
    }

    fn handle_object(&mut self, version: ObjectVersion, value: &Bytes) {
        if version <= self.newest_seen() {
            return;
        }
        match crate::json::decode_configuration(value, version) {
            Ok(configuration) => self.publish(configuration),
            Err(findings) => {
                self.invalid_object = Some(version);
                self.outputs
                    .push(ConfigurationManagerOutput::InvalidObject { version, findings });
            }
        }
    }

    fn publish(&mut self, configuration: Configuration) {
        let newest = self.current.version.max(self.newest_published);
        if configuration.version > newest {
            self.newest_published = configuration.version;
            self.outputs
                .push(ConfigurationManagerOutput::Publish(configuration));
        }
    }

    fn handle_machines_reply(&mut self, now: Time, reply: Result<PlatformReply, PlatformError>) {
        self.machines.ended(now);
        if let Ok(PlatformReply::Machines(machines)) = reply {
            self.outputs
                .push(ConfigurationManagerOutput::MachineList(machines.0));
        }
    }

    fn execute_step(&mut self, ticket: u64, step: CommandStep) {
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

fn jitter(random: &mut Pcg64Mcg, max: Span) -> Span {
    Span(random.random_range(0..=max.as_micros()))
}
