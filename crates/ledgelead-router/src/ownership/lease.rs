//! The coordinator's knowledge of one assignment's grant at its owner.

use crate::Timestamp;
use crate::io::ExchangeId;
use crate::protections::{Protection, Protections};
use crate::settings::{HOLD, LEASE_SLACK, ORDER_TRANSIT, longest_hold, longest_use_of_owners};
use std::time::Duration;

/// Delay before an unanswered grant is repeated. Repeating the same grant acts as a renewal,
/// and an answer to it proves that the owner has this fencing token.
const REPEAT_AFTER_FAILURE: Duration = Duration::from_millis(250);
/// Consecutive unanswered grants after which the owner counts as unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// Consecutive unanswered grants that may have arrived, after which no further grant extends
/// the owner's hold. If half of all answers are lost, one grant in 64 reaches this limit.
const GIVEN_UP_AFTER: u32 = 6;
/// Minimum hold of a grant that doesn't extend the lease.
const MIN_HOLD: Duration = Duration::from_millis(10);

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
    /// The same for grants under earlier tokens, until the owner answers one under this token.
    pub earlier_may_revive: bool,
    /// Set while nodes may still send requests to a former owner that may hold the keys again.
    pub grace_period: Option<GracePeriod>,
    /// State from the previous owner; kept until the first answered grant.
    pub handover: Option<String>,
}

/// The time in which nodes learn of a new owner before it gets its keys, since the former one
/// may hold them again by grants that are executed late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    /// When no node sends requests by the former owners any more, whether it has learned of the
    /// new ones or not.
    pub until: Timestamp,
    /// The revision of the record that names the new owner, once known.
    pub revision: Option<u64>,
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
            earlier_may_revive: false,
            grace_period: None,
            handover,
        }
    }

    /// A lease of an assignment that an earlier coordinator may have granted until
    /// `authority_end`. That coordinator may have been killed with grants in transit.
    pub fn inherited(now: Timestamp, authority_end: Timestamp) -> Lease {
        Lease {
            possible_until: authority_end + ORDER_TRANSIT + longest_hold(),
            earlier_may_revive: true,
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

    /// Records that a grant was answered; it is renewed after `renewed_after`, or at once if its
    /// hold was shortened. From now on an earlier coordinator cannot renew its grants.
    pub fn record_grant_answered(&mut self, renewed_after: Duration, now: Timestamp) {
        let renewed_after = match self.is_given_up() {
            true => Duration::ZERO,
            false => renewed_after,
        };
        self.order = None;
        self.fenced = true;
        self.earlier_may_revive = false;
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
            let extends_hold = !self.is_given_up();
            self.unanswered += 1;
            self.may_be_revived = true;
            if extends_hold {
                self.possible_until = self.possible_until.max(now + longest_hold());
            }
        }
    }

    /// For how long the keys are to be granted now. An owner that has been given up gets them
    /// for no longer than it may hold them anyway: if it answers, it rejects earlier grants.
    /// None if there are none to reject, or too little of that time is left.
    pub fn next_hold(&self, now: Timestamp) -> Option<Duration> {
        if !self.is_given_up() {
            return Some(HOLD);
        }
        if !self.may_hold_again() {
            return None;
        }
        let left = self.possible_until.saturating_sub(now);
        let hold = left.checked_sub(ORDER_TRANSIT + LEASE_SLACK)?;
        // The clock of the instance may run 2% slow.
        Some(hold - hold / 50).filter(|hold| *hold >= MIN_HOLD)
    }

    /// Records proof that another instance uses the owner's address.
    pub fn record_other_instance(&mut self, now: Timestamp) {
        self.record_grant_unanswered(false, now);
        self.record_owner_ended(now);
        self.failures = self.failures.max(GIVEN_UP_AFTER);
        self.unanswered = GIVEN_UP_AFTER;
    }

    /// Records proof that the owner has ended, so that it executes no grant any more.
    pub fn record_owner_ended(&mut self, now: Timestamp) {
        self.possible_until = self.possible_until.min(now);
        self.may_be_revived = false;
        self.earlier_may_revive = false;
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
        if self.has_shortened_holds() {
            return;
        }
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
        self.earlier_may_revive |= self.may_be_revived;
        self.may_be_revived = false;
        self.next_grant = now;
    }

    /// Whether the range should get a higher token before it is released. An unresponsive owner
    /// is asked to release first, since further grants would extend its lease.
    pub fn needs_new_token(&self) -> bool {
        self.may_be_revived && !self.is_unresponsive()
    }

    /// Whether the owner may hold the keys again after its lease, by a grant that is executed
    /// late.
    pub fn may_hold_again(&self) -> bool {
        self.may_be_revived || self.earlier_may_revive
    }

    /// Whether the owner has to get a higher token now, as all grants under this one may be
    /// executed after the lease has expired.
    pub fn needs_token_to_expire(&self) -> bool {
        self.is_given_up() && self.may_be_revived && !self.has_shortened_holds()
    }

    /// Whether the latest grant was shortened, so that it didn't extend the lease.
    fn has_shortened_holds(&self) -> bool {
        self.unanswered > GIVEN_UP_AFTER
    }

    /// Whether the owner has not answered recent grants.
    pub fn is_unresponsive(&self) -> bool {
        self.failures >= UNRESPONSIVE_AFTER
    }

    /// When the next grant is due, or else the end of the lease.
    pub fn next_step(&self) -> Timestamp {
        let grace_until = self.grace_period.map(|grace_period| grace_period.until);
        let at = self.next_grant.max(grace_until.unwrap_or_default());
        match self.next_hold(at) {
            Some(_) => at,
            None => self.possible_until,
        }
    }

    /// Keeps the keys from the next owner until nodes send no requests by former owners, which
    /// they may have confirmed until `confirmed_until`.
    pub fn begin_grace_period(&mut self, confirmed_until: Timestamp) {
        let until = confirmed_until + longest_use_of_owners();
        let revision = None;
        self.grace_period = Some(GracePeriod { until, revision });
    }

    /// Lifts the grace_period if it has ended, or if all nodes know the record of this revision.
    pub fn review_grace_period(&mut self, current: u64, known_to_all: Option<u64>, now: Timestamp) {
        let Some(grace_period) = &mut self.grace_period else {
            return;
        };
        let named_at = *grace_period.revision.get_or_insert(current);
        if grace_period.until <= now || known_to_all.is_some_and(|known| known >= named_at) {
            self.grace_period = None;
        }
    }

    /// Whether the owner gets no grants that extend its hold, so that the lease expires.
    pub fn is_given_up(&self) -> bool {
        self.unanswered >= GIVEN_UP_AFTER
    }
}
