//! The rate limit that an instance announces in a response.

use crate::dialect::HeaderNames;
use crate::identity::InstanceId;
use crate::validation::decimal;
use ledgelead_http::Response;

/// Status of a response that may come from another instance that sends no id.
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

    /// Parses requests a second from a plain decimal number.
    fn read(value: &[u8]) -> Option<RateLimit> {
        let millis = (decimal(value)? * 1_000.0).round();
        // The cast saturates.
        let millis_per_s = millis as u32;
        Some(RateLimit { millis_per_s })
    }
}

/// What a response states about a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateNotice {
    /// Nothing: the response may come from another instance.
    NotStated,
    /// A limit that cannot be parsed.
    Unreadable,
    /// The instance has no limit.
    Unlimited,
    /// The instance accepts this rate from all nodes together.
    Limited(RateLimit),
}

impl RateNotice {
    /// What the response to a request for the instance `target` states. If there are several
    /// headers, the lowest limit counts.
    pub fn of(target: &InstanceId, response: &Response, headers: &HeaderNames) -> RateNotice {
        let answering = response.headers.text(&headers.instance);
        if answering.is_some_and(|id| id != target.name()) || response.status == MISDIRECTED {
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

    /// The limit, if the response contains one.
    pub fn limit(self) -> Option<RateLimit> {
        match self {
            RateNotice::Limited(limit) => Some(limit),
            _ => None,
        }
    }
}
