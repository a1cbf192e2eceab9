//! Dissemination of versioned items (configuration, group records and routes) to every live
//! node.
//!
//! New versions are pushed epidemically (Demers et al.: "Epidemic algorithms for replicated
//! database maintenance", 1987). A small item is sent whole. A large item is sent as a
//! difference to the previous version if that is small, otherwise it is offered, and a node
//! that lacks it requests it once. Nodes that were missed or partitioned are repaired by
//! comparing digests with one random node per second.
//!
//! Invariant: the version of an item held by a node never decreases.

mod message;
mod patch;
#[cfg(test)]
mod patch_tests;
mod rumors;
mod store;

pub use message::{DisseminationMessage, Item, ItemDelta, ItemHeader, ItemKey, ItemVersion};

use ledgelead_types::protections::Protections;
use ledgelead_types::{Bytes, GroupId, List, NodeId, ServiceId, Span, Time};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rumors::Rumors;
use std::collections::{BTreeMap, BTreeSet};
use store::{ItemStore, PutResult};
use xxhash_rust::xxh3::xxh3_64;

/// Number of random nodes that receive each round of a rumor.
const FANOUT: usize = 4;
/// Up to this number of peers, the first node to have a new version sends it to all of them
/// at once. The others only offer it to a few nodes, in case that node or its messages were
/// lost.
const MAX_FULL_FANOUT_PEERS: usize = 8;
/// Number of nodes to which the item is offered by a node that received it together with all
/// others.
const CONFIRMATION_FANOUT: usize = 2;
/// Maximum size of a value that is pushed whole; larger values are offered first.
const MAX_PUSH_BYTES: usize = 512;
/// Interval of digest comparisons.
const DIGEST_INTERVAL: Span = Span::from_seconds(1);
/// How long to wait for a requested item before requesting it from another node.
const REQUEST_TIMEOUT: Span = Span::from_millis(100);
/// Maximum total size of the values in one message; a single larger value is sent alone.
const MAX_MESSAGE_BYTES: usize = 256 * 1_024;

/// Initial settings of the dissemination.
#[derive(Clone, Copy, Debug)]
pub struct DisseminationSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of all random decisions.
    pub random_seed: u64,
    /// Protections in force; all are on except in simulations that verify their checker.
    pub protections: Protections,
}

/// An input to the dissemination.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationInput {
    /// This node has a new version of an item.
    Publish {
        /// The item.
        key: ItemKey,
        /// Its version.
        version: ItemVersion,
        /// Its content.
        value: Bytes,
    },
    /// A message from another node.
    Message {
        /// The sender, authenticated by the transport.
        from: NodeId,
        /// The message.
        message: DisseminationMessage,
    },
    /// The live nodes except this one.
    Peers(Vec<NodeId>),
    /// The groups of the configuration in force. Items of removed groups are dropped and no
    /// longer accepted.
    Configured {
        /// Every configured group.
        groups: BTreeSet<GroupId>,
        /// Highest service identifier ever assigned. A group of a service with a higher
        /// identifier is new rather than removed.
        highest_service: ServiceId,
    },
}

/// An action that the caller of the dissemination has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationOutput {
    /// Send a message. The message may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: DisseminationMessage,
    },
    /// A strictly newer version of an item was received or published.
    Updated {
        /// The item.
        key: ItemKey,
        /// Its version.
        version: ItemVersion,
        /// Its content.
        value: Bytes,
    },
}

/// One node's replica of all items.
pub struct Dissemination {
    node: NodeId,
    peers: Vec<NodeId>,
    store: ItemStore,
    rumors: Rumors,
    requested: BTreeMap<ItemKey, (ItemVersion, Time)>,
    /// Differences that led to the current versions, kept to be passed on.
    deltas: BTreeMap<ItemKey, ItemDelta>,
    /// Items whose current version was published by this node.
    published_here: BTreeSet<ItemKey>,
    next_digest: Time,
    random: Pcg64Mcg,
    outputs: Vec<DisseminationOutput>,
}

impl Dissemination {
    /// A node without items.
    pub fn new(settings: DisseminationSettings, now: Time) -> Dissemination {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let phase = Span(random.random_range(0..DIGEST_INTERVAL.as_micros()));
        Dissemination {
            node: settings.node,
            peers: Vec::new(),
            store: ItemStore::new(settings.protections),
            rumors: Rumors::default(),
            requested: BTreeMap::new(),
            deltas: BTreeMap::new(),
            published_here: BTreeSet::new(),
            next_digest: now + phase,
            random,
            outputs: Vec::new(),
        }
    }

    /// Handles an input at `now`.
    pub fn step(&mut self, now: Time, input: DisseminationInput) {
        match input {
            DisseminationInput::Publish {
                key,
                version,
                value,
            } => self.publish(now, key, version, value),
            DisseminationInput::Message { from, message } => self.receive(now, from, message),
            DisseminationInput::Peers(peers) => self.apply_peers(peers),
            DisseminationInput::Configured {
                groups,
                highest_service,
            } => self.apply_groups(groups, highest_service),
        }
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Time) {
        for key in self.rumors.take_due(now) {
            self.offer(key);
        }
        if now >= self.next_digest {
            self.next_digest = now + DIGEST_INTERVAL;
            self.compare();
        }
    }

    /// When [`Dissemination::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let rumor = self.rumors.next_due();
        rumor.map_or(self.next_digest, |due| due.min(self.next_digest))
    }

    /// Takes the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<DisseminationOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The current version and content of an item.
    pub fn get(&self, key: ItemKey) -> Option<(ItemVersion, &Bytes)> {
        self.store.get(key)
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    fn receive(&mut self, now: Time, from: NodeId, message: DisseminationMessage) {
        match message {
            DisseminationMessage::Items(items) => {
                for item in items {
                    self.published_here.remove(&item.key);
                    self.apply_item(now, item, None);
                }
            }
            DisseminationMessage::Delta(delta) => self.apply_delta(now, from, delta),
            DisseminationMessage::Offer(headers) => self.request_offered(now, from, &headers),
            DisseminationMessage::Request(keys) => self.send_items(from, &keys),
            DisseminationMessage::Summary { hash } => {
                if hash != self.store.hash() {
                    let headers = self.store.headers();
                    self.send(from, DisseminationMessage::Digest(headers));
                }
            }
            DisseminationMessage::Digest(headers) => self.apply_digest(now, from, &headers),
        }
    }

    fn publish(&mut self, now: Time, key: ItemKey, version: ItemVersion, value: Bytes) {
        let delta = self.delta_to(key, version, &value);
        if self.store.would_accept(key, version) {
            self.published_here.insert(key);
        }
        let item = Item {
            key,
            version,
            value,
        };
        self.apply_item(now, item, delta);
    }

    /// The difference to the current version, unless the value is small or the difference is
    /// not.
    fn delta_to(&self, key: ItemKey, version: ItemVersion, value: &Bytes) -> Option<ItemDelta> {
        let (base, held) = self.store.get(key)?;
        if value.0.len() <= MAX_PUSH_BYTES {
            return None;
        }
        Some(ItemDelta {
            header: ItemHeader { key, version },
            base,
            patch: patch::difference(&held.0, &value.0)?,
            hash: xxh3_64(&value.0),
        })
    }

    fn apply_delta(&mut self, now: Time, from: NodeId, delta: ItemDelta) {
        let ItemHeader { key, version } = delta.header;
        if !self.store.would_accept(key, version) {
            return;
        }
        let held = self.store.get(key).filter(|(held, _)| *held == delta.base);
        let value = held.and_then(|(_, base)| patch::apply(&base.0, &delta.patch));
        let Some(value) = value.filter(|value| xxh3_64(value) == delta.hash) else {
            self.request_offered(now, from, &[delta.header]);
            return;
        };
        self.published_here.remove(&key);
        let item = Item {
            key,
            version,
            value: Bytes(value),
        };
        self.apply_item(now, item, Some(delta));
    }

    fn apply_item(&mut self, now: Time, item: Item, delta: Option<ItemDelta>) {
        let Item {
            key,
            version,
            value,
        } = item;
        self.requested.remove(&key);
        let is_small = value.0.len() <= MAX_PUSH_BYTES;
        let result = self.store.put(key, version, value.clone());
        if result == PutResult::Refused {
            return;
        }
        self.outputs.push(DisseminationOutput::Updated {
            key,
            version,
            value,
        });
        self.deltas.remove(&key);
        if let Some(delta) = delta {
            self.deltas.insert(key, delta);
        }
        if result == PutResult::Newer {
            self.rumors.start(now, key);
            self.announce(key, is_small);
        }
    }

    /// Announces a new version at once.
    fn announce(&mut self, key: ItemKey, is_small: bool) {
        if self.is_announced_to_all(key) {
            return;
        }
        if is_small {
            self.push(key);
        } else if let Some(delta) = self.pushed_delta(key) {
            for node in self.choose_peers(key) {
                self.send(node, DisseminationMessage::Delta(delta.clone()));
            }
        } else {
            self.offer(key);
        }
    }

    /// The difference to push. If each node receives an announcement several times, a large
    /// difference is offered like a whole item.
    fn pushed_delta(&self, key: ItemKey) -> Option<ItemDelta> {
        let is_delivered_once = self.peers.len() <= MAX_FULL_FANOUT_PEERS;
        let delta = self.deltas.get(&key)?;
        let is_pushed = is_delivered_once || delta.patch.0.len() <= MAX_PUSH_BYTES;
        is_pushed.then(|| delta.clone())
    }

    /// Whether another node published the item and announces it to every node itself.
    fn is_announced_to_all(&self, key: ItemKey) -> bool {
        self.peers.len() <= MAX_FULL_FANOUT_PEERS && !self.published_here.contains(&key)
    }

    /// Requests the offered items that are newer, each from one node at a time.
    fn request_offered(&mut self, now: Time, from: NodeId, headers: &[ItemHeader]) {
        let mut wanted = List::default();
        for header in headers {
            if self.store.would_accept(header.key, header.version)
                && !self.is_requested(now, header)
            {
                self.requested.insert(header.key, (header.version, now));
                wanted.push(header.key);
            }
        }
        if !wanted.is_empty() {
            self.send(from, DisseminationMessage::Request(wanted));
        }
    }

    fn is_requested(&self, now: Time, header: &ItemHeader) -> bool {
        let open = self.requested.get(&header.key);
        open.is_some_and(|(version, asked)| {
            *version >= header.version && now.since(*asked) < REQUEST_TIMEOUT
        })
    }

    /// Handles another node's digest that differs from this node's: sends items that are
    /// newer here and requests items that are newer there.
    fn apply_digest(&mut self, now: Time, from: NodeId, headers: &[ItemHeader]) {
        let theirs: BTreeMap<ItemKey, ItemVersion> = headers
            .iter()
            .map(|header| (header.key, header.version))
            .collect();
        let newer_here: Vec<ItemKey> = self
            .store
            .headers()
            .iter()
            .filter(|header| theirs.get(&header.key) < Some(&header.version))
            .map(|header| header.key)
            .collect();
        self.send_items(from, &newer_here);
        self.request_offered(now, from, headers);
    }

    fn send_items(&mut self, to: NodeId, keys: &[ItemKey]) {
        let mut items = List::default();
        let mut bytes = 0;
        for key in keys {
            let Some(item) = self.store.item(*key) else {
                continue;
            };
            let size = item.value.0.len();
            if bytes + size > MAX_MESSAGE_BYTES && !items.is_empty() {
                self.send(to, DisseminationMessage::Items(std::mem::take(&mut items)));
                bytes = 0;
            }
            bytes += size;
            items.push(item);
        }
        if !items.is_empty() {
            self.send(to, DisseminationMessage::Items(items));
        }
    }

    fn push(&mut self, key: ItemKey) {
        for node in self.choose_peers(key) {
            self.send_items(node, &[key]);
        }
    }

    fn offer(&mut self, key: ItemKey) {
        let Some((version, _)) = self.store.get(key) else {
            return;
        };
        let header = ItemHeader { key, version };
        for node in self.choose_peers(key) {
            self.send(node, DisseminationMessage::Offer(List(vec![header])));
        }
    }

    fn choose_peers(&mut self, key: ItemKey) -> Vec<NodeId> {
        let count = if self.is_announced_to_all(key) {
            CONFIRMATION_FANOUT
        } else if self.peers.len() <= MAX_FULL_FANOUT_PEERS {
            return self.peers.clone();
        } else {
            FANOUT
        };
        let chosen = self.peers.sample(&mut self.random, count);
        chosen.copied().collect()
    }

    fn compare(&mut self) {
        let hash = self.store.hash();
        if let Some(node) = self.peers.choose(&mut self.random).copied() {
            self.send(node, DisseminationMessage::Summary { hash });
        }
    }

    /// A node without peers was partitioned or has just started; it compares digests as soon
    /// as it has peers.
    fn apply_peers(&mut self, peers: Vec<NodeId>) {
        let was_alone = self.peers.is_empty();
        self.peers = peers;
        self.peers.retain(|node| *node != self.node);
        if was_alone {
            self.compare();
        }
    }

    fn apply_groups(&mut self, groups: BTreeSet<GroupId>, highest_service: ServiceId) {
        self.store.configure(groups, highest_service);
        let store = &self.store;
        self.rumors.retain(|key| store.get(key).is_some());
        self.deltas.retain(|key, _| store.get(*key).is_some());
        self.published_here.retain(|key| store.get(*key).is_some());
        self.requested
            .retain(|key, (version, _)| store.would_accept(*key, *version));
    }

    fn send(&mut self, to: NodeId, message: DisseminationMessage) {
        self.outputs.push(DisseminationOutput::Send { to, message });
    }
}
