//! A queue and its outstanding permits, for one owner of keys, or for all instances of a zone
//! that serve a service without keys.
//!
//! It is made for peaks in which the callers of several routes request more than the capacity,
//! so that the order of service decides which requests are late.

use super::servers::{Server, Servers};
use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the time left until the target that waiting and service may be expected to take.
/// Service times vary by a third to a half of their mean, and machines have slow moments. With
/// a higher share more requests are late at 1.5 times the capacity; with a lower one more
/// requests are refused that would have been in time (see the replay in `tests/dispatch`).
const ADMITTED_SHARE: f64 = 0.8;
/// Share of the expected service time that must still fit before the target when a permit is
/// granted. A service time a third shorter than expected is as common as one a third longer.
const MIN_SERVICE_TIME_SHARE: f64 = 0.6;
/// Number of permits in a row for the first class before one goes to the other classes, so
/// that the less urgent ones together get at least a sixth. Among them the nearest target goes
/// first.
const MAX_CONSECUTIVE_FIRST_CLASS: u32 = 5;
/// How long a late or cold request waits for a slot that no other request needs, as a multiple
/// of the expected service time. Near capacity, such a slot is likely to become free within
/// that time; waiting longer would only delay the caller.
const IDLE_SLOT_WAIT_FACTOR: f64 = 2.0;
/// Minimum time before an outstanding permit counts as lost, because the requesting node or
/// the message that returns it was lost: a few times the service time of a request.
const MIN_EXPIRY: Duration = Duration::from_secs(1);
/// The same as a multiple of the expected service time. Machines in a slow moment take three
/// times as long, and service times vary by half.
const EXPIRY_FACTOR: u32 = 6;
/// Maximum time before an outstanding permit counts as lost. A permit that is not returned
/// blocks a slot for that time.
const MAX_EXPIRY: Duration = Duration::from_secs(3);
/// Maximum number of waiting requests in a queue, about 100 bytes each. Far fewer can meet
/// their target; the limit is for callers with targets of minutes.
const MAX_WAITING: usize = 1_000;

/// Identifies a permit request by its node and that node's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// Address of the node.
    pub node: SocketAddr,
    /// The node's number for the permit request.
    pub number: u64,
}

/// A request for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The node that requests the permit, and its number for the request.
    pub requester: PermitId,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time left until the target latency.
    pub to_target: Duration,
    /// Whether its caller was refused and returned before its retry delay was over.
    pub is_early: bool,
    /// Whether the key's state was lost with its owner, so that the request takes a few times
    /// the usual service time.
    pub is_cold: bool,
    /// Stable hash of the instance that failed the request, which is avoided.
    pub tried: Option<u64>,
}

/// The decision on a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent to the instance with this stable hash.
    Granted(u64),
    /// The request waits in the queue for a permit.
    Queued,
    /// The request can't meet its target.
    Refused,
}

/// How the request ended whose permit is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The instance answered.
    Answered {
        /// Time from sending the request to its response.
        took: Duration,
        /// The load reported by the instance, if any.
        load: Option<InstanceLoad>,
    },
    /// The end says nothing about the instance: the request was not run, was never sent, or its
    /// caller left.
    NoSample,
    /// The instance rejected the request and wants none from that node for this time.
    BackedOff(Duration),
    /// The end counts as a failure of the instance: the attempt was aborted, its response was
    /// lost, or the response reported a failure.
    Failed,
}

/// The load reported by an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Requests being processed.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
}

/// Order of service. Callers that did not return early come first, then requests with the usual
/// service time, then those that can meet their target, then the most urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    is_early: bool,
    is_cold: bool,
    is_late: bool,
    urgency: u8,
}

impl Class {
    /// Whether requests of this class get a share of the permits while more urgent ones are
    /// waiting.
    fn has_share(self) -> bool {
        !self.is_early && !self.needs_idle_slot()
    }

    /// Whether requests of this class only get slots that no other request needs.
    fn needs_idle_slot(self) -> bool {
        self.is_cold || self.is_late
    }
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    class: Class,
    /// When the target latency ends; within a class the nearest goes first.
    target: Timestamp,
    /// Until when it waits.
    until: Timestamp,
    tried: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    server: u64,
    expires: Timestamp,
    /// Requests per slot of the server when the permit was granted, including this one.
    load: f64,
    /// Whether the request has the usual service time.
    has_usual_service_time: bool,
}

/// A permit queue.
#[derive(Clone, Debug)]
pub struct PermitQueue {
    servers: Servers,
    outstanding: HashMap<PermitId, Permit>,
    expiries: BTreeSet<(Timestamp, PermitId)>,
    waiting: HashMap<PermitId, Waiting>,
    order: BTreeMap<Class, BTreeSet<(Timestamp, PermitId)>>,
    wait_limits: BTreeSet<(Timestamp, PermitId)>,
    /// Number of permits in a row that went to the first class while others waited.
    consecutive_first_class: u32,
    used_at: Timestamp,
}

impl PermitQueue {
    /// Creates the queue of an owner of keys. The limit of outstanding permits exceeds the
    /// owner's slots by at least one, so that the next request is already on its way when one
    /// ends and no slot stays idle.
    pub fn of_owner(now: Timestamp) -> PermitQueue {
        PermitQueue::new(Servers::single_owner(), now)
    }

    /// Creates the queue of the instances in a zone. The limit of outstanding permits is the
    /// number of their slots, and higher if slots are idle nevertheless.
    pub fn of_pool(now: Timestamp) -> PermitQueue {
        PermitQueue::new(Servers::pool(), now)
    }

    fn new(servers: Servers, now: Timestamp) -> PermitQueue {
        PermitQueue {
            servers,
            outstanding: HashMap::new(),
            expiries: BTreeSet::new(),
            waiting: HashMap::new(),
            order: BTreeMap::new(),
            wait_limits: BTreeSet::new(),
            consecutive_first_class: 0,
            used_at: now,
        }
    }

    /// Replaces the set of serving instances.
    pub fn replace_servers(&mut self, servers: impl IntoIterator<Item = Server>) {
        self.servers.replace(servers);
    }

    /// Number of outstanding permits.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// When a permit was last requested or returned.
    pub fn used_at(&self) -> Timestamp {
        self.used_at
    }

    /// Expected service time of one request.
    pub fn service_time(&self) -> Duration {
        self.servers.service_time()
    }

    /// Decides on a permit request. A request that is already known is a resent message and
    /// gets the same decision.
    pub fn request_permit(&mut self, request: AdmissionRequest, now: Timestamp) -> Admission {
        self.used_at = now;
        if let Some(permit) = self.outstanding.get(&request.requester) {
            return Admission::Granted(permit.server);
        }
        if self.waiting.contains_key(&request.requester) {
            return Admission::Queued;
        }
        let waiting = self.waiting_request(&request, now);
        let can_wait = self.can_wait(&request, waiting.class);
        if self.waiting.is_empty() {
            // Such a request is only granted a free slot, which takes no other request's
            // place.
            let needs_slot = waiting.class.needs_idle_slot() || !can_wait;
            if let Some(server) = self.servers.select(request.tried, needs_slot, now) {
                return self.grant(request.requester, waiting.class, server, now);
            }
        }
        if !can_wait || self.waiting.len() >= MAX_WAITING {
            return Admission::Refused;
        }
        self.enqueue(request.requester, waiting);
        Admission::Queued
    }

    /// Handles a returned permit, or the withdrawal of a waiting request. Returns whether it
    /// was known.
    pub fn return_permit(
        &mut self,
        requester: PermitId,
        outcome: PermitOutcome,
        now: Timestamp,
    ) -> bool {
        self.used_at = now;
        if self.dequeue(requester).is_some() {
            return true;
        }
        let Some(permit) = self.take_permit(requester) else {
            return false;
        };
        match outcome {
            PermitOutcome::Answered { took, load } => {
                let service_time = took.div_f64(permit.load.max(1.0));
                let service_time = Some(service_time).filter(|_| permit.has_usual_service_time);
                self.servers
                    .record_success(permit.server, service_time, now);
                if let Some(load) = load {
                    let is_wanted = !self.waiting.is_empty();
                    self.servers.record_load(permit.server, load, is_wanted);
                }
            }
            PermitOutcome::NoSample => {}
            PermitOutcome::BackedOff(backoff) => {
                self.servers.record_backoff(permit.server, now + backoff);
            }
            PermitOutcome::Failed => self.servers.record_failure(permit.server, now),
        }
        true
    }

    /// Grants the available permits. Returns the requests that got one, and those that waited
    /// too long.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(PermitId, Admission)> {
        self.expire(now);
        let mut decisions = self.expire_waiting(now);
        while let Some((requester, server)) = self.select_next(now) {
            if let Some(request) = self.dequeue(requester) {
                decisions.push((requester, self.grant(requester, request.class, server, now)));
            }
        }
        decisions
    }

    /// When `advance` next has something to do without a further message.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let limit = self.wait_limits.first();
        let expiry = self.expiries.first();
        limit.into_iter().chain(expiry).map(|(at, _)| *at).min()
    }

    fn waiting_request(&self, request: &AdmissionRequest, now: Timestamp) -> Waiting {
        let class = Class {
            is_early: request.is_early,
            is_cold: request.is_cold,
            is_late: request.to_target.is_zero(),
            urgency: request.urgency,
        };
        let max_wait = match class.needs_idle_slot() {
            true => self.service_time().mul_f64(IDLE_SLOT_WAIT_FACTOR),
            false => {
                let min_service_time = self.service_time().mul_f64(MIN_SERVICE_TIME_SHARE);
                request.to_target.saturating_sub(min_service_time)
            }
        };
        Waiting {
            class,
            target: now + request.to_target,
            until: now + max_wait,
            tried: request.tried,
        }
    }

    /// Whether a request that waits for a permit is likely to get one in time.
    fn can_wait(&self, request: &AdmissionRequest, class: Class) -> bool {
        if self.servers.slots() == 0 {
            return false;
        }
        if class.needs_idle_slot() {
            // Only one such request waits at a time, since slots that no other request needs
            // are rare when several wait.
            return self.order.range(class..).next().is_none();
        }
        self.expected_time(class) <= request.to_target.mul_f64(ADMITTED_SHARE)
    }

    /// Expected time until a new request is answered. The requests before it share the slots
    /// with it; a less urgent request can count on the minimum share of its class.
    fn expected_time(&self, class: Class) -> Duration {
        let size = |waiting: &BTreeSet<(Timestamp, PermitId)>| waiting.len();
        let up_to = self.order.range(..=class);
        let before: usize = up_to.map(|(_, waiting)| size(waiting)).sum();
        let own = self.order.get(&class).map_or(0, size);
        let by_share = (own + 1) * (MAX_CONSECUTIVE_FIRST_CLASS as usize + 1);
        let before = match class.has_share() {
            true => before.min(by_share),
            false => before,
        };
        let slots = self.servers.slots().max(1);
        let beyond_slots = (self.outstanding.len() + before + 1).saturating_sub(slots);
        let waits = beyond_slots as f64 / slots as f64;
        self.service_time().mul_f64(1.0 + waits)
    }

    /// Selects the next request to get a permit, and its server: the first of the first class,
    /// and from time to time the most pressing one of the others.
    fn select_next(&mut self, now: Timestamp) -> Option<(PermitId, u64)> {
        let (requester, is_other) = self.next_request()?;
        let Waiting { class, tried, .. } = self.waiting[&requester];
        let server = self.servers.select(tried, class.needs_idle_slot(), now)?;
        self.consecutive_first_class = match is_other {
            Some(false) => self.consecutive_first_class + 1,
            _ => 0,
        };
        Some((requester, server))
    }

    /// The next request, and whether it is from another class than the first one; `None` for
    /// the latter if only one class waits.
    fn next_request(&self) -> Option<(PermitId, Option<bool>)> {
        let mut classes = self.order.iter();
        let (first, waiting) = classes.next()?;
        let (_, requester) = *waiting.first()?;
        let others = classes.filter(|(class, _)| class.has_share() && first.has_share());
        let other = others.filter_map(|(_, waiting)| waiting.first()).min();
        let Some((_, other)) = other.copied() else {
            return Some((requester, None));
        };
        match self.consecutive_first_class >= MAX_CONSECUTIVE_FIRST_CLASS {
            true => Some((other, Some(true))),
            false => Some((requester, Some(false))),
        }
    }

    fn grant(
        &mut self,
        requester: PermitId,
        class: Class,
        server: u64,
        now: Timestamp,
    ) -> Admission {
        let permit = Permit {
            server,
            expires: now + self.expiry(),
            load: self.servers.reserve_slot(server),
            has_usual_service_time: !class.is_cold,
        };
        self.expiries.insert((permit.expires, requester));
        self.outstanding.insert(requester, permit);
        Admission::Granted(server)
    }

    fn take_permit(&mut self, requester: PermitId) -> Option<Permit> {
        let permit = self.outstanding.remove(&requester)?;
        self.expiries.remove(&(permit.expires, requester));
        self.servers.release_slot(permit.server);
        Some(permit)
    }

    fn expiry(&self) -> Duration {
        let expected = self.service_time() * EXPIRY_FACTOR;
        expected.clamp(MIN_EXPIRY, MAX_EXPIRY)
    }

    /// Frees the slots of permits that were not returned. This doesn't count against the
    /// instance: the node that holds the permit may be lost, or the service may take long. A
    /// request without a response is reported as such when its permit is returned.
    fn expire(&mut self, now: Timestamp) {
        while let Some((at, requester)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.take_permit(requester);
        }
    }

    fn expire_waiting(&mut self, now: Timestamp) -> Vec<(PermitId, Admission)> {
        let mut refused = Vec::new();
        while let Some((at, requester)) = self.wait_limits.first().copied() {
            if at > now {
                break;
            }
            self.dequeue(requester);
            refused.push((requester, Admission::Refused));
        }
        refused
    }

    fn enqueue(&mut self, requester: PermitId, request: Waiting) {
        let place = (request.target, requester);
        self.order.entry(request.class).or_default().insert(place);
        self.wait_limits.insert((request.until, requester));
        self.waiting.insert(requester, request);
    }

    fn dequeue(&mut self, requester: PermitId) -> Option<Waiting> {
        let request = self.waiting.remove(&requester)?;
        self.wait_limits.remove(&(request.until, requester));
        if let Some(waiting) = self.order.get_mut(&request.class) {
            waiting.remove(&(request.target, requester));
            if waiting.is_empty() {
                self.order.remove(&request.class);
            }
        }
        Some(request)
    }
}
