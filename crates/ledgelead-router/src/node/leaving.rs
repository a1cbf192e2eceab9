//! Instances that announced in responses that they are leaving, before their entries in the
//! store say so.
//!
//! The store reports who is leaving only while it is available, and only to nodes whose calls
//! it serves. So each node uses the announcements in responses and passes them on to the
//! coordinator, which moves the keys of owners if the store serves it. The coordinator
//! announces them to all nodes until the entries say so as well.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::io::Action;
use crate::peers::{AgedEntry, Datagram, PeerMessage, aged_instances, encode, time_from_age};
use crate::protections::Protection;
use crate::requests::Notice;
use ledgelead_http::Response;
use ledgelead_types::codec::List;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of instances in one message; each takes 12 bytes.
const MAX_INSTANCES: usize = 64;
/// How long the instances in the coordinator's last announcement are not reported to it. The
/// announcement is repeated with each heartbeat, and this covers three of them.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(700);

/// The coordinator's last announcement.
#[derive(Debug, Default)]
pub(super) struct AnnouncedLeaving {
    /// Stable hashes of the instance ids.
    instances: BTreeSet<u64>,
    until: Timestamp,
}

impl Node {
    /// Applies the announcements that instances made in responses to requests.
    pub(super) fn apply_leaving_notices(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for instance in self.requests.take_announced_leaving() {
            self.mark_leaving(&instance, now, now, out);
        }
    }

    /// Applies an announcement in the response to an order.
    pub(super) fn apply_order_notice(
        &mut self,
        instance: &InstanceId,
        response: &Response,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if Notice::of(instance, response, self.dialect.headers()).leaving {
            self.mark_leaving(instance, now, now, out);
        }
    }

    fn mark_leaving(
        &mut self,
        instance: &InstanceId,
        at: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_enabled = self.settings.protections.has(Protection::HonorLeaving);
        if is_enabled && self.directory.mark_leaving(instance, at) {
            self.coordination.schedule_step();
            self.reconsider_waiting(now, out);
        }
    }

    /// Reports leaving instances to the coordinator, except those that it has announced
    /// itself.
    pub(super) fn report_leaving(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_some() {
            return;
        }
        let announced = &self.messaging.announced_leaving;
        let is_known = |hash: u64| announced.until > now && announced.instances.contains(&hash);
        let message = self.leaving_message(now, |hash| !is_known(hash));
        if let (Some(message), Some(address)) = (message, self.coordinator_address()) {
            send(address, &[message], out);
        }
    }

    /// As coordinator, announces leaving instances to all nodes with each heartbeat, since
    /// datagrams get lost and new nodes start.
    pub(super) fn announce_leaving(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_none() {
            return;
        }
        if let Some(message) = self.leaving_message(now, |_| true) {
            self.broadcast(&[message], now, out);
        }
    }

    fn leaving_message(&self, now: Timestamp, is_sent: impl Fn(u64) -> bool) -> Option<Datagram> {
        let leaving = self.directory.leaving_by_response();
        let hashed = leaving.map(|(id, at)| (id.stable_hash(), at));
        let sent = hashed
            .filter(|(hash, _)| is_sent(*hash))
            .take(MAX_INSTANCES);
        let sent: BTreeMap<u64, Timestamp> = sent.collect();
        let instances = List(aged_instances(sent.iter(), now));
        (!sent.is_empty()).then(|| encode(&PeerMessage::LeavingInstances { instances }))
    }

    /// Applies a list of leaving instances sent by another node.
    pub(super) fn leaving_received(
        &mut self,
        from: SocketAddr,
        instances: &List<AgedEntry>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let ages: BTreeMap<u64, u32> = instances.iter().map(|of| (of.subject, of.age_ms)).collect();
        let known = self.directory.iter().filter_map(|instance| {
            let id = &instance.record.id;
            let age = ages.get(&id.stable_hash())?;
            Some((id.clone(), time_from_age(*age, now)))
        });
        let known: Vec<(InstanceId, Timestamp)> = known.collect();
        for (instance, at) in known {
            self.mark_leaving(&instance, at, now, out);
        }
        if self.coordinator_address() == Some(from) {
            self.messaging.announced_leaving = AnnouncedLeaving {
                instances: ages.into_keys().collect(),
                until: now + ANNOUNCEMENT_TTL,
            };
        }
    }
}
