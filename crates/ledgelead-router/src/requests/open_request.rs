//! A client's request while it is open.

use crate::Timestamp;
use crate::configuration::{Repeatability, Route};
use crate::identity::{InstanceId, ServiceName};
use crate::io::ExchangeId;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::ownership::record::Assignment;
use crate::quarantine::CallerId;
use crate::requests::digest::RequestDigest;
use crate::requests::permits::HeldPermit;
use crate::requests::tokens::Token;
use ledgelead_http::{Request, Response};
use std::cell::OnceCell;
use std::sync::Arc;
use std::time::Duration;

/// Share of the target latency within which a refusal is still cheap for the
/// client, which can come back in time.
const EARLY_REFUSAL_SHARE: f64 = 0.22;

/// An attempt that is out.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The instance.
    pub instance: InstanceId,
    /// Whether it has drawn on the retry budget.
    pub repeated: bool,
    /// When it was sent.
    pub sent: Timestamp,
    /// Requests for each slot of the instance, this one with them.
    pub load_factor: f64,
    /// When it is reviewed whether to send the request elsewhere.
    pub review: Timestamp,
    /// How long the answer was expected to take.
    pub expected: Duration,
    /// The permit under which it was sent, where there is a queue.
    pub permit: Option<HeldPermit>,
}

/// Where a keyed request was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Misdirection {
    /// The fencing token of the assignment it was sent by.
    pub fence: u64,
    /// When the same assignment may be tried again; never, if its owner is
    /// not there any more.
    pub again: Option<Timestamp>,
}

impl Misdirection {
    /// What follows for a key's next attempt from one that `instance` did not
    /// run. Nothing, if the key has another owner by now.
    pub fn at(
        instance: &InstanceId,
        assignment: Option<&Assignment>,
        again: Option<Timestamp>,
    ) -> Option<Misdirection> {
        let assignment = assignment.filter(|assignment| assignment.owner == *instance)?;
        Some(Misdirection {
            fence: assignment.fence,
            again,
        })
    }
}

/// A request.
#[derive(Debug)]
pub struct OpenRequest {
    /// Who sent it.
    pub caller: CallerId,
    /// Attempts at instances whose connection was lost.
    pub lost: usize,
    /// Its digest, once that was asked for.
    pub digest: OnceCell<RequestDigest>,
    /// The request.
    pub request: Request,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that gets it.
    pub service: ServiceName,
    /// Its key, if the service's keys have owners.
    pub key: Option<u16>,
    /// When it was received.
    pub received: Timestamp,
    /// When its final answer is due: the route's time-out, or just before the
    /// client leaves.
    pub due: Timestamp,
    /// Instances it was sent to.
    pub tried: Vec<InstanceId>,
    /// The attempt that is out.
    pub attempt: Option<Attempt>,
    /// Whether it has been admitted although its key is overloaded, or its key
    /// is not.
    pub passed_admission: bool,
    /// Since when it waits for an owner or for room.
    pub waiting_since: Option<Timestamp>,
    /// Whether it must not be sent again, whatever the route allows.
    pub exhausted: bool,
    /// Whether some attempt may have run.
    pub may_have_run: bool,
    /// Whether some attempt got no answer in time.
    pub timed_out: bool,
    /// Whether some instance rejected it.
    pub rejected: bool,
    /// The last answer by which an instance said that it failed.
    pub failed_answer: Option<Response>,
    /// Where it was misdirected last.
    pub misdirection: Option<Misdirection>,
    /// The permit that it has or waits for.
    pub permit: Option<HeldPermit>,
    /// Whether it goes on without, since no dispatcher answers.
    pub without_permit: bool,
    /// Whether it has waited for one; the wait for an owner is another.
    pub awaits_permit: bool,
    /// Whether the queue of another zone than the nearest was asked.
    pub spilled: bool,
    /// When its caller may come back, by the word of a dispatcher.
    pub retry_after: Option<Duration>,
    /// The token that it has or waits for.
    pub token: Option<Token>,
}

impl Mechanisms {
    /// The rank of a request among those that wait; 0 comes first.
    pub fn rank(self, open: &OpenRequest) -> u32 {
        if self.has(Mechanism::Priority) {
            open.route.priority
        } else {
            0
        }
    }
}

impl OpenRequest {
    /// Identifies it over all of its tries. Worked out when it is first asked for, since
    /// most requests end without.
    pub fn digest(&self) -> RequestDigest {
        let digest = || RequestDigest::new(&self.request);
        *self.digest.get_or_init(digest)
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeatability == Repeatability::Idempotent
    }

    /// Whether it may be sent to this owner by a permit.
    pub fn has_permit(&self, owner: &InstanceId) -> bool {
        let permit = self.permit.as_ref();
        permit.is_some_and(|permit| permit.covers(owner))
    }

    /// Until when an answer is worth most.
    pub fn target(&self) -> Timestamp {
        self.received + self.route.target_latency
    }

    /// Time in which an answer is worth most; once that is over, the time in
    /// which it is worth anything.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        let to_target = self.target().saturating_sub(now);
        if to_target.is_zero() {
            self.due.saturating_sub(now)
        } else {
            to_target.min(self.due.saturating_sub(now))
        }
    }

    /// Until when it may wait for an owner or for room.
    pub fn wait_limit(&self) -> Timestamp {
        self.wait_limit_from(self.received)
    }

    /// The same for a request that begins to wait at `begins`, unless it waits already.
    pub fn wait_limit_from(&self, begins: Timestamp) -> Timestamp {
        let early = self.received + self.route.target_latency.mul_f64(EARLY_REFUSAL_SHARE);
        let since = self.waiting_since.unwrap_or(begins);
        // A request that comes back from a failed attempt gets the same time
        // again, since its early refusal is past.
        let again = since + self.route.target_latency.mul_f64(EARLY_REFUSAL_SHARE);
        early.max(again).min(self.due)
    }
}
