//! Time of a dispatcher's decision with many requests in its queue.
//!
//! `cargo run --release -p ledgelead-router --example dispatch_bench`: nanoseconds for a request
//! that is queued, and for the return of a permit that hands it to the next. Each is the
//! median of the rounds; compare them within one run, not between machines.

use ledgelead_router::dispatch::{
    Admission, DispatchRequest, Dispatcher, PermitId, PermitOutcome, QueueKind, Server,
};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Rounds of which the median is printed.
const ROUNDS: usize = 20_000;
/// Work of a request.
const WORK: Duration = Duration::from_millis(100);

fn request(number: u64) -> DispatchRequest {
    DispatchRequest {
        queue: 1,
        kind: QueueKind::Owner,
        requester: PermitId {
            node: SocketAddr::from(([10, 0, 0, 1], 7_000)),
            number,
        },
        urgency: (number % 3) as u8,
        // Far away, so that so many wait at all.
        to_target: Duration::from_secs(3_600),
        left: Duration::from_secs(3_600),
        caller: number,
        is_cold: false,
        tried: None,
    }
}

fn server() -> [Server; 1] {
    [Server {
        id: 1,
        slots: 2,
        is_cold: false,
        service_time: Some(WORK),
    }]
}

fn median(mut samples: Vec<u128>) -> u128 {
    samples.sort_unstable();
    samples[samples.len() / 2]
}

fn measure(waiting: u64) -> (u128, u128) {
    let now = Duration::from_secs(1);
    let mut dispatcher = Dispatcher::default();
    let mut out = VecDeque::new();
    let mut number = 0;
    while number < waiting + 3 {
        number += 1;
        let decided = dispatcher.request_permit(&request(number), server, now);
        let granted = decided.into_iter().flatten();
        let granted = granted.filter(|one| matches!(one.admission, Admission::Granted(_)));
        out.extend(granted.map(|one| one.requester));
    }
    let mut requests = Vec::with_capacity(ROUNDS);
    let mut returns = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let Some(ended) = out.pop_front() else {
            break;
        };
        let outcome = PermitOutcome::Answered {
            took: WORK,
            load: None,
        };
        let began = Instant::now();
        let decided = dispatcher.return_permit(1, ended, outcome, now);
        returns.push(began.elapsed().as_nanos());
        out.extend(decided.iter().map(|one| one.requester));
        number += 1;
        let next = request(number);
        let began = Instant::now();
        dispatcher.request_permit(&next, server, now);
        requests.push(began.elapsed().as_nanos());
    }
    (median(requests), median(returns))
}

fn main() {
    for waiting in [10, 100, 900] {
        let (ask, returned) = measure(waiting);
        println!("{waiting} waiting: ask {ask} ns, return and next permit {returned} ns");
    }
}
