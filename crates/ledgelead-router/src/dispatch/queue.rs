//! One queue, and the permits that are out: for the owner of keys, or for all instances of a
//! zone that serve a service without keys.
//!
//! The load it answers: peaks at which the callers of several routes ask for more than can
//! be worked on, so that whoever is served next decides who is late.

use super::servers::{Server, Servers};
use crate::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the time to the target that waiting and work may be expected to take. Work
/// spreads by a third to a half of its mean, and machines are slow for moments. Nearer to the
/// target more is late at 1.5 times the capacity; further from it more is refused that would
/// have been in time (the replay of `tests/dispatch`).
const ADMITTED_SHARE: f64 = 0.8;
/// Share of the expected work that must still fit before the target when a permit is handed
/// out. Work that is a third shorter than expected is as common as work a third longer.
const STILL_IN_TIME: f64 = 0.6;
/// After so many permits for the first class in line, one goes to the others, so that the
/// less urgent together get a sixth at least. Among them the nearest target goes first.
const MAX_PASSED_OVER: u32 = 5;
/// How long a late or cold request waits for a slot that nobody else needs, as a
/// multiple of the expected work: a lull of that length is likely where load is near
/// capacity, and beyond it a longer wait only holds the caller up.
const LEFTOVER_PATIENCE: f64 = 2.0;
/// How long a permit is out at least before it counts as lost, with its caller's node or its
/// return: a few times the work of a request.
const LEAST_EXPIRY: Duration = Duration::from_secs(1);
/// The same as a multiple of the expected work: machines that are slow for moments take three
/// times as long, and work spreads by half.
const EXPIRY_FACTOR: u32 = 6;
/// The longest: a permit's place is lost for that time if it is not returned.
const LONGEST_EXPIRY: Duration = Duration::from_secs(3);
/// Most requests that wait in one queue, some 100 bytes each. Those that can be in time are
/// far fewer; the bound is for callers that ask with targets of minutes.
const MAX_WAITING: usize = 1_000;

/// Who asks for a permit: a node, and its number for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// Where the node is reached.
    pub node: SocketAddr,
    /// The node's number for its request.
    pub number: u64,
}

/// An ask for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Who asks.
    pub requester: PermitId,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time until an answer is late.
    pub to_target: Duration,
    /// Whether its caller was refused and came back before the time that it was told.
    pub is_early: bool,
    /// Whether its key was lost with its owner, so that it takes a few times the work.
    pub is_cold: bool,
    /// Stable hash of the instance that has failed it, which is avoided.
    pub tried: Option<u64>,
}

/// What becomes of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent to the instance with this stable hash.
    Granted(u64),
    /// It waits here for a permit.
    Queued,
    /// It can't be in time.
    Refused,
}

/// How a request ended whose permit comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The instance answered.
    Answered {
        /// Time from the request to its answer.
        took: Duration,
        /// What the instance said of its load, if it says so.
        load: Option<InstanceLoad>,
    },
    /// It says nothing of the instance: not run, never sent, or its caller left.
    NoSample,
    /// The instance turned it away, and wants no requests of that node for so long.
    BackedOff(Duration),
    /// It counts as a failure of the instance: broken off, its answer lost, or one that says so.
    Failed,
}

/// What an instance says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
}

/// Who goes first: callers that waited as they were told, then requests of usual work, then
/// those that can be in time, then the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    is_early: bool,
    is_cold: bool,
    is_late: bool,
    urgency: u8,
}

impl Class {
    /// Whether requests of this class get a share of the permits while others go first.
    fn has_share(self) -> bool {
        !self.is_early && !self.takes_leftover()
    }

    /// Whether it only gets slots that nobody else needs.
    fn takes_leftover(self) -> bool {
        self.is_cold || self.is_late
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    class: Class,
    /// The end of its time; the nearest goes first within a class.
    target: Timestamp,
    /// When it waits no longer.
    until: Timestamp,
    tried: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    server: u64,
    expires: Timestamp,
    /// Requests for each slot of the server, this one with them, as it was handed out.
    load: f64,
    /// Whether its work is that of other requests.
    is_usual: bool,
}

/// A queue.
#[derive(Clone, Debug)]
pub struct PermitQueue {
    servers: Servers,
    out: HashMap<PermitId, Permit>,
    expiries: BTreeSet<(Timestamp, PermitId)>,
    waiting: HashMap<PermitId, Waiting>,
    order: BTreeMap<Class, BTreeSet<(Timestamp, PermitId)>>,
    limits: BTreeSet<(Timestamp, PermitId)>,
    /// Permits in a row that went to the first class while others waited.
    passed_over: u32,
    used_at: Timestamp,
}

impl PermitQueue {
    /// The queue of an owner of keys. One more permit than it has slots is out at least: a
    /// request is on its way while another ends, so that no slot is idle meanwhile.
    pub fn of_owner(now: Timestamp) -> PermitQueue {
        PermitQueue::new(Servers::one(), now)
    }

    /// The queue of the instances of a zone. As many permits are out as they have slots, and
    /// more where slots are idle all the same.
    pub fn of_pool(now: Timestamp) -> PermitQueue {
        PermitQueue::new(Servers::pool(), now)
    }

    fn new(servers: Servers, now: Timestamp) -> PermitQueue {
        PermitQueue {
            servers,
            out: HashMap::new(),
            expiries: BTreeSet::new(),
            waiting: HashMap::new(),
            order: BTreeMap::new(),
            limits: BTreeSet::new(),
            passed_over: 0,
            used_at: now,
        }
    }

    /// These instances serve now, and no others.
    pub fn replace_servers(&mut self, servers: impl IntoIterator<Item = Server>) {
        self.servers.replace(servers);
    }

    /// Permits that are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// When it was last asked for a permit, or one came back.
    pub fn used_at(&self) -> Timestamp {
        self.used_at
    }

    /// Time of work that is expected for one request.
    pub fn service_time(&self) -> Duration {
        self.servers.service_time()
    }

    /// Decides on an ask. One that is known is a repeated message and gets the verdict of
    /// the first.
    pub fn ask(&mut self, ask: AdmissionRequest, now: Timestamp) -> Admission {
        self.used_at = now;
        if let Some(permit) = self.out.get(&ask.requester) {
            return Admission::Granted(permit.server);
        }
        if self.waiting.contains_key(&ask.requester) {
            return Admission::Queued;
        }
        let request = self.request(&ask, now);
        let can_wait = self.can_wait(&ask, request.class);
        if self.waiting.is_empty() {
            // Such a request takes nobody's place where a slot is free.
            let needs_slot = request.class.takes_leftover() || !can_wait;
            if let Some(server) = self.servers.pick(ask.tried, needs_slot, now) {
                return self.grant(ask.requester, request.class, server, now);
            }
        }
        if !can_wait || self.waiting.len() >= MAX_WAITING {
            return Admission::Refused;
        }
        self.enqueue(ask.requester, request);
        Admission::Queued
    }

    /// A permit comes back, or a request waits no longer. Returns whether it was known.
    pub fn returned(&mut self, requester: PermitId, how: PermitOutcome, now: Timestamp) -> bool {
        self.used_at = now;
        if self.dequeue(requester).is_some() {
            return true;
        }
        let Some(permit) = self.take_permit(requester) else {
            return false;
        };
        match how {
            PermitOutcome::Answered { took, load } => {
                let service_time = took.div_f64(permit.load.max(1.0));
                let service_time = Some(service_time).filter(|_| permit.is_usual);
                self.servers.answered(permit.server, service_time, now);
                if let Some(load) = load {
                    let is_wanted = !self.waiting.is_empty();
                    self.servers.load_reported(permit.server, load, is_wanted);
                }
            }
            PermitOutcome::NoSample => {}
            PermitOutcome::BackedOff(backoff) => {
                self.servers.backed_off(permit.server, now + backoff);
            }
            PermitOutcome::Failed => self.servers.failed(permit.server, now),
        }
        true
    }

    /// Hands out the permits that are free. Returns who gets one, and who waited in vain.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(PermitId, Admission)> {
        self.expire(now);
        let mut decided = self.give_up(now);
        while let Some((requester, server)) = self.next(now) {
            if let Some(request) = self.dequeue(requester) {
                decided.push((requester, self.grant(requester, request.class, server, now)));
            }
        }
        decided
    }

    /// When `advance` has something to do without a further message.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let limit = self.limits.first();
        let expiry = self.expiries.first();
        limit.into_iter().chain(expiry).map(|(at, _)| *at).min()
    }

    fn request(&self, ask: &AdmissionRequest, now: Timestamp) -> Waiting {
        let class = Class {
            is_early: ask.is_early,
            is_cold: ask.is_cold,
            is_late: ask.to_target.is_zero(),
            urgency: ask.urgency,
        };
        let patience = match class.takes_leftover() {
            true => self.service_time().mul_f64(LEFTOVER_PATIENCE),
            false => {
                let least_service_time = self.service_time().mul_f64(STILL_IN_TIME);
                ask.to_target.saturating_sub(least_service_time)
            }
        };
        Waiting {
            class,
            target: now + ask.to_target,
            until: now + patience,
            tried: ask.tried,
        }
    }

    /// Whether a wait for a permit is likely to end well.
    fn can_wait(&self, ask: &AdmissionRequest, class: Class) -> bool {
        if self.servers.slots() == 0 {
            return false;
        }
        if class.takes_leftover() {
            // Only one at a time: a slot that nobody needs is rare where several wait.
            return self.order.range(class..).next().is_none();
        }
        self.expected(class) <= ask.to_target.mul_f64(ADMITTED_SHARE)
    }

    /// Expected time until a request that comes now is answered. Those before it share the
    /// slots with it; a less urgent one has its least share of the permits.
    fn expected(&self, class: Class) -> Duration {
        let size = |waiting: &BTreeSet<(Timestamp, PermitId)>| waiting.len();
        let up_to = self.order.range(..=class);
        let before: usize = up_to.map(|(_, waiting)| size(waiting)).sum();
        let own = self.order.get(&class).map_or(0, size);
        let by_share = (own + 1) * (MAX_PASSED_OVER as usize + 1);
        let before = match class.has_share() {
            true => before.min(by_share),
            false => before,
        };
        let slots = self.servers.slots().max(1);
        let beyond_slots = (self.out.len() + before + 1).saturating_sub(slots);
        let waits = beyond_slots as f64 / slots as f64;
        self.service_time().mul_f64(1.0 + waits)
    }

    /// Who gets the next permit, and where: the first of the first class, and now and then
    /// the most pressing one of the others.
    fn next(&mut self, now: Timestamp) -> Option<(PermitId, u64)> {
        let (requester, is_other) = self.first_in_line()?;
        let Waiting { class, tried, .. } = self.waiting[&requester];
        let server = self.servers.pick(tried, class.takes_leftover(), now)?;
        self.passed_over = match is_other {
            Some(false) => self.passed_over + 1,
            _ => 0,
        };
        Some((requester, server))
    }

    /// The next request, and whether it is of another class than the first; none of that
    /// where only one class waits.
    fn first_in_line(&self) -> Option<(PermitId, Option<bool>)> {
        let mut classes = self.order.iter();
        let (first, waiting) = classes.next()?;
        let (_, requester) = *waiting.first()?;
        let others = classes.filter(|(class, _)| class.has_share() && first.has_share());
        let other = others.filter_map(|(_, waiting)| waiting.first()).min();
        let Some((_, other)) = other.copied() else {
            return Some((requester, None));
        };
        match self.passed_over >= MAX_PASSED_OVER {
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
            load: self.servers.take_place(server),
            is_usual: !class.is_cold,
        };
        self.expiries.insert((permit.expires, requester));
        self.out.insert(requester, permit);
        Admission::Granted(server)
    }

    fn take_permit(&mut self, requester: PermitId) -> Option<Permit> {
        let permit = self.out.remove(&requester)?;
        self.expiries.remove(&(permit.expires, requester));
        self.servers.give_back_place(permit.server);
        Some(permit)
    }

    fn expiry(&self) -> Duration {
        let expected = self.service_time() * EXPIRY_FACTOR;
        expected.clamp(LEAST_EXPIRY, LONGEST_EXPIRY)
    }

    /// Frees the places of permits that did not come back. That says nothing of the instance:
    /// the node that holds one may be lost, or the work takes long. A request that gets no
    /// answer comes back as such.
    fn expire(&mut self, now: Timestamp) {
        while let Some((at, requester)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.take_permit(requester);
        }
    }

    fn give_up(&mut self, now: Timestamp) -> Vec<(PermitId, Admission)> {
        let mut refused = Vec::new();
        while let Some((at, requester)) = self.limits.first().copied() {
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
        self.limits.insert((request.until, requester));
        self.waiting.insert(requester, request);
    }

    fn dequeue(&mut self, requester: PermitId) -> Option<Waiting> {
        let request = self.waiting.remove(&requester)?;
        self.limits.remove(&(request.until, requester));
        if let Some(waiting) = self.order.get_mut(&request.class) {
            waiting.remove(&(request.target, requester));
            if waiting.is_empty() {
                self.order.remove(&request.class);
            }
        }
        Some(request)
    }
}
