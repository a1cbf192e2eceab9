//! Divides contested capacity among tiers by their shares, using start-time fair queueing
//! (Goyal, Vin and Cheng, 1996).
//!
//! Each tier is a first-in first-out queue with a start tag. The tier with the lowest start
//! tag is served, and its tag grows by the inverse of its share. A tier with work gets at
//! least its share, and unused capacity goes to the others.
//!
//! A tier that uses less than its share keeps the difference as a credit, up to a bound
//! given by the caller (borrowed virtual time: Duda and Cheriton, 1999). Without a credit, a
//! tier that uses slightly less than its share would still wait behind the others whenever
//! its requests arrive in bursts. The bound limits how long the other tiers are delayed.
//!
//! Within a tier the order is the order of arrival. With the earliest deadline first, a
//! caller could gain priority by a short deadline, and under overload the requests that are
//! about to miss their deadline would be served first.

use super::tiers::TierShares;
use ledgelead_types::TierId;
use std::collections::BTreeMap;

/// Identifies an entry of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ticket {
    tier: TierId,
    sequence: u64,
}

#[derive(Debug, Default)]
struct TierQueue<K> {
    start: f64,
    entries: BTreeMap<u64, K>,
}

/// Entries of several tiers in fair order.
#[derive(Debug)]
pub(super) struct FairQueue<K> {
    tiers: BTreeMap<TierId, TierQueue<K>>,
    virtual_time: f64,
    next_sequence: u64,
    length: usize,
}

impl<K: Copy> FairQueue<K> {
    pub(super) fn new() -> FairQueue<K> {
        FairQueue {
            tiers: BTreeMap::new(),
            virtual_time: 0.0,
            next_sequence: 0,
            length: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Entries of one tier.
    pub(super) fn len_of(&self, tier: TierId) -> usize {
        self.tiers.get(&tier).map_or(0, |queue| queue.entries.len())
    }

    /// Whether a tier has recently used less than its share.
    pub(super) fn has_credit(&self, tier: TierId) -> bool {
        self.tiers
            .get(&tier)
            .is_none_or(|queue| queue.start < self.virtual_time)
    }

    /// Sum of the shares of the tiers with queued entries.
    pub(super) fn active_share(&self, shares: &TierShares) -> f64 {
        self.tiers
            .iter()
            .filter(|(_, queue)| !queue.entries.is_empty())
            .map(|(&tier, _)| shares.share(tier))
            .sum()
    }

    /// Appends an entry to the queue of its tier. `credit` is the maximum credit of a tier,
    /// in requests of the whole capacity.
    pub(super) fn push(&mut self, tier: TierId, key: K, credit: f64) -> Ticket {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.length += 1;
        let virtual_time = self.virtual_time;
        let earliest = virtual_time - credit;
        let queue = self.tiers.entry(tier).or_insert_with(|| TierQueue {
            start: virtual_time,
            entries: BTreeMap::new(),
        });
        if queue.entries.is_empty() {
            queue.start = queue.start.max(earliest);
        }
        queue.entries.insert(sequence, key);
        Ticket { tier, sequence }
    }

    /// Removes an entry from any place in the queue, without charging its tier.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<K> {
        let key = self
            .tiers
            .get_mut(&ticket.tier)?
            .entries
            .remove(&ticket.sequence)?;
        self.length -= 1;
        Some(key)
    }

    /// Removes the next entry. Between equal start tags, the larger share goes first.
    pub(super) fn pop(&mut self, shares: &TierShares) -> Option<K> {
        let tier = self.next_tier(shares)?;
        let queue = self.tiers.get_mut(&tier)?;
        let (_, key) = queue.entries.pop_first()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(queue.start);
        queue.start += 1.0 / shares.share(tier);
        Some(key)
    }

    /// Reverts the charge for an entry that was removed but not served.
    pub(super) fn refund(&mut self, tier: TierId, shares: &TierShares) {
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.start -= 1.0 / shares.share(tier);
        }
    }

    fn next_tier(&self, shares: &TierShares) -> Option<TierId> {
        self.tiers
            .iter()
            .filter(|(_, queue)| !queue.entries.is_empty())
            .map(|(&tier, queue)| (queue.start, -shares.share(tier), tier))
            .min_by(|left, right| {
                let by_start = left.0.total_cmp(&right.0);
                by_start.then(left.1.total_cmp(&right.1))
            })
            .map(|(_, _, tier)| tier)
    }

    /// The tier whose queue is longest relative to its share, which is the first to lose
    /// work on overload.
    pub(super) fn longest_for_share(&self, shares: &TierShares) -> Option<TierId> {
        let length_per_share =
            |tier: TierId, queue: &TierQueue<K>| queue.entries.len() as f64 / shares.share(tier);
        self.tiers
            .iter()
            .filter(|(_, queue)| !queue.entries.is_empty())
            .max_by(|(left, left_queue), (right, right_queue)| {
                length_per_share(**left, left_queue)
                    .total_cmp(&length_per_share(**right, right_queue))
            })
            .map(|(&tier, _)| tier)
    }

    /// Removes the latest entry of a tier.
    pub(super) fn pop_latest(&mut self, tier: TierId) -> Option<K> {
        let (_, key) = self.tiers.get_mut(&tier)?.entries.pop_last()?;
        self.length -= 1;
        Some(key)
    }

    /// All entries, in no particular order.
    pub(super) fn entries(&self) -> impl Iterator<Item = K> + '_ {
        self.tiers
            .values()
            .flat_map(|queue| queue.entries.values().copied())
    }
}
