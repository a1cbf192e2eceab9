//! Which connections calls to the store use.
//!
//! A kept connection may have stopped carrying anything without a reset. A call that gets no
//! answer on one is made again on a new connection, early enough for the bounds that the state
//! is read for, and the connections kept since before are not used any more.

use crate::Timestamp;
use std::time::Duration;

/// Maximum idle time of a reused connection to the store.
const REUSE_IDLE: Duration = Duration::from_secs(4);
/// Time after which a call on a reused connection is made again, as a share of the shortest bound
/// for changes to reach all nodes. A change passes two calls, the coordinator's and the node's
/// own.
const ANSWER_SHARE: f64 = 0.1;
/// The same as a multiple of the time that the store has recently taken, if that is longer, so
/// that a slow store doesn't get each call twice.
const ANSWER_FACTOR: u32 = 2;

/// The connection of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// A kept one, if there is any.
    Any,
    /// A new one.
    New,
}

/// What is known of the connections to the store.
#[derive(Debug, Default)]
pub struct StoreConnections {
    /// When a kept connection last brought no answer.
    unresponsive_at: Option<Timestamp>,
    /// Time that the store has recently taken for an answer, beyond the wait for a change.
    answer_time: Duration,
}

impl StoreConnections {
    /// Records that a kept connection has brought no answer.
    pub fn record_unresponsive(&mut self, now: Timestamp) {
        self.unresponsive_at = Some(now);
    }

    /// Records the time in which the store answered a call, without the wait for a change.
    pub fn record_answer(&mut self, time: Duration) {
        self.answer_time = time.max(self.answer_time / 2);
    }

    /// Maximum idle time of the connection of a call; zero for a new connection.
    pub fn reuse_idle_below(&self, choice: ConnectionChoice, now: Timestamp) -> Duration {
        match choice {
            ConnectionChoice::New => Duration::ZERO,
            ConnectionChoice::Any => {
                let since = self.unresponsive_at.map(|at| now.saturating_sub(at));
                since.map_or(REUSE_IDLE, |since| since.min(REUSE_IDLE))
            }
        }
    }

    /// How long a call on a kept connection may be without an answer, beyond the wait for a
    /// change, if changes have to reach all nodes within `bound`.
    pub fn answer_limit(&self, bound: Duration) -> Duration {
        let usual = self.answer_time.saturating_mul(ANSWER_FACTOR);
        bound.mul_f64(ANSWER_SHARE).max(usual)
    }
}
