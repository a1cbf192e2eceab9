//! Three nodes, each with a real `ConfigurationManager`, over one store, and a group that
//! applies operations at once. Each pause propagates the newest configuration to one more
//! node.

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

/// Pauses that one request allows.
const MAX_PAUSES: u32 = 5;

/// How the platform handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Platform {
    /// Calls take effect and are answered.
    #[default]
    Up,
    /// No call is answered.
    Down,
    /// The next write takes effect but its answer is lost, and no later call is answered.
    LosesAnswer,
}

/// A deployment for tests.
pub struct TestDeployment {
    /// The view of node 1, without the configuration.
    pub view: NodeView,
    /// State of the platform.
    pub platform: Platform,
    /// Configuration of each node.
    pub configurations: Vec<Configuration>,
    /// A node that no new configuration reaches.
    pub isolated_node: Option<usize>,
    managers: Vec<ConfigurationManager>,
    stored: (ObjectVersion, Bytes),
    operations: Vec<Text>,
    tickets: u64,
}

impl TestDeployment {
    /// A deployment in which all nodes have the same configuration.
    pub fn new() -> TestDeployment {
        let mut view = view();
        for node in &mut view.nodes {
            node.live = true;
            node.configuration = view.configuration.version;
        }
        let configuration = view.configuration.clone();
        let manager = |node| {
            let settings = ConfigurationManagerSettings {
                node: NodeId(node),
                random_seed: u64::from(node),
            };
            let mut manager = ConfigurationManager::new(settings, Time::ZERO);
            manager.step(
                Time::ZERO,
                ConfigurationManagerInput::Current(Arc::new(configuration.clone())),
            );
            manager
        };
        TestDeployment {
            platform: Platform::Up,
            configurations: vec![configuration.clone(); 3],
            isolated_node: None,
            managers: (1..=3).map(manager).collect(),
            stored: (
                ObjectVersion(configuration.version.0),
                encode_configuration(&configuration),
            ),
            operations: Vec::new(),
            tickets: 0,
            view,
        }
    }

    /// The deployment as seen through the node at `index`.
    pub fn through_node(&mut self, index: usize) -> NodeDeployment<'_> {
        NodeDeployment {
            deployment: self,
            index,
            pauses: 0,
        }
    }

    /// Propagates the newest configuration to all nodes that are not isolated.
    pub fn propagate(&mut self) {
        while self.propagate_to_one() {}
    }

    fn propagate_to_one(&mut self) -> bool {
        let newest = self
            .configurations
            .iter()
            .max_by_key(|configuration| configuration.version)
            .cloned();
        let newest = newest.expect("there are nodes");
        let isolated_node = self.isolated_node;
        let lags = |(index, configuration): &(usize, &mut Configuration)| {
            configuration.version < newest.version && Some(*index) != isolated_node
        };
        match self.configurations.iter_mut().enumerate().find(lags) {
            Some((_, configuration)) => *configuration = newest,
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
        self.managers[index].step(
            Time::ZERO,
            ConfigurationManagerInput::Command { ticket, command },
        );
        loop {
            for output in self.managers[index].take_outputs() {
                match output {
                    ConfigurationManagerOutput::CallPlatform { call, request } => {
                        let reply = self.answer(&request);
                        let input = ConfigurationManagerInput::PlatformReplied { call, reply };
                        self.managers[index].step(Time::ZERO, input);
                    }
                    ConfigurationManagerOutput::Publish(configuration) => {
                        self.configurations[index] = configuration
                    }
                    ConfigurationManagerOutput::CommandFinished { result, .. } => return result,
                    _ => {}
                }
            }
        }
    }

    fn operate(
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

/// The deployment as seen through one node, for one request.
pub struct NodeDeployment<'a> {
    deployment: &'a mut TestDeployment,
    index: usize,
    pauses: u32,
}

impl Deployment for NodeDeployment<'_> {
    fn view(&mut self) -> Result<NodeView, NoAnswer> {
        let mut view = self.deployment.view.clone();
        view.configuration = self.deployment.configurations[self.index].clone();
        for (node, configuration) in view.nodes.iter_mut().zip(&self.deployment.configurations) {
            node.configuration = configuration.version;
        }
        Ok(view)
    }

    fn cluster_view(&mut self) -> Result<NodeView, NoAnswer> {
        self.view()
    }

    fn command(&mut self, command: AdministrationCommand) -> Result<CommandResult, NoAnswer> {
        Ok(match command.action {
            AdministrationAction::Configure(_) => self.deployment.configure(self.index, command),
            AdministrationAction::Operate { operation, .. } => {
                self.deployment.operate(&command, operation)
            }
        })
    }

    fn pause(&mut self) -> bool {
        self.deployment.propagate_to_one();
        self.pauses += 1;
        self.pauses <= MAX_PAUSES
    }
}
