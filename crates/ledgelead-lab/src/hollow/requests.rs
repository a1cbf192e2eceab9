//! Requests at hollow nodes, which show the cost of the permits on the request path.

use super::deployment::{CALLERS, caller};
use super::event::Event;
use super::world::World;
use crate::simulation::event::NodeRun;
use ledgelead_core::Input;
use ledgelead_types::request::{Forward, RequestArrival};
use ledgelead_types::server::AttemptResult;
use ledgelead_types::{Bytes, Outcome, RequestId, Span, Text};

/// Requests per second and node. The rate is low compared to the capacity of the servers, so
/// that no request waits for a slot.
pub const REQUESTS_PER_NODE_AND_SECOND: f64 = 20.0;
/// Execution time at a server.
const SERVICE_TIME: Span = Span::from_millis(2);
/// Deadline of each request.
const DEADLINE: Span = Span::from_seconds(2);

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RequestCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
}

impl World {
    /// A request for a random key of a random service arrives at a node.
    pub(super) fn request_arrives(&mut self, index: usize) {
        let Some(run) = self.nodes[index].run() else {
            return;
        };
        self.requests.arrived += 1;
        let service = self.plan_rng.below(self.shape.services);
        let number = self.plan_rng.below(CALLERS as usize) as u32 + 1;
        let key = self.plan_rng.number().to_le_bytes().to_vec();
        let arrival = RequestArrival {
            request: RequestId(self.requests.arrived),
            service: Text(format!("service-{service}")),
            key: Some(Bytes(key)),
            credential_sha256: caller(number, 0).credential_sha256,
            deadline: Some(DEADLINE),
            repeatable: true,
            idempotency_key: None,
        };
        self.input(run, Input::RequestArrived(arrival));
    }

    /// Simulates an attempt at a server.
    pub(super) fn forward(&mut self, run: NodeRun, forward: &Forward) {
        self.requests.attempts += 1;
        let node_zone = self.nodes[run.index].zone;
        let server = &self.servers[forward.server.0 as usize - 1];
        let zone = server.zone;
        let result = match server.state {
            Some(_) => AttemptResult::Answered { failure: false },
            None => AttemptResult::NotSent,
        };
        let way = self.delay(node_zone, zone) + self.delay(zone, node_zone);
        let event = Event::AttemptEnded {
            to: run,
            attempt: forward.attempt,
            result,
        };
        self.after(way + SERVICE_TIME, event);
    }

    /// Counts the outcome of a request.
    pub(super) fn responded(&mut self, outcome: Outcome) {
        if matches!(outcome, Outcome::Answered) {
            self.requests.answered += 1;
        }
    }
}
