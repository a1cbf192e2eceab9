//! Kept connections between nodes and instances, as the production runtime keeps them: idle
//! ones are reused, and the first accepted answer ends the exchange that uses a connection.
//!
//! Probes, which send nothing, and the number of connections that an instance accepts are not
//! modelled.

use super::event::{Caller, Event};
use ledgelead_http::Response;
use ledgelead_router::answer_filter::CarriedIds;
use ledgelead_router::io::{ConnectionPool, ExchangeId, ExchangeOptions};
use ledgelead_router::protections::{Protection, Protections};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Idle connections kept to one instance in each pool.
const MAX_IDLE: usize = 12;
/// Unsolicited answers that one exchange skips.
const MAX_UNSOLICITED: u32 = 3;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Idle connections that a node shares between exchanges. The end of an instance resets its
/// connections, so the index of an instance stands for its address.
type PoolKey = (Caller, usize, ConnectionPool);

struct Running {
    exchange: ExchangeId,
    options: ExchangeOptions,
    /// Answers skipped so far.
    unsolicited: u32,
}

struct Connection {
    pool: PoolKey,
    running: Option<Running>,
    carried: CarriedIds<Duration>,
    idle_since: Duration,
    /// Exchanges that the instance has not answered, in the order of their requests.
    unanswered: VecDeque<ExchangeId>,
    /// Requests that the instance has not read.
    unread: VecDeque<Event>,
    /// Whether it carries no more bytes, although neither end has closed it.
    is_silent: bool,
}

/// What an answer on a connection does to the exchange that uses it.
#[derive(Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It reaches no exchange.
    Dropped,
    /// The exchange ends with this answer.
    Accepted(ExchangeId),
    /// The exchange fails after too many unsolicited answers.
    Failed(ExchangeId),
}

/// The open connections.
#[derive(Default)]
pub struct Connections {
    /// Whether a connection may carry the same id again.
    repeats_ids: bool,
    last: u64,
    open: BTreeMap<ConnectionId, Connection>,
    idle: HashMap<PoolKey, Vec<ConnectionId>>,
    by_exchange: HashMap<(Caller, ExchangeId), ConnectionId>,
}

impl Connections {
    /// No connections yet. They carry ids more than once if that protection is off.
    pub fn new(protections: Protections) -> Connections {
        Connections {
            repeats_ids: !protections.has(Protection::DistinctIds),
            ..Connections::default()
        }
    }

    /// Begins an exchange on an idle connection or on a new one. Returns whether it is a new
    /// one.
    pub fn begin(
        &mut self,
        caller: Caller,
        instance: usize,
        exchange: ExchangeId,
        options: &ExchangeOptions,
        now: Duration,
    ) -> bool {
        let pool = (caller, instance, options.pool);
        let idle = self.take_idle(pool, options, now);
        let is_new = idle.is_none();
        let id = idle.unwrap_or_else(|| self.open_new(pool, now));
        let Some(connection) = self.open.get_mut(&id) else {
            return is_new;
        };
        let until = now + options.timeout;
        connection.carried.record(&options.answer, until, now);
        connection.unanswered.push_back(exchange);
        connection.running = Some(Running {
            exchange,
            options: options.clone(),
            unsolicited: 0,
        });
        self.by_exchange.insert((caller, exchange), id);
        is_new
    }

    fn open_new(&mut self, pool: PoolKey, now: Duration) -> ConnectionId {
        self.last += 1;
        let id = ConnectionId(self.last);
        let connection = Connection {
            pool,
            running: None,
            carried: CarriedIds::default(),
            idle_since: now,
            unanswered: VecDeque::new(),
            unread: VecDeque::new(),
            is_silent: false,
        };
        self.open.insert(id, connection);
        id
    }

    /// Takes the connection that became idle most recently, of those that have not carried
    /// the id of the request. If the last one is too old, so are the others, and all are
    /// closed.
    fn take_idle(
        &mut self,
        pool: PoolKey,
        options: &ExchangeOptions,
        now: Duration,
    ) -> Option<ConnectionId> {
        let below = options.reuse_idle_below;
        if below.is_zero() {
            return None;
        }
        let is_fresh = |connection: &Connection| now.saturating_sub(connection.idle_since) < below;
        let newest = *self.idle.get(&pool)?.last()?;
        if !is_fresh(self.open.get(&newest)?) {
            for id in self.idle.remove(&pool)? {
                self.close(id);
            }
            return None;
        }
        let is_usable = |id: &ConnectionId| {
            self.open.get(id).is_some_and(|connection| {
                let has_carried = connection.carried.contains(&options.answer);
                is_fresh(connection) && (self.repeats_ids || !has_carried)
            })
        };
        let idle = self.idle.get(&pool)?;
        let position = idle.iter().rposition(is_usable)?;
        Some(self.idle.get_mut(&pool)?.remove(position))
    }

    /// Closes the connection of an exchange that failed or was cancelled.
    pub fn abort(&mut self, caller: Caller, exchange: ExchangeId) {
        let connection = self.by_exchange.get(&(caller, exchange)).copied();
        if let Some(id) = connection.filter(|id| self.is_used_by(*id, exchange)) {
            self.close(id);
        }
    }

    /// All open connections to an instance fall silent.
    pub fn silence(&mut self, instance: usize) {
        let to_instance = |connection: &&mut Connection| connection.pool.1 == instance;
        for connection in self.open.values_mut().filter(to_instance) {
            connection.is_silent = true;
        }
    }

    /// Whether the connection of an exchange is silent.
    pub fn is_silent(&self, caller: Caller, exchange: ExchangeId) -> bool {
        let id = self.carrying(caller, exchange);
        id.and_then(|id| self.open.get(&id))
            .is_some_and(|connection| connection.is_silent)
    }

    /// Closes the connections of a node whose process ended.
    pub fn close_node(&mut self, node: usize) {
        let of_node = |(_, connection): &(&ConnectionId, &Connection)| connection.pool.0.0 == node;
        let ids: Vec<ConnectionId> = self
            .open
            .iter()
            .filter(of_node)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.close(id);
        }
    }

    /// The connection on which an instance answers an exchange.
    pub fn carrying(&self, caller: Caller, exchange: ExchangeId) -> Option<ConnectionId> {
        self.by_exchange.get(&(caller, exchange)).copied()
    }

    /// The node and the instance of an open connection.
    pub fn ends(&self, id: ConnectionId) -> Option<(Caller, usize)> {
        let (caller, instance, _) = self.open.get(&id)?.pool;
        Some((caller, instance))
    }

    /// Passes on a request that the instance can read now. It serves one request at a time on
    /// each connection; a later one waits until the earlier one is answered.
    pub fn admit(&mut self, event: Event) -> Option<Event> {
        let (Event::Request(caller, exchange, ..)
        | Event::Order {
            caller,
            exchange: Some(exchange),
            ..
        }) = &event
        else {
            return Some(event);
        };
        let (caller, exchange) = (*caller, *exchange);
        let connection = self
            .carrying(caller, exchange)
            .and_then(|id| self.open.get_mut(&id));
        match connection {
            Some(connection) if connection.unanswered.front() != Some(&exchange) => {
                connection.unread.push_back(event);
                None
            }
            _ => Some(event),
        }
    }

    /// The instance has answered an exchange. Returns the request that it reads next.
    pub fn answered(&mut self, caller: Caller, exchange: ExchangeId) -> Option<Event> {
        let id = self.by_exchange.remove(&(caller, exchange))?;
        let connection = self.open.get_mut(&id)?;
        connection.unanswered.retain(|other| *other != exchange);
        connection.unread.pop_front()
    }

    /// An answer arrives at the node, for whichever request it was sent.
    pub fn receive(&mut self, id: ConnectionId, response: &Response, now: Duration) -> Receipt {
        let Some(connection) = self.open.get_mut(&id) else {
            return Receipt::Dropped;
        };
        let Some(running) = connection.running.as_mut() else {
            // Bytes on an idle connection belong to no request.
            self.close(id);
            return Receipt::Dropped;
        };
        let exchange = running.exchange;
        if running.options.answer.accepts(response) {
            let is_clean = running.unsolicited == 0;
            if is_clean && running.options.reuse.allows(response) {
                self.put_idle(id, now);
            } else {
                self.close(id);
            }
            return Receipt::Accepted(exchange);
        }
        running.unsolicited += 1;
        if running.unsolicited <= MAX_UNSOLICITED {
            return Receipt::Dropped;
        }
        self.close(id);
        Receipt::Failed(exchange)
    }

    fn put_idle(&mut self, id: ConnectionId, now: Duration) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        connection.running = None;
        connection.idle_since = now;
        let idle = self.idle.entry(connection.pool).or_default();
        idle.push(id);
        if idle.len() > MAX_IDLE {
            let oldest = idle.remove(0);
            self.close(oldest);
        }
    }

    fn is_used_by(&self, id: ConnectionId, exchange: ExchangeId) -> bool {
        let running = self.open.get(&id).and_then(|open| open.running.as_ref());
        running.is_some_and(|running| running.exchange == exchange)
    }

    fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        if let Some(idle) = self.idle.get_mut(&connection.pool) {
            idle.retain(|other| *other != id);
        }
        let caller = connection.pool.0;
        for exchange in connection.unanswered {
            self.by_exchange.remove(&(caller, exchange));
        }
    }
}
