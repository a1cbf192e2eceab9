//! A complete node on real sockets.

mod support;

use googletest::prelude::*;
use ledgelead_node::RunningNode;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use support::running_node::start;

fn get(address: std::net::SocketAddr, path: &str) -> (u16, String) {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent();
    let mut response = agent
        .get(format!("http://{address}{path}"))
        .call()
        .expect("the node answers");
    let body = response.body_mut().read_to_string().expect("a text");
    (response.status().as_u16(), body)
}

#[gtest]
fn administration_serves_health_and_metrics() {
    let node = start();
    let address = node.administration_address;
    expect_that!(get(address, "/healthz"), eq(&(200, "ok\n".to_owned())));
    expect_that!(get(address, "/readyz").0, eq(503));
    expect_that!(get(address, "/nothing").0, eq(404));
    let (status, metrics) = get(address, "/metrics");
    expect_that!(status, eq(200));
    expect_that!(metrics, contains_substring("ledgelead_requests_in_flight"));
    node.kill();
}

#[gtest]
fn several_nodes_run_in_one_process() {
    let nodes: Vec<RunningNode> = (0..4).map(|_| start()).collect();
    for node in &nodes {
        expect_that!(get(node.administration_address, "/healthz").0, eq(200));
    }
}

#[gtest]
fn a_stop_without_requests_in_flight_succeeds() {
    let node = start();
    let address = node.http_address;
    expect_that!(node.stop(), eq(true));
    expect_that!(std::net::TcpStream::connect(address).is_err(), eq(true));
}

/// Sends a request on a keep-alive connection and returns the header of the response,
/// or an empty string if the connection has ended.
fn request_again(connection: &mut BufReader<TcpStream>) -> String {
    let request = b"HEAD /v1/none HTTP/1.1\r\nHost: a\r\n\r\n";
    let _ = connection.get_mut().write_all(request);
    let mut header = String::new();
    while let Ok(1..) = connection.read_line(&mut header) {
        if header.ends_with("\r\n\r\n") {
            return header;
        }
    }
    String::new()
}

#[gtest]
fn a_stopping_node_announces_that_it_closes_connections() {
    let node = start();
    let stream = TcpStream::connect(node.http_address).expect("connected");
    let mut connection = BufReader::new(stream);
    let first = request_again(&mut connection);
    expect_that!(first, contains_substring("Ledgelead-Outcome: not-run"));
    expect_that!(first, not(contains_substring("Connection: close")));
    let stopping = std::thread::spawn(move || node.stop());
    let last = loop {
        let header = request_again(&mut connection);
        if header.is_empty() || header.contains("Connection: close") {
            break header;
        }
    };
    expect_that!(last, contains_substring("Connection: close\r\n"));
    expect_that!(last, contains_substring("Ledgelead-Outcome: not-run"));
    drop(connection);
    expect_that!(stopping.join().expect("no panic"), eq(true));
}
