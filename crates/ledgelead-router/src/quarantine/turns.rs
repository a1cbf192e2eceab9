//! Turns in which nodes try a suspected request, so that it ends one instance at a time.
//!
//! The order of the nodes follows from the request by rendezvous hashing, and the time from the
//! latest end, which all nodes know. So no node has to ask another one: the turn of a node that
//! is down passes, and a node that is cut off or starts has no more than its own turns.

use crate::Timestamp;
use crate::identity::NodeName;
use crate::io::ClientId;
use crate::peers::Registry;
use crate::rendezvous;
use crate::requests::RequestDigest;
use crate::whole_millis;
use std::collections::HashMap;
use std::time::Duration;

/// Time from the begin of a turn to that of the next: what remains of it after `OPEN` is for
/// an instance to end and for the other nodes to receive that.
pub const TURN: Duration = Duration::from_millis(500);
/// Part of a turn in which the request may be sent.
const OPEN: Duration = Duration::from_millis(200);
/// Maximum number of turns until a node has one again. In larger fleets nodes share turns.
const MAX_TURNS: usize = 32;

/// A request's place among suspected requests that were lost with the same instances. Each has
/// turns of its own, so that an instance that ends during a try tells them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnShare {
    /// Its position.
    pub position: u32,
    /// The number of these requests.
    pub count: u32,
}

impl TurnShare {
    /// The share of a request that is suspected alone.
    pub const WHOLE: TurnShare = TurnShare {
        position: 0,
        count: 1,
    };
}

/// The turns of one node for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    position: u32,
    count: u32,
}

impl Turns {
    /// The turns of a node among those registered.
    pub fn new(
        request: &RequestDigest,
        share: TurnShare,
        node: &NodeName,
        registry: &Registry,
    ) -> Turns {
        let item = request.low_bits();
        let own = rendezvous::weight(node, item);
        let weights = registry
            .iter()
            .map(|other| rendezvous::weight(&other.identity.node, item));
        let position = weights.filter(|weight| *weight > own).count();
        let count = registry.len().clamp(1, MAX_TURNS);
        let as_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Turns {
            position: as_u32(position % count) * share.count + share.position,
            count: as_u32(count) * share.count,
        }
    }

    /// How long to wait until the request may be sent; zero during a turn of this node. Turns
    /// are counted from `since`, and the first begins after the length of one.
    pub fn wait(self, since: Timestamp, now: Timestamp) -> Duration {
        let first = since + TURN + TURN * self.position;
        let Some(elapsed) = now.checked_sub(first) else {
            return first.saturating_sub(now);
        };
        let cycle = TURN * self.count;
        let turns = whole_millis(elapsed) / whole_millis(cycle);
        let into_cycle = elapsed.saturating_sub(cycle * u32::try_from(turns).unwrap_or(u32::MAX));
        match into_cycle < OPEN {
            true => Duration::ZERO,
            false => cycle.saturating_sub(into_cycle),
        }
    }
}

/// This node's latest try of each suspected request.
#[derive(Debug, Default)]
pub struct Trials(HashMap<RequestDigest, (ClientId, Timestamp)>);

impl Trials {
    /// Records that a client's request is sent as a try.
    pub fn record(&mut self, request: RequestDigest, client: ClientId, now: Timestamp) {
        self.0.insert(request, (client, now));
    }

    /// The client whose request was sent last as a try of this one, and whether that was in
    /// the current turn.
    pub fn latest(&self, request: &RequestDigest, now: Timestamp) -> Option<(ClientId, bool)> {
        let (client, at) = self.0.get(request)?;
        Some((*client, now < *at + OPEN))
    }

    /// Drops tries whose requests have ended.
    pub fn expire(&mut self, is_open: impl Fn(&ClientId) -> bool, now: Timestamp) {
        self.0
            .retain(|_, (client, at)| is_open(client) || now < *at + OPEN);
    }
}
