//! Disseminated items and the messages that carry them.

use ledgelead_types::{Bytes, FencingToken, GroupId, List};
use nanoserde::{DeBin, SerBin};

/// Identifies an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub enum ItemKey {
    /// The configuration.
    Configuration,
    /// A group's record as read from the platform's store.
    GroupRecord(GroupId),
    /// A group's routes as published by its leader.
    Routes(GroupId),
}

impl ItemKey {
    /// The group that the item belongs to.
    pub fn group(self) -> Option<GroupId> {
        match self {
            ItemKey::Configuration => None,
            ItemKey::GroupRecord(group) | ItemKey::Routes(group) => Some(group),
        }
    }
}

/// Version of an item. The configuration only uses the revision.
pub type ItemVersion = FencingToken;

/// Identifier and version of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ItemHeader {
    /// The item.
    pub key: ItemKey,
    /// The sender's version.
    pub version: ItemVersion,
}

/// An item.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Item {
    /// Its identifier.
    pub key: ItemKey,
    /// Its version.
    pub version: ItemVersion,
    /// Its content.
    pub value: Bytes,
}

/// A new version of an item as a difference to an earlier version.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ItemDelta {
    /// The item.
    pub header: ItemHeader,
    /// The version that the patch applies to.
    pub base: ItemVersion,
    /// The difference.
    pub patch: Bytes,
    /// Hash of the resulting content.
    pub hash: u64,
}

/// A message of the dissemination protocol.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum DisseminationMessage {
    /// Items, pushed or requested.
    Items(List<Item>),
    /// The difference to an earlier version of a large item. A node without the base version
    /// requests the whole item.
    Delta(ItemDelta),
    /// Identifiers and versions that the sender can provide.
    Offer(List<ItemHeader>),
    /// Requests items.
    Request(List<ItemKey>),
    /// Hash over the identifiers and versions of all items of the sender.
    Summary {
        /// The hash.
        hash: u64,
    },
    /// Reply to a summary with a different hash: all identifiers and versions of the sender.
    Digest(List<ItemHeader>),
}
