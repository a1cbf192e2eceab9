//! Tokens for requests to instances that name rate limits, and messages about them.

use crate::Timestamp;
use crate::identity::{InstanceId, ZoneName};
use crate::io::ClientId;
use crate::rate_limit::{LimitStatement, TokenVerdict};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A request's token, or its wait for one.
#[derive(Clone, Debug)]
pub struct Token {
    /// The instance that it may be sent to.
    pub instance: InstanceId,
    /// This node's number for the ask.
    pub number: u64,
    /// How far it is.
    pub state: TokenState,
}

/// Where a request stands with a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenState {
    /// It has asked.
    Asked {
        /// Whom.
        of: SocketAddr,
        /// How many times, this one included.
        asks: usize,
        /// When something is done about it without a decision.
        check_at: Timestamp,
    },
    /// It may be sent.
    Held,
}

/// An ask for a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// This node's number for it.
    pub number: u64,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// The zone of the instance.
    pub zone: ZoneName,
    /// What the asking node knows of the instance's limit.
    pub statement: LimitStatement,
}

/// A limiter's decision on an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDecision {
    /// The number of the ask.
    pub number: u64,
    /// Stable hash of the instance's id.
    pub instance: u64,
    /// What becomes of it.
    pub verdict: TokenVerdict,
}

/// Asks without a decision.
#[derive(Debug, Default)]
pub(super) struct TokenAsks {
    clients: HashMap<u64, ClientId>,
    last_number: u64,
    pub(super) outbox: Vec<(SocketAddr, TokenRequest)>,
    /// Limiters that didn't answer, until when they aren't asked.
    pub(super) silent: HashMap<SocketAddr, Timestamp>,
}

impl TokenAsks {
    /// None yet. Numbers begin at one that earlier lives of the node have not used.
    pub(super) fn new(first_number: u64) -> TokenAsks {
        TokenAsks {
            last_number: first_number,
            ..TokenAsks::default()
        }
    }

    /// A number for an ask of this client's request.
    pub(super) fn number(&mut self, client: ClientId) -> u64 {
        self.last_number = self.last_number.wrapping_add(1);
        self.clients.insert(self.last_number, client);
        self.last_number
    }

    /// Whose request asked under a number.
    pub(super) fn take_client(&mut self, number: u64) -> Option<ClientId> {
        self.clients.remove(&number)
    }

    /// Forgets asks whose requests have ended, and limiters that may be asked again.
    pub(super) fn expire(&mut self, is_open: impl Fn(&ClientId) -> bool, now: Timestamp) {
        self.clients.retain(|_, client| is_open(client));
        self.silent.retain(|_, until| *until > now);
    }
}
