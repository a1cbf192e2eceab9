//! What goes into a node and what comes out of it.

use crate::peers::Datagram;
use ledgelead_http::{Request, Response};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A request of a client, while it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// An exchange with an instance or with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Why an exchange got no whole answer, and what that proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection came up; nothing was sent.
    NotConnected,
    /// The connection was refused at once: nobody listens there. Nothing was sent.
    Refused,
    /// The exchange ended before the last byte of the request was written, and before
    /// any byte of an answer came. The receiver has no whole request and never will.
    Incomplete {
        /// The time for writing the request was over.
        timed_out: bool,
    },
    /// The connection was lost after the whole request was sent, or the answer had begun.
    Lost,
    /// No whole answer came in time; the request was sent.
    TimedOut,
    /// What came was no answer.
    Malformed,
}

impl ExchangeFailure {
    /// Whether it is proved that the receiver never saw the request.
    pub fn proves_not_sent(self) -> bool {
        matches!(
            self,
            ExchangeFailure::NotConnected | ExchangeFailure::Refused
        )
    }

    /// Whether it is proved that the receiver never runs the request. Nobody begins a
    /// request that is not whole.
    pub fn proves_not_run(self) -> bool {
        self.proves_not_sent() || matches!(self, ExchangeFailure::Incomplete { .. })
    }
}

/// How an exchange is carried out.
#[derive(Clone, Debug)]
pub struct ExchangeOptions {
    /// Answers that carry another value in this header are not the answer.
    pub match_header: Option<(Box<str>, Box<[u8]>)>,
    /// A kept connection may be used if it was idle for less than this.
    pub reuse_idle_below: Duration,
    /// Time for a new connection to come up.
    pub connect_timeout: Duration,
    /// How long a new connection is watched before the first byte is written: an
    /// instance that takes no more connections resets them at once.
    pub observe_before_write: Duration,
    /// Time in which the whole request must be written, if that is bounded apart from the
    /// exchange. What is not written by then has proved that it never ran.
    pub write_timeout: Option<Duration>,
    /// Time for the whole exchange; if `renewed`, time without any progress.
    pub timeout: Duration,
    /// Whether each part of the answer that arrives begins the time anew. A
    /// long answer over a slow link then ends, instead of being begun again.
    pub timeout_restarts: bool,
}

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// A client sent a request.
    Request {
        /// Names the request until it is answered or its client left.
        client: ClientId,
        /// Where its connection comes from.
        source: IpAddr,
        /// The request.
        request: Request,
    },
    /// A client sent a request whose body is not read, since this process has no memory
    /// for it.
    RequestWithoutBody {
        /// Names the request until it is answered.
        client: ClientId,
        /// The request without its body.
        request: Request,
    },
    /// Another node asks for objects that this node knows.
    PeerRequest {
        /// Names the request until it is answered.
        client: ClientId,
        /// The request.
        request: Request,
    },
    /// The client closed its connection while its request was open.
    ClientDisconnected {
        /// The request.
        client: ClientId,
    },
    /// An exchange ended.
    ExchangeEnded {
        /// The exchange.
        exchange: ExchangeId,
        /// Its end.
        result: Result<Response, ExchangeFailure>,
        /// How long its connection had rested before; nothing if it was new.
        idle_for: Duration,
    },
    /// Another node sent a datagram.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The deadline that the node asked for has come.
    Deadline,
    /// The process was asked to stop.
    Stop,
}

/// What a node wants done.
#[derive(Debug)]
pub enum Action {
    /// Answer a client.
    Respond {
        /// The request.
        client: ClientId,
        /// The answer.
        response: Response,
    },
    /// Begin an exchange.
    Exchange {
        /// The exchange.
        exchange: ExchangeId,
        /// The receiver.
        address: SocketAddr,
        /// The request.
        request: Request,
        /// How it is carried out.
        options: ExchangeOptions,
    },
    /// Open a connection, to see whether somebody listens. The exchange ends with an
    /// empty answer once it is up.
    Probe {
        /// The exchange.
        exchange: ExchangeId,
        /// The receiver.
        address: SocketAddr,
        /// Time for the connection to come up.
        timeout: Duration,
    },
    /// Break off an exchange; nothing more is told of it.
    Cancel {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Send a datagram to another node.
    Datagram {
        /// The receiver.
        address: SocketAddr,
        /// The message.
        datagram: Datagram,
    },
}
