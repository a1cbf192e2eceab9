//! Settings are parsed completely, and every error is reported with its location.

use googletest::prelude::*;
use ledgelead_node::Settings;
use ledgelead_node::settings::Overrides;
use std::time::Duration;

const VALID: &str = r#"
[node]
id = 3
zone = 2
[listen]
callers = "127.0.0.1:8080"
administration = "127.0.0.1:9080"
peers = "127.0.0.1:7003"
[cluster]
key = "a key for tests only"
seeds = [{ node = 1, address = "127.0.0.1:7001" }, { node = 2, address = "127.0.0.1:7002" }]
[platform]
address = "127.0.0.1:5000"
[limits]
max-body-bytes = 1_000
caller-time-ms = 250
[log]
level = "debug"
"#;

const INVALID: &str = r#"
[node]
id = -3
zon = 2
[listen]
callers = "localhost:8080"
administration = 9080
[cluster]
key = "short"
seeds = [{ node = 1 }, { node = 70000000000, address = "127.0.0.1:7002" }, 5]
[limits]
max-body-byte = 1
caller-time-ms = "ten"
[log]
level = "loud"
[extra]
"#;

fn findings(text: &str, overrides: &Overrides) -> String {
    let findings = Settings::parse("node.toml", text, overrides);
    findings.expect_err("mistakes").to_string()
}

#[gtest]
fn valid_settings_are_parsed_and_flags_override_them() {
    let overrides = Overrides {
        node: Some("9".to_owned()),
        peer_address: Some("127.0.0.1:0".to_owned()),
        ..Overrides::default()
    };
    let settings = Settings::parse("node.toml", VALID, &overrides).expect("no mistakes");
    expect_that!(settings.node.0, eq(9));
    expect_that!(settings.zone.0, eq(2));
    expect_that!(settings.peer_address.port(), eq(0));
    expect_that!(settings.seeds.len(), eq(2));
    expect_that!(settings.limits.max_body_bytes, eq(1_000));
    expect_that!(settings.limits.caller_time, eq(Duration::from_millis(250)));
    expect_that!(settings.log_level, eq(log::LevelFilter::Debug));
    expect_that!(
        format!("{settings:?}"),
        not(contains_substring("a key for tests"))
    );
}

#[gtest]
fn all_errors_are_reported_together() {
    insta::assert_snapshot!(findings(INVALID, &Overrides::default()));
}

#[gtest]
fn empty_and_broken_files_are_reported() {
    insta::assert_snapshot!("empty", findings("", &Overrides::default()));
    let broken = VALID
        .replace("zone = 2", "zone = ")
        .replace("level = \"debug\"", "level = debug");
    insta::assert_snapshot!("broken", findings(&broken, &Overrides::default()));
    let unclosed = VALID.replace("id = 3", "id = [");
    insta::assert_snapshot!("unclosed", findings(&unclosed, &Overrides::default()));
}

#[gtest]
fn invalid_flags_are_reported_after_the_errors_of_the_file() {
    let overrides = Overrides {
        zone: Some("kennedy".to_owned()),
        platform_address: Some("platform:80".to_owned()),
        log_level: Some("all".to_owned()),
        ..Overrides::default()
    };
    let text = VALID.replace("id = 3", "id = 3.5");
    insta::assert_snapshot!(findings(&text, &overrides));
}
