//! A connection, the exchange that it carries, and until when it can be reused.

use crate::memory::{Charge, Memory};
use crate::stream::Stream;
use ledgelead_http::{Response, ResponseReader};
use ledgelead_router::answer_filter::{AnswerFilter, CarriedIds};
use ledgelead_router::io::{ConnectionPool, ConnectionReuse, ExchangeFailure, ExchangeId};
use ledgelead_router::validation::MAX_TIMEOUT;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest body of an answer, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 64 << 20;
/// How long before the peer's `Keep-Alive` timeout an idle connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// Unsolicited answers that one exchange skips.
const MAX_UNSOLICITED_ANSWERS: u32 = 3;

/// Bytes of an answer that are read before there has to be memory for all of it.
const UNADMITTED_BYTES: usize = 16_384;

/// Whether there is memory for an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Admission {
    /// Only its first bytes are read so far.
    #[default]
    Undecided,
    /// It is not read on until there is memory.
    Waiting,
    /// It is read to its end.
    Admitted,
}

/// Identifies the idle connections of a pool to one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PoolKey {
    pub(super) address: SocketAddr,
    pub(super) pool: ConnectionPool,
}

/// The exchange that a connection carries.
pub(super) struct Running {
    pub(super) exchange: ExchangeId,
    /// Whether it ends once its connection is established.
    pub(super) is_probe: bool,
    pub(super) method: String,
    pub(super) reader: ResponseReader,
    pub(super) answer: AnswerFilter,
    pub(super) reuse: ConnectionReuse,
    pub(super) admission: Admission,
    /// Unsolicited answers skipped so far.
    pub(super) unsolicited: u32,
    /// How long the connection was idle before the exchange; zero for a new connection.
    pub(super) idle_for: Duration,
    /// When the request is written, if that is delayed on a new connection.
    pub(super) write_at: Option<Instant>,
    /// Delay between the connection's establishment and the first write.
    pub(super) observe_before_write: Duration,
    pub(super) connect_by: Instant,
    /// When the whole request must be written, if that is bounded.
    pub(super) write_by: Option<Instant>,
    pub(super) answer_by: Instant,
    /// If set, each part of the answer that arrives moves `answer_by` to this much later.
    pub(super) idle_timeout: Option<Duration>,
    /// When the exchange fails unless some part of the answer has arrived, on a reused
    /// connection.
    pub(super) unresponsive_at: Option<Instant>,
}

/// A connection to an instance or to the store.
pub(super) struct Connection {
    pub(super) generation: u64,
    pub(super) pool: PoolKey,
    pub(super) stream: Stream,
    pub(super) connected: bool,
    pub(super) running: Option<Running>,
    pub(super) carried: CarriedIds<Instant>,
    pub(super) idle_since: Instant,
    pub(super) keep_until: Option<Instant>,
    pub(super) buffered: Charge,
    /// Charges an answer that was admitted and is not complete yet.
    pub(super) incomplete: Charge,
    /// Charges what is missing of an answer that is not read on.
    pub(super) missing: Charge,
}

impl PoolKey {
    /// Logs an answer that belongs to no order. Those to requests are frequent and harmless.
    pub(super) fn log_unsolicited(self, response: &Response) {
        if self.pool == ConnectionPool::Orders {
            let (status, address) = (response.status, self.address);
            log::info!(target: "ownership", "skipped an answer {status} from {address} that belongs to no order");
        }
    }
}

impl Connection {
    /// Whether bytes that arrived on an idle connection could pass for the answer to an order,
    /// which carries no id.
    pub(super) fn has_unsolicited_bytes(&self) -> bool {
        self.pool.pool == ConnectionPool::Orders && !self.stream.input.is_empty()
    }

    /// Bytes of the answer that have arrived.
    pub(super) fn answer_bytes(&self) -> usize {
        let running = self.running.as_ref();
        let read = running.map_or(0, |running| running.reader.received_bytes());
        self.stream.input.len() + read
    }

    pub(super) fn buffered_bytes(&self) -> usize {
        let running = self.running.as_ref();
        let reader = running.map_or(0, |running| running.reader.reserved_bytes());
        self.stream.buffered_bytes() + reader
    }

    /// Bytes of the answer that are missing as far as its length is known.
    pub(super) fn missing_bytes(&self) -> usize {
        let running = self.running.as_ref();
        let whole = running.map_or(0, |running| running.reader.reserved_bytes());
        whole.saturating_sub(self.answer_bytes())
    }

    /// Charges the present sizes of the buffers.
    pub(super) fn charge(&mut self) {
        let is_admitted = self
            .running
            .as_ref()
            .is_some_and(|running| running.admission == Admission::Admitted);
        let (buffered, incomplete) = match is_admitted {
            true => (
                self.buffered_bytes(),
                self.answer_bytes() + self.missing_bytes(),
            ),
            false => (self.buffered_bytes() - self.missing_bytes(), 0),
        };
        self.buffered.set(buffered);
        self.incomplete.set(incomplete);
    }

    /// Reads available bytes of one turn, or only the first ones of an answer for which there
    /// is no memory.
    pub(super) fn fill(&mut self, memory: &Memory) {
        self.admit(memory);
        let undecided = self
            .running
            .as_ref()
            .filter(|running| running.admission != Admission::Admitted);
        match undecided.map(|running| running.reader.received_bytes()) {
            Some(received) => self.stream.fill(UNADMITTED_BYTES.saturating_sub(received)),
            None => self.stream.fill_turn(),
        }
    }

    /// Admits the answer if there is memory. If the timeout restarts with each part, it always is:
    /// the pause would count as silence.
    fn admit(&mut self, memory: &Memory) {
        let is_begun = self.answer_bytes() >= UNADMITTED_BYTES;
        let has_room = is_begun && self.can_be_admitted(memory);
        let Some(running) = self.running.as_mut() else {
            return;
        };
        let is_needed = running.admission != Admission::Admitted;
        let is_free = running.idle_timeout.is_some();
        if is_needed && (is_free || has_room) {
            running.admission = Admission::Admitted;
            self.missing.set(0);
        }
    }

    /// Whether there is memory for the whole answer.
    pub(super) fn can_be_admitted(&self, memory: &Memory) -> bool {
        memory.admits_answer(self.answer_bytes(), self.missing_bytes())
    }

    /// Lets an answer wait that has bytes to be read and isn't admitted. Returns how it stood
    /// before; `None` if it doesn't wait.
    pub(super) fn begin_waiting(&mut self) -> Option<Admission> {
        if self.answer_bytes() < UNADMITTED_BYTES {
            return None;
        }
        let missing = self.missing_bytes();
        let running = self.running.as_mut()?;
        if running.admission == Admission::Admitted {
            return None;
        }
        self.missing.set(missing.max(UNADMITTED_BYTES));
        Some(std::mem::replace(
            &mut running.admission,
            Admission::Waiting,
        ))
    }

    /// Lets the admission of a waiting answer be decided again.
    pub(super) fn stop_waiting(&mut self) {
        self.missing.set(0);
        if let Some(running) = self.running.as_mut()
            && running.admission == Admission::Waiting
        {
            running.admission = Admission::Undecided;
        }
    }

    /// Whether the request must not be written yet.
    pub(super) fn is_write_delayed(&self, now: Instant) -> bool {
        let running = self.running.as_ref();
        running
            .and_then(|running| running.write_at)
            .is_some_and(|write_at| now < write_at)
    }

    /// Whether the time limit of the exchange has passed.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|running| running.answer_by <= now)
    }

    /// Whether the time limit for writing has passed before the whole request was written.
    pub(super) fn has_write_timed_out(&self, now: Instant) -> bool {
        let running = self.running.as_ref();
        let is_past = running
            .and_then(|running| running.write_by)
            .is_some_and(|write_by| write_by <= now);
        is_past && self.stream.is_incomplete()
    }

    /// The failure of an exchange that has timed out, by how far its request was written.
    pub(super) fn timeout_failure(&self, now: Instant) -> ExchangeFailure {
        if !self.connected {
            ExchangeFailure::NotConnected
        } else if self.stream.is_incomplete() {
            ExchangeFailure::Incomplete { timed_out: true }
        } else if self.is_unresponsive(now) {
            ExchangeFailure::Unresponsive
        } else {
            ExchangeFailure::TimedOut
        }
    }

    /// Whether the connection was reused and has brought no part of the answer in time.
    pub(super) fn is_unresponsive(&self, now: Instant) -> bool {
        let running = self.running.as_ref();
        running
            .and_then(|running| running.unresponsive_at)
            .is_some_and(|at| at <= now)
    }

    /// Whether the connection was idle for less than `below` and the peer keeps it open.
    pub(super) fn is_reusable(&self, below: Duration, now: Instant) -> bool {
        let is_kept = self.keep_until.is_none_or(|until| now < until);
        is_kept && now.duration_since(self.idle_since) < below
    }
}

impl Running {
    /// Skips an unsolicited answer and prepares for the next one. False if there were too
    /// many.
    pub(super) fn skip_answer(&mut self) -> bool {
        self.unsolicited += 1;
        self.reader = ResponseReader::new(&self.method, MAX_BODY_BYTES);
        self.unsolicited <= MAX_UNSOLICITED_ANSWERS
    }
}

/// How long the peer keeps an idle connection open according to its `Keep-Alive` header, less
/// a margin.
pub(super) fn keep_alive(response: &Response) -> Option<Duration> {
    let value = response.headers.text("keep-alive")?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse::<u64>().ok())?;
    let keep = Duration::from_secs(seconds).min(MAX_TIMEOUT);
    Some(keep.saturating_sub(KEEP_ALIVE_MARGIN))
}
