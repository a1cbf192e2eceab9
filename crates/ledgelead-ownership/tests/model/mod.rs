//! A few replicas and model servers in virtual time, connected by a network that delays and
//! loses messages. Every process has its own clock.

#![allow(dead_code)]

pub mod server;

use ledgelead_ownership::{
    GroupInput, GroupMessage, GroupOutput, GroupReplica, GroupReplicaSettings,
};
use ledgelead_types::administration::{CommandResult, GroupOperation};
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::configuration::*;
use ledgelead_types::dispatch::{IdempotencyOwner, IdempotencyVerdict, LiveNode};
use ledgelead_types::event::Event;
use ledgelead_types::protections::Protections;
use ledgelead_types::routes::{GroupRecord, GroupRoutes, ServerStatus};
use ledgelead_types::server::{LeaseRenewal, RenewalReply};
use ledgelead_types::timing::CLOCK_DRIFT_PPM;
use ledgelead_types::*;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use server::ModelServer;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const GROUP: GroupId = GroupId {
    service: ServiceId(1),
    part: 0,
};
const PPM: i128 = 1_000_000;
/// Number of positions at which ownership and availability are sampled.
const SAMPLES: u64 = 64;

/// A process's clock: its reading at real time zero, and its rate.
#[derive(Clone, Copy, Debug)]
struct Clock {
    offset: u64,
    drift_ppm: i128,
}

impl Clock {
    fn local(&self, time: Time) -> Time {
        let passed = i128::from(time.0) * (PPM + self.drift_ppm) / PPM;
        Time(self.offset + passed as u64)
    }

    /// The first real time at which the clock reads `local` or more.
    fn true_time(&self, local: Time) -> Time {
        let passed = i128::from(local.0.saturating_sub(self.offset));
        Time(((passed * PPM) / (PPM + self.drift_ppm)) as u64 + 1)
    }
}

#[derive(Clone, Debug)]
enum SimulationEvent {
    Deliver {
        to: Member,
        from: Member,
        bytes: Vec<u8>,
    },
    Call {
        server: ServerId,
        from: Member,
        sequence: u64,
        renewal: LeaseRenewal,
    },
    Answer {
        to: Member,
        server: ServerId,
        sequence: u64,
        reply: Option<RenewalReply>,
    },
    Wake(Member),
}

pub struct ModelNode {
    pub replica: GroupReplica,
    clock: Clock,
    pub zone: ZoneId,
    pub frozen_until: Time,
    wake_at: Time,
}

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss: f64,
    pub longest_delay: Span,
}

pub struct Cluster {
    pub now: Time,
    pub nodes: BTreeMap<Member, ModelNode>,
    pub servers: BTreeMap<ServerId, ModelServer>,
    server_clocks: BTreeMap<ServerId, Clock>,
    pub network: Network,
    /// Partitioned links, by node number; servers have numbers from 1000.
    pub partitions: Vec<(u32, u32)>,
    pub outputs: Vec<(Time, Member, GroupOutput)>,
    /// Bytes of messages between nodes, by sender.
    pub bytes_sent: BTreeMap<Member, u64>,
    /// Bytes of renewals and their replies, in binary form.
    pub renewal_bytes: u64,
    pub record: Option<GroupRecord>,
    /// Positions observed to be executable by two servers at once.
    pub violations: Vec<String>,
    /// Whether violations are checked. The cost grows with the square of the number of
    /// servers.
    pub checks_owners: bool,
    group: GroupId,
    voters: u32,
    queue: BTreeMap<(Time, u64), SimulationEvent>,
    next_event: u64,
    random: Pcg64Mcg,
    configuration: Arc<Configuration>,
    protections: Protections,
}

pub fn member(number: u32) -> Member {
    Member {
        node: NodeId(number),
        incarnation: Incarnation(u64::from(number) + 100),
    }
}

pub fn configuration(servers: u32, partitioning: Partitioning) -> Configuration {
    let service = ServiceConfiguration {
        id: GROUP.service,
        name: "vacantes".into(),
        partitioning,
        groups: 1,
        replicas: 3,
        slices_per_server: 4,
        balance: BalanceConfiguration {
            max_churn_percent_per_minute: 100.0,
            ..BalanceConfiguration::default()
        },
        ..ServiceConfiguration::default()
    };
    let server = |id: u32| ServerConfiguration {
        id: ServerId(id),
        service: GROUP.service,
        zone: ZoneId((id % 3) as u16),
        address: Text(format!("10.0.0.{id}:80")),
        slots: 2,
        max_connections: 100,
        ..ServerConfiguration::default()
    };
    Configuration {
        version: ConfigurationVersion(1),
        services: vec![service].into(),
        servers: (0..servers).map(server).collect(),
        ..Configuration::default()
    }
}

impl Cluster {
    /// Three replicas on nodes 0 to 2, followed by spare nodes.
    pub fn new(seed: u64, spares: u32, servers: u32, protections: Protections) -> Cluster {
        Cluster::with(
            seed,
            spares,
            configuration(servers, Partitioning::Hash),
            protections,
        )
    }

    pub fn with(
        seed: u64,
        spares: u32,
        configuration: Configuration,
        protections: Protections,
    ) -> Cluster {
        Cluster::of_group(GROUP, seed, spares, configuration, protections)
    }

    /// As many replicas as configured, followed by spare nodes.
    pub fn of_group(
        group: GroupId,
        seed: u64,
        spares: u32,
        configuration: Configuration,
        protections: Protections,
    ) -> Cluster {
        let voters = u32::from(configuration.services[0].replicas);
        let mut cluster = Cluster {
            now: Time::ZERO,
            nodes: BTreeMap::new(),
            servers: BTreeMap::new(),
            server_clocks: BTreeMap::new(),
            network: Network {
                loss: 0.0,
                longest_delay: Span::from_micros(1_500),
            },
            partitions: Vec::new(),
            outputs: Vec::new(),
            bytes_sent: BTreeMap::new(),
            renewal_bytes: 0,
            record: None,
            violations: Vec::new(),
            checks_owners: true,
            group,
            voters,
            queue: BTreeMap::new(),
            next_event: 0,
            random: Pcg64Mcg::new(u128::from(seed) << 64 | 0xcafe_f00d),
            configuration: Arc::new(configuration),
            protections,
        };
        let ids: Vec<ServerId> = cluster.configuration.servers.iter().map(|s| s.id).collect();
        for id in ids {
            let clock = cluster.draw_clock();
            cluster.server_clocks.insert(id, clock);
            cluster.servers.insert(id, ModelServer::new(id));
        }
        let record = cluster.first_record();
        for number in 0..voters + spares {
            cluster.start_node(member(number), record.clone());
        }
        cluster.announce_live_nodes();
        cluster
    }

    fn draw_clock(&mut self) -> Clock {
        // The drift bound applies between two clocks, so each may deviate by half of it.
        let half = CLOCK_DRIFT_PPM as i64 / 2 - 50;
        Clock {
            offset: self.random.random_range(1_000_000..1_000_000_000),
            drift_ppm: i128::from(self.random.random_range(-half..=half)),
        }
    }

    pub fn start_node(&mut self, identity: Member, record: GroupRecord) {
        let clock = self.draw_clock();
        let settings = GroupReplicaSettings {
            identity,
            record,
            random_seed: self.random.random(),
            protections: self.protections,
            assigner: AssignerChoice::Planner,
        };
        let local = clock.local(self.now);
        let replica = GroupReplica::new(settings, local).expect("a sound record");
        let node = ModelNode {
            replica,
            clock,
            zone: ZoneId((identity.node.0 % 3) as u16),
            frozen_until: Time::ZERO,
            wake_at: Time::ZERO,
        };
        self.nodes.insert(identity, node);
        let configuration = Arc::clone(&self.configuration);
        self.input(identity, GroupInput::Configuration(configuration));
    }

    pub fn announce_live_nodes(&mut self) {
        let live: Vec<LiveNode> = self
            .nodes
            .iter()
            .map(|(member, node)| LiveNode {
                member: *member,
                zone: node.zone,
            })
            .collect();
        for member in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.input(member, GroupInput::LiveNodes(live.clone()));
        }
    }

    /// Ends a node's process.
    pub fn kill_node(&mut self, member: Member) {
        self.nodes.remove(&member);
        self.announce_live_nodes();
    }

    pub fn leader(&self) -> Option<Member> {
        let leading = self.nodes.iter().filter(|(_, node)| node.replica.leads());
        let leading = leading.max_by_key(|(_, node)| node.replica.term());
        leading.map(|(member, _)| *member)
    }

    pub fn leader_routes(&self) -> Option<&GroupRoutes> {
        self.nodes[&self.leader()?].replica.routes()
    }

    pub fn server_local(&self, id: ServerId) -> Time {
        self.server_clocks[&id].local(self.now)
    }

    /// Passes an input to a node at the current time.
    pub fn input(&mut self, member: Member, input: GroupInput) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&member) {
            let local = node.clock.local(now);
            node.replica.step(local, input);
        }
        self.drain(member);
    }

    /// Runs until `condition` holds, for at most `span`. Returns whether it held.
    pub fn run_until(&mut self, span: Span, condition: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + span;
        loop {
            if condition(self) {
                return true;
            }
            let Some((&(at, event), _)) = self.queue.first_key_value() else {
                self.now = end;
                return condition(self);
            };
            if at > end {
                self.now = end;
                return condition(self);
            }
            let event = self.queue.remove(&(at, event)).expect("it is there");
            self.now = at.max(self.now);
            self.handle_event(event);
        }
    }

    pub fn run(&mut self, span: Span) {
        self.run_until(span, |_| false);
    }

    /// Sampled positions that no server would execute requests for.
    pub fn unserved(&self) -> Vec<Position> {
        let parts = u64::from(self.configuration.services[0].groups);
        let space = PositionRange::ALL.part(u64::from(self.group.part), parts);
        let step = (space.last.0 - space.first.0) / SAMPLES;
        let positions = 0..SAMPLES;
        let positions = positions.map(|index| Position(space.first.0 + index * step + step / 2));
        positions
            .filter(|position| !self.is_served(*position))
            .collect()
    }

    fn is_served(&self, position: Position) -> bool {
        self.servers.values().any(|server| {
            server.frozen_until <= self.now && server.serves(self.server_local(server.id), position)
        })
    }

    pub fn all_served(&self) -> bool {
        self.unserved().is_empty()
    }

    pub fn events(&self) -> impl Iterator<Item = (Time, &Event)> {
        self.outputs
            .iter()
            .filter_map(|(at, _, output)| match output {
                GroupOutput::Event(event) => Some((*at, event)),
                _ => None,
            })
    }

    fn schedule(&mut self, at: Time, event: SimulationEvent) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    /// When a message arrives; `None` if it is lost.
    fn arrival(&mut self, from: u32, to: u32) -> Option<Time> {
        let partitioned =
            self.partitions.contains(&(from, to)) || self.partitions.contains(&(to, from));
        if partitioned || self.random.random_bool(self.network.loss) {
            return None;
        }
        let shortest = 300;
        let delay = self
            .random
            .random_range(shortest..=self.network.longest_delay.0);
        Some(self.now + Span(delay))
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Deliver { to, from, bytes } => {
                if self.postponed(
                    to,
                    SimulationEvent::Deliver {
                        to,
                        from,
                        bytes: bytes.clone(),
                    },
                ) {
                    return;
                }
                let message: GroupMessage = decode(&bytes).expect("a message decodes");
                self.input(to, GroupInput::Message { from, message });
            }
            SimulationEvent::Call {
                server,
                from,
                sequence,
                renewal,
            } => {
                self.call_server(server, from, sequence, renewal);
            }
            SimulationEvent::Answer {
                to,
                server,
                sequence,
                reply,
            } => {
                let again = SimulationEvent::Answer {
                    to,
                    server,
                    sequence,
                    reply: reply.clone(),
                };
                if !self.postponed(to, again) {
                    self.input(
                        to,
                        GroupInput::ServerReplied {
                            server,
                            sequence,
                            reply,
                        },
                    );
                }
            }
            SimulationEvent::Wake(member) => self.wake(member),
        }
    }

    /// Reschedules an event of a frozen process to when it resumes. Returns whether the
    /// event must not be handled now.
    fn postponed(&mut self, member: Member, event: SimulationEvent) -> bool {
        let Some(node) = self.nodes.get(&member) else {
            return true;
        };
        let until = node.frozen_until;
        if until <= self.now {
            return false;
        }
        self.schedule(until, event);
        true
    }

    fn wake(&mut self, member: Member) {
        if self.postponed(member, SimulationEvent::Wake(member)) {
            return;
        }
        let now = self.now;
        let node = self.nodes.get_mut(&member).expect("not postponed");
        if node.wake_at > now {
            return;
        }
        let local = node.clock.local(now);
        node.replica.tick(local);
        self.drain(member);
    }

    fn call_server(&mut self, id: ServerId, from: Member, sequence: u64, renewal: LeaseRenewal) {
        let local = self.server_local(id);
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if !server.alive {
            return;
        }
        if server.frozen_until > now {
            let until = server.frozen_until;
            self.schedule(
                until,
                SimulationEvent::Call {
                    server: id,
                    from,
                    sequence,
                    renewal,
                },
            );
            return;
        }
        let reply = server.renew(local, &renewal);
        self.renewal_bytes += (encode(&renewal).len() + encode(&reply).len()) as u64;
        let reply = Some(reply);
        if self.checks_owners {
            self.check_single_owner();
        }
        if let Some(at) = self.arrival(server_link(id), from.node.0) {
            self.schedule(
                at,
                SimulationEvent::Answer {
                    to: from,
                    server: id,
                    sequence,
                    reply,
                },
            );
        }
    }

    /// Checks that no two servers can execute requests for the same position.
    fn check_single_owner(&mut self) {
        let executable: Vec<_> = self
            .servers
            .values()
            .map(|server| (server.id, server.executable(self.server_local(server.id))))
            .collect();
        for (index, (one, slices)) in executable.iter().enumerate() {
            for (other, others) in &executable[index + 1..] {
                let conflict = slices.iter().any(|slice| {
                    others
                        .iter()
                        .any(|other| other.range.overlaps(&slice.range))
                });
                if conflict {
                    let text = format!("{one} and {other} at {:?}", self.now);
                    self.violations.push(text);
                }
            }
        }
    }

    fn drain(&mut self, member: Member) {
        let Some(node) = self.nodes.get_mut(&member) else {
            return;
        };
        let outputs = node.replica.take_outputs();
        let wakeup = node
            .clock
            .true_time(node.replica.next_wakeup())
            .max(self.now);
        let due = node.wake_at <= self.now || wakeup < node.wake_at;
        if due {
            node.wake_at = wakeup;
            self.schedule(wakeup, SimulationEvent::Wake(member));
        }
        for output in outputs {
            self.perform(member, &output);
            if !matches!(output, GroupOutput::Send { .. } | GroupOutput::Renew { .. }) {
                self.outputs.push((self.now, member, output));
            }
        }
    }

    fn perform(&mut self, member: Member, output: &GroupOutput) {
        match output {
            GroupOutput::Send { to, message } => {
                let bytes = encode(message);
                *self.bytes_sent.entry(member).or_default() += bytes.len() as u64;
                // Some messages are duplicated.
                let copies = 1 + usize::from(self.random.random_bool(self.network.loss));
                for _ in 0..copies {
                    let (to, from, bytes) = (*to, member, bytes.clone());
                    if let Some(at) = self.arrival(from.node.0, to.node.0) {
                        self.schedule(at, SimulationEvent::Deliver { to, from, bytes });
                    }
                }
            }
            GroupOutput::Renew {
                server,
                sequence,
                renewal,
                ..
            } => {
                if let Some(at) = self.arrival(member.node.0, server_link(*server)) {
                    let call = SimulationEvent::Call {
                        server: *server,
                        from: member,
                        sequence: *sequence,
                        renewal: renewal.clone(),
                    };
                    self.schedule(at, call);
                }
            }
            GroupOutput::StoreSnapshot(record, revision) => {
                self.record = Some(record.clone());
                let stored = GroupInput::SnapshotStored {
                    revision: *revision,
                };
                self.input(member, stored);
            }
            _ => {}
        }
    }
}

/// The number of a server in [`Cluster::partitions`].
pub fn server_link(id: ServerId) -> u32 {
    1_000 + id.0
}

/// Helpers for tests.
impl Cluster {
    /// A group that has served every position for a while.
    pub fn formed(seed: u64, spares: u32, servers: u32) -> Cluster {
        let mut cluster = Cluster::new(seed, spares, servers, Protections::default());
        assert!(cluster.run_until(Span::from_seconds(3), Cluster::all_served));
        cluster.run(Span::from_millis(1_500));
        cluster
    }

    pub fn server(&mut self, id: u32) -> &mut ModelServer {
        self.servers.get_mut(&ServerId(id)).expect("it exists")
    }

    pub fn local(&self, member: Member, at: Time) -> Time {
        self.nodes[&member].clock.local(at)
    }

    pub fn member_on(&self, node: u32) -> Option<Member> {
        let mut members = self.nodes.keys().copied();
        members.find(|member| member.node.0 == node)
    }

    pub fn freeze_node(&mut self, node: u32, span: Span) {
        let until = self.now + span;
        if let Some(member) = self.member_on(node) {
            let frozen = self.nodes.get_mut(&member).expect("it lives");
            frozen.frozen_until = until;
            frozen.wake_at = until;
            self.schedule(until, SimulationEvent::Wake(member));
        }
    }

    /// Ends a node's process and starts its next incarnation, which has no state.
    pub fn restart_node(&mut self, member: Member) {
        let incarnation = Incarnation(member.incarnation.0 + 1_000);
        self.nodes.remove(&member);
        let settings = self.record.clone();
        let settings = settings.unwrap_or_else(|| self.first_record());
        let identity = Member {
            incarnation,
            ..member
        };
        self.start_node(identity, settings);
        self.announce_live_nodes();
    }

    /// Loses all replicas and starts a new epoch from the record, with new incarnations.
    pub fn rebuild(&mut self, mut record: GroupRecord) {
        self.nodes.clear();
        let renewed = |number: u32| Member {
            node: NodeId(number),
            incarnation: Incarnation(u64::from(number) + 5_000),
        };
        let members: Vec<Member> = (0..self.voters).map(renewed).collect();
        record.epoch = Epoch(record.epoch.0 + 1);
        record.members = members.clone().into();
        for member in members {
            self.start_node(member, record.clone());
        }
        self.announce_live_nodes();
    }

    pub fn partition_server(&mut self, id: ServerId) {
        let nodes: Vec<u32> = self.nodes.keys().map(|member| member.node.0).collect();
        self.partitions
            .extend(nodes.iter().map(|node| (server_link(id), *node)));
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.network = Network {
            loss: 0.0,
            longest_delay: Span::from_micros(1_500),
        };
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let asked = *self.nodes.keys().next().expect("nodes restart at once");
            let command_id = format!("heal-{id}");
            self.operate(asked, 1_000, &command_id, GroupOperation::Activate(id));
        }
    }

    /// Whether a majority of the voters is live, with the voters known to the live replica
    /// that has applied the most.
    pub fn quorum_lives(&self) -> bool {
        let known = self.nodes.values();
        let newest = known.max_by_key(|node| node.replica.state().applied);
        let voters = newest.map_or(&[][..], |node| node.replica.voters());
        let lives = |voter: &&Member| self.nodes.contains_key(voter);
        voters.iter().filter(lives).count() * 2 > voters.len()
    }

    pub fn operate(&mut self, node: Member, ticket: u64, id: &str, operation: GroupOperation) {
        let command_id = Text::from(id);
        self.input(
            node,
            GroupInput::Operate {
                ticket,
                command_id,
                operation,
            },
        );
    }

    pub fn operation_results(&self, wanted: u64) -> Vec<CommandResult> {
        let results = self
            .outputs
            .iter()
            .filter_map(|(_, _, output)| match output {
                GroupOutput::OperationFinished { ticket, result } if *ticket == wanted => {
                    Some(result)
                }
                _ => None,
            });
        results.cloned().collect()
    }

    pub fn begin_idempotency_record(
        &mut self,
        node: Member,
        request: u64,
        key: u64,
    ) -> IdempotencyOwner {
        let owner = IdempotencyOwner {
            gateway: node,
            request: RequestId(request),
        };
        self.input(
            node,
            GroupInput::BeginIdempotencyRecord {
                owner,
                key: IdempotencyKey(key),
            },
        );
        owner
    }

    pub fn idempotency_verdicts(&self, wanted: IdempotencyOwner) -> Vec<IdempotencyVerdict> {
        let verdicts = self
            .outputs
            .iter()
            .filter_map(|(_, _, output)| match output {
                GroupOutput::IdempotencyRecordDecided { owner, verdict, .. }
                    if *owner == wanted =>
                {
                    Some(*verdict)
                }
                _ => None,
            });
        verdicts.collect()
    }

    pub fn status(&self, id: ServerId) -> ServerStatus {
        let routes = self.leader_routes().expect("a leader");
        routes.server(id).expect("it is known").status
    }

    /// Published owners that a later version of the routes contradicts with another owner
    /// under the same token.
    pub fn lost_acknowledgements(&self) -> Vec<String> {
        let mut owners: BTreeMap<(FencingToken, Position), ServerId> = BTreeMap::new();
        let mut lost = Vec::new();
        for (at, _, output) in &self.outputs {
            let GroupOutput::Routes(routes) = output else {
                continue;
            };
            for slice in &routes.slices {
                let Some(owner) = slice.owner else {
                    continue;
                };
                let known = owners
                    .entry((slice.token, slice.range.first))
                    .or_insert(owner);
                if *known != owner {
                    lost.push(format!("{slice:?} had owner {known} before {at:?}"));
                }
            }
        }
        lost
    }

    pub fn first_record(&self) -> GroupRecord {
        GroupRecord {
            group: self.group,
            epoch: Epoch(1),
            members: (0..self.voters).map(member).collect(),
            snapshot: Bytes::default(),
        }
    }
}
