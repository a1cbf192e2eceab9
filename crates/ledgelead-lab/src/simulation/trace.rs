//! A record of every caller's request and its end, for experiments that
//! replay the same arrivals elsewhere.

use super::callers::CallerRequest;
use ledgelead_types::{Bytes, Outcome, Span, TierId, Time};

/// A request that ended for its caller.
#[derive(Clone, Debug)]
pub struct TracedRequest {
    /// Index of the service.
    pub service: usize,
    /// Key, for a service that is divided by key.
    pub key: Option<Bytes>,
    /// Tier of the caller.
    pub tier: TierId,
    /// When the caller sent it.
    pub sent: Time,
    /// When the caller heard its end, or gave up.
    pub ended: Time,
    /// Time that the caller gave it.
    pub deadline: Span,
    /// Time that a warm server needs.
    pub service_time: Span,
    /// Index of the node that accepted it.
    pub gateway: Option<usize>,
    /// Index of the server that it was last sent to.
    pub server: Option<usize>,
    /// Whether it repeats an earlier request under its idempotency key.
    pub is_retry: bool,
    /// How it ended; `None` when the caller heard nothing.
    pub outcome: Option<Outcome>,
}

/// Requests that ended, while they are wanted.
#[derive(Default)]
pub struct Trace {
    enabled: bool,
    requests: Vec<TracedRequest>,
}

impl Trace {
    /// A record that is kept.
    pub fn enabled() -> Trace {
        Trace {
            enabled: true,
            requests: Vec::new(),
        }
    }

    /// Notes the end of a request that counts in the measurements.
    pub fn record(&mut self, now: Time, request: &CallerRequest, outcome: Option<Outcome>) {
        if !self.enabled || !request.counted {
            return;
        }
        self.requests.push(TracedRequest {
            service: request.service,
            key: request.key.clone(),
            tier: request.tier,
            sent: request.sent,
            ended: now,
            deadline: request.deadline,
            service_time: request.service_time,
            gateway: request.accepted.map(|(run, _)| run.index),
            server: request.server,
            is_retry: request.is_retry,
            outcome,
        });
    }

    /// What was noted since the last call, in the order of the ends.
    pub fn take(&mut self) -> Vec<TracedRequest> {
        std::mem::take(&mut self.requests)
    }
}
