//! Three nodes with the real writer of the configuration over one store, and
//! a group that applies operations at once. Time passes in pauses: each brings
//! the newest configuration to one more node.

use super::{operate, view};
use ledgelead_configuration::{
    ConfigurationManager, ConfigurationManagerInput, ConfigurationManagerOutput,
    ConfigurationManagerSettings, encode_configuration,
};
use ledgelead_query::{Deployment, NoAnswer};
use ledgelead_types::administration::*;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::platform::*;
use ledgelead_types::view::NodeView;
use ledgelead_types::*;
use std::sync::Arc;

/// Pauses that one request may take.
const PAUSES: u32 = 5;

/// What becomes of writes to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Platform {
    /// They take effect.
    #[default]
    Up,
    /// Nothing is answered.
    Down,
    /// The next one takes effect, its answer is lost, and then nothing is
    /// answered.
    LosesAnswer,
}

/// The deployment.
pub struct Trial {
    /// What node 1 knows apart from the configuration.
    pub view: NodeView,
    /// What the platform does.
    pub platform: Platform,
    /// Configuration at each node.
    pub held: Vec<Configuration>,
    /// A node that never hears of news.
    pub deaf: Option<usize>,
    keepers: Vec<ConfigurationManager>,
    stored: (ObjectVersion, Bytes),
    operations: Vec<Text>,
    tickets: u64,
}

impl Trial {
    /// A deployment in which all nodes have the same configuration.
    pub fn new() -> Trial {
        let mut view = view();
        for node in &mut view.nodes {
            node.live = true;
            node.configuration = view.configuration.version;
        }
        let configuration = view.configuration.clone();
        let keeper = |node| {
            let settings = ConfigurationManagerSettings {
                node: NodeId(node),
                random_seed: u64::from(node),
            };
            let mut keeper = ConfigurationManager::new(settings, Time::ZERO);
            keeper.step(
                Time::ZERO,
                ConfigurationManagerInput::Current(Arc::new(configuration.clone())),
            );
            keeper
        };
        Trial {
            platform: Platform::Up,
            held: vec![configuration.clone(); 3],
            deaf: None,
            keepers: (1..=3).map(keeper).collect(),
            stored: (
                ObjectVersion(configuration.version.0),
                encode_configuration(&configuration),
            ),
            operations: Vec::new(),
            tickets: 0,
            view,
        }
    }

    /// The deployment as an operator reaches it through node `index`.
    pub fn through(&mut self, index: usize) -> Reached<'_> {
        Reached {
            trial: self,
            index,
            pauses: 0,
        }
    }

    /// Brings the newest configuration to all nodes that hear.
    pub fn spread(&mut self) {
        while self.spread_to_one() {}
    }

    fn spread_to_one(&mut self) -> bool {
        let newest = self.held.iter().max_by_key(|held| held.version).cloned();
        let newest = newest.expect("there are nodes");
        let deaf = self.deaf;
        let lags = |(index, held): &(usize, &mut Configuration)| {
            held.version < newest.version && Some(*index) != deaf
        };
        match self.held.iter_mut().enumerate().find(lags) {
            Some((_, held)) => *held = newest,
            None => return false,
        }
        true
    }

    fn answer(&mut self, call: &PlatformCall) -> Result<PlatformReply, PlatformError> {
        let is_write = matches!(call, PlatformCall::CompareAndSwap { .. });
        match self.platform {
            Platform::Down => Err(PlatformError::Unavailable),
            Platform::LosesAnswer if is_write => {
                self.perform(call);
                self.platform = Platform::Down;
                Err(PlatformError::AnswerLost)
            }
            Platform::Up | Platform::LosesAnswer => Ok(self.perform(call)),
        }
    }

    fn perform(&mut self, call: &PlatformCall) -> PlatformReply {
        let (version, value) = self.stored.clone();
        match call {
            PlatformCall::CompareAndSwap { expected, .. } if *expected != version => {
                PlatformReply::Conflict { version }
            }
            PlatformCall::CompareAndSwap { value, .. } => {
                let version = ObjectVersion(version.0 + 1);
                self.stored = (version, value.clone());
                PlatformReply::Swapped { version }
            }
            _ => PlatformReply::Object { version, value },
        }
    }

    fn configure(&mut self, index: usize, command: AdministrationCommand) -> CommandResult {
        self.tickets += 1;
        let ticket = self.tickets;
        self.keepers[index].step(
            Time::ZERO,
            ConfigurationManagerInput::Command { ticket, command },
        );
        loop {
            for output in self.keepers[index].take_outputs() {
                match output {
                    ConfigurationManagerOutput::CallPlatform { call, request } => {
                        let reply = self.answer(&request);
                        let input = ConfigurationManagerInput::PlatformReplied { call, reply };
                        self.keepers[index].step(Time::ZERO, input);
                    }
                    ConfigurationManagerOutput::Publish(configuration) => {
                        self.held[index] = configuration
                    }
                    ConfigurationManagerOutput::CommandFinished { result, .. } => return result,
                    _ => {}
                }
            }
        }
    }

    fn decide(
        &mut self,
        command: &AdministrationCommand,
        operation: GroupOperation,
    ) -> CommandResult {
        let repeated = self.operations.contains(&command.id);
        if !repeated {
            self.operations.push(command.id.clone());
            operate(&mut self.view, operation);
        }
        CommandResult::Operated { repeated }
    }
}

/// The deployment through one node, for one request.
pub struct Reached<'a> {
    trial: &'a mut Trial,
    index: usize,
    pauses: u32,
}

impl Deployment for Reached<'_> {
    fn view(&mut self) -> Result<NodeView, NoAnswer> {
        let mut view = self.trial.view.clone();
        view.configuration = self.trial.held[self.index].clone();
        for (node, held) in view.nodes.iter_mut().zip(&self.trial.held) {
            node.configuration = held.version;
        }
        Ok(view)
    }

    fn cluster_view(&mut self) -> Result<NodeView, NoAnswer> {
        self.view()
    }

    fn command(&mut self, command: AdministrationCommand) -> Result<CommandResult, NoAnswer> {
        Ok(match command.action {
            AdministrationAction::Configure(_) => self.trial.configure(self.index, command),
            AdministrationAction::Operate { operation, .. } => {
                self.trial.decide(&command, operation)
            }
        })
    }

    fn pause(&mut self) -> bool {
        self.trial.spread_to_one();
        self.pauses += 1;
        self.pauses <= PAUSES
    }
}
