//! Serves the platform's object API on a socket (`docs/platform-interface.md`).

use super::clock::WallClock;
use super::http::{self, HttpListener};
use crate::standin::platform::{PlatformResponse, PlatformState, WatchId};
use ledgelead_types::platform::{
    MachineEntry, MachineState, ObjectVersion, PlatformCall, PlatformError, PlatformReply,
};
use ledgelead_types::{Bytes, Span, Text, Time};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tiny_http::{Method, Request};

/// Maximum time that a watch waits for a newer object.
const MAX_WATCH: Span = Span::from_seconds(30);
/// Interval between checks for watches that have timed out.
const IDLE_WAIT: Duration = Duration::from_millis(10);
/// Path of the machine list.
const MACHINES_PATH: &str = "/machines";
/// Prefix of object paths.
const OBJECTS_PATH: &str = "/objects/";
/// Header with an object's version.
const VERSION_HEADER: &str = "Object-Version";

/// The platform, which listens until it is dropped.
pub struct PlatformEndpoint {
    state: Arc<Mutex<PlatformState>>,
    clock: WallClock,
    server: Arc<HttpListener>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PlatformEndpoint {
    /// Starts a platform without objects.
    pub fn start(clock: WallClock) -> io::Result<PlatformEndpoint> {
        let server = Arc::new(HttpListener::start()?);
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let serving = ServerThread {
            state: Arc::clone(&state),
            clock,
            watches: BTreeMap::new(),
        };
        let (listening, stopping) = (Arc::clone(&server), Arc::clone(&stop));
        let thread = thread::Builder::new()
            .name("lab-platform".to_owned())
            .spawn(move || serving.run(&listening, &stopping))?;
        Ok(PlatformEndpoint {
            state,
            clock,
            server,
            stop,
            thread: Some(thread),
        })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes an object without the HTTP interface, before it is read.
    pub fn put(&self, name: &str, value: Vec<u8>) {
        let call = PlatformCall::CompareAndSwap {
            name: Text::from(name),
            expected: ObjectVersion(0),
            value: Bytes(value),
        };
        let mut state = self.state.lock().expect("platform state");
        state.call(self.clock.now(), &call);
    }

    /// Updates the state of a machine.
    pub fn set_machine(&self, entry: MachineEntry) {
        let mut state = self.state.lock().expect("platform state");
        state.set_machine(self.clock.now(), entry);
    }
}

impl Drop for PlatformEndpoint {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.server.server().unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported on standard error.
            let _ = thread.join();
        }
    }
}

/// A watch that waits for a newer object.
struct PendingWatch {
    request: Request,
    until: Time,
}

struct ServerThread {
    state: Arc<Mutex<PlatformState>>,
    clock: WallClock,
    watches: BTreeMap<WatchId, PendingWatch>,
}

impl ServerThread {
    fn run(mut self, listening: &HttpListener, stop: &AtomicBool) {
        let mut next_wake = self.clock.now();
        while !stop.load(Ordering::SeqCst) {
            let now = self.clock.now();
            if now >= next_wake {
                listening.wake_queued();
                next_wake = now + http::WAKE_INTERVAL;
            }
            match listening.server().recv_timeout(IDLE_WAIT) {
                Ok(Some(request)) => self.serve(request),
                Ok(None) => {}
                Err(error) => log::warn!("the platform's socket failed: {error}"),
            }
            self.answer_ready_watches();
            self.end_old_watches();
        }
    }

    fn serve(&mut self, mut request: Request) {
        let Some(call) = read_call(&mut request) else {
            return http::answer(request, 404, Vec::new(), &[]);
        };
        let now = self.clock.now();
        let response = self
            .state
            .lock()
            .expect("platform state")
            .call(now, &call.call);
        match response {
            PlatformResponse::Ended(result) => answer(request, result),
            PlatformResponse::Watching(watch) => {
                let until = now + call.wait.min(MAX_WATCH);
                self.watches.insert(watch, PendingWatch { request, until });
            }
        }
    }

    fn answer_ready_watches(&mut self) {
        let ready = self
            .state
            .lock()
            .expect("platform state")
            .take_ready_watches();
        for (watch, result) in ready {
            if let Some(pending) = self.watches.remove(&watch) {
                answer(pending.request, result);
            }
        }
    }

    fn end_old_watches(&mut self) {
        let now = self.clock.now();
        let old = self
            .watches
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(watch, _)| *watch)
            .collect::<Vec<_>>();
        for watch in old {
            let result = self.state.lock().expect("platform state").end_watch(watch);
            if let (Some(pending), Some(result)) = (self.watches.remove(&watch), result) {
                answer(pending.request, result);
            }
        }
    }
}

/// A parsed call and the wait time of a watch.
struct ReadCall {
    call: PlatformCall,
    wait: Span,
}

/// Parses a call; `None` if there is no such call.
fn read_call(request: &mut Request) -> Option<ReadCall> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    if *request.method() == Method::Get && path == MACHINES_PATH {
        return Some(ReadCall {
            call: PlatformCall::ListMachines,
            wait: Span::ZERO,
        });
    }
    let name = Text::from(path.strip_prefix(OBJECTS_PATH)?);
    let wait = Span::from_millis(parameter(query, "wait_ms").unwrap_or(0));
    let call = match request.method() {
        Method::Get => match parameter(query, "after") {
            Some(after) => PlatformCall::Watch {
                name,
                after: ObjectVersion(after),
            },
            None => PlatformCall::Get { name },
        },
        Method::Put => PlatformCall::CompareAndSwap {
            name,
            expected: ObjectVersion(http::header_of(request, "If-Match")?.parse().ok()?),
            value: Bytes(http::read_body(request).ok()?),
        },
        _ => return None,
    };
    Some(ReadCall { call, wait })
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn answer(request: Request, result: Result<PlatformReply, PlatformError>) {
    let version = |version: ObjectVersion| [(VERSION_HEADER, version.0.to_string())];
    match result {
        Ok(PlatformReply::Object { version: of, value }) => {
            http::answer(request, 200, value.0, &version(of));
        }
        Ok(PlatformReply::NotFound) => http::answer(request, 404, Vec::new(), &[]),
        Ok(PlatformReply::Unchanged) => http::answer(request, 304, Vec::new(), &[]),
        Ok(PlatformReply::Swapped { version: of }) => {
            http::answer(request, 200, Vec::new(), &version(of));
        }
        Ok(PlatformReply::Conflict { version: of }) => {
            http::answer(request, 412, Vec::new(), &version(of));
        }
        Ok(PlatformReply::Machines(machines)) => {
            http::answer(request, 200, machine_list(&machines), &[]);
        }
        Err(PlatformError::Unavailable) => http::answer(request, 503, Vec::new(), &[]),
        // The library responds with status 500 to a dropped request, so the caller can't tell
        // whether the call took effect.
        Err(PlatformError::AnswerLost) => drop(request),
    }
}

fn machine_list(machines: &[MachineEntry]) -> Vec<u8> {
    let entries = machines.iter().map(|machine| {
        serde_json::json!({
            "node": machine.node.0,
            "zone": machine.zone.0,
            "address": machine.address.0,
            "state": state_name(machine.state),
        })
    });
    serde_json::Value::from_iter(entries)
        .to_string()
        .into_bytes()
}

fn state_name(state: MachineState) -> &'static str {
    match state {
        MachineState::Live => "live",
        MachineState::Leaving => "leaving",
        MachineState::Gone => "gone",
    }
}
