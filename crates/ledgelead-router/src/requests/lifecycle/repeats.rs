//! What a request's repeat wins, and what rejections tell.

use super::{RequestContext, Requests};
use crate::directory::Instance;
use crate::identity::ServiceName;
use crate::io::ClientId;
use crate::mechanisms::Mechanism;
use crate::requests::budget::Draw;
use crate::requests::notice::Notice;
use crate::requests::open_request::{Attempt, OpenRequest};
use crate::requests::rejection_cause::RejectionCause;
use crate::requests::repeat_value::RepeatFacts;
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
    pub(super) fn could_repeat(&self, open: &OpenRequest, context: &RequestContext<'_>) -> bool {
        let nodes = context.registry.len();
        let expected = open.route.target_latency / 2;
        let facts = RepeatFacts {
            returns: false,
            ..self.repeat_facts(open, expected, context)
        };
        let by_value = self.mechanisms.has(Mechanism::RepeatValue);
        let wins = !by_value
            || self
                .budget
                .is_worth(&open.service, &facts, nodes, context.now);
        wins && self.budget.may_draw(&open.service, nodes, context.now)
    }

    /// Draws a repeat for a request, whose next answer is expected in this time.
    pub(super) fn draw_repeat(
        &mut self,
        client: ClientId,
        expected: Duration,
        context: &RequestContext<'_>,
    ) -> bool {
        let Some(open) = self.open.get(&client) else {
            return false;
        };
        let nodes = context.registry.len();
        let facts = self.repeat_facts(open, expected, context);
        let drawn = if self.mechanisms.has(Mechanism::RepeatValue) {
            self.budget
                .draw_for(&open.service, &facts, nodes, context.now)
        } else if self.budget.draw(&open.service, nodes, context.now) {
            Draw::Drawn
        } else {
            Draw::UsedUp
        };
        let name = match drawn {
            Draw::Drawn if facts.returns => SENT_NOT_RUN,
            Draw::Drawn => SENT_IN_DOUBT,
            Draw::KeptBack => KEPT_BACK,
            Draw::UsedUp => USED_UP,
        };
        *self.counters.repeats.entry(name).or_default() += 1;
        drawn == Draw::Drawn
    }

    fn repeat_facts(
        &self,
        open: &OpenRequest,
        expected: Duration,
        context: &RequestContext<'_>,
    ) -> RepeatFacts {
        let rejected = self.rejections.share_at(&open.service, context.now);
        RepeatFacts {
            rank: self.mechanisms.rank(open),
            in_time: context.now + expected <= open.target(),
            returns: !open.may_have_run,
            taken: 1.0 - rejected,
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
