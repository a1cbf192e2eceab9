//! The latest grant of each part of a service's position space.

use ledgelead_types::{FencingToken, Position, PositionRange, ServerId};
use std::collections::BTreeMap;

/// The latest grant of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastGrant {
    /// The granted positions.
    pub range: PositionRange,
    /// The server to which they were granted.
    pub server: ServerId,
    /// Token of the grant.
    pub token: FencingToken,
}

/// Non-overlapping ranges, each with its latest grant.
#[derive(Clone, Debug, Default)]
pub struct PartitionMap {
    by_first: BTreeMap<Position, LastGrant>,
}

impl PartitionMap {
    /// Grants that overlap a range, clipped to the range.
    pub fn overlapping(&self, range: PositionRange) -> Vec<LastGrant> {
        self.by_first
            .range(..=range.last)
            .rev()
            .map(|(_, grant)| *grant)
            .take_while(|grant| grant.range.last >= range.first)
            .map(|grant| LastGrant {
                range: PositionRange {
                    first: grant.range.first.max(range.first),
                    last: grant.range.last.min(range.last),
                },
                ..grant
            })
            .collect()
    }

    /// Inserts a grant and replaces what it overlaps.
    pub fn put(&mut self, new: LastGrant) {
        let overlapping = self.overlapping_whole(new.range);
        for old in overlapping {
            self.by_first.remove(&old.range.first);
            self.keep_left(old, new.range);
            self.keep_right(old, new.range);
        }
        self.by_first.insert(new.range.first, new);
    }

    fn overlapping_whole(&self, range: PositionRange) -> Vec<LastGrant> {
        self.by_first
            .range(..=range.last)
            .rev()
            .map(|(_, grant)| *grant)
            .take_while(|grant| grant.range.last >= range.first)
            .collect()
    }

    fn keep_left(&mut self, old: LastGrant, cut: PositionRange) {
        if let Some((left, _)) = old.range.split_at(cut.first) {
            self.by_first
                .insert(left.first, LastGrant { range: left, ..old });
        }
    }

    fn keep_right(&mut self, old: LastGrant, cut: PositionRange) {
        if cut.last >= old.range.last {
            return;
        }
        let right = PositionRange {
            first: Position(cut.last.0 + 1),
            last: old.range.last,
        };
        self.by_first.insert(
            right.first,
            LastGrant {
                range: right,
                ..old
            },
        );
    }
}
