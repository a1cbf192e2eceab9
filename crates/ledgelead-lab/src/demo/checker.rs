//! Judges a demonstration by what callers and servers recorded.

use super::records::{CallerOutcome, CallerRecord, RequestNumber};
use crate::standin::execution::Execution;
use ledgelead_types::{Position, ServerId, Span, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Within this time from its wish to leave, a server may still be sent work.
pub const LEAVE_LIMIT: Span = Span::from_seconds(3);

/// A server that left or was killed, as the demonstration did it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// When it was killed, or asked to be drained.
    pub at: Time,
    /// Whether it was stopped as planned rather than killed.
    pub planned: bool,
}

/// A node that was stopped as planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeDeparture {
    /// Where callers reached it.
    pub address: SocketAddr,
    /// When it was told to stop.
    pub at: Time,
}

/// Everything that was recorded.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// Routed requests as their callers saw them.
    pub callers: &'a [CallerRecord],
    /// Executions of routed requests, of all servers.
    pub executions: &'a [Execution],
    /// Servers that left.
    pub departures: &'a [Departure],
    /// Nodes that were stopped.
    pub node_departures: &'a [NodeDeparture],
}

/// How often each promise was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Violations {
    /// A key was served by two servers at once, or under an older token after
    /// a newer one.
    pub single_owner: usize,
    /// A caller was handed an answer that is not its own or not whole.
    pub answer_matches_request: usize,
    /// A request was started though its caller was told that it was not run.
    pub not_run_is_true: usize,
    /// A request that must run at most once was started more often.
    pub once_only: usize,
    /// A request was started at a server a few seconds after it wished to
    /// leave.
    pub no_new_work_after_leave: usize,
    /// A request that a leaving server had started, or that was in flight at
    /// a node when it was told to stop, brought its caller no answer.
    pub planned_stop_cuts_nothing: usize,
}

impl Violations {
    /// All together.
    pub fn total(&self) -> usize {
        self.single_owner
            + self.answer_matches_request
            + self.not_run_is_true
            + self.once_only
            + self.no_new_work_after_leave
            + self.planned_stop_cuts_nothing
    }
}

/// Counts the broken promises.
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

/// Counts, among the executions for one key, those that started while another
/// server's ran, or under an older token than one started before.
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
