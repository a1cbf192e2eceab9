//! Stands between callers and the HTTP server, and bounds what callers can
//! make it hold.
//!
//! `tiny_http` takes one thread a connection, waits for ever for a slow
//! caller's bytes, reads headers of any length, and ends its accept loop at the
//! first error. The guard owns the public port. It passes bytes between each
//! caller and an inner connection on the loopback, caps connections, headers,
//! bodies and time, and notices callers that leave. One thread serves all
//! connections.

mod pair;
mod progress;
mod remote_addresses;

use crate::settings::Limits;
use pair::{ConnectionPair, PairCloseReason, PairLimits, Side};
pub use progress::{ExceededLimit, RequestProgress};
pub use remote_addresses::RemoteAddresses;
use stakker_mio::mio::event::Event;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::mio::{Events, Interest, Poll, Registry, Token, Waker};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often limits of time are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a new inner connection may stay unanswered before the HTTP
/// server's pool is nudged.
const POOL_WAKE_DELAY: Duration = Duration::from_millis(5);
/// Longest pause between nudges for one connection; the pause doubles.
const MAX_POOL_WAKE_PAUSE: Duration = Duration::from_millis(640);
/// How long a guard that finishes keeps idle connections: a caller that is
/// about to write is then refused, rather than cut with an unknown outcome.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Events taken at once.
const MAX_EVENTS: usize = 1_024;
const WAKER: Token = Token(0);
const LISTENER: Token = Token(1);
/// Tokens of connections: two each, the caller's even, the inner one odd.
const FIRST_PAIR: usize = 2;

/// Answer to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
Ledgelead-Outcome: not-run\r\nLedgelead-Reason: overloaded\r\n\
Retry-After: 1\r\nLedgelead-Retry-After-Ms: 1000\r\n\
Content-Length: 0\r\nConnection: close\r\n\r\n";
/// Answer to a header above the limit.
const HEADER_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
Ledgelead-Outcome: not-run\r\nLedgelead-Reason: bad-request\r\n\
Content-Length: 0\r\nConnection: close\r\n\r\n";

/// What the guard is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum ShutdownStage {
    Run,
    /// Accept nothing more.
    RefuseNew,
    /// End once every answer was passed on.
    Finish,
    /// Drop every socket.
    Drop,
}

/// Told the inner address of a caller that left before its answer.
pub type CallerLeft = Box<dyn Fn(SocketAddr) + Send>;

/// The guard's thread.
pub struct CallerProxy {
    stage: Arc<AtomicU8>,
    waker: Waker,
    remote_addresses: RemoteAddresses,
    thread: Option<JoinHandle<()>>,
}

impl CallerProxy {
    /// Starts the guard between a listener and the HTTP server's address.
    ///
    /// # Errors
    /// When the system gives no poller or thread.
    pub fn start(
        thread_name: &str,
        listener: std::net::TcpListener,
        server: SocketAddr,
        limits: &Limits,
        caller_left: CallerLeft,
    ) -> io::Result<CallerProxy> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        let stage = Arc::new(AtomicU8::new(ShutdownStage::Run as u8));
        let remote_addresses = RemoteAddresses::default();
        let proxy = ProxyThread {
            poll,
            remote_addresses: remote_addresses.clone(),
            listener: Some(listener),
            server,
            max_pairs: limits.max_connections,
            limits: PairLimits {
                max_header_bytes: limits.max_header_bytes,
                max_body_bytes: limits.max_body_bytes,
                caller_time: limits.caller_time,
                idle_time: limits.caller_idle_time + limits.max_deadline,
            },
            caller_left,
            pairs: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            next: FIRST_PAIR,
            stage: stage.clone(),
            retry_accept_at: None,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        };
        let thread = thread::Builder::new()
            .name(thread_name.to_owned())
            .spawn(move || proxy.run())?;
        Ok(CallerProxy {
            stage,
            waker,
            remote_addresses,
            thread: Some(thread),
        })
    }

    /// Where the connections come from.
    pub fn remote_addresses(&self) -> RemoteAddresses {
        self.remote_addresses.clone()
    }

    /// Accepts no more connections from now on.
    pub fn refuse_new(&self) {
        self.advance_to(ShutdownStage::RefuseNew);
    }

    /// Keeps connections for a little, passes on what is left to callers, for
    /// as long as the callers' time at max_pairs, and ends.
    pub fn finish(&mut self) {
        self.advance_to(ShutdownStage::Finish);
        self.join();
    }

    /// Drops every caller's connection at once.
    pub fn drop_all(&mut self) {
        self.advance_to(ShutdownStage::Drop);
        self.join();
    }

    fn advance_to(&self, stage: ShutdownStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        if let Err(error) = self.waker.wake() {
            log::error!(target: "callers", "the guard can't be woken: {error}");
        }
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(target: "callers", "the guard panicked");
        }
    }
}

impl Drop for CallerProxy {
    fn drop(&mut self) {
        self.drop_all();
    }
}

struct ProxyThread {
    poll: Poll,
    remote_addresses: RemoteAddresses,
    listener: Option<TcpListener>,
    server: SocketAddr,
    max_pairs: usize,
    limits: PairLimits,
    caller_left: CallerLeft,
    pairs: BTreeMap<usize, ProxiedPair>,
    /// The pairs whose inner connection was never answered; those may need a
    /// nudge.
    unanswered: BTreeSet<usize>,
    next: usize,
    stage: Arc<AtomicU8>,
    /// Set after a failed accept: when to try again.
    retry_accept_at: Option<Instant>,
    read_buffer: Vec<u8>,
}

struct ProxiedPair {
    pair: ConnectionPair,
    /// When the HTTP server's pool is nudged next, if it never answered.
    wake_pool_at: Instant,
    wake_pool_pause: Duration,
}

impl ProxyThread {
    fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        let mut finishing_since = None;
        loop {
            if let Err(error) = self.poll.poll(&mut events, Some(self.wait(next_sweep)))
                && error.kind() != ErrorKind::Interrupted
            {
                log::error!(target: "callers", "polling failed: {error}");
                return;
            }
            let now = Instant::now();
            self.handle(&events, now);
            self.wake_pool(now);
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                self.sweep(now);
            }
            let stage = self.stage.load(Ordering::Acquire);
            if stage >= ShutdownStage::RefuseNew as u8 {
                self.listener = None;
            }
            if stage == ShutdownStage::Drop as u8 {
                return;
            }
            if stage == ShutdownStage::Finish as u8 {
                let since = *finishing_since.get_or_insert(now);
                if now >= since + IDLE_CLOSE_DELAY {
                    self.close_idle(now);
                }
                if self.pairs.is_empty()
                    || now >= since + IDLE_CLOSE_DELAY + self.limits.caller_time
                {
                    return;
                }
            }
        }
    }

    fn wait(&self, next_sweep: Instant) -> Duration {
        let wait = next_sweep.saturating_duration_since(Instant::now());
        let unanswered = self
            .unanswered
            .iter()
            .filter_map(|token| self.pairs.get(token))
            .filter(|entry| entry.pair.awaits_first_response());
        match unanswered.map(|entry| entry.wake_pool_at).min() {
            Some(wake_pool_at) => wait.min(wake_pool_at.saturating_duration_since(Instant::now())),
            None => wait,
        }
    }

    fn handle(&mut self, events: &Events, now: Instant) {
        for event in events {
            match event.token() {
                WAKER => {}
                LISTENER => self.accept(now),
                Token(token) => self.take_event(token, event, now),
            }
        }
    }

    /// An event of one connection; the inner one has the odd token.
    fn take_event(&mut self, token: usize, event: &Event, now: Instant) {
        let pair = token & !1;
        let side = if token == pair {
            Side::Caller
        } else {
            Side::Inner
        };
        let closing = event.is_read_closed() || event.is_error();
        if let Some(entry) = self.pairs.get_mut(&pair)
            && (event.is_readable() || closing)
        {
            entry.pair.readable(side, closing);
        }
        self.pump(pair, now);
    }

    fn accept(&mut self, now: Instant) {
        self.retry_accept_at = None;
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((caller, remote_address)) => self.open(caller, remote_address, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::warn!(target: "callers", "accept failed: {error}");
                    self.retry_accept_at = Some(now + SWEEP_INTERVAL);
                    return;
                }
            }
        }
    }

    fn open(&mut self, mut caller: TcpStream, remote_address: SocketAddr, now: Instant) {
        if self.pairs.len() >= self.max_pairs {
            // A fresh socket takes these few bytes at once, or nobody reads.
            let _ = caller.write(TOO_MANY_CONNECTIONS);
            return;
        }
        let token = self.next;
        self.next += 2;
        match self.connect(caller, token) {
            Ok(streams) => {
                // Before any byte is passed on, so that no request is without.
                self.remote_addresses
                    .insert(streams.inner.local_addr().ok(), remote_address);
                let pair = ConnectionPair::new(streams.caller, streams.inner, self.limits, now);
                let entry = ProxiedPair {
                    pair,
                    wake_pool_at: now + POOL_WAKE_DELAY,
                    wake_pool_pause: POOL_WAKE_DELAY,
                };
                self.pairs.insert(token, entry);
                self.unanswered.insert(token);
                self.pump(token, now);
            }
            Err(error) => log::warn!(target: "callers", "a caller was not connected: {error}"),
        }
    }

    fn connect(&self, caller: TcpStream, token: usize) -> io::Result<PairStreams> {
        let mut streams = PairStreams {
            caller,
            inner: TcpStream::connect(self.server)?,
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        registry.register(&mut streams.caller, Token(token), interest)?;
        registry.register(&mut streams.inner, Token(token + 1), interest)?;
        streams.caller.set_nodelay(true)?;
        streams.inner.set_nodelay(true)?;
        Ok(streams)
    }

    fn pump(&mut self, token: usize, now: Instant) {
        let Some(entry) = self.pairs.get_mut(&token) else {
            return;
        };
        let result = entry.pair.pump(now, &mut self.read_buffer);
        if entry.pair.is_answered() {
            self.unanswered.remove(&token);
        }
        self.handle_result(token, result);
    }

    fn handle_result(&mut self, token: usize, result: Result<(), PairCloseReason>) {
        let Some(entry) = self.pairs.get_mut(&token) else {
            return;
        };
        let exceeded = entry.pair.take_exceeded_limit();
        if exceeded == Some(ExceededLimit::Header) {
            entry.pair.write_last(HEADER_TOO_LONG);
            self.close(token, PairCloseReason::Finished);
        } else if let Err(end) = result {
            self.close(token, end);
        }
    }

    fn close(&mut self, token: usize, end: PairCloseReason) {
        let Some(mut entry) = self.pairs.remove(&token) else {
            return;
        };
        self.unanswered.remove(&token);
        deregister(self.poll.registry(), &mut entry.pair);
        log::trace!(target: "callers", "a caller's connection ended: {end:?}");
        if let Ok(address) = entry.pair.inner.local_addr() {
            self.remote_addresses.remove(address);
            if end != PairCloseReason::Finished {
                (self.caller_left)(address);
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.retry_accept_at.is_some_and(|again| now >= again) {
            self.accept(now);
        }
        let tokens: Vec<usize> = self.pairs.keys().copied().collect();
        for token in tokens {
            if let Some(entry) = self.pairs.get_mut(&token) {
                let result = entry.pair.check_time(now, &mut self.read_buffer);
                self.handle_result(token, result);
            }
        }
    }

    fn close_idle(&mut self, now: Instant) {
        let tokens: Vec<usize> = self.pairs.keys().copied().collect();
        for token in tokens {
            self.pump(token, now);
            let idle = self
                .pairs
                .get(&token)
                .is_some_and(|entry| entry.pair.is_idle());
            if idle {
                self.close(token, PairCloseReason::Finished);
            }
        }
    }

    /// Works round a race of `tiny_http` 0.12: its pool counts a thread as
    /// waiting until it has woken, so of two connections that come together
    /// the second can be queued behind a thread that the first then keeps. It
    /// would wait until some connection ends. A connection that ends at once
    /// makes the pool add a thread, which then takes what is queued; unless it
    /// is queued itself, so this is repeated until the first answer.
    fn wake_pool(&mut self, now: Instant) {
        for token in &self.unanswered {
            let Some(entry) = self.pairs.get_mut(token) else {
                continue;
            };
            if !entry.pair.awaits_first_response() || now < entry.wake_pool_at {
                continue;
            }
            entry.wake_pool_pause = (entry.wake_pool_pause * 2).min(MAX_POOL_WAKE_PAUSE);
            entry.wake_pool_at = now + entry.wake_pool_pause;
            if let Err(error) = TcpStream::connect(self.server) {
                log::debug!(target: "callers", "no nudge: {error}");
            }
        }
    }
}

struct PairStreams {
    caller: TcpStream,
    inner: TcpStream,
}

fn deregister(registry: &Registry, pair: &mut ConnectionPair) {
    let caller = registry.deregister(&mut pair.caller);
    let inner = registry.deregister(&mut pair.inner);
    if let Err(error) = caller.and(inner) {
        log::debug!(target: "callers", "a closed connection was not deregistered: {error}");
    }
}
