//! Announcement of configuration versions as changes to earlier versions.

use super::RelayState;
use crate::Timestamp;
use crate::configuration::Configuration;
use crate::dialect::ObjectKind;
use crate::io::Action;
use crate::node::Node;
use crate::peers::{
    ChangeSpan, ConfigurationChange, ConfigurationDelta, Datagram, LimitsEntry, PeerMessage,
    RelayedKind, encode,
};
use ledgelead_types::codec::{self, List};

/// Number of versions that a coordinator keeps for nodes that have missed some. In a burst,
/// versions follow each other every 60 ms, while a node that missed one asks within 200 ms.
const CONFIGURATION_LOG_LENGTH: usize = 16;
/// Maximum size of changes in one datagram, so that it fits the smallest common MTU together
/// with its span and limits.
const MAX_CHANGE_BYTES: usize = 1_100;
/// Maximum number of datagrams for one version. Nodes read a larger change from the store:
/// twelve datagrams to a node cost about as much as its call where traffic is most expensive
/// (18 credits per GB, 3 per call).
const MAX_DATAGRAMS: usize = 12;

impl RelayState {
    /// The datagrams that update a node from version `since` to the latest one, unless they
    /// are too many.
    pub(super) fn configuration_datagrams(&mut self, since: u64) -> Option<Vec<Datagram>> {
        if let Some(known) = self.configuration_datagrams.get(&since) {
            return known.clone();
        }
        let versions = &self.configurations;
        let next = versions.back().filter(|next| next.version > since)?;
        let earlier = versions.iter().find(|earlier| earlier.version == since);
        let delta = ConfigurationDelta::between(earlier, next);
        let datagrams = delta.and_then(|delta| datagrams(&delta));
        self.configuration_datagrams
            .insert(since, datagrams.clone());
        datagrams
    }
}

impl Node {
    /// A new version is active at this node. A coordinator announces it.
    pub(in crate::node) fn configuration_activated(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(next) = self.configuration.clone() else {
            return;
        };
        self.messaging.relay.configuration_datagrams.clear();
        let versions = &mut self.messaging.relay.configurations;
        let before = versions.back().map_or(0, |earlier| earlier.version);
        versions.push_back(next);
        if versions.len() > CONFIGURATION_LOG_LENGTH {
            versions.pop_front();
        }
        if self.coordination.coordinator().is_none() {
            return;
        }
        if let Some(datagrams) = self.messaging.relay.configuration_datagrams(before) {
            self.broadcast(&datagrams, now, out);
        }
        // Nodes that need another base version learn of the new one by the heartbeat.
        self.messaging.send_heartbeat_soon();
    }

    /// Applies a version announced by the coordinator, once all of its parts have arrived.
    pub(in crate::node) fn configuration_announced(
        &mut self,
        span: ChangeSpan,
        limits: LimitsEntry,
        changes: List<ConfigurationChange>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let part = vec![(limits, changes.0)];
        let Some(list) = self.messaging.relay.configuration_parts.add(span, part) else {
            return;
        };
        let known = self.configuration_version();
        let (base, version) = (list.base(), list.revision());
        if version <= known {
            return;
        }
        let changes = list.into_changes().into_iter().flat_map(|(_, part)| part);
        let delta = ConfigurationDelta {
            base,
            version,
            limits,
            changes: changes.collect(),
        };
        match delta.apply_to(self.configuration.as_ref()) {
            Some(configuration) => {
                self.activate_configuration(configuration, now, out);
                self.reconsider_waiting(now, out);
            }
            None => self.request_changes(RelayedKind::Configuration, now, out),
        }
    }

    /// Another node has activated this version of the configuration.
    pub(in crate::node) fn configuration_version_announced(
        &mut self,
        version: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.coordination.coordinator().is_some() && self.configuration_version() < version {
            // No other node announces changes to the coordinator, so it asks the store.
            self.store.request_catch_up(ObjectKind::Configuration, now);
        }
        self.revision_announced(RelayedKind::Configuration, version, now, out);
    }

    pub(in crate::node) fn configuration_version(&self) -> u64 {
        let known: Option<&Configuration> = self.configuration.as_ref();
        known.map_or(0, |known| known.version)
    }
}

/// Encodes a delta, unless it takes too many datagrams.
fn datagrams(delta: &ConfigurationDelta) -> Option<Vec<Datagram>> {
    let chunks = split_by_size(&delta.changes);
    let parts = u8::try_from(chunks.len()).ok()?;
    if chunks.len() > MAX_DATAGRAMS {
        return None;
    }
    let datagram = |(part, changes)| {
        let span = ChangeSpan {
            base: delta.base,
            revision: delta.version,
            part,
            parts,
        };
        encode(&PeerMessage::ConfigurationChanged {
            span,
            limits: delta.limits,
            changes: List(changes),
        })
    };
    Some((0..parts).zip(chunks).map(datagram).collect())
}

/// Splits changes so that each part fits in a datagram. Returns at least one part, since a
/// version may change only the limits.
fn split_by_size(changes: &[ConfigurationChange]) -> Vec<Vec<ConfigurationChange>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for change in changes {
        let length = codec::encode(change).len();
        if bytes + length > MAX_CHANGE_BYTES && bytes > 0 {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += length;
        if let Some(last) = chunks.last_mut() {
            last.push(change.clone());
        }
    }
    chunks
}
