//! A request that crashes every instance that starts it must soon be refused by all nodes, and
//! no harmless request may be.
//!
//! Clients retry such a request at arbitrary nodes. If each node judges every attempt
//! separately, nothing keeps the next attempt from the next instance: in one run of 113 s, 13
//! instances crashed under the requests of three clients. Each attempt had the same key but
//! went to a different instance, within 50 ms of its arrival, through a node that knew of no
//! earlier attempt. In the simulation, 1,414 instances crashed under 3,031 attempts in seeds 1
//! to 40.

use googletest::prelude::*;
use ledgelead_lab::fleet::ViolationKind;
use ledgelead_lab::fleet::command::{NODES, drawn_crashing, run_seeds};
use ledgelead_router::protections::{Protection, Protections};

/// Number of nodes for which zones are large enough that broadcasts are relayed.
const MANY_NODES: usize = 21;

#[gtest]
fn crashing_request_reaches_few_instances_after_the_third_crash() {
    let (_, lines) = run_seeds(drawn_crashing, 1..=80, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

#[gtest]
fn crashing_request_reaches_few_instances_in_a_large_fleet() {
    let (_, lines) = run_seeds(
        drawn_crashing,
        1..=20,
        MANY_NODES,
        Protections::default(),
        false,
    );
    expect_that!(lines, is_empty());
}

/// Counts both kinds of violations with a protection disabled: crashing requests that reach
/// too many instances, and harmless requests that are refused.
fn count_violations(without: Protection, seeds: std::ops::RangeInclusive<u64>) -> (usize, usize) {
    let (report, _) = run_seeds(
        drawn_crashing,
        seeds,
        NODES,
        Protections::without(without),
        false,
    );
    let count = |kind| {
        let of_kind = report.violations.iter().filter(|seen| seen.kind == kind);
        of_kind.count()
    };
    (
        count(ViolationKind::CrashesContained),
        count(ViolationKind::HarmlessServed),
    )
}

#[gtest]
fn checker_detects_crash_evidence_that_is_not_shared() {
    let (forwarded, _) = count_violations(Protection::SharedEvidence, 1..=20);
    expect_that!(forwarded, gt(0));
}

#[gtest]
fn checker_detects_crash_evidence_lost_with_all_nodes() {
    let (forwarded, _) = count_violations(Protection::PersistedEvidence, 269..=269);
    expect_that!(forwarded, gt(0));
}

#[gtest]
fn checker_detects_harmless_requests_still_suspected_after_a_response() {
    let (_, refused_harmless) = count_violations(Protection::AnswerClearsSuspicion, 45..=55);
    expect_that!(refused_harmless, gt(0));
}

#[gtest]
fn checker_detects_requests_identified_by_path_alone() {
    let (_, refused_harmless) = count_violations(Protection::FullRequestIdentity, 1..=5);
    expect_that!(refused_harmless, gt(0));
}
