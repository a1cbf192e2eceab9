//! Violations that checks can find.

use ledgelead_types::Time;
use std::collections::BTreeMap;

/// A violated guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two servers could execute, or did execute, requests for the same position.
    SingleOwner,
    /// An acknowledged assignment was reverted without a command or a loss.
    AcknowledgedAssignmentKept,
    /// A caller received an answer to another request, or an incomplete one.
    AnswerMatchesRequest,
    /// A caller was told "not run" although the request ran.
    NotRunIsTrue,
    /// A request that may run at most once ran twice.
    OnceOnly,
    /// A leaving server received new requests.
    NoNewWorkAfterLeave,
    /// A planned stop interrupted a request.
    PlannedStopCutsNothing,
    /// A node reverted to an older configuration or applied one too late.
    ConfigurationMonotonic,
}

impl Violation {
    /// All violations, in the order of reports.
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

/// Maximum number of violations described per run; all are counted.
const MAX_DESCRIPTIONS: usize = 20;

/// Violations found in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    counts: BTreeMap<Violation, u64>,
    descriptions: Vec<String>,
}

impl Violations {
    /// Records a violation.
    pub fn add(&mut self, at: Time, violation: Violation, description: impl FnOnce() -> String) {
        *self.counts.entry(violation).or_insert(0) += 1;
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            let description = description();
            let seconds = at.as_seconds();
            self.descriptions
                .push(format!("{seconds:.6} {}: {description}", violation.name()));
        }
    }

    /// Number of violations of one kind.
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts.get(&violation).copied().unwrap_or(0)
    }

    /// Total number of violations.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Descriptions of the first violations.
    pub fn descriptions(&self) -> &[String] {
        &self.descriptions
    }
}
