//! The items stored by one node.

use super::message::{Item, ItemHeader, ItemKey, ItemVersion};
use ledgelead_types::codec::encode;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::{Bytes, GroupId, List, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of items; far above the number of groups in any deployment.
const MAX_ITEMS: usize = 16_384;

/// Result of storing a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PutResult {
    /// Strictly newer than the current version.
    Newer,
    /// Accepted although it is older, because the protection is off.
    Older,
    /// Not newer, or of a removed group.
    Refused,
}

/// Items by identifier, with a hash over their versions.
#[derive(Debug)]
pub(super) struct ItemStore {
    items: BTreeMap<ItemKey, (ItemVersion, Bytes)>,
    hash: u64,
    groups: BTreeSet<GroupId>,
    highest_service: ServiceId,
    protections: Protections,
}

impl ItemStore {
    /// An empty store.
    pub(super) fn new(protections: Protections) -> ItemStore {
        ItemStore {
            items: BTreeMap::new(),
            hash: 0,
            groups: BTreeSet::new(),
            highest_service: ServiceId(0),
            protections,
        }
    }

    /// The current version and content.
    pub(super) fn get(&self, key: ItemKey) -> Option<(ItemVersion, &Bytes)> {
        let (version, value) = self.items.get(&key)?;
        Some((*version, value))
    }

    /// The current item.
    pub(super) fn item(&self, key: ItemKey) -> Option<Item> {
        let (version, value) = self.get(key)?;
        let value = value.clone();
        Some(Item {
            key,
            version,
            value,
        })
    }

    /// Number of items.
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Hash over identifiers and versions; 0 without items.
    pub(super) fn hash(&self) -> u64 {
        self.hash
    }

    /// Identifiers and versions of all items.
    pub(super) fn headers(&self) -> List<ItemHeader> {
        self.items
            .iter()
            .map(|(key, (version, _))| ItemHeader {
                key: *key,
                version: *version,
            })
            .collect()
    }

    /// Whether this version would be stored.
    pub(super) fn would_accept(&self, key: ItemKey, version: ItemVersion) -> bool {
        self.classify(key, version) != PutResult::Refused
    }

    /// Stores a version if it is newer.
    pub(super) fn put(&mut self, key: ItemKey, version: ItemVersion, value: Bytes) -> PutResult {
        let result = self.classify(key, version);
        if result != PutResult::Refused {
            self.forget(key);
            self.hash ^= hash_of(key, version);
            self.items.insert(key, (version, value));
        }
        result
    }

    fn classify(&self, key: ItemKey, version: ItemVersion) -> PutResult {
        let held = self.items.get(&key).map(|(version, _)| *version);
        let has_room = held.is_some() || self.items.len() < MAX_ITEMS;
        if !has_room || self.is_removed(key) || held == Some(version) {
            return PutResult::Refused;
        }
        if held < Some(version) {
            return PutResult::Newer;
        }
        let is_ordered =
            key != ItemKey::Configuration || self.protections.has(Protection::ConfigurationOrder);
        if is_ordered {
            PutResult::Refused
        } else {
            PutResult::Older
        }
    }

    /// Drops the items of groups that are no longer configured.
    pub(super) fn configure(&mut self, groups: BTreeSet<GroupId>, highest_service: ServiceId) {
        self.groups = groups;
        self.highest_service = highest_service;
        let removed: Vec<ItemKey> = self
            .items
            .keys()
            .copied()
            .filter(|key| self.is_removed(*key))
            .collect();
        for key in removed {
            self.forget(key);
        }
    }

    /// Whether the item's group was removed. Service identifiers are never reused: one that
    /// was assigned and is not configured was removed, and a higher one belongs to a
    /// configuration that has not arrived yet.
    fn is_removed(&self, key: ItemKey) -> bool {
        key.group().is_some_and(|group| {
            group.service <= self.highest_service && !self.groups.contains(&group)
        })
    }

    fn forget(&mut self, key: ItemKey) {
        if let Some((version, _)) = self.items.remove(&key) {
            self.hash ^= hash_of(key, version);
        }
    }
}

/// The hash of all items is the exclusive or of the hashes of each, so it does not depend on
/// the order of their arrival.
fn hash_of(key: ItemKey, version: ItemVersion) -> u64 {
    xxh3_64(&encode(&ItemHeader { key, version }))
}
