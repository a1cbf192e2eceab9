//! What a repeat wins.

use crate::checker::WINDOW;
use googletest::prelude::*;
use ledgelead_router::requests::{BudgetLevel, RetryCandidate, RetryDemand};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn lost(rank: u32) -> RetryCandidate {
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
        ..lost(rank)
    }
}

/// A service at which each of these was asked for so many times in the last second.
fn demand(asked: &[(RetryCandidate, usize)]) -> RetryDemand {
    let mut demand = RetryDemand::default();
    for (facts, times) in asked {
        for _ in 0..*times {
            demand.record_request(facts, ms(900));
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
fn what_is_urgent_in_time_and_lost_wins_more() {
    let late = RetryCandidate {
        meets_target: false,
        ..lost(0)
    };
    let unlikely = RetryCandidate {
        acceptance: 0.1,
        ..lost(0)
    };
    for less in [lost(1), rejected(0), late, unlikely] {
        expect_that!(less.value(), lt(lost(0).value()));
    }
    expect_that!(lost(u32::MAX).value(), ge(0.0));
}

#[gtest]
fn a_budget_far_from_used_up_goes_to_whoever_asks() {
    let demand = demand(&[(lost(0), 90), (rejected(2), 1)]);
    let worth = |facts| demand.is_worthwhile(&facts, level(10.0), ms(901));
    expect_that!(worth(rejected(2)), eq(true));
    expect_that!(worth(lost(0)), eq(true));
}

#[gtest]
fn the_rest_is_kept_for_those_that_win_more_and_ask() {
    let worth = |asked: &[(RetryCandidate, usize)], facts, left| {
        let mut demand = demand(asked);
        for rank in [0, 1] {
            demand.record_grant(rank, WINDOW, ms(0));
        }
        demand.is_worthwhile(&facts, level(left), ms(1_800))
    };
    let both = [(lost(0), 5), (rejected(1), 20)];
    expect_that!(worth(&both, rejected(1), 6.0), eq(true));
    expect_that!(worth(&both, rejected(1), 5.9), eq(false));
    expect_that!(worth(&both, lost(0), 1.0), eq(true));
    // Where nothing better asks, nothing is kept.
    expect_that!(worth(&[(rejected(1), 20)], rejected(1), 1.0), eq(true));
}

#[gtest]
fn each_kind_keeps_a_share() {
    let mut asked = demand(&[(lost(0), 90), (rejected(1), 90)]);
    for _ in 0..20 {
        asked.record_grant(0, WINDOW, ms(0));
    }
    let now = ms(1_000);
    for _ in 0..3 {
        expect_that!(asked.is_worthwhile(&rejected(1), level(1.0), now), eq(true));
        asked.record_grant(1, WINDOW, ms(0));
    }
    asked.record_grant(1, WINDOW, ms(0));
    expect_that!(
        asked.is_worthwhile(&rejected(1), level(1.0), now),
        eq(false)
    );
}

#[gtest]
fn a_small_budget_is_not_divided() {
    let demand = demand(&[(lost(0), 90), (rejected(1), 90)]);
    let level = BudgetLevel {
        capacity: 1.9,
        left: 0.9,
    };
    expect_that!(
        demand.is_worthwhile(&rejected(1), level, ms(1_000)),
        eq(true)
    );
}
