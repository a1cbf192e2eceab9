//! Callers' addresses of the proxy's connections; the HTTP server itself only sees
//! the proxy's own address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The remote address of each open connection, by the address of its inner
/// connection. Clones share the same map.
#[derive(Clone, Debug, Default)]
pub struct RemoteAddresses(Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>);

impl RemoteAddresses {
    /// The remote address of the caller whose connection the HTTP server sees under
    /// this inner address.
    pub fn get(&self, inner: SocketAddr) -> Option<SocketAddr> {
        self.lock().get(&inner).copied()
    }

    pub(super) fn insert(&self, inner: Option<SocketAddr>, remote: SocketAddr) {
        if let Some(inner) = inner {
            self.lock().insert(inner, remote);
        }
    }

    pub(super) fn remove(&self, inner: SocketAddr) {
        self.lock().remove(&inner);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
