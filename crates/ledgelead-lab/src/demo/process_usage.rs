//! Processor time, threads and memory of this process, from `/proc/self`.
//!
//! Threads are distinguished by their names: those of the lab start with `lab`, those of nodes
//! with `node-`, and a thread without a name inherits that of the thread that started it.

use std::fs;
use std::io;

/// Prefix of the names of node threads.
const NODE_PREFIX: &str = "node-";
/// Clock ticks per second in the files of `/proc`, a constant of the kernel's user-space
/// interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of a `stat` file after the name, counted from 0: time in user mode and in kernel
/// mode.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Resources used by the process so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of the nodes' running threads, in seconds.
    pub node_cpu_seconds: f64,
    /// Processor time of the whole process, in seconds.
    pub cpu_seconds: f64,
    /// Number of node threads.
    pub node_threads: usize,
    /// Number of all threads.
    pub threads: usize,
    /// Resident memory of the whole process, in bytes.
    pub resident_bytes: u64,
}

/// Reads the current usage.
pub fn read() -> io::Result<ProcessUsage> {
    let mut usage = ProcessUsage {
        resident_bytes: resident_bytes(&fs::read_to_string("/proc/self/status")?),
        ..ProcessUsage::default()
    };
    if let Some(process) = parse_stat(&fs::read_to_string("/proc/self/stat")?) {
        usage.cpu_seconds = process.cpu_seconds;
    }
    for task in fs::read_dir("/proc/self/task")? {
        // A thread may end after it was listed.
        let Ok(stat) = fs::read_to_string(task?.path().join("stat")) else {
            continue;
        };
        let Some(thread) = parse_stat(&stat) else {
            continue;
        };
        usage.threads += 1;
        if thread.name.starts_with(NODE_PREFIX) {
            usage.node_threads += 1;
            usage.node_cpu_seconds += thread.cpu_seconds;
        }
    }
    Ok(usage)
}

/// Name and processor time of a thread or process.
struct Stat<'a> {
    name: &'a str,
    cpu_seconds: f64,
}

/// Parses `id (name) state ...`; the name may contain parentheses.
fn parse_stat(line: &str) -> Option<Stat<'_>> {
    let (start, end) = (line.find('(')?, line.rfind(')')?);
    let fields = line[end + 1..].split_whitespace().collect::<Vec<_>>();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(Stat {
        name: &line[start + 1..end],
        cpu_seconds: (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND,
    })
}

fn resident_bytes(status: &str) -> u64 {
    const KIBIBYTE: u64 = 1_024;
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok())
        .map_or(0, |kibibytes| kibibytes * KIBIBYTE)
}
