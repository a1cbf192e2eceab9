//! Clients and the responses that they receive.

use super::event::{Caller, Event};
use super::world::{HOST, ONCE, READ, SHARDED, World};
use ledgelead_http::{Request, Response};
use ledgelead_router::io::{ClientId, Input};
use ledgelead_router::node::Node;
use rand::RngExt;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// How long a client waits, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Source address of clients.
const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 3, 1));

/// Adjacent keys that receive most of the load in runs with hot keys.
const HOT_KEYS: Range<u16> = 1_000..1_040;

/// Body of the response that refuses a request known to crash instances.
const QUARANTINED_BODY: &[u8] = b"quarantined";
/// Every n-th request uses one of a few recurring paths.
const HOT_EVERY: u64 = 3;
/// Number of recurring paths.
const HOT_PATHS: u64 = 2;

/// The last segment of a request's path.
fn path_of(attempt: u64) -> String {
    match attempt % HOT_EVERY {
        0 => format!("hot{}", attempt / HOT_EVERY % HOT_PATHS),
        _ => format!("x{attempt}"),
    }
}

#[derive(Clone, Debug)]
struct PendingRequest {
    attempt: u64,
    once: bool,
    target: Arc<str>,
}

/// Requests that await a response.
#[derive(Default)]
pub struct Clients {
    last: u64,
    pending: HashMap<(Caller, ClientId), PendingRequest>,
    lost: u64,
}

impl Clients {
    /// Drops the pending requests of a node whose process ended; they get no response.
    pub fn node_lost(&mut self, caller: Caller) {
        let before = self.pending.len();
        self.pending.retain(|(node, _), _| *node != caller);
        self.lost += (before - self.pending.len()) as u64;
    }

    /// Records a request sent to a node.
    pub(super) fn expect(&mut self, caller: Caller, attempt: u64, once: bool, target: Arc<str>) {
        let request = PendingRequest {
            attempt,
            once,
            target,
        };
        self.pending.insert((caller, ClientId(attempt)), request);
    }

    /// Number of requests that got no response.
    pub fn open(&self) -> u64 {
        self.lost + self.pending.len() as u64
    }
}

impl World {
    /// Indexes of the ready nodes.
    pub(super) fn ready_nodes(&self) -> Vec<usize> {
        let is_ready = |index: &usize| {
            let node = self.nodes[*index].node.as_ref();
            node.is_some_and(Node::is_ready)
        };
        (0..self.nodes.len()).filter(is_ready).collect()
    }

    /// Sends a client request to a random ready node.
    pub(super) fn send_client_request(&mut self) {
        let ready = self.ready_nodes();
        if ready.is_empty() {
            return;
        }
        let index = ready[self.rng.random_range(0..ready.len())];
        let caller = (index, self.nodes[index].incarnation);
        self.clients.last += 1;
        let attempt = self.clients.last;
        let once = self.rng.random_range(0..4) == 0;
        let mut service = if once { ONCE } else { SHARDED };
        // If the unsharded `READ` service exists, half of the other requests go to it.
        if !once && !self.crashing.is_empty() && attempt.is_multiple_of(2) {
            service = READ;
        }
        let target = format!("/{service}/{}", path_of(attempt));
        let mut request = Request::new("GET", target, Vec::new());
        request.headers.push("host", HOST);
        request.headers.push("attempt", attempt.to_string());
        request.headers.push("deadline", DEADLINE_MS.to_string());
        if service == SHARDED {
            let key = self.draw_key();
            request.headers.push("key", key.to_string());
        }
        let client = ClientId(attempt);
        let target = Arc::from(request.target.as_str());
        self.clients.expect(caller, attempt, once, target);
        self.report.requests += 1;
        self.isolations.request_sent(attempt, index, self.now);
        let input = Input::Request {
            client,
            source: CALLER,
            request,
        };
        self.schedule(Duration::ZERO, Event::Input(caller, input));
    }

    fn draw_key(&mut self) -> u16 {
        let hot = self.settings.hot_from.is_some_and(|from| from <= self.now);
        if hot && self.rng.random_range(0..10) > 0 {
            return HOT_KEYS.start + self.rng.random_range(0..HOT_KEYS.end - HOT_KEYS.start);
        }
        self.rng.random()
    }

    /// Handles the response of a node to a client.
    pub(super) fn client_answered(
        &mut self,
        caller: Caller,
        client: ClientId,
        response: &Response,
    ) {
        let Some(request) = self.clients.pending.remove(&(caller, client)) else {
            // The response to a crashing request.
            self.report.held_back += u64::from(response.body == QUARANTINED_BODY);
            return;
        };
        match response.status {
            200 => {
                self.report.answered += 1;
                self.isolations.request_served(request.attempt);
                self.held_back.answered(caller.0, &request.target);
                let answered_attempt = response.headers.number("attempt");
                self.checker
                    .answered(request.attempt, answered_attempt, self.now);
            }
            503 => {
                let is_quarantined = response.body == QUARANTINED_BODY;
                if is_quarantined && self.held_back.refused(caller.0, &request.target, self.now) {
                    self.checker.harmless_request_quarantined(
                        request.attempt,
                        &request.target,
                        caller.0,
                        self.now,
                    );
                }
                self.report.refused += 1;
                self.checker
                    .refused(request.attempt, request.once, self.now);
            }
            _ => self.report.unknown += 1,
        }
    }
}
