//! Log lines are JSON objects with a fixed set of fields.

use googletest::prelude::*;
use ledgelead_node::logging::{EVENT_TARGET, JsonFields, json_line};
use std::time::{Duration, UNIX_EPOCH};

fn line(target: &str, message: &str) -> serde_json::Value {
    let record = log::Record::builder()
        .level(log::Level::Warn)
        .target(target)
        .build();
    let time = UNIX_EPOCH + Duration::from_millis(1_500);
    let line = json_line(Some("node-3/forward"), time, &record, &message);
    serde_json::from_str(&line).expect("a line is one JSON object")
}

#[gtest]
fn any_message_is_logged_as_one_json_object() {
    let line = line("peer", "a \"quoted\"\nline \u{1}");
    expect_that!(line["time"].as_f64(), some(eq(1.5)));
    expect_that!(line["level"].as_str(), some(eq("warn")));
    expect_that!(line["node"].as_str(), some(eq("node-3")));
    expect_that!(line["module"].as_str(), some(eq("peer")));
    expect_that!(
        line["message"].as_str(),
        some(eq("a \"quoted\"\nline \u{1}"))
    );
}

#[gtest]
fn events_keep_their_fields() {
    let fields = JsonFields::new()
        .text("event", "lease-lapsed")
        .optional_text("from", None::<&String>)
        .number("attempts", 2)
        .flag("after_loss", true);
    let line = line(EVENT_TARGET, &fields.to_string());
    expect_that!(line["event"].as_str(), some(eq("lease-lapsed")));
    expect_that!(line["from"].is_null(), eq(true));
    expect_that!(line["attempts"].as_u64(), some(eq(2)));
    expect_that!(line["after_loss"].as_bool(), some(eq(true)));
    expect_that!(line.get("message"), none());
}
