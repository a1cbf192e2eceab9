//! What the coordinator knows of one assignment's grant at its owner.

use crate::Timestamp;
use crate::io::ExchangeId;
use crate::protections::{Protection, Protections};
use crate::settings::{ORDER_TRANSIT, longest_hold};
use std::time::Duration;

/// Pause before a grant without an answer is repeated. The same grant again
/// is a renewal, and an answer to it proves that the owner has this token.
const REPEAT_AFTER_FAILURE: Duration = Duration::from_millis(250);
/// Grants without an answer in a row after which the owner counts as silent.
const SILENT_AFTER: u32 = 2;
/// Grants without an answer in a row after which the owner is not granted its keys
/// any more: each may have arrived and would hold them for longer. Where half of
/// all answers are lost, one grant in 64 meets that.
const GIVEN_UP_AFTER: u32 = 6;

/// The state of a grant.
///
/// Invariant: the owner can't hold the keys by an order of this coordinator,
/// or of an earlier one, after `possible_until`, but for orders that the
/// platform itself carries out late. It only moves forward while grants are
/// sent, and ends early only by a release that was answered.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The end of the longest hold that any order sent can have begun.
    pub possible_until: Timestamp,
    /// Whether the owner answered a grant under this token, so that orders
    /// under lower ones are refused there.
    pub fenced: bool,
    /// The order that is out.
    pub order: Option<ExchangeId>,
    /// When the next grant is due.
    pub next_grant: Timestamp,
    /// Grants without an answer since the last answer.
    pub failures: u32,
    /// State handed over by the last owner, until the first answer.
    pub handover: Option<String>,
}

impl Lease {
    /// A lease of an assignment that nobody can hold yet.
    pub fn fresh(now: Timestamp, handover: Option<String>) -> Lease {
        Lease {
            possible_until: now,
            fenced: false,
            order: None,
            next_grant: now,
            failures: 0,
            handover,
        }
    }

    /// A lease of an assignment that an earlier coordinator may have granted
    /// until `authority_end`. It may have been killed with grants on their way.
    pub fn inherited(now: Timestamp, authority_end: Timestamp) -> Lease {
        Lease {
            possible_until: authority_end + ORDER_TRANSIT + longest_hold(),
            ..Lease::fresh(now, None)
        }
    }

    /// A lease that is waited out: its owner is granted nothing more.
    pub fn given_up(possible_until: Timestamp) -> Lease {
        Lease {
            possible_until,
            failures: GIVEN_UP_AFTER,
            ..Lease::fresh(possible_until, None)
        }
    }

    /// A grant is sent. Until its end is known the lease is not over; whether
    /// it moves the end is told by `granted` or `unanswered`.
    pub fn granting(&mut self, order: ExchangeId) {
        self.order = Some(order);
    }

    /// A grant was answered, which is renewed after a while: the earlier coordinator can't
    /// renew any more.
    pub fn granted(&mut self, renewed_after: Duration, now: Timestamp) {
        self.order = None;
        self.fenced = true;
        self.failures = 0;
        self.handover = None;
        self.next_grant = now + renewed_after;
        self.possible_until = now + longest_hold();
    }

    /// A grant got no answer; it may have arrived until now.
    pub fn unanswered(&mut self, sent: bool, now: Timestamp) {
        self.order = None;
        self.failures += 1;
        self.next_grant = now + REPEAT_AFTER_FAILURE;
        if sent {
            self.possible_until = self.possible_until.max(now + longest_hold());
        }
    }

    /// Whether the owner can't hold the keys any more.
    pub fn is_over(&self, protections: Protections, now: Timestamp) -> bool {
        let waits = protections.has(Protection::LeaseWait) || !self.is_silent();
        (self.possible_until <= now && self.order.is_none()) || !waits
    }

    /// Whether the owner has not answered lately.
    pub fn is_silent(&self) -> bool {
        self.failures >= SILENT_AFTER
    }

    /// Whether the owner is granted the keys no more, so that the lease ends.
    pub fn is_given_up(&self) -> bool {
        self.failures >= GIVEN_UP_AFTER
    }
}
