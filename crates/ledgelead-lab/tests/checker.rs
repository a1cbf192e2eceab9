//! Tests that the checker detects each kind of violation and reports none without faults.

use googletest::prelude::*;
use ledgelead_lab::checker::ownership::{AcknowledgedMove, Claim, OwnershipChecker};
use ledgelead_lab::checker::requests::{OnceKey, RequestChecker};
use ledgelead_lab::checker::{Checker, Violation, Violations};
use ledgelead_lab::standin::execution::{AttemptKey, Execution};
use ledgelead_types::configuration::{AppliedCommand, Configuration};
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::*;

const SERVICE: ServiceId = ServiceId(1);
const POSITION: Position = Position(5);

fn at(seconds: u64) -> Time {
    Time::ZERO + Span::from_seconds(seconds)
}

fn token(revision: u64) -> FencingToken {
    FencingToken {
        epoch: Epoch(1),
        term: Term(1),
        revision: Revision(revision),
    }
}

fn claim(revision: u64, lease_until: Time) -> Claim {
    Claim {
        service: SERVICE,
        held: vec![GrantedSlice {
            range: PositionRange::ALL,
            token: token(revision),
        }],
        lease_until,
    }
}

fn nothing(lease_until: Time) -> Claim {
    Claim {
        held: Vec::new(),
        ..claim(0, lease_until)
    }
}

fn execution(server: u32, request: u64) -> Execution {
    Execution {
        key: AttemptKey {
            gateway: Member::default(),
            attempt: AttemptId {
                request: RequestId(request),
                number: 1,
            },
        },
        body: request,
        server: ServerId(server),
        run: 1,
        ownership: Some(OwnershipClaim {
            position: POSITION,
            token: token(1),
        }),
        started: Time::ZERO,
        ended: None,
    }
}

#[gtest]
fn two_unexpired_claims_of_one_position_are_found() {
    for (second_at, expected) in [(9, 1), (10, 0)] {
        let mut violations = Violations::default();
        let mut checker = OwnershipChecker::default();
        checker.renewed(at(1), ServerId(1), claim(1, at(10)), &mut violations);
        let claim = claim(2, at(20));
        checker.renewed(at(second_at), ServerId(2), claim, &mut violations);
        expect_that!(violations.count(Violation::SingleOwner), eq(expected));
    }
}

#[gtest]
fn execution_without_a_claim_is_found_where_another_server_claims() {
    let mut violations = Violations::default();
    let mut checker = OwnershipChecker::default();
    checker.renewed(at(1), ServerId(1), claim(1, at(10)), &mut violations);
    checker.started(at(2), SERVICE, &execution(1, 1), &mut violations);
    expect_that!(violations.total(), eq(0));
    checker.started(at(3), SERVICE, &execution(2, 2), &mut violations);
    expect_that!(violations.count(Violation::SingleOwner), eq(1));
}

#[gtest]
fn new_owner_must_wait_for_executions_of_a_living_one() {
    for (ends_first, expected) in [(true, 0), (false, 1)] {
        let mut violations = Violations::default();
        let mut checker = OwnershipChecker::default();
        checker.renewed(at(1), ServerId(1), claim(1, at(10)), &mut violations);
        checker.started(at(2), SERVICE, &execution(1, 1), &mut violations);
        checker.renewed(at(3), ServerId(1), nothing(at(10)), &mut violations);
        if ends_first {
            checker.ended(execution(1, 1).key);
        }
        checker.renewed(at(4), ServerId(2), claim(2, at(10)), &mut violations);
        checker.started(at(5), SERVICE, &execution(2, 2), &mut violations);
        expect_that!(violations.count(Violation::SingleOwner), eq(expected));
    }
}

#[gtest]
fn older_token_granted_after_a_newer_one_is_a_reverted_assignment() {
    let mut violations = Violations::default();
    let mut checker = OwnershipChecker::default();
    checker.renewed(at(1), ServerId(1), claim(1, at(2)), &mut violations);
    checker.renewed(at(3), ServerId(2), claim(2, at(4)), &mut violations);
    expect_that!(checker.churned_share(SERVICE), approx_eq(1.0));
    checker.renewed(at(5), ServerId(1), claim(1, at(5)), &mut violations);
    expect_that!(violations.total(), eq(0));
    checker.renewed(at(5), ServerId(1), claim(1, at(6)), &mut violations);
    expect_that!(
        violations.count(Violation::AcknowledgedAssignmentKept),
        eq(1)
    );
}

#[gtest]
fn acknowledged_move_that_never_reaches_its_server_is_found_unless_it_died() {
    for (has_died, expected) in [(false, 1), (true, 0)] {
        let mut violations = Violations::default();
        let mut checker = OwnershipChecker::default();
        checker.acknowledged(AcknowledgedMove {
            service: SERVICE,
            position: POSITION,
            to: ServerId(2),
            at: at(1),
        });
        if has_died {
            checker.died(ServerId(2));
        }
        checker.finish(at(30), &mut violations);
        expect_that!(
            violations.count(Violation::AcknowledgedAssignmentKept),
            eq(expected)
        );
    }
}

/// The slice moves on before the owner named by the first move learns of it. Found by seed 20
/// of the storm scenario.
#[gtest]
fn superseded_move_is_not_found_and_others_are() {
    let acknowledged = |position, to, seconds| AcknowledgedMove {
        service: SERVICE,
        position: Position(position),
        to: ServerId(to),
        at: at(seconds),
    };
    for (second, expected) in [(acknowledged(7, 3, 1), 0), (acknowledged(7, 4, 1), 2)] {
        for claimed_first in [true, false] {
            let mut violations = Violations::default();
            let mut checker = OwnershipChecker::default();
            let claim = claim(2, at(20));
            checker.acknowledged(acknowledged(5, 2, 1));
            if claimed_first {
                checker.renewed(at(1), ServerId(3), claim.clone(), &mut violations);
            }
            checker.acknowledged(second);
            if !claimed_first {
                checker.renewed(at(2), ServerId(3), claim, &mut violations);
            }
            checker.finish(at(30), &mut violations);
            let found = violations.count(Violation::AcknowledgedAssignmentKept);
            expect_that!(found, eq(expected));
        }
    }
}

/// The slice reaches the server named by the first of two moves. The second one was
/// acknowledged to an operator later, so it must still take effect.
#[gtest]
fn move_acknowledged_after_the_effective_one_is_found() {
    let acknowledged = |position, to, seconds| AcknowledgedMove {
        service: SERVICE,
        position: Position(position),
        to: ServerId(to),
        at: at(seconds),
    };
    let mut violations = Violations::default();
    let mut checker = OwnershipChecker::default();
    checker.acknowledged(acknowledged(5, 3, 1));
    checker.acknowledged(acknowledged(7, 2, 2));
    checker.renewed(at(3), ServerId(3), claim(2, at(20)), &mut violations);
    checker.finish(at(30), &mut violations);
    let found = violations.count(Violation::AcknowledgedAssignmentKept);
    expect_that!(found, eq(1));
}

#[gtest]
fn crossed_answers_false_refusals_and_second_runs_are_found() {
    let mut violations = Violations::default();
    let mut checker = RequestChecker::default();
    let refusal = Outcome::NotRun(NotRunReason::Overloaded);
    for body in 1..=4 {
        checker.sent(body, Some(OnceKey::Idempotency(body / 4)));
    }
    checker.outcome_reported(at(1), 1, refusal, None, &mut violations);
    checker.outcome_reported(at(1), 2, Outcome::Answered, Some(2), &mut violations);
    expect_that!(violations.total(), eq(0));
    checker.outcome_reported(at(1), 2, Outcome::Answered, Some(3), &mut violations);
    checker.outcome_reported(at(1), 2, Outcome::Answered, None, &mut violations);
    expect_that!(violations.count(Violation::AnswerMatchesRequest), eq(2));
    checker.started(at(2), 1, &mut violations);
    expect_that!(violations.count(Violation::NotRunIsTrue), eq(1));
    checker.started(at(2), 4, &mut violations);
    checker.outcome_reported(at(3), 4, refusal, None, &mut violations);
    expect_that!(violations.count(Violation::NotRunIsTrue), eq(2));
    expect_that!(violations.count(Violation::OnceOnly), eq(0));
    checker.started(at(4), 2, &mut violations);
    expect_that!(violations.count(Violation::OnceOnly), eq(1));
}

#[gtest]
fn requests_after_a_leave_and_requests_interrupted_by_a_stop_are_found() {
    let mut checker = Checker::default();
    let leaving = &mut checker.leaving;
    leaving.leave_announced(at(1), ServerId(1));
    leaving.started(at(4), ServerId(1), &mut checker.violations);
    leaving.started(at(5), ServerId(2), &mut checker.violations);
    expect_that!(checker.violations.total(), eq(0));
    leaving.started(at(5), ServerId(1), &mut checker.violations);
    leaving.stopped(at(6), "a server", 2, &mut checker.violations);
    let violations = &checker.violations;
    expect_that!(violations.count(Violation::NoNewWorkAfterLeave), eq(1));
    expect_that!(violations.count(Violation::PlannedStopCutsNothing), eq(2));
}

fn stored(version: u64, commands: &[(&str, u64)]) -> Configuration {
    let applied = commands.iter().map(|(id, version)| AppliedCommand {
        id: Text::from(*id),
        version: ConfigurationVersion(*version),
    });
    Configuration {
        version: ConfigurationVersion(version),
        applied_commands: applied.collect(),
        ..Configuration::default()
    }
}

#[gtest]
fn late_reverted_and_conflicting_configurations_are_found() {
    let mut checker = Checker::default();
    let violations = &mut checker.violations;
    let configuration = &mut checker.configuration;
    let count = |violations: &Violations| violations.count(Violation::ConfigurationMonotonic);
    configuration.started(NodeId(1), at(0));
    configuration.started(NodeId(2), at(0));
    configuration.written(at(1), &stored(2, &[("a", 2)]), violations);
    configuration.applied(at(2), NodeId(1), ConfigurationVersion(2), violations);
    configuration.check(at(6), Time::ZERO, violations);
    configuration.check(at(8), at(5), violations);
    expect_that!(count(violations), eq(0));
    configuration.check(at(8), Time::ZERO, violations);
    expect_that!(count(violations), eq(1));
    configuration.applied(at(9), NodeId(1), ConfigurationVersion(1), violations);
    expect_that!(count(violations), eq(2));
    let relied_on = Some(ConfigurationVersion(1));
    let version = ConfigurationVersion(2);
    configuration.accepted(at(9), "a", version, relied_on, violations);
    expect_that!(count(violations), eq(2));
    configuration.accepted(at(9), "b", version, relied_on, violations);
    expect_that!(count(violations), eq(3));
    configuration.written(at(10), &stored(3, &[("b", 2)]), violations);
    expect_that!(count(violations), eq(4));
}
