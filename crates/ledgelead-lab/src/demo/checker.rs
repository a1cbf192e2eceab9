//! Checks a demonstration against the records of callers and servers.

use super::records::{CallerOutcome, CallerRecord, RequestNumber};
use crate::standin::execution::Execution;
use ledgelead_types::{Position, ServerId, Span, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time after its announcement during which a leaving server may still get requests.
pub const LEAVE_LIMIT: Span = Span::from_seconds(3);

/// A server that left or was killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// When it was killed or asked to be drained.
    pub at: Time,
    /// Whether it was stopped as planned rather than killed.
    pub planned: bool,
}

/// A node that was stopped as planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeDeparture {
    /// Its address for callers.
    pub address: SocketAddr,
    /// When it was told to stop.
    pub at: Time,
}

/// Everything that was recorded.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// Routed requests as recorded by their callers.
    pub callers: &'a [CallerRecord],
    /// Executions of routed requests at all servers.
    pub executions: &'a [Execution],
    /// Servers that left.
    pub departures: &'a [Departure],
    /// Nodes that were stopped.
    pub node_departures: &'a [NodeDeparture],
}

/// Number of violations of each guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Violations {
    /// Executions of a key on two servers at once, or under an older token after a newer one.
    pub single_owner: usize,
    /// Answers that were incomplete or belonged to another request.
    pub answer_matches_request: usize,
    /// Requests that started although their callers were told that they did not run.
    pub not_run_is_true: usize,
    /// Requests that must run at most once but started more often.
    pub once_only: usize,
    /// Requests that started on a server more than `LEAVE_LIMIT` after it asked to leave.
    pub no_new_work_after_leave: usize,
    /// Unanswered requests that a leaving server had started, or that were in flight at a node
    /// when it was told to stop.
    pub planned_stop_cuts_nothing: usize,
}

impl Violations {
    /// Total number of violations.
    pub fn total(&self) -> usize {
        self.single_owner
            + self.answer_matches_request
            + self.not_run_is_true
            + self.once_only
            + self.no_new_work_after_leave
            + self.planned_stop_cuts_nothing
    }
}

/// Counts the violations.
pub fn check(evidence: &Evidence<'_>) -> Violations {
    let starts = starts_by_request(evidence.executions);
    let count = |request: RequestNumber| starts.get(&request).copied().unwrap_or(0);
    let mut violations = Violations {
        single_owner: single_owner_violations(evidence.executions),
        no_new_work_after_leave: requests_after_leave(evidence),
        planned_stop_cuts_nothing: interrupted_by_server_stops(evidence)
            + interrupted_by_node_stops(evidence),
        ..Violations::default()
    };
    for record in evidence.callers {
        let started = count(record.request);
        match &record.outcome {
            CallerOutcome::Answered { matches, .. } if !matches || started == 0 => {
                violations.answer_matches_request += 1;
            }
            CallerOutcome::NotRun(_) if started > 0 => violations.not_run_is_true += 1,
            _ => {}
        }
        if record.once_only && started > 1 {
            violations.once_only += 1;
        }
    }
    violations
}

fn starts_by_request(executions: &[Execution]) -> BTreeMap<RequestNumber, usize> {
    let mut starts = BTreeMap::new();
    for execution in executions {
        *starts.entry(RequestNumber(execution.body)).or_insert(0) += 1;
    }
    starts
}

fn single_owner_violations(executions: &[Execution]) -> usize {
    let mut by_position = BTreeMap::<Position, Vec<&Execution>>::new();
    for execution in executions {
        if let Some(claim) = execution.ownership {
            by_position
                .entry(claim.position)
                .or_default()
                .push(execution);
        }
    }
    by_position.into_values().map(ownership_violations).sum()
}

/// Counts the executions of a key that started during an execution on another server, or under
/// an older token than an earlier execution.
fn ownership_violations(mut executions: Vec<&Execution>) -> usize {
    executions.sort_by_key(|execution| (execution.started, execution.key));
    let mut violations = 0;
    for (index, later) in executions.iter().enumerate() {
        let earlier = &executions[..index];
        let overlaps = earlier
            .iter()
            .any(|earlier| earlier.server != later.server && runs_at(earlier, later.started));
        let token = |execution: &Execution| execution.ownership.map(|claim| claim.token);
        let has_older_token = earlier.iter().any(|earlier| token(earlier) > token(later));
        violations += usize::from(overlaps || has_older_token);
    }
    violations
}

fn runs_at(execution: &Execution, time: Time) -> bool {
    execution.ended.is_none_or(|ended| ended > time)
}

fn planned<'a>(evidence: &Evidence<'a>) -> impl Iterator<Item = &'a Departure> {
    evidence
        .departures
        .iter()
        .filter(|departure| departure.planned)
}

fn requests_after_leave(evidence: &Evidence<'_>) -> usize {
    planned(evidence)
        .map(|departure| {
            let limit = departure.at + LEAVE_LIMIT;
            evidence
                .executions
                .iter()
                .filter(|execution| execution.server == departure.server)
                .filter(|execution| execution.started > limit)
                .count()
        })
        .sum()
}

fn interrupted_by_server_stops(evidence: &Evidence<'_>) -> usize {
    let outcomes = evidence
        .callers
        .iter()
        .map(|record| (record.request, record))
        .collect::<BTreeMap<_, _>>();
    let cut = |execution: &&Execution| {
        let record = outcomes.get(&RequestNumber(execution.body));
        execution.ended.is_none() || record.is_none_or(|record| !record.is_answered())
    };
    planned(evidence)
        .map(|departure| {
            evidence
                .executions
                .iter()
                .filter(|execution| execution.server == departure.server)
                .filter(|execution| execution.ended.is_none_or(|ended| ended > departure.at))
                .filter(cut)
                .count()
        })
        .sum()
}

fn interrupted_by_node_stops(evidence: &Evidence<'_>) -> usize {
    let interrupted_by = |stop: &NodeDeparture| {
        let in_flight = |record: &&CallerRecord| {
            record.node == Some(stop.address) && record.due < stop.at && stop.at < record.finished
        };
        let unknown = |record: &&CallerRecord| matches!(record.outcome, CallerOutcome::Unknown(_));
        let cut = evidence.callers.iter().filter(in_flight).filter(unknown);
        cut.count()
    };
    evidence.node_departures.iter().map(interrupted_by).sum()
}
