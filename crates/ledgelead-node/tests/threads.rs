//! A node that has ended leaves no threads running. The test is the only one in its file,
//! because it counts the threads of its process.

#![cfg(target_os = "linux")]

mod support;

use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::running_node::start;

/// Timeout for the node's threads to end; idle threads of the HTTP library end after 5 s.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Consecutive equal readings that count as the end. One is not enough: the list of tasks
/// is read entry by entry and may miss a task while others end.
const SETTLED_READINGS: u32 = 1_000;

fn threads() -> usize {
    std::fs::read_dir("/proc/self/task").expect("tasks").count()
}

#[gtest]
fn an_ended_node_leaves_no_thread() {
    let before = threads();
    let node = start();
    let mut callers: Vec<TcpStream> = (0..20)
        .map(|_| TcpStream::connect(node.http_address).expect("connected"))
        .collect();
    for caller in &mut callers {
        caller
            .write_all(b"GET /v1/s HTTP/1.1\r\n")
            .expect("written");
    }
    expect_that!(threads(), gt(before));
    node.kill();
    let until = Instant::now() + TEST_TIMEOUT;
    let mut settled = 0;
    while settled < SETTLED_READINGS && Instant::now() < until {
        settled = if threads() == before { settled + 1 } else { 0 };
        std::thread::yield_now();
    }
    expect_that!(settled, eq(SETTLED_READINGS));
}
