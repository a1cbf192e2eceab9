//! State of an open client request.

use crate::Timestamp;
use crate::configuration::{Repeatability, Route};
use crate::identity::{InstanceId, ServiceName};
use crate::io::ExchangeId;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::ownership::record::Assignment;
use crate::quarantine::CallerId;
use crate::requests::digest::RequestDigest;
use crate::requests::permits::PermitHandle;
use crate::requests::tokens::Token;
use ledgelead_http::{Request, Response};
use std::cell::OnceCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Share of the target latency within which a refusal costs the client little, since it can
/// still retry in time.
const EARLY_REFUSAL_SHARE: f64 = 0.22;

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The exchange of the attempt.
    pub exchange: ExchangeId,
    /// The instance it was sent to.
    pub instance: InstanceId,
    /// The peer that forwards it, if this node doesn't reach the instance.
    pub via: Option<SocketAddr>,
    /// Whether it was taken from the retry budget.
    pub is_retry: bool,
    /// When it was sent.
    pub sent: Timestamp,
    /// Requests per slot of the instance, including this one.
    pub load_factor: f64,
    /// When to check whether the request should be sent to another instance.
    pub review_at: Timestamp,
    /// Expected time until the response.
    pub expected: Duration,
    /// The permit under which it was sent, if the instance has a queue.
    pub permit: Option<PermitHandle>,
}

/// The rejection of a keyed request by an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Misdirection {
    /// Fencing token of the assignment by which the request was sent.
    pub fence: u64,
    /// When the same assignment may be tried again; `None` if its owner is gone.
    pub retry_at: Option<Timestamp>,
}

impl Misdirection {
    /// The consequence for a key's next attempt if `instance` did not run the previous one.
    /// `None` if the key has another owner by now.
    pub fn at(
        instance: &InstanceId,
        assignment: Option<&Assignment>,
        retry_at: Option<Timestamp>,
    ) -> Option<Misdirection> {
        let assignment = assignment.filter(|assignment| assignment.owner == *instance)?;
        Some(Misdirection {
            fence: assignment.fence,
            retry_at,
        })
    }
}

/// An open request.
#[derive(Debug)]
pub struct OpenRequest {
    /// The caller that sent it.
    pub caller: CallerId,
    /// Number of attempts whose connection to the instance was lost.
    pub lost_attempts: usize,
    /// Digest of the request, once it was computed.
    pub digest: OnceCell<RequestDigest>,
    /// The request itself.
    pub request: Request,
    /// The matching route.
    pub route: Arc<Route>,
    /// Its priority, that of its tenant or else of its route; 0 is the most urgent.
    pub priority: u32,
    /// The service that handles it.
    pub service: ServiceName,
    /// Its key, if the service is sharded.
    pub key: Option<u16>,
    /// When it was received.
    pub received: Timestamp,
    /// When the final response is due: at the route's timeout, or just before the client gives
    /// up.
    pub due: Timestamp,
    /// Instances it was sent to.
    pub tried: Vec<InstanceId>,
    /// Number of attempts that were not sent to any instance.
    pub unsent: u32,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
    /// Whether the admission check for overloaded keys was already made.
    pub admission_checked: bool,
    /// Since when it has been waiting for an owner or a free slot.
    pub waiting_since: Option<Timestamp>,
    /// Whether it must not be sent again, whatever the route allows.
    pub exhausted: bool,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
    /// Whether some attempt got no response in time.
    pub timed_out: bool,
    /// Whether some instance rejected it.
    pub rejected: bool,
    /// The last response by which an instance reported a failure.
    pub failure_response: Option<Response>,
    /// The last rejection as misdirected.
    pub misdirection: Option<Misdirection>,
    /// The permit that it holds or waits for.
    pub permit: Option<PermitHandle>,
    /// Whether it proceeds without a permit, since no dispatcher responds.
    pub without_permit: bool,
    /// Whether it has waited for a permit. Waiting for an owner is a separate wait.
    pub awaits_permit: bool,
    /// Whether a queue in a zone other than the nearest was already asked.
    pub overflowed: bool,
    /// When its caller may retry, as decided by a dispatcher.
    pub retry_after: Option<Duration>,
    /// The token that it holds or waits for.
    pub token: Option<Token>,
}

impl Mechanisms {
    /// The rank of a request among waiting ones; 0 comes first.
    pub fn rank(self, open: &OpenRequest) -> u32 {
        if self.has(Mechanism::Priority) {
            open.priority
        } else {
            0
        }
    }
}

impl OpenRequest {
    /// Identifies the request over all of its submissions. Computed on first use, since most
    /// requests end without it.
    pub fn digest(&self) -> RequestDigest {
        let digest = || RequestDigest::new(&self.request);
        *self.digest.get_or_init(digest)
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeatability == Repeatability::Idempotent
    }

    /// Whether it holds a permit for this owner.
    pub fn has_permit(&self, owner: &InstanceId) -> bool {
        let permit = self.permit.as_ref();
        permit.is_some_and(|permit| permit.covers(owner))
    }

    /// Until when a response meets the target latency.
    pub fn target(&self) -> Timestamp {
        self.received + self.route.target_latency
    }

    /// Time left until the target latency; once that has passed, time left until the deadline.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        let to_target = self.target().saturating_sub(now);
        if to_target.is_zero() {
            self.due.saturating_sub(now)
        } else {
            to_target.min(self.due.saturating_sub(now))
        }
    }

    /// Until when it may wait for an owner or a free slot.
    pub fn wait_limit(&self) -> Timestamp {
        self.wait_limit_from(self.received)
    }

    /// The same for a request that begins to wait at `begins`, unless it is already waiting.
    pub fn wait_limit_from(&self, begins: Timestamp) -> Timestamp {
        let early_limit = self.received + self.route.target_latency.mul_f64(EARLY_REFUSAL_SHARE);
        let since = self.waiting_since.unwrap_or(begins);
        // A request that returns from a failed attempt gets the same time again, since its
        // time for an early refusal has passed.
        let renewed_limit = since + self.route.target_latency.mul_f64(EARLY_REFUSAL_SHARE);
        early_limit.max(renewed_limit).min(self.due)
    }
}
