//! Network partitions between nodes and instances during which the kernel holds bytes, which
//! it delivers when the partition ends.
//!
//! A node sends a grant into a partition and gives up after 0.6 s. It counts the lease from
//! then on and gives the keys to another instance 4.4 s later. Closing the connection does not
//! discard the bytes: the kernel retransmits them, the partition ends, and the previous owner
//! takes the keys under its old token while the new owner holds them. In a partition of 5 s
//! that began at 12.0 s:
//!
//!     17.583 s to 28.791 s  i-ef647993a4 holds 21742 to 23404 (fence 68)
//!     18.817 s to 22.872 s  i-5bef3f5ad0 holds 21742 to 23404 (fence 4)
//!
//! The second grant was sent at 12.6 s and delivered 6.2 s later, by TCP's fifth
//! retransmission.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_cuts, run_seeds};
use ledgelead_lab::fleet::{FleetReport, FleetSettings, Transport, World};
use ledgelead_router::protections::{Protection, Protections};
use std::ops::RangeInclusive;

#[gtest]
fn orders_delayed_by_a_partition_create_no_second_owner() {
    let (_, lines) = run_seeds(drawn_cuts, 1..=200, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

/// Seeds of which some have keys that move away from an owner behind a partition.
const SEEDS_WITH_MOVES: RangeInclusive<u64> = 1..=40;

/// Orders into a partition are not forwarded by peers, so that the kernel holds their bytes.
fn run_with_transport(seed: u64, transport: Transport) -> FleetReport {
    let protections = Protections::without(Protection::ForwardedOrders);
    let drawn = drawn_cuts(seed, NODES, protections);
    World::new(FleetSettings { transport, ..drawn }).run()
}

#[gtest]
fn checker_detects_orders_retransmitted_after_a_close() {
    let closes_without_reset = Transport {
        resets: false,
        user_timeout: None,
        ..Transport::RUNTIME
    };
    let violations = SEEDS_WITH_MOVES.flat_map(|seed| {
        let report = run_with_transport(seed, closes_without_reset);
        report.violations
    });
    expect_that!(violations.count(), gt(0));
}
