//! Reads answers: which one ends an exchange, what the end of a connection proves, and how much
//! memory incomplete answers take.

use super::connection::Connection;
use super::{ConnectionKey, Outbound};
use crate::stream::StreamEnd;
use ledgelead_http::ResponseProgress;
use ledgelead_router::io::{ExchangeFailure, Input};
use std::collections::BTreeSet;
use std::time::Instant;

/// An answer that is shorter so far, in bytes, is not weighed against that share.
const MIN_WEIGHED_BYTES: usize = 65_536;

impl Outbound {
    /// Whether some connections have bytes to be read.
    pub(crate) fn has_unread(&self) -> bool {
        !self.unread.is_empty() || self.can_admit_waiting()
    }

    /// The connections that have bytes to be read. An answer that has waited is among them once
    /// there is memory for it.
    pub(crate) fn take_unread(&mut self) -> BTreeSet<ConnectionKey> {
        if self.can_admit_waiting()
            && let Some(key) = self.waiting.pop_front()
        {
            let connection = self.connections.get_mut(key.index);
            if let Some(connection) = connection.filter(|it| it.generation == key.generation) {
                connection.stop_waiting();
            }
            self.unread.insert(key);
        }
        std::mem::take(&mut self.unread)
    }

    /// Whether there is memory for the answer that has waited longest, or it has ended.
    fn can_admit_waiting(&self) -> bool {
        let Some(key) = self.waiting.front() else {
            return false;
        };
        let connection = self.connections.get(key.index);
        connection
            .filter(|connection| connection.generation == key.generation)
            .is_none_or(|connection| connection.can_be_admitted(&self.memory))
    }

    /// If incomplete answers take too much memory, the longest one fails. An instance may send
    /// without end.
    pub(super) fn fail_longest_answer(&mut self, index: usize, inputs: &mut Vec<Input>) {
        let bytes =
            |connection: &Connection| connection.answer_bytes() + connection.missing_bytes();
        let is_short = |connection: &Connection| bytes(connection) < MIN_WEIGHED_BYTES;
        if !self.memory.has_long_answers() || self.connections.get(index).is_none_or(is_short) {
            return;
        }
        let all = self.connections.iter();
        if let Some((longest, connection)) = all.max_by_key(|(_, connection)| bytes(connection)) {
            let address = connection.pool.address;
            log::warn!(target: "runtime", "memory limit reached: gave up the longest answer, from {address}");
            self.fail(longest, ExchangeFailure::Malformed, inputs);
        }
    }

    pub(super) fn read_answer(&mut self, index: usize, now: Instant, inputs: &mut Vec<Input>) {
        loop {
            let Some(connection) = self.connections.get_mut(index) else {
                return;
            };
            let Some(running) = connection.running.as_mut() else {
                return;
            };
            if connection.stream.take_has_read() {
                running.unresponsive_at = None;
                if let Some(time) = running.idle_timeout {
                    // The earlier limit stays in `deadlines`; `expire` replaces it by the new
                    // one.
                    running.answer_by = now + time;
                }
            }
            match running.reader.read(&mut connection.stream.input) {
                Ok(ResponseProgress::Complete { response, reusable }) => {
                    if !running.answer.accepts(&response) {
                        self.unsolicited_answers += 1;
                        connection.pool.log_unsolicited(&response);
                        if running.skip_answer() {
                            continue;
                        }
                        self.fail(index, ExchangeFailure::Malformed, inputs);
                        return;
                    }
                    self.complete(index, response, reusable, now, inputs);
                    return;
                }
                Ok(ResponseProgress::Partial) => break,
                Err(_) => {
                    self.fail(index, ExchangeFailure::Malformed, inputs);
                    return;
                }
            }
        }
        self.check_end(index, now, inputs);
    }

    /// Handles a close by the peer, which completes an answer without length and truncates
    /// any other.
    fn check_end(&mut self, index: usize, now: Instant, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let Some(running) = connection.running.as_mut() else {
            return;
        };
        match connection.stream.end() {
            None => {}
            Some(StreamEnd::Closed) => match running.reader.finish_at_close() {
                Ok(response) if running.answer.accepts(&response) => {
                    self.complete(index, response, false, now, inputs);
                }
                _ => self.fail_disconnected(index, inputs),
            },
            Some(StreamEnd::Reset) => self.fail_disconnected(index, inputs),
        }
    }

    /// Fails an exchange whose connection ended without an answer. That proves that the
    /// request was not run only if no byte of it was written.
    fn fail_disconnected(&mut self, index: usize, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get(index) else {
            return;
        };
        let stream = &connection.stream;
        let failure = match (stream.has_written(), stream.is_incomplete()) {
            (false, _) => ExchangeFailure::ClosedUnsent,
            (true, true) => ExchangeFailure::Incomplete { timed_out: false },
            (true, false) => ExchangeFailure::Lost,
        };
        self.fail(index, failure, inputs);
    }
}
