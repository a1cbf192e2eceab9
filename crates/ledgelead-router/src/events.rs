//! Log events about a node's decisions and state, one log record each.
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
    /// An attempt at an instance ended without an answer that was relayed to the client, or
    /// with one by which the client may conclude that its request was not run.
    AttemptEnded {
        /// The client's id of its request.
        request: &'a str,
        /// Identical for all submissions of the request at all nodes.
        digest: RequestDigest,
        /// The service.
        service: &'a ServiceName,
        /// The key, if the service's keys have owners.
        key: Option<u16>,
        /// The instance.
        instance: &'a InstanceId,
        /// The peer that was asked to forward the attempt.
        via: Option<SocketAddr>,
        /// The end of the exchange with that peer; one of the names of `ForwardOutcome`.
        forward: Option<&'static str>,
        /// Milliseconds from the client's request to this attempt.
        sent_after_ms: u64,
        /// Milliseconds that the attempt took.
        took_ms: u64,
        /// The outcome; one of the names of `AttemptOutcome`.
        ended: &'static str,
        /// Why there is no answer; one of the names of `ExchangeFailure`.
        failure: Option<&'static str>,
        /// The status of an answer other than a success.
        status: Option<u16>,
        /// The instance that such an answer names as its sender.
        answered_by: Option<&'a str>,
        /// Milliseconds for which the connection was idle before the attempt; none if it was
        /// new or in use until then, or if this node ended the attempt.
        idle_ms: Option<u64>,
        /// The fencing token of the key's owner, as known to this node.
        fence: Option<u64>,
        /// The store's revision of the ownership record that this node uses.
        ownership: Option<u64>,
    },
    /// An attempt that this node made for a peer ended without an answer, or with one by which
    /// the client may conclude that its request was not run.
    ForwardedAttemptEnded {
        /// The client's id of its request.
        request: &'a str,
        /// The instance.
        instance: &'a InstanceId,
        /// Milliseconds that the attempt took.
        took_ms: u64,
        /// Why there is no answer; one of the names of `ExchangeFailure`.
        failure: Option<&'static str>,
        /// The status of the answer.
        status: Option<u16>,
        /// The instance that the answer names as its sender.
        answered_by: Option<&'a str>,
    },
    /// The router answered a request itself.
    Answered {
        /// The client's id of its request.
        request: &'a str,
        /// Identical for all submissions of the request at all nodes.
        digest: RequestDigest,
        /// The service.
        service: &'a ServiceName,
        /// The key, if the service's keys have owners.
        key: Option<u16>,
        /// The status.
        status: u16,
        /// The reason; one of the names of `Refusal`.
        reason: &'static str,
        /// Milliseconds since the request arrived.
        after_ms: u64,
        /// Number of instances to which it was sent.
        attempts: usize,
        /// The fencing token of the key's owner, as known to this node.
        fence: Option<u64>,
        /// The store's revision of the ownership record that this node uses.
        ownership: Option<u64>,
        /// The version of the current configuration.
        configuration: u64,
    },
    /// The router refused a request before it accepted it for a service: for lack of a
    /// configuration, a route, a valid key or memory.
    Unrouted {
        /// The client's id of its request.
        request: &'a str,
        /// The requested host.
        host: &'a str,
        /// Its path.
        path: &'a str,
        /// The status.
        status: u16,
        /// The reason; one of the names of `Refusal`.
        reason: &'static str,
        /// The version of the current configuration; 0 if there is none.
        configuration: u64,
    },
    /// A version of the configuration took effect.
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
        /// The instance's address.
        address: SocketAddr,
    },
    /// An instance has registered that it is leaving.
    InstanceDrains {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// An instance's answer announced for the first time that it is leaving, or requested a
    /// pause.
    InstanceNotice {
        /// The instance.
        instance: &'a InstanceId,
        /// Whether it is about to leave.
        leaving: bool,
        /// Milliseconds for which it wants no requests from this node.
        backoff_ms: Option<u64>,
    },
    /// An instance announced a different rate limit, or withdrew its limit.
    RateLimitNotice {
        /// The instance.
        instance: &'a InstanceId,
        /// Requests a second that it accepts from all nodes together.
        rate_limit: Option<f64>,
    },
    /// An instance's entry was deleted.
    InstanceGone {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// The set of evacuated zones has changed.
    Evacuated {
        /// Number of evacuated zones.
        zones: usize,
    },
    /// A call to the store failed, after the previous one was served.
    StoreFails {
        /// The outcome of the call.
        cause: &'a str,
    },
    /// A call to the store was served, after the previous one failed.
    StoreServes,
    /// The store was restored from a backup.
    StoreEra {
        /// Its new era.
        era: u64,
    },
    /// An object of the store cannot be read.
    ObjectUnreadable {
        /// Its name, or its kind.
        object: &'a str,
        /// The error and its location.
        finding: &'a str,
    },
    /// This node tries to become the coordinator.
    Campaigns {
        /// The epoch that would begin.
        epoch: u64,
    },
    /// This node has become the coordinator.
    Coordinates {
        /// Its epoch.
        epoch: u64,
        /// Whether the previous coordinator is known to have ended.
        predecessor_ended: bool,
    },
    /// This node is no longer the coordinator.
    CoordinatesNoMore {
        /// The latest epoch that this node knows.
        epoch: u64,
    },
    /// This node suspends its watches and follows a coordinator's view of the store.
    FollowsCoordinator {
        /// The coordinator's epoch.
        epoch: u64,
        /// The address that sends its heartbeats.
        from: SocketAddr,
    },
    /// No coordinator's view is recent enough, so this node resumes its watches.
    FollowsNobody,
    /// A coordinator's takeover does not follow on this node's version of the record.
    TakeOverNotFollowed {
        /// The revision before the takeover, as sent by the coordinator.
        base: u64,
        /// The revision that this node knows.
        known: u64,
        /// Whether the resulting record would have the coordinator's digest.
        same_digest: bool,
    },
    /// This node requests announced changes from the store because they have not arrived.
    ChangesMissing {
        /// The kind of objects.
        kind: &'static str,
        /// The latest announced revision or version.
        announced: u64,
        /// The revision or version that this node knows.
        known: u64,
        /// How long the changes have been missing, in milliseconds.
        missing_ms: u64,
    },
    /// The node handles the timers of requests late, so that its other work is late as well.
    TimersLate {
        /// How late, in milliseconds.
        late_ms: u64,
        /// Number of open requests.
        open: usize,
        /// Number of requests that wait for an owner or a free slot.
        waiting: usize,
        /// Instances selected for requests since the previous such event.
        selections: u64,
        /// Steps decided for requests since the previous such event.
        decisions: u64,
        /// Inputs handled since the previous such event.
        inputs: u64,
    },
    /// Another node has sent all objects of a kind.
    StateReceived {
        /// The kind.
        kind: &'static str,
        /// The revision or version of the objects.
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
    /// Writing a version of the record failed; it is retried.
    RecordNotWritten {
        /// Number of ranges: the store may refuse a record that is too large.
        ranges: usize,
        /// The outcome of the call.
        cause: &'a str,
    },
    /// A version of the record was not written because the store holds a different version
    /// than the expected one.
    RecordConflict {
        /// The expected revision.
        revision: Option<u64>,
    },
    /// A written version of the record assigned keys to an owner.
    KeysOwned {
        /// The service.
        service: &'a ServiceName,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The owner.
        owner: &'a InstanceId,
        /// The fencing token.
        fence: u64,
    },
    /// An instance answered a release.
    KeysReleased {
        /// The instance.
        instance: &'a InstanceId,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The fencing token.
        fence: u64,
        /// Time from sending the release to its answer.
        took_ms: u64,
        /// Whether the answer contains state for the next owner.
        handover: bool,
        /// The client's attempt that the answer names; none in an answer to an order.
        attempt: Option<&'a str>,
    },
    /// As far as the coordinator knows, an instance did not execute an order.
    OrderFailed {
        /// The instance.
        instance: &'a InstanceId,
        /// The kind of the order: grant or release.
        order: &'static str,
        /// The first key.
        first: u16,
        /// The last key.
        last: u16,
        /// The fencing token.
        fence: u64,
        /// The instance's answer, or how the connection ended: an order without an answer in
        /// time is aborted by a connection reset.
        answer: &'a str,
    },
    /// An instance has ended; requests that were in flight there are suspected.
    InstanceEnded {
        /// The instance.
        instance: &'a InstanceId,
        /// Number of this node's requests that were in flight there.
        requests: usize,
    },
    /// A request of this node was in flight at an instance that has ended.
    RequestLost {
        /// The request.
        digest: RequestDigest,
        /// Its path.
        path: &'a str,
        /// The instance.
        instance: &'a InstanceId,
    },
    /// An instance that was reported as ended has answered.
    EndDisproved {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// A request is quarantined from now on because instances have ended during it.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// Its path.
        path: &'a str,
        /// Whether it is quarantined for all callers.
        all_callers: bool,
        /// Number of instances that ended during it, counted per caller.
        ended: usize,
    },
    /// A request during which instances have ended is sent to one instance as a try.
    SuspectTried {
        /// The request.
        digest: RequestDigest,
        /// The instance.
        instance: &'a InstanceId,
    },
    /// An operator has lifted a quarantine.
    QuarantineLifted {
        /// The request.
        digest: RequestDigest,
    },
    /// No connection to an instance was established, so this node's link to it is not used.
    LinkFailed {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// An instance is reached again by this node's own link.
    LinkRecovered {
        /// The instance.
        instance: &'a InstanceId,
    },
    /// This node reaches no instance; requests go by way of peers.
    Isolated {
        /// Number of links that failed with no contact to any instance in between.
        failed: usize,
    },
    /// This node reaches an instance again.
    IsolationEnded,
    /// The node was asked to shut down.
    Stops {
        /// Number of open requests.
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
            Event::AttemptEnded { .. }
            | Event::ForwardedAttemptEnded { .. }
            | Event::Answered { .. }
            | Event::Unrouted { .. } => "request",
            Event::ConfigurationInForce { .. } => "configuration",
            Event::InstanceRegistered { .. }
            | Event::InstanceDrains { .. }
            | Event::InstanceNotice { .. }
            | Event::RateLimitNotice { .. }
            | Event::Evacuated { .. }
            | Event::InstanceGone { .. } => "instances",
            Event::LinkFailed { .. }
            | Event::LinkRecovered { .. }
            | Event::Isolated { .. }
            | Event::IsolationEnded => "links",
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
            | Event::KeysReleased { .. }
            | Event::RecordNotWritten { .. }
            | Event::RecordConflict { .. }
            | Event::OrderFailed { .. } => "ownership",
            Event::InstanceEnded { .. }
            | Event::RequestLost { .. }
            | Event::EndDisproved { .. }
            | Event::Quarantined { .. }
            | Event::SuspectTried { .. }
            | Event::QuarantineLifted { .. } => "quarantine",
            Event::Stops { .. } | Event::TimersLate { .. } => "node",
        }
    }

    fn level(&self) -> Level {
        match self {
            Event::ObjectUnreadable { .. } => Level::Error,
            Event::Quarantined { .. } | Event::Isolated { .. } | Event::TimersLate { .. } => {
                Level::Warn
            }
            Event::StoreFails { .. }
            | Event::OrderFailed { .. }
            | Event::RecordNotWritten { .. } => Level::Warn,
            _ => Level::Info,
        }
    }
}
