//! Composition of the subsystems and routing of inputs to them.

use crate::calls::{CallOwner, OpenCalls};
use crate::groups::HostedGroups;
use crate::inquiries::OpenInquiries;
use crate::io::{CallId, Input, NodeSettings, Output, TicketId};
use crate::message::PeerMessage;
use crate::operations::{OpenOperations, Requester};
use crate::shutdown::Shutdown;
use ledgelead_configuration::{
    ConfigurationManager, ConfigurationManagerInput, ConfigurationManagerSettings, GroupManager,
    GroupManagerInput, GroupManagerSettings,
};
use ledgelead_membership::{
    Dissemination, DisseminationInput, DisseminationSettings, Membership, MembershipInput,
    MembershipSettings,
};
use ledgelead_ownership::GroupInput;
use ledgelead_request::{
    Dispatcher, DispatcherInput, DispatcherSettings, Gateway, GatewayInput, GatewaySettings,
};
use ledgelead_types::administration::{
    AdministrationAction, AdministrationCommand, CommandRejection, CommandResult, GroupOperation,
};
use ledgelead_types::configuration::Configuration;
use ledgelead_types::platform::{PlatformError, PlatformReply};
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::server::RenewalReply;
use ledgelead_types::{
    ConfigurationVersion, FencingToken, GroupId, Incarnation, Member, NodeId, ServerId, Span, Text,
    Time,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval at which the dispatcher's load counts are passed to the groups.
const SLICE_LOAD_INTERVAL: Span = Span::from_seconds(1);

/// The core of one node, which makes all of its decisions.
pub struct NodeCore {
    pub(crate) settings: NodeSettings,
    pub(crate) membership: Membership,
    pub(crate) dissemination: Dissemination,
    pub(crate) configuration_manager: ConfigurationManager,
    pub(crate) group_manager: GroupManager,
    pub(crate) groups: HostedGroups,
    pub(crate) gateway: Gateway,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) routes: BTreeMap<GroupId, Arc<GroupRoutes>>,
    pub(crate) platform_reachable: Option<bool>,
    pub(crate) calls: OpenCalls,
    pub(crate) operations: OpenOperations,
    pub(crate) inquiries: OpenInquiries,
    pub(crate) shutdown: Shutdown,
    pub(crate) next_slice_loads: Time,
    pub(crate) outputs: Vec<Output>,
}

impl NodeCore {
    /// Creates a node that starts at `now` with only its settings.
    pub fn new(settings: NodeSettings, now: Time) -> NodeCore {
        let identity = Member {
            node: settings.node,
            incarnation: settings.incarnation,
        };
        let seed = settings.random_seed;
        let protections = settings.protections;
        let mut core = NodeCore {
            membership: Membership::new(membership_settings(&settings, identity), now),
            dissemination: Dissemination::new(
                DisseminationSettings {
                    node: settings.node,
                    random_seed: seed ^ 1,
                    protections,
                },
                now,
            ),
            configuration_manager: ConfigurationManager::new(
                ConfigurationManagerSettings {
                    node: settings.node,
                    random_seed: seed ^ 2,
                },
                now,
            ),
            group_manager: GroupManager::new(
                GroupManagerSettings {
                    node: settings.node,
                    random_seed: seed ^ 3,
                },
                now,
            ),
            groups: HostedGroups::new(identity, seed ^ 4, protections, settings.assigner),
            gateway: Gateway::new(
                GatewaySettings {
                    member: identity,
                    zone: settings.zone,
                    random_seed: seed ^ 5,
                    protections,
                },
                now,
            ),
            dispatcher: Dispatcher::new(
                DispatcherSettings {
                    node: settings.node,
                    random_seed: seed ^ 6,
                    protections,
                },
                now,
            ),
            configuration: Arc::default(),
            routes: BTreeMap::new(),
            platform_reachable: None,
            calls: OpenCalls::default(),
            operations: OpenOperations::default(),
            inquiries: OpenInquiries::default(),
            shutdown: Shutdown::Running,
            next_slice_loads: now + SLICE_LOAD_INTERVAL,
            outputs: Vec::new(),
            settings,
        };
        core.live_nodes_changed(now);
        core.pump(now);
        core
    }

    /// Handles an input that arrived at `now`.
    pub fn step(&mut self, now: Time, input: Input) {
        match input {
            Input::Peer { from, message } => self.handle_message(now, from, message),
            Input::ServerReplied {
                call,
                server,
                reply,
            } => self.handle_renewal_reply(now, call, server, reply),
            Input::PlatformReplied { call, reply } => self.handle_platform_reply(now, call, reply),
            Input::RequestArrived(arrival) => {
                self.gateway.step(now, GatewayInput::Arrived(arrival));
            }
            Input::AttemptEnded {
                attempt,
                result,
                load,
            } => self.gateway.step(
                now,
                GatewayInput::AttemptEnded {
                    attempt,
                    result,
                    load,
                },
            ),
            Input::CallerDisconnected(request) => {
                self.gateway.step(now, GatewayInput::CallerLeft(request));
            }
            Input::Command { ticket, command } => self.handle_command(now, ticket, command),
            Input::Inquire(ticket) => self.inquire(now, ticket),
            Input::Stop => self.begin_shutdown(now),
        }
        self.pump(now);
    }

    /// Performs what is due at `now`.
    pub fn tick(&mut self, now: Time) {
        self.membership.tick(now);
        self.dissemination.tick(now);
        self.configuration_manager.tick(now);
        self.group_manager.tick(now);
        for (_, replica) in self.groups.iter_mut() {
            replica.tick(now);
        }
        self.gateway.tick(now);
        self.dispatcher.tick(now);
        self.report_slice_loads(now);
        self.finish_inquiries(now);
        for (requester, result) in self.operations.expire(now) {
            self.answer_operation(requester, result);
        }
        self.pump(now);
    }

    /// When [`NodeCore::tick`] has to be called next, unless there is an input before.
    pub fn next_wakeup(&self) -> Time {
        let fixed = [
            self.membership.next_wakeup(),
            self.dissemination.next_wakeup(),
            self.configuration_manager.next_wakeup(),
            self.group_manager.next_wakeup(),
            self.gateway.next_wakeup(),
            self.dispatcher.next_wakeup(),
            self.next_slice_loads,
        ];
        let replicas = self.groups.iter().map(|(_, replica)| replica.next_wakeup());
        fixed
            .into_iter()
            .chain(replicas)
            .chain(self.operations.next_wakeup())
            .chain(self.inquiries.next_wakeup())
            .chain(self.shutdown.next_wakeup())
            .min()
            .expect("the list is not empty")
    }

    /// Takes the actions to perform since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The active configuration of this node.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Version of the active configuration of this node.
    pub fn configuration_version(&self) -> ConfigurationVersion {
        self.configuration.version
    }

    /// Version of the group's active routes on this node.
    pub fn routes_version(&self, group: GroupId) -> Option<FencingToken> {
        self.routes.get(&group).map(|routes| routes.version)
    }

    fn handle_message(&mut self, now: Time, from: NodeId, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => self
                .membership
                .step(now, MembershipInput::Message { from, message }),
            PeerMessage::Dissemination(message) => self
                .dissemination
                .step(now, DisseminationInput::Message { from, message }),
            PeerMessage::Group {
                group,
                sender,
                receiver,
                message,
            } => {
                if receiver != self.settings.incarnation {
                    return;
                }
                let from = Member {
                    node: from,
                    incarnation: sender,
                };
                if let Some(replica) = self.groups.replica_for_message(now, group) {
                    replica.step(now, GroupInput::Message { from, message });
                }
            }
            PeerMessage::DispatchRequest(message) => self
                .dispatcher
                .step(now, DispatcherInput::Message { from, message }),
            PeerMessage::DispatchReply(message) => self
                .gateway
                .step(now, GatewayInput::Dispatch { from, message }),
            PeerMessage::ServerEvidence {
                group,
                server,
                failures,
            } => {
                let evidence = GroupInput::ServerEvidence { server, failures };
                self.groups.step(now, group, evidence);
            }
            PeerMessage::Operate {
                ticket,
                command,
                group,
                operation,
            } => {
                let requester = Requester::Node { node: from, ticket };
                self.operate(now, requester, command, group, operation);
            }
            PeerMessage::Inquire { inquiry } => {
                let loads = self.load_view(now);
                self.send(from, PeerMessage::Inquired { inquiry, loads });
            }
            PeerMessage::Inquired { inquiry, loads } => {
                self.inquiries.record_answer(inquiry, from, loads);
                self.finish_inquiries(now);
            }
            PeerMessage::Operated { ticket, result } => {
                if let Some(requester) = self.operations.close(ticket) {
                    self.answer_operation(requester, result);
                }
            }
        }
    }

    fn handle_renewal_reply(
        &mut self,
        now: Time,
        call: CallId,
        server: ServerId,
        reply: Option<RenewalReply>,
    ) {
        let Some(CallOwner::Group(group, sequence)) = self.calls.close(call) else {
            return;
        };
        if let Some(reply) = &reply {
            let load = reply.load;
            self.dispatcher
                .step(now, DispatcherInput::ServerLoad { server, load });
        }
        let input = GroupInput::ServerReplied {
            server,
            sequence,
            reply,
        };
        self.groups.step(now, group, input);
    }

    fn handle_platform_reply(
        &mut self,
        now: Time,
        call: CallId,
        reply: Result<PlatformReply, PlatformError>,
    ) {
        match self.calls.close(call) {
            Some(CallOwner::ConfigurationManager(call)) => self.configuration_manager.step(
                now,
                ConfigurationManagerInput::PlatformReplied { call, reply },
            ),
            Some(CallOwner::GroupManager(call)) => self
                .group_manager
                .step(now, GroupManagerInput::PlatformReplied { call, reply }),
            Some(CallOwner::Group(..)) | None => {}
        }
    }

    fn handle_command(&mut self, now: Time, ticket: TicketId, command: AdministrationCommand) {
        match command.action {
            AdministrationAction::Configure(_) => self.configuration_manager.step(
                now,
                ConfigurationManagerInput::Command {
                    ticket: ticket.0,
                    command,
                },
            ),
            AdministrationAction::Operate { group, operation } => {
                let requester = Requester::Operator(ticket);
                self.operate(now, requester, command.id, group, operation);
            }
        }
    }

    /// Passes an operation to the local replica, or forwards an operator's command to a
    /// node that has one. A forwarded command is not forwarded again.
    fn operate(
        &mut self,
        now: Time,
        requester: Requester,
        command: Text,
        group: GroupId,
        operation: GroupOperation,
    ) {
        let ticket = self.operations.open(now, requester);
        let input = GroupInput::Operate {
            ticket,
            command_id: command.clone(),
            operation,
        };
        if self.groups.step(now, group, input) {
            return;
        }
        let replica = match requester {
            Requester::Operator(_) => self.replica_of(group),
            Requester::Node { .. } => None,
        };
        match replica {
            Some(node) => self.send(
                node,
                PeerMessage::Operate {
                    ticket,
                    command,
                    group,
                    operation,
                },
            ),
            None => {
                self.operations.close(ticket);
                let result = CommandResult::Rejected(CommandRejection::NoLeader);
                self.answer_operation(requester, result);
            }
        }
    }

    /// A node with a replica of the group: the leader from the latest routes, or else a
    /// voter from its record.
    fn replica_of(&self, group: GroupId) -> Option<NodeId> {
        let by_routes = self.routes.get(&group).map(|routes| routes.leader.node);
        by_routes.or_else(|| {
            let record = self.groups.record(group)?;
            record.members.first().map(|member| member.node)
        })
    }

    pub(crate) fn answer_operation(&mut self, requester: Requester, result: CommandResult) {
        match requester {
            Requester::Operator(ticket) => {
                self.outputs
                    .push(Output::CommandFinished { ticket, result });
            }
            Requester::Node { node, ticket } => {
                self.send(node, PeerMessage::Operated { ticket, result });
            }
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: PeerMessage) {
        self.outputs.push(Output::SendPeer { to, message });
    }

    fn begin_shutdown(&mut self, now: Time) {
        if !self.shutdown.begin(now) {
            return;
        }
        self.gateway.step(now, GatewayInput::Stop);
        self.membership.step(now, MembershipInput::Leave);
        self.groups.step_all(now, &GroupInput::TransferLeadership);
    }

    fn report_slice_loads(&mut self, now: Time) {
        if now < self.next_slice_loads {
            return;
        }
        self.next_slice_loads = now + SLICE_LOAD_INTERVAL;
        for report in self.dispatcher.slice_loads(now) {
            let input = GroupInput::SliceLoads {
                server: report.server,
                loads: report.slices,
            };
            self.groups.step(now, report.group, input);
        }
    }
}

fn membership_settings(settings: &NodeSettings, identity: Member) -> MembershipSettings {
    let Member { incarnation, .. } = identity;
    debug_assert_ne!(incarnation, Incarnation(0), "a run is drawn at random");
    MembershipSettings {
        identity,
        zone: settings.zone,
        address: settings.address.clone(),
        seeds: settings
            .seeds
            .iter()
            .map(|seed| ledgelead_membership::SeedAddress {
                node: seed.node,
                address: seed.address.clone(),
            })
            .collect(),
        random_seed: settings.random_seed,
    }
}
