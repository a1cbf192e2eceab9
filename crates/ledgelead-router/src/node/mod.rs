//! A single router node: its view of the cluster, the requests it handles and, at one node,
//! the coordinator role.

mod caller_keys;
mod coordination;
mod dispatch;
mod first_view;
mod forwarded_orders;
mod forwarding;
mod heartbeat;
mod leaving;
mod links;
mod load_hub;
mod messaging;
mod node_list;
mod open_requests;
mod orders;
mod owner_views;
mod punctuality;
mod quarantine;
mod quotas;
mod rate_limits;
mod registration;
mod relay;
mod status;
mod store_answers;
mod store_calls;
mod store_era;
mod store_objects;
mod store_timing;
mod transfer;
mod unreadable_objects;
mod zone_relay;
mod zone_traffic;

pub use status::{NodeStatus, TransferCounters};
pub use store_calls::OWNERSHIP_NAME;
pub use transfer::TRANSFER_PATH;

use crate::Timestamp;
use crate::configuration::{ClientLimits, Configuration, RouteTable};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::dispatch::Dispatcher;
use crate::evacuation::Evacuations;
use crate::events::Event;
use crate::forwarding::{FORWARD_PATH, ForwardPeers};
use crate::io::{Action, Input};
use crate::ownership::cold_keys::ColdKeys;
use crate::ownership::coordinator::{Coordinator, ExchangeIds};
use crate::ownership::election::Election;
use crate::ownership::view::OwnershipView;
use crate::peers::{PeerTraffic, Registry, SharedLoad};
use crate::rate_limit::{Limiter, LimiterFailover};
use crate::reachability::Reachability;
use crate::requests::{Overloads, RequestContext, Requests};
use crate::settings::NodeSettings;
use crate::zone_traffic::ZoneTraffic;
use coordination::Coordination;
use forwarding::ForwardServer;
use load_hub::LoadHub;
use messaging::Messaging;
use node_list::NodeList;
use owner_views::OwnerViews;
use punctuality::Punctuality;
use quarantine::Quarantine;
use quotas::Quotas;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use store_calls::StoreCalls;
use transfer::{TransferServer, Transfers};
use unreadable_objects::UnreadableObjects;
use zone_relay::ZoneRelays;

/// Interval between removals of expired state.
const CLEAN_UP_INTERVAL: Timestamp = Timestamp::from_secs(1);

/// A router node, written as a state machine without I/O: `step` takes one input with the
/// current time and appends the resulting actions.
pub struct Node {
    settings: NodeSettings,
    dialect: Box<dyn Dialect>,
    configuration: Option<Configuration>,
    routes: RouteTable,
    /// The latest time at which the configuration was known to be the newest one.
    configuration_current_at: Timestamp,
    directory: Directory,
    ownership: OwnershipView,
    owner_views: OwnerViews,
    cold_keys: ColdKeys,
    registry: Registry,
    shared: SharedLoad,
    requests: Requests,
    exchanges: ExchangeIds,
    store: StoreCalls,
    node_list: NodeList,
    coordination: Coordination,
    messaging: Messaging,
    zone_relays: ZoneRelays,
    transfers: Transfers,
    transfer_server: TransferServer,
    /// This node's links to the instances.
    reachability: Reachability,
    next_silence_review: Timestamp,
    forward_peers: ForwardPeers,
    forward_server: ForwardServer,
    load_hub: LoadHub,
    dispatcher: Dispatcher,
    quotas: Quotas,
    limiter: Limiter,
    limiter_failover: LimiterFailover,
    overloads: Overloads,
    evacuations: Evacuations,
    quarantine: Quarantine,
    unreadable: UnreadableObjects,
    /// Deadline for confirming the first list of instances, once requests are waiting for it.
    confirmation_deadline: Option<Timestamp>,
    traffic: PeerTraffic,
    zone_traffic: ZoneTraffic,
    punctuality: Punctuality,
    stopping: bool,
    next_clean_up: Timestamp,
}

impl Node {
    /// Creates a node that has not read anything from the store yet.
    pub fn new(settings: NodeSettings, dialect: Box<dyn Dialect>, now: Timestamp) -> Node {
        let rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let mut requests = Requests::new(&settings, rng);
        requests.start(now);
        Node {
            configuration: None,
            routes: RouteTable::default(),
            configuration_current_at: now,
            directory: Directory::new(settings.protections),
            ownership: OwnershipView::default(),
            owner_views: OwnerViews::new(now),
            cold_keys: ColdKeys::default(),
            registry: Registry::default(),
            shared: SharedLoad::default(),
            requests,
            exchanges: ExchangeIds::default(),
            store: StoreCalls::new(&settings, now),
            node_list: NodeList::new(settings.seed),
            coordination: Coordination::new(Election::default(), settings.protections),
            messaging: Messaging::new(now),
            zone_relays: ZoneRelays::default(),
            transfers: Transfers::new(settings.seed),
            transfer_server: TransferServer::default(),
            reachability: Reachability::new(settings.seed, settings.protections),
            next_silence_review: now,
            forward_peers: ForwardPeers::new(settings.seed),
            forward_server: ForwardServer::default(),
            load_hub: LoadHub::new(now),
            dispatcher: Dispatcher::default(),
            quotas: Quotas::default(),
            limiter: Limiter::default(),
            limiter_failover: LimiterFailover::default(),
            overloads: Overloads::default(),
            evacuations: Evacuations::default(),
            quarantine: Quarantine::new(settings.protections),
            unreadable: UnreadableObjects::default(),
            confirmation_deadline: None,
            traffic: PeerTraffic::default(),
            zone_traffic: ZoneTraffic::default(),
            punctuality: Punctuality::default(),
            stopping: false,
            next_clean_up: now + CLEAN_UP_INTERVAL,
            settings,
            dialect,
        }
    }

    /// Whether the node is ready for new clients.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.directory.is_complete() && !self.stopping
    }

    /// Whether the node was asked to stop and has neither open requests nor the coordinator
    /// role left.
    pub fn has_finished(&self) -> bool {
        self.stopping
            && self.requests.is_empty()
            && self.forward_server.is_empty()
            && self.coordination.has_resigned()
    }

    /// Whether the node was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// The active configuration, if one is known.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Memory limit of the process in bytes, if there is one.
    pub fn memory_limit(&self) -> Option<usize> {
        self.settings.memory_limit
    }

    /// Connections that the process may have open, if they are limited.
    pub fn connection_limit(&self) -> Option<usize> {
        self.settings.connection_limit
    }

    /// Limits on what clients may send.
    pub fn client_limits(&self) -> ClientLimits {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.limits)
            .unwrap_or_default()
    }

    /// The coordinator state, if this node holds the coordinator role.
    pub fn coordinator(&self) -> Option<&Coordinator> {
        self.coordination.coordinator()
    }

    /// Handles one input, then all timers that are due.
    pub fn step(&mut self, input: Input, now: Timestamp, out: &mut Vec<Action>) {
        let before = out.len();
        self.punctuality.record_input();
        self.record_lateness(now);
        match input {
            Input::Request {
                client,
                source,
                request,
            } => {
                self.confirm_first_view(now);
                let (requests, mut context) = self.requests_and_context(now);
                requests.request_arrived(client, source, request, &mut context, out);
            }
            Input::RequestWithoutBody { client, request } => {
                let (requests, mut context) = self.requests_and_context(now);
                requests.refuse_unread(client, &request, &mut context, out);
            }
            Input::PeerRequest { client, request } => match request.path() {
                FORWARD_PATH => self.forward_requested(client, &request, now, out),
                _ => self.transfer_requested(client, &request, now, out),
            },
            Input::ClientDisconnected { client } => {
                self.transfer_server.client_disconnected(client);
                self.forward_server.client_disconnected(client, out);
                let peers = &mut self.forward_peers;
                self.requests.client_disconnected(client, peers, out);
            }
            Input::ExchangeEnded {
                exchange,
                result,
                idle_for,
            } => {
                self.count_response(exchange, &result);
                if self.requests.owns_exchange(exchange) {
                    let (requests, mut context) = self.requests_and_context(now);
                    requests.exchange_ended(exchange, result, idle_for, &mut context, out);
                    self.apply_crash_signs(now, out);
                    self.apply_leaving_notices(now, out);
                    for ended in self.requests.take_ended_instances() {
                        self.directory.mark_ended(&ended);
                        self.coordination.schedule_step();
                    }
                    if self.requests.take_misdirected() {
                        self.store.refresh_rejected_ownership(now, out);
                    }
                    self.reconsider_waiting(now, out);
                } else if self.store.owns(exchange) {
                    self.store_answered(exchange, result, now, out);
                } else if self.transfers.owns(exchange) {
                    self.transfer_ended(exchange, result, now, out);
                } else if self.forward_server.owns(exchange) {
                    self.forwarded_attempt_ended(exchange, result, now, out);
                } else if self.reachability.owns(exchange) {
                    self.link_probe_ended(exchange, result.is_ok(), now, out);
                } else if self.quarantine.owns(exchange) {
                    self.probe_ended(exchange, result.err(), now);
                } else {
                    self.order_answered(exchange, result, now, out);
                }
            }
            Input::Datagram { from, bytes } => self.datagram_received(from, &bytes, now, out),
            Input::Deadline => {}
            Input::Stop => self.stop(),
        }
        self.run_due(now, out);
        self.count_sent(&out[before..]);
    }

    /// When `step` must be called with `Input::Deadline` at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        self.next_deadlines()
            .into_iter()
            .flatten()
            .fold(self.next_clean_up, Timestamp::min)
    }

    /// The next deadlines of requests, store calls, coordination, messaging, directory,
    /// quarantine, owner queues and links, in this order.
    pub fn next_deadlines(&self) -> [Option<Timestamp>; 8] {
        [
            self.requests.next_deadline(),
            self.store
                .next_deadline()
                .into_iter()
                .chain(self.registration_deadline())
                .min(),
            self.coordination_deadline(),
            Some(
                self.messaging
                    .next_deadline()
                    .min(self.open_requests_deadline())
                    .min(self.quota_deadline())
                    .min(self.load_hub.next_deadline().unwrap_or(Timestamp::MAX))
                    .min(
                        self.transfer_server
                            .next_deadline()
                            .unwrap_or(Timestamp::MAX),
                    ),
            ),
            self.directory.next_expiry(),
            self.quarantine_deadline(),
            self.dispatcher.next_deadline(),
            self.links_deadline(),
        ]
    }

    /// Applies the settings that may change while the process is running.
    pub fn change_settings(&mut self, settings: NodeSettings) {
        self.requests.set_bounds(&settings);
        self.store.propagation_bound = settings.propagation_bound();
        self.settings = NodeSettings {
            identity: self.settings.identity.clone(),
            mechanisms: self.settings.mechanisms,
            ..settings
        };
    }

    fn run_due(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        // Expired entries go first, since all steps below read the directory.
        if self.directory.next_expiry().is_some_and(|at| at <= now) {
            self.directory.expire(now);
            self.coordination.schedule_step();
            self.reconsider_waiting(now, out);
        }
        self.review_links(now, out);
        self.review_quarantine(now, out);
        self.coordinate(now, out);
        self.send_due_messages(now, out);
        self.send_due_quotas(now, out);
        // After all steps that may make a watch due.
        self.call_store(now, out);
        let (requests, mut context) = self.requests_and_context(now);
        requests.advance_due(&mut context, out);
        self.dispatch(now, out);
        // A request that was granted a permit may then need a token, and one that was refused
        // a token may need another permit.
        while self.send_token_requests(now, out) {
            self.dispatch(now, out);
        }
        self.announce_open_requests(now, out);
        self.announce_load(now, out);
        self.answer_transfers(now, out);
        if self.next_clean_up <= now {
            self.next_clean_up = now + CLEAN_UP_INTERVAL;
            self.directory.expire(now);
            self.requests.clean_up(&self.directory, now);
            self.shared.expire(now);
            self.expire_quarantine(now);
            self.zone_relays.expire(now);
            self.transfer_server.expire(now);
            self.dispatcher.expire(now);
            self.quotas.expire(now);
            self.limiter.expire(now);
            self.limiter_failover.expire(now);
            self.cold_keys.expire(now);
            let directory = &self.directory;
            self.reachability
                .expire(|id| directory.get(id).is_some(), now);
            self.forward_peers.expire(&self.registry);
        }
    }

    fn reconsider_waiting(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.requests.has_waiting() {
            self.confirm_first_view(now);
            let (requests, mut context) = self.requests_and_context(now);
            requests.reconsider(&mut context, out);
        }
    }

    fn requests_and_context(&mut self, now: Timestamp) -> (&mut Requests, RequestContext<'_>) {
        let context = RequestContext {
            now,
            unconfirmed_until: self.unconfirmed_until(now),
            configuration: self.configuration.as_ref(),
            routes: &self.routes,
            caller_keys_expired: self.caller_keys_expired(now),
            owners_outdated: self.owners_outdated(now),
            directory: &self.directory,
            ownership: &self.ownership,
            cold_keys: &self.cold_keys,
            shared: &self.shared,
            evidence: &self.quarantine.evidence,
            suspects: self.quarantine.has_suspects(),
            keys_can_move: self.keys_can_move(now),
            overloads: &self.overloads,
            headers: self.dialect.headers(),
            exchanges: &mut self.exchanges,
            registry: &self.registry,
            node: &self.settings.identity.node,
            heartbeat_senders: [
                self.messaging.heartbeat_sender,
                self.messaging.coordinator_address,
            ],
            reachability: &mut self.reachability,
            forward_peers: &mut self.forward_peers,
        };
        (&mut self.requests, context)
    }

    fn stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.requests.begin_stopping();
        self.coordination.begin_resigning();
        let open = self.requests.len();
        let zone_bytes = &self.zone_traffic;
        Event::Stops { open, zone_bytes }.emit();
    }
}
