//! Plans the assignment of a group's slices: `docs/design/assignment.md`.

mod assign;
mod candidates;
mod overload;
mod rebalance;
mod reshape;
mod round;

use crate::change::PlannedChange;
use crate::churn::ChurnBudget;
use crate::input::{PlanInput, ServerState, SliceState};
use crate::server_table::ServerTable;
use crate::slice_table::SliceTable;
use ledgelead_types::configuration::BalanceConfiguration;
use ledgelead_types::{Position, PositionRange, Span, Time};
use round::Round;

/// Time constant of the exponentially weighted mean of a slice's load.
pub const SMOOTHING_TIME_CONSTANT: Span = Span::from_seconds(8);

/// State that the leader keeps between rounds: smoothed loads, cooldowns and recent churn.
/// It may be lost at any time; the planner then starts from the current loads.
#[derive(Clone, Debug, Default)]
pub struct PlannerMemory {
    planner: Planner,
}

/// Plans one round from the complete state of the group.
///
/// The cost of comparing it with the previous state grows with the number of slices; callers
/// that know what changed use [`Planner`].
pub fn plan(input: &PlanInput, memory: &mut PlannerMemory, now: Time) -> Vec<PlannedChange> {
    memory.planner.observe_all(input, now);
    memory.planner.plan(now)
}

/// Plans owners only for slices without one, between two rounds. No other change is planned,
/// so none that the caller would drop is awaited or counted as churn.
pub fn plan_owners(input: &PlanInput, memory: &mut PlannerMemory, now: Time) -> Vec<PlannedChange> {
    memory.planner.observe_all(input, now);
    memory.planner.plan_owners(now)
}

/// The planner with its indexes, updated by changes only.
///
/// Invariant: the slice records never overlap, so a slice that is observed with new bounds
/// replaces all records that it overlaps.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    policy: BalanceConfiguration,
    slices: SliceTable,
    servers: ServerTable,
    churn: ChurnBudget,
    merge_cursor: Position,
    latest_round: Option<Time>,
}

impl Planner {
    /// Replaces the operator's policy.
    pub fn configure(&mut self, policy: BalanceConfiguration) {
        self.policy = policy;
    }

    /// Replaces the set of live servers.
    pub fn set_servers(&mut self, servers: &[ServerState], now: Time) {
        self.servers.replace(servers, now);
    }

    /// Applies a slice that is new or has changed in any way.
    pub fn observe(&mut self, slice: &SliceState, now: Time) {
        self.slices.observe(slice, now);
    }

    /// Removes a range that no longer belongs to the group.
    pub fn remove(&mut self, range: PositionRange) {
        self.slices.remove(&range);
    }

    /// Plans one round. The cost grows with the number of changed slices and of servers, not
    /// with the number of all slices.
    pub fn plan(&mut self, now: Time) -> Vec<PlannedChange> {
        self.smooth(now);
        self.churn.expire(now);
        self.expire_pending_changes(now);
        let mut round = Round::new(self, now);
        if round.levels.count() == 0 {
            return Vec::new();
        }
        assign::assign_ownerless(&mut round);
        assign::drain_leaving(&mut round);
        overload::update(&mut round);
        rebalance::relieve_overloaded(&mut round);
        rebalance::fill_underfilled(&mut round);
        reshape::split_hot(&mut round);
        reshape::merge_cold(&mut round);
        round.changes
    }

    /// Plans owners only for slices without one.
    pub fn plan_owners(&mut self, now: Time) -> Vec<PlannedChange> {
        self.expire_pending_changes(now);
        let mut round = Round::new(self, now);
        if round.levels.count() > 0 {
            assign::assign_ownerless(&mut round);
        }
        round.changes
    }

    /// Highest utilization of a server relative to the mean, from smoothed loads and with
    /// respect to each server's capacity; `None` without load.
    pub fn imbalance(&self, now: Time) -> Option<f64> {
        let levels = crate::levels::Levels::new(&self.slices, &self.servers, now);
        let fullest = levels.fullest()?;
        let mean = levels.mean();
        (mean > 0.0).then(|| levels.get(fullest).map_or(0.0, |l| l.utilization()) / mean)
    }

    fn observe_all(&mut self, input: &PlanInput, now: Time) {
        self.configure(input.policy);
        self.set_servers(&input.servers, now);
        for slice in &input.slices {
            self.observe(slice, now);
        }
        self.remove_all_but(&input.slices);
    }

    fn expire_pending_changes(&mut self, now: Time) {
        let servers = &self.servers;
        self.slices
            .expire_pending_changes(now, |server| servers.accepts(server));
    }

    fn smooth(&mut self, now: Time) {
        let elapsed = now.since(self.latest_round.unwrap_or(now));
        let part = 1.0 - (-elapsed.as_seconds() / SMOOTHING_TIME_CONSTANT.as_seconds()).exp();
        self.slices.smooth(part);
        self.latest_round = Some(now);
    }

    fn remove_all_but(&mut self, slices: &[SliceState]) {
        if self.slices.count() == slices.len() {
            return;
        }
        let kept: std::collections::BTreeSet<Position> =
            slices.iter().map(|slice| slice.range.first).collect();
        let gone: Vec<PositionRange> = self
            .slices
            .from(Position(0))
            .map(|record| record.range)
            .filter(|range| !kept.contains(&range.first))
            .collect();
        for range in gone {
            self.slices.remove(&range);
        }
    }
}
