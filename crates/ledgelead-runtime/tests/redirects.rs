//! Tests of redirected hosts.

use super::*;
use googletest::prelude::*;

#[gtest]
fn a_redirected_host_keeps_its_port() {
    let mut redirects = Redirects::default();
    redirects.add("10.0.0.1=127.0.0.9").unwrap();
    let redirected = redirects.apply("10.0.0.1:80".parse().unwrap());
    expect_that!(redirected.to_string(), eq("127.0.0.9:80"));
    let other = redirects.apply("10.0.0.2:80".parse().unwrap());
    expect_that!(other.to_string(), eq("10.0.0.2:80"));
}

#[gtest]
fn a_malformed_redirect_is_named_in_the_error() {
    for text in ["10.0.0.1", "10.0.0.1=host", "=127.0.0.1"] {
        let error = Redirects::default().add(text).unwrap_err();
        expect_that!(error.to_string(), contains_substring(text));
    }
}
