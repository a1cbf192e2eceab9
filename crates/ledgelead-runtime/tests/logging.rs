//! Logs while nobody reads them.

use googletest::prelude::*;
use ledgelead_runtime::logging::LineQueue;
use serde_json::Value;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Nothing here takes long; a fault must not hang the tests.
const PATIENCE: Duration = Duration::from_secs(30);

/// An output that takes a line only when it is let.
struct Stalled {
    lets: Receiver<()>,
    taken: Sender<String>,
    line: Vec<u8>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.lets.recv().map_err(io::Error::other)?;
            let line = String::from_utf8(std::mem::take(&mut self.line)).unwrap();
            self.taken.send(line.trim_end().to_owned()).unwrap();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn a_stalled_reader_costs_lines_and_they_are_told() {
    let (allow, lets) = channel();
    let (taken, lines) = channel();
    let output = Stalled {
        lets,
        taken,
        line: Vec::new(),
    };
    let queue = LineQueue::new(output, 10).unwrap();
    // One more is in the hands of the writer. None of these waits: if one
    // did, nobody would ever let the writer go on.
    for number in 0..1_000 {
        queue.push(format!("line {number}"));
    }
    let dropped = queue.dropped();
    expect_that!(dropped, ge(989));
    expect_that!(dropped, le(990));
    for _ in 0..1_000 {
        allow.send(()).unwrap();
    }
    let take = || lines.recv_timeout(PATIENCE).expect("a line");
    // All that were not dropped; then there is budget.
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
    // How many notes there are depends on when the writer looked.
    let told: u64 = seen
        .iter()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|line| line["event"]["event"] == "lines_dropped")
        .filter_map(|line| line["event"]["count"].as_u64())
        .sum();
    expect_that!(told, eq(dropped));
}
