//! The interface to a platform adapter, which translates store objects, orders to instances
//! and header names. An adapter makes no decisions.

use crate::configuration::Configuration;
use crate::directory::InstanceRecord;
use crate::identity::{InstanceId, ZoneName};
use crate::ownership::record::OwnershipRecord;
use crate::peers::NodeRecord;
use crate::quarantine::QuarantineRecord;
use ledgelead_http::{Request, Response};
use std::time::Duration;

/// The kinds of store objects that a node reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The operator's configuration; a single object.
    Configuration,
    /// Registrations of instances, written by the instances.
    Instances,
    /// The ownership record; a single object.
    Ownership,
    /// Registrations of nodes, written by the nodes.
    Nodes,
    /// Evacuated zones; one object each.
    Evacuations,
    /// Quarantined requests and their evidence; one object each.
    Quarantine,
}

impl ObjectKind {
    /// All kinds, in the order of declaration.
    pub const ALL: [ObjectKind; 6] = [
        ObjectKind::Configuration,
        ObjectKind::Instances,
        ObjectKind::Ownership,
        ObjectKind::Nodes,
        ObjectKind::Evacuations,
        ObjectKind::Quarantine,
    ];

    /// The kind's name in metrics and error messages.
    pub fn label(self) -> &'static str {
        match self {
            ObjectKind::Configuration => "configuration",
            ObjectKind::Instances => "instances",
            ObjectKind::Ownership => "ownership",
            ObjectKind::Nodes => "nodes",
            ObjectKind::Evacuations => "evacuations",
            ObjectKind::Quarantine => "quarantine",
        }
    }

    /// Whether there is only a single object of this kind.
    pub fn is_single(self) -> bool {
        matches!(self, ObjectKind::Configuration | ObjectKind::Ownership)
    }
}

/// The decoded content of an object.
#[derive(Clone, Debug)]
pub enum ObjectContent {
    /// The operator's configuration.
    Configuration(Configuration),
    /// An instance's registration.
    Instance(InstanceRecord),
    /// The ownership record.
    Ownership(OwnershipRecord),
    /// A node's registration.
    Node(NodeRecord),
    /// A zone that the operator has evacuated.
    Evacuation(ZoneName),
    /// The evidence about a request that crashes instances.
    Quarantine(QuarantineRecord),
}

/// An object of the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// Its name within its kind; empty if it cannot be read.
    pub name: String,
    /// The store's revision of its last change.
    pub revision: u64,
    /// Its content, checked by [`crate::validation`]; an error message that names the location
    /// if it cannot be read.
    pub content: Result<ObjectContent, String>,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct ObjectEvent {
    /// The object after the change, or its last state if it was deleted.
    pub object: Object,
    /// Whether it was deleted.
    pub gone: bool,
}

/// Content that a node writes.
#[derive(Clone, Debug)]
pub enum WrittenContent {
    /// The ownership record.
    Ownership(OwnershipRecord),
    /// This node's registration.
    Node(NodeRecord),
    /// The evidence about a request that crashes instances.
    Quarantine(QuarantineRecord),
}

impl WrittenContent {
    /// The kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            WrittenContent::Ownership(_) => ObjectKind::Ownership,
            WrittenContent::Node(_) => ObjectKind::Nodes,
            WrittenContent::Quarantine(_) => ObjectKind::Quarantine,
        }
    }
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Lists all objects of a kind, page by page.
    List {
        /// The kind.
        kind: ObjectKind,
        /// The last name of the previous page.
        after: Option<String>,
        /// Whether the list may be a few seconds old, which is cheaper.
        stale: bool,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// The revision.
        revision: u64,
        /// How long the store may wait for a change.
        wait: Duration,
    },
    /// Creates an object, unless one of this name exists.
    Create {
        /// Its name.
        name: String,
        /// What it holds.
        content: WrittenContent,
    },
    /// Replaces an object if it has this revision.
    Replace {
        /// Its name.
        name: String,
        /// The expected revision; none to skip the condition.
        revision: Option<u64>,
        /// What it holds.
        content: WrittenContent,
    },
}

/// The store's answer.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// A page of objects.
    Objects {
        /// The objects.
        objects: Vec<Object>,
        /// Whether there are further pages.
        more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// Changes.
    Events {
        /// The changes, in order.
        events: Vec<ObjectEvent>,
        /// The revision to continue from.
        revision: u64,
    },
    /// The object as written.
    Written(Object),
    /// The condition was not met; nothing was written.
    Conflict,
    /// There is no such object.
    Missing,
    /// The changes after the revision are no longer available.
    HistoryLost,
    /// Nothing was done: too many calls, or the store is temporarily unavailable.
    Refused,
    /// The answer cannot be parsed.
    Unreadable(String),
}

/// An inclusive range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyRange {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: KeyRange = KeyRange {
        first: 0,
        last: u16::MAX,
    };

    /// Whether the range contains the key.
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// The number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// The parts of the range that do not overlap `part`.
    pub fn without(self, part: KeyRange) -> Vec<KeyRange> {
        if self.last < part.first || part.last < self.first {
            return vec![self];
        }
        let mut left = Vec::new();
        if self.first < part.first {
            left.push(KeyRange {
                first: self.first,
                last: part.first - 1,
            });
        }
        if part.last < self.last {
            left.push(KeyRange {
                first: part.last + 1,
                last: self.last,
            });
        }
        left
    }

    /// Always false: a range has at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}

/// An order to an instance about its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Hold these keys.
    Grant {
        /// The keys.
        range: KeyRange,
        /// The fencing token.
        fence: u64,
        /// How long to hold them, counted from the arrival of the order.
        hold: Duration,
        /// State handed over by the previous owner.
        handover: Option<String>,
    },
    /// Give these keys back after the current requests for them have ended.
    Release {
        /// The keys.
        range: KeyRange,
        /// The fencing token.
        fence: u64,
    },
}

/// An instance's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Done. The answer to a release may contain state for the next owner.
    Done {
        /// State for the next owner.
        handover: Option<String>,
    },
    /// The instance has seen a higher fencing token.
    Fenced,
    /// Another instance listens on the address.
    OtherInstance,
    /// Refused for another reason.
    Refused,
}

/// Names of headers between clients, nodes and instances.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a client.
    pub attempt_id: String,
    /// Milliseconds for which the caller waits.
    pub deadline: String,
    /// Proves that an answer comes from an instance.
    pub signature: String,
    /// The instance for which a request is meant.
    pub target_instance: String,
    /// Numbers of running requests, waiting requests and slots of an instance.
    pub load: String,
    /// The instance did not run the request.
    pub not_executed: String,
    /// The instance that answers.
    pub instance: String,
    /// The key of a request.
    pub key: String,
    /// When a client or a node may try again, in seconds.
    pub retry_after: String,
    /// The instance that answers is about to leave.
    pub leaving: String,
    /// Requests a second that the answering instance accepts from all nodes together.
    pub rate_limit: String,
    /// The era of the store, which increases with each restore from a backup.
    pub store_era: String,
    /// The caller's key, which identifies its tenant.
    pub caller_key: String,
    /// The tenant of a request, set for the instance.
    pub tenant: String,
    /// State for the next owner of keys, in the answer to a release.
    pub handover: String,
}

/// Translates between a platform and the router.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Encodes a call to the store.
    fn store_request(&self, call: &StoreCall) -> Request;
    /// Decodes the store's answer to the call. Each object is decoded by itself, so that an
    /// unreadable one does not affect the others.
    fn store_answer(&self, call: &StoreCall, response: &Response) -> StoreAnswer;
    /// Encodes an order to an instance.
    fn order_request(&self, instance: &InstanceId, order: &Order) -> Request;
    /// Decodes an instance's answer to an order.
    fn order_answer(&self, instance: &InstanceId, response: &Response) -> OrderAnswer;
}
