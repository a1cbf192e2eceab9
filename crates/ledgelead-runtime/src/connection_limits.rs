//! How many connections the process keeps open, by who is at the other end.

use crate::endpoint::Endpoint;

/// Share of the connections that clients may have. Each has one open request at most, and so
/// one attempt, which needs a connection to an instance.
const CLIENT_SHARE: f64 = 0.375;
/// Share of those that status probes may have, and of those that other nodes may have.
const OTHER_SHARE: f64 = 0.0625;
/// Connections of each kind that are allowed in any case.
const MIN_CONNECTIONS: usize = 4;

/// The largest number of open connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    total: usize,
    clients: usize,
    others: usize,
}

impl ConnectionLimits {
    /// The parts of a limit for all connections; `None` if they are not limited.
    pub(crate) fn of(total: Option<usize>) -> ConnectionLimits {
        let part = |share: f64| match total {
            Some(total) => ((total as f64 * share) as usize).max(MIN_CONNECTIONS),
            None => usize::MAX,
        };
        ConnectionLimits {
            total: part(1.0),
            clients: part(CLIENT_SHARE),
            others: part(OTHER_SHARE),
        }
    }

    /// The limit of the connections to instances, to the store and to other nodes: what the
    /// connections to this node leave, at least half. Each open request needs one.
    pub(crate) fn outbound(self, inbound: usize) -> usize {
        self.total.saturating_sub(inbound)
    }

    /// The limit of the connections to an endpoint.
    pub(crate) fn inbound(self, endpoint: Endpoint) -> usize {
        match endpoint {
            Endpoint::Clients => self.clients,
            Endpoint::Status | Endpoint::Peers => self.others,
        }
    }
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits::of(None)
    }
}
