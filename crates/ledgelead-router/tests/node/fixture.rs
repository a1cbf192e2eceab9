//! A single node with a simulated store, which answers lists and writes immediately, and
//! simulated instances, whose answers each test gives itself.

use crate::support::headers;
use googletest::prelude::*;
use ledgelead_http::{Headers, Request, Response};
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

/// The address of clients.
pub const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 3, 1));

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Objects by kind and name.
type Objects = BTreeMap<(ObjectKind, String), Object>;

/// A copy of the store's state.
pub struct StoreCopy {
    revision: u64,
    objects: Objects,
    removed: Vec<(ObjectKind, Object)>,
}

/// The simulated store. Each object has a revision of its own.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub objects: Objects,
    /// Removed objects with the revision of their removal.
    removed: Vec<(ObjectKind, Object)>,
    /// Whether all calls are refused.
    pub refuses_calls: bool,
    /// Whether answers are held back until `Fixture::deliver_answers`.
    pub is_slow: bool,
    /// Whether the history of changes before the current revision is lost.
    pub has_lost_history: bool,
    /// Whether a watch is answered immediately if there are changes.
    pub answers_changes: bool,
    /// Maximum number of objects in a page of a list, if limited.
    pub page: Option<usize>,
    /// The era named in answers, if any.
    pub era: Option<String>,
    /// State and revision returned by stale lists, if they lag behind.
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

    /// A copy of the state, for a later `restore`.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            objects: self.objects.clone(),
            removed: self.removed.clone(),
        }
    }

    /// Restores the store from a copy, in another era.
    pub fn restore(&mut self, copy: StoreCopy, era: u64) {
        self.revision = copy.revision;
        self.objects = copy.objects;
        self.removed = copy.removed;
        self.era = Some(era.to_string());
    }

    /// The response for the answer with this number.
    fn response_with(&self, number: u64) -> Response {
        let mut response = Response::new(200, number.to_string());
        if let Some(era) = &self.era {
            response.headers.push("store-era", era.as_str());
        }
        response
    }

    /// Stale lists don't show any later changes.
    pub fn freeze_stale_lists(&mut self) {
        self.stale = Some((self.revision, self.objects.clone()));
    }

    /// Another writer creates or replaces an object with unreadable content.
    pub fn put_unreadable(&mut self, kind: ObjectKind, name: &str) {
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
        self.removed.push((kind, Object { revision, ..object }));
    }

    /// Removes all objects of a kind.
    pub fn remove_all(&mut self, kind: ObjectKind) {
        let names = self.objects.keys().filter(|(of, _)| *of == kind);
        for name in names.cloned().collect::<Vec<_>>() {
            self.revision += 1;
            let object = self.objects.remove(&name).expect("it is there");
            let revision = self.revision;
            self.removed.push((kind, Object { revision, ..object }));
        }
    }

    pub fn put_configuration(&mut self, configuration: Configuration) {
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

    pub fn put_ownership(&mut self, record: OwnershipRecord) {
        self.put(
            ObjectKind::Ownership,
            "record",
            ObjectContent::Ownership(record),
        );
    }

    /// Writes a record without a coordinator.
    pub fn clear_coordinator(&mut self) {
        self.put_ownership(OwnershipRecord {
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
        if self.refuses_calls {
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
            StoreCall::Watch { revision, .. }
                if self.has_lost_history && *revision < self.revision =>
            {
                Some(StoreAnswer::HistoryLost)
            }
            StoreCall::Watch { revision, .. }
                if self.era.is_some() && *revision > self.revision =>
            {
                Some(StoreAnswer::HistoryLost)
            }
            // A watch with almost no wait only reads the current state.
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
                let exists = self.objects.contains_key(&(content.kind(), name.clone()));
                Some(if exists {
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
                let current = self.objects.get(&(content.kind(), name.clone()));
                Some(match current {
                    None => StoreAnswer::Missing,
                    Some(object) if revision.is_some_and(|wanted| wanted != object.revision) => {
                        StoreAnswer::Conflict
                    }
                    Some(_) => self.write(name, content),
                })
            }
        }
    }

    /// The page of a list that follows a name.
    fn listed(&self, kind: ObjectKind, after: Option<&str>) -> StoreAnswer {
        let page = self.page.unwrap_or(usize::MAX);
        let is_listed = |object: &&Object| after.is_none_or(|after| object.name.as_str() > after);
        let of_kind = self.objects.iter().filter(|((of, _), _)| *of == kind);
        let listed = of_kind.map(|(_, object)| object).filter(is_listed);
        let mut objects: Vec<Object> = listed.take(page.saturating_add(1)).cloned().collect();
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
        let of_kind = self.removed.iter().filter(|(of, _)| *of == kind);
        let removed = of_kind.map(|(_, object)| (object.clone(), true));
        let present = self.of_kind(kind).into_iter().map(|object| (object, false));
        let all = removed.chain(present);
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

/// The body of an order that grants keys.
pub const GRANT: &str = "grant";
/// The body of an order that releases keys.
pub const RELEASE: &str = "release";

/// Typed calls and answers of a node by number.
#[derive(Default)]
struct TypedCalls {
    last: u64,
    calls: HashMap<u64, StoreCall>,
    answers: HashMap<u64, StoreAnswer>,
}

struct TypedDialect {
    headers: HeaderNames,
    typed_calls: Rc<RefCell<TypedCalls>>,
}

impl Dialect for TypedDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn store_request(&self, call: &StoreCall) -> Request {
        let mut typed_calls = self.typed_calls.borrow_mut();
        typed_calls.last += 1;
        let number = typed_calls.last;
        typed_calls.calls.insert(number, call.clone());
        Request::new("GET", number.to_string(), Vec::new())
    }

    fn store_answer(&self, _call: &StoreCall, response: &Response) -> StoreAnswer {
        let number = std::str::from_utf8(&response.body).expect("a number");
        let number: u64 = number.parse().expect("a number");
        let answer = self.typed_calls.borrow_mut().answers.remove(&number);
        answer.expect("an answer of this number")
    }

    fn order_request(&self, _instance: &InstanceId, order: &Order) -> Request {
        let kind = match order {
            Order::Grant { .. } => GRANT,
            Order::Release { .. } => RELEASE,
        };
        Request::new("POST", "order", kind.into())
    }

    fn order_answer(&self, _instance: &InstanceId, response: &Response) -> OrderAnswer {
        match response.status {
            409 => OrderAnswer::Fenced,
            421 => OrderAnswer::OtherInstance,
            503 => OrderAnswer::Refused,
            _ => OrderAnswer::Done { handover: None },
        }
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub struct Sent {
    pub exchange: ExchangeId,
    pub address: SocketAddr,
    /// The path of a client's request, or `order` for an order.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub at: Timestamp,
    /// The options of the exchange; `None` for a probe.
    pub options: Option<ExchangeOptions>,
}

/// A node and its recorded actions.
pub struct Fixture {
    pub node: Node,
    pub store: Store,
    pub now: Timestamp,
    typed_calls: Rc<RefCell<TypedCalls>>,
    store_address: SocketAddr,
    /// All calls to the store with their times.
    pub calls: Vec<(Timestamp, StoreCall)>,
    /// All datagrams with their times and receivers.
    pub datagrams: Vec<(Timestamp, SocketAddr, PeerMessage)>,
    /// Attempts at instances.
    pub attempts: Vec<Sent>,
    /// Connections opened to check whether an instance is listening.
    pub probes: Vec<Sent>,
    /// Waiting watches with the numbers of their calls.
    watches: Vec<(ExchangeId, u64, StoreCall)>,
    /// Answers of the store in flight.
    in_flight: Vec<(StoreCall, Input)>,
    /// Answers to clients.
    pub answers: Vec<(ClientId, Response)>,
    /// The address of the next client.
    caller: IpAddr,
    last_client: u64,
}

/// The complete response of an instance to a successful request.
pub fn success() -> Response {
    let mut response = Response::new(200, "done");
    response.headers.push("signature", "s");
    response
}

/// An instance's answer to an order that it has carried out.
pub fn completed(order: &Sent) -> Response {
    let mut response = Response::new(200, "");
    if order.body == RELEASE.as_bytes() {
        response.headers.push("handover", "state");
    }
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

/// A record in which one instance owns all keys of the keyed service.
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

/// Instances 1 and 2 without keys, 3 and 4 with keys, and two nodes. No key has an owner.
pub fn store_without_owners() -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration(1));
    for number in 1..=4 {
        let service = if number <= 2 { SERVICE } else { KEYED };
        store.add_instance(instance(number, service));
    }
    store.add_node(node_record(0));
    store.add_node(node_record(1));
    store.clear_coordinator();
    store
}

/// Instances 1 and 2 without keys, instance 3 as the owner of all keys, and three nodes.
pub fn owned_store(configuration: Configuration) -> Store {
    let mut store = Store::default();
    store.put_configuration(configuration);
    store.add_instance(instance(1, SERVICE));
    store.add_instance(instance(2, SERVICE));
    store.add_instance(instance(3, KEYED));
    for number in 0..3 {
        store.add_node(node_record(number));
    }
    store.put_ownership(all_keys_of("i-3", 1));
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
            allows_anonymous: false,
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
        tenants: Vec::new(),
        limits: ClientLimits::default(),
    }
}

impl Fixture {
    /// The first incarnation of the node with number 0, before its first step.
    pub fn new(store: Store) -> Fixture {
        Fixture::with_mechanisms(store, Mechanisms::default())
    }

    /// Like `new`, with the given mechanisms.
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
            caller_key_ttl: None,
            cold_bound: ColdBound::default(),
            stop_grace: Duration::from_secs(6),
            memory_limit: None,
            connection_limit: None,
            link_bytes_per_s: DEFAULT_LINK_BYTES_PER_S,
            seed: 7,
            protections: Protections::default(),
            mechanisms: Mechanisms::default(),
        }
    }

    /// Like `new`, with the given settings.
    pub fn with_settings(store: Store, settings: NodeSettings) -> Fixture {
        let typed_calls = Rc::<RefCell<TypedCalls>>::default();
        let dialect = TypedDialect {
            headers: headers(),
            typed_calls: typed_calls.clone(),
        };
        let store_address = settings.store_address;
        Fixture {
            node: Node::new(settings, Box::new(dialect), Duration::ZERO),
            store,
            now: Duration::ZERO,
            typed_calls,
            store_address,
            calls: Vec::new(),
            datagrams: Vec::new(),
            attempts: Vec::new(),
            probes: Vec::new(),
            watches: Vec::new(),
            in_flight: Vec::new(),
            answers: Vec::new(),
            caller: CALLER,
            last_client: 0,
        }
    }

    /// A node that has become the coordinator of a store without one.
    pub fn coordinating(store: Store) -> Fixture {
        let mut fixture = Fixture::new(store);
        fixture.run_until(ms(3_000));
        expect_that!(fixture.node.coordinator().is_some(), eq(true));
        fixture
    }

    /// Passes an input to the node and performs the resulting actions.
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

    /// Advances the time, with a step at each of the node's deadlines.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.node.next_deadline() <= end {
            self.now = self.now.max(self.node.next_deadline());
            self.step(Input::Deadline);
        }
        self.now = end;
    }

    /// Receives a message from another node.
    pub fn receive(&mut self, from: SocketAddr, message: &PeerMessage) {
        let Datagram { bytes, .. } = encode(message);
        self.step(Input::Datagram {
            from,
            bytes: bytes.to_vec(),
        });
    }

    /// Answers the latest watch of a kind with all objects changed since its revision.
    pub fn answer_watch_with_changes(&mut self, kind: ObjectKind) {
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
        self.typed_calls.borrow_mut().answers.insert(number, answer);
        self.end(exchange, Ok(self.store.response_with(number)));
    }

    /// Answers the latest watch of a kind that the history is lost, and then answers the list
    /// that follows.
    pub fn lose_history(&mut self, kind: ObjectKind) {
        let position = self.watches.iter().rposition(
            |(_, _, call)| matches!(call, StoreCall::Watch { kind: watched, .. } if *watched == kind),
        );
        let (exchange, number, _) = self.watches.remove(position.expect("a watch waits"));
        let lost = StoreAnswer::HistoryLost;
        self.typed_calls.borrow_mut().answers.insert(number, lost);
        self.end(exchange, Ok(self.store.response_with(number)));
        self.run_until(self.now + ms(500));
    }

    /// Answers all waiting watches.
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
            self.typed_calls.borrow_mut().answers.insert(number, answer);
            self.end(exchange, Ok(self.store.response_with(number)));
        }
    }

    /// Delivers the answers that a slow store has held back.
    pub fn deliver_answers(&mut self) {
        self.deliver_answers_except(|_| false);
    }

    /// Fails the calls whose answers a slow store has held back.
    pub fn fail_calls(&mut self, failure: ExchangeFailure) {
        for (_, input) in std::mem::take(&mut self.in_flight) {
            if let Input::ExchangeEnded { exchange, .. } = input {
                self.end(exchange, Err(failure));
            }
        }
    }

    /// Delivers the answers that a slow store has held back, except for some calls.
    pub fn deliver_answers_except(&mut self, is_held_back: impl Fn(&StoreCall) -> bool) {
        for (call, input) in std::mem::take(&mut self.in_flight) {
            if is_held_back(&call) {
                self.in_flight.push((call, input));
            } else {
                self.step(input);
            }
        }
    }

    /// Sends a client's request to the service, with or without a key.
    pub fn request(&mut self, service: &str, key: Option<u16>) -> ClientId {
        self.upload(service, key, 0)
    }

    /// Like `request`, from a caller at this address.
    pub fn request_from(&mut self, source: IpAddr, service: &str, key: Option<u16>) -> ClientId {
        let earlier = std::mem::replace(&mut self.caller, source);
        let client = self.request(service, key);
        self.caller = earlier;
        client
    }

    /// Like `request`, with a body.
    pub fn upload(&mut self, service: &str, key: Option<u16>, body_bytes: usize) -> ClientId {
        self.upload_within(service, key, body_bytes, None)
    }

    /// Like `upload`, optionally with a deadline of the client.
    pub fn upload_within(
        &mut self,
        service: &str,
        key: Option<u16>,
        body_bytes: usize,
        deadline: Option<Duration>,
    ) -> ClientId {
        let key = key.map(|key| ("key", key.to_string()));
        let deadline = deadline.map(|deadline| ("deadline", deadline.as_millis().to_string()));
        let headers: Vec<(&str, String)> = key.into_iter().chain(deadline).collect();
        let headers: Vec<(&str, &str)> = headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        self.request_with(service, body_bytes, &headers)
    }

    /// Sends a client's request with these headers beside the usual ones.
    pub fn request_with(
        &mut self,
        service: &str,
        body_bytes: usize,
        headers: &[(&str, &str)],
    ) -> ClientId {
        self.last_client += 1;
        let client = ClientId(self.last_client);
        let mut request = Request::new("GET", format!("/{service}/1"), vec![0; body_bytes]);
        request.headers.push("host", "h");
        let attempt = format!("request-{}", self.last_client);
        request.headers.push("attempt", attempt);
        for (name, value) in headers {
            request.headers.push(name, *value);
        }
        self.step(Input::Request {
            client,
            source: self.caller,
            request,
        });
        client
    }

    /// An instance answers an attempt.
    pub fn answer(&mut self, exchange: ExchangeId, response: Response) {
        self.end(exchange, Ok(response));
    }

    /// Ends an attempt.
    pub fn end(&mut self, exchange: ExchangeId, result: Result<Response, ExchangeFailure>) {
        self.step(Input::ExchangeEnded {
            exchange,
            result,
            idle_for: Duration::ZERO,
        });
    }

    /// The owner of a key according to the record in the store.
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

    /// Number of versions of the ownership record written so far.
    pub fn writes(&self) -> usize {
        let is_write = |call: &StoreCall| {
            let StoreCall::Replace { content, .. } = call else {
                return false;
            };
            content.kind() == ObjectKind::Ownership
        };
        self.calls.iter().filter(|(_, call)| is_write(call)).count()
    }

    /// Number of messages of a kind sent so far.
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
                    headers: Headers::default(),
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
                    headers: request.headers,
                    body: request.body,
                    at: self.now,
                    options: Some(*options),
                });
                None
            }
        }
    }

    fn call_store(&mut self, exchange: ExchangeId, request: &Request) -> Option<Input> {
        let number: u64 = request.target.parse().expect("a number");
        let call = self.typed_calls.borrow_mut().calls.remove(&number);
        let call = call.expect("a call of this number");
        self.calls.push((self.now, call.clone()));
        let Some(answer) = self.store.answer(&call) else {
            self.watches.push((exchange, number, call));
            return None;
        };
        self.typed_calls.borrow_mut().answers.insert(number, answer);
        let input = Input::ExchangeEnded {
            exchange,
            result: Ok(self.store.response_with(number)),
            idle_for: Duration::ZERO,
        };
        if self.store.is_slow {
            self.in_flight.push((call, input));
            return None;
        }
        Some(input)
    }
}
