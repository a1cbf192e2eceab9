//! Instances that have said in answers that they leave, before their entries say so.
//!
//! The store says who leaves only while it serves, and only to whom it serves. So each node
//! heeds what it is told in answers, and passes it on: to the coordinator, which moves the
//! keys of owners if the store serves it, and by the coordinator to all others, until the
//! entries say so as well.

use super::Node;
use super::gossip::send;
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

/// Most instances in one message, 12 bytes each.
const MAX_INSTANCES: usize = 64;
/// How long what the coordinator has announced is not reported to it again: three of its
/// heartbeats, with which it repeats what it knows.
const ANNOUNCED_FOR: Duration = Duration::from_millis(700);

/// What the coordinator has announced last.
#[derive(Debug, Default)]
pub(super) struct AnnouncedLeaving {
    /// By the stable hashes of their ids.
    instances: BTreeSet<u64>,
    until: Timestamp,
}

impl Node {
    /// Takes over what instances have said in answers to requests.
    pub(super) fn take_said_leaving(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for instance in self.requests.take_said_leaving() {
            self.said_to_leave(&instance, now, now, out);
        }
    }

    /// An instance has answered an order.
    pub(super) fn note_order_notice(
        &mut self,
        instance: &InstanceId,
        response: &Response,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if Notice::of(instance, response, self.dialect.headers()).leaving {
            self.said_to_leave(instance, now, now, out);
        }
    }

    fn said_to_leave(
        &mut self,
        instance: &InstanceId,
        at: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let heeds = self.settings.protections.has(Protection::HonorLeaving);
        if heeds && self.directory.said_to_leave(instance, at) {
            self.coordination.note_change();
            self.reconsider_waiting(now, out);
        }
    }

    /// Reports to the coordinator who leaves, as far as it hasn't announced that itself.
    pub(super) fn report_leaving(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_some() {
            return;
        }
        let announced = &self.gossip.announced_leaving;
        let is_known = |hash: u64| announced.until > now && announced.instances.contains(&hash);
        let message = self.leaving_message(now, |hash| !is_known(hash));
        if let (Some(message), Some(address)) = (message, self.coordinator_address()) {
            send(address, &[message], out);
        }
    }

    /// As coordinator, tells all nodes who leaves; with each heartbeat, since datagrams are
    /// lost and nodes start.
    pub(super) fn announce_leaving(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.coordination.coordinator().is_none() {
            return;
        }
        if let Some(message) = self.leaving_message(now, |_| true) {
            self.broadcast(&[message], now, out);
        }
    }

    fn leaving_message(&self, now: Timestamp, is_sent: impl Fn(u64) -> bool) -> Option<Datagram> {
        let leaving = self.directory.leave_by_answers();
        let hashed = leaving.map(|(id, at)| (id.stable_hash(), at));
        let sent = hashed
            .filter(|(hash, _)| is_sent(*hash))
            .take(MAX_INSTANCES);
        let sent: BTreeMap<u64, Timestamp> = sent.collect();
        let instances = List(aged_instances(sent.iter(), now));
        (!sent.is_empty()).then(|| encode(&PeerMessage::LeavingInstances { instances }))
    }

    /// Another node says who leaves.
    pub(super) fn leaving_received(
        &mut self,
        from: SocketAddr,
        instances: &List<AgedEntry>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let said: BTreeMap<u64, u32> = instances.iter().map(|of| (of.subject, of.age_ms)).collect();
        let known = self.directory.iter().filter_map(|instance| {
            let id = &instance.record.id;
            let age = said.get(&id.stable_hash())?;
            Some((id.clone(), time_from_age(*age, now)))
        });
        let known: Vec<(InstanceId, Timestamp)> = known.collect();
        for (instance, at) in known {
            self.said_to_leave(&instance, at, now, out);
        }
        if self.coordinator_address() == Some(from) {
            self.gossip.announced_leaving = AnnouncedLeaving {
                instances: said.into_keys().collect(),
                until: now + ANNOUNCED_FOR,
            };
        }
    }
}
