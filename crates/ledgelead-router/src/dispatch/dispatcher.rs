//! The dispatcher role of a node: the queues for which it grants permits.

use super::queue::{Admission, AdmissionRequest, PermitId, PermitOutcome, PermitQueue};
use super::refused::{RefusedCaller, RefusedCallers};
use super::servers::Server;
use crate::Timestamp;
use crate::requests::{RefusalShare, retry_after};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long an unused queue is kept; after that, its knowledge of the owner's service time is
/// out of date.
const UNUSED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of queues. An empty one takes about 500 bytes.
const MAX_QUEUES: usize = 4_096;
/// How long the instances of a pool are used before they are read from the directory again:
/// less than the service time of a request.
const POOL_TTL: Duration = Duration::from_millis(100);
/// Additional retry delay per rank below the most urgent one, as a share of the delay for the
/// most urgent rank.
const EXTRA_DELAY_PER_RANK: f64 = 0.25;
/// Rank from which on the retry delay no longer grows.
const MAX_RANK: u8 = 4;
/// Share of its retry delay after which a caller counts as having waited. It allows for
/// differences between clocks and for the time that the response takes to reach the caller.
const MIN_WAITED_SHARE: f64 = 0.8;
/// Share of a caller's time left for which it is expected to wait. If it waited longer, its
/// next submission could no longer be answered.
const MAX_DELAY_SHARE: f64 = 0.33;

/// A dispatcher's decision on a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchDecision {
    /// Identifies the queue.
    pub queue: u64,
    /// The permit request that was decided on.
    pub requester: PermitId,
    /// The decision.
    pub admission: Admission,
    /// When the caller may retry, if it is refused.
    pub retry_after: Duration,
}

/// A permit request, and the queue that it is for.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest {
    /// Identifies the queue: the stable hash of an owner's id, or of a pool's service and
    /// zone.
    pub queue: u64,
    /// The kind of the queue.
    pub kind: QueueKind,
    /// The node that requests the permit, and its number for the request.
    pub requester: PermitId,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
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

/// What a queue is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// One owner of keys.
    Owner,
    /// The instances of a zone that serve a service without keys.
    Pool,
}

/// Dispatcher counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherCounters {
    /// Permits granted.
    pub granted: u64,
    /// Requests that waited for a permit.
    pub queued: u64,
    /// Requests refused because they could not meet their target.
    pub refused: u64,
    /// Requests whose caller returned before its retry delay was over.
    pub early: u64,
}

/// All queues of a node.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queues: HashMap<u64, Queue>,
    /// When each queue needs attention.
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
    /// Callers of the waiting requests, needed if they are refused.
    waiting: HashMap<PermitId, Caller>,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    hash: u64,
    urgency: u8,
    /// The target of the caller's first submission.
    target: Timestamp,
    left_until: Timestamp,
}

impl Dispatcher {
    /// Dispatcher counts for metrics.
    pub fn counters(&self) -> DispatcherCounters {
        self.counters
    }

    /// Number of waiting requests in all queues.
    pub fn waiting(&self) -> usize {
        self.queues
            .values()
            .map(|queue| queue.permits.waiting())
            .sum()
    }

    /// Decides on a permit request, and on others that can be decided as a result. `None` if
    /// there are too many queues or the owner isn't known yet, so that another dispatcher has
    /// to decide. `servers` returns the instances behind the queue according to the directory.
    pub fn request_permit<S>(
        &mut self,
        request: &DispatchRequest,
        servers: impl FnOnce() -> S,
        now: Timestamp,
    ) -> Option<Vec<DispatchDecision>>
    where
        S: IntoIterator<Item = Server>,
    {
        let entry = self.queues.get(&request.queue);
        let is_current = entry.is_some_and(|queue| queue.read_at + POOL_TTL > now);
        if !is_current {
            self.read_servers(request, servers(), now)?;
        }
        let queue = self.queues.get_mut(&request.queue)?;
        queue.refusals.record_request(now);
        let entry = self.callers.take(request.caller, now);
        let is_early = entry.is_some_and(|entry| now < entry.not_before);
        self.counters.early += u64::from(is_early);
        let target = now + request.to_target;
        let target = entry.map_or(target, |entry| target.min(entry.target));
        let permit = AdmissionRequest {
            requester: request.requester,
            urgency: request.urgency,
            to_target: target.saturating_sub(now),
            is_early,
            is_cold: request.is_cold,
            tried: request.tried,
        };
        let caller = Caller {
            hash: request.caller,
            urgency: request.urgency,
            target,
            left_until: now + request.left,
        };
        let admission = queue.permits.request_permit(permit, now);
        if admission == Admission::Queued {
            queue.waiting.insert(request.requester, caller);
        }
        let mut decisions =
            vec![self.decision(request.queue, request.requester, admission, caller, now)];
        decisions.extend(self.advance(request.queue, now));
        Some(decisions)
    }

    /// Updates the instances behind a queue, and creates the queue if it is new.
    fn read_servers(
        &mut self,
        request: &DispatchRequest,
        servers: impl IntoIterator<Item = Server>,
        now: Timestamp,
    ) -> Option<()> {
        let mut servers = servers.into_iter().peekable();
        let is_unknown = request.kind == QueueKind::Owner && servers.peek().is_none();
        let is_new = !self.queues.contains_key(&request.queue);
        if is_unknown || is_new && self.queues.len() >= MAX_QUEUES {
            return None;
        }
        let queue = self.queues.entry(request.queue).or_insert_with(|| Queue {
            permits: match request.kind {
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

    /// Handles a returned permit, or the withdrawal of a waiting request. Returns the
    /// decisions that follow for other requests.
    pub fn return_permit(
        &mut self,
        queue: u64,
        requester: PermitId,
        outcome: PermitOutcome,
        now: Timestamp,
    ) -> Vec<DispatchDecision> {
        let Some(entry) = self.queues.get_mut(&queue) else {
            return Vec::new();
        };
        entry.waiting.remove(&requester);
        entry.permits.return_permit(requester, outcome, now);
        self.advance(queue, now)
    }

    /// Makes the decisions that are due.
    pub fn make_due_decisions(&mut self, now: Timestamp) -> Vec<DispatchDecision> {
        let mut decisions = Vec::new();
        while let Some((at, queue)) = self.due.first().copied() {
            if at > now {
                break;
            }
            decisions.extend(self.advance(queue, now));
        }
        decisions
    }

    /// When the next decision is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Drops unused queues and expired callers.
    pub fn expire(&mut self, now: Timestamp) {
        self.callers.expire(now);
        let due = &mut self.due;
        self.queues.retain(|hash, queue| {
            let is_used = queue.permits.used_at() + UNUSED_TTL > now;
            let keeps = is_used || queue.permits.outstanding() + queue.permits.waiting() > 0;
            if let Some(at) = queue.due_at.filter(|_| !keeps) {
                due.remove(&(at, *hash));
            }
            keeps
        });
    }

    fn advance(&mut self, queue: u64, now: Timestamp) -> Vec<DispatchDecision> {
        let Some(entry) = self.queues.get_mut(&queue) else {
            return Vec::new();
        };
        let admissions = entry.permits.advance(now);
        let mut decisions = Vec::new();
        for (requester, admission) in admissions {
            let waited = self.queues.get_mut(&queue);
            let Some(caller) = waited.and_then(|entry| entry.waiting.remove(&requester)) else {
                continue;
            };
            decisions.push(self.decision(queue, requester, admission, caller, now));
        }
        self.reschedule(queue);
        decisions
    }

    fn decision(
        &mut self,
        queue: u64,
        requester: PermitId,
        admission: Admission,
        caller: Caller,
        now: Timestamp,
    ) -> DispatchDecision {
        let mut retry_after = Duration::ZERO;
        match admission {
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
            admission,
            retry_after,
        }
    }

    /// Records a refusal and returns when the caller may retry: later the more requests are
    /// refused, and earlier for more urgent ones.
    fn refuse(&mut self, queue: u64, caller: Caller, now: Timestamp) -> Duration {
        let share = self.queues.get_mut(&queue).map_or(0.0, |entry| {
            entry.refusals.record_refusal(now);
            entry.refusals.share(now)
        });
        let rank = f64::from(caller.urgency.min(MAX_RANK));
        let retry_after = retry_after(share).mul_f64(1.0 + EXTRA_DELAY_PER_RANK * rank);
        let time_left = caller.left_until.saturating_sub(now);
        let expected_wait = retry_after.min(time_left.mul_f64(MAX_DELAY_SHARE));
        let refused = RefusedCaller {
            not_before: now + expected_wait.mul_f64(MIN_WAITED_SHARE),
            target: caller.target,
            until: caller.left_until,
        };
        self.callers.record(caller.hash, refused);
        retry_after
    }

    fn reschedule(&mut self, queue: u64) {
        let Some(entry) = self.queues.get_mut(&queue) else {
            return;
        };
        let next = entry.permits.next_deadline();
        if entry.due_at == next {
            return;
        }
        if let Some(at) = entry.due_at {
            self.due.remove(&(at, queue));
        }
        entry.due_at = next;
        if let Some(at) = next {
            self.due.insert((at, queue));
        }
    }
}
