//! What an answer says of the rate at which its instance takes requests.

use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use crate::validation::decimal;
use ledgelead_http::Response;

/// Status of an answer that may come from another instance, which doesn't name itself.
const MISDIRECTED: u16 = 421;

/// A rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    /// In thousandths of a request a second.
    pub millis_per_s: u32,
}

impl RateLimit {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.millis_per_s) / 1_000.0
    }

    /// Reads requests a second as a plain decimal number.
    fn read(value: &[u8]) -> Option<RateLimit> {
        let millis = (decimal(value)? * 1_000.0).round();
        // The cast saturates.
        let millis_per_s = millis as u32;
        Some(RateLimit { millis_per_s })
    }
}

/// What an answer says of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateNotice {
    /// Nothing: the answer may be another instance's.
    NotStated,
    /// A limit that can't be read.
    Unreadable,
    /// No limit holds.
    Unlimited,
    /// So much is taken from all nodes together.
    Limited(RateLimit),
}

impl RateNotice {
    /// What an answer to a request that was meant for `meant` says of that instance. Of
    /// several headers the lowest limit counts.
    pub fn of(meant: &InstanceId, response: &Response, headers: &HeaderNames) -> RateNotice {
        let answering = response.headers.text(&headers.instance);
        if answering.is_some_and(|id| id != meant.name()) || response.status == MISDIRECTED {
            return RateNotice::NotStated;
        }
        let mut notice = RateNotice::Unlimited;
        for value in response.headers.all(&headers.rate_limit) {
            notice = match (RateLimit::read(value), notice) {
                (Some(limit), RateNotice::Limited(known)) => RateNotice::Limited(limit.min(known)),
                (Some(limit), _) => RateNotice::Limited(limit),
                (None, RateNotice::Limited(known)) => RateNotice::Limited(known),
                (None, _) => RateNotice::Unreadable,
            };
        }
        notice
    }

    /// The limit, if the answer names one.
    pub fn limit(self) -> Option<RateLimit> {
        match self {
            RateNotice::Limited(limit) => Some(limit),
            _ => None,
        }
    }
}
