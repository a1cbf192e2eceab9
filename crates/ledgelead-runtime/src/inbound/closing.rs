//! Which connections are closed: those that took too long, and those that hold memory while it
//! is short.

use super::Inbound;
use super::connection::Connection;
use super::credit::{self, Phase};
use crate::endpoint::Endpoint;
use crate::stream::Socket;
use ledgelead_router::configuration::ClientLimits;
use std::time::{Duration, Instant};

/// If memory is short, a client that has accepted no byte of its answer for this long is
/// disconnected. Retransmissions over a lossy link take only a part of this time.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of the connections that are closed at once when there are too many, so that the
/// connections need not be searched for each new one.
const CLOSED_AT_ONCE: usize = 32;

/// Connections that were closed so far because of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Closed {
    /// The client did not read its answer while memory was short.
    pub(crate) unread_answers: u64,
    /// The client sent a part of a head, and memory was short.
    pub(crate) partial_heads: u64,
    /// The head did not arrive in time.
    pub(crate) slow_heads: u64,
    /// The body arrived too slowly.
    pub(crate) slow_uploads: u64,
    /// The client read no byte of its answer for the idle timeout.
    pub(crate) stalled_answers: u64,
    /// It was idle, began a head or did not read its answer, and others needed the room.
    pub(crate) replaced: u64,
    /// It was new, and there was no room.
    pub(crate) refused: u64,
}

impl Closed {
    /// The counts with the names of their reasons.
    pub(crate) fn by_reason(&self) -> [(&'static str, u64); 7] {
        [
            ("unread_answer", self.unread_answers),
            ("partial_head", self.partial_heads),
            ("slow_head", self.slow_heads),
            ("slow_upload", self.slow_uploads),
            ("stalled_answer", self.stalled_answers),
            ("replaced", self.replaced),
            ("refused", self.refused),
        ]
    }

    fn count_timeout(&mut self, phase: Phase) {
        match phase {
            Phase::Head => self.slow_heads += 1,
            Phase::Body => self.slow_uploads += 1,
            Phase::Answering => self.stalled_answers += 1,
            Phase::Idle | Phase::Open | Phase::ShutDown => {}
        }
    }
}

impl<S: Socket> Inbound<S> {
    /// Connections that were closed because of a limit.
    pub(crate) fn closed(&self) -> Closed {
        self.closed
    }

    /// Frees `excess` bytes by disconnecting clients that have accepted no byte of their answers
    /// for `min_stall`, the longest stalled first. The connection that was just answered is
    /// exempt. Answers within the share that is reserved for answers are never dropped to make
    /// room for bodies.
    pub(super) fn drop_stalled_clients(
        &mut self,
        excess: usize,
        min_stall: Duration,
        answered: Option<usize>,
        now: Instant,
    ) {
        let mut excess = excess.min(self.memory.unsent_excess());
        if excess == 0 {
            return;
        }
        let mut stalled: Vec<(Instant, usize)> = self
            .connections
            .iter()
            .filter(|(index, _)| Some(*index) != answered)
            .filter(|(_, connection)| connection.is_stalled(min_stall, now))
            .map(|(index, connection)| (connection.last_write, index))
            .collect();
        stalled.sort_unstable();
        for (_, index) in stalled {
            if excess == 0 {
                return;
            }
            let connection = self.connections.remove(index);
            connection.stream.reset_on_close();
            excess = excess.saturating_sub(connection.buffered_bytes());
            self.closed.unread_answers += 1;
        }
    }

    /// While the buffers exceed the memory budget, disconnects clients that have sent a part of
    /// a head, the oldest first.
    pub(super) fn drop_partial_heads(&mut self) {
        let mut excess = self.memory.excess();
        if excess == 0 {
            return;
        }
        let mut partial: Vec<(Instant, usize)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.phase() == Phase::Head)
            .map(|(index, connection)| (connection.state_since, index))
            .collect();
        partial.sort_unstable();
        for (_, index) in partial {
            if excess == 0 {
                return;
            }
            let connection = self.connections.remove(index);
            excess = excess.saturating_sub(connection.buffered_bytes());
            self.closed.partial_heads += 1;
        }
    }

    /// Whether there is room for a new connection. If there are too many, those are closed
    /// that have been idle for longest, then those that have sent a part of a head, then those
    /// whose clients don't read their answers. None of them has a request at work.
    pub(crate) fn make_room(&mut self, endpoint: Endpoint, now: Instant) -> bool {
        let limit = self.connection_limits.inbound(endpoint);
        if self.open.of(endpoint).total() < limit {
            return true;
        }
        self.replace_longest(endpoint, limit.div_ceil(CLOSED_AT_ONCE), now);
        let has_room = self.open.of(endpoint).total() < limit;
        self.closed.refused += u64::from(!has_room);
        has_room
    }

    /// Closes connections of clients since the process has no descriptors left.
    pub(crate) fn release_descriptors(&mut self, now: Instant) {
        let open = self.open.of(Endpoint::Clients).total();
        self.replace_longest(Endpoint::Clients, open.div_ceil(CLOSED_AT_ONCE), now);
    }

    fn replace_longest(&mut self, endpoint: Endpoint, count: usize, now: Instant) {
        let mut replaceable: Vec<(Phase, Instant, usize)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.endpoint == endpoint)
            .filter(|(_, connection)| connection.is_replaceable(now))
            .map(|(index, connection)| (connection.phase(), connection.since(), index))
            .collect();
        replaceable.sort_unstable();
        for (_, _, index) in replaceable.into_iter().take(count) {
            self.connections.remove(index);
            self.closed.replaced += 1;
        }
    }

    /// Closes the connections of clients without an open request. If a request arrives at the
    /// same time, the client gets no answer and can tell that it was not read.
    pub(crate) fn close_idle(&mut self) {
        self.connections.retain(|_, connection| {
            connection.endpoint != Endpoint::Clients || !connection.is_idle()
        });
    }

    /// Closes connections that stayed too long as they are, and those that hold memory while
    /// it is short.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let excess = self.memory.excess_with_waiting();
        self.drop_stalled_clients(excess, WRITE_STALL_TIMEOUT, None, now);
        self.drop_partial_heads();
        let (limits, closed) = (self.limits, &mut self.closed);
        self.connections.retain(|_, connection| {
            let has_timed_out = connection.has_timed_out(limits, now);
            if has_timed_out {
                closed.count_timeout(connection.phase());
            }
            !has_timed_out
        });
        self.log_closed();
    }

    /// Logs what was closed since the last call, on one line.
    fn log_closed(&mut self) {
        if self.closed != self.logged {
            let closed = self.closed;
            log::warn!(target: "runtime", "connections closed by limits so far: {closed:?}");
            self.logged = closed;
        }
    }
}

impl<S: Socket> Connection<S> {
    /// Whether an answer is not completely written, and no byte of it was written for this
    /// time.
    fn is_stalled(&self, time: Duration, now: Instant) -> bool {
        let is_unsent = self.open.is_none() && !self.stream.is_flushed();
        is_unsent && now.duration_since(self.last_write) >= time
    }

    /// Whether no part of a request has arrived that waits for a turn.
    fn is_idle(&self) -> bool {
        self.phase() == Phase::Idle && self.stream.input.is_empty()
    }

    fn is_replaceable(&self, now: Instant) -> bool {
        match self.phase() {
            Phase::Idle => self.is_idle(),
            Phase::Head | Phase::ShutDown => true,
            Phase::Answering => self.is_stalled(WRITE_STALL_TIMEOUT, now),
            Phase::Body | Phase::Open => false,
        }
    }

    /// When the present phase began, or its last progress was made.
    fn since(&self) -> Instant {
        match self.phase() {
            Phase::Answering => self.last_write,
            _ => self.shut_down_at.unwrap_or(self.state_since),
        }
    }

    fn has_timed_out(&self, limits: ClientLimits, now: Instant) -> bool {
        credit::timeout(self.phase(), self.reader.received_bytes(), limits)
            .is_some_and(|timeout| now.duration_since(self.since()) >= timeout)
    }
}
