//! Decides which requests are retried, and evaluates rejections.

use super::{RequestContext, Requests};
use crate::directory::Instance;
use crate::identity::ServiceName;
use crate::io::ClientId;
use crate::mechanisms::Mechanism;
use crate::requests::budget::RetryDecision;
use crate::requests::notice::Notice;
use crate::requests::open_request::{Attempt, OpenRequest};
use crate::requests::rejection_cause::RejectionCause;
use crate::requests::retry_value::RetryCandidate;
use crate::requests::statistics::ReportedLoad;
use std::time::Duration;

/// Metric label of a retry of a request that certainly had not run.
const SENT_NOT_RUN: &str = "sent_not_run";
/// Metric label of a retry of a request that may have run.
const SENT_MAY_HAVE_RUN: &str = "sent_in_doubt";
/// Metric label of a retry that was refused in favor of more valuable ones.
const HELD_BACK: &str = "kept_back";
/// Metric label of a retry for which the budget was exhausted.
const EXHAUSTED: &str = "used_up";

impl Requests {
    /// Whether the budget allows a retry of a request that may have run, or is running.
    pub(super) fn can_retry(&self, open: &OpenRequest, context: &RequestContext<'_>) -> bool {
        let nodes = context.registry.len();
        let expected = open.route.target_latency / 2;
        let candidate = RetryCandidate {
            not_run: false,
            ..self.retry_candidate(open, expected, context)
        };
        let by_value = self.mechanisms.has(Mechanism::RepeatValue);
        let is_worthwhile = !by_value
            || self
                .budget
                .is_worthwhile(&open.service, &candidate, nodes, context.now);
        is_worthwhile
            && self
                .budget
                .has_retry_left(&open.service, nodes, context.now)
    }

    /// Takes a retry from the budget for a request whose next response is expected after
    /// `expected`.
    pub(super) fn acquire_retry(
        &mut self,
        client: ClientId,
        expected: Duration,
        context: &RequestContext<'_>,
    ) -> bool {
        let Some(open) = self.open.get(&client) else {
            return false;
        };
        let nodes = context.registry.len();
        let candidate = self.retry_candidate(open, expected, context);
        let decision = if self.mechanisms.has(Mechanism::RepeatValue) {
            self.budget
                .try_acquire_for(&open.service, &candidate, nodes, context.now)
        } else if self.budget.try_acquire(&open.service, nodes, context.now) {
            RetryDecision::Granted
        } else {
            RetryDecision::Exhausted
        };
        let name = match decision {
            RetryDecision::Granted if candidate.not_run => SENT_NOT_RUN,
            RetryDecision::Granted => SENT_MAY_HAVE_RUN,
            RetryDecision::HeldBack => HELD_BACK,
            RetryDecision::Exhausted => EXHAUSTED,
        };
        *self.counters.retries.entry(name).or_default() += 1;
        decision == RetryDecision::Granted
    }

    fn retry_candidate(
        &self,
        open: &OpenRequest,
        expected: Duration,
        context: &RequestContext<'_>,
    ) -> RetryCandidate {
        let rejected = self.rejections.share_at(&open.service, context.now);
        RetryCandidate {
            rank: self.mechanisms.rank(open),
            meets_target: context.now + expected <= open.target(),
            not_run: !open.may_have_run,
            acceptance: 1.0 - rejected,
        }
    }

    /// Records an instance's response, and why it rejected the request if it did. Returns
    /// whether a rejection counts as a failure of this instance.
    pub(super) fn record_rejection(
        &mut self,
        attempt: &Attempt,
        cause: Option<RejectionCause>,
        context: &RequestContext<'_>,
    ) -> bool {
        let Some(instance) = context.directory.get(&attempt.instance) else {
            return true;
        };
        if cause == Some(RejectionCause::RequestedBackoff) {
            // The instance gets no requests until its pause ends. The rejection says nothing
            // about how it would treat another request, and is no failure.
            return false;
        }
        let service = &instance.record.service;
        let has_free_slots = cause == Some(RejectionCause::FreeSlots);
        let now = context.now;
        self.common_rejections
            .record(service, &attempt.instance, has_free_slots, now);
        self.rejections.record_request(service, now);
        if has_free_slots {
            self.rejections.record_refusal(service, now);
        }
        if !self.mechanisms.has(Mechanism::RejectionCause) {
            return true;
        }
        match cause {
            Some(RejectionCause::FreeSlots) => !self.common_rejections.is_common(service, now),
            // While load is known from a digest, the load reported by the instance itself is
            // not used.
            Some(RejectionCause::Full) => context.shared.follows_digest(now),
            Some(RejectionCause::NoLoadReported | RejectionCause::RequestedBackoff) | None => true,
        }
    }

    /// Whether the instances of a service reject some requests although they have free slots.
    pub(super) fn rejects_with_free_slots(
        &self,
        service: &ServiceName,
        context: &RequestContext<'_>,
    ) -> bool {
        let uses_rejection_cause = self.mechanisms.has(Mechanism::RejectionCause);
        uses_rejection_cause && self.common_rejections.is_common(service, context.now)
    }

    /// The share of a service's requests that is refused by this node, or rejected by its
    /// instances although they have free slots, whichever is larger.
    pub(super) fn refused_or_rejected_share(
        &mut self,
        service: &ServiceName,
        context: &RequestContext<'_>,
    ) -> f64 {
        let refused = self.refusals.share(service, context.now);
        if !self.mechanisms.has(Mechanism::RejectionCause) {
            return refused;
        }
        refused.max(self.rejections.share(service, context.now))
    }
}

/// Determines why an instance rejected a request from its notice, load and slots.
pub(super) fn rejection_cause(
    notice: Notice,
    load: Option<&ReportedLoad>,
    instance: Option<&Instance>,
) -> RejectionCause {
    if notice.backoff.is_some() {
        return RejectionCause::RequestedBackoff;
    }
    let slots = instance.map_or(1, |instance| instance.record.slots.max(1));
    RejectionCause::of(load, slots)
}
