//! The slice table: ranges in order, without gaps or overlaps.

use ledgelead_types::*;
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// Who holds a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum SlicePhase {
    /// Nobody.
    Free,
    /// A server holds it.
    Held {
        /// The server.
        owner: ServerId,
    },
    /// A server is releasing it in a planned move.
    Releasing {
        /// The server that releases it.
        from: ServerId,
        /// The next owner.
        to: ServerId,
    },
}

impl SlicePhase {
    /// The server that may be executing requests for the slice.
    pub fn holder(self) -> Option<ServerId> {
        match self {
            SlicePhase::Free => None,
            SlicePhase::Held { owner } => Some(owner),
            SlicePhase::Releasing { from, .. } => Some(from),
        }
    }

    /// The server that gets the slice at the end of a planned move.
    pub fn next_owner(self) -> Option<ServerId> {
        match self {
            SlicePhase::Free | SlicePhase::Held { .. } => None,
            SlicePhase::Releasing { to, .. } => Some(to),
        }
    }

    /// The servers that hold the slice, release it or are to get it.
    pub fn servers(self) -> impl Iterator<Item = ServerId> {
        self.holder().into_iter().chain(self.next_owner())
    }
}

/// A slice.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Slice {
    /// Its positions.
    pub range: PositionRange,
    /// Who holds it.
    pub phase: SlicePhase,
    /// Token of its latest assignment.
    pub token: FencingToken,
}

/// All slices of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SliceTable {
    by_first: BTreeMap<Position, Slice>,
    /// First positions of the slices of each server. They are looked up on every renewal,
    /// and each server has only a few of a large group's slices.
    by_server: BTreeMap<ServerId, BTreeSet<Position>>,
}

impl FromIterator<Slice> for SliceTable {
    fn from_iter<I: IntoIterator<Item = Slice>>(slices: I) -> Self {
        let mut table = SliceTable::default();
        for slice in slices {
            table.put(slice);
        }
        table
    }
}

impl SliceTable {
    /// A table with a single ownerless slice.
    pub fn single(space: PositionRange) -> SliceTable {
        let slice = Slice {
            range: space,
            phase: SlicePhase::Free,
            token: FencingToken::default(),
        };
        std::iter::once(slice).collect()
    }

    /// The slices in order.
    pub fn iter(&self) -> impl Iterator<Item = &Slice> {
        self.by_first.values()
    }

    /// The slices that a server holds, is releasing or is to get, in order.
    pub fn of_server(&self, server: ServerId) -> impl Iterator<Item = &Slice> {
        let firsts = self.by_server.get(&server);
        let firsts = firsts.into_iter().flatten();
        firsts.filter_map(|first| self.by_first.get(first))
    }

    /// Number of slices that a server holds, is releasing or is to get.
    pub fn count_of_server(&self, server: ServerId) -> usize {
        self.by_server.get(&server).map_or(0, BTreeSet::len)
    }

    /// Whether there is no slice.
    pub fn is_empty(&self) -> bool {
        self.by_first.is_empty()
    }

    /// The slice that contains a position.
    pub fn at(&self, position: Position) -> Option<&Slice> {
        let (_, slice) = self.by_first.range(..=position).next_back()?;
        slice.range.contains(position).then_some(slice)
    }

    /// The slice with exactly this range.
    pub fn exact(&self, range: PositionRange) -> Option<&Slice> {
        self.by_first
            .get(&range.first)
            .filter(|slice| slice.range == range)
    }

    /// Changes the phase of the slice with exactly this range.
    pub fn set_phase(&mut self, range: PositionRange, phase: SlicePhase) {
        if let Some(slice) = self.exact(range).cloned() {
            self.put(Slice { phase, ..slice });
        }
    }

    /// Assigns the slice with exactly this range to a server under a new token.
    pub fn assign(&mut self, range: PositionRange, owner: ServerId, token: FencingToken) {
        if self.exact(range).is_some() {
            let phase = SlicePhase::Held { owner };
            self.put(Slice {
                range,
                phase,
                token,
            });
        }
    }

    fn put(&mut self, slice: Slice) {
        self.remove(slice.range.first);
        for server in slice.phase.servers() {
            let firsts = self.by_server.entry(server).or_default();
            firsts.insert(slice.range.first);
        }
        self.by_first.insert(slice.range.first, slice);
    }

    fn remove(&mut self, first: Position) {
        let Some(slice) = self.by_first.remove(&first) else {
            return;
        };
        for server in slice.phase.servers() {
            let Some(firsts) = self.by_server.get_mut(&server) else {
                continue;
            };
            firsts.remove(&first);
            if firsts.is_empty() {
                self.by_server.remove(&server);
            }
        }
    }

    /// Splits a slice at a position. Both halves keep phase and token. False if there is
    /// nothing to split.
    pub fn split(&mut self, at: Position) -> bool {
        let Some(slice) = self.at(at).cloned() else {
            return false;
        };
        let Some((left, right)) = slice.range.split_at(at) else {
            return false;
        };
        for range in [left, right] {
            let half = Slice {
                range,
                ..slice.clone()
            };
            self.put(half);
        }
        true
    }

    /// Joins two adjacent slices in the same phase under the higher token. False if they
    /// are not adjacent or differ in phase.
    pub fn merge(&mut self, first: PositionRange, second: PositionRange) -> bool {
        let (Some(left), Some(right)) = (self.exact(first), self.exact(second)) else {
            return false;
        };
        let adjacent = first.last.0.checked_add(1) == Some(second.first.0);
        if !adjacent || left.phase != right.phase {
            return false;
        }
        let joined = Slice {
            range: PositionRange {
                first: first.first,
                last: second.last,
            },
            phase: left.phase,
            token: left.token.max(right.token),
        };
        self.remove(second.first);
        self.put(joined);
        true
    }
}
