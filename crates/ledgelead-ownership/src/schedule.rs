//! Schedule of the next update of each server's session.

use ledgelead_types::{ServerId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// One time per server, in order.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    in_order: BTreeSet<(Time, ServerId)>,
    by_server: BTreeMap<ServerId, Time>,
}

impl Schedule {
    /// Sets a server's time; replaces any earlier one.
    pub fn set(&mut self, server: ServerId, at: Time) {
        self.remove(server);
        self.in_order.insert((at, server));
        self.by_server.insert(server, at);
    }

    /// Removes a server.
    pub fn remove(&mut self, server: ServerId) {
        if let Some(at) = self.by_server.remove(&server) {
            self.in_order.remove(&(at, server));
        }
    }

    /// Removes all servers.
    pub fn clear(&mut self) {
        *self = Schedule::default();
    }

    /// The earliest time.
    pub fn first(&self) -> Option<Time> {
        self.in_order.first().map(|(at, _)| *at)
    }

    /// The servers that are due.
    pub fn due(&self, now: Time) -> impl Iterator<Item = ServerId> {
        let until = (now, ServerId(u32::MAX));
        self.in_order.range(..=until).map(|(_, server)| *server)
    }
}
