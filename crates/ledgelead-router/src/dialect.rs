//! What a platform adapter translates: objects of the store, orders to
//! instances, and names of headers. It decides nothing.

use crate::configuration::Configuration;
use crate::directory::InstanceRecord;
use crate::identity::{InstanceId, ZoneName};
use crate::ownership::record::OwnershipRecord;
use crate::peers::NodeRecord;
use crate::quarantine::QuarantineRecord;
use ledgelead_http::{Request, Response};
use std::time::Duration;

/// The kinds of objects a node reads or writes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The operator's configuration, one object.
    Configuration,
    /// Instances, registered by themselves.
    Instances,
    /// Who owns which keys, one object.
    Ownership,
    /// The nodes, registered by themselves.
    Nodes,
    /// Zones that the operator has emptied, one object each.
    Evacuations,
    /// Requests that crash instances, one object each.
    Quarantine,
}

impl ObjectKind {
    /// Every kind, in the order of its declaration.
    pub const ALL: [ObjectKind; 6] = [
        ObjectKind::Configuration,
        ObjectKind::Instances,
        ObjectKind::Ownership,
        ObjectKind::Nodes,
        ObjectKind::Evacuations,
        ObjectKind::Quarantine,
    ];

    /// The kind's name in metrics and findings.
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

    /// Whether there is only one object of this kind.
    pub fn is_single(self) -> bool {
        matches!(self, ObjectKind::Configuration | ObjectKind::Ownership)
    }
}

/// What an object holds.
#[derive(Clone, Debug)]
pub enum ObjectContent {
    /// The operator's configuration.
    Configuration(Configuration),
    /// A registered instance.
    Instance(InstanceRecord),
    /// Who owns which keys.
    Ownership(OwnershipRecord),
    /// A registered node.
    Node(NodeRecord),
    /// A zone that the operator has emptied.
    Evacuation(ZoneName),
    /// A request that crashes instances.
    Quarantine(QuarantineRecord),
}

/// An object of the store.
#[derive(Clone, Debug)]
pub struct Object {
    /// Its name within its kind; empty where that can't be read.
    pub name: String,
    /// The store's revision of its last change.
    pub revision: u64,
    /// What it holds, within the bounds of [`crate::boundary`]; a finding with its place
    /// where that can't be read.
    pub content: Result<ObjectContent, String>,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct ObjectEvent {
    /// The object after the change, or as it was last.
    pub object: Object,
    /// Whether it is gone.
    pub gone: bool,
}

/// What a node may write.
#[derive(Clone, Debug)]
pub enum WrittenContent {
    /// Who owns which keys.
    Ownership(OwnershipRecord),
    /// This node's registration.
    Node(NodeRecord),
    /// A request that crashes instances.
    Quarantine(QuarantineRecord),
}

impl WrittenContent {
    /// The kind of object that holds this.
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
    /// All objects of a kind, page by page.
    List {
        /// The kind.
        kind: ObjectKind,
        /// The last name of the page before.
        after: Option<String>,
        /// Whether a state from some seconds ago will do, which is cheaper.
        stale: bool,
    },
    /// Changes after a revision, as soon as there are some.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// The revision.
        revision: u64,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Make an object, unless there is one of this name.
    Create {
        /// Its name.
        name: String,
        /// What it holds.
        content: WrittenContent,
    },
    /// Replace an object, under the condition that its revision is this one.
    Replace {
        /// Its name.
        name: String,
        /// The revision, or none for any.
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
        /// Whether more follow.
        more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// Changes.
    Events {
        /// The changes in order.
        events: Vec<ObjectEvent>,
        /// The revision to continue from.
        revision: u64,
    },
    /// The object as written.
    Written(Object),
    /// The condition did not hold; nothing was done.
    Conflict,
    /// There is no such object.
    Missing,
    /// The changes after the revision are forgotten.
    HistoryLost,
    /// Nothing was done: too many calls, or the store can't serve now.
    Refused,
    /// The answer can't be read.
    Unreadable(String),
}

/// A range of keys, both ends inside.
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

    /// Whether the key lies inside.
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// The number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// What is left of the range without what it shares with another.
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

    /// Never: a range has at least one key.
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
        /// For how long, from its arrival.
        hold: Duration,
        /// State handed over by the last holder.
        handover: Option<String>,
    },
    /// Give these keys back once the work on them has ended.
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
    /// Done; a release may bring state for the next holder.
    Done {
        /// State for the next holder.
        handover: Option<String>,
    },
    /// The instance has seen a higher fencing token.
    Fenced,
    /// Another instance has the address.
    OtherInstance,
    /// Refused for another reason.
    Refused,
}

/// Names of headers between clients, nodes and instances.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Names one try of a client.
    pub attempt_id: String,
    /// Milliseconds that the caller waits.
    pub deadline: String,
    /// Proves that an answer is an instance's.
    pub signature: String,
    /// The instance a request is meant for.
    pub target_instance: String,
    /// Running requests, waiting requests and slots of an instance.
    pub load: String,
    /// The instance did not run the request.
    pub not_executed: String,
    /// The instance that answers.
    pub instance: String,
    /// The key of a request.
    pub key: String,
    /// When a client, or a node, may come back, in seconds.
    pub retry_after: String,
    /// The instance that answers is about to leave.
    pub leaving: String,
    /// Requests a second that the instance that answers takes from all nodes together.
    pub rate_limit: String,
    /// The era of the store: it rises each time the store comes back from a copy.
    pub store_era: String,
}

/// Translates between a platform and the router.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// The request that carries a call to the store.
    fn store_request(&self, call: &StoreCall) -> Request;
    /// What the store's answer to the call means. Each object is read by itself: one that
    /// can't be read takes no other with it.
    fn store_answer(&self, call: &StoreCall, response: &Response) -> StoreAnswer;
    /// The request that carries an order to an instance.
    fn order_request(&self, instance: &InstanceId, order: &Order) -> Request;
    /// What an instance's answer to an order means.
    fn order_answer(&self, instance: &InstanceId, response: &Response) -> OrderAnswer;
}
