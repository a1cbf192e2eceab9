//! A TCP relay whose connections can be closed all at once.
//!
//! The HTTP library does not expose its connections and does not close those in use, whereas a
//! process that dies closes all of them. Each simulated server is therefore reached through a
//! relay, which is disconnected to kill the server.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// Relays connections from its own port to `target` until it is disconnected.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

#[derive(Debug, Default)]
struct Shared {
    cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("lab-relay".to_owned())
            .spawn(move || accept(&listener, target, &accepting))?;
        Ok(Relay {
            address,
            shared,
            accepting: Mutex::new(Some(thread)),
        })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections in both directions and accepts no more.
    pub fn disconnect(&self) {
        if self.shared.cut.swap(true, Ordering::SeqCst) {
            return;
        }
        let streams = std::mem::take(&mut *self.shared.streams.lock().expect("relay streams"));
        for stream in streams {
            // The peer may already have closed the stream.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wake the accepting thread, so that it notices the end of the relay.
        let _ = TcpStream::connect(self.address);
        // Until its listener is closed, the kernel accepts connections that are then reset.
        let accepting = self.accepting.lock().expect("relay thread").take();
        if let Some(thread) = accepting {
            // A panic of the thread has already been reported on standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.disconnect();
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    for incoming in listener.incoming() {
        if shared.cut.load(Ordering::SeqCst) {
            return;
        }
        let Ok(incoming) = incoming else { continue };
        // A connection that can't be relayed is closed when it is dropped.
        let _ = relay_connection(incoming, target, shared);
    }
}

fn relay_connection(
    incoming: TcpStream,
    target: SocketAddr,
    shared: &Arc<Shared>,
) -> io::Result<()> {
    let outgoing = TcpStream::connect(target)?;
    incoming.set_nodelay(true)?;
    outgoing.set_nodelay(true)?;
    shared.remember(&incoming)?;
    shared.remember(&outgoing)?;
    copy_in_background(incoming.try_clone()?, outgoing.try_clone()?)?;
    copy_in_background(outgoing, incoming)
}

impl Shared {
    fn remember(&self, stream: &TcpStream) -> io::Result<()> {
        let mut streams = self.streams.lock().expect("relay streams");
        if self.cut.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        streams.push(stream.try_clone()?);
        Ok(())
    }
}

fn copy_in_background(mut from: TcpStream, mut to: TcpStream) -> io::Result<()> {
    thread::Builder::new()
        .name("lab-relay".to_owned())
        .spawn(move || {
            // The end of the copy, caused by either side, ends this direction.
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Write);
        })?;
    Ok(())
}
