//! The coordinator's heartbeats: what they say, and what a node takes from them.

use super::Node;
use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::evacuation::EvacuationsEntry;
use crate::events::Event;
use crate::io::Action;
use crate::mechanisms::Mechanism;
use crate::ownership::coordinator::Coordinator;
use crate::peers::{Heartbeat, PeerMessage, RelayedKind, encode};
use crate::protections::Protection;
use crate::{short_millis, whole_millis};
use ledgelead_types::codec::List;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the drain bound, or of the bound of configurations if that is
/// shorter, for which a coordinator's view of the store is followed. With a call
/// of its own after that, a node learns of a leaving instance and of a
/// configuration within its bound, also when the coordinator has lost the store.
const VIEW_TTL_SHARE: f64 = 0.7;
/// Silence after which a coordinator that is heard again shows that this node
/// was cut off: three heartbeats and some delay.
const HEARTBEATS_MISSED: Duration = Duration::from_millis(700);

impl Node {
    pub(super) fn announce_heartbeat(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(coordinator) = self.coordination.coordinator() else {
            return;
        };
        // Without authority it plans no more, and knows nothing new.
        let has_authority = self.coordination.has_authority(now);
        let overloads = match has_authority {
            true => coordinator.overloads().to_vec(),
            false => Vec::new(),
        };
        let heartbeat = Heartbeat {
            epoch: coordinator.epoch(),
            sent_ms: whole_millis(now),
            store_serves: self.store.health.serves() && has_authority,
            record_revision: self.ownership.revision().unwrap_or(0),
            configuration_version: self.configuration_version(),
            instances_revision: self.gossip.relay.instances_revision(),
            nodes_revision: self.gossip.relay.nodes_revision(),
            age_ms: short_millis(self.store.age(now)),
            instances_age_ms: short_millis(self.store.state_age(ObjectKind::Instances, now)),
            served_for_ms: short_millis(self.store.served_for(now)),
            overloads: List(overloads),
            evacuations: self.evacuations.entry(),
            evidence_checksum: self.quarantine.evidence.checksum(),
        };
        self.overloads.replace(&heartbeat.overloads, now);
        let datagram = encode(&PeerMessage::CoordinatorHeartbeat(heartbeat));
        self.broadcast(&[datagram], now, out);
    }

    pub(super) fn heartbeat_received(
        &mut self,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Heartbeat {
            epoch,
            store_serves,
            ..
        } = *heartbeat;
        if !self.counts_as_coordinator(epoch, now) {
            return;
        }
        // What it says was true when it was sent.
        let delay = self
            .gossip
            .delay
            .record_arrival(epoch, heartbeat.sent_ms, now);
        let sent_at = now.saturating_sub(delay);
        self.coordination
            .record_vouched(epoch, heartbeat.record_revision, sent_at);
        let age = delay + Duration::from_millis(u64::from(heartbeat.age_ms));
        self.gossip.coordinator_address = Some(from);
        self.gossip.heartbeat_sender = Some(from);
        self.overloads.replace(&heartbeat.overloads, now);
        self.heard_of_store(store_serves, now, out);
        self.heard_of_evacuations(&heartbeat.evacuations, now, out);
        self.heard_evidence(from, heartbeat.evidence_checksum, now, out);
        if store_serves && age < self.view_ttl() {
            self.informed(from, epoch, age, now, out);
            let served_for = Duration::from_millis(u64::from(heartbeat.served_for_ms));
            let served_since = now.saturating_sub(delay).saturating_sub(served_for);
            self.directory.store_served_since(served_since);
            let instances_age =
                delay + Duration::from_millis(u64::from(heartbeat.instances_age_ms));
            self.heard_of_instances(heartbeat.instances_revision, instances_age, now);
            self.heard_of(
                RelayedKind::Instances,
                heartbeat.instances_revision,
                now,
                out,
            );
            self.heard_of(RelayedKind::Nodes, heartbeat.nodes_revision, now, out);
        }
        self.heard_configuration(heartbeat.configuration_version, now, out);
        self.heard_coordinator(
            epoch,
            store_serves,
            heartbeat.record_revision,
            delay,
            now,
            out,
        );
    }

    /// Whether the coordinator of this epoch is the newest that is known. Epochs rise only
    /// by writes of the record, so a later one proves that an earlier coordinator has lost
    /// its place, which that one can't read while the store refuses it. Its word would undo
    /// its successor's.
    fn counts_as_coordinator(&mut self, epoch: u64, now: Timestamp) -> bool {
        let is_protected = self.settings.protections.has(Protection::IgnoreOlderEpochs);
        if epoch < self.newest_epoch() {
            self.gossip.former_heartbeats += 1;
            return !is_protected;
        }
        if epoch > self.gossip.newest_epoch {
            self.gossip.newest_epoch = epoch;
            self.gossip.relay.coordinator_changed();
        }
        let own_epoch = self.coordinator().map(Coordinator::epoch);
        if is_protected && own_epoch.is_some_and(|own| own < epoch) {
            self.leave_place(epoch, now);
        }
        true
    }

    /// The newest epoch that this node knows of.
    pub(super) fn newest_epoch(&self) -> u64 {
        let read = self.ownership.record().epoch;
        self.gossip.newest_epoch.max(read)
    }

    /// Evacuations stand whole in each heartbeat, with their revision: a newer one
    /// counts, whoever sends it.
    fn heard_of_evacuations(
        &mut self,
        entry: &EvacuationsEntry,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.evacuations.heard(entry) {
            self.evacuations_changed(now, out);
        }
    }

    /// A coordinator whom the store serves relays changes, also to a node that the
    /// store refuses, throttles or doesn't answer. Such a node probes on, if
    /// rarely, since it can't campaign before its own calls are served.
    fn informed(
        &mut self,
        from: SocketAddr,
        epoch: u64,
        age: Duration,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let follows = self.coordination.coordinator().is_none() && self.store.health.has_served();
        let rests = self.settings.mechanisms.has(Mechanism::PausedWatches);
        if follows && rests {
            if self.gossip.followed.replace(epoch) != Some(epoch) {
                Event::FollowsCoordinator { epoch, from }.emit();
            }
            self.gossip.informed_until = Some(now + self.view_ttl().saturating_sub(age));
            if self.store.health.relayed_until(now.saturating_sub(age)) {
                // Until the coordinator says for how long the store has served.
                self.directory.store_was_lost(now);
            }
            self.store.set_informed(true, now, out);
        }
    }

    /// How long a coordinator's view of the store is followed.
    fn view_ttl(&self) -> Duration {
        let bound = self
            .settings
            .drain_bound
            .min(self.settings.configuration_bound);
        bound.mul_f64(VIEW_TTL_SHARE)
    }

    /// The coordinator has read all changes of instances up to this revision,
    /// and knew of all that were acknowledged before its view's age.
    fn heard_of_instances(&mut self, revision: u64, age: Duration, now: Timestamp) {
        let known = self.store.revision_of(ObjectKind::Instances);
        if known.is_some_and(|known| known >= revision) {
            self.directory.note_current(now.saturating_sub(age));
        }
    }

    /// A store that serves the coordinator again serves this node as well,
    /// perhaps; likewise when the coordinator is heard again after a silence,
    /// as at the end of a cut. The probe is made anew.
    fn heard_of_store(&mut self, serves: bool, now: Timestamp, out: &mut Vec<Action>) {
        let silent = self.gossip.heard_store_at + HEARTBEATS_MISSED < now;
        let recovered = serves && (silent || !self.gossip.serves_coordinator);
        self.gossip.heard_store_at = now;
        self.gossip.serves_coordinator = serves;
        if recovered && self.store.health.has_failed() {
            self.store.probe_again(now, out);
        }
    }

    /// Whether keys can get another owner now: whether the store serves the coordinator,
    /// or this node if none is heard.
    pub(super) fn keys_can_move(&self, now: Timestamp) -> bool {
        let follows = self.coordination.coordinator().is_none();
        match follows && now < self.gossip.heard_store_at + HEARTBEATS_MISSED {
            true => self.gossip.serves_coordinator,
            false => self.store.health.serves(),
        }
    }

    fn heard_coordinator(
        &mut self,
        epoch: u64,
        store_serves: bool,
        revision: u64,
        delay: Duration,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        // While the store serves nobody, nobody can follow either; and after
        // that the coordinator gets its time to notice.
        let health = &self.store.health;
        if store_serves || !health.serves() || health.recovered_recently(now) {
            self.coordination
                .election
                .heard(epoch, now.saturating_sub(delay));
        }
        self.heard_of(RelayedKind::Ownership, revision, now, out);
    }
}
