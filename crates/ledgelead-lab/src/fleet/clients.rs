//! Clients, and what they were told.

use super::event::{Caller, Event};
use super::world::{HOST, ONCE, SHARDED, World};
use ledgelead_http::{Request, Response};
use ledgelead_router::io::{ClientId, Input};
use rand::RngExt;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::Range;
use std::time::Duration;

/// Time that a client waits, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Where clients connect from.
const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 3, 1));

/// Neighbouring keys that much is asked of, if a run has hot keys.
const HOT_KEYS: Range<u16> = 1_000..1_040;

#[derive(Clone, Copy, Debug)]
struct Asked {
    attempt: u64,
    once: bool,
}

/// Requests without an answer.
#[derive(Default)]
pub struct Clients {
    last: u64,
    asked: HashMap<(Caller, ClientId), Asked>,
    lost: u64,
}

impl Clients {
    /// A node's process ended: its clients get no answer.
    pub fn node_lost(&mut self, caller: Caller) {
        let before = self.asked.len();
        self.asked.retain(|(node, _), _| *node != caller);
        self.lost += (before - self.asked.len()) as u64;
    }

    /// How many got no answer.
    pub fn open(&self) -> u64 {
        self.lost + self.asked.len() as u64
    }
}

impl World {
    /// A client sends a request to some node that is ready.
    pub(super) fn client_asks(&mut self) {
        let ready: Vec<usize> = (0..self.nodes.len())
            .filter(|index| {
                let simulated = &self.nodes[*index];
                simulated.node.as_ref().is_some_and(|node| node.is_ready())
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        let index = ready[self.rng.random_range(0..ready.len())];
        let caller = (index, self.nodes[index].life);
        self.clients.last += 1;
        let attempt = self.clients.last;
        let once = self.rng.random_range(0..4) == 0;
        let service = if once { ONCE } else { SHARDED };
        let mut request = Request::new("GET", format!("/{service}/x"), Vec::new());
        request.headers.push("host", HOST);
        request.headers.push("attempt", attempt.to_string());
        request.headers.push("deadline", DEADLINE_MS.to_string());
        if !once {
            let key = self.draw_key();
            request.headers.push("key", key.to_string());
        }
        let client = ClientId(attempt);
        self.clients
            .asked
            .insert((caller, client), Asked { attempt, once });
        self.report.requests += 1;
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

    /// A node answers a client.
    pub(super) fn client_answered(
        &mut self,
        caller: Caller,
        client: ClientId,
        response: &Response,
    ) {
        let Some(asked) = self.clients.asked.remove(&(caller, client)) else {
            return;
        };
        match response.status {
            200 => {
                self.report.answered += 1;
                let carried = response.headers.number("attempt");
                self.checker.answered(asked.attempt, carried, self.now);
            }
            503 => {
                self.report.refused += 1;
                self.checker.refused(asked.attempt, asked.once, self.now);
            }
            _ => self.report.unknown += 1,
        }
    }
}
