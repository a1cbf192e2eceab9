//! Tokens for requests to instances with a rate limit, and the messages about them.

use crate::Timestamp;
use crate::identity::{InstanceId, ZoneName};
use crate::io::ClientId;
use crate::rate_limit::{LimitStatement, TokenStatus};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A request's token, or its pending request for one.
#[derive(Clone, Debug)]
pub struct Token {
    /// The instance that the request may be sent to.
    pub instance: InstanceId,
    /// This node's number for the token request.
    pub number: u64,
    /// State of the token request.
    pub state: TokenState,
}

/// State of a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenState {
    /// The token was requested, and the limiter has not decided.
    Requested {
        /// The limiter.
        limiter: SocketAddr,
        /// Number of requests sent to it, including the pending one.
        requests_sent: usize,
        /// When to act if there is no decision.
        check_at: Timestamp,
    },
    /// The request may be sent.
    Held,
}

/// A request for a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// This node's number for the token request.
    pub number: u64,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// The zone of the instance.
    pub zone: ZoneName,
    /// What the requesting node knows of the instance's limit.
    pub statement: LimitStatement,
}

/// A limiter's decision on a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDecision {
    /// The number of the token request.
    pub number: u64,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// The decision.
    pub status: TokenStatus,
}

/// Token requests without a decision.
#[derive(Debug, Default)]
pub(super) struct TokenRequests {
    clients: HashMap<u64, ClientId>,
    last_number: u64,
    pub(super) outbox: Vec<(SocketAddr, TokenRequest)>,
    /// Limiters that didn't reply, and until when they aren't asked.
    pub(super) unresponsive: HashMap<SocketAddr, Timestamp>,
}

impl TokenRequests {
    /// Creates an empty set. Numbers start at one that earlier incarnations of the node have
    /// not used.
    pub(super) fn new(first_number: u64) -> TokenRequests {
        TokenRequests {
            last_number: first_number,
            ..TokenRequests::default()
        }
    }

    /// Assigns a number to a token request for this client's request.
    pub(super) fn assign_number(&mut self, client: ClientId) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        self.clients.insert(self.last_number, client);
        self.last_number
    }

    /// Removes a number and returns the client whose request used it.
    pub(super) fn take_client(&mut self, number: u64) -> Option<ClientId> {
        self.clients.remove(&number)
    }

    /// Drops token requests whose requests have ended, and limiters that may be asked again.
    pub(super) fn expire(&mut self, is_open: impl Fn(&ClientId) -> bool, now: Timestamp) {
        self.clients.retain(|_, client| is_open(client));
        self.unresponsive.retain(|_, until| *until > now);
    }
}
