//! Writes of the ownership record.

use super::placement::{capped_by_rate_limits, is_eligible};
use super::shard::{Shard, State};
use super::{Context, Coordinator, PLAN_INTERVAL};
use crate::Timestamp;
use crate::dialect::KeyRange;
use crate::events::Event;
use crate::identity::{InstanceId, ServiceName};
use crate::ownership::lease::Lease;
use crate::ownership::next_owner::{NextOwners, RangePlacement};
use crate::ownership::record::{Assignment, OwnershipRecord, RESERVED_TOKENS, RangeGracePeriod};
use crate::protections::Protection;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between two writes of the record, per range in it. The record is written
/// as a whole, at some 110 bytes a range. Encoding, sending and storing it is thereby limited
/// to 4 MB a second for the coordinator, its link and the store, whatever the size of the
/// record.
const WRITE_INTERVAL_PER_RANGE: Duration = Duration::from_micros(25);
/// A write that takes longer shows that the store is slow or unavailable.
const SLOW_WRITE: Duration = Duration::from_millis(150);

/// A free range with its chosen next owners.
struct DecidedRange {
    /// The index of the shard.
    index: usize,
    parts: Vec<RangePlacement>,
    /// Parts for which no instance has spare capacity.
    rest: Vec<KeyRange>,
    handover: Option<String>,
}

impl Coordinator {
    /// Writes the next owners of all free ranges, in one version of the record, and tokens that
    /// may not be granted before.
    pub(super) fn begin_write(&mut self, context: &Context<'_>) -> Option<OwnershipRecord> {
        if self.writing.is_some() || context.now < self.next_write {
            return None;
        }
        let may_place = self.next_placement <= context.now;
        let mut placements: BTreeMap<ServiceName, NextOwners> = BTreeMap::new();
        let mut decided = Vec::new();
        for index in 0..self.shards.len() {
            let State::Free { target, handover } = &self.shards[index].state else {
                continue;
            };
            let handover = handover.clone();
            let service = self.shards[index].service.clone();
            let preferred = target
                .clone()
                .filter(|id| is_eligible(context, &service, id));
            let is_expired = self.shards[index]
                .lease
                .has_expired(self.protections, context.now);
            if preferred.is_none() && !is_expired {
                // The owner rejected a grant because of its fencing token and has left since;
                // it may still hold the keys.
                self.shards[index].state = State::Releasing {
                    target: None,
                    order: None,
                    next_attempt: context.now,
                };
                continue;
            }
            let range = self.shards[index].range;
            let parts = match preferred {
                Some(owner) => vec![RangePlacement { range, owner }],
                None if !may_place => continue,
                None => {
                    let load = self.loads.get(&service);
                    let next_owners = placements.entry(service.clone()).or_insert_with(|| {
                        let candidates = self.candidates(context, &service);
                        NextOwners::new(capped_by_rate_limits(context, candidates), load)
                    });
                    next_owners.assign(range)
                }
            };
            let rest = parts.iter().fold(vec![range], |left, part| {
                let without = left.iter().flat_map(|range| range.without(part.range));
                without.collect()
            });
            if !rest.is_empty() {
                self.next_placement = context.now + PLAN_INTERVAL;
            }
            if parts.is_empty() {
                continue;
            }
            decided.push(DecidedRange {
                index,
                parts,
                rest,
                handover,
            });
        }
        let changed = !decided.is_empty() || self.awaits_tokens();
        for range in decided {
            self.split_free_range(range);
        }
        if !changed {
            return None;
        }
        let record = self.projected_record(context.now);
        let ranges = u32::try_from(record.assignments.len()).unwrap_or(u32::MAX);
        self.next_write = context.now + WRITE_INTERVAL_PER_RANGE.saturating_mul(ranges);
        self.writing = Some(record);
        self.writing_since = Some(context.now);
        self.writing.clone()
    }

    /// Whether a successor of this coordinator would not use the token of a range.
    pub(super) fn is_token_recorded(&self, shard: &Shard) -> bool {
        shard.fence < self.record.next_fence
    }

    /// Whether the owner of a range waits for a token that has to be recorded.
    fn awaits_tokens(&self) -> bool {
        let awaits = |shard: &Shard| {
            let is_owned = matches!(shard.state, State::Held | State::Releasing { .. });
            is_owned && shard.owner.is_some() && !self.is_token_recorded(shard)
        };
        self.shards.iter().any(awaits)
    }

    /// When next owners of free ranges or tokens can be written, if there are any.
    pub(super) fn next_possible_write(&self) -> Option<Timestamp> {
        if self.writing.is_none() && self.awaits_tokens() {
            return Some(self.next_write);
        }
        let is_free = |shard: &Shard| matches!(shard.state, State::Free { .. });
        let waits = self.writing.is_none() && self.shards.iter().any(is_free);
        waits.then_some(self.next_write.max(self.next_placement))
    }

    /// Splits a free range among its next owners; the rest stays free.
    fn split_free_range(&mut self, decided: DecidedRange) {
        let DecidedRange {
            index,
            parts,
            rest,
            handover,
        } = decided;
        let whole = self.shards[index].clone();
        let mut divided = Vec::new();
        for part in parts {
            divided.push(Shard {
                range: part.range,
                state: State::Assigning {
                    owner: part.owner,
                    fence: self.next_fence,
                    handover: handover.clone(),
                },
                ..whole.clone()
            });
            self.next_fence += 1;
        }
        divided.extend(rest.into_iter().map(|range| Shard {
            range,
            ..whole.clone()
        }));
        let mut divided = divided.into_iter();
        if let Some(first) = divided.next() {
            self.shards[index] = first;
        }
        self.shards.extend(divided);
    }

    /// The record after all pending assignments.
    pub(super) fn projected_record(&self, now: Timestamp) -> OwnershipRecord {
        let mut assignments: Vec<Assignment> = self
            .shards
            .iter()
            .filter_map(Shard::projected_assignment)
            .collect();
        assignments
            .sort_by(|left, right| (&left.service, left.first).cmp(&(&right.service, right.first)));
        let mut record = OwnershipRecord {
            epoch: self.record.epoch,
            coordinator: self.record.coordinator.clone(),
            earlier_authority_ms: 0,
            era: self.record.era,
            unknown_holds_ms: 0,
            next_fence: self.next_fence + RESERVED_TOKENS,
            grace_periods: self.projected_grace_periods(now),
            assignments: Vec::with_capacity(assignments.len()),
        };
        record.set_earlier_authority(self.earlier_authority(now));
        record.set_unknown_holds(self.unknown_holds_until.saturating_sub(now));
        for assignment in assignments {
            match record.assignments.last_mut() {
                Some(last) if continues(last, &assignment) => last.last = assignment.last,
                _ => record.assignments.push(assignment),
            }
        }
        record
    }

    /// The grace periods after all pending assignments.
    fn projected_grace_periods(&self, now: Timestamp) -> Vec<RangeGracePeriod> {
        let grace_periods = self.shards.iter().filter_map(|shard| {
            let grace_period = match &shard.state {
                State::Assigning { owner, .. } => {
                    self.next_lease(shard, owner, None, now).grace_period
                }
                _ => shard.lease.grace_period,
            };
            let left = grace_period?.until.saturating_sub(now);
            Some(RangeGracePeriod::new(&shard.service, shard.range, left))
        });
        grace_periods.collect()
    }

    /// The lease of the next owner of a range, once the record names it.
    fn next_lease(
        &self,
        shard: &Shard,
        next: &InstanceId,
        handover: Option<String>,
        now: Timestamp,
    ) -> Lease {
        // The predecessor may confirm former owners until its authority ends.
        let confirmed_until = self.earlier.end().max(now);
        let waits = self.protections.has(Protection::LeaseWait);
        let confirmed_until = Some(confirmed_until).filter(|_| waits);
        shard.next_lease(next, handover, confirmed_until, now)
    }

    /// Whether the current write takes longer than usual.
    pub(super) fn writes_slowly(&self, now: Timestamp) -> bool {
        self.writing_since
            .is_some_and(|since| since + SLOW_WRITE <= now)
    }

    /// The version that was being written is in the store.
    pub fn record_written(&mut self, now: Timestamp) {
        let Some(record) = self.writing.take() else {
            return;
        };
        self.writing_since = None;
        // A next owner may have begun to leave since.
        self.owners_reviewed = None;
        self.record = record;
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            let State::Assigning {
                owner,
                fence,
                handover,
            } = shard.state.clone()
            else {
                continue;
            };
            self.counters.moves += 1;
            let owned = Event::KeysOwned {
                service: &shard.service,
                first: shard.range.first,
                last: shard.range.last,
                owner: &owner,
                fence,
            };
            owned.emit();
            let lease = self.next_lease(shard, &owner, handover, now);
            let shard = &mut self.shards[index];
            shard.lease = lease;
            shard.fence = fence;
            shard.owner = Some(owner);
            shard.state = State::Held;
        }
    }
}

/// Whether the second assignment directly continues the first.
fn continues(first: &Assignment, second: &Assignment) -> bool {
    first.service == second.service
        && first.owner == second.owner
        && first.fence == second.fence
        && first.last.checked_add(1) == Some(second.first)
}
