//! What a connection may read and for how long it may stay as it is, by what it is doing.
//!
//! Bytes without credit stay in the kernel, which stops the client. So what a connection takes
//! is bounded, however much its client sends ahead.

use crate::stream::TURN_BYTES;
use ledgelead_http::RequestLimits;
use ledgelead_router::configuration::ClientLimits;
use std::time::Duration;

/// Bytes that are read beyond an open request. They show that a client has closed its
/// connection, and the next request is at hand once the answer is written.
pub(super) const READ_AHEAD_BYTES: usize = 4_096;
/// How long a connection stays open after this side has shut down its direction, to wait for
/// the client's close. Closing earlier could cut off the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Slowest upload that is read to its end, in bytes a second. Slower ones would keep memory
/// for a body of any length for as long as they like.
const MIN_UPLOAD_BYTES_PER_S: usize = 8_192;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// No part of a request has arrived.
    Idle,
    /// A head is being received.
    Head,
    /// A body is being received.
    Body,
    /// The request is not answered yet.
    Open,
    /// The answer is being written.
    Answering,
    /// This side has shut down its direction.
    ShutDown,
}

/// Bytes that the input buffer may have, of which `read_ahead` beyond an open request.
pub(super) fn max_input(phase: Phase, read_ahead: usize, limits: RequestLimits) -> usize {
    match phase {
        Phase::Idle | Phase::Head => limits.max_head_bytes.saturating_add(READ_AHEAD_BYTES),
        Phase::Body | Phase::ShutDown => TURN_BYTES,
        Phase::Open | Phase::Answering => read_ahead,
    }
}

/// How long a connection may stay in a phase; `None` if the node decides. `received` are the
/// bytes of the body so far.
pub(super) fn timeout(phase: Phase, received: usize, limits: ClientLimits) -> Option<Duration> {
    match phase {
        Phase::Idle | Phase::Answering => Some(limits.idle_timeout),
        Phase::Head => Some(limits.head_timeout),
        Phase::Body => {
            let seconds = received / MIN_UPLOAD_BYTES_PER_S;
            let progress = Duration::from_secs(seconds as u64);
            Some(limits.idle_timeout.saturating_add(progress))
        }
        Phase::Open => None,
        Phase::ShutDown => Some(CLOSE_TIMEOUT),
    }
}
