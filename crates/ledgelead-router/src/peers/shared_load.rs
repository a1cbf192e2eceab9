//! Open requests at instances, as the nodes of a zone tell each other.

use super::message::OpenRequests;
use crate::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a count is believed without being told again.
const BELIEVED_FOR: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct Told {
    count: u16,
    at: Timestamp,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    counts: HashMap<u64, Told>,
}

/// What the other nodes of the zone have open.
#[derive(Debug, Default)]
pub struct SharedLoad {
    peers: HashMap<SocketAddr, Peer>,
}

impl SharedLoad {
    /// A node told its counts.
    pub fn told(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        changes: &[OpenRequests],
        now: Timestamp,
    ) {
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != incarnation {
            peer.incarnation = incarnation;
            peer.counts.clear();
        }
        for change in changes {
            let told = Told {
                count: change.count,
                at: now,
            };
            peer.counts.insert(change.instance, told);
        }
    }

    /// Requests that other nodes have open at an instance.
    pub fn open_at(&self, instance: u64, now: Timestamp) -> u32 {
        self.peers
            .values()
            .filter_map(|peer| peer.counts.get(&instance))
            .filter(|told| told.at + BELIEVED_FOR > now)
            .map(|told| u32::from(told.count))
            .sum()
    }

    /// Forgets what is no longer believed.
    pub fn expire(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.counts.retain(|_, told| told.at + BELIEVED_FOR > now);
        }
        self.peers.retain(|_, peer| !peer.counts.is_empty());
    }
}
