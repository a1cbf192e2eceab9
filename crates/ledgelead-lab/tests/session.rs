//! Compares a complete session in virtual time with a snapshot, and two runs of the same seed
//! with each other.

use googletest::prelude::*;
use ledgelead_lab::scenario::parse;
use ledgelead_lab::simulation::World;
use ledgelead_types::assigner::AssignerChoice;
use ledgelead_types::protections::Protections;

fn session(seed: u64) -> String {
    let text = include_str!("../../../scenarios/session.toml");
    let scenario = parse(text).expect("the scenario is valid");
    let mut world = World::new(
        &scenario,
        seed,
        Protections::default(),
        AssignerChoice::Planner,
    );
    world.record_session();
    world.run();
    world.session().join("\n")
}

#[gtest]
fn servers_are_granted_slices_and_a_lost_one_is_replaced() {
    insta::assert_snapshot!(session(1));
}

#[gtest]
fn same_seed_gives_the_same_session() {
    expect_that!(session(2), eq(&session(2)));
}
