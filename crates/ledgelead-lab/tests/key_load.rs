//! Expected load of servers, given the popularity of their keys.

use googletest::prelude::*;
use ledgelead_lab::simulation::key_load::{Popularity, imbalance_over_floor};
use ledgelead_types::{Position, PositionRange};

fn range(first: u64, last: u64) -> PositionRange {
    PositionRange {
        first: Position(first),
        last: Position(last),
    }
}

#[gtest]
fn a_range_has_the_load_of_the_positions_in_it() {
    let shares = [(10, 0.5), (20, 0.3), (30, 0.2)];
    let popularity = Popularity::new(shares.map(|(at, share)| (Position(at), share)));
    expect_that!(popularity.of(range(0, 9)), near(0.0, 1e-9));
    expect_that!(popularity.of(range(10, 20)), near(0.8, 1e-9));
    expect_that!(popularity.of(range(21, u64::MAX)), near(0.2, 1e-9));
    expect_that!(popularity.hottest(), eq(0.5));
}

#[gtest]
fn imbalance_is_relative_to_the_hottest_position() {
    expect_that!(
        imbalance_over_floor(&[0.5, 0.3, 0.2], 0.1),
        some(near(1.5, 1e-9))
    );
    expect_that!(
        imbalance_over_floor(&[0.6, 0.2, 0.2], 0.5),
        some(near(1.2, 1e-9))
    );
    expect_that!(imbalance_over_floor(&[], 0.5), none());
}
