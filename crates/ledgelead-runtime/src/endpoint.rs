//! The addresses and paths that a process serves.

use std::net::SocketAddr;

/// The kind of a listener, by who connects to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Clients with requests for services.
    Clients,
    /// Readiness probes and metrics scrapers.
    Status,
    /// Other nodes that request whole lists.
    Peers,
}

/// Paths of the status endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusPaths {
    /// Readiness probe: 200 while the node is ready, 503 otherwise.
    pub readiness: String,
    /// Metrics in the Prometheus text format.
    pub metrics: String,
}

/// Addresses to listen on.
#[derive(Clone, Debug)]
pub struct ListenAddresses {
    /// For requests of clients.
    pub clients: SocketAddr,
    /// For readiness probes and metrics.
    pub status: Vec<SocketAddr>,
    /// For datagrams and connections of other nodes.
    pub peers: SocketAddr,
    /// Paths of the status endpoint.
    pub paths: StatusPaths,
}
