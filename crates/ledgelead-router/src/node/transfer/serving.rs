//! Objects for other nodes that ask for a whole list.
//!
//! Load: all nodes of a fleet start at once, or lack the same large change, and each asks for
//! hundreds of kilobytes. Requests wait until there is something to send, so that nobody has
//! to ask again and again. A node sends no more at a time than half of its link carries in
//! `MAX_BACKLOG`, so that heartbeats and requests pass beside it, to the nodes with the widest
//! links first, and refers the others to these, to each the more the wider its link is. Another
//! zone gets a list once in `OTHER_ZONE_PAUSE`, since bytes between zones are dear; its nodes
//! pass it on among themselves.

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

/// Share of a node's link that lists may take.
const LINK_SHARE: f64 = 0.5;
/// Time for which lists that are being sent may fill that share.
const MAX_BACKLOG: Duration = Duration::from_millis(250);
/// Pause between two lists of a kind for nodes of another zone.
const OTHER_ZONE_PAUSE: Duration = Duration::from_secs(2);
/// How many nodes that were served are remembered in each zone.
const REMEMBERED: usize = 32;
/// Most requests that wait here.
const MAX_WAITING: usize = 2_000;
/// How long requests are gathered before the first is answered: nodes that start together
/// ask within some 100 ms.
const GATHER_FOR: Duration = Duration::from_millis(40);
/// Pause between two reviews of the requests that wait.
const REVIEW_PAUSE: Duration = Duration::from_millis(40);
/// How long a request waits for room on the link before it is referred to another node.
const ROOM_WITHIN: Duration = Duration::from_millis(120);
/// How long a request waits for anything to send. Less than the time without progress after
/// which its sender asks another node.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// How long an encoded list serves all who ask: it is some seconds old at most.
const ENCODED_TTL: Duration = Duration::from_secs(1);

/// What this node sends others.
#[derive(Default)]
pub(in crate::node) struct TransferServer {
    /// When what is being sent has passed this node's share of its link.
    link_free_at: Timestamp,
    served: BTreeMap<(RelayedKind, ZoneName), Served>,
    encoded: [Option<Encoded>; RelayedKind::ALL.len()],
    waiting: Vec<Waiting>,
    next_review: Timestamp,
    sent: u64,
}

/// Nodes of one zone that were sent one kind.
#[derive(Default)]
struct Served {
    last: Timestamp,
    nodes: VecDeque<Receiver>,
}

/// A node that was sent a list.
struct Receiver {
    address: PeerAddress,
    link_bytes_per_s: u64,
    /// How many others were referred to it.
    referred: u64,
}

/// A request without an answer.
struct Waiting {
    client: ClientId,
    asked: TransferRequest,
    zone: ZoneName,
    since: Timestamp,
}

impl Waiting {
    /// Names the nodes of the same zone that were sent the same kind.
    fn key(&self) -> (RelayedKind, ZoneName) {
        (self.asked.kind, self.zone.clone())
    }
}

/// What becomes of a request.
enum Decision {
    Send(Vec<u8>),
    Refer,
    Wait,
}

/// An answer with all objects of a kind.
struct Encoded {
    revision: u64,
    at: Timestamp,
    body: Vec<u8>,
}

impl TransferServer {
    /// Forgets what is no longer needed.
    pub(in crate::node) fn expire(&mut self, now: Timestamp) {
        for encoded in &mut self.encoded {
            encoded.take_if(|known| known.at + ENCODED_TTL <= now);
        }
    }

    /// Lists that were sent.
    pub(in crate::node) fn sent(&self) -> u64 {
        self.sent
    }

    /// When a request that waits is looked at.
    pub(in crate::node) fn next_deadline(&self) -> Option<Timestamp> {
        (!self.waiting.is_empty()).then_some(self.next_review)
    }

    /// Who asked has closed its connection.
    pub(in crate::node) fn left(&mut self, client: ClientId) {
        self.waiting.retain(|waiting| waiting.client != client);
    }

    /// The node that has the fewest referred to it for the width of its link.
    fn referral(&mut self, request: &Waiting) -> List<PeerAddress> {
        let served = self.served.get_mut(&request.key());
        let receivers = served.into_iter().flat_map(|served| &mut served.nodes);
        let others = receivers.filter(|receiver| receiver.address != request.asked.address);
        let burden = |receiver: &Receiver| {
            (receiver.referred + 1) as f64 / receiver.link_bytes_per_s.max(1) as f64
        };
        let chosen = others.min_by(|left, right| burden(left).total_cmp(&burden(right)));
        let address = chosen.map(|receiver| {
            receiver.referred += 1;
            receiver.address
        });
        address.into_iter().collect()
    }

    fn note_served(&mut self, request: &Waiting, now: Timestamp) {
        self.sent += 1;
        let asked = &request.asked;
        let served = self.served.entry(request.key()).or_default();
        served.last = now;
        served.nodes.retain(|node| node.address != asked.address);
        served.nodes.push_back(Receiver {
            address: asked.address,
            link_bytes_per_s: asked.link_bytes_per_s,
            referred: 0,
        });
        if served.nodes.len() > REMEMBERED {
            served.forget_narrowest();
        }
    }
}

impl Served {
    /// Forgets the node with the narrowest link, the oldest of several.
    fn forget_narrowest(&mut self) {
        let links = self.nodes.iter().map(|node| node.link_bytes_per_s);
        let narrowest = links.enumerate().min_by_key(|(_, link)| *link);
        if let Some((place, _)) = narrowest {
            self.nodes.remove(place);
        }
    }
}

impl Node {
    /// Another node asks for all objects of a kind.
    pub(in crate::node) fn transfer_requested(
        &mut self,
        client: ClientId,
        request: &Request,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let asked = match request.path() {
            TRANSFER_PATH => codec::decode::<TransferRequest>(&request.body).ok(),
            _ => None,
        };
        let Some(asked) = asked else {
            let response = Response::new(400, Vec::new());
            out.push(Action::Respond { client, response });
            return;
        };
        let request = Waiting {
            client,
            zone: ZoneName::from(asked.zone.0.as_str()),
            asked,
            since: now,
        };
        let server = &mut self.transfer_server;
        if server.waiting.len() >= MAX_WAITING {
            self.refer(&request, out);
            return;
        }
        if server.waiting.is_empty() {
            server.next_review = now + GATHER_FOR;
        }
        server.waiting.push(request);
    }

    /// Answers the requests that wait, if they are due to be looked at.
    pub(in crate::node) fn answer_transfers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let server = &mut self.transfer_server;
        if server.waiting.is_empty() || now < server.next_review {
            return;
        }
        server.next_review = now + REVIEW_PAUSE;
        let mut waiting = std::mem::take(&mut server.waiting);
        waiting.sort_by_key(|waiting| (Reverse(waiting.asked.link_bytes_per_s), waiting.since));
        for request in waiting {
            match self.decide(&request, now) {
                Decision::Send(body) => {
                    self.transfer_server.note_served(&request, now);
                    self.count_transfer(request.asked.address.socket(), body.len());
                    respond(request.client, body, out);
                }
                Decision::Refer => self.refer(&request, out),
                Decision::Wait => self.transfer_server.waiting.push(request),
            }
        }
    }

    fn refer(&mut self, request: &Waiting, out: &mut Vec<Action>) {
        let nodes = self.transfer_server.referral(request);
        let answer = TransferAnswer::Redirect { nodes };
        respond(request.client, codec::encode(&answer), out);
    }

    fn decide(&mut self, request: &Waiting, now: Timestamp) -> Decision {
        let Waiting { asked, since, .. } = request;
        let is_over = *since + MAX_WAIT <= now;
        let is_other = request.zone != self.settings.zone;
        let served = self.transfer_server.served.get(&request.key());
        let is_served = served.is_some_and(|served| !served.nodes.is_empty());
        let is_recent = served.is_some_and(|served| now < served.last + OTHER_ZONE_PAUSE);
        if is_other && is_recent {
            return Decision::Refer;
        }
        if let Some(body) = self.state_for(asked, now) {
            return Decision::Send(body);
        }
        let has_waited = *since + ROOM_WITHIN <= now;
        match is_over || is_served && has_waited && self.has_newer(asked.kind, asked.known_revision)
        {
            true => Decision::Refer,
            false => Decision::Wait,
        }
    }

    /// The encoded objects, if they are newer and there is room for them on the link.
    fn state_for(&mut self, asked: &TransferRequest, now: Timestamp) -> Option<Vec<u8>> {
        let has_room = self.transfer_server.link_free_at <= now + MAX_BACKLOG;
        if !has_room || !self.has_newer(asked.kind, asked.known_revision) {
            return None;
        }
        let body = self.encoded_state(asked.kind, asked.known_revision, now)?;
        let share = self.settings.link_bytes_per_s as f64 * LINK_SHARE;
        let takes = Duration::try_from_secs_f64(body.len() as f64 / share.max(1.0));
        let server = &mut self.transfer_server;
        server.link_free_at = server.link_free_at.max(now) + takes.unwrap_or(MAX_BACKLOG);
        Some(body)
    }

    /// Whether this node knows a kind whole, with changes after a revision.
    fn has_newer(&self, kind: RelayedKind, known: u64) -> bool {
        let is_listed = match kind {
            RelayedKind::Instances => self.directory.is_complete(),
            RelayedKind::Nodes => self.store.has_listed(ObjectKind::Nodes),
            RelayedKind::Ownership => self.coordination.listed,
            RelayedKind::Configuration => self.configuration.is_some(),
        };
        let coordinates = self.coordination.coordinator().is_some();
        let is_current = coordinates || self.gossip.informed_until.is_some();
        let revision = self.known_revision(kind);
        is_listed && is_current && revision.is_some_and(|revision| revision > known)
    }

    /// The objects of a kind with changes after a revision, encoded once for all who ask
    /// within a while.
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
        // An answer may be sent again for as long as it is kept.
        let age = |at: Timestamp| whole_millis(now.saturating_sub(at) + ENCODED_TTL);
        let age_ms = self.directory.current_at().map(age);
        Some(TransferredState {
            revision,
            age_ms: age_ms.and_then(|age| u32::try_from(age).ok()),
            unconfirmed_ms: short_millis(self.directory.doubt_left(now)),
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
