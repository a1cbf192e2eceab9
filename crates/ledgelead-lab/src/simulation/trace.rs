//! Records every caller's request and its outcome, for experiments that replay the arrivals.

use super::callers::CallerRequest;
use ledgelead_types::{Bytes, Outcome, Span, TierId, Time};

/// A completed request.
#[derive(Clone, Debug)]
pub struct TracedRequest {
    /// Index of the service.
    pub service: usize,
    /// Its key, if the service is keyed.
    pub key: Option<Bytes>,
    /// Tier of the caller.
    pub tier: TierId,
    /// When the caller sent it.
    pub sent: Time,
    /// When the caller received the outcome or gave up.
    pub ended: Time,
    /// How long the caller allowed it to take.
    pub deadline: Span,
    /// Execution time on a warm server.
    pub service_time: Span,
    /// Index of the node that accepted it.
    pub gateway: Option<usize>,
    /// Index of the server to which it was last sent.
    pub server: Option<usize>,
    /// Whether it retries an earlier request with the same idempotency key.
    pub is_retry: bool,
    /// Its outcome; `None` if the caller received none.
    pub outcome: Option<Outcome>,
}

/// Completed requests, if recording is enabled.
#[derive(Default)]
pub struct Trace {
    enabled: bool,
    requests: Vec<TracedRequest>,
}

impl Trace {
    /// Creates an enabled recorder.
    pub fn enabled() -> Trace {
        Trace {
            enabled: true,
            requests: Vec::new(),
        }
    }

    /// Records the end of a request that counts in the measurements.
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

    /// Takes the requests recorded since the last call, in the order of their ends.
    pub fn take(&mut self) -> Vec<TracedRequest> {
        std::mem::take(&mut self.requests)
    }
}
