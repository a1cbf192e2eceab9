//! Permits that this node's requests ask dispatchers for, and messages about them.

use crate::Timestamp;
use crate::directory::Instance;
use crate::dispatch::{PermitOutcome, QueueKind};
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::io::ClientId;
use ledgelead_http::Request;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which an ask is repeated: a large body on a narrow link holds a datagram up by
/// 50 ms, and a machine may stand still for 100 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Most of the time to the target that it waits for before that.
const REPLY_SHARE: f64 = 0.25;
/// How many times as long a request waits for a dispatcher's first answer.
const REPLY_PATIENCE: u32 = 2;
/// Time without an answer after which a dispatcher counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(150);
/// Mean time to a dispatcher's first answer beyond which requests go without: a slot that is
/// idle for that long at both ends of a request costs more than the order gains, beside work
/// of 50 to 200 ms. A narrow link full of large bodies does that.
const SLOW_REPLY: Duration = Duration::from_millis(20);
/// Weight of a new sample of that time.
const REPLY_WEIGHT: f64 = 0.2;
/// Pause between two asks that find out whether answers are quick again.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a lost dispatcher is not asked: about the time in which nodes learn of the loss
/// of another.
const SILENT_TTL: Duration = Duration::from_secs(1);

/// Where a request stands with a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// It has asked, and knows nothing.
    Asked,
    /// It waits in the queue.
    Queued,
    /// It may be sent to the instance with this stable hash.
    Granted(u64),
}

/// A permit for a request, or the wait for one.
#[derive(Clone, Debug)]
pub struct HeldPermit {
    /// Who hands it out.
    pub dispatcher: SocketAddr,
    /// How far it is.
    pub state: PermitState,
    /// When something is done about it without a further message.
    pub check_at: Timestamp,
    /// The ask, with its number and queue; it may be repeated.
    pub ask: PermitRequest,
    /// When it is given up for want of an answer.
    pub give_up_at: Timestamp,
    /// When it was asked for.
    pub asked_at: Timestamp,
}

impl HeldPermit {
    /// Whether it was handed out.
    pub fn is_granted(&self) -> bool {
        matches!(self.state, PermitState::Granted(_))
    }

    /// Whether a request may be sent to this instance by it.
    pub fn covers(&self, instance: &InstanceId) -> bool {
        self.state == PermitState::Granted(instance.stable_hash())
    }
}

/// What a request needs of a dispatcher.
#[derive(Clone, Debug)]
pub struct PermitNeed {
    /// Names the queue.
    pub queue: u64,
    /// What it is for.
    pub kind: QueueKind,
    /// Where its instances run.
    pub zone: ZoneName,
}

impl PermitNeed {
    /// A place in the queue of an owner of keys.
    pub fn of_owner(owner: &Instance) -> PermitNeed {
        PermitNeed {
            queue: owner.record.id.stable_hash(),
            kind: QueueKind::Owner,
            zone: owner.record.zone.clone(),
        }
    }

    /// A place in the queue of the instances of a zone that serve a service.
    pub fn of_pool(service: &ServiceName, zone: &ZoneName) -> PermitNeed {
        PermitNeed {
            queue: pool_hash(service, zone),
            kind: QueueKind::Pool,
            zone: zone.clone(),
        }
    }
}

/// Names the queue of the instances of a zone that serve a service.
pub fn pool_hash(service: &ServiceName, zone: &ZoneName) -> u64 {
    service.stable_hash() ^ zone.stable_hash().rotate_left(1)
}

/// A message to a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitMessage {
    /// Asks for a permit.
    Request(PermitRequest),
    /// Gives one back, or asks for it no more.
    Return {
        /// The number of the ask.
        number: u64,
        /// Names the queue.
        queue: u64,
        /// How the request ended.
        how: PermitOutcome,
    },
}

/// An ask for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// This node's number for it.
    pub number: u64,
    /// Names the queue.
    pub queue: u64,
    /// What it is for.
    pub kind: QueueKind,
    /// Stable hash of the service's name.
    pub service: u64,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u32,
    /// Time until an answer is late.
    pub to_target: Duration,
    /// Time until the request ends in any case.
    pub left: Duration,
    /// Hash of what makes the tries of a caller's request the same.
    pub caller: u64,
    /// Whether its key was lost with its owner, so that it takes longer.
    pub is_cold: bool,
    /// Stable hash of the instance that has failed the request.
    pub tried: Option<u64>,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounters {
    /// Asked for.
    pub asked: u64,
    /// Requests that had to ask and went on without: no candidate answered or is known, the
    /// wait ended, or the granted instance left. Slow or declining dispatchers don't count.
    pub missed: u64,
}

/// How long a dispatcher has been silent.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    /// The first ask since its last word.
    asked_at: Option<Timestamp>,
    /// Until when it isn't asked.
    silent_until: Timestamp,
}

/// All permits that this node has asked for, by its numbers.
#[derive(Debug, Default)]
pub struct Permits {
    clients: HashMap<u64, ClientId>,
    last_number: u64,
    outbox: Vec<(SocketAddr, PermitMessage)>,
    dispatchers: HashMap<SocketAddr, Silence>,
    /// Mean time to the first answer of a dispatcher.
    reply_time: Duration,
    next_probe: Timestamp,
    counters: PermitCounters,
}

impl Permits {
    /// None yet. Numbers begin at one that earlier lives of the node have not used.
    pub fn new(first_number: u64) -> Permits {
        Permits {
            last_number: first_number,
            ..Permits::default()
        }
    }

    /// Counts for metrics.
    pub fn counters(&self) -> PermitCounters {
        self.counters
    }

    /// Whether a dispatcher may be asked: it isn't taken for lost. One never asked may.
    pub fn may_ask(&self, dispatcher: SocketAddr, now: Timestamp) -> bool {
        let known = self.dispatchers.get(&dispatcher);
        known.is_none_or(|known| known.silent_until <= now)
    }

    /// Asks a dispatcher. `ask` gets its number here.
    pub fn ask(
        &mut self,
        client: ClientId,
        dispatcher: SocketAddr,
        ask: PermitRequest,
        now: Timestamp,
    ) -> HeldPermit {
        self.counters.asked += 1;
        self.next_probe = now + PROBE_INTERVAL;
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.clients.insert(number, client);
        let ask = PermitRequest { number, ..ask };
        let mut permit = HeldPermit {
            dispatcher,
            state: PermitState::Asked,
            check_at: now,
            ask,
            give_up_at: now + reply_timeout(&ask) * REPLY_PATIENCE,
            asked_at: now,
        };
        self.send_ask(&mut permit, now);
        permit
    }

    /// Repeats an ask that got no answer, unless its dispatcher counts as lost by now or the
    /// request can't wait any longer. Returns whether it did.
    pub fn repeat(&mut self, permit: &mut HeldPermit, now: Timestamp) -> bool {
        let known = self.dispatchers.entry(permit.dispatcher).or_default();
        let is_lost = known.asked_at.is_some_and(|at| at + LOST_AFTER <= now);
        if is_lost {
            self.lost(permit.dispatcher, now);
        }
        let may_wait = permit.give_up_at > now && self.may_ask(permit.dispatcher, now);
        if may_wait {
            self.send_ask(permit, now);
        }
        may_wait
    }

    fn send_ask(&mut self, permit: &mut HeldPermit, now: Timestamp) {
        let known = self.dispatchers.entry(permit.dispatcher).or_default();
        known.asked_at.get_or_insert(now);
        permit.check_at = now + reply_timeout(&permit.ask);
        let message = PermitMessage::Request(permit.ask);
        self.outbox.push((permit.dispatcher, message));
    }

    /// The client whose request waits for this number.
    pub fn client(&self, number: u64) -> Option<ClientId> {
        self.clients.get(&number).copied()
    }

    /// Whether permits are worth their way now; where answers are slow, some asks go on to
    /// find out when they are quick again.
    pub fn are_quick(&self, now: Timestamp) -> bool {
        self.reply_time <= SLOW_REPLY || self.next_probe <= now
    }

    /// The first answer to an ask has come, or it was given up for want of one.
    pub fn replied(&mut self, permit: &HeldPermit, now: Timestamp) {
        let took = now.saturating_sub(permit.asked_at);
        let kept = self.reply_time.mul_f64(1.0 - REPLY_WEIGHT);
        self.reply_time = kept + took.mul_f64(REPLY_WEIGHT);
    }

    /// A dispatcher has answered.
    pub fn heard(&mut self, dispatcher: SocketAddr) {
        self.dispatchers.remove(&dispatcher);
    }

    /// A dispatcher counts as lost, or doesn't hand out permits.
    pub fn lost(&mut self, dispatcher: SocketAddr, now: Timestamp) {
        let lost = Silence {
            asked_at: None,
            silent_until: now + SILENT_TTL,
        };
        self.dispatchers.insert(dispatcher, lost);
    }

    /// A request goes on without a permit.
    pub fn went_without(&mut self) {
        self.counters.missed += 1;
    }

    /// Gives a permit back, or the wait for it up.
    pub fn give_back(&mut self, permit: &HeldPermit, how: PermitOutcome) {
        let PermitRequest { number, queue, .. } = permit.ask;
        self.clients.remove(&number);
        self.give_back_number(permit.dispatcher, number, queue, how);
    }

    /// Gives a permit back that no request waits for any more.
    pub fn give_back_number(
        &mut self,
        dispatcher: SocketAddr,
        number: u64,
        queue: u64,
        how: PermitOutcome,
    ) {
        let message = PermitMessage::Return { number, queue, how };
        self.outbox.push((dispatcher, message));
    }

    /// A request was refused, so that no permit is to come back.
    pub fn forget(&mut self, number: u64) {
        self.clients.remove(&number);
    }

    /// Messages that are to be sent.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, PermitMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Forgets dispatchers that may be asked again.
    pub fn expire(&mut self, now: Timestamp) {
        // An ask that was given up before says nothing after that time.
        let is_recent = |at: Timestamp| at + SILENT_TTL > now;
        self.dispatchers
            .retain(|_, known| known.asked_at.is_some_and(is_recent) || known.silent_until > now);
    }
}

/// How long an ask waits for an answer before it is repeated.
fn reply_timeout(ask: &PermitRequest) -> Duration {
    REPLY_TIMEOUT.min(ask.to_target.mul_f64(REPLY_SHARE))
}

/// Hash of what makes the tries of a caller's request the same: where it comes from, its
/// key, and what it asks for. Of the body only the length counts, since it may be large and
/// callers that send another one under the same path and key are few.
pub fn caller_hash(caller: u64, key: Option<u16>, request: &Request) -> u64 {
    let key = u64::from(key.unwrap_or(0));
    let seed = caller ^ (key << 48) ^ request.body.len() as u64;
    xxhash_rust::xxh3::xxh3_64_with_seed(request.target.as_bytes(), seed)
}
