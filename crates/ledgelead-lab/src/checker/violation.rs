//! What a check can find.

use ledgelead_types::Time;
use std::collections::BTreeMap;

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two servers could execute, or executed, requests for one position.
    SingleOwner,
    /// An acknowledged assignment was undone without a command or a loss.
    AcknowledgedAssignmentKept,
    /// A caller was handed another request's answer, or one that is not whole.
    AnswerMatchesRequest,
    /// A caller was told "not run" of a request that was run.
    NotRunIsTrue,
    /// A request that may run once ran twice.
    OnceOnly,
    /// A leaving server was given new work.
    NoNewWorkAfterLeave,
    /// A planned stop cut a request in flight.
    PlannedStopCutsNothing,
    /// A configuration went back, or was late on a node.
    ConfigurationMonotonic,
}

impl Violation {
    /// Every violation, in the order of reports.
    pub const ALL: [Violation; 8] = [
        Violation::SingleOwner,
        Violation::AcknowledgedAssignmentKept,
        Violation::AnswerMatchesRequest,
        Violation::NotRunIsTrue,
        Violation::OnceOnly,
        Violation::NoNewWorkAfterLeave,
        Violation::PlannedStopCutsNothing,
        Violation::ConfigurationMonotonic,
    ];

    /// Stable name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SingleOwner => "single_owner",
            Violation::AcknowledgedAssignmentKept => "acknowledged_assignment_kept",
            Violation::AnswerMatchesRequest => "answer_matches_request",
            Violation::NotRunIsTrue => "not_run_is_true",
            Violation::OnceOnly => "once_only",
            Violation::NoNewWorkAfterLeave => "no_new_work_after_leave",
            Violation::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Violation::ConfigurationMonotonic => "configuration_monotonic",
        }
    }
}

/// Most violations of a run that are described; all are counted.
const MAX_DESCRIPTIONS: usize = 20;

/// Violations found in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    counts: BTreeMap<Violation, u64>,
    descriptions: Vec<String>,
}

impl Violations {
    /// Notes a violation.
    pub fn add(&mut self, at: Time, violation: Violation, description: impl FnOnce() -> String) {
        *self.counts.entry(violation).or_insert(0) += 1;
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            let description = description();
            let seconds = at.as_seconds();
            self.descriptions
                .push(format!("{seconds:.6} {}: {description}", violation.name()));
        }
    }

    /// How often a promise was broken.
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts.get(&violation).copied().unwrap_or(0)
    }

    /// How often any promise was broken.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// The first violations in words.
    pub fn descriptions(&self) -> &[String] {
        &self.descriptions
    }
}
