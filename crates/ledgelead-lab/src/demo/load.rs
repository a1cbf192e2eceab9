//! Sends the planned requests of a load from separate threads.

use super::caller::{self, Client, Targets};
use super::clock::WallClock;
use super::configuration;
use super::records::{CallerLog, CallerRecord};
use super::workload::{self, LoadShape, PlannedRequest};
use ledgelead_types::{Span, Time};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pacing {
    /// Requests are sent when they are due, regardless of earlier responses, as long as a
    /// thread is available.
    OpenLoop,
    /// Requests are sent as soon as a thread has the response to its previous one, for this
    /// duration.
    ClosedLoop(Span),
}

/// Requests, targets and pacing of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The requests in the order in which they are due.
    pub requests: Vec<PlannedRequest>,
    /// Their targets.
    pub targets: Targets,
    /// Credentials of the callers.
    pub credentials: Vec<String>,
    /// Number of sending threads, which is the maximum number of requests in flight.
    pub threads: usize,
    /// Number of threads that share an HTTP client and its connections. Sharing saves
    /// connections, but the client's lock becomes a bottleneck if too many threads share it.
    pub threads_per_client: usize,
    /// When requests are sent.
    pub pacing: Pacing,
}

impl LoadSettings {
    /// Settings for an open loop of the deployment's callers, in which all `threads` share one
    /// client.
    pub fn open_loop(shape: &LoadShape, targets: Targets, threads: usize) -> LoadSettings {
        LoadSettings {
            requests: workload::plan(shape),
            targets,
            credentials: configuration::credentials(),
            threads,
            threads_per_client: threads,
            pacing: Pacing::OpenLoop,
        }
    }
}

/// A running load.
pub struct Load {
    threads: Vec<JoinHandle<()>>,
    log: CallerLog,
}

/// State shared by the sending threads.
struct Schedule {
    clock: WallClock,
    start: Time,
    settings: LoadSettings,
    next: AtomicUsize,
    log: CallerLog,
}

impl Load {
    /// Starts to send requests.
    pub fn start(clock: WallClock, settings: LoadSettings) -> io::Result<Load> {
        let threads = settings.threads;
        let sharing = settings.threads_per_client;
        let targets = settings.targets.clone();
        let log = CallerLog::default();
        let schedule = Arc::new(Schedule {
            clock,
            start: clock.now(),
            settings,
            next: AtomicUsize::new(0),
            log: log.clone(),
        });
        let mut clients = Vec::new();
        clients.resize_with(threads.div_ceil(sharing), || Client::new(&targets));
        let threads = (0..threads)
            .map(|index| {
                let schedule = Arc::clone(&schedule);
                let client = clients[index / sharing].clone();
                thread::Builder::new()
                    .name("lab-caller".to_owned())
                    .spawn(move || schedule.send_all(&client))
            })
            .collect::<io::Result<Vec<_>>>()?;
        Ok(Load { threads, log })
    }

    /// The records so far.
    pub fn log(&self) -> &CallerLog {
        &self.log
    }

    /// Whether every request has an outcome.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Waits until every request has an outcome.
    pub fn finish(self) -> Vec<CallerRecord> {
        for thread in self.threads {
            thread.join().expect("a sending thread panicked");
        }
        self.log.snapshot()
    }
}

impl Schedule {
    fn send_all(&self, client: &Client) {
        let settings = &self.settings;
        while let Some(request) = self.next_request() {
            let Some(due) = self.wait_until_due(request) else {
                return;
            };
            let sent = caller::send(client, &settings.targets, &settings.credentials, request);
            self.log.push(CallerRecord {
                request: request.request,
                position: request.position(),
                once_only: request.once_only,
                due,
                finished: self.clock.now(),
                node: sent.node,
                outcome: sent.outcome,
            });
        }
    }

    fn next_request(&self) -> Option<&PlannedRequest> {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        self.settings.requests.get(index)
    }

    /// Waits until a request is due and returns that time; `None` if the load is over.
    fn wait_until_due(&self, request: &PlannedRequest) -> Option<Time> {
        match self.settings.pacing {
            Pacing::OpenLoop => {
                let due = self.start + request.due;
                self.clock.sleep_until(due);
                Some(due)
            }
            Pacing::ClosedLoop(duration) => {
                let now = self.clock.now();
                (now.since(self.start) < duration).then_some(now)
            }
        }
    }
}
