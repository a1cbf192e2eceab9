//! Nodes that a coordinator can't bring up to date from its log.

use crate::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a node asks in vain before it gets a snapshot. One that the store serves has
/// asked that after 400 ms.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(600);
/// Time without a request after which a node has what it lacked: it asks with each
/// heartbeat (200 ms), of which some are lost.
const REQUEST_TTL: Duration = Duration::from_millis(1_500);
/// Pause between two snapshots for one node.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Request {
    last: Timestamp,
    next_snapshot: Timestamp,
}

/// Since when nodes have asked in vain.
#[derive(Debug, Default)]
pub(super) struct SnapshotRequests(HashMap<SocketAddr, Request>);

impl SnapshotRequests {
    /// A node asks for changes that the log doesn't reach back to. Returns whether it
    /// gets a snapshot now.
    pub(super) fn is_snapshot_due(&mut self, from: SocketAddr, now: Timestamp) -> bool {
        self.0.retain(|_, request| request.last + REQUEST_TTL > now);
        let request = self.0.entry(from).or_insert(Request {
            last: now,
            next_snapshot: now + SNAPSHOT_DELAY,
        });
        request.last = now;
        if request.next_snapshot > now {
            return false;
        }
        request.next_snapshot = now + SNAPSHOT_INTERVAL;
        true
    }
}
