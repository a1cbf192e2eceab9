//! Error bounds of the sketch.

use googletest::prelude::*;
use ledgelead_balance::sketch::{HotPositions, SpaceSaving};
use ledgelead_types::{Position, PositionRange, Span, Time};
use proptest::prelude::{ProptestConfig, Strategy, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const TOLERANCE: f64 = 1e-6;

#[derive(Clone, Debug)]
enum Step {
    Observe(Position),
    Decay(f64),
}

fn step() -> impl Strategy<Value = Step> {
    (0..40_u8, 1.0..2.8_f64, 0.1..1.0_f64).prop_map(|(kind, skew, factor)| match kind {
        0 => Step::Decay(factor),
        _ => Step::Observe(Position(10_f64.powf(skew * factor) as u64)),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(0x5ce7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No count is below the true one or exceeds it by more than the bound, and every
    /// position that is more frequent than the bound has a counter.
    #[test]
    fn counts_stay_within_the_error_bound(
        capacity in 1..30_usize,
        steps in proptest::collection::vec(step(), 0..1_500),
    ) {
        let mut sketch = SpaceSaving::new(capacity);
        let mut counts: BTreeMap<Position, f64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Observe(position) => {
                    sketch.observe(position);
                    *counts.entry(position).or_default() += 1.0;
                }
                Step::Decay(factor) => {
                    sketch.decay(factor);
                    counts.values_mut().for_each(|count| *count *= factor);
                }
            }
        }
        let bound = sketch.error_bound() + TOLERANCE;
        prop_assert!(sketch.in_range(PositionRange::ALL).count() <= capacity);
        for (position, count) in counts {
            match sketch.estimate(position) {
                Some(estimate) => {
                    prop_assert!(estimate.count >= count - TOLERANCE);
                    prop_assert!(estimate.count <= count + bound);
                    prop_assert!(estimate.guaranteed() <= count + TOLERANCE);
                }
                None => prop_assert!(count <= bound),
            }
        }
    }
}

#[gtest]
fn cooled_down_hot_position_is_replaced() {
    let mut hot = HotPositions::new(4);
    let at = |millis| Time::ZERO + Span::from_millis(millis);
    for millis in 0..60_000 {
        let position = if millis < 30_000 { 7 } else { 9 };
        hot.observe(Position(position), at(millis));
        hot.observe(Position(1_000 + millis % 50), at(millis));
    }
    let hottest = hot.hottest_in(PositionRange::ALL, at(60_000)).unwrap();
    expect_that!(hottest.position, eq(Position(9)));
    expect_that!(hottest.requests_per_second, near(1_000.0, 150.0));
}
