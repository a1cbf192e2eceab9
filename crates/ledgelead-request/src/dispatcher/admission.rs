//! Admission: a permit request that can't be served by its deadline is refused at once, and
//! a full queue drops work of the tier whose queue is longest for its share.

use super::queue::{Queue, QueueKey, Waiting};
use super::server::ServerState;
use super::{Dispatcher, PermitKey, TimerKey};
use crate::message::{Acquire, ServerSelector};
use ledgelead_types::{NotRunReason, Span, Time};

/// How long work waits for a server that has no lease or is unresponsive.
pub(super) const UNUSABLE_TIMEOUT: Span = Span::from_millis(1_000);

/// Maximum number of permit requests queued per slot.
const MAX_QUEUED_PER_SLOT: usize = 64;

/// Maximum credit of a tier for an unused share, as time of the whole capacity.
const MAX_CREDIT: Span = Span::from_millis(500);

/// Lower bound of the interval between permits when the credit is computed; also used while
/// nothing has been measured.
const MIN_CREDIT_INTERVAL: Span = Span::from_millis(1);

/// Bounds of the retry delay that is advised.
const MIN_RETRY_AFTER: Span = Span::from_millis(50);
const MAX_RETRY_AFTER: Span = Span::from_seconds(5);

/// Retry delay for keys without a usable server: about the time until the keys of a lost
/// server are served again.
pub(super) const NO_SERVER_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Capacity of a queue, summed over the servers that serve it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueCapacity {
    /// Maximum number of permits in use at once.
    pub(super) limit: u32,
    /// Slots of the servers.
    pub(super) slots: u32,
    /// Mean time that a permit is in use; zero while nothing has been measured.
    pub(super) service_time: Span,
    /// Time that all but a few permits stay below.
    pub(super) long_service_time: Span,
}

impl QueueCapacity {
    /// Mean time between two returned permits.
    fn interval(&self) -> Span {
        self.service_time.times(1.0 / f64::from(self.limit.max(1)))
    }

    /// Mean time that a request occupies a slot: the time of a permit without the wait
    /// caused by the permits beyond the slots.
    pub(super) fn slot_time(&self) -> Span {
        self.interval().times(f64::from(self.slots.min(self.limit)))
    }

    /// Maximum credit of a tier, in requests of the whole capacity.
    fn credit(&self) -> f64 {
        MAX_CREDIT.as_seconds()
            / self
                .interval()
                .as_seconds()
                .max(MIN_CREDIT_INTERVAL.as_seconds())
    }

    /// Time before the deadline at which queued work must have started. Work that starts
    /// later would often be aborted: the slot is wasted, and the caller gets "unknown" where
    /// "not run" was possible. With a tight deadline half of the remaining time is kept for
    /// waiting, as long as the mean service time fits into the other half.
    fn reserve(&self, remaining: Span) -> Span {
        self.long_service_time
            .min(remaining.times(0.5))
            .max(self.service_time)
    }
}

impl Dispatcher {
    /// Queues the permit request, grants it, or refuses it. `arrived` is when it reached
    /// this dispatcher.
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
        self.grant_waiting(now, queue);
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

    /// Capacity of the usable servers of a queue.
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

    /// Whether the expected wait leaves enough time to run and respects the wait limit of a
    /// standing queue; otherwise the reason and the retry delay. The wait of a tier is the
    /// work queued before it divided by its share of the capacity, and at most the time to
    /// serve the whole queue with the whole capacity.
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

    /// Ensures that one more permit request fits into the queue, by dropping the latest
    /// request of the tier whose queue is longest for its share.
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
        let own_length_per_share =
            (queue.fair.len_of(acquire.tier) + 1) as f64 / self.shares.share(acquire.tier);
        let Some(victim_tier) = queue.fair.longest_for_share(&self.shares) else {
            return true;
        };
        let victim_length_per_share =
            queue.fair.len_of(victim_tier) as f64 / self.shares.share(victim_tier);
        if victim_tier == acquire.tier || victim_length_per_share <= own_length_per_share {
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

    /// Time to serve the current queue.
    fn drain_time(&self, queue: QueueKey, capacity: QueueCapacity) -> Span {
        let length = self.queues.get(&queue).map_or(0, |queue| queue.fair.len());
        let drain = capacity.interval().times(length as f64);
        drain.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }

    /// A hedge is only given a free slot of another server, and only when nothing is queued.
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

    /// Updates and returns since when no server of the queue is usable.
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

    /// Refuses a permit request that has waited until its latest possible start.
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
