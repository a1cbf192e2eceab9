//! Tests that the checker of the demonstration detects each kind of violation.

use googletest::prelude::*;
use ledgelead_lab::demo::checker::{
    self, Departure, Evidence, LEAVE_LIMIT, NodeDeparture, Violations,
};
use ledgelead_lab::demo::records::{CallerOutcome, CallerRecord, RequestNumber};
use ledgelead_lab::standin::execution::Execution;
use ledgelead_types::request::OwnershipClaim;
use ledgelead_types::*;

fn execution(request: u64, server: u32, token: &str, millis: (u64, u64)) -> Execution {
    Execution {
        key: Default::default(),
        body: request,
        server: ServerId(server),
        run: 1,
        ownership: Some(OwnershipClaim {
            position: Position(5),
            token: FencingToken::parse(token).expect("a token"),
        }),
        started: Time::ZERO + Span::from_millis(millis.0),
        ended: Some(Time::ZERO + Span::from_millis(millis.1)),
    }
}

fn record(request: u64, outcome: CallerOutcome) -> CallerRecord {
    CallerRecord {
        request: RequestNumber(request),
        position: Some(Position(5)),
        once_only: true,
        due: Time::ZERO,
        finished: Time::ZERO,
        node: None,
        outcome,
    }
}

fn answered(matches: bool) -> CallerOutcome {
    CallerOutcome::Answered {
        server: Some(ServerId(1)),
        matches,
    }
}

fn check(
    callers: &[CallerRecord],
    executions: &[Execution],
    departures: &[Departure],
) -> Violations {
    checker::check(&Evidence {
        callers,
        executions,
        departures,
        node_departures: &[],
    })
}

#[gtest]
fn orderly_move_causes_no_violations() {
    let callers = [
        record(1, answered(true)),
        record(2, answered(true)),
        record(3, CallerOutcome::NotRun("overloaded".to_owned())),
        record(4, CallerOutcome::Unknown("connection-lost".to_owned())),
    ];
    let executions = [
        execution(1, 1, "1.1.1", (0, 10)),
        execution(2, 2, "1.1.2", (10, 20)),
        execution(4, 2, "1.1.2", (20, 30)),
    ];
    expect_that!(check(&callers, &executions, &[]), eq(Violations::default()));
}

#[gtest]
fn concurrent_owners_and_older_tokens_are_found() {
    let overlapping = [
        execution(1, 1, "1.1.1", (0, 10)),
        execution(2, 2, "1.1.2", (9, 20)),
    ];
    expect_that!(check(&[], &overlapping, &[]).single_owner, eq(1));
    let going_back = [
        execution(1, 2, "1.1.2", (0, 10)),
        execution(2, 1, "1.1.1", (10, 20)),
    ];
    expect_that!(check(&[], &going_back, &[]).single_owner, eq(1));
}

#[gtest]
fn wrong_outcomes_reported_to_callers_are_found() {
    let callers = [
        record(1, CallerOutcome::NotRun("overloaded".to_owned())),
        record(2, answered(true)),
        record(3, answered(false)),
        record(4, answered(true)),
    ];
    let executions = [
        execution(1, 1, "1.1.1", (0, 10)),
        execution(2, 1, "1.1.1", (10, 20)),
        execution(2, 1, "1.1.1", (20, 30)),
        execution(3, 1, "1.1.1", (30, 40)),
    ];
    let expected = Violations {
        not_run_is_true: 1,
        once_only: 1,
        answer_matches_request: 2,
        ..Violations::default()
    };
    expect_that!(check(&callers, &executions, &[]), eq(expected));
}

#[gtest]
fn requests_to_a_leaving_server_and_interrupted_requests_are_found() {
    let at = Time::ZERO + Span::from_millis(5);
    let departure = Departure {
        server: ServerId(1),
        at,
        planned: true,
    };
    let late = LEAVE_LIMIT.as_millis() as u64 + 6;
    let callers = [
        record(1, CallerOutcome::Unknown("connection-lost".to_owned())),
        record(2, answered(true)),
    ];
    let executions = [
        execution(1, 1, "1.1.1", (0, 10)),
        execution(2, 1, "1.1.1", (late, late + 10)),
    ];
    let expected = Violations {
        no_new_work_after_leave: 1,
        planned_stop_cuts_nothing: 1,
        ..Violations::default()
    };
    expect_that!(check(&callers, &executions, &[departure]), eq(expected));
}

#[gtest]
fn requests_interrupted_by_a_node_stop_are_found() {
    let address = ([127, 0, 0, 1], 7_000).into();
    let millis = |millis| Time::ZERO + Span::from_millis(millis);
    let unknown = |request, due, finished| CallerRecord {
        due: millis(due),
        finished: millis(finished),
        node: Some(address),
        ..record(
            request,
            CallerOutcome::Unknown("connection-lost".to_owned()),
        )
    };
    let callers = [unknown(1, 0, 5), unknown(2, 5, 15), unknown(3, 12, 15)];
    let stop = NodeDeparture {
        address,
        at: millis(10),
    };
    let violations = checker::check(&Evidence {
        callers: &callers,
        executions: &[],
        departures: &[],
        node_departures: &[stop],
    });
    let expected = Violations {
        planned_stop_cuts_nothing: 1,
        ..Violations::default()
    };
    expect_that!(violations, eq(expected));
}
