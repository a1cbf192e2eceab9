//! Text form of instance ids: parsing, formatting and comparison.

use googletest::prelude::*;
use ledgelead_router::identity::InstanceId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..Config::default()
    }
}

#[gtest]
fn the_text_of_an_id_without_start_time_is_its_name() {
    expect_that!(InstanceId::from("i-7f3a91c2").as_str(), eq("i-7f3a91c2"));
    expect_that!(
        InstanceId::parse("i-7f3a91c2"),
        eq(&InstanceId::from("i-7f3a91c2"))
    );
}

#[gtest]
fn incarnations_of_one_name_differ() {
    let (first, second) = (
        InstanceId::with_start_time("i", 9),
        InstanceId::with_start_time("i", 10),
    );
    expect_that!(first, not(eq(&second)));
    expect_that!(first.cmp(&second), eq(std::cmp::Ordering::Less));
    expect_that!(first.stable_hash(), not(eq(second.stable_hash())));
    expect_that!(first.name(), eq("i"));
    expect_that!(first.shares_name(&second), eq(true));
    expect_that!(InstanceId::from("i").shares_name(&second), eq(true));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_text_identifies_one_incarnation(
        name in "[a#0-9é]{0,6}",
        start_ms in proptest::option::of(prop_oneof![0u64..20, proptest::num::u64::ANY]),
    ) {
        let id = match start_ms {
            Some(start_ms) => InstanceId::with_start_time(&name, start_ms),
            None => InstanceId::from(name.as_str()),
        };
        let parsed = InstanceId::parse(id.as_str());
        prop_assert_eq!(parsed.name(), name.as_str());
        prop_assert_eq!(parsed.start_ms(), start_ms);
        prop_assert_eq!(&parsed, &id);
        let stored = serde_json::to_string(&id).expect("a text");
        prop_assert_eq!(serde_json::from_str::<InstanceId>(&stored).expect("an instance id"), id);
    }

    /// Texts from other nodes are parsed before they are compared.
    #[test]
    fn parsed_texts_are_equal_only_if_they_are_ordered_as_equal(
        first in "[a#01]{0,5}",
        second in "[a#01]{0,5}",
    ) {
        let (first, second) = (InstanceId::parse(&first), InstanceId::parse(&second));
        prop_assert_eq!(first.cmp(&second).is_eq(), first == second);
    }
}

/// A text of many separators is parsed without recursion.
#[gtest]
fn a_text_of_separators_only_is_a_name() {
    let separators = "#".repeat(60_000);
    expect_that!(
        InstanceId::parse(&separators).name(),
        eq(separators.as_str())
    );
    expect_that!(InstanceId::parse("a#").name(), eq("a#"));
    expect_that!(InstanceId::parse("a#").start_ms(), none());
}
