//! Parsing of the command line, and the exit codes of failures.

use googletest::prelude::*;
use ledgelead_node::command_line::{
    EXIT_FAILED, EXIT_USAGE, Invocation, OperatorAction, OperatorInvocation, parse, run,
};
use ledgelead_node::settings::Overrides;
use std::ffi::OsString;

fn parsed(line: &str) -> std::result::Result<Invocation, String> {
    let arguments = line.split_whitespace().map(OsString::from).collect();
    parse(arguments).map_err(|error| error.to_string())
}

#[gtest]
fn node_flags_override_the_file() {
    let invocation = parsed("node --node 3 --config a.toml --callers=127.0.0.1:0");
    let overrides = Overrides {
        node: Some("3".to_owned()),
        callers_address: Some("127.0.0.1:0".to_owned()),
        ..Overrides::default()
    };
    let file = "a.toml".to_owned();
    expect_that!(invocation, ok(eq(&Invocation::Node { file, overrides })));
}

#[gtest]
fn other_commands_are_parsed() {
    let check = Invocation::Check {
        file: "a.toml".to_owned(),
    };
    expect_that!(parsed("check a.toml"), ok(eq(&check)));
    expect_that!(parsed(""), ok(eq(&Invocation::Help)));
    expect_that!(parsed("node --help"), ok(eq(&Invocation::Help)));
    expect_that!(parsed("--version"), ok(eq(&Invocation::Version)));
    let query = parsed("query --address 10.0.0.1:1 servers");
    let expected = pat!(Invocation::Operator(pat!(OperatorInvocation {
        action: eq(&OperatorAction::Query),
        address: eq("10.0.0.1:1"),
        text: some(eq("servers")),
        ..
    })));
    expect_that!(query, ok(expected));
}

#[gtest]
fn usage_errors_refer_to_the_help() {
    let lines = [
        "node",
        "node --config",
        "node --config a.toml b.toml",
        "check",
        "check a b",
        "start",
        "--loud",
    ];
    for line in lines {
        expect_that!(
            parsed(line),
            err(contains_substring("see ledgelead --help")),
            "{line}"
        );
    }
}

#[gtest]
fn exit_codes_distinguish_invalid_input_from_failure() {
    let mut output = Vec::new();
    let check = Invocation::Check {
        file: "no/such/file.toml".to_owned(),
    };
    let error = run(check, &mut output).expect_err("no file");
    expect_that!(error.exit_code(), eq(EXIT_USAGE));
    // Port 1 is reserved, and nothing listens on it here.
    let query = parsed("query --address 127.0.0.1:1 servers").expect("right");
    let error = run(query, &mut output).expect_err("no node");
    expect_that!(error.exit_code(), eq(EXIT_FAILED));
    run(Invocation::Version, &mut output).expect("printed");
    expect_that!(
        String::from_utf8(output).expect("text"),
        starts_with("ledgelead ")
    );
}
