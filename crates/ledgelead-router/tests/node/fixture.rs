//! One node with a store that answers lists and writes at once, and instances
//! that answer when a test says so.

use crate::support::headers;
use googletest::prelude::*;
use ledgelead_http::{Request, Response};
use ledgelead_router::Timestamp;
use ledgelead_router::configuration::{
    ClientLimits, Configuration, Repeatability, Route, RouteTarget, Service,
};
use ledgelead_router::dialect::{
    Dialect, HeaderNames, Object, ObjectContent, ObjectEvent, ObjectKind, Order, OrderAnswer,
    StoreAnswer, StoreCall, WrittenContent,
};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::identity::{InstanceId, NodeIdentity, NodeName, ServiceName, ZoneName};
use ledgelead_router::io::{Action, ClientId, ExchangeFailure, ExchangeId, ExchangeOptions, Input};
use ledgelead_router::mechanisms::Mechanisms;
use ledgelead_router::node::Node;
use ledgelead_router::ownership::record::{Assignment, OwnershipRecord};
use ledgelead_router::peers::{Datagram, NodeRecord, PeerMessage, decode, encode};
use ledgelead_router::protections::Protections;
use ledgelead_router::requests::{BudgetBounds, ColdBound};
use ledgelead_router::settings::{DEFAULT_LINK_BYTES_PER_S, NodeSettings};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The service without keys.
pub const SERVICE: &str = "jobs";
/// The service whose keys have owners.
pub const KEYED: &str = "records";

/// Where clients connect from.
pub const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 3, 1));

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Objects by their kinds and names.
type Objects = BTreeMap<(ObjectKind, String), Object>;

/// The store's state at a time.
pub struct Copy {
    revision: u64,
    objects: Objects,
    gone: Vec<(ObjectKind, Object)>,
}

/// What the store holds, with one revision for each object.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub objects: Objects,
    /// Objects that were removed, at the revisions at which they went.
    gone: Vec<(ObjectKind, Object)>,
    /// Whether all calls are refused.
    pub refuses: bool,
    /// Whether answers are kept back until `Fixture::deliver`.
    pub is_slow: bool,
    /// Whether the changes of the past are forgotten.
    pub forgets: bool,
    /// Whether a watch is answered at once if there are changes.
    pub answers_changes: bool,
    /// Most objects of one page of a list, if there is a bound.
    pub page: Option<usize>,
    /// The era that answers name, if they do.
    pub era: Option<String>,
    /// What lists hold that may be stale, with its revision, if they lag.
    stale: Option<(u64, Objects)>,
}

impl Store {
    pub fn put(&mut self, kind: ObjectKind, name: &str, content: ObjectContent) -> Object {
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            content: Ok(content),
        };
        self.objects.insert((kind, name.to_owned()), object.clone());
        object
    }

    /// The state, to come back to.
    pub fn copy(&self) -> Copy {
        Copy {
            revision: self.revision,
            objects: self.objects.clone(),
            gone: self.gone.clone(),
        }
    }

    /// The store comes back from a copy, in another era.
    pub fn restore(&mut self, copy: Copy, era: u64) {
        self.revision = copy.revision;
        self.objects = copy.objects;
        self.gone = copy.gone;
        self.era = Some(era.to_string());
    }

    /// The response that carries an answer by its number.
    fn carried(&self, number: u64) -> Response {
        let mut response = Response::new(200, number.to_string());
        if let Some(era) = &self.era {
            response.headers.push("store-era", era.as_str());
        }
        response
    }

    /// Lists that may be stale know nothing of what changes from now on.
    pub fn stale_lists_end_here(&mut self) {
        self.stale = Some((self.revision, self.objects.clone()));
    }

    /// Another writer replaces an object, or makes one, by what can't be read.
    pub fn spoil(&mut self, kind: ObjectKind, name: &str) {
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            content: Err("missing field `service`".to_owned()),
        };
        self.objects.insert((kind, name.to_owned()), object);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: ObjectKind, name: &str) {
        self.revision += 1;
        let object = self.objects.remove(&(kind, name.to_owned()));
        let revision = self.revision;
        let object = object.expect("it is there");
        self.gone.push((kind, Object { revision, ..object }));
    }

    /// Removes all objects of a kind.
    pub fn remove_all(&mut self, kind: ObjectKind) {
        let names = self.objects.keys().filter(|(of, _)| *of == kind);
        for name in names.cloned().collect::<Vec<_>>() {
            self.revision += 1;
            let object = self.objects.remove(&name).expect("it is there");
            let revision = self.revision;
            self.gone.push((kind, Object { revision, ..object }));
        }
    }

    pub fn configure(&mut self, configuration: Configuration) {
        let content = ObjectContent::Configuration(configuration);
        self.put(ObjectKind::Configuration, "main", content);
    }

    pub fn add_instance(&mut self, record: InstanceRecord) {
        let name = record.id.to_string();
        self.put(
            ObjectKind::Instances,
            &name,
            ObjectContent::Instance(record),
        );
    }

    pub fn add_node(&mut self, record: NodeRecord) {
        let name = record.identity.node.to_string();
        self.put(ObjectKind::Nodes, &name, ObjectContent::Node(record));
    }

    pub fn own(&mut self, record: OwnershipRecord) {
        self.put(
            ObjectKind::Ownership,
            "record",
            ObjectContent::Ownership(record),
        );
    }

    /// The record names no coordinator.
    pub fn vacate(&mut self) {
        self.own(OwnershipRecord {
            epoch: 4,
            coordinator: None,
            next_fence: 9,
            ..OwnershipRecord::default()
        });
    }

    /// The revision of an object.
    pub fn revision_of(&self, kind: ObjectKind, name: &str) -> Option<u64> {
        let object = self.objects.get(&(kind, name.to_owned()));
        object.map(|object| object.revision)
    }

    fn answer(&mut self, call: &StoreCall) -> Option<StoreAnswer> {
        if self.refuses {
            return Some(StoreAnswer::Refused);
        }
        match (call, &self.stale) {
            (StoreCall::List { kind, stale, .. }, Some((revision, objects))) if *stale => {
                let of_kind = objects.iter().filter(|((of, _), _)| of == kind);
                return Some(StoreAnswer::Objects {
                    objects: of_kind.map(|(_, object)| object.clone()).collect(),
                    more: false,
                    revision: *revision,
                });
            }
            _ => {}
        }
        match call {
            StoreCall::List { kind, after, .. } => Some(self.listed(*kind, after.as_deref())),
            StoreCall::Watch { revision, .. } if self.forgets && *revision < self.revision => {
                Some(StoreAnswer::HistoryLost)
            }
            StoreCall::Watch { revision, .. }
                if self.era.is_some() && *revision > self.revision =>
            {
                Some(StoreAnswer::HistoryLost)
            }
            // A watch that hardly waits only asks how things are.
            StoreCall::Watch {
                kind,
                revision,
                wait,
            } if *wait <= ms(50) => Some(StoreAnswer::Events {
                events: match self.answers_changes {
                    true => self.changes(*kind, *revision),
                    false => Vec::new(),
                },
                revision: self.revision,
            }),
            StoreCall::Watch { kind, revision, .. } if self.answers_changes => {
                let events = self.changes(*kind, *revision);
                (!events.is_empty()).then_some(StoreAnswer::Events {
                    events,
                    revision: self.revision,
                })
            }
            StoreCall::Watch { .. } => None,
            StoreCall::Create { name, content } => {
                let known = self.objects.contains_key(&(content.kind(), name.clone()));
                Some(if known {
                    StoreAnswer::Conflict
                } else {
                    self.write(name, content)
                })
            }
            StoreCall::Replace {
                name,
                revision,
                content,
            } => {
                let known = self.objects.get(&(content.kind(), name.clone()));
                Some(match known {
                    None => StoreAnswer::Missing,
                    Some(object) if revision.is_some_and(|wanted| wanted != object.revision) => {
                        StoreAnswer::Conflict
                    }
                    Some(_) => self.write(name, content),
                })
            }
        }
    }

    /// A page of a list, after a name.
    fn listed(&self, kind: ObjectKind, after: Option<&str>) -> StoreAnswer {
        let mut objects = self.of_kind(kind);
        objects.retain(|object| after.is_none_or(|after| object.name.as_str() > after));
        let page = self.page.unwrap_or(usize::MAX);
        let more = objects.len() > page;
        objects.truncate(page);
        StoreAnswer::Objects {
            objects,
            more,
            revision: self.revision,
        }
    }

    /// The version of the configuration; 0 without one.
    pub fn version(&self) -> u64 {
        match self.of_kind(ObjectKind::Configuration).pop() {
            Some(Object {
                content: Ok(ObjectContent::Configuration(configuration)),
                ..
            }) => configuration.version,
            _ => 0,
        }
    }

    fn changes(&self, kind: ObjectKind, since: u64) -> Vec<ObjectEvent> {
        let of_kind = self.gone.iter().filter(|(of, _)| *of == kind);
        let gone = of_kind.map(|(_, object)| (object.clone(), true));
        let present = self.of_kind(kind).into_iter().map(|object| (object, false));
        let all = gone.chain(present);
        all.filter(|(object, _)| object.revision > since)
            .map(|(object, gone)| ObjectEvent { object, gone })
            .collect()
    }

    fn of_kind(&self, kind: ObjectKind) -> Vec<Object> {
        let of_kind = self.objects.iter().filter(|((of, _), _)| *of == kind);
        of_kind.map(|(_, object)| object.clone()).collect()
    }

    fn write(&mut self, name: &str, content: &WrittenContent) -> StoreAnswer {
        let kind = content.kind();
        let content = match content {
            WrittenContent::Ownership(record) => ObjectContent::Ownership(record.clone()),
            WrittenContent::Node(record) => ObjectContent::Node(record.clone()),
            WrittenContent::Quarantine(record) => ObjectContent::Quarantine(record.clone()),
        };
        StoreAnswer::Written(self.put(kind, name, content))
    }
}

/// Typed calls and answers of a node, by number.
#[derive(Default)]
struct Mailbox {
    last: u64,
    calls: HashMap<u64, StoreCall>,
    answers: HashMap<u64, StoreAnswer>,
}

struct TypedDialect {
    headers: HeaderNames,
    mailbox: Rc<RefCell<Mailbox>>,
}

impl Dialect for TypedDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn store_request(&self, call: &StoreCall) -> Request {
        let mut mailbox = self.mailbox.borrow_mut();
        mailbox.last += 1;
        let number = mailbox.last;
        mailbox.calls.insert(number, call.clone());
        Request::new("GET", number.to_string(), Vec::new())
    }

    fn store_answer(&self, _call: &StoreCall, response: &Response) -> StoreAnswer {
        let number = std::str::from_utf8(&response.body).expect("a number");
        let number: u64 = number.parse().expect("a number");
        let answer = self.mailbox.borrow_mut().answers.remove(&number);
        answer.expect("an answer of this number")
    }

    fn order_request(&self, _instance: &InstanceId, _order: &Order) -> Request {
        Request::new("POST", "order", Vec::new())
    }

    fn order_answer(&self, _instance: &InstanceId, _response: &Response) -> OrderAnswer {
        OrderAnswer::Done { handover: None }
    }
}

/// An attempt that is out.
#[derive(Debug)]
pub struct Sent {
    pub exchange: ExchangeId,
    pub address: SocketAddr,
    /// The path of a client's request, or the mark of an order.
    pub target: String,
    pub body: Vec<u8>,
    pub at: Timestamp,
    /// How it is carried out; nothing of a probe.
    pub options: Option<ExchangeOptions>,
}

/// A node and what it has done.
pub struct Fixture {
    pub node: Node,
    pub store: Store,
    pub now: Timestamp,
    mailbox: Rc<RefCell<Mailbox>>,
    store_address: SocketAddr,
    /// Every call of the store, with its time.
    pub calls: Vec<(Timestamp, StoreCall)>,
    /// Every datagram, with its time and receiver.
    pub datagrams: Vec<(Timestamp, SocketAddr, PeerMessage)>,
    /// Attempts at instances.
    pub attempts: Vec<Sent>,
    /// Connections that were opened to see whether somebody listens.
    pub probes: Vec<Sent>,
    /// Watches that wait, with the numbers of their calls.
    watches: Vec<(ExchangeId, u64, StoreCall)>,
    /// Answers of the store that are on their way.
    on_the_way: Vec<(StoreCall, Input)>,
    /// Answers to clients.
    pub answers: Vec<(ClientId, Response)>,
    last_client: u64,
}

/// An instance's whole answer to a request that went well.
pub fn success() -> Response {
    let mut response = Response::new(200, "done");
    response.headers.push("signature", "s");
    response
}

/// The address of the node with this number.
pub fn node_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// The registration of a node in the zone of the fixture's node.
pub fn node_record(number: u8) -> NodeRecord {
    NodeRecord {
        identity: NodeIdentity {
            node: NodeName::from(format!("node-{number:03}").as_str()),
            incarnation: 1,
        },
        zone: ZoneName::from("a"),
        address: node_address(number),
        millicores: 200,
    }
}

/// An instance in the zone of the fixture's node.
pub fn instance(number: u8, service: &str) -> InstanceRecord {
    InstanceRecord {
        id: InstanceId::from(format!("i-{number}").as_str()),
        service: ServiceName::from(service),
        address: SocketAddr::from(([10, 0, 1, number], 8_000)),
        zone: ZoneName::from("a"),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
    }
}

/// A record by which an instance owns all keys of the service that has some.
pub fn all_keys_of(owner: &str, coordinator: u8) -> OwnershipRecord {
    OwnershipRecord {
        epoch: 4,
        coordinator: Some(node_record(coordinator).identity),
        next_fence: 9,
        assignments: vec![Assignment {
            service: ServiceName::from(KEYED),
            first: 0,
            last: u16::MAX,
            owner: InstanceId::from(owner),
            fence: 3,
        }],
        ..OwnershipRecord::default()
    }
}

/// Instances 1 and 2 without keys, 3 and 4 with keys, two nodes; nobody owns a key.
pub fn vacant_store() -> Store {
    let mut store = Store::default();
    store.configure(configuration(1));
    for number in 1..=4 {
        let service = if number <= 2 { SERVICE } else { KEYED };
        store.add_instance(instance(number, service));
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store.vacate();
    store
}

/// Instances 1 and 2 without keys, instance 3 as the owner of all keys, three nodes.
pub fn owned_store(configuration: Configuration) -> Store {
    let mut store = Store::default();
    store.configure(configuration);
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, SERVICE));
    store.add_instance(instance(3, KEYED));
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store.own(all_keys_of("i-3", 1));
    store
}

/// A configuration with a route to each service.
pub fn configuration(version: u64) -> Configuration {
    let route = |name: &str| {
        Arc::new(Route {
            name: name.to_owned(),
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
            targets: vec![RouteTarget {
                service: ServiceName::from(name),
                weight: 1.0,
            }],
            repeatability: Repeatability::Idempotent,
            timeout: ms(2_000),
            target_latency: ms(400),
            max_attempts: 2,
            priority: 1,
        })
    };
    let service = |name: &str, sharded| Service {
        name: ServiceName::from(name),
        sharded,
        max_connections: 100,
        cold_rate: None,
    };
    Configuration {
        version,
        routes: vec![route(SERVICE), route(KEYED)],
        services: vec![service(SERVICE, false), service(KEYED, true)],
        limits: ClientLimits::default(),
    }
}

impl Fixture {
    /// The node with number 0 in its first life, before its first step.
    pub fn new(store: Store) -> Fixture {
        Fixture::with_mechanisms(store, Mechanisms::default())
    }

    /// The same with some mechanism off.
    pub fn with_mechanisms(store: Store, mechanisms: Mechanisms) -> Fixture {
        let settings = NodeSettings {
            mechanisms,
            ..Fixture::settings()
        };
        Fixture::with_settings(store, settings)
    }

    /// The settings of a fixture's node.
    pub fn settings() -> NodeSettings {
        let record = node_record(0);
        NodeSettings {
            identity: record.identity,
            zone: record.zone,
            peer_address: record.address,
            store_address: SocketAddr::from(([10, 0, 2, 0], 9_000)),
            millicores: record.millicores,
            retry_budget: BudgetBounds {
                ratio: 0.2,
                slack: 60.0,
                window: Duration::from_secs(10),
            },
            drain_bound: Duration::from_secs(2),
            configuration_bound: Duration::from_secs(2),
            evacuation_bound: Some(Duration::from_secs(5)),
            cold_bound: ColdBound::default(),
            stop_grace: Duration::from_secs(6),
            memory_limit: None,
            link_bytes_per_s: DEFAULT_LINK_BYTES_PER_S,
            seed: 7,
            protections: Protections::default(),
            mechanisms: Mechanisms::default(),
        }
    }

    /// A node with other settings.
    pub fn with_settings(store: Store, settings: NodeSettings) -> Fixture {
        let mailbox = Rc::<RefCell<Mailbox>>::default();
        let dialect = TypedDialect {
            headers: headers(),
            mailbox: mailbox.clone(),
        };
        let store_address = settings.store_address;
        Fixture {
            node: Node::new(settings, Box::new(dialect), Duration::ZERO),
            store,
            now: Duration::ZERO,
            mailbox,
            store_address,
            calls: Vec::new(),
            datagrams: Vec::new(),
            attempts: Vec::new(),
            probes: Vec::new(),
            watches: Vec::new(),
            on_the_way: Vec::new(),
            answers: Vec::new(),
            last_client: 0,
        }
    }

    /// The node as coordinator of a store that has none.
    pub fn coordinating(store: Store) -> Fixture {
        let mut fixture = Fixture::new(store);
        fixture.run_until(ms(3_000));
        expect_that!(fixture.node.coordinator().is_some(), eq(true));
        fixture
    }

    /// Passes an input to the node and carries out what it wants.
    pub fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut actions = Vec::new();
            self.node.step(input, self.now, &mut actions);
            for action in actions {
                inputs.extend(self.perform(action));
            }
        }
    }

    /// Lets time pass, with a step at each of the node's deadlines.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.node.next_deadline() <= end {
            self.now = self.now.max(self.node.next_deadline());
            self.step(Input::Deadline);
        }
        self.now = end;
    }

    /// Another node sends a message.
    pub fn receive(&mut self, from: SocketAddr, message: &PeerMessage) {
        let Datagram { bytes, .. } = encode(message);
        self.step(Input::Datagram {
            from,
            bytes: bytes.to_vec(),
        });
    }

    /// The store answers the newest watch of a kind with all objects that have
    /// changed since.
    pub fn change_watched(&mut self, kind: ObjectKind) {
        let position = self.watches.iter().rposition(
            |(_, _, call)| matches!(call, StoreCall::Watch { kind: watched, .. } if *watched == kind),
        );
        let (exchange, number, call) = self.watches.remove(position.expect("a watch waits"));
        let StoreCall::Watch { revision, .. } = call else {
            return;
        };
        let answer = StoreAnswer::Events {
            events: self.store.changes(kind, revision),
            revision: self.store.revision,
        };
        self.mailbox.borrow_mut().answers.insert(number, answer);
        self.end(exchange, Ok(self.store.carried(number)));
    }

    /// The store answers the newest watch of a kind that its history is lost, and
    /// the list that follows.
    pub fn lose_history(&mut self, kind: ObjectKind) {
        let position = self.watches.iter().rposition(
            |(_, _, call)| matches!(call, StoreCall::Watch { kind: watched, .. } if *watched == kind),
        );
        let (exchange, number, _) = self.watches.remove(position.expect("a watch waits"));
        let lost = StoreAnswer::HistoryLost;
        self.mailbox.borrow_mut().answers.insert(number, lost);
        self.end(exchange, Ok(self.store.carried(number)));
        self.run_until(self.now + ms(500));
    }

    /// The store answers all watches that wait.
    pub fn answer_watches(&mut self) {
        for (exchange, number, call) in std::mem::take(&mut self.watches) {
            let StoreCall::Watch { kind, revision, .. } = call else {
                continue;
            };
            let answer = match revision > self.store.revision {
                true => StoreAnswer::HistoryLost,
                false => StoreAnswer::Events {
                    events: self.store.changes(kind, revision),
                    revision: self.store.revision,
                },
            };
            self.mailbox.borrow_mut().answers.insert(number, answer);
            self.end(exchange, Ok(self.store.carried(number)));
        }
    }

    /// Answers of a slow store arrive.
    pub fn deliver(&mut self) {
        self.deliver_all_but(|_| false);
    }

    /// Answers of a slow store arrive, but for those to some calls.
    pub fn deliver_all_but(&mut self, stays: impl Fn(&StoreCall) -> bool) {
        for (call, input) in std::mem::take(&mut self.on_the_way) {
            if stays(&call) {
                self.on_the_way.push((call, input));
            } else {
                self.step(input);
            }
        }
    }

    /// A client asks the service, perhaps for a key.
    pub fn ask(&mut self, service: &str, key: Option<u16>) -> ClientId {
        self.upload(service, key, 0)
    }

    /// The same with a body.
    pub fn upload(&mut self, service: &str, key: Option<u16>, body_bytes: usize) -> ClientId {
        self.upload_within(service, key, body_bytes, None)
    }

    /// The same of a client that perhaps leaves after a time.
    pub fn upload_within(
        &mut self,
        service: &str,
        key: Option<u16>,
        body_bytes: usize,
        deadline: Option<Duration>,
    ) -> ClientId {
        self.last_client += 1;
        let client = ClientId(self.last_client);
        let mut request = Request::new("GET", format!("/{service}/1"), vec![0; body_bytes]);
        request.headers.push("host", "h");
        let attempt = format!("request-{}", self.last_client);
        request.headers.push("attempt", attempt);
        if let Some(key) = key {
            request.headers.push("key", key.to_string());
        }
        if let Some(deadline) = deadline {
            let deadline = deadline.as_millis().to_string();
            request.headers.push("deadline", deadline);
        }
        self.step(Input::Request {
            client,
            source: CALLER,
            request,
        });
        client
    }

    /// An instance answers an attempt.
    pub fn answer(&mut self, exchange: ExchangeId, response: Response) {
        self.end(exchange, Ok(response));
    }

    /// An attempt ends.
    pub fn end(&mut self, exchange: ExchangeId, result: Result<Response, ExchangeFailure>) {
        self.step(Input::ExchangeEnded {
            exchange,
            result,
            idle_for: Duration::ZERO,
        });
    }

    /// The owner of a key, by the record in the store.
    pub fn owner_of(&self, key: u16) -> Option<InstanceId> {
        let name = "record".to_owned();
        let object = self.store.objects.get(&(ObjectKind::Ownership, name))?;
        match &object.content {
            Ok(ObjectContent::Ownership(record)) => {
                let assignment = record.find(&ServiceName::from(KEYED), key)?;
                Some(assignment.owner.clone())
            }
            _ => None,
        }
    }

    /// Messages of a kind that were sent so far.
    pub fn sent(&self, kind: &str) -> usize {
        let of_kind =
            |(_, _, message): &&(Timestamp, SocketAddr, PeerMessage)| message.kind() == kind;
        self.datagrams.iter().filter(of_kind).count()
    }

    fn perform(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::Respond { client, response } => {
                self.answers.push((client, response));
                None
            }
            Action::Datagram { address, datagram } => {
                let message = decode(&datagram.bytes).expect("a message");
                self.datagrams.push((self.now, address, message));
                None
            }
            Action::Cancel { .. } => None,
            Action::Probe {
                exchange, address, ..
            } => {
                self.probes.push(Sent {
                    exchange,
                    address,
                    target: String::new(),
                    body: Vec::new(),
                    at: self.now,
                    options: None,
                });
                None
            }
            Action::Exchange {
                exchange,
                address,
                request,
                ..
            } if address == self.store_address => self.call_store(exchange, &request),
            Action::Exchange {
                exchange,
                address,
                request,
                options,
            } => {
                self.attempts.push(Sent {
                    exchange,
                    address,
                    target: request.target,
                    body: request.body,
                    at: self.now,
                    options: Some(options),
                });
                None
            }
        }
    }

    fn call_store(&mut self, exchange: ExchangeId, request: &Request) -> Option<Input> {
        let number: u64 = request.target.parse().expect("a number");
        let call = self.mailbox.borrow_mut().calls.remove(&number);
        let call = call.expect("a call of this number");
        self.calls.push((self.now, call.clone()));
        let Some(answer) = self.store.answer(&call) else {
            self.watches.push((exchange, number, call));
            return None;
        };
        self.mailbox.borrow_mut().answers.insert(number, answer);
        let input = Input::ExchangeEnded {
            exchange,
            result: Ok(self.store.carried(number)),
            idle_for: Duration::ZERO,
        };
        if self.store.is_slow {
            self.on_the_way.push((call, input));
            return None;
        }
        Some(input)
    }
}
