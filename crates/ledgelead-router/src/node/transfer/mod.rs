//! Whole lists of objects from another node instead of the store.
//!
//! In a large fleet the store's link can't carry a list of all instances for each node that
//! starts, nor a new record of ownership or configuration for each node at once. So few nodes
//! read the store, and the others ask the node from which they hear the coordinator: the
//! relay of their zone, or the coordinator itself. Who has no room on its link refers to
//! nodes that it has served; these serve in turn, so that sources multiply with each round.
//! The store stays the way for whoever finds no source.
//!
//! What is transferred may be some seconds old, as a stale list of the store is: the
//! coordinator's heartbeats tell what is missing since.

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

/// The path on which nodes ask each other for objects.
pub const TRANSFER_PATH: &str = "/state";
/// Nodes from which on lists come from other nodes, also where they fit one page.
const LARGE_FLEET_NODES: usize = 100;
/// Time for a connection to another node to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any progress after which another source is asked.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after an answer that names no other source, or none. Each is twice the one before,
/// and lengthened at random by up to as much.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest such pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Pause before a source that was named is asked.
const REFERRAL_PAUSE: Duration = Duration::from_millis(10);
/// How long other nodes are asked for a first list before the store is. Lengthened at random
/// by up to as much, so that nodes without a source don't ask the store together.
const LIST_PATIENCE: Duration = Duration::from_secs(6);
/// How long other nodes are asked for a missing change before the store is, as a share of
/// the bound of drains or of configurations, whichever is shorter. Lengthened at random like
/// the above. With the 0.4 s before that and a call it stays below the bound.
const GAP_PATIENCE_SHARE: f64 = 0.2;
/// Pause between two lists of a kind that fill gaps. While thousands of instances register,
/// there is a new gap as soon as one is filled.
const FILLED_PAUSE: Duration = Duration::from_millis(1_200);
/// One of so many requests for a list goes to the coordinator itself: the relay of this
/// node's zone may lack it.
const COORDINATOR_EVERY: u32 = 4;

/// What this node wants of other nodes, by kind.
pub(super) struct Transfers {
    wanted: [Wanted; RelayedKind::ALL.len()],
    exchanges: HashMap<ExchangeId, Asked>,
    rng: Pcg64Mcg,
    /// Lists that came from other nodes.
    received: u64,
}

/// Objects of one kind that are wanted.
#[derive(Debug, Default)]
struct Wanted {
    /// Until when other nodes are asked, from the first request on.
    until: Option<Timestamp>,
    requests: u32,
    /// Requests in a row that led nowhere.
    in_vain: u32,
    /// Before when no gap is filled again.
    filled_until: Timestamp,
    /// Nodes that may have them, by the last answer.
    referred: Vec<SocketAddr>,
}

/// A request that is out.
#[derive(Debug)]
struct Asked {
    kind: RelayedKind,
    source: SocketAddr,
    started: Timestamp,
    /// Whether it stands for the watch's list, which waits for its end.
    is_list: bool,
}

impl Transfers {
    pub(super) fn new(seed: u64) -> Transfers {
        Transfers {
            wanted: Default::default(),
            exchanges: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            received: 0,
        }
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.exchanges.contains_key(&exchange)
    }

    /// Where a request that is out was sent.
    pub(super) fn source(&self, exchange: ExchangeId) -> Option<SocketAddr> {
        self.exchanges.get(&exchange).map(|asked| asked.source)
    }

    /// Lists that came from other nodes.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Whether a request for a kind is out.
    fn is_asked(&self, kind: RelayedKind) -> bool {
        self.exchanges.values().any(|asked| asked.kind == kind)
    }

    fn wanted(&mut self, kind: RelayedKind) -> &mut Wanted {
        &mut self.wanted[kind as usize]
    }

    /// Whether other nodes are still asked for a kind. The first call begins that time.
    fn is_patient(&mut self, kind: RelayedKind, patience: Duration, now: Timestamp) -> bool {
        let until = now + patience.mul_f64(self.rng.random_range(1.0..2.0));
        now < *self.wanted(kind).until.get_or_insert(until)
    }
}

impl Node {
    /// Whether lists are too large, or asked for by too many nodes, for the store.
    fn is_large_fleet(&self) -> bool {
        self.registry.len() >= LARGE_FLEET_NODES || self.store.has_paged_list()
    }

    /// The node that is asked for a list in the store's place, if one is.
    fn list_source(
        &mut self,
        kind: ObjectKind,
        call: &StoreCall,
        now: Timestamp,
    ) -> Option<(RelayedKind, SocketAddr)> {
        let kind = RelayedKind::of(kind).filter(|kind| *kind != RelayedKind::Configuration)?;
        let is_list = matches!(call, StoreCall::List { stale: true, .. });
        if !is_list || !self.asks_nodes() {
            return None;
        }
        match self.transfers.is_patient(kind, LIST_PATIENCE, now) {
            true => Some((kind, self.next_source(kind)?)),
            false => None,
        }
    }

    /// Asks other nodes for changes that have been missing. Returns whether that is done, so
    /// that the store isn't asked.
    pub(super) fn fill_gap_from_nodes(
        &mut self,
        kind: RelayedKind,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let asks_nodes = self.asks_nodes();
        if asks_nodes && now < self.transfers.wanted(kind).filled_until {
            return true;
        }
        let bound = self.settings.drain_bound;
        let bound = bound.min(self.settings.configuration_bound);
        let patience = bound.mul_f64(GAP_PATIENCE_SHARE);
        if !asks_nodes || !self.transfers.is_patient(kind, patience, now) {
            self.transfers.wanted(kind).until = None;
            return false;
        }
        if self.transfers.is_asked(kind) {
            return true;
        }
        let Some(source) = self.next_source(kind) else {
            return false;
        };
        self.ask_node(kind, source, false, now, out);
        true
    }

    /// Whether lists come from other nodes: a coordinator is heard whom the store serves.
    pub(super) fn asks_nodes(&self) -> bool {
        let follows = self.coordination.coordinator().is_none();
        follows && self.gossip.informed_until.is_some() && self.is_large_fleet()
    }

    fn next_source(&mut self, kind: RelayedKind) -> Option<SocketAddr> {
        let wanted = self.transfers.wanted(kind);
        wanted.requests += 1;
        let asks_coordinator = wanted.requests.is_multiple_of(COORDINATOR_EVERY);
        let referred = wanted.referred.pop();
        let relay = self.gossip.heartbeat_sender;
        let usual = match asks_coordinator {
            true => self.coordinator_address(),
            false => relay.or_else(|| self.coordinator_address()),
        };
        let own = self.settings.peer_address;
        referred.or(usual).filter(|source| *source != own)
    }

    /// Asks a node for all objects of a kind that are newer than what is known.
    fn ask_node(
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
        let asked = Asked {
            kind,
            source,
            started: now,
            is_list,
        };
        self.transfers.exchanges.insert(exchange, asked);
        out.push(Action::Exchange {
            exchange,
            address: source,
            request: Request::new("POST", TRANSFER_PATH, codec::encode(&request)),
            options: ExchangeOptions {
                match_header: None,
                reuse_idle_below: Duration::ZERO,
                connect_timeout: CONNECT_TIMEOUT,
                write_timeout: None,
                observe_before_write: Duration::ZERO,
                timeout: PROGRESS_TIMEOUT,
                timeout_restarts: true,
            },
        });
    }

    /// A node has answered, or has not.
    pub(super) fn transfer_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(asked) = self.transfers.exchanges.remove(&exchange) else {
            return;
        };
        let answer = result.ok().and_then(|response| {
            let body = response.is_success().then_some(response.body)?;
            codec::decode::<TransferAnswer>(&body).ok()
        });
        match answer {
            Some(TransferAnswer::State(state)) => {
                if self.take_state(&asked, state, now, out) {
                    *self.transfers.wanted(asked.kind) = Wanted {
                        filled_until: now + FILLED_PAUSE,
                        ..Wanted::default()
                    };
                    return;
                }
                self.ask_again(&asked, Vec::new(), now);
            }
            Some(TransferAnswer::Redirect { nodes }) => {
                let mut nodes: Vec<SocketAddr> = nodes.iter().map(|node| node.socket()).collect();
                nodes.retain(|node| *node != asked.source);
                self.ask_again(&asked, nodes, now);
            }
            None => self.ask_again(&asked, Vec::new(), now),
        }
    }

    /// Schedules the next request: by the watch whose list this is, else by the next review
    /// of the gap.
    fn ask_again(&mut self, asked: &Asked, referred: Vec<SocketAddr>, now: Timestamp) {
        let spread = self.transfers.rng.random_range(1.0..2.0);
        let wanted = self.transfers.wanted(asked.kind);
        wanted.referred.extend(referred);
        let pause = if wanted.referred.is_empty() {
            let doubled = RETRY_PAUSE.saturating_mul(1 << wanted.in_vain.min(4));
            wanted.in_vain += 1;
            doubled.min(MAX_RETRY_PAUSE).mul_f64(spread)
        } else {
            REFERRAL_PAUSE
        };
        if asked.is_list {
            let watcher = self.store.watcher(asked.kind.object_kind());
            watcher.restart_list(now + pause);
        } else {
            self.gossip.relay.review_gap_at(asked.kind, now + pause);
        }
    }

    /// Takes objects over, if they are newer than what is known and can be read.
    fn take_state(
        &mut self,
        asked: &Asked,
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
        let known = self.known_revision(asked.kind).unwrap_or(0);
        let is_news = asked.is_list || known < revision;
        let is_former =
            asked.kind != RelayedKind::Configuration && era_of(revision) < self.store.era;
        if !is_news || is_former || validation::revision("revision", revision).is_err() {
            return false;
        }
        let as_of = age_ms.map(|age| {
            let age = Duration::from_millis(u64::from(age));
            asked.started.saturating_sub(age)
        });
        let taken = match (asked.kind, objects) {
            (RelayedKind::Instances, TransferredObjects::Instances(instances)) => {
                let unconfirmed = Duration::from_millis(u64::from(unconfirmed_ms));
                self.directory.doubt_removals_until(now + unconfirmed);
                self.take_instances(instances, revision, as_of, now);
                true
            }
            (RelayedKind::Nodes, TransferredObjects::Nodes(nodes)) => {
                self.take_nodes(nodes.0, revision, now);
                true
            }
            (RelayedKind::Ownership, TransferredObjects::Ownership(entry)) => {
                self.take_record(entry, revision, asked.started, now, out)
            }
            (RelayedKind::Configuration, TransferredObjects::Configuration(whole)) => {
                let next = whole.into_delta(revision).apply_to(None);
                let is_sound = next.is_some();
                if let Some(next) = next {
                    self.configure(next, now, out);
                }
                is_sound
            }
            _ => false,
        };
        if taken {
            self.transfers.received += 1;
            let received = Event::StateReceived {
                kind: asked.kind.name(),
                revision,
                from: asked.source,
            };
            received.emit();
            self.coordination.note_change();
            self.reconsider_waiting(now, out);
        }
        taken
    }

    fn take_instances(
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
            self.directory.note_current(as_of);
        }
        self.list_received(ObjectKind::Instances, revision, now);
    }

    fn take_nodes(&mut self, nodes: Vec<ChangedNode>, revision: u64, now: Timestamp) {
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

    fn take_record(
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
            assignments,
        };
        if validation::ownership(super::OWNERSHIP_NAME, &record).is_err() {
            return false;
        }
        // A take-over rests on what the store itself has told.
        let version = RecordVersion {
            revision,
            is_confirmed: false,
        };
        self.ownership_changed(record, version, started, now, out);
        self.coordination.listed = true;
        self.list_received(ObjectKind::Ownership, revision, now);
        true
    }

    /// A list of a kind has come from another node, with all changes up to a revision.
    fn list_received(&mut self, kind: ObjectKind, revision: u64, now: Timestamp) {
        self.store.watcher(kind).listed_by_peer(revision, now);
        self.gossip.relay.changed(kind, revision);
    }

    /// Makes the call of a watch that is due, of another node if that is where lists come
    /// from.
    pub(super) fn call_watched(
        &mut self,
        kind: ObjectKind,
        call: StoreCall,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        match self.list_source(kind, &call, now) {
            Some((kind, source)) => self.ask_node(kind, source, true, now, out),
            None => self.start_call(Purpose::Watch(kind), call, now, out),
        }
    }
}
