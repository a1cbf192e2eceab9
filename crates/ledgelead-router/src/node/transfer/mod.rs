//! Transfer of complete lists of objects from other nodes instead of the store.
//!
//! In a large fleet the store's link can't carry a list of all instances for each starting
//! node, nor a new ownership record or configuration for all nodes at once. So only few nodes
//! read the store. The others ask the node from which they receive the coordinator's
//! heartbeats: the relay of their zone, or the coordinator itself. A node without free
//! bandwidth refers them to nodes that it has already served; these serve others in turn, so
//! that the number of sources multiplies with each round. A node that finds no source uses the
//! store.
//!
//! Transferred lists may be a few seconds old, like a stale list of the store: the
//! coordinator's heartbeats show which changes are missing since.

mod serving;

pub(super) use serving::TransferServer;

use super::Node;
use super::relay::registration;
use super::store_calls::Purpose;
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreCall};
use crate::directory::Entry;
use crate::events::Event;
use crate::identity::{NodeIdentity, NodeName};
use crate::io::{Action, ExchangeFailure, ExchangeId, ExchangeOptions};
use crate::ownership::record::OwnershipRecord;
use crate::ownership::view::RecordVersion;
use crate::peers::{
    ChangedNode, InstanceTable, PeerAddress, RecordEntry, Registration, RelayedKind,
    TransferAnswer, TransferRequest, TransferredObjects, TransferredState,
};
use crate::store::era_of;
use crate::validation;
use ledgelead_http::{Request, Response};
use ledgelead_types::codec::{self, Text};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP path on which nodes ask each other for objects.
pub const TRANSFER_PATH: &str = "/state";
/// Number of nodes from which lists are transferred between nodes even if they fit on one
/// page.
const LARGE_FLEET_NODES: usize = 100;
/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without progress after which another source is asked.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay after no answer, or an answer that names no other source. It doubles with each such
/// attempt, and is extended at random by up to its own length.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum of that delay before the random extension.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Delay before asking a source named by another node.
const REFERRAL_PAUSE: Duration = Duration::from_millis(10);
/// How long other nodes are asked for a first list before the store is asked. It is extended
/// at random by up to its own length, so that nodes without a source don't ask the store at
/// the same time.
const LIST_FROM_NODES_TIMEOUT: Duration = Duration::from_secs(6);
/// How long other nodes are asked for a missing change before the store is asked, as a share
/// of the drain bound or of the configuration bound, whichever is shorter. It is extended at
/// random like `LIST_FROM_NODES_TIMEOUT`. Together with the preceding 0.4 s and one call it
/// stays below the bound.
const GAP_FROM_NODES_SHARE: f64 = 0.2;
/// Minimum interval between lists of a kind that fill gaps. While thousands of instances
/// register, a new gap appears as soon as one is filled.
const GAP_FILL_INTERVAL: Duration = Duration::from_millis(1_200);
/// One in this many requests for a list is sent to the coordinator itself, since the relay of
/// this node's zone may lack the list.
const COORDINATOR_EVERY: u32 = 4;

/// Requests of this node to other nodes.
pub(super) struct Transfers {
    kind_state: [KindState; RelayedKind::ALL.len()],
    exchanges: HashMap<ExchangeId, OutstandingRequest>,
    rng: Pcg64Mcg,
    /// Number of lists received from other nodes.
    received: u64,
}

/// State of the requests for objects of one kind.
#[derive(Debug, Default)]
struct KindState {
    /// Until when other nodes are asked, counted from the first request.
    ask_nodes_until: Option<Timestamp>,
    request_count: u32,
    /// Number of consecutive requests without success.
    failed_requests: u32,
    /// Earliest time at which another gap may be filled.
    next_gap_fill: Timestamp,
    /// Sources named in the last answers.
    referred: Vec<SocketAddr>,
}

/// A request in flight.
#[derive(Debug)]
struct OutstandingRequest {
    kind: RelayedKind,
    source: SocketAddr,
    started: Timestamp,
    /// Whether the request replaces a list of the watch, which waits for its result.
    is_list: bool,
}

impl Transfers {
    pub(super) fn new(seed: u64) -> Transfers {
        Transfers {
            kind_state: Default::default(),
            exchanges: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            received: 0,
        }
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.exchanges.contains_key(&exchange)
    }

    /// The node that a request in flight was sent to.
    pub(super) fn source(&self, exchange: ExchangeId) -> Option<SocketAddr> {
        self.exchanges
            .get(&exchange)
            .map(|outstanding| outstanding.source)
    }

    /// Number of lists received from other nodes.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Whether a request for a kind is in flight.
    fn has_request_in_flight(&self, kind: RelayedKind) -> bool {
        self.exchanges
            .values()
            .any(|outstanding| outstanding.kind == kind)
    }

    fn kind_state(&mut self, kind: RelayedKind) -> &mut KindState {
        &mut self.kind_state[kind as usize]
    }

    /// Whether other nodes may still be asked for a kind. The first call starts the timeout.
    fn may_ask_nodes(&mut self, kind: RelayedKind, node_timeout: Duration, now: Timestamp) -> bool {
        let until = now + node_timeout.mul_f64(self.rng.random_range(1.0..2.0));
        now < *self.kind_state(kind).ask_nodes_until.get_or_insert(until)
    }
}

impl Node {
    /// Whether lists are too large, or requested by too many nodes, to be read from the store.
    fn is_large_fleet(&self) -> bool {
        self.registry.len() >= LARGE_FLEET_NODES || self.store.has_paged_list()
    }

    /// The node to ask for a list instead of the store, if there is one.
    fn list_source(
        &mut self,
        kind: ObjectKind,
        call: &StoreCall,
        now: Timestamp,
    ) -> Option<(RelayedKind, SocketAddr)> {
        let kind = RelayedKind::of(kind).filter(|kind| *kind != RelayedKind::Configuration)?;
        let is_list = matches!(call, StoreCall::List { stale: true, .. });
        if !is_list || !self.transfers_from_nodes() {
            return None;
        }
        match self
            .transfers
            .may_ask_nodes(kind, LIST_FROM_NODES_TIMEOUT, now)
        {
            true => Some((kind, self.next_source(kind)?)),
            false => None,
        }
    }

    /// Asks other nodes for missing changes. Returns `false` if the store must be asked
    /// instead.
    pub(super) fn fill_gap_from_nodes(
        &mut self,
        kind: RelayedKind,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let transfers_from_nodes = self.transfers_from_nodes();
        if transfers_from_nodes && now < self.transfers.kind_state(kind).next_gap_fill {
            return true;
        }
        let node_timeout = self
            .settings
            .propagation_bound()
            .mul_f64(GAP_FROM_NODES_SHARE);
        if !transfers_from_nodes || !self.transfers.may_ask_nodes(kind, node_timeout, now) {
            self.transfers.kind_state(kind).ask_nodes_until = None;
            return false;
        }
        if self.transfers.has_request_in_flight(kind) {
            return true;
        }
        let Some(source) = self.next_source(kind) else {
            return false;
        };
        self.request_transfer(kind, source, false, now, out);
        true
    }

    /// Whether lists are requested from other nodes, which requires a coordinator that the
    /// store serves.
    pub(super) fn transfers_from_nodes(&self) -> bool {
        let follows = self.coordination.coordinator().is_none();
        follows && self.messaging.following_until.is_some() && self.is_large_fleet()
    }

    fn next_source(&mut self, kind: RelayedKind) -> Option<SocketAddr> {
        let kind_state = self.transfers.kind_state(kind);
        kind_state.request_count += 1;
        let asks_coordinator = kind_state.request_count.is_multiple_of(COORDINATOR_EVERY);
        let referred = kind_state.referred.pop();
        let relay = self.messaging.heartbeat_sender;
        let default_source = match asks_coordinator {
            true => self.coordinator_address(),
            false => relay.or_else(|| self.coordinator_address()),
        };
        let own = self.settings.peer_address;
        referred.or(default_source).filter(|source| *source != own)
    }

    /// Asks a node for all objects of a kind, if they are newer than the known ones.
    fn request_transfer(
        &mut self,
        kind: RelayedKind,
        source: SocketAddr,
        is_list: bool,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(address) = PeerAddress::new(self.settings.peer_address) else {
            return;
        };
        let known = match is_list {
            true => 0,
            false => self.known_revision(kind).unwrap_or(0),
        };
        let request = TransferRequest {
            kind,
            known_revision: known,
            zone: Text(self.settings.zone.to_string()),
            address,
            link_bytes_per_s: self.settings.link_bytes_per_s,
        };
        if is_list {
            self.store.watcher(kind.object_kind()).mark_call_to_peer();
        }
        let exchange = self.exchanges.next_id();
        let outstanding = OutstandingRequest {
            kind,
            source,
            started: now,
            is_list,
        };
        self.transfers.exchanges.insert(exchange, outstanding);
        out.push(Action::Exchange {
            exchange,
            address: source,
            request: Request::new("POST", TRANSFER_PATH, codec::encode(&request)),
            options: Box::new(ExchangeOptions {
                timeout_restarts: true,
                ..ExchangeOptions::new(CONNECT_TIMEOUT, PROGRESS_TIMEOUT)
            }),
        });
    }

    /// Handles the result of a request to another node.
    pub(super) fn transfer_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(outstanding) = self.transfers.exchanges.remove(&exchange) else {
            return;
        };
        let answer = result.ok().and_then(|response| {
            let body = response.is_success().then_some(response.body)?;
            codec::decode::<TransferAnswer>(&body).ok()
        });
        match answer {
            Some(TransferAnswer::State(state)) => {
                if self.apply_state(&outstanding, state, now, out) {
                    *self.transfers.kind_state(outstanding.kind) = KindState {
                        next_gap_fill: now + GAP_FILL_INTERVAL,
                        ..KindState::default()
                    };
                    return;
                }
                self.schedule_retry(&outstanding, Vec::new(), now);
            }
            Some(TransferAnswer::Redirect { nodes }) => {
                let mut nodes: Vec<SocketAddr> = nodes.iter().map(|node| node.socket()).collect();
                nodes.retain(|node| *node != outstanding.source);
                self.schedule_retry(&outstanding, nodes, now);
            }
            None => self.schedule_retry(&outstanding, Vec::new(), now),
        }
    }

    /// Schedules the next request: by the watch whose list this is, otherwise by the next
    /// review of the gap.
    fn schedule_retry(
        &mut self,
        outstanding: &OutstandingRequest,
        referred: Vec<SocketAddr>,
        now: Timestamp,
    ) {
        let jitter = self.transfers.rng.random_range(1.0..2.0);
        let kind_state = self.transfers.kind_state(outstanding.kind);
        kind_state.referred.extend(referred);
        let pause = if kind_state.referred.is_empty() {
            let doubled = RETRY_PAUSE.saturating_mul(1 << kind_state.failed_requests.min(4));
            kind_state.failed_requests += 1;
            doubled.min(MAX_RETRY_PAUSE).mul_f64(jitter)
        } else {
            REFERRAL_PAUSE
        };
        if outstanding.is_list {
            let watcher = self.store.watcher(outstanding.kind.object_kind());
            watcher.restart_list(now + pause);
        } else {
            self.messaging
                .relay
                .review_gap_at(outstanding.kind, now + pause);
        }
    }

    /// Applies transferred objects if they are newer than the known ones and valid. Returns
    /// whether they were applied.
    fn apply_state(
        &mut self,
        outstanding: &OutstandingRequest,
        state: TransferredState,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let TransferredState {
            revision,
            age_ms,
            unconfirmed_ms,
            objects,
        } = state;
        let known = self.known_revision(outstanding.kind).unwrap_or(0);
        let is_newer = outstanding.is_list || known < revision;
        let is_former =
            outstanding.kind != RelayedKind::Configuration && era_of(revision) < self.store.era;
        if !is_newer || is_former || validation::revision("revision", revision).is_err() {
            return false;
        }
        let as_of = age_ms.map(|age| {
            let age = Duration::from_millis(u64::from(age));
            outstanding.started.saturating_sub(age)
        });
        let is_applied = match (outstanding.kind, objects) {
            (RelayedKind::Instances, TransferredObjects::Instances(instances)) => {
                let unconfirmed = Duration::from_millis(u64::from(unconfirmed_ms));
                self.directory.defer_removals_until(now + unconfirmed);
                self.apply_instances(instances, revision, as_of, now);
                true
            }
            (RelayedKind::Nodes, TransferredObjects::Nodes(nodes)) => {
                self.apply_nodes(nodes.0, revision, now);
                true
            }
            (RelayedKind::Ownership, TransferredObjects::Ownership(entry)) => {
                self.apply_record(entry, revision, outstanding.started, now, out)
            }
            (RelayedKind::Configuration, TransferredObjects::Configuration(whole)) => {
                let next = whole.into_delta(revision).apply_to(None);
                let is_valid = next.is_some();
                if let Some(next) = next {
                    self.activate_configuration(next, now, out);
                }
                is_valid
            }
            _ => false,
        };
        if is_applied {
            self.transfers.received += 1;
            let received = Event::StateReceived {
                kind: outstanding.kind.name(),
                revision,
                from: outstanding.source,
            };
            received.emit();
            self.coordination.schedule_step();
            self.reconsider_waiting(now, out);
        }
        is_applied
    }

    fn apply_instances(
        &mut self,
        instances: InstanceTable,
        revision: u64,
        as_of: Option<Timestamp>,
        now: Timestamp,
    ) {
        let records = instances.into_records().into_iter();
        let entries: Vec<Entry> = records.map(|record| Entry::at(revision, record)).collect();
        self.directory.replace_all(entries, now);
        if let Some(as_of) = as_of {
            self.directory.advance_current_at(as_of);
        }
        self.list_received(ObjectKind::Instances, revision, now);
    }

    fn apply_nodes(&mut self, nodes: Vec<ChangedNode>, revision: u64, now: Timestamp) {
        let is_first = !self.store.has_listed(ObjectKind::Nodes);
        let known = |changed: ChangedNode| {
            let name = NodeName::from(changed.node.0.as_str());
            registration(name, &changed.entry?)
        };
        let registrations: Vec<Registration> = nodes.into_iter().filter_map(known).collect();
        self.replace_nodes(registrations);
        self.list_received(ObjectKind::Nodes, revision, now);
        self.nodes_listed(is_first, now);
    }

    fn apply_record(
        &mut self,
        entry: RecordEntry,
        revision: u64,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let assignments = entry.assignments.iter();
        let assignments: Option<Vec<_>> = assignments
            .map(|assignment| self.known_assignment(assignment))
            .collect();
        let Some(assignments) = assignments else {
            return false;
        };
        let coordinator = entry.coordinator.map(|coordinator| NodeIdentity {
            node: NodeName::from(coordinator.node.0.as_str()),
            incarnation: coordinator.incarnation,
        });
        let record = OwnershipRecord {
            epoch: entry.epoch,
            coordinator,
            earlier_authority_ms: entry.earlier_authority_ms,
            era: entry.era,
            unknown_holds_ms: entry.unknown_holds_ms,
            next_fence: entry.next_fence,
            grace_periods: Vec::new(),
            assignments,
        };
        if validation::ownership(super::OWNERSHIP_NAME, &record).is_err() {
            return false;
        }
        // A takeover must be based on what the store itself has answered.
        let version = RecordVersion {
            revision,
            is_confirmed: false,
        };
        self.ownership_changed(record, version, started, now, out);
        self.coordination.record_listed = true;
        self.list_received(ObjectKind::Ownership, revision, now);
        true
    }

    /// Records that a list of a kind was received from another node, with all changes up to a
    /// revision.
    fn list_received(&mut self, kind: ObjectKind, revision: u64, now: Timestamp) {
        self.store.watcher(kind).listed_by_peer(revision, now);
        self.messaging.relay.record_change(kind, revision);
    }

    /// Makes the call of a watch that is due, or asks another node if lists are transferred
    /// between nodes.
    pub(super) fn start_watch_call(
        &mut self,
        kind: ObjectKind,
        call: StoreCall,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        match self.list_source(kind, &call, now) {
            Some((kind, source)) => self.request_transfer(kind, source, true, now, out),
            None => self.start_call(Purpose::Watch(kind), call, now, out),
        }
    }
}
