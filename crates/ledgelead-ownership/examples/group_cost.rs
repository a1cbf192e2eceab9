//! CPU time that one group of three replicas takes per second of virtual time, by its
//! number of servers: `cargo run --release -p ledgelead-ownership --example group_cost`.
//!
//! The figures include the model servers and the encoding of messages. The time is the CPU
//! time of the thread, from the Linux scheduler.

#[path = "../tests/model/mod.rs"]
mod model;

use ledgelead_types::Span;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::protections::Protections;
use model::{Cluster, configuration};
use std::time::Duration;

/// Numbers of servers of the measured groups.
const SERVERS: [u32; 4] = [14, 50, 125, 500];
/// Virtual time in which a group forms and settles.
const FORMING: Span = Span::from_seconds(5);
/// Virtual time that is measured.
const MEASURED: Span = Span::from_seconds(10);

fn main() {
    println!("servers  forming ms/s  settled ms/s  settled µs/s a server");
    for servers in SERVERS {
        let configuration = configuration(servers, Partitioning::Hash);
        let mut cluster = Cluster::with(1, 0, configuration, Protections::default());
        cluster.checks_owners = false;
        let forming = cost(&mut cluster, FORMING);
        assert!(cluster.all_served(), "the group of {servers} has formed");
        let settled = cost(&mut cluster, MEASURED);
        assert!(cluster.all_served(), "the group of {servers} serves");
        let per_server = settled * 1_000.0 / f64::from(servers);
        println!("{servers:7}  {forming:12.2}  {settled:12.2}  {per_server:21.1}");
    }
}

/// Milliseconds of CPU time per second of the span.
fn cost(cluster: &mut Cluster, span: Span) -> f64 {
    let before = processor_time();
    cluster.run(span);
    let spent = processor_time() - before;
    spent.as_secs_f64() * 1_000.0 / span.as_seconds()
}

fn processor_time() -> Duration {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = statistics.split(' ').next();
    let nanoseconds = nanoseconds.and_then(|text| text.parse().ok());
    Duration::from_nanos(nanoseconds.expect("the scheduler counts the thread's time"))
}
