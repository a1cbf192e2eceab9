//! A TCP proxy in front of the HTTP server that bounds the resources callers can
//! occupy.
//!
//! `tiny_http` uses one thread per connection, waits without a timeout for the
//! bytes of a slow caller, accepts headers of any length, and ends its accept loop
//! at the first error. The proxy therefore owns the public port. It copies bytes
//! between each caller's connection and an inner connection to the HTTP server on
//! the loopback interface, limits connections, header and body sizes and times, and
//! reports callers that disconnect. One thread serves all connections.

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

/// How often time limits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a new inner connection may stay without a response before
/// [`ProxyThread::wake_pool`] first makes the HTTP server add a thread.
const POOL_WAKE_DELAY: Duration = Duration::from_millis(5);
/// Upper bound of the pause between two wake-ups for one connection; the pause
/// doubles each time.
const MAX_POOL_WAKE_PAUSE: Duration = Duration::from_millis(640);
/// How long a finishing proxy keeps idle connections open. A caller that is about
/// to send a request gets a refusal in that time; on a closed connection the
/// outcome would be unknown to it.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Bytes read in one call.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Events taken from the poller in one call.
const MAX_EVENTS: usize = 1_024;
const WAKER: Token = Token(0);
const LISTENER: Token = Token(1);
/// Token of the first pair. Each pair has two tokens: an even one for the caller's
/// connection, and the next one for the inner connection.
const FIRST_PAIR: usize = 2;

/// Response to a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
Ledgelead-Outcome: not-run\r\nLedgelead-Reason: overloaded\r\n\
Retry-After: 1\r\nLedgelead-Retry-After-Ms: 1000\r\n\
Content-Length: 0\r\nConnection: close\r\n\r\n";
/// Response to a header above the limit.
const HEADER_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
Ledgelead-Outcome: not-run\r\nLedgelead-Reason: bad-request\r\n\
Content-Length: 0\r\nConnection: close\r\n\r\n";

/// What the proxy has been told to do. The stage only ever advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum ShutdownStage {
    Run,
    /// Accept no more connections.
    RefuseNew,
    /// End once every response was forwarded.
    Finish,
    /// Drop all sockets.
    Drop,
}

/// Called with the inner connection's address when a caller's connection ends
/// other than by [`PairCloseReason::Finished`].
pub type DisconnectHandler = Box<dyn Fn(SocketAddr) + Send>;

/// The proxy, running on a thread of its own.
pub struct CallerProxy {
    stage: Arc<AtomicU8>,
    waker: Waker,
    remote_addresses: RemoteAddresses,
    thread: Option<JoinHandle<()>>,
}

impl CallerProxy {
    /// Starts the proxy between a listener and the HTTP server's address.
    ///
    /// # Errors
    /// When the system can't create a poller or thread.
    pub fn start(
        thread_name: &str,
        listener: std::net::TcpListener,
        server: SocketAddr,
        limits: &Limits,
        on_disconnect: DisconnectHandler,
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
            on_disconnect,
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

    /// The callers' addresses of the open connections.
    pub fn remote_addresses(&self) -> RemoteAddresses {
        self.remote_addresses.clone()
    }

    /// Accepts no more connections from now on.
    pub fn refuse_new(&self) {
        self.advance_to(ShutdownStage::RefuseNew);
    }

    /// Stops the proxy once all responses were forwarded. Idle connections are kept
    /// for [`IDLE_CLOSE_DELAY`]; after that, the rest may take as long as the
    /// callers' time limit.
    pub fn finish(&mut self) {
        self.advance_to(ShutdownStage::Finish);
        self.join();
    }

    /// Drops every caller's connection immediately.
    pub fn drop_all(&mut self) {
        self.advance_to(ShutdownStage::Drop);
        self.join();
    }

    fn advance_to(&self, stage: ShutdownStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        if let Err(error) = self.waker.wake() {
            log::error!(target: "callers", "waking the proxy failed: {error}");
        }
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(target: "callers", "the proxy thread panicked");
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
    on_disconnect: DisconnectHandler,
    pairs: BTreeMap<usize, ProxiedPair>,
    /// The pairs without a response so far; the HTTP server may have no thread for
    /// them yet.
    unanswered: BTreeSet<usize>,
    next: usize,
    stage: Arc<AtomicU8>,
    /// When to accept again after a failed accept.
    retry_accept_at: Option<Instant>,
    read_buffer: Vec<u8>,
}

struct ProxiedPair {
    pair: ConnectionPair,
    /// When to wake the HTTP server's pool next, unless a response has come.
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
                log::error!(target: "callers", "polling failed, the proxy ends: {error}");
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

    /// Handles an event of one connection; inner connections have odd tokens.
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
            // The send buffer of a new socket is empty, so a single write takes
            // these few bytes unless the caller has disconnected.
            let _ = caller.write(TOO_MANY_CONNECTIONS);
            return;
        }
        let token = self.next;
        self.next += 2;
        match self.connect(caller, token) {
            Ok(streams) => {
                // Recorded before any byte is forwarded, so that the address is known
                // for every request.
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
            Err(error) => {
                log::warn!(target: "callers", "connecting to the HTTP server failed: {error}")
            }
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
        log::trace!(target: "callers", "caller's connection closed: {end:?}");
        if let Ok(address) = entry.pair.inner.local_addr() {
            self.remote_addresses.remove(address);
            if end != PairCloseReason::Finished {
                (self.on_disconnect)(address);
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

    /// Works around a race in `tiny_http` 0.12: its pool counts a thread as waiting
    /// until that thread has woken up. Of two connections that arrive together the
    /// second can therefore be queued for a thread that the first one occupies, and
    /// stays queued until some connection ends. Another connection, closed at once,
    /// makes the pool add a thread, which takes the queued connection. The extra
    /// connection may be queued itself, so this is repeated until the first response.
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
                log::debug!(target: "callers", "waking the HTTP server's pool failed: {error}");
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
        log::debug!(target: "callers", "deregistering a closed connection failed: {error}");
    }
}
