//! Safety and liveness under random fault schedules.

use crate::simulation::{Faults, Simulation};
use ledgelead_types::protections::{Protection, Protections};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MILLIS: u64 = 1_000;
/// Maximum time from the end of all faults to a ready leader.
const LEADER_AFTER_HEAL: u64 = 600 * MILLIS;

/// Number of seeds for the runs with and without the incarnation check.
const SABOTAGE_SEEDS: u64 = 30;

fn fixed(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    }
}

/// Injects a fault about every 150 ms for ten seconds, under load.
fn inject_faults(simulation: &mut Simulation) {
    simulation.faults = Faults::lossy();
    simulation.load_interval = Some(5 * MILLIS);
    for step in 0..66 {
        simulation.run_for(100 * MILLIS + step % 7 * 15 * MILLIS);
        simulation.inject_fault();
    }
}

proptest! {
    #![proptest_config(fixed(60, 11))]

    /// There is at most one leader per term, one authority at a time and one history under
    /// message loss, delay, duplication, reordering, partitions, pauses, restarts as a new
    /// member, transfers and clock drift. A leader is elected soon after the faults end.
    #[test]
    fn safety_and_liveness_hold_under_faults(replicas in prop_oneof![Just(3_u32), Just(5)], seed: u64) {
        let mut simulation = Simulation::new(replicas, seed, Protections::default());
        inject_faults(&mut simulation);
        simulation.heal();
        simulation.run_for(LEADER_AFTER_HEAL);
        prop_assert!(simulation.leader().is_some(), "no leader after the faults ended");
        let replaced = simulation.run_while(1_000 * MILLIS, |run| !run.voters_are_running());
        prop_assert!(replaced.is_some(), "a restarted replica was not replaced");
        simulation.load_interval = None;
        let caught_up = simulation.run_while(400 * MILLIS, |run| !run.all_caught_up());
        prop_assert!(caught_up.is_some(), "a replica lacks committed entries");
        prop_assert_eq!(&simulation.checker.violation, &None);
        prop_assert!(simulation.checker.delegations_seen > 100);
        prop_assert!(simulation.checker.last_revision().0 > 300);
    }
}

/// Whether a run in which replicas restart at random and are not replaced violates safety.
fn violates_safety_when_restarted(seed: u64, protections: Protections) -> bool {
    let mut simulation = Simulation::new(3, seed, protections);
    simulation.replaces_restarted = false;
    inject_faults(&mut simulation);
    simulation.checker.violation.is_some()
}

/// Verifies the checker: replicas that lost their votes in a restart but keep voting under
/// their old identity violate safety, and the checker reports it. With a new identity they
/// don't.
#[test]
fn voting_after_restart_is_detected() {
    let broken = Protections::without(Protection::IncarnationCheck);
    let caught = (0..SABOTAGE_SEEDS).filter(|seed| violates_safety_when_restarted(*seed, broken));
    println!(
        "caught in {} of {SABOTAGE_SEEDS} runs",
        caught.clone().count()
    );
    assert!(caught.count() > 0);
    let replaced = Protections::default();
    assert!((0..SABOTAGE_SEEDS).all(|seed| !violates_safety_when_restarted(seed, replaced)));
}
