//! Tests of the simulated servers and the simulated platform over real sockets.

use googletest::prelude::*;
use ledgelead_lab::demo::caller::{self, Client, Targets};
use ledgelead_lab::demo::clock::WallClock;
use ledgelead_lab::demo::load::{Load, LoadSettings, Pacing};
use ledgelead_lab::demo::nodes;
use ledgelead_lab::demo::platform_endpoint::PlatformEndpoint;
use ledgelead_lab::demo::records::{CallerOutcome, RequestNumber};
use ledgelead_lab::demo::server_endpoint::{EndpointSettings, ServerEndpoint};
use ledgelead_lab::demo::workload::{self, LoadShape, PlannedRequest};
use ledgelead_node::servers::signature::{ControlRequest, ServerKey};
use ledgelead_node::settings::Secret;
use ledgelead_types::codec;
use ledgelead_types::server::{GrantedSlice, LeaseRenewal, RenewalReply, RenewalVerdict};
use ledgelead_types::*;
use std::net::SocketAddr;
use ureq::Agent;
use ureq::http::Request;

fn start_server(server: u32, keyed: bool, service_time: Span) -> ServerEndpoint {
    let settings = EndpointSettings {
        server: ServerId(server),
        slots: 2,
        keyed,
        service_time,
        killable: true,
    };
    ServerEndpoint::start(WallClock::start(), settings).expect("a free port")
}

fn planned(number: u64) -> PlannedRequest {
    PlannedRequest {
        request: RequestNumber(number),
        due: Span::ZERO,
        key: None,
        once_only: true,
        caller: 0,
        body: b"application".to_vec(),
    }
}

fn send_directly(server: SocketAddr, request: &PlannedRequest) -> CallerOutcome {
    let targets = Targets::Servers {
        keyed: vec![server],
        unkeyed: vec![server],
    };
    let credentials = ["nobody".to_owned()];
    caller::send(&Client::new(&targets), &targets, &credentials, request).outcome
}

#[gtest]
fn every_directly_sent_request_is_answered() {
    let servers = [1, 2, 3].map(|server| start_server(server, true, Span::from_millis(1)));
    let addresses = servers.each_ref().map(ServerEndpoint::address).to_vec();
    let shape = LoadShape {
        requests_per_second: 2_000.0,
        duration: Span::from_millis(200),
        unkeyed_share: 0.3,
        once_only_share: 0.3,
        keys: 100,
        callers: 1,
        first_request: RequestNumber(1),
        seed: 7,
    };
    let requests = workload::plan(&shape);
    let planned = requests.len();
    let targets = Targets::Servers {
        keyed: addresses.clone(),
        unkeyed: addresses,
    };
    let settings = LoadSettings {
        requests,
        targets,
        credentials: vec![String::new()],
        threads: 16,
        threads_per_client: 8,
        pacing: Pacing::OpenLoop,
    };
    let load = Load::start(WallClock::start(), settings);
    let records = load.expect("threads").finish();
    expect_that!(planned, gt(300));
    expect_that!(records.len(), eq(planned));
    for record in records {
        expect_that!(
            record.outcome,
            matches_pattern!(CallerOutcome::Answered {
                matches: eq(&true),
                ..
            })
        );
    }
}

#[gtest]
fn killed_server_stops_responding() {
    let mut server = start_server(1, false, Span::from_seconds(30));
    let address = server.address();
    let asking = std::thread::spawn(move || send_directly(address, &planned(1)));
    while !server.is_executing() {
        std::thread::yield_now();
    }
    server.kill();
    let outcome = asking.join().expect("the caller");
    expect_that!(outcome, matches_pattern!(CallerOutcome::Unknown(_)));
    expect_that!(
        send_directly(address, &planned(2)),
        matches_pattern!(CallerOutcome::NotRun(_))
    );
}

fn renew(agent: &Agent, server: SocketAddr, renewal: &LeaseRenewal) -> RenewalReply {
    let body = codec::encode(renewal);
    let order = ControlRequest {
        path: "/ledgelead/lease",
        attempt: "",
        body: &body,
    };
    let key = ServerKey::new(&Secret::new(nodes::SERVER_KEY));
    let mut response = agent
        .post(format!("http://{server}/ledgelead/lease"))
        .header("Ledgelead-Signature", key.sign(order))
        .send(&body[..])
        .expect("a reply");
    codec::decode(&response.body_mut().read_to_vec().expect("a body")).expect("a renewal reply")
}

fn status_under(agent: &Agent, server: SocketAddr, token: &str) -> (u16, Option<String>) {
    let request = Request::get(format!("http://{server}/vacantes/17"))
        .header("Ledgelead-Attempt", "node-1/5/1")
        .header("Ledgelead-Position", "00000000000000ff")
        .header("Ledgelead-Token", token)
        .body(())
        .expect("a request");
    let response = agent.run(request).expect("an answer");
    let refused = response.headers().get("Ledgelead-Refused");
    let refused = refused.map(|value| value.to_str().expect("ASCII").to_owned());
    (response.status().as_u16(), refused)
}

#[gtest]
fn keyed_server_runs_only_what_its_lease_covers() {
    let server = start_server(1, true, Span::ZERO);
    let agent = caller::new_agent();
    let token = FencingToken::parse("1.2.3").expect("a token");
    let mut renewal = LeaseRenewal {
        group: GroupId::default(),
        authority: token,
        echoed_stamp: None,
        lease: Span::from_seconds(60),
        slices: Some(List(vec![GrantedSlice {
            range: PositionRange::ALL,
            token,
        }])),
        unchanged_since: token,
        draining: false,
    };
    let forged = agent
        .post(format!("http://{}/ledgelead/lease", server.address()))
        .header("Ledgelead-Signature", "00".repeat(32))
        .send(&codec::encode(&renewal)[..])
        .expect("an answer");
    expect_that!(forged.status().as_u16(), eq(403));
    let first = renew(&agent, server.address(), &renewal);
    expect_that!(first.verdict, eq(RenewalVerdict::StampOnly));
    let refused = (503, Some("not-owner".to_owned()));
    expect_that!(
        status_under(&agent, server.address(), "1.2.3"),
        eq(&refused)
    );

    renewal.echoed_stamp = Some(first.stamp);
    let second = renew(&agent, server.address(), &renewal);
    expect_that!(second.verdict, eq(RenewalVerdict::Taken));
    expect_that!(
        status_under(&agent, server.address(), "1.2.3"),
        eq(&(200, None))
    );
    expect_that!(
        status_under(&agent, server.address(), "1.2.2"),
        eq(&refused)
    );

    let executions = server.executions();
    expect_that!(executions.len(), eq(1));
    expect_that!(executions[0].body, eq(17));
    expect_that!(
        executions[0].ownership.map(|claim| claim.position),
        some(eq(Position(255)))
    );
}

/// Status, `Object-Version` and body of a response of the platform.
fn object(agent: &Agent, request: Request<Vec<u8>>) -> (u16, String, Vec<u8>) {
    let mut response = agent.run(request).expect("an answer");
    let version = response.headers().get("Object-Version");
    let version = version.map_or("", |value| value.to_str().expect("ASCII"));
    let version = version.to_owned();
    let body = response.body_mut().read_to_vec().expect("a body");
    (response.status().as_u16(), version, body)
}

#[gtest]
fn platform_compares_versions_and_wakes_watches() {
    let platform = PlatformEndpoint::start(WallClock::start()).expect("a free port");
    let url = format!("http://{}/objects/configuration", platform.address());
    let agent = caller::new_agent();
    let get = |query: &str| {
        let request = Request::get(format!("{url}{query}")).body(Vec::new());
        object(&agent, request.expect("a request"))
    };
    let put = |version: &str, value: &str| {
        let request = Request::put(&url).header("If-Match", version);
        let request = request.body(value.as_bytes().to_vec());
        object(&agent, request.expect("a request"))
    };
    expect_that!(get("").0, eq(404));
    expect_that!(put("0", "one").1, eq("1"));
    expect_that!(
        (put("0", "other").0, put("0", "other").1),
        eq(&(412, "1".to_owned()))
    );
    expect_that!(get(""), eq(&(200, "1".to_owned(), b"one".to_vec())));
    expect_that!(get("?after=1&wait_ms=1").0, eq(304));

    let watched = std::thread::scope(|scope| {
        let watching = scope.spawn(|| get("?after=1&wait_ms=30000"));
        expect_that!(put("1", "two").1, eq("2"));
        watching.join().expect("the watch")
    });
    expect_that!(watched, eq(&(200, "2".to_owned(), b"two".to_vec())));
}
