//! Positions of keys and ranges of positions.
//!
//! A key's position is a fixed 64-bit hash of it, or its first eight bytes in a service with
//! ordered partitioning. A slice is a range of positions. No state grows with the number of
//! keys.

use crate::configuration::Partitioning;
use nanoserde::{DeBin, SerBin};
use xxhash_rust::xxh3::xxh3_64;

/// Number of leading bytes of a key that form an ordered position.
const ORDERED_PREFIX_BYTES: usize = 8;

/// The location of a key in its service's position space.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Position(pub u64);

impl Position {
    /// The position of `key` in a service with this partitioning.
    pub fn of(key: &[u8], partitioning: Partitioning) -> Position {
        match partitioning {
            Partitioning::Ordered => Position::ordered(key),
            Partitioning::Hash | Partitioning::None => Position(xxh3_64(key)),
        }
    }

    fn ordered(key: &[u8]) -> Position {
        let mut prefix = [0_u8; ORDERED_PREFIX_BYTES];
        let length = key.len().min(ORDERED_PREFIX_BYTES);
        prefix[..length].copy_from_slice(&key[..length]);
        Position(u64::from_be_bytes(prefix))
    }
}

/// An inclusive range of positions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct PositionRange {
    /// First position.
    pub first: Position,
    /// Last position.
    pub last: Position,
}

impl PositionRange {
    /// The whole position space.
    pub const ALL: PositionRange = PositionRange {
        first: Position(0),
        last: Position(u64::MAX),
    };

    /// Whether the position lies in the range.
    pub fn contains(&self, position: Position) -> bool {
        self.first <= position && position <= self.last
    }

    /// Whether every position of `other` lies in this range.
    pub fn covers(&self, other: &PositionRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Whether the two ranges have a position in common.
    pub fn overlaps(&self, other: &PositionRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Fraction of the whole position space, from 0 to 1.
    pub fn share(&self) -> f64 {
        ((self.last.0 - self.first.0) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
    }

    /// Part `index` of `count` equal parts of this range.
    ///
    /// # Panics
    /// If `count` is zero or `index` is not below it.
    pub fn part(&self, index: u64, count: u64) -> PositionRange {
        assert!(index < count, "part {index} of {count}");
        let width = u128::from(self.last.0 - self.first.0) + 1;
        let bound = |number: u64| {
            (u128::from(self.first.0) + width * u128::from(number) / u128::from(count)) as u64
        };
        let last = if index + 1 == count {
            self.last.0
        } else {
            bound(index + 1) - 1
        };
        PositionRange {
            first: Position(bound(index)),
            last: Position(last),
        }
    }

    /// Splits the range so that `at` is the first position of the second part. `None` if a
    /// part would be empty.
    pub fn split_at(&self, at: Position) -> Option<(PositionRange, PositionRange)> {
        if at <= self.first || at > self.last {
            return None;
        }
        let left = PositionRange {
            first: self.first,
            last: Position(at.0 - 1),
        };
        let right = PositionRange {
            first: at,
            last: self.last,
        };
        Some((left, right))
    }
}
