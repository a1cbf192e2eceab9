//! Knows whether a byte of a request was handed to the socket.
//!
//! `ureq` reports how an exchange failed, not whether the server can have seen
//! any of it. This connector wraps the TCP transport and notes, for the
//! exchange that runs on the present thread, that writing began. Without that
//! note a failed request was certainly not run; with it, it may have been.

use std::cell::RefCell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, ShutdownHandle, TcpConnector, Transport,
};

/// What is known of one exchange while it runs; shared with who may cancel it.
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
    /// Whether a byte may have reached the server.
    pub fn writing_began(&self) -> bool {
        self.writing_began.load(Ordering::Acquire)
    }

    /// Asks that the exchange be given up. One that has written nothing yet
    /// never will.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
    }

    /// Whether [`ExchangeControl::cancel`] was called.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Closes the exchange's socket, so that its thread stops waiting. Bytes
    /// that have arrived can still be read.
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
    /// The exchange that the present thread runs.
    static CURRENT: RefCell<Option<Arc<ExchangeControl>>> = const { RefCell::new(None) };
}

/// Runs one exchange under a control.
pub fn with_control<T>(control: &Arc<ExchangeControl>, run: impl FnOnce() -> T) -> T {
    CURRENT.with(|current| *current.borrow_mut() = Some(control.clone()));
    let result = run();
    CURRENT.with(|current| *current.borrow_mut() = None);
    *control.lock_socket() = None;
    result
}

/// The wrapping connector.
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
        let seen = socket.clone();
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
                *seen.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle.clone());
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

/// The wrapping transport.
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
