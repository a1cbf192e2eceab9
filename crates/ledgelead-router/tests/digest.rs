//! Which tries are the same request.

use googletest::prelude::*;
use ledgelead_http::Request;
use ledgelead_router::requests::RequestDigest;
use std::net::IpAddr;

fn request(target: &str, body: &str) -> Request {
    let mut request = Request::new("POST", target, body.as_bytes().to_vec());
    request.headers.push("Host", "Example:80");
    request.headers.push("Attempt", "1");
    request.headers.push("Deadline", "800");
    request
}

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 3, last])
}

fn digest(target: &str, body: &str, caller: u8) -> RequestDigest {
    RequestDigest::new(&request(target, body), address(caller))
}

#[gtest]
fn a_later_try_of_a_request_has_its_digest() {
    let mut later = request("/a/b?c=1", "body");
    later.headers.set("Attempt", "2");
    later.headers.set("Deadline", "300");
    later.headers.set("Host", "example:80");
    let first = digest("/a/b?c=1", "body", 1);
    expect_that!(RequestDigest::new(&later, address(1)), eq(first));
}

#[gtest]
fn another_request_has_another_digest() {
    let first = digest("/a/b?c=1", "body", 1);
    let mut others = vec![
        digest("/a/b?c=2", "body", 1),
        digest("/a/b", "body", 1),
        digest("/a/b?c=1", "bod", 1),
        digest("/a/b?c=1", "body", 2),
        digest("/a/b?c=1b", "ody", 1),
    ];
    let mut by_method = request("/a/b?c=1", "body");
    by_method.method = "PUT".to_owned();
    others.push(RequestDigest::new(&by_method, address(1)));
    let mut by_host = request("/a/b?c=1", "body");
    by_host.headers.set("Host", "other:80");
    others.push(RequestDigest::new(&by_host, address(1)));
    expect_that!(others, each(not(eq(&first))));
}

#[gtest]
fn a_digest_is_read_as_it_was_written() {
    let first = digest("/a", "", 1);
    expect_that!(RequestDigest::parse(&first.to_string()), some(eq(first)));
    for wrong in ["", "12", "zz", &"g".repeat(32), &"+".repeat(32)] {
        expect_that!(RequestDigest::parse(wrong), none());
    }
}
