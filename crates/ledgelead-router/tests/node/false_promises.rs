//! Answers of instances that a client would take for a promise that its request has not run.

use crate::fixture::{Fixture, SERVICE, configuration, ms, owned_store};
use googletest::prelude::*;
use ledgelead_http::Response;
use ledgelead_router::configuration::{Repeatability, Route};
use std::sync::Arc;

fn node(repeatability: Repeatability) -> Fixture {
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        *route = Arc::new(Route {
            repeatability,
            ..(**route).clone()
        });
    }
    let mut fixture = Fixture::new(owned_store(configuration));
    fixture.run_until(ms(900));
    fixture.attempts.clear();
    fixture
}

/// Sends a request that its instance answers with this response. Returns the status that the
/// client gets, if any, and the number of attempts.
fn relayed(repeatability: Repeatability, response: Response) -> (Option<u16>, usize) {
    let mut fixture = node(repeatability);
    fixture.request(SERVICE, None);
    let exchange = fixture.attempts[0].exchange;
    fixture.answer(exchange, response);
    let answer = fixture.answers.first();
    (
        answer.map(|(_, response)| response.status),
        fixture.attempts.len(),
    )
}

fn with_header(status: u16, header: &str) -> Response {
    let mut response = Response::new(status, "");
    response.headers.push(header, "1");
    response
}

#[gtest]
fn refusal_that_an_instance_has_not_stated_is_no_promise() {
    for status in [408, 429, 503] {
        let plain = relayed(Repeatability::Once, Response::new(status, ""));
        expect_that!(plain, eq((Some(502), 1)), "{status}");
        // A signature shows that it has run.
        let signed = relayed(Repeatability::Once, with_header(status, "signature"));
        expect_that!(signed, eq((Some(502), 1)), "{status}");
    }
}

#[gtest]
fn stated_refusal_of_a_once_only_request_is_retried() {
    let rejection = with_header(503, "not-executed");
    expect_that!(relayed(Repeatability::Once, rejection), eq((None, 2)));
}

#[gtest]
fn refusal_of_an_idempotent_request_is_relayed() {
    for status in [408, 429, 503] {
        let plain = relayed(Repeatability::Idempotent, Response::new(status, ""));
        expect_that!(plain, eq((Some(status), 1)), "{status}");
    }
}
