//! Where a process listens.

use std::net::SocketAddr;

/// Who calls a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Clients with requests for services.
    Clients,
    /// Whoever asks whether the node is ready, or for its figures.
    Status,
    /// Other nodes that ask for whole lists.
    Peers,
}

/// Paths of the status endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusPaths {
    /// Answers 200 while the node is ready, 503 otherwise.
    pub readiness: String,
    /// Answers figures in the Prometheus text format.
    pub metrics: String,
}

/// Addresses to listen on.
#[derive(Clone, Debug)]
pub struct ListenAddresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For questions about the node.
    pub status: Vec<SocketAddr>,
    /// For datagrams and connections of other nodes.
    pub peers: SocketAddr,
    /// Paths of the status endpoint.
    pub paths: StatusPaths,
}
