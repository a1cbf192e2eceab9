//! A few nodes, servers and a platform in virtual time and in memory. Messages between
//! nodes are encoded and decoded.

use ledgelead_configuration::encode_configuration;
use ledgelead_core::*;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::configuration::*;
use ledgelead_types::platform::*;
use ledgelead_types::protections::Protections;
use ledgelead_types::request::RequestArrival;
use ledgelead_types::server::*;
use ledgelead_types::view::GroupView;
use ledgelead_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// One-way delay between any two processes.
const DELAY: Span = Span::from_millis(1);
/// Timeout of a watch on the platform.
const WATCH_TIMEOUT: Span = Span::from_seconds(5);
/// Maximum number of messages between nodes that are recorded.
const MAX_RECORDED_MESSAGES: usize = 2_000;
const SERVERS: u32 = 3;
pub const CREDENTIAL: &str = "1111111111111111111111111111111111111111111111111111111111111111";
pub const GROUP: GroupId = GroupId {
    service: ServiceId(1),
    part: 0,
};

enum Event {
    /// An input for one incarnation of a node's process.
    Input(NodeId, Incarnation, Input),
    Wake(NodeId),
    WatchTimeout(NodeId, CallId),
}

struct Node {
    core: NodeCore,
    incarnation: Incarnation,
    wake_at: Time,
}

#[derive(Default)]
struct Server {
    slices: List<GrantedSlice>,
    holding: FencingToken,
}

pub struct Cluster {
    pub now: Time,
    /// Outputs of the nodes for callers, operators and their process.
    pub outputs: Vec<(NodeId, Output)>,
    /// The first messages between nodes, in binary form.
    pub messages: Vec<Vec<u8>>,
    /// Nodes that are partitioned from all others.
    pub partitioned: BTreeSet<NodeId>,
    nodes: BTreeMap<NodeId, Node>,
    servers: BTreeMap<ServerId, Server>,
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    watches: Vec<(NodeId, CallId, Text)>,
    queue: BTreeMap<(Time, u64), Event>,
    next_event: u64,
}

pub fn node(number: u32) -> NodeId {
    NodeId(number)
}

fn address(node: NodeId) -> Text {
    Text(format!("10.0.0.{}:7000", node.0))
}

fn zone(node: NodeId) -> ZoneId {
    ZoneId((node.0 % 3) as u16 + 1)
}

fn configuration() -> Configuration {
    let zone = |id: u16| ZoneConfiguration {
        id: ZoneId(id),
        name: Text(format!("zone-{id}")),
        region: "region".into(),
    };
    let server = |id: u32| ServerConfiguration {
        id: ServerId(id),
        name: Text(format!("ledger-{id}")),
        service: GROUP.service,
        zone: ZoneId((id % 3) as u16 + 1),
        address: Text(format!("10.1.0.{id}:80")),
        slots: 4,
        max_connections: 100,
    };
    let service = ServiceConfiguration {
        id: GROUP.service,
        name: "ledger".into(),
        groups: 1,
        replicas: 3,
        slices_per_server: 4,
        default_deadline_ms: 2_000,
        ..ServiceConfiguration::default()
    };
    let tier = TierConfiguration {
        id: TierId(1),
        name: "gold".into(),
        weight: 1,
        guaranteed_percent: 0,
    };
    let caller = CallerConfiguration {
        id: CallerId(1),
        name: "caller".into(),
        credential_sha256: CREDENTIAL.into(),
        tier: TierId(1),
        ..CallerConfiguration::default()
    };
    Configuration {
        zones: (1..=3).map(zone).collect(),
        services: vec![service].into(),
        servers: (1..=SERVERS).map(server).collect(),
        tiers: vec![tier].into(),
        callers: vec![caller].into(),
        highest_service: GROUP.service,
        ..Configuration::default()
    }
}

impl Cluster {
    /// Starts nodes 1 to `nodes`.
    pub fn new(nodes: u32) -> Cluster {
        let stored = (ObjectVersion(1), encode_configuration(&configuration()));
        let mut cluster = Cluster {
            now: Time(1_000_000),
            outputs: Vec::new(),
            messages: Vec::new(),
            partitioned: BTreeSet::new(),
            nodes: BTreeMap::new(),
            servers: (1..=SERVERS)
                .map(|id| (ServerId(id), Server::default()))
                .collect(),
            objects: BTreeMap::from([(CONFIGURATION_OBJECT.to_owned(), stored)]),
            watches: Vec::new(),
            queue: BTreeMap::new(),
            next_event: 0,
        };
        for number in 1..=nodes {
            cluster.start(node(number), Incarnation(1));
        }
        cluster
    }

    /// A cluster with a group that has formed.
    pub fn formed(nodes: u32) -> Cluster {
        let mut cluster = Cluster::new(nodes);
        cluster.run(Span::from_seconds(5));
        cluster
    }

    /// Starts a node's process; it replaces the previous one.
    pub fn start(&mut self, id: NodeId, incarnation: Incarnation) {
        let seed = |number| SeedNode {
            node: node(number),
            address: address(node(number)),
        };
        let settings = NodeSettings {
            node: id,
            incarnation,
            zone: zone(id),
            address: address(id),
            seeds: (1..=3).map(seed).collect(),
            random_seed: u64::from(id.0) * 1_000 + incarnation.0,
            assigner: AssignerChoice::Planner,
            protections: Protections::default(),
        };
        let started = Node {
            core: NodeCore::new(settings, self.now),
            incarnation,
            wake_at: Time::ZERO,
        };
        self.nodes.insert(id, started);
        self.drain(id);
    }

    /// Ends a node's process.
    pub fn kill(&mut self, id: NodeId) {
        self.nodes.remove(&id);
    }

    /// Passes an input to a node at the current time.
    pub fn input(&mut self, id: NodeId, input: Input) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.core.step(self.now, input);
        }
        self.drain(id);
    }

    /// Sends a caller's request for a key.
    pub fn request(&mut self, id: NodeId, request: u64) {
        let arrival = RequestArrival {
            request: RequestId(request),
            service: "ledger".into(),
            key: Some(Bytes(request.to_le_bytes().to_vec())),
            credential_sha256: CREDENTIAL.into(),
            ..RequestArrival::default()
        };
        self.input(id, Input::RequestArrived(arrival));
    }

    /// The outcomes that the caller of a request received.
    pub fn outcomes(&self, wanted: u64) -> Vec<Outcome> {
        let received = self.outputs.iter().filter_map(|(_, output)| match output {
            Output::Respond {
                request, outcome, ..
            } if request.0 == wanted => Some(*outcome),
            _ => None,
        });
        received.collect()
    }

    /// The group, as seen by a node.
    pub fn group(&self, id: NodeId) -> GroupView {
        let view = self.nodes[&id].core.view(self.now);
        view.groups.into_iter().next().unwrap_or_default()
    }

    /// Nodes that consider themselves the group's leader.
    pub fn leaders(&self) -> Vec<NodeId> {
        let all = self.nodes.keys().copied();
        all.filter(|id| self.group(*id).leads).collect()
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(id, run, input) => {
                if self.nodes.get(&id).map(|node| node.incarnation) == Some(run) {
                    self.input(id, input);
                }
            }
            Event::Wake(id) => {
                let now = self.now;
                if let Some(node) = self.nodes.get_mut(&id)
                    && node.wake_at == now
                {
                    node.core.tick(now);
                    self.drain(id);
                }
            }
            Event::WatchTimeout(id, call) => {
                let open = |watch: &(NodeId, CallId, Text)| (watch.0, watch.1) == (id, call);
                if let Some(index) = self.watches.iter().position(open) {
                    self.watches.remove(index);
                    self.platform_replies(id, call, PlatformReply::Unchanged);
                }
            }
        }
    }

    fn drain(&mut self, id: NodeId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let outputs = node.core.take_outputs();
        let wakeup = node.core.next_wakeup().max(now + Span(1));
        if node.wake_at <= now || wakeup < node.wake_at {
            node.wake_at = wakeup;
            self.schedule(wakeup, Event::Wake(id));
        }
        for output in outputs {
            self.perform(id, output);
        }
    }

    /// Passes an input to the current incarnation of a node after a delay.
    fn schedule_input(&mut self, id: NodeId, after: Span, input: Input) {
        if let Some(node) = self.nodes.get(&id) {
            let run = node.incarnation;
            self.schedule(self.now + after, Event::Input(id, run, input));
        }
    }

    fn perform(&mut self, id: NodeId, output: Output) {
        match output {
            Output::SendPeer { to, message } => self.deliver(id, to, &message),
            Output::RenewLease {
                call,
                server,
                renewal,
                ..
            } => {
                let now = self.now;
                let renewed = self.servers.get_mut(&server);
                let reply = renewed.map(|server| server.renew(now, &renewal));
                let replied = Input::ServerReplied {
                    call,
                    server,
                    reply,
                };
                self.schedule_input(id, DELAY, replied);
            }
            Output::CallPlatform { call, request } => self.call_platform(id, call, request),
            Output::Forward(ref forward) => {
                let ended = Input::AttemptEnded {
                    attempt: forward.attempt,
                    result: AttemptResult::Answered { failure: false },
                    load: None,
                };
                self.schedule_input(id, DELAY, ended);
                self.outputs.push((id, output));
            }
            output => self.outputs.push((id, output)),
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: &PeerMessage) {
        let bytes = encode(message);
        let message = decode(&bytes).expect("a message that was sent decodes");
        if self.messages.len() < MAX_RECORDED_MESSAGES {
            self.messages.push(bytes);
        }
        if !self.partitioned.contains(&from) && !self.partitioned.contains(&to) {
            self.schedule_input(to, DELAY, Input::Peer { from, message });
        }
    }

    fn call_platform(&mut self, id: NodeId, call: CallId, request: PlatformCall) {
        let reply = match request {
            PlatformCall::Get { name } => self.object(&name),
            PlatformCall::Watch { name, after } => {
                let known = self.objects.get(&name.0);
                if known.is_none_or(|known| known.0 <= after) {
                    self.watches.push((id, call, name));
                    let timeout = Event::WatchTimeout(id, call);
                    self.schedule(self.now + WATCH_TIMEOUT, timeout);
                    return;
                }
                self.object(&name)
            }
            PlatformCall::CompareAndSwap {
                name,
                expected,
                value,
            } => self.swap(&name, expected, value),
            PlatformCall::ListMachines => {
                let entry = |id: &NodeId| MachineEntry {
                    node: *id,
                    zone: zone(*id),
                    address: address(*id),
                    state: MachineState::Live,
                };
                PlatformReply::Machines(self.nodes.keys().map(entry).collect())
            }
        };
        self.platform_replies(id, call, reply);
    }

    fn object(&self, name: &Text) -> PlatformReply {
        let object = self.objects.get(&name.0).cloned();
        object.map_or(PlatformReply::NotFound, |(version, value)| {
            PlatformReply::Object { version, value }
        })
    }

    fn swap(&mut self, name: &Text, expected: ObjectVersion, value: Bytes) -> PlatformReply {
        let version = self
            .objects
            .get(&name.0)
            .map_or_else(Default::default, |o| o.0);
        if version != expected {
            return PlatformReply::Conflict { version };
        }
        let version = ObjectVersion(version.0 + 1);
        self.objects.insert(name.0.clone(), (version, value));
        let watches = std::mem::take(&mut self.watches);
        let (woken, waiting) = watches.into_iter().partition(|watch| watch.2 == *name);
        self.watches = waiting;
        for (id, call, name) in woken {
            let reply = self.object(&name);
            self.platform_replies(id, call, reply);
        }
        PlatformReply::Swapped { version }
    }

    fn platform_replies(&mut self, id: NodeId, call: CallId, reply: PlatformReply) {
        let reply = Ok(reply);
        self.schedule_input(id, DELAY, Input::PlatformReplied { call, reply });
    }
}

impl Server {
    fn renew(&mut self, now: Time, renewal: &LeaseRenewal) -> RenewalReply {
        let verdict = match &renewal.slices {
            _ if renewal.echoed_stamp.is_none() => RenewalVerdict::StampOnly,
            Some(slices) => {
                self.slices = slices.clone();
                self.holding = renewal.unchanged_since;
                RenewalVerdict::Taken
            }
            None if self.holding == renewal.unchanged_since => RenewalVerdict::Taken,
            None => RenewalVerdict::SetUnknown,
        };
        let taken = verdict == RenewalVerdict::Taken;
        RenewalReply {
            stamp: now,
            run: 1,
            verdict,
            holding: self.holding,
            releasing: List::default(),
            held: if taken {
                List::default()
            } else {
                self.slices.clone()
            },
            load: LoadReport::default(),
            leaving: false,
        }
    }
}
