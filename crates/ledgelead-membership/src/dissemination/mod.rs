//! Versioned items that every live node holds in their newest version:
//! configuration, group records and routes.
//!
//! News is pushed epidemically (Demers et al.: "Epidemic algorithms for
//! replicated database maintenance", 1987): a small item whole, a large one as
//! a change of the version before when that is small, else as an offer that a
//! node which lacks it takes up once. Whoever was missed or cut off is repaired
//! by comparing digests with one random node a second.
//! Invariant: the held version of an item never decreases.

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

/// Random nodes that each round of a rumour tells.
const FANOUT: usize = 4;
/// Up to this many peers all are told at once, by the node that has the news
/// first. The others then only offer it, to few, in case that node or its
/// messages were lost.
const MAX_FULL_FANOUT_PEERS: usize = 8;
/// Nodes to which one that was told together with all others offers the item.
const CONFIRMATION_FANOUT: usize = 2;
/// Largest value that is pushed whole; larger ones are offered first.
const MAX_PUSH_BYTES: usize = 512;
/// One digest comparison in this time.
const DIGEST_INTERVAL: Span = Span::from_seconds(1);
/// How long an item that was asked for may take before another node is asked.
const REQUEST_TIMEOUT: Span = Span::from_millis(100);
/// Bytes of values that one message carries at most, unless one value alone
/// is larger.
const MAX_MESSAGE_BYTES: usize = 256 * 1_024;

/// What the dissemination of one node starts from.
#[derive(Clone, Copy, Debug)]
pub struct DisseminationSettings {
    /// This node.
    pub node: NodeId,
    /// Seed of every random decision.
    pub random_seed: u64,
    /// All on, except in a simulation that proves its checker.
    pub protections: Protections,
}

/// Something that the dissemination hears of.
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
    /// A message of another node arrived.
    Message {
        /// The sender, authenticated by the transport.
        from: NodeId,
        /// The message.
        message: DisseminationMessage,
    },
    /// The live nodes without this one.
    Peers(Vec<NodeId>),
    /// The groups of the configuration in force. Items of groups that were
    /// removed are dropped and not taken again.
    Configured {
        /// Every configured group.
        groups: BTreeSet<GroupId>,
        /// Highest service identifier that was ever given out. A group of a
        /// higher one is new rather than removed.
        highest_service: ServiceId,
    },
}

/// Something that the dissemination wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationOutput {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: DisseminationMessage,
    },
    /// A strictly newer version than the one held before.
    Updated {
        /// The item.
        key: ItemKey,
        /// Its version.
        version: ItemVersion,
        /// Its content.
        value: Bytes,
    },
}

/// One node's copy of all items.
pub struct Dissemination {
    node: NodeId,
    peers: Vec<NodeId>,
    store: ItemStore,
    rumors: Rumors,
    requested: BTreeMap<ItemKey, (ItemVersion, Time)>,
    /// The change that led to the version held, to be passed on.
    deltas: BTreeMap<ItemKey, ItemDelta>,
    /// Items whose newest version this node was the first to have.
    published_here: BTreeSet<ItemKey>,
    next_digest: Time,
    random: Pcg64Mcg,
    outputs: Vec<DisseminationOutput>,
}

impl Dissemination {
    /// A node that holds nothing.
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

    /// Takes in what happened at `now`.
    pub fn step(&mut self, now: Time, input: DisseminationInput) {
        match input {
            DisseminationInput::Publish {
                key,
                version,
                value,
            } => self.publish(now, key, version, value),
            DisseminationInput::Message { from, message } => self.receive(now, from, message),
            DisseminationInput::Peers(peers) => self.take_peers(peers),
            DisseminationInput::Configured {
                groups,
                highest_service,
            } => self.take_groups(groups, highest_service),
        }
    }

    /// Does what has become due by `now`.
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

    /// What is to be done since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<DisseminationOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// The version held of an item, and its content.
    pub fn get(&self, key: ItemKey) -> Option<(ItemVersion, &Bytes)> {
        self.store.get(key)
    }

    /// Number of items held.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no item is held.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    fn receive(&mut self, now: Time, from: NodeId, message: DisseminationMessage) {
        match message {
            DisseminationMessage::Items(items) => {
                for item in items {
                    self.published_here.remove(&item.key);
                    self.take_item(now, item, None);
                }
            }
            DisseminationMessage::Delta(delta) => self.take_delta(now, from, delta),
            DisseminationMessage::Offer(headers) => self.take_offer(now, from, &headers),
            DisseminationMessage::Request(keys) => self.send_items(from, &keys),
            DisseminationMessage::Summary { hash } => {
                if hash != self.store.hash() {
                    let headers = self.store.headers();
                    self.send(from, DisseminationMessage::Digest(headers));
                }
            }
            DisseminationMessage::Digest(headers) => self.take_digest(now, from, &headers),
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
        self.take_item(now, item, delta);
    }

    /// What changes from the version held, unless the whole is small.
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

    fn take_delta(&mut self, now: Time, from: NodeId, delta: ItemDelta) {
        let ItemHeader { key, version } = delta.header;
        if !self.store.would_accept(key, version) {
            return;
        }
        let held = self.store.get(key).filter(|(held, _)| *held == delta.base);
        let value = held.and_then(|(_, base)| patch::apply(&base.0, &delta.patch));
        let Some(value) = value.filter(|value| xxh3_64(value) == delta.hash) else {
            self.take_offer(now, from, &[delta.header]);
            return;
        };
        self.published_here.remove(&key);
        let item = Item {
            key,
            version,
            value: Bytes(value),
        };
        self.take_item(now, item, Some(delta));
    }

    fn take_item(&mut self, now: Time, item: Item, delta: Option<ItemDelta>) {
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

    /// Tells of an item at once.
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

    /// The change to push. Where news comes to each node several times, a large
    /// change is offered like a whole item.
    fn pushed_delta(&self, key: ItemKey) -> Option<ItemDelta> {
        let is_delivered_once = self.peers.len() <= MAX_FULL_FANOUT_PEERS;
        let delta = self.deltas.get(&key)?;
        let is_pushed = is_delivered_once || delta.patch.0.len() <= MAX_PUSH_BYTES;
        is_pushed.then(|| delta.clone())
    }

    /// Whether the node that had the item first tells every node of it.
    fn is_announced_to_all(&self, key: ItemKey) -> bool {
        self.peers.len() <= MAX_FULL_FANOUT_PEERS && !self.published_here.contains(&key)
    }

    /// Asks for the offered items that are newer, each of one node at a time.
    fn take_offer(&mut self, now: Time, from: NodeId, headers: &[ItemHeader]) {
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

    /// Another node's list, which differs from this one's: sends what is
    /// newer here and asks for what is newer there.
    fn take_digest(&mut self, now: Time, from: NodeId, headers: &[ItemHeader]) {
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
        self.take_offer(now, from, headers);
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

    /// A node that had no peers was cut off or has just started; it compares
    /// at once.
    fn take_peers(&mut self, peers: Vec<NodeId>) {
        let was_alone = self.peers.is_empty();
        self.peers = peers;
        self.peers.retain(|node| *node != self.node);
        if was_alone {
            self.compare();
        }
    }

    fn take_groups(&mut self, groups: BTreeSet<GroupId>, highest_service: ServiceId) {
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
