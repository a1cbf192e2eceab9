//! Inputs and outputs of a node.

use crate::answer_filter::AnswerFilter;
use crate::peers::Datagram;
use ledgelead_http::{Request, Response};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Identifies an open request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies an exchange with an instance, the store or another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Why an exchange got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// The connection was not established; nothing was sent.
    NotConnected,
    /// The connection was refused: no process listens on the address. Nothing was sent.
    Refused,
    /// The connection was established, and closed by the receiver before anything was sent.
    ClosedUnsent,
    /// The exchange ended before the last byte of the request was written and before any byte
    /// of a response arrived. The receiver has a part of the request and never gets the rest.
    Incomplete {
        /// Whether the time for writing the request had expired.
        timed_out: bool,
    },
    /// The connection was lost after the complete request was sent, or after the start of a
    /// response.
    Lost,
    /// No complete response arrived in time; the request was sent.
    TimedOut,
    /// A reused connection brought no part of a response in time; the request was sent. A new
    /// connection may work.
    Unresponsive,
    /// The received bytes are not a valid response.
    Malformed,
}

impl ExchangeFailure {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ExchangeFailure::NotConnected => "not_connected",
            ExchangeFailure::Refused => "refused",
            ExchangeFailure::ClosedUnsent => "closed_unsent",
            ExchangeFailure::Incomplete { timed_out: false } => "incomplete",
            ExchangeFailure::Incomplete { timed_out: true } => "incomplete_in_time",
            ExchangeFailure::Lost => "lost",
            ExchangeFailure::TimedOut => "timed_out",
            ExchangeFailure::Unresponsive => "unresponsive",
            ExchangeFailure::Malformed => "malformed",
        }
    }

    /// Whether the receiver certainly never received any part of the request.
    pub fn proves_not_sent(self) -> bool {
        matches!(
            self,
            ExchangeFailure::NotConnected
                | ExchangeFailure::Refused
                | ExchangeFailure::ClosedUnsent
        )
    }

    /// Whether a kept connection that no longer works may be the only reason.
    pub fn may_be_kept_connection(self) -> bool {
        matches!(
            self,
            ExchangeFailure::Unresponsive
                | ExchangeFailure::Lost
                | ExchangeFailure::ClosedUnsent
                | ExchangeFailure::Incomplete { .. }
        )
    }

    /// Whether no connection was established, so that the link or the receiver has failed.
    pub fn shows_failed_link(self) -> bool {
        matches!(
            self,
            ExchangeFailure::NotConnected | ExchangeFailure::Refused
        )
    }

    /// Whether the receiver certainly never has the whole request. A node starts on a whole
    /// request only; an instance may start as soon as it has the head.
    pub fn lacks_whole_request(self) -> bool {
        self.proves_not_sent() || matches!(self, ExchangeFailure::Incomplete { .. })
    }
}

/// Exchanges that share idle connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ConnectionPool {
    /// Requests of clients, and calls.
    #[default]
    Requests,
    /// Orders to instances.
    Orders,
}

/// When the connection of an exchange is returned to its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// After each complete answer.
    #[default]
    Always,
    /// After a successful answer.
    AfterSuccess,
    /// Never.
    Never,
}

impl ConnectionReuse {
    /// Whether the connection is returned to its pool after this answer.
    pub fn allows(self, answer: &Response) -> bool {
        match self {
            ConnectionReuse::Always => true,
            ConnectionReuse::AfterSuccess => answer.is_success(),
            ConnectionReuse::Never => false,
        }
    }
}

/// Parameters of an exchange.
#[derive(Clone, Debug)]
pub struct ExchangeOptions {
    /// Which responses can be the answer to the request.
    pub answer: AnswerFilter,
    /// The connections that it may reuse.
    pub pool: ConnectionPool,
    /// A pooled connection may be reused if it was idle for less than this.
    pub reuse_idle_below: Duration,
    /// Whether other exchanges may reuse its connection afterwards.
    pub reuse: ConnectionReuse,
    /// Timeout for a new connection.
    pub connect_timeout: Duration,
    /// How long a new connection is observed before the first byte is written: an instance
    /// that accepts no more connections resets them at once.
    pub observe_before_write: Duration,
    /// Timeout for writing the complete request, if separate from the one of the exchange.
    pub write_timeout: Option<Duration>,
    /// Timeout for the exchange; with `timeout_restarts`, the time without progress.
    pub timeout: Duration,
    /// Time without any part of the response after which the exchange fails if it reused a
    /// connection, which may no longer carry anything.
    pub reused_answer_timeout: Option<Duration>,
    /// Whether the timeout restarts with each received part of the response, so that a long
    /// response over a slow link completes instead of being requested again.
    pub timeout_restarts: bool,
}

impl ExchangeOptions {
    /// An exchange on a new connection that takes any answer.
    pub fn new(connect_timeout: Duration, timeout: Duration) -> ExchangeOptions {
        ExchangeOptions {
            answer: AnswerFilter::default(),
            pool: ConnectionPool::default(),
            reuse_idle_below: Duration::ZERO,
            reuse: ConnectionReuse::default(),
            connect_timeout,
            observe_before_write: Duration::ZERO,
            write_timeout: None,
            timeout,
            reused_answer_timeout: None,
            timeout_restarts: false,
        }
    }
}

/// An event that a node has to handle.
#[derive(Debug)]
pub enum Input {
    /// A client sent a request.
    Request {
        /// Identifies the request until it is answered or its client disconnects.
        client: ClientId,
        /// The address from which the client connected.
        source: IpAddr,
        /// The request.
        request: Request,
    },
    /// A client sent a request whose body is not read, since the process has no free memory
    /// for it.
    RequestWithoutBody {
        /// Identifies the request until it is answered.
        client: ClientId,
        /// The request without its body.
        request: Request,
    },
    /// Another node requests objects that this node knows.
    PeerRequest {
        /// Identifies the request until it is answered.
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
        /// The response, or why there is none.
        result: Result<Response, ExchangeFailure>,
        /// How long the connection had been idle before; zero if it was new.
        idle_for: Duration,
    },
    /// Another node sent a datagram.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The time returned by `Node::next_deadline` has been reached.
    Deadline,
    /// The process was asked to shut down.
    Stop,
}

/// An action that a node requests.
#[derive(Debug)]
pub enum Action {
    /// Answers a client.
    Respond {
        /// The request.
        client: ClientId,
        /// The response.
        response: Response,
    },
    /// Starts an exchange.
    Exchange {
        /// The exchange.
        exchange: ExchangeId,
        /// The receiver.
        address: SocketAddr,
        /// The request.
        request: Request,
        /// The parameters of the exchange.
        options: Box<ExchangeOptions>,
    },
    /// Opens a connection to find out whether a process listens on the address. The exchange
    /// ends with an empty response once the connection is established.
    Probe {
        /// The exchange.
        exchange: ExchangeId,
        /// The receiver.
        address: SocketAddr,
        /// Timeout for the connection.
        timeout: Duration,
    },
    /// Cancels an exchange; no end of it is reported.
    Cancel {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Sends a datagram to another node.
    Datagram {
        /// The receiver.
        address: SocketAddr,
        /// The message.
        datagram: Datagram,
    },
}
