//! Patches produce the new bytes, and damaged patches are handled without a panic.

use super::patch::{apply, difference};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A patch produces the new bytes from the base, and is small when few bytes were
    /// removed and inserted.
    #[test]
    fn patches_produce_the_new_bytes(
        base in prop::collection::vec(any::<u8>(), 500..3_000),
        removed in 0..400_usize,
        start_index: prop::sample::Index,
        inserted in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let start = start_index.index(base.len());
        let end = (start + removed).min(base.len());
        let mut new = base.clone();
        new.splice(start..end, inserted.iter().copied());
        if let Some(patch) = difference(&base, &new) {
            prop_assert!(patch.0.len() < inserted.len() + 160);
            prop_assert_eq!(apply(&base, &patch), Some(new));
        } else {
            prop_assert!(new.len() < 2 * (inserted.len() + 160));
        }
    }

    /// Damaged patches are rejected or produce some bytes; none causes a panic.
    #[test]
    fn damaged_patches_cause_no_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..100),
        base in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        let _ = apply(&base, &ledgelead_types::Bytes(bytes));
    }
}
