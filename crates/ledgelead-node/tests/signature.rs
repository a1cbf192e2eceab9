//! Signatures of nodes' control requests to servers.

use googletest::prelude::*;
use ledgelead_node::servers::signature::{ControlRequest, ServerKey};
use ledgelead_node::settings::Secret;

const REQUEST: ControlRequest<'static> = ControlRequest {
    path: "/ledgelead/lease",
    attempt: "",
    body: b"renewal",
};

#[gtest]
fn signatures_match_the_documented_algorithm() {
    let key = ServerKey::new(&Secret::new("a key for tests only"));
    let signature = key.sign(REQUEST);
    // printf '/ledgelead/lease\n\nrenewal' | openssl dgst -sha256 -hmac KEY
    expect_that!(
        signature,
        eq("5affcd0f1ac213a5ebc545559aa6bc5c503437bb92016a32ba0f9ca0d94d282c")
    );
    expect_that!(key.verifies(REQUEST, &signature), eq(true));
    expect_that!(key.verifies(REQUEST, &signature.to_uppercase()), eq(true));
}

#[gtest]
fn signatures_cover_every_part_and_the_key() {
    let key = ServerKey::new(&Secret::new("a key for tests only"));
    let signature = key.sign(REQUEST);
    let others = [
        ControlRequest {
            path: "/ledgelead/cancel",
            ..REQUEST
        },
        ControlRequest {
            attempt: "1-a-2-1",
            ..REQUEST
        },
        ControlRequest {
            body: b"renewaL",
            ..REQUEST
        },
    ];
    for other in others {
        expect_that!(key.verifies(other, &signature), eq(false), "{other:?}");
    }
    let other_key = ServerKey::new(&Secret::new("another key for tests"));
    expect_that!(other_key.verifies(REQUEST, &signature), eq(false));
    for wrong in ["", "zz", "a", &signature[2..], "\u{e9}\u{e9}"] {
        expect_that!(key.verifies(REQUEST, wrong), eq(false), "{wrong}");
    }
}
