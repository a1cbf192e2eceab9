//! The outcomes of exchanges with servers: whether a server can have received the request.

mod support;

use googletest::prelude::*;
use ledgelead_node::callers::headers::HeaderLine;
use ledgelead_node::callers::request_head::CallerRequest;
use ledgelead_node::servers::exchange::{self, AgentLimits, BufferedResponse, ExchangeError};
use ledgelead_node::servers::resolver::AddressResolver;
use ledgelead_node::servers::wire::{self, AttemptSender};
use ledgelead_node::servers::write_tracking::ExchangeControl;
use ledgelead_types::request::{AttemptId, Forward, OwnershipClaim};
use ledgelead_types::server::{AttemptResult, LoadReport, ServerRefusal};
use ledgelead_types::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{RawServer, Script, closed_address};
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::NextTimeout;

/// Longest response in these tests.
const MAX_ANSWER_BYTES: usize = 1_000;
/// A timeout that no exchange in these tests reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

fn agent() -> ureq::Agent {
    exchange::agent(AgentLimits {
        idle_connections: 4,
        idle_time: LONG_TIMEOUT,
        connect_time: LONG_TIMEOUT,
    })
}

fn forward(address: SocketAddr) -> Forward {
    let token = FencingToken {
        epoch: Epoch(1),
        term: Term(2),
        revision: Revision(3),
    };
    Forward {
        attempt: AttemptId {
            request: RequestId(17),
            number: 2,
        },
        server: ServerId(4),
        address: Text(address.to_string()),
        ownership: Some(OwnershipClaim {
            position: Position(0xab),
            token,
        }),
        deadline: Span::from_millis(1_500),
        tier: TierId(3),
    }
}

fn send(
    address: SocketAddr,
    method: &str,
    time: Duration,
) -> std::result::Result<BufferedResponse, ExchangeError> {
    let request = CallerRequest {
        method: method.to_owned(),
        target: "/a/b?c=d".to_owned(),
        headers: vec![HeaderLine::new("X-Own", "kept")],
        body: if method == "POST" {
            b"content".to_vec()
        } else {
            Vec::new()
        },
    };
    let sender = AttemptSender {
        node: NodeId(1),
        incarnation: Incarnation(0xa3f0),
    };
    let forward = forward(address);
    let request = wire::server_request(&forward, &request, forward.deadline, &sender);
    let control = Arc::new(ExchangeControl::default());
    let request = request.expect("a valid request");
    exchange::exchange(&agent(), request, time, MAX_ANSWER_BYTES, &control)
}

fn outcome_of(script: Script) -> std::result::Result<BufferedResponse, ExchangeError> {
    let server = RawServer::start(vec![script]);
    let outcome = send(server.address, "GET", LONG_TIMEOUT);
    server.finish();
    outcome
}

#[gtest]
fn refused_connections_are_reported_as_not_sent() {
    let outcome = send(closed_address(), "POST", LONG_TIMEOUT);
    expect_that!(outcome, eq(&Err(ExchangeError::NotSent)));
}

#[gtest]
fn host_names_are_not_resolved() {
    let agent = agent();
    let request = ureq::http::Request::get("http://localhost:1/").body(Vec::new());
    let request = request.expect("a valid request");
    let control = Arc::default();
    let outcome = exchange::exchange(&agent, request, LONG_TIMEOUT, MAX_ANSWER_BYTES, &control);
    expect_that!(outcome, eq(&Err(ExchangeError::NotSent)));
    let details = |uri: &str| {
        let uri = uri.parse().expect("a URI");
        let addresses = AddressResolver.resolve(&uri, agent.config(), NextTimeout::default());
        addresses.ok().map(|addresses| addresses.to_vec())
    };
    expect_that!(details("http://localhost:1/"), none());
    let expected = "[::1]:7".parse().expect("an address");
    expect_that!(
        details("http://[::1]:7/x"),
        some(elements_are![eq(&expected)])
    );
}

#[gtest]
fn exchanges_without_time_left_are_not_sent() {
    expect_that!(
        send(closed_address(), "GET", Duration::ZERO),
        eq(&Err(ExchangeError::NotSent))
    );
}

#[gtest]
fn connections_that_fail_after_writing_are_reported_as_lost() {
    expect_that!(
        outcome_of(Script::CloseAtOnce),
        eq(&Err(ExchangeError::Lost))
    );
    expect_that!(
        outcome_of(Script::Answer(b"")),
        eq(&Err(ExchangeError::Lost))
    );
    let half_header = Script::Answer(b"HTTP/1.1 200 OK\r\nContent-Le");
    expect_that!(
        outcome_of(half_header),
        any![
            eq(&Err(ExchangeError::Lost)),
            eq(&Err(ExchangeError::BadAnswer))
        ]
    );
}

#[gtest]
fn exchanges_without_a_response_are_lost_at_the_deadline() {
    let server = RawServer::start(vec![Script::Silence]);
    let outcome = send(server.address, "GET", Duration::from_millis(50));
    expect_that!(outcome, eq(&Err(ExchangeError::Lost)));
    server.finish();
}

#[gtest]
fn truncated_and_malformed_responses_are_rejected() {
    let bad: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nended by closing",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
    ];
    for bytes in bad {
        let outcome = outcome_of(Script::Answer(bytes));
        let text = String::from_utf8_lossy(bytes).into_owned();
        expect_that!(outcome, eq(&Err(ExchangeError::BadAnswer)), "{text}");
    }
    let outcome = outcome_of(Script::Answer(b"no HTTP at all\r\n\r\n"));
    expect_that!(outcome, eq(&Err(ExchangeError::BadAnswer)));
}

#[gtest]
fn complete_responses_keep_status_headers_and_body() {
    let answer = outcome_of(Script::Answer(
        b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nX-Twice: 1\r\nX-Twice: 2\r\nContent-Length: 4\r\n\r\nmove",
    ));
    let answer = answer.expect("a whole answer");
    expect_that!(answer.status, eq(302));
    expect_that!(answer.body, eq(&b"move".to_vec()));
    let twice: Vec<&str> = answer
        .headers
        .iter()
        .filter(|header| header.is("X-Twice"))
        .map(|header| header.value.as_str())
        .collect();
    expect_that!(twice, elements_are![eq(&"1"), eq(&"2")]);

    let chunked = outcome_of(Script::Answer(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ));
    expect_that!(chunked.expect("whole").body, eq(&b"hello".to_vec()));
    let empty = outcome_of(Script::Answer(b"HTTP/1.1 204 No Content\r\n\r\n"));
    expect_that!(empty.expect("whole").status, eq(204));
}

#[gtest]
fn servers_receive_the_request_and_the_headers_added_by_the_node() {
    let server = RawServer::start(vec![Script::Answer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    )]);
    let address = server.address.to_string();
    let outcome = send(server.address, "POST", LONG_TIMEOUT);
    expect_that!(outcome.is_ok(), eq(true));
    let request = server.finish().remove(0).replace(&address, "ADDRESS");
    let mut lines: Vec<&str> = request.lines().collect();
    lines[1..].sort_unstable();
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn refusals_and_load_reports_are_parsed() {
    let refusal = BufferedResponse {
        status: 503,
        headers: vec![HeaderLine::new("ledgelead-refused", "not-owner")],
        body: Vec::new(),
    };
    expect_that!(
        wire::attempt_result(&refusal),
        eq(AttemptResult::Refused(ServerRefusal::NotOwner))
    );
    let plain_failure = BufferedResponse {
        status: 503,
        ..BufferedResponse::default()
    };
    expect_that!(
        wire::attempt_result(&plain_failure),
        eq(AttemptResult::Answered { failure: true })
    );
    let refusal_with_status_200 = BufferedResponse {
        status: 200,
        ..refusal
    };
    expect_that!(
        wire::attempt_result(&refusal_with_status_200),
        eq(AttemptResult::Answered { failure: false })
    );
    let load = wire::parse_load("executing=1, waiting=2,utilization=7.5,cold=1,new=x");
    expect_that!(
        load,
        some(eq(LoadReport {
            executing: 1,
            waiting: 2,
            utilization: 1.0,
            cold: true
        }))
    );
    expect_that!(wire::parse_load("utilization=NaN"), none());
    expect_that!(wire::parse_load("nonsense"), none());
}
