//! A node as dispatcher: the queues that it hands out permits for.

use super::queue::{Admission, AdmissionRequest, PermitId, PermitOutcome, PermitQueue};
use super::refused::{Refused, RefusedCallers};
use super::servers::Server;
use crate::Timestamp;
use crate::requests::{RefusalShare, retry_after};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long a queue is kept that nobody uses: what it knows of the owner's work is out of
/// date by then.
const UNUSED_TTL: Duration = Duration::from_secs(10);
/// Most queues, some 500 bytes each when empty.
const MAX_QUEUES: usize = 4_096;
/// How long the instances of a pool are used before the directory is asked again: less than
/// the work of a request.
const POOL_TTL: Duration = Duration::from_millis(100);
/// How much later a caller may come back for each rank that it is less urgent, as a share
/// of the time that the most urgent one is told.
const LATER_BY_RANK: f64 = 0.25;
/// Rank from which on callers are told the same.
const MAX_RANK: u8 = 4;
/// Share of the time that a caller was told after which it counts as having waited: clocks
/// and the way of its answer differ a little.
const WAITED_SHARE: f64 = 0.8;
/// Share of the time that a caller has left for which it can wait as it is told: later, its
/// next try could not be answered any more.
const PATIENCE_SHARE: f64 = 0.33;

/// What a dispatcher decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchDecision {
    /// Names the queue.
    pub queue: u64,
    /// Whose ask.
    pub requester: PermitId,
    /// What becomes of it.
    pub verdict: Admission,
    /// When its caller may come back, if it is refused.
    pub retry_after: Duration,
}

/// An ask, and for what.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest {
    /// Names the queue: the stable hash of an owner's id, or of a pool's service and zone.
    pub queue: u64,
    /// What the queue is for.
    pub kind: QueueKind,
    /// Who asks.
    pub requester: PermitId,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
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

/// What a queue is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// One owner of keys.
    Owner,
    /// The instances of a zone that serve a service without keys.
    Pool,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounters {
    /// Permits handed out.
    pub granted: u64,
    /// Requests that waited for one.
    pub queued: u64,
    /// Requests that could not be in time.
    pub refused: u64,
    /// Requests whose caller came back before the time that it was told.
    pub early: u64,
}

/// All queues of a node.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queues: HashMap<u64, Queue>,
    /// When something is due at a queue.
    due: BTreeSet<(Timestamp, u64)>,
    callers: RefusedCallers,
    counters: DispatcherCounters,
}

#[derive(Debug)]
struct Queue {
    permits: PermitQueue,
    /// When its instances were last read from the directory.
    read_at: Timestamp,
    refusals: RefusalShare,
    /// Its entry in `Dispatcher::due`.
    due_at: Option<Timestamp>,
    /// What callers of the requests that wait were, for when they are refused.
    waiting: HashMap<PermitId, Caller>,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    hash: u64,
    urgency: u8,
    /// The end of its time, counted from its first try.
    target: Timestamp,
    left_until: Timestamp,
}

impl Dispatcher {
    /// Counts for metrics.
    pub fn counters(&self) -> DispatcherCounters {
        self.counters
    }

    /// Requests that wait in all queues.
    pub fn waiting(&self) -> usize {
        self.queues
            .values()
            .map(|queue| queue.permits.waiting())
            .sum()
    }

    /// Decides on an ask, and on others that it makes way for; none if there are too many
    /// queues or the owner isn't known yet, so that another has to. `servers` are the
    /// instances behind the queue, as the directory knows them.
    pub fn ask<S>(
        &mut self,
        ask: &DispatchRequest,
        servers: impl FnOnce() -> S,
        now: Timestamp,
    ) -> Option<Vec<DispatchDecision>>
    where
        S: IntoIterator<Item = Server>,
    {
        let known = self.queues.get(&ask.queue);
        let is_current = known.is_some_and(|queue| queue.read_at + POOL_TTL > now);
        if !is_current {
            self.read_servers(ask, servers(), now)?;
        }
        let queue = self.queues.get_mut(&ask.queue)?;
        queue.refusals.received(now);
        let known = self.callers.take(ask.caller, now);
        let is_early = known.is_some_and(|known| now < known.not_before);
        self.counters.early += u64::from(is_early);
        let target = now + ask.to_target;
        let target = known.map_or(target, |known| target.min(known.target));
        let permit = AdmissionRequest {
            requester: ask.requester,
            urgency: ask.urgency,
            to_target: target.saturating_sub(now),
            is_early,
            is_cold: ask.is_cold,
            tried: ask.tried,
        };
        let caller = Caller {
            hash: ask.caller,
            urgency: ask.urgency,
            target,
            left_until: now + ask.left,
        };
        let verdict = queue.permits.ask(permit, now);
        if verdict == Admission::Queued {
            queue.waiting.insert(ask.requester, caller);
        }
        let mut decided = vec![self.decided(ask.queue, ask.requester, verdict, caller, now)];
        decided.extend(self.advance(ask.queue, now));
        Some(decided)
    }

    /// Takes over which instances are behind a queue, and makes it if it is new.
    fn read_servers(
        &mut self,
        ask: &DispatchRequest,
        servers: impl IntoIterator<Item = Server>,
        now: Timestamp,
    ) -> Option<()> {
        let mut servers = servers.into_iter().peekable();
        let is_unknown = ask.kind == QueueKind::Owner && servers.peek().is_none();
        let is_new = !self.queues.contains_key(&ask.queue);
        if is_unknown || is_new && self.queues.len() >= MAX_QUEUES {
            return None;
        }
        let queue = self.queues.entry(ask.queue).or_insert_with(|| Queue {
            permits: match ask.kind {
                QueueKind::Owner => PermitQueue::of_owner(now),
                QueueKind::Pool => PermitQueue::of_pool(now),
            },
            read_at: now,
            refusals: RefusalShare::default(),
            due_at: None,
            waiting: HashMap::new(),
        });
        queue.read_at = now;
        queue.permits.replace_servers(servers);
        Some(())
    }

    /// A permit comes back, or a request waits no longer. Returns what follows for others.
    pub fn returned(
        &mut self,
        queue: u64,
        requester: PermitId,
        how: PermitOutcome,
        now: Timestamp,
    ) -> Vec<DispatchDecision> {
        let Some(known) = self.queues.get_mut(&queue) else {
            return Vec::new();
        };
        known.waiting.remove(&requester);
        known.permits.returned(requester, how, now);
        self.advance(queue, now)
    }

    /// What is due by now.
    pub fn deadline(&mut self, now: Timestamp) -> Vec<DispatchDecision> {
        let mut decided = Vec::new();
        while let Some((at, queue)) = self.due.first().copied() {
            if at > now {
                break;
            }
            decided.extend(self.advance(queue, now));
        }
        decided
    }

    /// When something is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Forgets what nobody uses any more.
    pub fn expire(&mut self, now: Timestamp) {
        self.callers.expire(now);
        let due = &mut self.due;
        self.queues.retain(|hash, queue| {
            let is_used = queue.permits.used_at() + UNUSED_TTL > now;
            let keeps = is_used || queue.permits.out() + queue.permits.waiting() > 0;
            if let Some(at) = queue.due_at.filter(|_| !keeps) {
                due.remove(&(at, *hash));
            }
            keeps
        });
    }

    fn advance(&mut self, queue: u64, now: Timestamp) -> Vec<DispatchDecision> {
        let Some(known) = self.queues.get_mut(&queue) else {
            return Vec::new();
        };
        let verdicts = known.permits.advance(now);
        let mut decided = Vec::new();
        for (requester, verdict) in verdicts {
            let waited = self.queues.get_mut(&queue);
            let Some(caller) = waited.and_then(|known| known.waiting.remove(&requester)) else {
                continue;
            };
            decided.push(self.decided(queue, requester, verdict, caller, now));
        }
        self.reschedule(queue);
        decided
    }

    fn decided(
        &mut self,
        queue: u64,
        requester: PermitId,
        verdict: Admission,
        caller: Caller,
        now: Timestamp,
    ) -> DispatchDecision {
        let mut retry_after = Duration::ZERO;
        match verdict {
            Admission::Granted(_) => self.counters.granted += 1,
            Admission::Queued => self.counters.queued += 1,
            Admission::Refused => {
                self.counters.refused += 1;
                retry_after = self.refuse(queue, caller, now);
            }
        }
        DispatchDecision {
            queue,
            requester,
            verdict,
            retry_after,
        }
    }

    /// When a refused caller may come back: the later the more are refused, the most urgent
    /// first.
    fn refuse(&mut self, queue: u64, caller: Caller, now: Timestamp) -> Duration {
        let share = self.queues.get_mut(&queue).map_or(0.0, |known| {
            known.refusals.refused(now);
            known.refusals.share(now)
        });
        let rank = f64::from(caller.urgency.min(MAX_RANK));
        let retry_after = retry_after(share).mul_f64(1.0 + LATER_BY_RANK * rank);
        let patience = caller.left_until.saturating_sub(now);
        let can_wait = retry_after.min(patience.mul_f64(PATIENCE_SHARE));
        let refused = Refused {
            not_before: now + can_wait.mul_f64(WAITED_SHARE),
            target: caller.target,
            until: caller.left_until,
        };
        self.callers.note(caller.hash, refused);
        retry_after
    }

    fn reschedule(&mut self, queue: u64) {
        let Some(known) = self.queues.get_mut(&queue) else {
            return;
        };
        let next = known.permits.next_deadline();
        if known.due_at == next {
            return;
        }
        if let Some(at) = known.due_at {
            self.due.remove(&(at, queue));
        }
        known.due_at = next;
        if let Some(at) = next {
            self.due.insert((at, queue));
        }
    }
}
