//! Changes that the planner requests.

use ledgelead_types::{Position, PositionRange, ServerId};

/// A change of the assignment. The changes of a round are valid when applied in order: a
/// later change may name a range created by an earlier split. A change that is not applied
/// is planned again after some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedChange {
    /// Gives a slice without an owner to a server.
    Assign {
        /// The slice.
        range: PositionRange,
        /// The new owner.
        to: ServerId,
    },
    /// Hands a slice over from an owner that is live.
    Move {
        /// The slice.
        range: PositionRange,
        /// Its current owner.
        from: ServerId,
        /// The new owner.
        to: ServerId,
    },
    /// Splits a slice into two with the same owner.
    Split {
        /// The slice.
        range: PositionRange,
        /// First position of the second half.
        at: Position,
    },
    /// Merges two adjacent slices of one owner.
    Merge {
        /// The slice with the lower positions.
        first: PositionRange,
        /// The slice that follows.
        second: PositionRange,
    },
}
