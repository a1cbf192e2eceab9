//! Heartbeats of the coordinator: their content, and how nodes apply them.

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

/// How long a coordinator's view of the store is followed, as a share of the drain bound or of
/// the configuration bound, whichever is shorter. The rest leaves time for one call of the
/// node's own, so that it learns of a leaving instance and of a configuration within the bound
/// even if the coordinator has lost the store.
const VIEW_TTL_SHARE: f64 = 0.7;
/// Silence of the coordinator after which hearing it again shows that this node was
/// disconnected: three heartbeat intervals plus some delay.
pub(super) const COORDINATOR_SILENCE: Duration = Duration::from_millis(700);

impl Node {
    pub(super) fn announce_heartbeat(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(coordinator) = self.coordination.coordinator() else {
            return;
        };
        // Without authority the coordinator doesn't plan, so that it has no current list of
        // overloads.
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
            instances_revision: self.messaging.relay.instances_revision(),
            nodes_revision: self.messaging.relay.nodes_revision(),
            age_ms: short_millis(self.store.view_age(now)),
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
        if !self.is_newest_coordinator(epoch, now) {
            return;
        }
        // The content was valid when the heartbeat was sent.
        let delay = self
            .messaging
            .delay
            .record_arrival(epoch, heartbeat.sent_ms, now);
        let sent_at = now.saturating_sub(delay);
        self.coordination
            .record_final_version(epoch, heartbeat.record_revision, sent_at);
        let age = delay + Duration::from_millis(u64::from(heartbeat.age_ms));
        self.messaging.coordinator_address = Some(from);
        self.messaging.heartbeat_sender = Some(from);
        self.overloads.replace(&heartbeat.overloads, now);
        self.store_health_announced(store_serves, now, out);
        self.evacuations_announced(&heartbeat.evacuations, now, out);
        self.compare_evidence(from, heartbeat.evidence_checksum, now, out);
        if store_serves {
            let as_of = now.saturating_sub(age);
            self.confirm_owners(heartbeat.record_revision, as_of, now, out);
        }
        if store_serves && age < self.view_ttl() {
            self.follow_coordinator(from, epoch, age, now, out);
            let served_for = Duration::from_millis(u64::from(heartbeat.served_for_ms));
            let served_since = now.saturating_sub(delay).saturating_sub(served_for);
            self.directory.record_store_served_since(served_since);
            let instances_age =
                delay + Duration::from_millis(u64::from(heartbeat.instances_age_ms));
            self.confirm_instances(heartbeat.instances_revision, instances_age, now);
            self.revision_announced(
                RelayedKind::Instances,
                heartbeat.instances_revision,
                now,
                out,
            );
            self.revision_announced(RelayedKind::Nodes, heartbeat.nodes_revision, now, out);
            self.confirm_configuration(heartbeat.configuration_version, age, now);
        }
        self.configuration_version_announced(heartbeat.configuration_version, now, out);
        self.coordinator_heard(
            epoch,
            store_serves,
            heartbeat.record_revision,
            delay,
            now,
            out,
        );
    }

    /// Whether the coordinator of this epoch is the latest known one. Epochs increase only by
    /// writes of the record, so a higher one proves that an earlier coordinator has lost its
    /// role. That coordinator can't read this while the store refuses its calls, and its
    /// messages would undo those of its successor.
    fn is_newest_coordinator(&mut self, epoch: u64, now: Timestamp) -> bool {
        let is_protected = self.settings.protections.has(Protection::IgnoreOlderEpochs);
        if epoch < self.newest_epoch() {
            self.messaging.former_heartbeats += 1;
            return !is_protected;
        }
        if epoch > self.messaging.newest_epoch {
            self.messaging.newest_epoch = epoch;
            self.messaging.relay.reset_announced_revisions();
        }
        let own_epoch = self.coordinator().map(Coordinator::epoch);
        if is_protected && own_epoch.is_some_and(|own| own < epoch) {
            self.step_down(epoch, now);
        }
        true
    }

    /// The highest epoch known to this node.
    pub(super) fn newest_epoch(&self) -> u64 {
        let read = self.ownership.record().epoch;
        self.messaging.newest_epoch.max(read)
    }

    /// Each heartbeat carries the complete evacuations with their revision. A higher revision
    /// is applied, whichever node sent it.
    fn evacuations_announced(
        &mut self,
        entry: &EvacuationsEntry,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.evacuations.apply_heartbeat(entry) {
            self.evacuations_changed(now, out);
        }
    }

    /// Follows a coordinator that the store serves: it relays changes, also to a node whose
    /// own calls the store refuses, throttles or doesn't answer. Such a node continues to
    /// probe the store at a low rate, since it can't campaign before its own calls succeed.
    fn follow_coordinator(
        &mut self,
        from: SocketAddr,
        epoch: u64,
        age: Duration,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let follows = self.coordination.coordinator().is_none() && self.store.health.has_served();
        let may_pause_watches = self.settings.mechanisms.has(Mechanism::PausedWatches);
        if follows && may_pause_watches {
            if self.messaging.followed_epoch.replace(epoch) != Some(epoch) {
                Event::FollowsCoordinator { epoch, from }.emit();
            }
            self.messaging.following_until = Some(now + self.view_ttl().saturating_sub(age));
            if self.store.health.record_relay(now.saturating_sub(age)) {
                // Until the coordinator reports for how long the store has served it.
                self.directory.record_store_outage(now);
            }
            self.store.set_following(true, now, out);
        }
    }

    /// How long a coordinator's view of the store is followed.
    fn view_ttl(&self) -> Duration {
        self.settings.propagation_bound().mul_f64(VIEW_TTL_SHARE)
    }

    /// The coordinator has read all changes of instances up to this revision. If this node
    /// knows them too, its directory is as recent as the coordinator's view, of this age.
    fn confirm_instances(&mut self, revision: u64, age: Duration, now: Timestamp) {
        let known = self.store.revision_of(ObjectKind::Instances);
        if known.is_some_and(|known| known >= revision) {
            self.directory.advance_current_at(now.saturating_sub(age));
        }
    }

    /// A store that serves the coordinator again may serve this node as well. The same holds
    /// if the coordinator is heard again after a silence, as at the end of a network
    /// partition. In both cases the store is probed again.
    fn store_health_announced(&mut self, serves: bool, now: Timestamp, out: &mut Vec<Action>) {
        let was_silent = self.messaging.coordinator_heard_at + COORDINATOR_SILENCE < now;
        let recovered = serves && (was_silent || !self.messaging.store_serves_coordinator);
        self.messaging.coordinator_heard_at = now;
        self.messaging.store_serves_coordinator = serves;
        if recovered && self.store.health.has_failed() {
            self.store.probe_again(now, out);
        }
    }

    /// Whether keys can get a new owner now, that is, whether the store serves the
    /// coordinator, or this node if no coordinator is heard.
    pub(super) fn keys_can_move(&self, now: Timestamp) -> bool {
        let follows = self.coordination.coordinator().is_none();
        match follows && now < self.messaging.coordinator_heard_at + COORDINATOR_SILENCE {
            true => self.messaging.store_serves_coordinator,
            false => self.store.health.serves(),
        }
    }

    fn coordinator_heard(
        &mut self,
        epoch: u64,
        store_serves: bool,
        revision: u64,
        delay: Duration,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        // While the store serves no node, no node can succeed the coordinator either. After an
        // outage of the store the coordinator gets time to notice its end.
        let health = &self.store.health;
        if store_serves || !health.serves() || health.recovered_recently(now) {
            self.coordination
                .election
                .record_heartbeat(epoch, now.saturating_sub(delay));
        }
        self.revision_announced(RelayedKind::Ownership, revision, now, out);
    }
}
