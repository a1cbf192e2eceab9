//! Headers of requests from nodes to servers.

use super::http::header_of;
use crate::standin::execution::AttemptKey;
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::server::ServerRefusal;
use ledgelead_types::{FencingToken, Member, Position, RequestId, Span, TierId};
use std::collections::{BTreeMap, VecDeque};
use tiny_http::Request;

/// Identifies the attempt, also for its cancellation.
pub const ATTEMPT_HEADER: &str = "Ledgelead-Attempt";
/// Token of the key's slice.
pub const TOKEN_HEADER: &str = "Ledgelead-Token";
/// Position of the key in hexadecimal.
pub const POSITION_HEADER: &str = "Ledgelead-Position";
/// Remaining time until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "Ledgelead-Deadline-Ms";
/// Priority tier.
pub const TIER_HEADER: &str = "Ledgelead-Tier";
/// Load of the server, in a response.
pub const LOAD_HEADER: &str = "Ledgelead-Load";
/// Why a request was not started, in a response.
pub const REFUSED_HEADER: &str = "Ledgelead-Refused";

/// Deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Span = Span::from_seconds(30);

/// The ownership claimed by the request.
pub fn ownership(request: &Request) -> Option<OwnershipClaim> {
    let position = header_of(request, POSITION_HEADER)?;
    let token = header_of(request, TOKEN_HEADER)?;
    Some(OwnershipClaim {
        position: Position(u64::from_str_radix(position, 16).ok()?),
        token: FencingToken::parse(token)?,
    })
}

/// Remaining time until the request's deadline.
pub fn deadline(request: &Request) -> Span {
    header_of(request, DEADLINE_HEADER)
        .and_then(|value| value.parse().ok())
        .map_or(DEFAULT_DEADLINE, Span::from_millis)
}

/// The request's tier.
pub fn tier(request: &Request) -> TierId {
    let tier = header_of(request, TIER_HEADER).and_then(|value| value.parse().ok());
    TierId(tier.unwrap_or_default())
}

/// Header value for a refusal.
pub fn refusal_name(refusal: ServerRefusal) -> &'static str {
    match refusal {
        ServerRefusal::NotOwner => "not-owner",
        ServerRefusal::LeaseExpired => "lease-expired",
        ServerRefusal::Busy => "busy",
        ServerRefusal::Draining => "draining",
        ServerRefusal::Cancelled => "cancelled",
        ServerRefusal::DeadlinePassed => "deadline-passed",
    }
}

/// Maximum number of remembered cancellations of attempts that have not arrived yet.
const MAX_REMEMBERED_CANCELLATIONS: usize = 256;

/// Assigns a key to each open attempt, whatever the format of its name.
#[derive(Debug, Default)]
pub struct AttemptNames {
    next: u64,
    keys: BTreeMap<String, AttemptKey>,
    cancelled: VecDeque<String>,
}

impl AttemptNames {
    /// Assigns a new key, optionally with a name.
    pub fn name(&mut self, name: Option<&str>) -> AttemptKey {
        self.next += 1;
        let key = AttemptKey {
            gateway: Member::default(),
            attempt: AttemptId {
                request: RequestId(self.next),
                number: 1,
            },
        };
        if let Some(name) = name {
            self.keys.insert(name.to_owned(), key);
        }
        key
    }

    /// The key of an attempt that is open.
    pub fn known(&self, name: &str) -> Option<AttemptKey> {
        self.keys.get(name).copied()
    }

    /// Remembers that an attempt was cancelled before it arrived.
    pub fn cancel_unknown(&mut self, name: &str) {
        if self.cancelled.len() >= MAX_REMEMBERED_CANCELLATIONS {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(name.to_owned());
    }

    /// Whether an attempt was cancelled before it arrived.
    pub fn is_cancelled(&self, name: &str) -> bool {
        self.cancelled.iter().any(|cancelled| cancelled == name)
    }

    /// Removes an attempt that has ended.
    pub fn remove(&mut self, key: AttemptKey) {
        self.keys.retain(|_, known| *known != key);
    }
}
