//! Answers to other nodes that ask for a complete list.
//!
//! All nodes of a fleet may start at once, or miss the same large change, and each then asks
//! for hundreds of kilobytes. Requests wait until there is something to send, so that nodes
//! need not ask repeatedly. At any time, a node has at most as much data to send as half of its
//! link carries in `MAX_BACKLOG`, which leaves room for heartbeats and requests. Nodes with the
//! fastest links are served first. The others are referred to them, in proportion to the speed
//! of their links. Another zone is sent a list at most every `OTHER_ZONE_INTERVAL`, since
//! traffic between zones is expensive; its nodes pass the list on among themselves.

use super::TRANSFER_PATH;
use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::identity::ZoneName;
use crate::io::{Action, ClientId};
use crate::node::Node;
use crate::node::relay::{changed_assignment, listed_node};
use crate::peers::{
    ConfigurationDelta, CoordinatorEntry, FullConfiguration, InstanceTable, PeerAddress,
    RecordEntry, RelayedKind, TransferAnswer, TransferRequest, TransferredObjects,
    TransferredState,
};
use crate::{short_millis, whole_millis};
use ledgelead_http::{Request, Response};
use ledgelead_types::codec::{self, List, Text};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Share of a node's link that lists may use.
const LINK_SHARE: f64 = 0.5;
/// How long the lists being sent may occupy that share.
const MAX_BACKLOG: Duration = Duration::from_millis(250);
/// Minimum interval between lists of a kind for nodes of another zone.
const OTHER_ZONE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of served nodes remembered for each zone and kind.
const MAX_RECEIVERS_PER_ZONE: usize = 32;
/// Maximum number of waiting requests.
const MAX_WAITING: usize = 2_000;
/// How long requests are gathered before the first is answered: nodes that start together ask
/// within about 100 ms.
const GATHERING_PERIOD: Duration = Duration::from_millis(40);
/// Interval between reviews of the waiting requests.
const REVIEW_INTERVAL: Duration = Duration::from_millis(40);
/// How long a request waits for free bandwidth before it is referred to another node.
const LINK_WAIT: Duration = Duration::from_millis(120);
/// How long a request waits at most for objects to send. This is shorter than the time without
/// progress after which its sender asks another node.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(700);
/// How long an encoded list is reused: it is only a few seconds old at most.
const ENCODED_TTL: Duration = Duration::from_secs(1);

/// State of the lists sent to other nodes.
#[derive(Default)]
pub(in crate::node) struct TransferServer {
    /// When the lists being sent will have passed through this node's share of its link.
    link_free_at: Timestamp,
    served: BTreeMap<(RelayedKind, ZoneName), ServedNodes>,
    encoded: [Option<Encoded>; RelayedKind::ALL.len()],
    waiting: Vec<WaitingRequest>,
    next_review: Timestamp,
    sent: u64,
}

/// Nodes of one zone that were sent lists of one kind.
#[derive(Default)]
struct ServedNodes {
    last: Timestamp,
    nodes: VecDeque<Receiver>,
}

/// A node that was sent a list.
struct Receiver {
    address: PeerAddress,
    link_bytes_per_s: u64,
    /// Number of nodes referred to it.
    referred: u64,
}

/// A request that has not been answered yet.
struct WaitingRequest {
    client: ClientId,
    transfer: TransferRequest,
    zone: ZoneName,
    since: Timestamp,
}

impl WaitingRequest {
    /// Key of the nodes of the same zone that were sent the same kind.
    fn key(&self) -> (RelayedKind, ZoneName) {
        (self.transfer.kind, self.zone.clone())
    }
}

/// How to handle a waiting request.
enum Decision {
    Send(Vec<u8>),
    Refer,
    Wait,
}

/// An encoded answer with all objects of a kind.
struct Encoded {
    revision: u64,
    at: Timestamp,
    body: Vec<u8>,
}

impl TransferServer {
    /// Removes expired encoded lists.
    pub(in crate::node) fn expire(&mut self, now: Timestamp) {
        for encoded in &mut self.encoded {
            encoded.take_if(|known| known.at + ENCODED_TTL <= now);
        }
    }

    /// Number of lists sent.
    pub(in crate::node) fn sent(&self) -> u64 {
        self.sent
    }

    /// When waiting requests are reviewed next.
    pub(in crate::node) fn next_deadline(&self) -> Option<Timestamp> {
        (!self.waiting.is_empty()).then_some(self.next_review)
    }

    /// Drops the requests of a client that has disconnected.
    pub(in crate::node) fn client_disconnected(&mut self, client: ClientId) {
        self.waiting.retain(|waiting| waiting.client != client);
    }

    /// The node with the fewest referrals in relation to the speed of its link, other than the
    /// asking node itself.
    fn referral(&mut self, request: &WaitingRequest) -> List<PeerAddress> {
        let served = self.served.get_mut(&request.key());
        let receivers = served.into_iter().flat_map(|served| &mut served.nodes);
        let others = receivers.filter(|receiver| receiver.address != request.transfer.address);
        let load_per_bandwidth = |receiver: &Receiver| {
            (receiver.referred + 1) as f64 / receiver.link_bytes_per_s.max(1) as f64
        };
        let chosen = others
            .min_by(|left, right| load_per_bandwidth(left).total_cmp(&load_per_bandwidth(right)));
        let address = chosen.map(|receiver| {
            receiver.referred += 1;
            receiver.address
        });
        address.into_iter().collect()
    }

    fn record_served(&mut self, request: &WaitingRequest, now: Timestamp) {
        self.sent += 1;
        let transfer = &request.transfer;
        let served = self.served.entry(request.key()).or_default();
        served.last = now;
        served.nodes.retain(|node| node.address != transfer.address);
        served.nodes.push_back(Receiver {
            address: transfer.address,
            link_bytes_per_s: transfer.link_bytes_per_s,
            referred: 0,
        });
        if served.nodes.len() > MAX_RECEIVERS_PER_ZONE {
            served.remove_slowest();
        }
    }
}

impl ServedNodes {
    /// Removes the node with the slowest link, or the oldest of several.
    fn remove_slowest(&mut self) {
        let links = self.nodes.iter().map(|node| node.link_bytes_per_s);
        let slowest = links.enumerate().min_by_key(|(_, link)| *link);
        if let Some((index, _)) = slowest {
            self.nodes.remove(index);
        }
    }
}

impl Node {
    /// Handles another node's request for all objects of a kind.
    pub(in crate::node) fn transfer_requested(
        &mut self,
        client: ClientId,
        request: &Request,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let transfer = match request.path() {
            TRANSFER_PATH => codec::decode::<TransferRequest>(&request.body).ok(),
            _ => None,
        };
        let Some(transfer) = transfer else {
            let response = Response::new(400, Vec::new());
            out.push(Action::Respond { client, response });
            return;
        };
        let request = WaitingRequest {
            client,
            zone: ZoneName::from(transfer.zone.0.as_str()),
            transfer,
            since: now,
        };
        let server = &mut self.transfer_server;
        if server.waiting.len() >= MAX_WAITING {
            self.refer(&request, out);
            return;
        }
        if server.waiting.is_empty() {
            server.next_review = now + GATHERING_PERIOD;
        }
        server.waiting.push(request);
    }

    /// Answers the waiting requests if their review is due.
    pub(in crate::node) fn answer_transfers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let server = &mut self.transfer_server;
        if server.waiting.is_empty() || now < server.next_review {
            return;
        }
        server.next_review = now + REVIEW_INTERVAL;
        let mut waiting = std::mem::take(&mut server.waiting);
        waiting.sort_by_key(|waiting| (Reverse(waiting.transfer.link_bytes_per_s), waiting.since));
        for request in waiting {
            match self.decide(&request, now) {
                Decision::Send(body) => {
                    self.transfer_server.record_served(&request, now);
                    self.count_transfer(request.transfer.address.socket(), body.len());
                    respond(request.client, body, out);
                }
                Decision::Refer => self.refer(&request, out),
                Decision::Wait => self.transfer_server.waiting.push(request),
            }
        }
    }

    fn refer(&mut self, request: &WaitingRequest, out: &mut Vec<Action>) {
        let nodes = self.transfer_server.referral(request);
        let answer = TransferAnswer::Redirect { nodes };
        respond(request.client, codec::encode(&answer), out);
    }

    fn decide(&mut self, request: &WaitingRequest, now: Timestamp) -> Decision {
        let WaitingRequest {
            transfer, since, ..
        } = request;
        let has_timed_out = *since + MAX_REQUEST_WAIT <= now;
        let is_other_zone = request.zone != self.settings.zone;
        let served = self.transfer_server.served.get(&request.key());
        let is_served = served.is_some_and(|served| !served.nodes.is_empty());
        let is_recently_served =
            served.is_some_and(|served| now < served.last + OTHER_ZONE_INTERVAL);
        if is_other_zone && is_recently_served {
            return Decision::Refer;
        }
        if let Some(body) = self.state_for(transfer, now) {
            return Decision::Send(body);
        }
        let has_waited = *since + LINK_WAIT <= now;
        match has_timed_out
            || is_served && has_waited && self.has_newer(transfer.kind, transfer.known_revision)
        {
            true => Decision::Refer,
            false => Decision::Wait,
        }
    }

    /// The encoded objects, if they are newer than what the asking node knows and there is
    /// free bandwidth.
    fn state_for(&mut self, transfer: &TransferRequest, now: Timestamp) -> Option<Vec<u8>> {
        let has_bandwidth = self.transfer_server.link_free_at <= now + MAX_BACKLOG;
        if !has_bandwidth || !self.has_newer(transfer.kind, transfer.known_revision) {
            return None;
        }
        let body = self.encoded_state(transfer.kind, transfer.known_revision, now)?;
        let share = self.settings.link_bytes_per_s as f64 * LINK_SHARE;
        let takes = Duration::try_from_secs_f64(body.len() as f64 / share.max(1.0));
        let server = &mut self.transfer_server;
        server.link_free_at = server.link_free_at.max(now) + takes.unwrap_or(MAX_BACKLOG);
        Some(body)
    }

    /// Whether this node knows all objects of a kind, with changes after a revision.
    fn has_newer(&self, kind: RelayedKind, known: u64) -> bool {
        let is_listed = match kind {
            RelayedKind::Instances => self.directory.is_complete(),
            RelayedKind::Nodes => self.store.has_listed(ObjectKind::Nodes),
            RelayedKind::Ownership => self.coordination.record_listed,
            RelayedKind::Configuration => self.configuration.is_some(),
        };
        let coordinates = self.coordination.coordinator().is_some();
        let is_current = coordinates || self.messaging.following_until.is_some();
        let revision = self.known_revision(kind);
        is_listed && is_current && revision.is_some_and(|revision| revision > known)
    }

    /// The encoded objects of a kind with changes after a revision. They are encoded once for
    /// all nodes that ask within `ENCODED_TTL`.
    fn encoded_state(&mut self, kind: RelayedKind, known: u64, now: Timestamp) -> Option<Vec<u8>> {
        let encoded = self.transfer_server.encoded[kind as usize].as_ref();
        let is_fresh =
            |encoded: &&Encoded| encoded.revision > known && now < encoded.at + ENCODED_TTL;
        if let Some(fresh) = encoded.filter(is_fresh) {
            return Some(fresh.body.clone());
        }
        let revision = self.known_revision(kind)?;
        let state = self.transferred_state(kind, revision, now)?;
        let body = codec::encode(&TransferAnswer::State(state));
        self.transfer_server.encoded[kind as usize] = Some(Encoded {
            revision,
            at: now,
            body: body.clone(),
        });
        Some(body)
    }

    fn transferred_state(
        &self,
        kind: RelayedKind,
        revision: u64,
        now: Timestamp,
    ) -> Option<TransferredState> {
        let objects = match kind {
            RelayedKind::Instances => {
                let records = self.directory.listed().map(|known| &known.record);
                TransferredObjects::Instances(InstanceTable::new(records))
            }
            RelayedKind::Nodes => {
                let nodes = self.registry.registrations().map(listed_node).collect();
                TransferredObjects::Nodes(nodes)
            }
            RelayedKind::Ownership => TransferredObjects::Ownership(self.record_entry()),
            RelayedKind::Configuration => {
                let delta = ConfigurationDelta::between(None, self.configuration.as_ref()?)?;
                TransferredObjects::Configuration(FullConfiguration {
                    limits: delta.limits,
                    entries: List(delta.changes),
                })
            }
        };
        // The answer may be reused until it expires.
        let age = |at: Timestamp| whole_millis(now.saturating_sub(at) + ENCODED_TTL);
        let age_ms = self.directory.current_at().map(age);
        Some(TransferredState {
            revision,
            age_ms: age_ms.and_then(|age| u32::try_from(age).ok()),
            unconfirmed_ms: short_millis(self.directory.removal_deferral_left(now)),
            objects,
        })
    }

    fn record_entry(&self) -> RecordEntry {
        let record = self.ownership.record();
        let coordinator = record
            .coordinator
            .as_ref()
            .map(|coordinator| CoordinatorEntry {
                node: Text(coordinator.node.to_string()),
                incarnation: coordinator.incarnation,
            });
        RecordEntry {
            epoch: record.epoch,
            coordinator,
            earlier_authority_ms: record.earlier_authority_ms,
            era: record.era,
            unknown_holds_ms: record.unknown_holds_ms,
            next_fence: record.next_fence,
            assignments: record.assignments.iter().map(changed_assignment).collect(),
        }
    }
}

fn respond(client: ClientId, body: Vec<u8>, out: &mut Vec<Action>) {
    let response = Response::new(200, body);
    out.push(Action::Respond { client, response });
}
