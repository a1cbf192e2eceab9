//! The coordinator's knowledge of one assignment's grant at its owner.

use crate::Timestamp;
use crate::io::ExchangeId;
use crate::protections::{Protection, Protections};
use crate::settings::{ORDER_TRANSIT, longest_hold};
use std::time::Duration;

/// Delay before an unanswered grant is repeated. Repeating the same grant acts as a renewal,
/// and an answer to it proves that the owner has this fencing token.
const REPEAT_AFTER_FAILURE: Duration = Duration::from_millis(250);
/// Consecutive unanswered grants after which the owner counts as unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// Consecutive unanswered grants that may have arrived, after which the owner gets no further
/// grants for its keys: each one would extend the hold. If half of all answers are lost, one
/// grant in 64 reaches this limit.
const GIVEN_UP_AFTER: u32 = 6;

/// The state of a grant.
///
/// Invariant: the owner cannot hold the keys by an order of this or an earlier coordinator
/// after `possible_until`, except by orders that the platform itself executes late. It
/// moves forward while grants are sent. It moves back only on proof that the hold ends earlier:
/// an answered release or grant, another instance at the owner's address, or the end of the
/// owner or of the previous coordinator.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The latest end of a hold that any sent order can have started.
    pub possible_until: Timestamp,
    /// Whether the owner has answered a grant with this token, so that it rejects orders with
    /// lower ones.
    pub fenced: bool,
    /// The order that has no answer yet.
    pub order: Option<ExchangeId>,
    /// When the next grant is due.
    pub next_grant: Timestamp,
    /// Consecutive unanswered grants, including those that were not sent.
    pub failures: u32,
    /// Consecutive unanswered grants that may have arrived.
    pub unanswered: u32,
    /// Whether a grant under this token got no answer. The platform may execute it at any
    /// later time, also after a release, and the owner then holds the keys again.
    pub may_be_revived: bool,
    /// State from the previous owner; kept until the first answered grant.
    pub handover: Option<String>,
}

impl Lease {
    /// A lease of an assignment that no instance can hold yet.
    pub fn fresh(now: Timestamp, handover: Option<String>) -> Lease {
        Lease {
            possible_until: now,
            fenced: false,
            order: None,
            next_grant: now,
            failures: 0,
            unanswered: 0,
            may_be_revived: false,
            handover,
        }
    }

    /// A lease of an assignment that an earlier coordinator may have granted until
    /// `authority_end`. That coordinator may have been killed with grants in transit.
    pub fn inherited(now: Timestamp, authority_end: Timestamp) -> Lease {
        Lease {
            possible_until: authority_end + ORDER_TRANSIT + longest_hold(),
            ..Lease::fresh(now, None)
        }
    }

    /// A lease that is left to expire: its owner gets no further grants.
    pub fn given_up(possible_until: Timestamp) -> Lease {
        Lease {
            possible_until,
            failures: GIVEN_UP_AFTER,
            unanswered: GIVEN_UP_AFTER,
            ..Lease::fresh(possible_until, None)
        }
    }

    /// Records that a grant is sent. The lease does not expire until the outcome is known;
    /// `record_grant_answered` or `record_grant_unanswered` then set the new end.
    pub fn record_grant_sent(&mut self, order: ExchangeId) {
        self.order = Some(order);
    }

    /// Records that a grant was answered; it is renewed after `renewed_after`. From now on an
    /// earlier coordinator cannot renew its grants.
    pub fn record_grant_answered(&mut self, renewed_after: Duration, now: Timestamp) {
        self.order = None;
        self.fenced = true;
        self.failures = 0;
        self.unanswered = 0;
        self.handover = None;
        self.next_grant = now + renewed_after;
        self.possible_until = now + longest_hold();
    }

    /// Records that a grant got no answer; it may have arrived at any time until now if it was
    /// sent.
    pub fn record_grant_unanswered(&mut self, sent: bool, now: Timestamp) {
        self.order = None;
        self.failures += 1;
        self.next_grant = now + REPEAT_AFTER_FAILURE;
        if sent {
            self.unanswered += 1;
            self.may_be_revived = true;
            self.possible_until = self.possible_until.max(now + longest_hold());
        }
    }

    /// Records proof that another instance uses the owner's address.
    pub fn record_other_instance(&mut self, now: Timestamp) {
        self.record_grant_unanswered(false, now);
        self.possible_until = now;
        self.failures = self.failures.max(GIVEN_UP_AFTER);
        self.unanswered = GIVEN_UP_AFTER;
    }

    /// Records that the owner responds again.
    pub fn record_response(&mut self) {
        self.failures = 0;
        self.unanswered = 0;
    }

    /// Records that a grant was not sent, for a reason that has nothing to do with the owner.
    pub fn postpone_grant(&mut self, now: Timestamp) {
        self.order = None;
        self.next_grant = now + REPEAT_AFTER_FAILURE;
    }

    /// Records that an unanswered grant may still arrive within `transit`.
    pub fn extend_for_transit(&mut self, transit: Duration, now: Timestamp) {
        let latest_end = now + transit + longest_hold();
        self.possible_until = self.possible_until.max(latest_end);
    }

    /// Whether the owner can no longer hold the keys.
    pub fn has_expired(&self, protections: Protections, now: Timestamp) -> bool {
        let waits = protections.has(Protection::LeaseWait) || !self.is_unresponsive();
        (self.possible_until <= now && self.order.is_none()) || !waits
    }

    /// The range has got a higher token. Once the owner has answered a grant under it, the
    /// owner rejects all grants under earlier ones.
    pub fn record_new_token(&mut self, now: Timestamp) {
        self.fenced = false;
        self.may_be_revived = false;
        self.next_grant = now;
    }

    /// Whether the range should get a higher token before it is released. An unresponsive owner
    /// is asked to release first, since further grants would extend its lease.
    pub fn needs_new_token(&self) -> bool {
        self.may_be_revived && !self.is_unresponsive()
    }

    /// Whether the owner has not answered recent grants.
    pub fn is_unresponsive(&self) -> bool {
        self.failures >= UNRESPONSIVE_AFTER
    }

    /// Whether the owner gets no further grants, so that the lease expires.
    pub fn is_given_up(&self) -> bool {
        self.unanswered >= GIVEN_UP_AFTER
    }
}
