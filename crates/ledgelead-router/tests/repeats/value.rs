//! The value of retries, by which a short retry budget is granted.

use crate::checker::WINDOW;
use googletest::prelude::*;
use ledgelead_router::requests::{BudgetLevel, RetryCandidate, RetryDemand};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn unanswered(rank: u32) -> RetryCandidate {
    RetryCandidate {
        rank,
        meets_target: true,
        not_run: false,
        acceptance: 0.6,
    }
}

fn rejected(rank: u32) -> RetryCandidate {
    RetryCandidate {
        not_run: true,
        ..unanswered(rank)
    }
}

/// Demand of a service for which each of these retries was requested so many times in the last
/// second.
fn demand(candidates: &[(RetryCandidate, usize)]) -> RetryDemand {
    let mut demand = RetryDemand::default();
    for (candidate, times) in candidates {
        for _ in 0..*times {
            demand.record_request(candidate, ms(900));
        }
    }
    demand
}

fn level(left: f64) -> BudgetLevel {
    BudgetLevel {
        capacity: 20.0,
        left,
    }
}

#[gtest]
fn urgent_timely_and_lost_requests_have_more_value() {
    let late = RetryCandidate {
        meets_target: false,
        ..unanswered(0)
    };
    let unlikely = RetryCandidate {
        acceptance: 0.1,
        ..unanswered(0)
    };
    for less in [unanswered(1), rejected(0), late, unlikely] {
        expect_that!(less.value(), lt(unanswered(0).value()));
    }
    expect_that!(unanswered(u32::MAX).value(), ge(0.0));
}

#[gtest]
fn ample_budget_is_granted_in_order_of_arrival() {
    let demand = demand(&[(unanswered(0), 90), (rejected(2), 1)]);
    let is_granted = |candidate| demand.is_worthwhile(&candidate, level(10.0), ms(901));
    expect_that!(is_granted(rejected(2)), eq(true));
    expect_that!(is_granted(unanswered(0)), eq(true));
}

#[gtest]
fn short_budget_is_reserved_for_more_valuable_retries() {
    let is_granted = |candidates: &[(RetryCandidate, usize)], candidate, left| {
        let mut demand = demand(candidates);
        for rank in [0, 1] {
            demand.record_grant(rank, WINDOW, ms(0));
        }
        demand.is_worthwhile(&candidate, level(left), ms(1_800))
    };
    let both = [(unanswered(0), 5), (rejected(1), 20)];
    expect_that!(is_granted(&both, rejected(1), 6.0), eq(true));
    expect_that!(is_granted(&both, rejected(1), 5.9), eq(false));
    expect_that!(is_granted(&both, unanswered(0), 1.0), eq(true));
    // If nothing more valuable is requested, nothing is reserved.
    expect_that!(is_granted(&[(rejected(1), 20)], rejected(1), 1.0), eq(true));
}

#[gtest]
fn each_rank_keeps_a_share() {
    let mut demand = demand(&[(unanswered(0), 90), (rejected(1), 90)]);
    for _ in 0..20 {
        demand.record_grant(0, WINDOW, ms(0));
    }
    let now = ms(1_000);
    for _ in 0..3 {
        expect_that!(
            demand.is_worthwhile(&rejected(1), level(1.0), now),
            eq(true)
        );
        demand.record_grant(1, WINDOW, ms(0));
    }
    demand.record_grant(1, WINDOW, ms(0));
    expect_that!(
        demand.is_worthwhile(&rejected(1), level(1.0), now),
        eq(false)
    );
}

#[gtest]
fn small_budget_is_not_divided() {
    let demand = demand(&[(unanswered(0), 90), (rejected(1), 90)]);
    let level = BudgetLevel {
        capacity: 1.9,
        left: 0.9,
    };
    expect_that!(
        demand.is_worthwhile(&rejected(1), level, ms(1_000)),
        eq(true)
    );
}
