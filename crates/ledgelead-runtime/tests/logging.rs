//! Logging while the output accepts no lines.

use googletest::prelude::*;
use ledgelead_runtime::logging::{LineQueue, LineRate};
use serde_json::Value;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Limit for one line, so that a failure doesn't hang the test.
const LINE_TIMEOUT: Duration = Duration::from_secs(30);

/// An output that blocks on each line until it receives a permission for it.
struct StalledOutput {
    permissions: Receiver<()>,
    written: Sender<String>,
    line: Vec<u8>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.permissions.recv().map_err(io::Error::other)?;
            let line = String::from_utf8(std::mem::take(&mut self.line)).unwrap();
            self.written.send(line.trim_end().to_owned()).unwrap();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn a_stalled_output_drops_lines_and_their_number_is_logged() {
    let (allow, permissions) = channel();
    let (written, lines) = channel();
    let output = StalledOutput {
        permissions,
        written,
        line: Vec::new(),
    };
    let queue = LineQueue::new(output, 10).unwrap();
    // None of these calls may block: the output gets its permissions only afterwards. The
    // queue holds 10 lines, and the writer thread may have taken one more.
    for number in 0..1_000 {
        queue.push(format!("line {number}"));
    }
    let dropped = queue.dropped();
    expect_that!(dropped, ge(989));
    expect_that!(dropped, le(990));
    for _ in 0..1_000 {
        allow.send(()).unwrap();
    }
    let take = || lines.recv_timeout(LINE_TIMEOUT).expect("a line");
    // Takes all lines that were not dropped. Then the queue has room for another.
    let mut seen: Vec<String> = (0..1_000 - dropped).map(|_| take()).collect();
    queue.push("the last".to_owned());
    while seen.last().is_none_or(|line| line != "the last") {
        seen.push(take());
    }
    let written: Vec<&String> = seen
        .iter()
        .filter(|line| line.starts_with("line "))
        .collect();
    expect_that!(written[0], eq("line 0"));
    expect_that!(written.len() as u64, eq(1_000 - dropped));
    // The number of `lines_dropped` events depends on the timing of the writer.
    let reported: u64 = seen
        .iter()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|line| line["event"]["event"] == "lines_dropped")
        .filter_map(|line| line["event"]["count"].as_u64())
        .sum();
    expect_that!(reported, eq(dropped));
}

/// Lines carry what clients choose: targets, hosts and ids.
#[gtest]
fn long_lines_take_no_more_memory_than_short_ones() {
    const LINE_BYTES: usize = 10_000;
    const LINES: usize = 1_000;
    let (_allow, permissions) = channel();
    let (written, _lines) = channel();
    let output = StalledOutput {
        permissions,
        written,
        line: Vec::new(),
    };
    let queue = LineQueue::new(output, 2 * LINES).unwrap();
    for _ in 0..LINES {
        queue.push("x".repeat(LINE_BYTES));
    }
    let queued = LINES as u64 - queue.dropped();
    expect_that!(queued * LINE_BYTES as u64, le(1 << 20));
}

#[gtest]
fn storm_of_failed_attempts_does_not_flood_the_log() {
    // 2,700 attempts a second, each with a line.
    let mut rate = LineRate::default();
    let line = |number: u64| Duration::from_micros(number * 370);
    let written = (0..27_000).filter(|number| rate.admits(line(*number)));
    expect_that!(written.count(), all!(gt(5_000), lt(6_100)));
    // Later lines are written again.
    expect_that!(rate.admits(line(27_000) + Duration::from_secs(1)), eq(true));
}
