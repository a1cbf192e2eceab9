//! The algorithm with which a leader assigns slices to servers. Simulations compare the
//! planner with baselines. No setting of a node selects it.

/// An algorithm that assigns slices to servers (`docs/design/assignment.md`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AssignerChoice {
    /// The planner, which balances load against the cost of moving slices.
    #[default]
    Planner,
    /// Static hashing.
    StaticHash,
    /// Consistent hashing with bounded loads.
    BoundedLoads,
    /// Greedy moves, however much changes owner.
    Greedy,
    /// Greedy moves while the imbalance is above the service's target.
    GreedyAboveTarget,
}

impl AssignerChoice {
    /// All algorithms, the planner first.
    pub const ALL: [AssignerChoice; 5] = [
        AssignerChoice::Planner,
        AssignerChoice::StaticHash,
        AssignerChoice::BoundedLoads,
        AssignerChoice::Greedy,
        AssignerChoice::GreedyAboveTarget,
    ];

    /// Stable name, used in reports.
    pub fn name(self) -> &'static str {
        match self {
            AssignerChoice::Planner => "planner",
            AssignerChoice::StaticHash => "static hash",
            AssignerChoice::BoundedLoads => "consistent hashing with bounded loads",
            AssignerChoice::Greedy => "greedy",
            AssignerChoice::GreedyAboveTarget => "greedy above target",
        }
    }
}
