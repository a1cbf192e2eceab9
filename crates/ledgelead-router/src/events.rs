//! What a node tells of its decisions and beliefs, one log record each.
//!
//! `docs/operations/logs.md` is the schema for readers of the logs.

use crate::identity::{InstanceId, ServiceName};
use crate::requests::RequestDigest;
use crate::zone_traffic::ZoneTraffic;
use log::Level;
use serde::Serialize;
use std::net::SocketAddr;

/// An event. Its fields are the record's `event` object.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// An attempt at an instance ended otherwise than with an answer that was
    /// passed on.
    AttemptEnded {
        /// The client's name for its request.
        request: &'a str,
        /// The same for all tries of the request, at all nodes.
        digest: RequestDigest,
        /// The service.
        service: &'a ServiceName,
        /// The key, if the service's keys have owners.
        key: Option<u16>,
        /// The instance.
        instance: &'a InstanceId,
        /// Milliseconds from the client's request to this attempt.
        sent_after_ms: u64,
        /// Milliseconds that the attempt took.
        took_ms: u64,
        /// How it ended; the names of `AttemptOutcome`.
        ended: &'static str,
        /// The token under which this node believes the key to be owned.
        fence: Option<u64>,
        /// The store's revision of the ownership that this node goes by.
        ownership: Option<u64>,
    },
    /// The router answered a request by itself.
    Answered {
        /// The client's name for its request.
        request: &'a str,
        /// The same for all tries of the request, at all nodes.
        digest: RequestDigest,
        /// The service.
        service: &'a ServiceName,
        /// The key, if the service's keys have owners.
        key: Option<u16>,
        /// The status.
        status: u16,
        /// The reason; the names of `Refusal`.
        reason: &'static str,
        /// Milliseconds since the request came.
        after_ms: u64,
        /// Instances that it was sent to.
        attempts: usize,
        /// The token under which this node believes the key to be owned.
        fence: Option<u64>,
        /// The store's revision of the ownership that this node goes by.
        ownership: Option<u64>,
        /// The version of the configuration in force.
        configuration: u64,
    },
    /// A request that belongs to no service was answered by the router.
    Unrouted {
        /// The client's name for its request.
        request: &'a str,
        /// The host that it names.
        host: &'a str,
        /// Its path.
        path: &'a str,
        /// The status.
        status: u16,
        /// The reason; the names of `Refusal`.
        reason: &'static str,
        /// The version of the configuration in force; 0 without one.
        configuration: u64,
    },
    /// A version of the configuration came into force.
    ConfigurationInForce {
        /// The version.
        version: u64,
    },
    /// An instance registered itself.
    InstanceRegistered {
        /// The instance.
        instance: &'a InstanceId,
        /// Its service.
        service: &'a ServiceName,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// An instance says that it is leaving.
    InstanceDrains {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// An instance says in an answer that it leaves, or asks for a pause, and has not done
    /// so before.
    InstanceNotice {
        /// The instance.
        instance: &'a InstanceId,
        /// Whether it is about to leave.
        leaving: bool,
        /// Milliseconds in which it wants no requests of this node.
        backoff_ms: Option<u64>,
    },
    /// An instance names another rate limit than before, or none any more.
    RateLimitNotice {
        /// The instance.
        instance: &'a InstanceId,
        /// Requests a second that it takes from all nodes together.
        rate_limit: Option<f64>,
    },
    /// An instance's entry is gone.
    InstanceGone {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// Other zones than before are evacuated.
    Evacuated {
        /// How many are.
        zones: usize,
    },
    /// A call of the store failed, the first after one that was served.
    StoreFails {
        /// What became of the call.
        cause: &'a str,
    },
    /// A call of the store was served again.
    StoreServes,
    /// The store has come back from a copy.
    StoreEra {
        /// Its era from now on.
        era: u64,
    },
    /// An object of the store can't be read.
    ObjectUnreadable {
        /// Its name, or its kind.
        object: &'a str,
        /// What is wrong, with its place.
        finding: &'a str,
    },
    /// This node wants the coordinator's place.
    Campaigns {
        /// The epoch that would begin.
        epoch: u64,
    },
    /// This node has taken the coordinator's place.
    Coordinates {
        /// Its epoch.
        epoch: u64,
        /// Whether the coordinator before is known to have ended.
        predecessor_ended: bool,
    },
    /// This node has lost or left the coordinator's place.
    CoordinatesNoMore {
        /// The epoch that this node knows now.
        epoch: u64,
    },
    /// This node suspends its watches and follows a coordinator's view of the store.
    FollowsCoordinator {
        /// The coordinator's epoch.
        epoch: u64,
        /// Where its heartbeats come from.
        from: SocketAddr,
    },
    /// No view of a coordinator is recent enough: this node's watches go on.
    FollowsNobody,
    /// A coordinator's take-over doesn't follow on the record that this node knows.
    TakeOverNotFollowed {
        /// The revision of the record before, by the coordinator.
        base: u64,
        /// The revision that this node knows.
        known: u64,
        /// Whether the record that would result has the coordinator's digest.
        same_digest: bool,
    },
    /// This node asks the store for changes that were announced and never came.
    ChangesMissing {
        /// Changes of what.
        kind: &'static str,
        /// The newest revision, or version, that was announced.
        announced: u64,
        /// The one that this node knows.
        known: u64,
        /// For how long it has lacked them, in milliseconds.
        missing_ms: u64,
    },
    /// Another node has sent all objects of a kind.
    StateReceived {
        /// The kind.
        kind: &'static str,
        /// The revision, or version, up to which they are known.
        revision: u64,
        /// The node that sent them.
        from: SocketAddr,
    },
    /// The coordinator begins to move keys.
    MoveBegins {
        /// The service.
        service: &'a ServiceName,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The owner.
        from: &'a InstanceId,
        /// The next owner.
        to: &'a InstanceId,
    },
    /// A version of the record was not written; it is tried again.
    RecordNotWritten {
        /// How many ranges it has: the store may refuse one that is too large.
        ranges: usize,
        /// What became of the call.
        cause: &'a str,
    },
    /// A version of the record was not written, since the store holds another one than the
    /// one that it follows on.
    RecordConflict {
        /// The revision that it follows on.
        revision: Option<u64>,
    },
    /// A write of the record has given keys to an owner.
    KeysOwned {
        /// The service.
        service: &'a ServiceName,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The owner.
        owner: &'a InstanceId,
        /// The token.
        fence: u64,
    },
    /// An instance didn't carry out an order, as far as the coordinator knows.
    OrderFailed {
        /// The instance.
        instance: &'a InstanceId,
        /// A grant or a release.
        order: &'static str,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The token.
        fence: u64,
        /// The instance's answer, or how the connection ended: an order without an
        /// answer in time is broken off by a reset.
        answer: &'a str,
    },
    /// An instance has ended, and requests that were in flight there are suspected.
    InstanceEnded {
        /// The instance.
        instance: &'a InstanceId,
        /// How many requests of this node.
        requests: usize,
    },
    /// An instance that some node took for ended has answered.
    EndDisproved {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// A request is held back from now on: instances have ended under it.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// Its path.
        path: &'a str,
        /// Whether it is held back whoever sends it.
        all_callers: bool,
        /// Ends of instances under it, counted by caller.
        ended: usize,
    },
    /// An operator has lifted a quarantine.
    QuarantineLifted {
        /// The request.
        digest: RequestDigest,
    },
    /// The node was asked to stop.
    Stops {
        /// Requests that are open.
        open: usize,
        /// Bytes exchanged since the start.
        zone_bytes: &'a ZoneTraffic,
    },
}

impl Event<'_> {
    /// Logs the event.
    pub fn emit(&self) {
        log::log!(target: self.topic(), self.level(), event:serde = self; "");
    }

    fn topic(&self) -> &'static str {
        match self {
            Event::AttemptEnded { .. } | Event::Answered { .. } | Event::Unrouted { .. } => {
                "request"
            }
            Event::ConfigurationInForce { .. } => "configuration",
            Event::InstanceRegistered { .. }
            | Event::InstanceDrains { .. }
            | Event::InstanceNotice { .. }
            | Event::RateLimitNotice { .. }
            | Event::Evacuated { .. }
            | Event::InstanceGone { .. } => "instances",
            Event::StoreFails { .. }
            | Event::StoreServes
            | Event::StoreEra { .. }
            | Event::ChangesMissing { .. }
            | Event::StateReceived { .. }
            | Event::ObjectUnreadable { .. } => "store",
            Event::Campaigns { .. }
            | Event::Coordinates { .. }
            | Event::CoordinatesNoMore { .. }
            | Event::FollowsCoordinator { .. }
            | Event::FollowsNobody
            | Event::TakeOverNotFollowed { .. }
            | Event::MoveBegins { .. }
            | Event::KeysOwned { .. }
            | Event::RecordNotWritten { .. }
            | Event::RecordConflict { .. }
            | Event::OrderFailed { .. } => "ownership",
            Event::InstanceEnded { .. }
            | Event::EndDisproved { .. }
            | Event::Quarantined { .. }
            | Event::QuarantineLifted { .. } => "quarantine",
            Event::Stops { .. } => "node",
        }
    }

    fn level(&self) -> Level {
        match self {
            Event::ObjectUnreadable { .. } => Level::Error,
            Event::Quarantined { .. } => Level::Warn,
            Event::StoreFails { .. }
            | Event::OrderFailed { .. }
            | Event::RecordNotWritten { .. } => Level::Warn,
            _ => Level::Info,
        }
    }
}
