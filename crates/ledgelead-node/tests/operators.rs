//! The administration interface of a running node without a platform, and the command
//! line as its client.

mod support;

use googletest::prelude::*;
use ledgelead_node::RunningNode;
use ledgelead_node::command_line::{self, HELP};
use support::running_node::start;
use support::{RawServer, Script, closed_address};

fn post(node: &RunningNode, path: &str, body: &str) -> (u16, serde_json::Value) {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent();
    let url = format!("http://{}{path}", node.administration_address);
    let mut response = agent.post(url).send(body).expect("the node answers");
    let text = response.body_mut().read_to_string().expect("a text");
    let body = serde_json::from_str(&text).expect("JSON");
    (response.status().as_u16(), body)
}

/// The output of a command line, or its exit code and error message.
fn run(address: &str, words: &[&str]) -> std::result::Result<String, (u8, String)> {
    let flags = ["--address", address];
    let words = words.iter().chain(&flags).map(Into::into).collect();
    let mut output = Vec::new();
    command_line::parse(words)
        .and_then(|invocation| command_line::run(invocation, &mut output))
        .map_err(|error| (error.exit_code(), error.to_string()))?;
    Ok(String::from_utf8(output).expect("UTF-8"))
}

#[gtest]
fn queries_and_commands_return_their_status_codes() {
    let node = start();
    let (status, body) = post(&node, "/v1/query", r#"{"text": "show nodes; show tiers"}"#);
    expect_that!(status, eq(200));
    expect_that!(
        body["tables"][0]["rows"][0]["node"],
        eq(&serde_json::json!("node-1"))
    );
    expect_that!(body["tables"][1]["rows"], eq(&serde_json::json!([])));
    let (status, body) = post(&node, "/v1/query", r#"{"text": "show teirs of x limit y"}"#);
    expect_that!(status, eq(422));
    expect_that!(
        body["error"]["findings"].as_array().map(Vec::len),
        some(eq(4))
    );
    expect_that!(post(&node, "/v1/query", "show nodes").0, eq(400));
    expect_that!(
        post(&node, "/v1/command", r#"{"text": "create zone a"}"#).0,
        eq(400)
    );
    let command = r#"{"text": "create zone a", "id": "c-1"}"#;
    let (status, body) = post(&node, "/v1/command", command);
    expect_that!(status, eq(503));
    expect_that!(
        body["error"]["code"],
        eq(&serde_json::json!("platform-unavailable"))
    );
}

#[gtest]
fn command_line_failures_have_their_exit_codes() {
    let node = start();
    let address = node.administration_address.to_string();
    let tables = run(&address, &["status"]).expect("an answer");
    expect_that!(tables, contains_substring("node-1"));
    let json = run(&address, &["query", "--json", "show nodes"]).expect("an answer");
    expect_that!(json, starts_with("{\"silent_nodes\""));
    let watched = run(
        &address,
        &["watch", "--count", "2", "--interval", "0", "show zones"],
    );
    expect_that!(
        watched.expect("two answers").matches("region").count(),
        eq(2)
    );
    let code = |words: &[&str]| run(&address, words).expect_err("a failure").0;
    expect_that!(code(&["query", "show zoness"]), eq(2));
    expect_that!(code(&["query", "--wait", "show zones"]), eq(2));
    expect_that!(code(&["command", "create zone a"]), eq(5));
    let closed = closed_address().to_string();
    expect_that!(
        run(&closed, &["command", "create zone a"]).map_err(|error| error.0),
        err(eq(&1))
    );
    for words in [
        "query",
        "command",
        "status",
        "watch",
        "completion",
        "--if-version",
    ] {
        expect_that!(HELP, contains_substring(words));
    }
}

/// Each response of a server under the test's control leads to its exit code.
#[gtest]
fn responses_are_mapped_to_exit_codes() {
    let answers: [(&'static [u8], u8); 5] = [
        (
            b"HTTP/1.1 401 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            3,
        ),
        (
            b"HTTP/1.1 409 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            4,
        ),
        (
            b"HTTP/1.1 504 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            6,
        ),
        (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"version\":4,\"lagging\":[\"node-3\"]}",
            7,
        ),
        // The connection ends without a response: the command may have taken effect.
        (b"", 6),
    ];
    let server = RawServer::start(
        answers
            .iter()
            .map(|(bytes, _)| Script::Answer(bytes))
            .collect(),
    );
    let address = server.address.to_string();
    for (_, exit_code) in answers {
        let words = ["command", "--id", "c-7", "create zone a"];
        let (code, message) = run(&address, &words).expect_err("a failure");
        expect_that!(code, eq(exit_code), "{message}");
        if code == 6 {
            expect_that!(message, contains_substring("--id c-7"));
        }
    }
    let requests = server.finish();
    expect_that!(requests[0], contains_substring("\"id\":\"c-7\""));
}
