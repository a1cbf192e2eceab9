//! Which attempts count as the same request.

use googletest::prelude::*;
use ledgelead_http::Request;
use ledgelead_router::requests::RequestDigest;

fn request(target: &str, body: &str) -> Request {
    let mut request = Request::new("POST", target, body.as_bytes().to_vec());
    request.headers.push("Host", "Example:80");
    request.headers.push("Attempt", "1");
    request.headers.push("Deadline", "800");
    request
}

fn digest(target: &str, body: &str) -> RequestDigest {
    RequestDigest::new(&request(target, body))
}

#[gtest]
fn repeated_attempts_have_the_same_digest() {
    let mut later = request("/a/b?c=1", "body");
    later.headers.set("Attempt", "2");
    later.headers.set("Deadline", "300");
    later.headers.set("Host", "example:80");
    let first = digest("/a/b?c=1", "body");
    expect_that!(RequestDigest::new(&later), eq(first));
}

#[gtest]
fn different_requests_have_different_digests() {
    let first = digest("/a/b?c=1", "body");
    let mut others = vec![
        digest("/a/b?c=2", "body"),
        digest("/a/b", "body"),
        digest("/a/b?c=1", "bod"),
        digest("/a/b?c=1b", "ody"),
    ];
    let mut by_method = request("/a/b?c=1", "body");
    by_method.method = "PUT".to_owned();
    others.push(RequestDigest::new(&by_method));
    let mut by_host = request("/a/b?c=1", "body");
    by_host.headers.set("Host", "other:80");
    others.push(RequestDigest::new(&by_host));
    expect_that!(others, each(not(eq(&first))));
}

#[gtest]
fn a_digest_is_parsed_from_its_text() {
    let first = digest("/a", "");
    expect_that!(RequestDigest::parse(&first.to_string()), some(eq(first)));
    for wrong in ["", "12", "zz", &"g".repeat(32), &"+".repeat(32)] {
        expect_that!(RequestDigest::parse(wrong), none());
    }
}
