//! What a request's repeat wins, and what rejections tell.

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

/// How the metrics name a repeat of a request that surely had not run.
const SENT_NOT_RUN: &str = "sent_not_run";
/// The same for one that may have run.
const SENT_IN_DOUBT: &str = "sent_in_doubt";
/// A repeat that others were preferred to.
const KEPT_BACK: &str = "kept_back";
/// A repeat for which nothing was left.
const USED_UP: &str = "used_up";

impl Requests {
    /// Whether the budget has a repeat for a request that may have run, or runs.
    pub(super) fn can_retry(&self, open: &OpenRequest, context: &RequestContext<'_>) -> bool {
        let nodes = context.registry.len();
        let expected = open.route.target_latency / 2;
        let facts = RetryCandidate {
            not_run: false,
            ..self.retry_candidate(open, expected, context)
        };
        let by_value = self.mechanisms.has(Mechanism::RepeatValue);
        let wins = !by_value
            || self
                .budget
                .is_worthwhile(&open.service, &facts, nodes, context.now);
        wins && self
            .budget
            .has_retry_left(&open.service, nodes, context.now)
    }

    /// Draws a repeat for a request, whose next answer is expected in this time.
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
        let facts = self.retry_candidate(open, expected, context);
        let drawn = if self.mechanisms.has(Mechanism::RepeatValue) {
            self.budget
                .try_acquire_for(&open.service, &facts, nodes, context.now)
        } else if self.budget.try_acquire(&open.service, nodes, context.now) {
            RetryDecision::Granted
        } else {
            RetryDecision::Exhausted
        };
        let name = match drawn {
            RetryDecision::Granted if facts.not_run => SENT_NOT_RUN,
            RetryDecision::Granted => SENT_IN_DOUBT,
            RetryDecision::HeldBack => KEPT_BACK,
            RetryDecision::Exhausted => USED_UP,
        };
        *self.counters.repeats.entry(name).or_default() += 1;
        drawn == RetryDecision::Granted
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

    /// Notes an instance's answer, and why it rejected if it did. Returns whether a
    /// rejection counts as a failure of this instance.
    pub(super) fn note_rejection(
        &mut self,
        attempt: &Attempt,
        cause: Option<RejectionCause>,
        context: &RequestContext<'_>,
    ) -> bool {
        let Some(instance) = context.directory.get(&attempt.instance) else {
            return true;
        };
        if cause == Some(RejectionCause::AskedForBackoff) {
            // It is asked for nothing until then, so that this says nothing of what would
            // become of another request, and is no failure.
            return false;
        }
        let service = &instance.record.service;
        let declined = cause == Some(RejectionCause::FreeSlots);
        let now = context.now;
        self.common.heard(service, &attempt.instance, declined, now);
        self.rejections.received(service, now);
        if declined {
            self.rejections.refused(service, now);
        }
        if !self.mechanisms.has(Mechanism::RejectionCause) {
            return true;
        }
        match cause {
            Some(RejectionCause::FreeSlots) => !self.common.is_common(service, now),
            // Where a digest tells the load, the instance's own word isn't looked at.
            Some(RejectionCause::Full) => context.shared.follows_digest(now),
            Some(RejectionCause::NoLoadReported | RejectionCause::AskedForBackoff) | None => true,
        }
    }

    /// Whether the instances of a service reject some requests although they have room.
    pub(super) fn rejects_with_room(
        &self,
        service: &ServiceName,
        context: &RequestContext<'_>,
    ) -> bool {
        let tells_causes = self.mechanisms.has(Mechanism::RejectionCause);
        tells_causes && self.common.is_common(service, context.now)
    }

    /// The share of a service's requests that is turned away: by this node, or by its
    /// instances although they have room.
    pub(super) fn turned_away(
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

/// Why an instance rejected a request, by what it says with that, its load and slots.
pub(super) fn rejection_cause(
    notice: Notice,
    load: Option<&ReportedLoad>,
    instance: Option<&Instance>,
) -> RejectionCause {
    if notice.backoff.is_some() {
        return RejectionCause::AskedForBackoff;
    }
    let slots = instance.map_or(1, |instance| instance.record.slots.max(1));
    RejectionCause::of(load, slots)
}
