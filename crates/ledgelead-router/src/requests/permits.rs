//! Permits that this node requests from dispatchers, and the messages about them.

use crate::Timestamp;
use crate::directory::Instance;
use crate::dispatch::{PermitOutcome, QueueKind};
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::io::ClientId;
use ledgelead_http::Request;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a permit request is sent again. A large body on a slow link delays a
/// datagram by 50 ms, and a machine may stall for 100 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum share of the time left until the target latency that a request waits before that.
const REPLY_SHARE: f64 = 0.25;
/// How long a request waits for a dispatcher's first reply, as a multiple of the reply
/// timeout.
const FIRST_REPLY_TIMEOUTS: u32 = 2;
/// Time without a reply after which a dispatcher counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(150);
/// Mean time to a dispatcher's first reply above which requests skip permits. A slot that is
/// idle for that long before and after each request costs more than the ordering gains, at
/// service times of 50 to 200 ms. A slow link full of large bodies has that effect.
const MAX_MEAN_REPLY_TIME: Duration = Duration::from_millis(20);
/// Weight of a new sample in the mean reply time.
const REPLY_SAMPLE_WEIGHT: f64 = 0.2;
/// Interval between permit requests that probe whether replies are fast again.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a lost dispatcher is not asked: about the time that nodes need to learn of the
/// loss of another node.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(1);

/// State of a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// The permit was requested, and the dispatcher has not replied.
    Requested,
    /// The request waits in the dispatcher's queue.
    Queued,
    /// The request may be sent to the instance with this stable hash.
    Granted(u64),
}

/// A permit for a request, or a pending request for one.
#[derive(Clone, Debug)]
pub struct PermitHandle {
    /// The dispatcher that grants it.
    pub dispatcher: SocketAddr,
    /// State of the permit request.
    pub state: PermitState,
    /// When to act if no further message arrives.
    pub check_at: Timestamp,
    /// The permit request with its number and queue, which may be sent again.
    pub request: PermitRequest,
    /// When to give up if there is no reply.
    pub give_up_at: Timestamp,
    /// When it was first requested.
    pub requested_at: Timestamp,
}

impl PermitHandle {
    /// Whether the permit was granted.
    pub fn is_granted(&self) -> bool {
        matches!(self.state, PermitState::Granted(_))
    }

    /// Whether a request may be sent to this instance under the permit.
    pub fn covers(&self, instance: &InstanceId) -> bool {
        self.state == PermitState::Granted(instance.stable_hash())
    }
}

/// The permit that a request needs.
#[derive(Clone, Debug)]
pub struct PermitNeed {
    /// Identifies the queue.
    pub queue: u64,
    /// The kind of the queue.
    pub kind: QueueKind,
    /// The zone of the queue's instances.
    pub zone: ZoneName,
}

impl PermitNeed {
    /// A permit from the queue of an owner of keys.
    pub fn of_owner(owner: &Instance) -> PermitNeed {
        PermitNeed {
            queue: owner.record.id.stable_hash(),
            kind: QueueKind::Owner,
            zone: owner.record.zone.clone(),
        }
    }

    /// A permit from the queue of all instances in a zone that serve a service.
    pub fn of_pool(service: &ServiceName, zone: &ZoneName) -> PermitNeed {
        PermitNeed {
            queue: pool_hash(service, zone),
            kind: QueueKind::Pool,
            zone: zone.clone(),
        }
    }
}

/// Identifies the queue of all instances in a zone that serve a service.
pub fn pool_hash(service: &ServiceName, zone: &ZoneName) -> u64 {
    service.stable_hash() ^ zone.stable_hash().rotate_left(1)
}

/// A message to a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitMessage {
    /// Requests a permit.
    Request(PermitRequest),
    /// Returns a permit, or withdraws the request for it.
    Return {
        /// The number of the permit request.
        number: u64,
        /// Identifies the queue.
        queue: u64,
        /// How the request ended.
        outcome: PermitOutcome,
    },
}

/// A request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// This node's number for the permit request.
    pub number: u64,
    /// Identifies the queue.
    pub queue: u64,
    /// The kind of the queue.
    pub kind: QueueKind,
    /// Stable hash of the service's name.
    pub service: u64,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u32,
    /// Time left until the target latency.
    pub to_target: Duration,
    /// Time left until the request's deadline.
    pub left: Duration,
    /// Hash that is the same for all submissions of a caller's request.
    pub caller: u64,
    /// Whether the key's state was lost with its owner, so that the request takes longer.
    pub is_cold: bool,
    /// Stable hash of the instance that failed the request.
    pub tried: Option<u64>,
}

/// Permit counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounters {
    /// Permits requested.
    pub requested: u64,
    /// Requests that needed a permit and proceeded without one: no candidate replied or is
    /// known, the wait ended, or the granted instance left. Slow or declining dispatchers
    /// don't count.
    pub missed: u64,
}

/// How long a dispatcher has been silent.
#[derive(Clone, Copy, Debug, Default)]
struct DispatcherSilence {
    /// When the first permit request since its last reply was sent.
    unanswered_since: Option<Timestamp>,
    /// Until when it isn't asked.
    avoided_until: Timestamp,
}

/// All permits that this node has requested, by number.
#[derive(Debug, Default)]
pub struct Permits {
    clients: HashMap<u64, ClientId>,
    last_number: u64,
    outbox: Vec<(SocketAddr, PermitMessage)>,
    dispatchers: HashMap<SocketAddr, DispatcherSilence>,
    /// Mean time to a dispatcher's first reply.
    reply_time: Duration,
    next_probe: Timestamp,
    counters: PermitCounters,
}

impl Permits {
    /// Creates an empty set. Numbers start at one that earlier incarnations of the node have
    /// not used.
    pub fn new(first_number: u64) -> Permits {
        Permits {
            last_number: first_number,
            ..Permits::default()
        }
    }

    /// Permit counts for metrics.
    pub fn counters(&self) -> PermitCounters {
        self.counters
    }

    /// Whether a dispatcher may be asked, because it was never asked or doesn't count as lost.
    pub fn may_ask(&self, dispatcher: SocketAddr, now: Timestamp) -> bool {
        let known = self.dispatchers.get(&dispatcher);
        known.is_none_or(|known| known.avoided_until <= now)
    }

    /// Sends a permit request to a dispatcher. Its number is assigned here.
    pub fn request(
        &mut self,
        client: ClientId,
        dispatcher: SocketAddr,
        request: PermitRequest,
        now: Timestamp,
    ) -> PermitHandle {
        self.counters.requested += 1;
        self.next_probe = now + PROBE_INTERVAL;
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.clients.insert(number, client);
        let request = PermitRequest { number, ..request };
        let mut permit = PermitHandle {
            dispatcher,
            state: PermitState::Requested,
            check_at: now,
            request,
            give_up_at: now + reply_timeout(&request) * FIRST_REPLY_TIMEOUTS,
            requested_at: now,
        };
        self.send_request(&mut permit, now);
        permit
    }

    /// Resends a permit request that got no reply, unless its dispatcher counts as lost by now
    /// or the request can't wait any longer. Returns whether it was resent.
    pub fn resend(&mut self, permit: &mut PermitHandle, now: Timestamp) -> bool {
        let known = self.dispatchers.entry(permit.dispatcher).or_default();
        let is_lost = known
            .unanswered_since
            .is_some_and(|at| at + LOST_AFTER <= now);
        if is_lost {
            self.mark_lost(permit.dispatcher, now);
        }
        let may_wait = permit.give_up_at > now && self.may_ask(permit.dispatcher, now);
        if may_wait {
            self.send_request(permit, now);
        }
        may_wait
    }

    fn send_request(&mut self, permit: &mut PermitHandle, now: Timestamp) {
        let known = self.dispatchers.entry(permit.dispatcher).or_default();
        known.unanswered_since.get_or_insert(now);
        permit.check_at = now + reply_timeout(&permit.request);
        let message = PermitMessage::Request(permit.request);
        self.outbox.push((permit.dispatcher, message));
    }

    /// The client whose request has this permit number.
    pub fn client(&self, number: u64) -> Option<ClientId> {
        self.clients.get(&number).copied()
    }

    /// Whether replies are fast enough for permits to be useful. While they are slow, some
    /// permit requests are still sent as probes.
    pub fn are_replies_fast(&self, now: Timestamp) -> bool {
        self.reply_time <= MAX_MEAN_REPLY_TIME || self.next_probe <= now
    }

    /// Records the first reply to a permit request, or that it was given up without one.
    pub fn record_reply_time(&mut self, permit: &PermitHandle, now: Timestamp) {
        let took = now.saturating_sub(permit.requested_at);
        let decayed = self.reply_time.mul_f64(1.0 - REPLY_SAMPLE_WEIGHT);
        self.reply_time = decayed + took.mul_f64(REPLY_SAMPLE_WEIGHT);
    }

    /// Records that a dispatcher replied.
    pub fn record_reply(&mut self, dispatcher: SocketAddr) {
        self.dispatchers.remove(&dispatcher);
    }

    /// Marks a dispatcher as lost, or as not granting permits.
    pub fn mark_lost(&mut self, dispatcher: SocketAddr, now: Timestamp) {
        let silence = DispatcherSilence {
            unanswered_since: None,
            avoided_until: now + UNRESPONSIVE_TTL,
        };
        self.dispatchers.insert(dispatcher, silence);
    }

    /// Counts a request that proceeds without a permit.
    pub fn count_missed(&mut self) {
        self.counters.missed += 1;
    }

    /// Returns a permit, or withdraws the request for it.
    pub fn release(&mut self, permit: &PermitHandle, outcome: PermitOutcome) {
        let PermitRequest { number, queue, .. } = permit.request;
        self.clients.remove(&number);
        self.release_number(permit.dispatcher, number, queue, outcome);
    }

    /// Returns a permit that no request needs any more.
    pub fn release_number(
        &mut self,
        dispatcher: SocketAddr,
        number: u64,
        queue: u64,
        outcome: PermitOutcome,
    ) {
        let message = PermitMessage::Return {
            number,
            queue,
            outcome,
        };
        self.outbox.push((dispatcher, message));
    }

    /// Drops the number of a refused request, which has no permit to return.
    pub fn drop_number(&mut self, number: u64) {
        self.clients.remove(&number);
    }

    /// Returns the messages to be sent.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, PermitMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Drops dispatchers that may be asked again.
    pub fn expire(&mut self, now: Timestamp) {
        // A permit request that was given up says nothing about the dispatcher after that
        // time.
        let is_recent = |at: Timestamp| at + UNRESPONSIVE_TTL > now;
        self.dispatchers.retain(|_, known| {
            known.unanswered_since.is_some_and(is_recent) || known.avoided_until > now
        });
    }
}

/// How long a permit request waits for a reply before it is sent again.
fn reply_timeout(request: &PermitRequest) -> Duration {
    REPLY_TIMEOUT.min(request.to_target.mul_f64(REPLY_SHARE))
}

/// Hash that is the same for all submissions of a caller's request: of the caller, the key and
/// the request target. Of the body only the length counts, since it may be large, and few
/// callers send different bodies of the same length to the same path and key.
pub fn caller_hash(caller: u64, key: Option<u16>, request: &Request) -> u64 {
    let key = u64::from(key.unwrap_or(0));
    let seed = caller ^ (key << 48) ^ request.body.len() as u64;
    xxhash_rust::xxh3::xxh3_64_with_seed(request.target.as_bytes(), seed)
}
