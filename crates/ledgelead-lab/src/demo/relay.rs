//! A relay of TCP connections that can be cut at once.
//!
//! The HTTP library keeps its connections to itself and closes none that is
//! in use. A process that dies closes all of them. Each stand-in server is
//! therefore reached through a relay, and killing the server cuts the relay.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Relays connections from a port of its own to `target` until it is cut.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Relay {
    /// Starts to relay to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::Builder::new()
            .name("lab-relay".to_owned())
            .spawn(move || accept(&listener, target, &accepting))?;
        Ok(Relay { address, shared })
    }

    /// Where the relay is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection in both directions and accepts no more.
    pub fn disconnect(&self) {
        if self.shared.cut.swap(true, Ordering::SeqCst) {
            return;
        }
        let streams = std::mem::take(&mut *self.shared.streams.lock().expect("relay streams"));
        for stream in streams {
            // A stream that its peer has closed already is as good as cut.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which sees that the relay is cut.
        let _ = TcpStream::connect(self.address);
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
        // A connection that can't be relayed is closed by dropping it.
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
            // The end of the copy, by either side, ends this direction.
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(Shutdown::Write);
        })?;
    Ok(())
}
