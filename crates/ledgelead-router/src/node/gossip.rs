//! What nodes tell each other.

use super::Node;
use super::open_requests::OpenRequestPace;
use super::relay::{RelayState, TakeOver};
use crate::Timestamp;
use crate::dialect::ObjectKind;
use crate::identity::{InstanceId, NodeIdentity, NodeName};
use crate::io::Action;
use crate::mechanisms::Mechanism;
use crate::ownership::work::Work;
use crate::peers::{
    Datagram, KeyReport, NodeRecord, PeerMessage, RelayedKind, WorkReport, decode, encode,
};
use ledgelead_types::codec::List;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between the coordinator's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between reports of the keys asked for.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the drain bound, or of the bound of configurations if that is
/// shorter, for which a coordinator's view of the store is followed. With a call
/// of its own after that, a node learns of a leaving instance and of a
/// configuration within its bound, also when the coordinator has lost the store.
const VIEW_TTL_SHARE: f64 = 0.7;
/// How many nodes prepare at once to follow a coordinator that has resigned.
const PROMPT_SUCCESSORS: usize = 3;
/// Silence after which a coordinator that is heard again tells that this node
/// was cut off.
const HEARTBEATS_MISSED: Duration = Duration::from_millis(700);
/// Most keys in one report.
const MAX_KEYS: usize = 400;
/// Most owners in one report.
const MAX_WORK: usize = 30;
/// How long this node may know less of the record than the coordinator says
/// before it asks the store again.
const BEHIND_FOR: Duration = Duration::from_millis(250);

/// For how long this node has known less than another.
#[derive(Debug, Default)]
pub(super) struct Lag(Option<Timestamp>);

impl Lag {
    /// Whether this node is behind now. Returns since when, each time that it
    /// has been for so long that its watch must have been lost unnoticed.
    pub(super) fn update(&mut self, behind: bool, now: Timestamp) -> Option<Timestamp> {
        if !behind {
            self.0 = None;
            return None;
        }
        let since = *self.0.get_or_insert(now);
        if now < since + BEHIND_FOR {
            return None;
        }
        self.0 = Some(now);
        Some(since)
    }
}

/// State of what is told.
pub(super) struct Gossip {
    next_heartbeat: Timestamp,
    next_report: Timestamp,
    pub(super) relay: RelayState,
    pub(super) open_requests: OpenRequestPace,
    /// Where the last heartbeat of the coordinator came from.
    coordinator_address: Option<SocketAddr>,
    /// When this node is on its own again, unless it hears of instances.
    informed_until: Option<Timestamp>,
    /// Whether the store serves the coordinator, by its last heartbeat.
    serves_coordinator: bool,
    /// When it was last heard.
    heard_store_at: Timestamp,
}

impl Gossip {
    pub(super) fn new(now: Timestamp) -> Gossip {
        Gossip {
            next_heartbeat: now,
            next_report: now + REPORT_INTERVAL,
            open_requests: OpenRequestPace::new(now),
            coordinator_address: None,
            relay: RelayState::default(),
            informed_until: None,
            serves_coordinator: true,
            heard_store_at: now,
        }
    }

    /// A coordinator has something to tell that its heartbeats carry.
    pub(super) fn hasten_heartbeat(&mut self) {
        self.next_heartbeat = Timestamp::ZERO;
    }

    pub(super) fn next_deadline(&self) -> Timestamp {
        let due = self.next_heartbeat.min(self.next_report);
        self.informed_until.map_or(due, |until| due.min(until))
    }
}

impl Node {
    /// Tells what is due.
    pub(super) fn gossip(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.gossip.next_heartbeat <= now {
            self.gossip.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.tell_coordinating(now, out);
        }
        if self.gossip.next_report <= now {
            self.gossip.next_report = now + REPORT_INTERVAL;
            self.tell_keys(now, out);
        }
        if self.gossip.informed_until.is_some_and(|until| until <= now) {
            self.gossip.informed_until = None;
            self.store.set_informed(false, now, out);
        }
    }

    fn tell_coordinating(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(coordinator) = self.coordination.coordinator() else {
            return;
        };
        let message = PeerMessage::Coordinating {
            epoch: coordinator.epoch(),
            store_serves: self.store.health.serves() && self.coordination.has_authority(now),
            revision: self.ownership.revision().unwrap_or(0),
            configuration: self.configuration_version(),
            instances: self.gossip.relay.instances_revision(),
            nodes: self.gossip.relay.nodes_revision(),
            age_ms: millis(self.store.age(now)),
            instances_age_ms: millis(self.store.instances_age(now)),
            served_for_ms: millis(self.store.served_for(now)),
        };
        self.tell_all(&[encode(&message)], out);
    }

    /// Sends datagrams to all other nodes.
    pub(super) fn tell_all(&self, datagrams: &[Datagram], out: &mut Vec<Action>) {
        for record in self.others() {
            send(record.address, datagrams, out);
        }
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &NodeRecord> {
        self.registry
            .iter()
            .filter(|record| record.address != self.settings.peer_address)
    }

    /// Where the coordinator is reached, if this node knows it.
    pub(super) fn coordinator_address(&self) -> Option<SocketAddr> {
        let registered = || {
            let coordinator = self.ownership.record().coordinator.as_ref()?;
            Some(self.registry.get(&coordinator.node)?.address)
        };
        self.gossip.coordinator_address.or_else(registered)
    }

    /// Reports the keys asked for to the coordinator.
    fn tell_keys(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let asked = self.requests.take_asked();
        let worked = self.requests.take_worked();
        if asked.is_empty() && worked.is_empty() {
            return;
        }
        if let Some(coordinator) = self.coordination.coordinator_mut() {
            for (service, keys) in &asked {
                coordinator.record_load(service, keys, now);
            }
            for (instance, work) in worked {
                coordinator.record_work(instance.stable_hash(), work);
            }
            return;
        }
        let Some(address) = self.coordinator_address() else {
            return;
        };
        let reports = asked
            .into_iter()
            .map(|(service, mut keys)| {
                keys.truncate(MAX_KEYS);
                KeyReport {
                    service: service.stable_hash(),
                    keys: List(keys),
                }
            })
            .collect();
        let report = encode(&PeerMessage::KeysAsked {
            configuration: self.configuration_version(),
            reports,
            work: work_reports(worked),
        });
        send(address, &[report], out);
    }

    /// Another node told something.
    pub(super) fn datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let message = match decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(target: "peers", "datagram from {from}: {error}");
                return;
            }
        };
        self.traffic.received(message.kind(), bytes.len());
        match message {
            PeerMessage::Coordinating {
                epoch,
                store_serves,
                revision,
                configuration,
                instances,
                nodes,
                age_ms,
                instances_age_ms,
                served_for_ms,
            } => {
                let age = Duration::from_millis(u64::from(age_ms));
                let current = epoch >= self.ownership.record().epoch;
                if current {
                    self.gossip.coordinator_address = Some(from);
                    self.heard_of_store(store_serves, now, out);
                }
                if current && store_serves && age < self.view_ttl() {
                    let served_for = Duration::from_millis(u64::from(served_for_ms));
                    self.directory
                        .store_served_since(now.saturating_sub(served_for));
                    let instances_age = Duration::from_millis(u64::from(instances_age_ms));
                    self.heard_of_instances(instances, instances_age, now);
                }
                if store_serves && age < self.view_ttl() {
                    self.informed(epoch, age, now, out);
                    self.heard_of(RelayedKind::Instances, instances, now, out);
                    self.heard_of(RelayedKind::Nodes, nodes, now, out);
                }
                self.heard_configuration(configuration, now, out);
                self.heard_coordinator(epoch, store_serves, revision, now, out);
            }
            PeerMessage::InstancesChanged { span, changes } => {
                self.instances_announced(span, changes, now, out);
            }
            PeerMessage::NodesChanged { span, changes } => {
                self.nodes_announced(span, changes, now, out);
            }
            PeerMessage::ConfigurationChanged {
                span,
                limits,
                changes,
            } => self.configuration_announced(span, limits, changes, now, out),
            PeerMessage::TookOver {
                base,
                revision,
                node,
                incarnation,
                first_fence,
                digest,
            } => {
                let coordinator = NodeIdentity {
                    node: NodeName::from(node.0.as_str()),
                    incarnation,
                };
                let take_over = TakeOver {
                    base,
                    revision,
                    coordinator,
                    first_fence,
                    digest,
                };
                self.heard_take_over(take_over, now, out);
            }
            PeerMessage::OwnershipChanged { span, changes } => {
                self.ownership_announced(span, changes, now, out);
            }
            PeerMessage::ChangesWanted { kind, since } => {
                self.changes_requested(from, kind, since, out);
            }
            PeerMessage::Resigned { epoch } => self.heard_resignation(epoch, now, out),
            PeerMessage::KeysAsked {
                configuration,
                reports,
                work,
            } => {
                self.heard_configuration(configuration, now, out);
                self.keys_reported(&reports, now);
                self.work_reported(&work);
            }
            PeerMessage::Open {
                incarnation,
                rest_limit_ms,
                changes,
            } => {
                if rest_limit_ms > 0 {
                    let limit = Duration::from_millis(u64::from(rest_limit_ms));
                    self.requests.rest_limit_told(limit, now);
                }
                self.shared.told(from, incarnation, &changes, now);
                self.reconsider_waiting(now, out);
            }
        }
    }

    /// A coordinator whom the store serves tells of changes. While the store
    /// fails this node, it goes on to ask by itself, since only its own calls
    /// tell when that is over.
    fn informed(&mut self, epoch: u64, age: Duration, now: Timestamp, out: &mut Vec<Action>) {
        let current = epoch >= self.ownership.record().epoch;
        let follows = self.coordination.coordinator().is_none() && self.store.health.serves();
        let rests = self.settings.mechanisms.has(Mechanism::RestingWatches);
        if current && follows && rests {
            self.gossip.informed_until = Some(now + self.view_ttl().saturating_sub(age));
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
    /// and knew of all that were acknowledged before its picture's age.
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

    /// Tells all nodes that this one has left the coordinator's place.
    pub(super) fn tell_resignation(&self, out: &mut Vec<Action>) {
        let epoch = self.ownership.record().epoch;
        self.tell_all(&[encode(&PeerMessage::Resigned { epoch })], out);
    }

    /// Only those that come first as successors read the record at once. The
    /// others hear from the successor, or miss the coordinator's heartbeats.
    fn heard_resignation(&mut self, epoch: u64, now: Timestamp, out: &mut Vec<Action>) {
        let current = epoch >= self.ownership.record().epoch;
        if current && self.campaign_rank() < PROMPT_SUCCESSORS {
            self.store.refresh_ownership(now, out);
        }
    }

    fn heard_coordinator(
        &mut self,
        epoch: u64,
        store_serves: bool,
        revision: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if epoch < self.ownership.record().epoch {
            return;
        }
        // While the store serves nobody, nobody can follow either; and after
        // that the coordinator gets its time to notice.
        let health = &self.store.health;
        if store_serves || !health.serves() || health.recovered_lately(now) {
            self.coordination.election.heard(epoch, now);
        }
        self.heard_of(RelayedKind::Ownership, revision, now, out);
    }

    fn work_reported(&mut self, reports: &[WorkReport]) {
        let Some(coordinator) = self.coordination.coordinator_mut() else {
            return;
        };
        for report in reports {
            let work = Work {
                answered: u32::from(report.answered),
                busy: Duration::from_millis(u64::from(report.busy_ms)),
            };
            coordinator.record_work(report.instance, work);
        }
    }

    fn keys_reported(&mut self, reports: &[KeyReport], now: Timestamp) {
        for report in reports {
            let Some(service) = self.service_by_hash(report.service).cloned() else {
                continue;
            };
            if let Some(coordinator) = self.coordination.coordinator_mut() {
                coordinator.record_load(&service, &report.keys, now);
            }
        }
    }
}

/// What owners did, in the form of a report.
fn work_reports(worked: BTreeMap<InstanceId, Work>) -> List<WorkReport> {
    let report = |(instance, work): (InstanceId, Work)| WorkReport {
        instance: instance.stable_hash(),
        answered: u16::try_from(work.answered).unwrap_or(u16::MAX),
        busy_ms: u32::try_from(work.busy.as_millis()).unwrap_or(u32::MAX),
    };
    List(worked.into_iter().take(MAX_WORK).map(report).collect())
}

/// Whole milliseconds, or the most that fits.
fn millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}

/// Sends datagrams to one node.
pub(super) fn send(address: SocketAddr, datagrams: &[Datagram], out: &mut Vec<Action>) {
    for datagram in datagrams {
        out.push(Action::Datagram {
            address,
            datagram: datagram.clone(),
        });
    }
}
