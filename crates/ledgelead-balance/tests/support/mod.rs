//! Slices and servers of a group, to which planned changes are applied under the rules of
//! slice ownership.

use ledgelead_balance::{PlanInput, PlannedChange, ServerState, SliceState};
use ledgelead_types::configuration::BalanceConfiguration;
use ledgelead_types::{Position, PositionRange, ServerId, ZoneId};
use std::collections::BTreeMap;

/// Slices with their owner, and the new owner of a handover in progress.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    pub slices: BTreeMap<Position, SliceState>,
    pub servers: Vec<ServerState>,
    arriving: BTreeMap<Position, ServerId>,
}

/// A completed handover.
#[derive(Clone, Copy, Debug)]
pub struct CompletedMove {
    pub range: PositionRange,
    pub from: ServerId,
}

impl Cluster {
    /// `servers` servers in three zones and `slices` equal slices without owners.
    pub fn new(servers: u32, slots: f64, slices: u64) -> Cluster {
        let servers = (0..servers)
            .map(|number| ServerState {
                server: ServerId(number),
                zone: ZoneId((number % 3) as u16),
                capacity: slots,
                accepting: true,
                cold: false,
            })
            .collect();
        let slices = (0..slices)
            .map(|index| PositionRange::ALL.part(index, slices))
            .map(|range| (range.first, ownerless(range)))
            .collect();
        Cluster {
            slices,
            servers,
            arriving: BTreeMap::new(),
        }
    }

    /// The input of the planner.
    pub fn input(&self, policy: BalanceConfiguration) -> PlanInput {
        PlanInput {
            slices: self.slices.values().cloned().collect(),
            servers: self.servers.clone(),
            policy,
        }
    }

    /// Whether the slices cover the whole space without gap or overlap.
    pub fn covers_space(&self) -> bool {
        let mut next = Some(0);
        for slice in self.slices.values() {
            if Some(slice.range.first.0) != next || slice.range.first > slice.range.last {
                return false;
            }
            next = slice.range.last.0.checked_add(1);
        }
        next.is_none()
    }

    /// Applies changes in order; returns the first invalid one.
    pub fn apply(&mut self, changes: &[PlannedChange]) -> Result<(), String> {
        for change in changes {
            self.apply_one(change)
                .ok_or_else(|| format!("invalid: {change:?}"))?;
        }
        Ok(())
    }

    /// Completes the handovers in progress.
    pub fn complete_moves(&mut self) -> Vec<CompletedMove> {
        let arriving = std::mem::take(&mut self.arriving);
        let mut completed = Vec::new();
        for (first, to) in arriving {
            let Some(slice) = self.slices.get_mut(&first) else {
                continue;
            };
            slice.moving = false;
            let former = slice.owner.replace(to);
            let range = slice.range;
            completed.extend(former.map(|from| CompletedMove { range, from }));
        }
        completed
    }

    /// Removes a server together with its ownership.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.retain(|state| state.server != server);
        self.arriving.retain(|_, to| *to != server);
        for (first, slice) in &mut self.slices {
            if slice.owner == Some(server) {
                slice.owner = None;
            }
            slice.moving = self.arriving.contains_key(first);
        }
    }

    fn apply_one(&mut self, change: &PlannedChange) -> Option<()> {
        match *change {
            PlannedChange::Assign { range, to } => {
                let slice = self.slice_without_handover(range)?;
                let is_ownerless = slice.owner.is_none();
                (is_ownerless && self.accepts(to)).then_some(())?;
                self.slice(range)?.owner = Some(to);
            }
            PlannedChange::Move { range, from, to } => {
                let slice = self.slice_without_handover(range)?;
                let is_owner = slice.owner == Some(from) && from != to;
                (is_owner && self.accepts(to)).then_some(())?;
                self.slice(range)?.moving = true;
                self.arriving.insert(range.first, to);
            }
            PlannedChange::Split { range, at } => {
                let slice = self.slice_without_handover(range)?;
                let (left, right) = range.split_at(at)?;
                self.put(SliceState {
                    range: left,
                    ..slice.clone()
                });
                self.put(SliceState {
                    range: right,
                    ..slice
                });
            }
            PlannedChange::Merge { first, second } => {
                let left = self.slice_without_handover(first)?;
                let right = self.slice_without_handover(second)?;
                let is_adjacent = first.last.0.checked_add(1) == Some(second.first.0);
                (is_adjacent && left.owner == right.owner).then_some(())?;
                self.slices.remove(&second.first);
                self.put(SliceState {
                    range: PositionRange {
                        first: first.first,
                        last: second.last,
                    },
                    requests_per_second: left.requests_per_second + right.requests_per_second,
                    ..left
                });
            }
        }
        Some(())
    }

    fn slice_without_handover(&self, range: PositionRange) -> Option<SliceState> {
        let slice = self.slices.get(&range.first)?;
        (slice.range == range && !slice.moving).then(|| slice.clone())
    }

    fn slice(&mut self, range: PositionRange) -> Option<&mut SliceState> {
        self.slices.get_mut(&range.first)
    }

    fn put(&mut self, slice: SliceState) {
        self.slices.insert(slice.range.first, slice);
    }

    fn accepts(&self, server: ServerId) -> bool {
        self.servers
            .iter()
            .any(|state| state.server == server && state.accepting)
    }
}

fn ownerless(range: PositionRange) -> SliceState {
    SliceState {
        range,
        owner: None,
        requests_per_second: 0.0,
        hottest: None,
        moving: false,
    }
}
