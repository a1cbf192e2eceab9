//! Passes the outputs of each subsystem to the subsystems that consume them, until none has
//! any left.

use crate::calls::CallOwner;
use crate::io::{Output, TicketId};
use crate::message::PeerMessage;
use crate::node_core::NodeCore;
use ledgelead_configuration::{
    ConfigurationManagerInput, ConfigurationManagerOutput, GroupManagerInput, GroupManagerOutput,
};
use ledgelead_membership::{
    DisseminationInput, DisseminationOutput, ItemKey, MembershipInput, MembershipOutput,
};
use ledgelead_ownership::{GroupInput, GroupOutput};
use ledgelead_request::{
    DispatchReply, DispatchRequest, DispatcherInput, DispatcherOutput, GatewayInput, GatewayOutput,
};
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyVerdict};
use ledgelead_types::event::Event;
use ledgelead_types::platform::PlatformCall;
use ledgelead_types::routes::{GroupRecord, GroupRoutes};
use ledgelead_types::token::{FencingToken, Revision, Term};
use ledgelead_types::{Bytes, GroupId, IdempotencyKey, Member, NodeId, ServerId, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of rounds of passing outputs within one step. Subsystems exchange only a
/// few outputs per step; more rounds indicate a loop, which must not hang the node.
const MAX_ROUNDS: usize = 64;

impl NodeCore {
    /// Passes outputs between subsystems until none has any.
    pub(crate) fn pump(&mut self, now: Time) {
        for _ in 0..MAX_ROUNDS {
            let progressed = self.pump_membership(now)
                | self.pump_dissemination(now)
                | self.pump_configuration_manager(now)
                | self.pump_group_manager(now)
                | self.pump_groups(now)
                | self.pump_gateway(now)
                | self.pump_dispatcher(now);
            if !progressed {
                break;
            }
        }
        // Checking for roles iterates over the routes of all groups, which is too expensive
        // for every step of a node that is not stopping.
        if self.shutdown.is_leaving() {
            let holds_roles = self.holds_roles();
            if self.shutdown.completes(now, holds_roles) {
                self.outputs.push(Output::Stopped);
            }
        }
    }

    /// Whether this node still leads a group, dispatches a server, or is a voter that
    /// should be replaced first.
    fn holds_roles(&self) -> bool {
        let node = self.settings.node;
        let dispatches = self
            .routes
            .values()
            .flat_map(|routes| routes.servers.iter())
            .any(|server| server.dispatcher == node);
        let leads = self.groups.iter().any(|(_, replica)| replica.leads());
        dispatches || leads || self.awaits_replacement()
    }

    /// Whether a group in which this node votes should replace it first: another live node
    /// could take its place, or the other voters alone are currently not a majority.
    /// Without this wait, stopping one replica after the loss of another would lose the
    /// quorum.
    fn awaits_replacement(&self) -> bool {
        let live = self.membership.live_nodes();
        let own = self.settings.node;
        self.routes.values().any(|routes| {
            let voters = &routes.members;
            if !voters.iter().any(|voter| voter.node == own) {
                return false;
            }
            let others = live.iter().filter(|node| node.member.node != own);
            let voting = others.clone().filter(|node| voters.contains(&node.member));
            let (all, voting) = (others.count(), voting.count());
            all > voting || voting * 2 <= voters.len()
        })
    }

    fn pump_membership(&mut self, now: Time) -> bool {
        let outputs = self.membership.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                MembershipOutput::Send { to, message } => {
                    self.send(to, PeerMessage::Membership(message));
                }
                MembershipOutput::Address { node, address } => {
                    self.outputs.push(Output::PeerAddress { node, address });
                }
                MembershipOutput::Changed => self.live_nodes_changed(now),
                MembershipOutput::Event(event) => self.record(now, event),
            }
        }
        any
    }

    /// Passes the live nodes to every subsystem.
    pub(crate) fn live_nodes_changed(&mut self, now: Time) {
        let live = self.membership.live_nodes();
        let others = live
            .iter()
            .map(|node| node.member.node)
            .filter(|node| *node != self.settings.node)
            .collect();
        self.dissemination
            .step(now, DisseminationInput::Peers(others));
        self.configuration_manager
            .step(now, ConfigurationManagerInput::LiveNodes(live.clone()));
        self.group_manager
            .step(now, GroupManagerInput::LiveNodes(live.clone()));
        self.groups.set_live_nodes(now, live);
        self.report_proven_dead(now);
    }

    /// Reports to the group manager which known replicas are proven dead.
    fn report_proven_dead(&mut self, now: Time) {
        let by_records = self
            .groups
            .records()
            .flat_map(|record| record.members.iter());
        let by_routes = self
            .routes
            .values()
            .flat_map(|routes| routes.members.iter());
        let known: BTreeSet<Member> = by_records.chain(by_routes).copied().collect();
        let dead = known
            .into_iter()
            .filter(|member| self.membership.is_proven_dead(*member))
            .collect();
        self.group_manager
            .step(now, GroupManagerInput::ProvenDead(dead));
    }

    fn record(&mut self, now: Time, event: Event) {
        if let Event::NodeStatusChanged { node, live: false } = event {
            self.dispatcher
                .step(now, DispatcherInput::GatewayLost(node));
        }
        self.outputs.push(Output::Record(event));
    }

    fn pump_dissemination(&mut self, now: Time) -> bool {
        let outputs = self.dissemination.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                DisseminationOutput::Send { to, message } => {
                    self.send(to, PeerMessage::Dissemination(message));
                }
                DisseminationOutput::Updated { key, value, .. } => {
                    self.apply_item(now, key, &value.0);
                }
            }
        }
        any
    }

    /// Applies a newer item. Bytes that can't be decoded come from a node with another
    /// version of the program and are ignored.
    fn apply_item(&mut self, now: Time, key: ItemKey, value: &[u8]) {
        match key {
            ItemKey::Configuration => {
                if let Ok(configuration) = decode::<Configuration>(value) {
                    self.apply_configuration(now, configuration);
                }
            }
            ItemKey::GroupRecord(_) => {
                if let Ok(record) = decode::<GroupRecord>(value) {
                    self.apply_record(now, record);
                }
            }
            ItemKey::Routes(_) => {
                if let Ok(routes) = decode::<GroupRoutes>(value) {
                    self.apply_routes(now, routes);
                }
            }
        }
    }

    fn apply_configuration(&mut self, now: Time, configuration: Configuration) {
        let version = configuration.version;
        let configuration = Arc::new(configuration);
        self.configuration = configuration.clone();
        self.routes
            .retain(|group, _| configuration.service(group.service).is_some());
        self.dissemination.step(
            now,
            DisseminationInput::Configured {
                groups: configuration.groups().collect(),
                highest_service: configuration.highest_service,
            },
        );
        self.configuration_manager.step(
            now,
            ConfigurationManagerInput::Current(configuration.clone()),
        );
        self.group_manager
            .step(now, GroupManagerInput::Configuration(configuration.clone()));
        self.groups.apply_configuration(now, configuration.clone());
        self.gateway
            .step(now, GatewayInput::Configuration(configuration.clone()));
        self.dispatcher
            .step(now, DispatcherInput::Configuration(configuration));
        self.membership
            .step(now, MembershipInput::ConfigurationVersion(version));
        self.outputs
            .push(Output::Record(Event::ConfigurationApplied { version }));
    }

    fn apply_record(&mut self, now: Time, record: GroupRecord) {
        self.group_manager.step(
            now,
            GroupManagerInput::KnownMembers {
                group: record.group,
                epoch: record.epoch,
                members: record.members.0.clone(),
            },
        );
        self.groups.apply_record(now, record);
        self.report_proven_dead(now);
    }

    fn apply_routes(&mut self, now: Time, routes: GroupRoutes) {
        let routes = Arc::new(routes);
        let before = self.routes.insert(routes.group, routes.clone());
        let has_same_members = before.is_some_and(|before| before.members == routes.members);
        self.group_manager.step(
            now,
            GroupManagerInput::KnownMembers {
                group: routes.group,
                epoch: routes.version.epoch,
                members: routes.members.0.clone(),
            },
        );
        self.gateway.step(now, GatewayInput::Routes(routes.clone()));
        self.dispatcher.step(now, DispatcherInput::Routes(routes));
        // This iterates over the members of all groups. Most route changes affect only
        // owners, and changes of the nodes themselves trigger the report separately.
        if !has_same_members {
            self.report_proven_dead(now);
        }
    }

    fn pump_configuration_manager(&mut self, now: Time) -> bool {
        let outputs = self.configuration_manager.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                ConfigurationManagerOutput::CallPlatform { call, request } => {
                    self.call_platform(CallOwner::ConfigurationManager(call), request);
                }
                ConfigurationManagerOutput::Publish(configuration) => {
                    self.publish_configuration(now, &configuration);
                }
                ConfigurationManagerOutput::CommandFinished { ticket, result } => {
                    let ticket = TicketId(ticket);
                    self.outputs
                        .push(Output::CommandFinished { ticket, result });
                }
                ConfigurationManagerOutput::PlatformReachable(reachable) => {
                    self.platform_reachable = Some(reachable);
                    let event = Event::PlatformReachable { reachable };
                    self.outputs.push(Output::Record(event));
                }
                ConfigurationManagerOutput::InvalidObject { version, findings } => {
                    let findings = findings.iter().map(ToString::to_string).collect();
                    let version = version.0;
                    let event = Event::ConfigurationRefused { version, findings };
                    self.outputs.push(Output::Record(event));
                }
                ConfigurationManagerOutput::MachineList(machines) => {
                    self.membership
                        .step(now, MembershipInput::MachineList(machines));
                    self.report_proven_dead(now);
                }
            }
        }
        any
    }

    fn publish_configuration(&mut self, now: Time, configuration: &Configuration) {
        let version = FencingToken {
            revision: Revision(configuration.version.0),
            ..FencingToken::default()
        };
        self.publish(now, ItemKey::Configuration, version, encode(configuration));
    }

    fn publish(&mut self, now: Time, key: ItemKey, version: FencingToken, value: Vec<u8>) {
        self.dissemination.step(
            now,
            DisseminationInput::Publish {
                key,
                version,
                value: Bytes(value),
            },
        );
    }

    fn call_platform(&mut self, owner: CallOwner, request: PlatformCall) {
        let call = self.calls.open(owner);
        self.outputs.push(Output::CallPlatform { call, request });
    }

    fn pump_group_manager(&mut self, now: Time) -> bool {
        let outputs = self.group_manager.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                GroupManagerOutput::CallPlatform { call, request } => {
                    self.call_platform(CallOwner::GroupManager(call), request);
                }
                GroupManagerOutput::Publish(record) => self.publish_record(now, &record),
                GroupManagerOutput::SnapshotStored { group, revision } => {
                    self.groups
                        .step(now, group, GroupInput::SnapshotStored { revision });
                }
                GroupManagerOutput::Superseded { group, epoch } => {
                    self.groups.supersede(group, epoch);
                }
                GroupManagerOutput::Event(event) => self.record(now, event),
            }
        }
        any
    }

    fn publish_record(&mut self, now: Time, record: &GroupRecord) {
        let version = FencingToken {
            epoch: record.epoch,
            term: Term(0),
            revision: Revision(0),
        };
        let key = ItemKey::GroupRecord(record.group);
        self.publish(now, key, version, encode(record));
    }

    fn pump_groups(&mut self, now: Time) -> bool {
        let mut outputs: Vec<(GroupId, GroupOutput)> = Vec::new();
        for (group, replica) in self.groups.iter_mut() {
            outputs.extend(
                replica
                    .take_outputs()
                    .into_iter()
                    .map(|output| (group, output)),
            );
        }
        let any = !outputs.is_empty();
        for (group, output) in outputs {
            self.handle_group_output(now, group, output);
        }
        any
    }

    fn handle_group_output(&mut self, now: Time, group: GroupId, output: GroupOutput) {
        match output {
            GroupOutput::Send { to, message } => {
                let message = PeerMessage::Group {
                    group,
                    sender: self.settings.incarnation,
                    receiver: to.incarnation,
                    message,
                };
                self.send(to.node, message);
            }
            GroupOutput::Renew {
                server,
                address,
                sequence,
                renewal,
            } => {
                let call = self.calls.open(CallOwner::Group(group, sequence));
                self.outputs.push(Output::RenewLease {
                    call,
                    server,
                    address,
                    renewal,
                });
            }
            GroupOutput::Routes(routes) => {
                let key = ItemKey::Routes(group);
                self.publish(now, key, routes.version, encode(&routes));
            }
            GroupOutput::StoreSnapshot(record, revision) => {
                self.group_manager
                    .step(now, GroupManagerInput::StoreSnapshot { record, revision });
            }
            GroupOutput::OperationFinished { ticket, result } => {
                if let Some(requester) = self.operations.close(ticket) {
                    self.answer_operation(requester, result);
                }
            }
            GroupOutput::IdempotencyRecordDecided {
                owner,
                key,
                verdict,
            } => self.dispatcher.step(
                now,
                DispatcherInput::IdempotencyRecordDecided {
                    owner,
                    key,
                    verdict,
                },
            ),
            GroupOutput::Dispatch(servers) => self
                .dispatcher
                .step(now, DispatcherInput::Servers { group, servers }),
            GroupOutput::DispatchChanged(changed) => self
                .dispatcher
                .step(now, DispatcherInput::ServerChanged(changed)),
            GroupOutput::Event(event) => self.record(now, event),
        }
    }

    fn pump_gateway(&mut self, now: Time) -> bool {
        let outputs = self.gateway.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                GatewayOutput::Dispatch { to, message } => {
                    self.send_to_dispatcher(now, to, message);
                }
                GatewayOutput::Forward(forward) => self.outputs.push(Output::Forward(forward)),
                GatewayOutput::Cancel {
                    attempt,
                    server,
                    address,
                } => self.outputs.push(Output::CancelAttempt {
                    attempt,
                    server,
                    address,
                }),
                GatewayOutput::KeepAnswer(attempt) => {
                    self.outputs.push(Output::KeepAnswer(attempt));
                }
                GatewayOutput::ForgetAnswer(attempt) => {
                    self.outputs.push(Output::ForgetAnswer(attempt));
                }
                GatewayOutput::Respond {
                    request,
                    outcome,
                    attempt,
                    retry_after,
                } => self.outputs.push(Output::Respond {
                    request,
                    outcome,
                    attempt,
                    retry_after,
                }),
                GatewayOutput::Evidence {
                    group,
                    server,
                    failures,
                } => self.send_evidence(now, group, server, failures),
                GatewayOutput::Event(event) => self.record(now, event),
                GatewayOutput::Drained => self.shutdown.note_drained(),
            }
        }
        any
    }

    fn send_to_dispatcher(&mut self, now: Time, to: NodeId, message: DispatchRequest) {
        if to == self.settings.node {
            let from = to;
            self.dispatcher
                .step(now, DispatcherInput::Message { from, message });
        } else {
            self.send(to, PeerMessage::DispatchRequest(message));
        }
    }

    fn send_to_gateway(&mut self, now: Time, to: NodeId, message: DispatchReply) {
        if to == self.settings.node {
            let from = to;
            self.gateway
                .step(now, GatewayInput::Dispatch { from, message });
        } else {
            self.send(to, PeerMessage::DispatchReply(message));
        }
    }

    /// Sends a gateway's evidence to the group's leader.
    fn send_evidence(&mut self, now: Time, group: GroupId, server: ServerId, failures: u32) {
        let Some(leader) = self.routes.get(&group).map(|routes| routes.leader.node) else {
            return;
        };
        if leader == self.settings.node {
            let input = GroupInput::ServerEvidence { server, failures };
            self.groups.step(now, group, input);
            return;
        }
        let message = PeerMessage::ServerEvidence {
            group,
            server,
            failures,
        };
        self.send(leader, message);
    }

    /// Requests an idempotency record from the group. Without a replica on this node the
    /// record can't be created, so the request must not be executed.
    fn begin_idempotency_record(
        &mut self,
        now: Time,
        group: GroupId,
        owner: IdempotencyOwner,
        key: IdempotencyKey,
    ) {
        let input = GroupInput::BeginIdempotencyRecord { owner, key };
        if self.groups.step(now, group, input) {
            return;
        }
        let verdict = IdempotencyVerdict::Unavailable;
        self.dispatcher.step(
            now,
            DispatcherInput::IdempotencyRecordDecided {
                owner,
                key,
                verdict,
            },
        );
    }

    fn pump_dispatcher(&mut self, now: Time) -> bool {
        let outputs = self.dispatcher.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                DispatcherOutput::Reply { to, message } => self.send_to_gateway(now, to, message),
                DispatcherOutput::BeginIdempotencyRecord { group, owner, key } => {
                    self.begin_idempotency_record(now, group, owner, key);
                }
                DispatcherOutput::EndIdempotencyRecord {
                    group,
                    owner,
                    key,
                    state,
                } => {
                    let input = match state {
                        Some(state) => GroupInput::EndIdempotencyRecord { owner, key, state },
                        None => GroupInput::CancelIdempotencyRecord { owner, key },
                    };
                    self.groups.step(now, group, input);
                }
            }
        }
        any
    }
}
