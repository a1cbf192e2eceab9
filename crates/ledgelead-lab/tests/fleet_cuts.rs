//! Cuts between nodes and instances that hold bytes up, and deliver them when they end.
//!
//! A grant was written into a cut and given up after 0.6 s; its lease was counted from then
//! on, and the keys were given away 4.4 s later. Closing the connection had not taken the
//! bytes back: the kernel sent them again, the cut ended, and the earlier owner took the
//! keys under the old token beside the present one. Of a cut of 5 s that began at 12.0 s:
//!
//!     17.583 s to 28.791 s  i-ef647993a4 holds 21742 to 23404 (fence 68)
//!     18.817 s to 22.872 s  i-5bef3f5ad0 holds 21742 to 23404 (fence 4)
//!
//! 18.817 s is 6.2 s, TCP's fifth repetition, after a grant of 12.6 s.

use googletest::prelude::*;
use ledgelead_lab::fleet::command::{NODES, drawn_cuts, run_seeds};
use ledgelead_lab::fleet::{FleetReport, FleetSettings, Transport, World};
use ledgelead_router::protections::Protections;

#[gtest]
fn orders_that_a_cut_holds_up_give_no_keys_two_owners() {
    let (_, lines) = run_seeds(drawn_cuts, 1..=200, NODES, Protections::default(), false);
    expect_that!(lines, is_empty());
}

fn played(seed: u64, transport: Transport) -> FleetReport {
    let drawn = drawn_cuts(seed, NODES, Protections::default());
    World::new(FleetSettings { transport, ..drawn }).run()
}

#[gtest]
fn the_checker_sees_orders_that_a_close_leaves_on_their_way() {
    let closes = Transport {
        resets: false,
        user_timeout: None,
        ..Transport::RUNTIME
    };
    expect_that!(played(10, closes).violations, not(is_empty()));
}
