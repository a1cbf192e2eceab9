//! Outbound connections: exchanges with instances and with the store, and the idle
//! connections that later exchanges reuse.

mod answers;
mod connection;

use self::connection::{Admission, Connection, MAX_BODY_BYTES, PoolKey, Running, keep_alive};
use crate::memory::Memory;
use crate::stream::Stream;
use ledgelead_http::{Request, Response, ResponseReader, write_request};
use ledgelead_router::answer_filter::CarriedIds;
use ledgelead_router::io::{ExchangeFailure, ExchangeId, ExchangeOptions, Input};
use slab::Slab;
use stakker_mio::MioSource;
use stakker_mio::mio::net::TcpStream;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Idle connections kept for one address in each pool.
const MAX_IDLE_PER_ADDRESS: usize = 12;
/// Part of the connections that are closed at once when there are too many, so that the
/// connections need not be searched for each new one.
const CLOSED_AT_ONCE: usize = 32;
/// An idle connection is closed after this time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(9);

/// Identifies a connection by its slot in the table and the use of the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionKey {
    pub(crate) index: usize,
    pub(crate) generation: u64,
}

/// An exchange to begin on an idle or a new connection.
pub(crate) struct NewExchange {
    pub(crate) exchange: ExchangeId,
    pub(crate) address: SocketAddr,
    /// `None` for a probe, which ends once its connection is established.
    pub(crate) request: Option<Request>,
    pub(crate) options: ExchangeOptions,
}

impl NewExchange {
    fn pool_key(&self) -> PoolKey {
        PoolKey {
            address: self.address,
            pool: self.options.pool,
        }
    }

    /// An exchange that opens a connection and sends nothing on it.
    pub(crate) fn probe(exchange: ExchangeId, address: SocketAddr, timeout: Duration) -> Self {
        NewExchange {
            exchange,
            address,
            request: None,
            options: ExchangeOptions::new(timeout, timeout),
        }
    }
}

/// All connections to instances and to the store.
#[derive(Default)]
pub(crate) struct Outbound {
    connections: Slab<Connection>,
    idle: HashMap<PoolKey, Vec<usize>>,
    by_exchange: HashMap<ExchangeId, usize>,
    deadlines: BTreeSet<(Instant, ConnectionKey)>,
    /// Connections that may have more bytes than were read.
    unread: BTreeSet<ConnectionKey>,
    /// Connections whose answers are not read on for lack of memory, the longest waiting first.
    waiting: VecDeque<ConnectionKey>,
    memory: Memory,
    connection_limit: Option<usize>,
    last_generation: u64,
    unsolicited_answers: u64,
}

impl Outbound {
    /// No connections; their buffers will be charged to this memory.
    pub(crate) fn new(memory: Memory) -> Outbound {
        Outbound {
            memory,
            ..Outbound::default()
        }
    }

    /// Begins an exchange on an idle connection. Returns the exchange if there is none.
    pub(crate) fn start_on_idle(
        &mut self,
        new: Box<NewExchange>,
        now: Instant,
        inputs: &mut Vec<Input>,
    ) -> Result<(), Box<NewExchange>> {
        let Some(index) = self.take_idle(&new, now) else {
            return Err(new);
        };
        self.begin(index, *new, now);
        self.progress(index, now, inputs);
        Ok(())
    }

    /// Replaces the limit of the number of connections.
    pub(crate) fn set_connection_limit(&mut self, limit: usize) {
        self.connection_limit = Some(limit);
        if self.connections.len() > limit {
            self.make_room();
        }
    }

    /// Closes the longest idle connections if there are too many for another one. Their number
    /// is bounded apart from idle ones: each serves a request or an order.
    pub(crate) fn make_room(&mut self) {
        let limit = self.connection_limit.unwrap_or(usize::MAX);
        if self.connections.len() < limit {
            return;
        }
        let all = self.connections.iter();
        let idle = all.filter(|(_, connection)| connection.running.is_none());
        let mut idle: Vec<(Instant, usize)> = idle
            .map(|(index, connection)| (connection.idle_since, index))
            .collect();
        idle.sort_unstable();
        for (_, index) in idle.into_iter().take(limit.div_ceil(CLOSED_AT_ONCE)) {
            self.drop_connection(index);
        }
    }

    /// The key that the next new connection will have.
    pub(crate) fn next_key(&self) -> ConnectionKey {
        ConnectionKey {
            index: self.connections.vacant_key(),
            generation: self.last_generation + 1,
        }
    }

    /// Begins an exchange on a new connection.
    pub(crate) fn start_on_new(
        &mut self,
        source: MioSource<TcpStream>,
        new: NewExchange,
        now: Instant,
    ) {
        self.last_generation += 1;
        let index = self.connections.insert(Connection {
            generation: self.last_generation,
            pool: new.pool_key(),
            stream: Stream::new(source),
            connected: false,
            running: None,
            carried: CarriedIds::default(),
            idle_since: now,
            keep_until: None,
            buffered: self.memory.buffers.open(),
            incomplete: self.memory.incomplete.open(),
            missing: self.memory.waiting.open(),
        });
        self.begin(index, new, now);
    }

    /// Aborts an exchange by closing its connection.
    pub(crate) fn cancel(&mut self, exchange: ExchangeId) {
        if let Some(index) = self.by_exchange.remove(&exchange) {
            self.drop_connection(index);
        }
    }

    /// Handles the readiness of a connection's socket.
    pub(crate) fn ready(&mut self, key: ConnectionKey, now: Instant, inputs: &mut Vec<Input>) {
        let connection = self.connections.get_mut(key.index);
        let current = connection.filter(|connection| connection.generation == key.generation);
        if let Some(connection) = current {
            if connection.connected {
                connection.stream.set_unread();
            }
            self.progress(key.index, now, inputs);
            self.fail_longest_answer(key.index, inputs);
        }
    }

    /// Answers skipped so far that did not belong to the exchange on their connection.
    pub(crate) fn unsolicited_answers(&self) -> u64 {
        self.unsolicited_answers
    }

    /// The next time limit of an exchange.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Fails exchanges whose time limit has passed, and writes requests whose delay is over.
    pub(crate) fn expire(&mut self, now: Instant, inputs: &mut Vec<Input>) {
        while let Some((at, key)) = self.deadlines.first().copied() {
            if at > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(connection) = self.connections.get(key.index) else {
                continue;
            };
            let Some(running) = connection.running.as_ref() else {
                continue;
            };
            if connection.generation != key.generation {
                continue;
            }
            if connection.connected
                && running.answer_by > now
                && !connection.has_write_timed_out(now)
                && !connection.is_unresponsive(now)
            {
                self.deadlines.insert((running.answer_by, key));
                if running.write_at == Some(at) {
                    self.progress(key.index, now, inputs);
                }
                continue;
            }
            let failure = connection.timeout_failure(now);
            self.fail(key.index, failure, inputs);
        }
    }

    /// Adds the time of a suspension to the age of idle connections. The monotonic clock does
    /// not count it, but the peer may have closed them meanwhile.
    pub(crate) fn add_suspension(&mut self, by: Duration) {
        let earlier = |at: Instant| at.checked_sub(by).unwrap_or(at);
        for (_, connection) in &mut self.connections {
            connection.idle_since = earlier(connection.idle_since);
            connection.keep_until = connection.keep_until.map(earlier);
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn close_expired_idle(&mut self, now: Instant) {
        let stale: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.running.is_none() && !connection.is_reusable(MAX_IDLE_TIME, now)
            })
            .map(|(index, _)| index)
            .collect();
        for index in stale {
            self.drop_connection(index);
        }
    }

    /// Takes the connection that became idle most recently, of those that have not carried
    /// the id of this request.
    fn take_idle(&mut self, new: &NewExchange, now: Instant) -> Option<usize> {
        let below = new.options.reuse_idle_below;
        if below.is_zero() {
            // A new connection is wanted; the idle ones remain for other exchanges.
            return None;
        }
        let pool = new.pool_key();
        let newest = *self.idle.get(&pool)?.last()?;
        if !self.connections.get(newest)?.is_reusable(below, now) {
            // The others are older.
            for index in self.idle.remove(&pool)? {
                self.drop_connection(index);
            }
            return None;
        }
        let is_usable = |index: &usize| {
            self.connections.get(*index).is_some_and(|connection| {
                let has_carried = connection.carried.contains(&new.options.answer);
                connection.is_reusable(below, now) && !has_carried
            })
        };
        let idle = self.idle.get_mut(&pool)?;
        let position = idle.iter().rposition(is_usable)?;
        Some(idle.remove(position))
    }

    fn begin(&mut self, index: usize, new: NewExchange, now: Instant) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.stream.begin_message();
        if let Some(request) = &new.request {
            write_request(request, connection.stream.output());
        }
        let method = new.request.as_ref().map(|request| request.method.clone());
        let method = method.unwrap_or_default();
        let connect_by = now + new.options.connect_timeout;
        let write_by = new.options.write_timeout.map(|time| now + time);
        let answer_by = now + new.options.timeout;
        let first_deadline = if connection.connected {
            answer_by
        } else {
            connect_by.min(answer_by)
        };
        let key = ConnectionKey {
            index,
            generation: connection.generation,
        };
        let unresponsive_at = new
            .options
            .reused_answer_timeout
            .filter(|_| connection.connected)
            .map(|time| now + time);
        connection.charge();
        let answer = &new.options.answer;
        connection.carried.record(answer, answer_by, now);
        connection.running = Some(Running {
            exchange: new.exchange,
            is_probe: new.request.is_none(),
            reader: ResponseReader::new(&method, MAX_BODY_BYTES),
            method,
            answer: new.options.answer,
            reuse: new.options.reuse,
            unsolicited: 0,
            admission: Admission::default(),
            idle_for: if connection.connected {
                now.duration_since(connection.idle_since)
            } else {
                Duration::ZERO
            },
            write_at: None,
            observe_before_write: new.options.observe_before_write,
            connect_by,
            write_by,
            answer_by,
            idle_timeout: new.options.timeout_restarts.then_some(new.options.timeout),
            unresponsive_at,
        });
        self.by_exchange.insert(new.exchange, index);
        self.deadlines.insert((first_deadline, key));
        for limit in [write_by, unresponsive_at].into_iter().flatten() {
            self.deadlines.insert((limit, key));
        }
    }

    /// Reads and writes what the connection allows, and advances its exchange.
    fn progress(&mut self, index: usize, now: Instant, inputs: &mut Vec<Input>) {
        self.advance(index, now, inputs);
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.charge();
        if !connection.stream.has_unread() {
            return;
        }
        let key = ConnectionKey {
            index,
            generation: connection.generation,
        };
        match connection.begin_waiting() {
            Some(Admission::Waiting) => {}
            Some(_) => self.waiting.push_back(key),
            None => {
                self.unread.insert(key);
            }
        }
    }

    fn advance(&mut self, index: usize, now: Instant, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if !connection.connected {
            match connection.stream.check_connected() {
                Ok(true) => {
                    connection.connected = true;
                    self.delay_first_write(index, now);
                }
                Ok(false) => return,
                Err(failure) => {
                    self.fail(index, failure, inputs);
                    return;
                }
            }
        }
        if self.is_probe(index) {
            self.complete(index, Response::new(200, ""), true, now, inputs);
            return;
        }
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        connection.fill(&self.memory);
        let unsent = connection.running.is_some() && !connection.stream.has_written();
        if unsent && (connection.stream.end().is_some() || connection.has_unsolicited_bytes()) {
            // No byte of the request was written, and none will be.
            self.fail(index, ExchangeFailure::ClosedUnsent, inputs);
            return;
        }
        if connection.is_write_delayed(now) {
            return;
        }
        if unsent && connection.is_overdue(now) {
            // The process was suspended meanwhile; `expire` ends the exchange.
            return;
        }
        connection.stream.flush();
        // The answer may have arrived while the request was written.
        connection.fill(&self.memory);
        if connection.running.is_some() {
            self.read_answer(index, now, inputs);
        } else if connection.stream.end().is_some() || !connection.stream.input.is_empty() {
            // Bytes on an idle connection belong to no request.
            self.drop_connection(index);
        }
    }

    fn is_probe(&self, index: usize) -> bool {
        let running = self
            .connections
            .get(index)
            .and_then(|connection| connection.running.as_ref());
        running.is_some_and(|running| running.is_probe)
    }

    /// Delays the first write on a new connection by the exchange's observation time, if it
    /// has one. A reset within that time proves that the request was not sent.
    fn delay_first_write(&mut self, index: usize, now: Instant) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let Some(running) = connection.running.as_mut() else {
            return;
        };
        if running.observe_before_write.is_zero() {
            return;
        }
        let write_at = now + running.observe_before_write;
        running.write_at = Some(write_at);
        let key = ConnectionKey {
            index,
            generation: connection.generation,
        };
        self.deadlines.insert((write_at, key));
    }

    fn complete(
        &mut self,
        index: usize,
        response: Response,
        reusable: bool,
        now: Instant,
        inputs: &mut Vec<Input>,
    ) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let Some(running) = connection.running.take() else {
            return;
        };
        self.by_exchange.remove(&running.exchange);
        let clean = connection.stream.input.is_empty()
            && !connection.stream.has_unread()
            && connection.stream.is_flushed()
            && connection.stream.end().is_none()
            && running.unsolicited == 0
            && running.reuse.allows(&response);
        let key = ConnectionKey {
            index,
            generation: connection.generation,
        };
        self.remove_deadlines(key, &running);
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if reusable && clean {
            connection.stream.shrink_input();
            connection.idle_since = now;
            connection.keep_until = keep_alive(&response).map(|keep| now + keep);
            let idle = self.idle.entry(connection.pool).or_default();
            idle.push(index);
            if idle.len() > MAX_IDLE_PER_ADDRESS {
                let oldest = idle.remove(0);
                self.drop_connection(oldest);
            }
        } else {
            self.drop_connection(index);
        }
        inputs.push(Input::ExchangeEnded {
            exchange: running.exchange,
            result: Ok(response),
            idle_for: running.idle_for,
        });
    }

    fn fail(&mut self, index: usize, failure: ExchangeFailure, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let key = ConnectionKey {
            index,
            generation: connection.generation,
        };
        let running = connection.running.take();
        if running.is_some() {
            connection.stream.reset_on_close();
        }
        self.drop_connection(index);
        if let Some(running) = running {
            self.remove_deadlines(key, &running);
            self.by_exchange.remove(&running.exchange);
            inputs.push(Input::ExchangeEnded {
                exchange: running.exchange,
                result: Err(failure),
                idle_for: running.idle_for,
            });
        }
    }

    fn drop_connection(&mut self, index: usize) {
        let Some(connection) = self.connections.try_remove(index) else {
            return;
        };
        if let Some(idle) = self.idle.get_mut(&connection.pool) {
            idle.retain(|other| *other != index);
            if idle.is_empty() {
                self.idle.remove(&connection.pool);
            }
        }
        if let Some(running) = connection.running {
            // The exchange is aborted: bytes in the kernel's buffer must not arrive later.
            connection.stream.reset_on_close();
            let key = ConnectionKey {
                index,
                generation: connection.generation,
            };
            self.remove_deadlines(key, &running);
        }
    }

    fn remove_deadlines(&mut self, key: ConnectionKey, running: &Running) {
        let writing = running.write_at.into_iter().chain(running.write_by);
        for at in writing.chain([running.answer_by, running.connect_by]) {
            self.deadlines.remove(&(at, key));
        }
    }
}

#[cfg(test)]
impl Outbound {
    /// Memory that all connections take, in bytes, added up.
    pub(crate) fn buffered_bytes(&self) -> usize {
        let connections = self.connections.iter();
        connections
            .map(|(_, connection)| connection.buffered_bytes())
            .sum()
    }

    /// Bytes of answers that have arrived.
    pub(crate) fn received_bytes(&self) -> usize {
        let connections = self.connections.iter();
        connections
            .map(|(_, connection)| connection.answer_bytes())
            .sum()
    }
}

#[cfg(test)]
#[path = "../tests/outbound.rs"]
mod tests;
