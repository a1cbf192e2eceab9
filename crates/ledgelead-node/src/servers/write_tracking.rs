//! Tracks whether any byte of a request was written to the socket.
//!
//! `ureq` reports how an exchange failed, but not whether the server can have
//! received any part of it. This connector wraps the TCP transport and records, for
//! the exchange on the current thread, that writing began. If it did not, a failed
//! request was certainly not run; if it did, the request may have been run.

use std::cell::RefCell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, ShutdownHandle, TcpConnector, Transport,
};

/// State of a running exchange, shared with the code that may cancel it.
#[derive(Default)]
pub struct ExchangeControl {
    writing_began: AtomicBool,
    cancelled: AtomicBool,
    socket: Mutex<Option<Weak<dyn ShutdownHandle>>>,
}

impl std::fmt::Debug for ExchangeControl {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ExchangeControl")
            .field("writing_began", &self.writing_began)
            .field("cancelled", &self.cancelled)
            .finish_non_exhaustive()
    }
}

impl ExchangeControl {
    /// Whether a byte of the request may have reached the server.
    pub fn writing_began(&self) -> bool {
        self.writing_began.load(Ordering::Acquire)
    }

    /// Marks the exchange as cancelled. An exchange that has not started yet won't
    /// write anything.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
    }

    /// Whether [`ExchangeControl::cancel`] was called.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Shuts down the exchange's socket, so that its thread stops waiting. Bytes that
    /// have already arrived can still be read.
    pub fn close_socket(&self) {
        let socket = self.lock_socket().clone();
        if let Some(socket) = socket.and_then(|socket| socket.upgrade()) {
            socket.shutdown();
        }
    }

    fn lock_socket(&self) -> std::sync::MutexGuard<'_, Option<Weak<dyn ShutdownHandle>>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

thread_local! {
    /// The exchange that runs on the current thread.
    static CURRENT: RefCell<Option<Arc<ExchangeControl>>> = const { RefCell::new(None) };
}

/// Runs one exchange that reports to `control`.
pub fn with_control<T>(control: &Arc<ExchangeControl>, run: impl FnOnce() -> T) -> T {
    CURRENT.with(|current| *current.borrow_mut() = Some(control.clone()));
    let result = run();
    CURRENT.with(|current| *current.borrow_mut() = None);
    *control.lock_socket() = None;
    result
}

/// Connector whose transports report writes to the current exchange's control.
#[derive(Debug, Default)]
pub struct WriteTrackingConnector;

impl Connector for WriteTrackingConnector {
    type Out = WriteTrackingTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<WriteTrackingTransport>, Error> {
        let socket = Arc::new(Mutex::new(None));
        let registered = socket.clone();
        let register = details.register_shutdown.clone();
        let details = ConnectionDetails {
            uri: details.uri,
            addrs: details.addrs.clone(),
            config: details.config,
            request_level: details.request_level,
            resolver: details.resolver,
            now: details.now,
            timeout: details.timeout,
            current_time: details.current_time.clone(),
            run_connector: details.run_connector.clone(),
            register_shutdown: Arc::new(move |handle: Weak<dyn ShutdownHandle>| {
                *registered.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle.clone());
                register(handle)
            }),
        };
        let transport = TcpConnector::default().connect(&details, None::<()>)?;
        let socket = socket
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        Ok(transport.map(|transport| WriteTrackingTransport {
            inner: Box::new(transport),
            socket,
        }))
    }
}

/// Transport that reports writes to the current exchange's control.
#[derive(Debug)]
pub struct WriteTrackingTransport {
    inner: Box<dyn Transport>,
    socket: Option<Weak<dyn ShutdownHandle>>,
}

impl Transport for WriteTrackingTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        CURRENT.with(|current| {
            if let Some(control) = &*current.borrow() {
                control.writing_began.store(true, Ordering::Release);
                *control.lock_socket() = self.socket.clone();
            }
        });
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
