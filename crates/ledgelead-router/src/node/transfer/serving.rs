//! Objects for other nodes that ask for a whole list.
//!
//! Load: all nodes of a fleet start at once, or lack the same large change, and each asks for
//! hundreds of kilobytes. A node sends no more at a time than half of its link carries in
//! `MAX_BACKLOG`, so that heartbeats and requests pass beside it, and refers the rest to
//! nodes that it has served. Another zone gets a list once in `OTHER_ZONE_PAUSE`, since bytes
//! between zones are dear; its nodes pass it on among themselves.

use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::identity::ZoneName;
use crate::io::{Action, ClientId};
use crate::node::Node;
use crate::node::relay::{changed_assignment, listed_instance, listed_node};
use crate::peers::{
    ConfigurationDelta, CoordinatorEntry, PeerAddress, RecordEntry, RelayedKind, TransferAnswer,
    TransferRequest, TransferredObjects, TransferredState, WholeConfiguration, decode_request,
    encode_answer,
};
use crate::{short_millis, whole_millis};
use ledgelead_http::{Request, Response};
use ledgelead_types::codec::{List, Text};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::TRANSFER_PATH;

/// Share of a node's link that lists may take.
const LINK_SHARE: f64 = 0.5;
/// Time for which lists that are being sent may fill that share.
const MAX_BACKLOG: Duration = Duration::from_millis(250);
/// Pause between two lists of a kind for nodes of another zone.
const OTHER_ZONE_PAUSE: Duration = Duration::from_secs(2);
/// How many nodes that were served are remembered in each zone.
const REMEMBERED: usize = 32;
/// Most nodes that one answer refers to.
const MAX_REFERRED: usize = 3;
/// How long an encoded list serves all who ask: it is some seconds old at most.
const ENCODED_TTL: Duration = Duration::from_secs(1);

/// What this node sends others.
#[derive(Default)]
pub(in crate::node) struct TransferServer {
    /// When what is being sent has passed this node's share of its link.
    link_free_at: Timestamp,
    served: BTreeMap<(RelayedKind, ZoneName), Served>,
    encoded: [Option<Encoded>; RelayedKind::ALL.len()],
    /// Lists that were sent.
    pub(in crate::node) sent: u64,
}

/// Nodes of one zone that were sent one kind.
#[derive(Default)]
struct Served {
    last: Timestamp,
    nodes: VecDeque<PeerAddress>,
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

    /// Nodes that may have what another asks for, the next ones in turn each time.
    fn referrals(&mut self, kind: RelayedKind, zone: &ZoneName) -> List<PeerAddress> {
        let Some(served) = self.served.get_mut(&(kind, zone.clone())) else {
            return List::default();
        };
        let count = served.nodes.len().min(MAX_REFERRED);
        served.nodes.rotate_left(count);
        List(served.nodes.iter().rev().take(count).copied().collect())
    }

    fn note_served(&mut self, request: &TransferRequest, zone: ZoneName, now: Timestamp) {
        self.sent += 1;
        let served = self.served.entry((request.kind, zone)).or_default();
        served.last = now;
        served.nodes.retain(|node| *node != request.address);
        served.nodes.push_back(request.address);
        if served.nodes.len() > REMEMBERED {
            served.nodes.pop_front();
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
            TRANSFER_PATH => decode_request(&request.body).ok(),
            _ => None,
        };
        let response = match asked {
            Some(asked) => Response::new(200, self.answer_transfer(&asked, now)),
            None => Response::new(400, Vec::new()),
        };
        out.push(Action::Respond { client, response });
    }

    fn answer_transfer(&mut self, asked: &TransferRequest, now: Timestamp) -> Vec<u8> {
        let zone = ZoneName::from(asked.zone.0.as_str());
        if let Some(body) = self.state_for(asked, &zone, now) {
            self.transfer_server.note_served(asked, zone, now);
            self.count_transfer(asked.address.socket(), body.len());
            return body;
        }
        let nodes = self.transfer_server.referrals(asked.kind, &zone);
        encode_answer(&TransferAnswer::Elsewhere { nodes })
    }

    /// The encoded objects, if they are newer and there is room for them on the link.
    fn state_for(
        &mut self,
        asked: &TransferRequest,
        zone: &ZoneName,
        now: Timestamp,
    ) -> Option<Vec<u8>> {
        let kind = asked.kind;
        if !self.has_newer(kind, asked.known) {
            return None;
        }
        let server = &self.transfer_server;
        let is_other = *zone != self.settings.zone;
        let served = server.served.get(&(kind, zone.clone()));
        let waits = served.is_some_and(|served| now < served.last + OTHER_ZONE_PAUSE);
        let has_room = server.link_free_at <= now + MAX_BACKLOG;
        if !has_room || is_other && waits {
            return None;
        }
        let body = self.encoded_state(kind, now)?;
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

    /// The newest objects of a kind, encoded once for all who ask within a while.
    fn encoded_state(&mut self, kind: RelayedKind, now: Timestamp) -> Option<Vec<u8>> {
        let revision = self.known_revision(kind)?;
        let known = self.transfer_server.encoded[kind as usize].as_ref();
        let fresh =
            known.filter(|known| known.revision == revision && now < known.at + ENCODED_TTL);
        if let Some(fresh) = fresh {
            return Some(fresh.body.clone());
        }
        let state = self.transferred_state(kind, revision, now)?;
        let body = encode_answer(&TransferAnswer::State(state));
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
            RelayedKind::Instances => self.transferred_instances(),
            RelayedKind::Nodes => {
                let nodes = self.registry.registrations().map(listed_node).collect();
                TransferredObjects::Nodes(nodes)
            }
            RelayedKind::Ownership => TransferredObjects::Ownership(self.record_entry()),
            RelayedKind::Configuration => {
                let delta = ConfigurationDelta::between(None, self.configuration.as_ref()?)?;
                TransferredObjects::Configuration(WholeConfiguration {
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

    fn transferred_instances(&self) -> TransferredObjects {
        let listed = self.directory.listed();
        let entries = listed.map(|known| listed_instance(&known.record));
        TransferredObjects::Instances(entries.collect())
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
            next_fence: record.next_fence,
            assignments: record.assignments.iter().map(changed_assignment).collect(),
        }
    }
}
