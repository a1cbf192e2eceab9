//! Versions of the record.

use super::placement::{capped_by_rate_limits, is_eligible};
use super::shard::{Shard, State};
use super::{Context, Coordinator, PLAN_INTERVAL};
use crate::Timestamp;
use crate::dialect::KeyRange;
use crate::events::Event;
use crate::identity::ServiceName;
use crate::ownership::next_owner::{NextOwners, RangePlacement};
use crate::ownership::record::{Assignment, OwnershipRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause between two writes of the record for each of its ranges. The record is written
/// whole, at some 110 bytes a range, and encoding, sending and storing it takes this share of
/// the coordinator, its link and the store: 4 MB a second whatever its size.
const WRITE_PAUSE_A_RANGE: Duration = Duration::from_micros(25);
/// A write that takes longer tells that the store is slow or lost.
const SLOW_WRITE: Duration = Duration::from_millis(150);

/// A free range whose next owners are decided.
struct DecidedRange {
    /// Its place among the shards.
    index: usize,
    parts: Vec<RangePlacement>,
    /// What nobody has room for.
    rest: Vec<KeyRange>,
    handover: Option<String>,
}

impl Coordinator {
    /// Puts all free ranges under their next owners, in one write.
    pub(super) fn begin_write(&mut self, context: &Context<'_>) -> Option<OwnershipRecord> {
        if self.writing.is_some() || context.now < self.next_write {
            return None;
        }
        let places = self.next_placement <= context.now;
        let mut placements: BTreeMap<ServiceName, NextOwners> = BTreeMap::new();
        let mut given = Vec::new();
        for index in 0..self.shards.len() {
            let State::Free { target, handover } = &self.shards[index].state else {
                continue;
            };
            let handover = handover.clone();
            let service = self.shards[index].service.clone();
            let wished = target
                .clone()
                .filter(|id| is_eligible(context, &service, id));
            let over = self.shards[index]
                .lease
                .is_over(self.protections, context.now);
            if wished.is_none() && !over {
                // Refused by an owner that left since: it may hold the keys.
                self.shards[index].state = State::Releasing {
                    target: None,
                    order: None,
                    next_try: context.now,
                };
                continue;
            }
            let range = self.shards[index].range;
            let parts = match wished {
                Some(owner) => vec![RangePlacement { range, owner }],
                None if !places => continue,
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
            given.push(DecidedRange {
                index,
                parts,
                rest,
                handover,
            });
        }
        let changed = !given.is_empty();
        for range in given {
            self.divide(range);
        }
        if !changed {
            return None;
        }
        let record = self.projected_record(context.now);
        let ranges = u32::try_from(record.assignments.len()).unwrap_or(u32::MAX);
        self.next_write = context.now + WRITE_PAUSE_A_RANGE.saturating_mul(ranges);
        self.writing = Some(record);
        self.writing_since = Some(context.now);
        self.writing.clone()
    }

    /// When free ranges may be written under their next owners, if there are some.
    pub(super) fn next_possible_write(&self) -> Option<Timestamp> {
        let is_free = |shard: &Shard| matches!(shard.state, State::Free { .. });
        let waits = self.writing.is_none() && self.shards.iter().any(is_free);
        waits.then_some(self.next_write.max(self.next_placement))
    }

    /// Puts the parts of a free range under their next owners; the rest stays free.
    fn divide(&mut self, given: DecidedRange) {
        let DecidedRange {
            index,
            parts,
            rest,
            handover,
        } = given;
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

    /// The record as it stands once all writes that are decided are done.
    pub(super) fn projected_record(&self, now: Timestamp) -> OwnershipRecord {
        let mut assignments: Vec<Assignment> =
            self.shards.iter().filter_map(Shard::projected).collect();
        assignments
            .sort_by(|left, right| (&left.service, left.first).cmp(&(&right.service, right.first)));
        let mut record = OwnershipRecord {
            epoch: self.record.epoch,
            coordinator: self.record.coordinator.clone(),
            earlier_authority_ms: 0,
            era: self.record.era,
            unknown_holds_ms: 0,
            next_fence: self.next_fence,
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

    /// Whether a write has been out for longer than writes take.
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
        // A next owner may have begun to leave meanwhile.
        self.owners_reviewed = None;
        self.record = record;
        for shard in &mut self.shards {
            let State::Assigning {
                owner,
                fence,
                handover,
            } = &shard.state
            else {
                continue;
            };
            self.counters.moves += 1;
            let owned = Event::KeysOwned {
                service: &shard.service,
                first: shard.range.first,
                last: shard.range.last,
                owner,
                fence: *fence,
            };
            owned.emit();
            shard.lease = shard.next_lease(owner, handover.clone(), now);
            shard.fence = *fence;
            shard.owner = Some(owner.clone());
            shard.state = State::Held;
        }
    }
}

/// Whether the second assignment only continues the first.
fn continues(first: &Assignment, second: &Assignment) -> bool {
    first.service == second.service
        && first.owner == second.owner
        && first.fence == second.fence
        && first.last.checked_add(1) == Some(second.first)
}
