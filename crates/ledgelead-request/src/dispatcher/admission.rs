//! Admission: a wish that can't be served by its deadline is refused at once;
//! a full queue gives up the work with the least claim.

use super::queue::{Queue, QueueKey, Waiting};
use super::server::ServerState;
use super::{Dispatcher, PermitKey, TimerKey};
use crate::message::{Acquire, ServerSelector};
use ledgelead_types::{NotRunReason, Span, Time};

/// How long work waits here for a server without a lease, or that is silent.
pub(super) const UNUSABLE_TIMEOUT: Span = Span::from_millis(1_000);

/// Wishes that may wait for each slot.
const MAX_QUEUED_PER_SLOT: usize = 64;

/// Time of the whole capacity that a tier keeps of an unused share.
const MAX_CREDIT: Span = Span::from_millis(500);

/// Shortest interval between permits that the credit is reckoned with, also
/// while none was measured.
const MIN_CREDIT_INTERVAL: Span = Span::from_millis(1);

/// Bounds of the advice when to come back.
const MIN_RETRY_AFTER: Span = Span::from_millis(50);
const MAX_RETRY_AFTER: Span = Span::from_seconds(5);

/// When to come back to keys without a usable server: about the time that a
/// lost server's keys take to be served again.
pub(super) const NO_SERVER_RETRY_AFTER: Span = Span::from_millis(1_000);

/// What a queue can do, from the servers behind it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueCapacity {
    /// Permits that may be out at once.
    pub(super) limit: u32,
    /// Slots of the servers.
    pub(super) slots: u32,
    /// Mean time of a permit; zero while nothing was measured.
    pub(super) service_time: Span,
    /// Time that all but a few permits keep below.
    pub(super) long_service_time: Span,
}

impl QueueCapacity {
    /// Time in which one permit comes back, on average.
    fn interval(&self) -> Span {
        self.service_time.times(1.0 / f64::from(self.limit.max(1)))
    }

    /// Mean time of a request in a slot: the time of a permit without the
    /// wait behind the permits beyond the slots.
    pub(super) fn slot_time(&self) -> Span {
        self.interval().times(f64::from(self.slots.min(self.limit)))
    }

    /// Requests of the whole capacity that a tier may keep as a credit.
    fn credit(&self) -> f64 {
        MAX_CREDIT.as_seconds()
            / self
                .interval()
                .as_seconds()
                .max(MIN_CREDIT_INTERVAL.as_seconds())
    }

    /// Time that queued work keeps in reserve before its deadline. Work that
    /// starts later would often be cut: the slot is wasted and the caller is
    /// told "unknown" where "not run" was possible. A tight deadline keeps
    /// half of its time for waiting, as long as the mean fits in.
    fn reserve(&self, remaining: Span) -> Span {
        self.long_service_time
            .min(remaining.times(0.5))
            .max(self.service_time)
    }
}

impl Dispatcher {
    /// Queues the wish, grants it, or refuses it. `arrived` is when it came
    /// to this dispatcher.
    pub(super) fn admit(&mut self, now: Time, key: PermitKey, acquire: Acquire, arrived: Time) {
        let queue = QueueKey::of(&acquire);
        let deadline = arrived + acquire.deadline;
        self.queues.entry(queue).or_insert_with(Queue::new);
        if acquire.hedge && !self.can_hedge(now, queue, &acquire) {
            self.refuse(key, NotRunReason::Overloaded, MIN_RETRY_AFTER);
            return;
        }
        if self.is_unusable_for_long(now, queue) {
            self.refuse(key, NotRunReason::NoServer, NO_SERVER_RETRY_AFTER);
            return;
        }
        let capacity = self.capacity(now, queue);
        let remaining = deadline.since(now);
        if let Err((reason, excess)) = self.fits_wait(queue, &acquire, capacity, remaining) {
            let retry_after = excess.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
            self.refuse(key, reason, retry_after);
            return;
        }
        if !self.make_room(queue, &acquire, capacity) {
            let retry_after = self.drain_time(queue, capacity);
            self.refuse(key, NotRunReason::Overloaded, retry_after);
            return;
        }
        self.enqueue(key, acquire, arrived, capacity);
        self.pump(now, queue);
    }

    fn enqueue(
        &mut self,
        key: PermitKey,
        acquire: Acquire,
        arrived: Time,
        capacity: QueueCapacity,
    ) {
        let queue_key = QueueKey::of(&acquire);
        let deadline = arrived + acquire.deadline;
        let Some(queue) = self.queues.get_mut(&queue_key) else {
            return;
        };
        let ticket = queue.fair.push(acquire.tier, key, capacity.credit());
        let waiting = Waiting {
            acquire,
            queue: queue_key,
            ticket,
            arrived,
            deadline,
        };
        self.waiting.insert(key, waiting);
        let latest_start = deadline - capacity.reserve(acquire.deadline);
        self.timers.set(TimerKey::Waiting(key), latest_start);
    }

    /// What the usable servers behind a queue can do.
    pub(super) fn capacity(&self, now: Time, queue: QueueKey) -> QueueCapacity {
        let work = queue.work();
        let mut limit = 0;
        let mut slots = 0;
        let mut measured = 0;
        let mut service_micros = 0;
        let mut long_service_time = Span::ZERO;
        for state in self.servers_of(queue) {
            if state.is_usable(now, work, self.protections) {
                limit += state.limit(now, work);
                slots += u32::from(state.settings.slots).max(1);
            }
            let service = state.service_time.or(Span::ZERO);
            if service > Span::ZERO {
                measured += 1;
                service_micros += service.as_micros();
            }
            let long = state.long_service_time().unwrap_or(service);
            long_service_time = long_service_time.max(long);
        }
        let service_time = Span::from_micros(service_micros / measured.max(1));
        QueueCapacity {
            limit,
            slots,
            service_time,
            long_service_time,
        }
    }

    pub(super) fn servers_of(&self, queue: QueueKey) -> impl Iterator<Item = &ServerState> {
        let (one, pool) = match queue {
            QueueKey::Server(server) => (self.servers.get(&server), &[][..]),
            QueueKey::Pool(group) => (None, self.pools.get(&group).map_or(&[][..], Vec::as_slice)),
        };
        let of_pool = pool.iter().filter_map(|server| self.servers.get(server));
        one.into_iter().chain(of_pool)
    }

    /// Whether the expected wait leaves time to run, and keeps the limit of a
    /// standing queue; otherwise why not, and when to come back. A tier's wait is the work ahead of it over its own share
    /// of the capacity, and never longer than all the work over all of it.
    fn fits_wait(
        &mut self,
        queue: QueueKey,
        acquire: &Acquire,
        capacity: QueueCapacity,
        remaining: Span,
    ) -> Result<(), (NotRunReason, Span)> {
        let Some(queue) = self.queues.get_mut(&queue) else {
            return Ok(());
        };
        let tier = acquire.tier;
        let share = self.shares.share(tier);
        let mut active = queue.fair.active_share(&self.shares);
        if queue.fair.len_of(tier) == 0 {
            active += share;
        }
        let interval = capacity.interval();
        let own = queue.fair.len_of(tier) as f64 * active / share;
        let all = queue.fair.len() as f64;
        let wait = interval.times(own.min(all));
        let over_limit = queue.is_over_limit(tier, wait, capacity.slot_time());
        let needed = wait + capacity.reserve(remaining);
        if needed > remaining {
            return Err((NotRunReason::DeadlineTooClose, needed.less(remaining)));
        }
        if over_limit {
            return Err((NotRunReason::Overloaded, wait));
        }
        Ok(())
    }

    /// Makes sure that one more wish has room; the tier whose queue is longest
    /// for its share loses its latest.
    fn make_room(
        &mut self,
        queue_key: QueueKey,
        acquire: &Acquire,
        capacity: QueueCapacity,
    ) -> bool {
        let most = MAX_QUEUED_PER_SLOT * capacity.limit.max(1) as usize;
        let Some(queue) = self.queues.get_mut(&queue_key) else {
            return false;
        };
        if queue.fair.len() < most {
            return true;
        }
        let own_crowding =
            (queue.fair.len_of(acquire.tier) + 1) as f64 / self.shares.share(acquire.tier);
        let Some(victim_tier) = queue.fair.most_crowded(&self.shares) else {
            return true;
        };
        let victim_crowding =
            queue.fair.len_of(victim_tier) as f64 / self.shares.share(victim_tier);
        if victim_tier == acquire.tier || victim_crowding <= own_crowding {
            return false;
        }
        let Some(victim) = queue.fair.pop_latest(victim_tier) else {
            return true;
        };
        self.waiting.remove(&victim);
        self.timers.clear(TimerKey::Waiting(victim));
        let retry_after = self.drain_time(queue_key, capacity);
        self.refuse(victim, NotRunReason::Overloaded, retry_after);
        true
    }

    /// Time in which the present queue is served.
    fn drain_time(&self, queue: QueueKey, capacity: QueueCapacity) -> Span {
        let length = self.queues.get(&queue).map_or(0, |queue| queue.fair.len());
        let drain = capacity.interval().times(length as f64);
        drain.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }

    /// A hedge takes a free slot of another server, and only when nobody
    /// waits for one.
    fn can_hedge(&self, now: Time, queue: QueueKey, acquire: &Acquire) -> bool {
        let ServerSelector::Any { avoid } = acquire.selector else {
            return false;
        };
        let empty = self
            .queues
            .get(&queue)
            .is_none_or(|queue| queue.fair.is_empty());
        let free = |state: &ServerState| {
            Some(state.settings.server) != avoid
                && state.has_free_slot(now)
                && self.may_serve(state, now, queue)
        };
        empty && self.servers_of(queue).any(free)
    }

    fn is_unusable_for_long(&mut self, now: Time, queue: QueueKey) -> bool {
        let since = self.refresh_usability(now, queue);
        since.is_some_and(|since| now >= since + UNUSABLE_TIMEOUT)
    }

    /// Notes since when none of the queue's servers may get work.
    pub(super) fn refresh_usability(&mut self, now: Time, queue: QueueKey) -> Option<Time> {
        let protections = self.protections;
        let usable = self
            .servers_of(queue)
            .any(|state| state.is_usable(now, queue.work(), protections));
        let queue = self.queues.get_mut(&queue)?;
        queue.unusable_since = if usable {
            None
        } else {
            queue.unusable_since.or(Some(now))
        };
        queue.unusable_since
    }

    /// The latest moment at which a waiting wish could have been served.
    pub(super) fn refuse_overdue(&mut self, now: Time, key: PermitKey) {
        let Some(queue) = self.take_waiting(key) else {
            return;
        };
        let unusable = self.refresh_usability(now, queue).is_some();
        if unusable {
            self.refuse(key, NotRunReason::NoServer, NO_SERVER_RETRY_AFTER);
            return;
        }
        let capacity = self.capacity(now, queue);
        let retry_after = self.drain_time(queue, capacity);
        self.refuse(key, NotRunReason::DeadlineTooClose, retry_after);
    }
}
