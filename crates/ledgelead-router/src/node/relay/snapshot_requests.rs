//! Requests of nodes that the coordinator can't update from its change log.

use crate::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a node asks without success before it is sent a snapshot. A node whose calls the
/// store serves has asked the store after 400 ms.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(600);
/// Time without a request after which a node is assumed to have what it missed. It asks after
/// each heartbeat (200 ms), and some of the datagrams are lost.
const REQUEST_TTL: Duration = Duration::from_millis(1_500);
/// Minimum interval between snapshots for one node.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Request {
    last: Timestamp,
    next_snapshot: Timestamp,
}

/// Nodes that ask without success, with the times of their requests.
#[derive(Debug, Default)]
pub(super) struct SnapshotRequests(HashMap<SocketAddr, Request>);

impl SnapshotRequests {
    /// Records a request for changes from before the start of the log. Returns whether the
    /// node is sent a snapshot now.
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
