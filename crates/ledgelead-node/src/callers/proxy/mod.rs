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
use pair::{Pair, PairEnd, PairLimits, Side};
pub use progress::{Excess, RequestProgress};
pub use remote_addresses::Origins;
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
const NUDGE_AFTER: Duration = Duration::from_millis(5);
/// Longest pause between nudges for one connection; the pause doubles.
const MAX_NUDGE_PAUSE: Duration = Duration::from_millis(640);
/// How long a guard that finishes keeps quiet connections: a caller that is
/// about to write is then refused, rather than cut with an unknown outcome.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read at once.
const SCRATCH_BYTES: usize = 16 * 1024;
/// Events taken at once.
const EVENTS: usize = 1_024;
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
enum Wish {
    Run,
    /// Accept nothing more.
    Refuse,
    /// End once every answer was passed on.
    Finish,
    /// Drop every socket.
    Drop,
}

/// Told the inner address of a caller that left before its answer.
pub type CallerLeft = Box<dyn Fn(SocketAddr) + Send>;

/// The guard's thread.
pub struct CallerGuard {
    wish: Arc<AtomicU8>,
    waker: Waker,
    origins: Origins,
    thread: Option<JoinHandle<()>>,
}

impl CallerGuard {
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
    ) -> io::Result<CallerGuard> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        let wish = Arc::new(AtomicU8::new(Wish::Run as u8));
        let origins = Origins::default();
        let guard = Guard {
            poll,
            origins: origins.clone(),
            listener: Some(listener),
            server,
            most: limits.max_connections,
            limits: PairLimits {
                max_header_bytes: limits.max_header_bytes,
                max_body_bytes: limits.max_body_bytes,
                caller_time: limits.caller_time,
                idle_time: limits.caller_idle_time + limits.max_deadline,
            },
            caller_left,
            pairs: BTreeMap::new(),
            unproved: BTreeSet::new(),
            next: FIRST_PAIR,
            wish: wish.clone(),
            accept_again: None,
            scratch: vec![0; SCRATCH_BYTES],
        };
        let thread = thread::Builder::new()
            .name(thread_name.to_owned())
            .spawn(move || guard.run())?;
        Ok(CallerGuard {
            wish,
            waker,
            origins,
            thread: Some(thread),
        })
    }

    /// Where the connections come from.
    pub fn origins(&self) -> Origins {
        self.origins.clone()
    }

    /// Accepts no more connections from now on.
    pub fn refuse_new(&self) {
        self.ask(Wish::Refuse);
    }

    /// Keeps connections for a little, passes on what is left to callers, for
    /// as long as the callers' time at most, and ends.
    pub fn finish(&mut self) {
        self.ask(Wish::Finish);
        self.join();
    }

    /// Drops every caller's connection at once.
    pub fn drop_all(&mut self) {
        self.ask(Wish::Drop);
        self.join();
    }

    fn ask(&self, wish: Wish) {
        self.wish.fetch_max(wish as u8, Ordering::AcqRel);
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

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.drop_all();
    }
}

struct Guard {
    poll: Poll,
    origins: Origins,
    listener: Option<TcpListener>,
    server: SocketAddr,
    most: usize,
    limits: PairLimits,
    caller_left: CallerLeft,
    pairs: BTreeMap<usize, GuardedPair>,
    /// The pairs whose inner connection was never answered; those may need a
    /// nudge.
    unproved: BTreeSet<usize>,
    next: usize,
    wish: Arc<AtomicU8>,
    /// Set after a failed accept: when to try again.
    accept_again: Option<Instant>,
    scratch: Vec<u8>,
}

struct GuardedPair {
    pair: Pair,
    /// When the HTTP server's pool is nudged next, if it never answered.
    nudge_at: Instant,
    nudge_pause: Duration,
}

impl Guard {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
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
            self.nudge(now);
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                self.sweep(now);
            }
            let wish = self.wish.load(Ordering::Acquire);
            if wish >= Wish::Refuse as u8 {
                self.listener = None;
            }
            if wish == Wish::Drop as u8 {
                return;
            }
            if wish == Wish::Finish as u8 {
                let since = *finishing_since.get_or_insert(now);
                if now >= since + LINGER {
                    self.drop_quiet(now);
                }
                if self.pairs.is_empty() || now >= since + LINGER + self.limits.caller_time {
                    return;
                }
            }
        }
    }

    fn wait(&self, next_sweep: Instant) -> Duration {
        let wait = next_sweep.saturating_duration_since(Instant::now());
        let unproved = self
            .unproved
            .iter()
            .filter_map(|token| self.pairs.get(token))
            .filter(|guarded| guarded.pair.is_unproved());
        match unproved.map(|guarded| guarded.nudge_at).min() {
            Some(nudge_at) => wait.min(nudge_at.saturating_duration_since(Instant::now())),
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
        if let Some(guarded) = self.pairs.get_mut(&pair)
            && (event.is_readable() || closing)
        {
            guarded.pair.readable(side, closing);
        }
        self.pump(pair, now);
    }

    fn accept(&mut self, now: Instant) {
        self.accept_again = None;
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((caller, origin)) => self.open(caller, origin, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::warn!(target: "callers", "accept failed: {error}");
                    self.accept_again = Some(now + SWEEP_INTERVAL);
                    return;
                }
            }
        }
    }

    fn open(&mut self, mut caller: TcpStream, origin: SocketAddr, now: Instant) {
        if self.pairs.len() >= self.most {
            // A fresh socket takes these few bytes at once, or nobody reads.
            let _ = caller.write(TOO_MANY_CONNECTIONS);
            return;
        }
        let token = self.next;
        self.next += 2;
        match self.connect(caller, token) {
            Ok(streams) => {
                // Before any byte is passed on, so that no request is without.
                self.origins.opened(streams.inner.local_addr().ok(), origin);
                let pair = Pair::new(streams.caller, streams.inner, self.limits, now);
                let guarded = GuardedPair {
                    pair,
                    nudge_at: now + NUDGE_AFTER,
                    nudge_pause: NUDGE_AFTER,
                };
                self.pairs.insert(token, guarded);
                self.unproved.insert(token);
                self.pump(token, now);
            }
            Err(error) => log::warn!(target: "callers", "a caller was not connected: {error}"),
        }
    }

    fn connect(&self, caller: TcpStream, token: usize) -> io::Result<Streams> {
        let mut streams = Streams {
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
        let Some(guarded) = self.pairs.get_mut(&token) else {
            return;
        };
        let result = guarded.pair.pump(now, &mut self.scratch);
        if guarded.pair.is_answered() {
            self.unproved.remove(&token);
        }
        self.settle(token, result);
    }

    fn settle(&mut self, token: usize, result: Result<(), PairEnd>) {
        let Some(guarded) = self.pairs.get_mut(&token) else {
            return;
        };
        let refusal = guarded.pair.take_refusal();
        if refusal == Some(Excess::Header) {
            guarded.pair.write_last(HEADER_TOO_LONG);
            self.close(token, PairEnd::Finished);
        } else if let Err(end) = result {
            self.close(token, end);
        }
    }

    fn close(&mut self, token: usize, end: PairEnd) {
        let Some(mut guarded) = self.pairs.remove(&token) else {
            return;
        };
        self.unproved.remove(&token);
        deregister(self.poll.registry(), &mut guarded.pair);
        log::trace!(target: "callers", "a caller's connection ended: {end:?}");
        if let Ok(address) = guarded.pair.inner.local_addr() {
            self.origins.closed(address);
            if end != PairEnd::Finished {
                (self.caller_left)(address);
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.accept_again.is_some_and(|again| now >= again) {
            self.accept(now);
        }
        let tokens: Vec<usize> = self.pairs.keys().copied().collect();
        for token in tokens {
            if let Some(guarded) = self.pairs.get_mut(&token) {
                let result = guarded.pair.check_time(now, &mut self.scratch);
                self.settle(token, result);
            }
        }
    }

    fn drop_quiet(&mut self, now: Instant) {
        let tokens: Vec<usize> = self.pairs.keys().copied().collect();
        for token in tokens {
            self.pump(token, now);
            let quiet = self
                .pairs
                .get(&token)
                .is_some_and(|guarded| guarded.pair.is_quiet());
            if quiet {
                self.close(token, PairEnd::Finished);
            }
        }
    }

    /// Works round a race of `tiny_http` 0.12: its pool counts a thread as
    /// waiting until it has woken, so of two connections that come together
    /// the second can be queued behind a thread that the first then keeps. It
    /// would wait until some connection ends. A connection that ends at once
    /// makes the pool add a thread, which then takes what is queued; unless it
    /// is queued itself, so this is repeated until the first answer.
    fn nudge(&mut self, now: Instant) {
        for token in &self.unproved {
            let Some(guarded) = self.pairs.get_mut(token) else {
                continue;
            };
            if !guarded.pair.is_unproved() || now < guarded.nudge_at {
                continue;
            }
            guarded.nudge_pause = (guarded.nudge_pause * 2).min(MAX_NUDGE_PAUSE);
            guarded.nudge_at = now + guarded.nudge_pause;
            if let Err(error) = TcpStream::connect(self.server) {
                log::debug!(target: "callers", "no nudge: {error}");
            }
        }
    }
}

struct Streams {
    caller: TcpStream,
    inner: TcpStream,
}

fn deregister(registry: &Registry, pair: &mut Pair) {
    let caller = registry.deregister(&mut pair.caller);
    let inner = registry.deregister(&mut pair.inner);
    if let Err(error) = caller.and(inner) {
        log::debug!(target: "callers", "a closed connection was not deregistered: {error}");
    }
}
