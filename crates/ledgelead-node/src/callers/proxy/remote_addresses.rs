//! Where the connections behind the guard come from: the HTTP server sees the
//! guard's own address only.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The remote of each open connection, by its inner address; clones see the
/// same.
#[derive(Clone, Debug, Default)]
pub struct RemoteAddresses(Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>);

impl RemoteAddresses {
    /// Who is at the other end of the connection that the HTTP server knows
    /// under this address.
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
