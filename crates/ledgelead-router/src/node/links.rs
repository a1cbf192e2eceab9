//! Observes this node's links to the instances, and probes those that may have failed.

use super::Node;
use crate::Timestamp;
use crate::identity::InstanceId;
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::reachability::LINK_PROBE_TIMEOUT;
use std::time::Duration;

/// Interval between two searches for silent instances.
const SILENCE_REVIEW_INTERVAL: Duration = Duration::from_millis(150);

impl Node {
    /// When links must be reviewed next.
    pub(super) fn links_deadline(&self) -> Option<Timestamp> {
        let silence = (!self.requests.is_empty()).then_some(self.next_silence_review);
        silence
            .into_iter()
            .chain(self.reachability.next_probe())
            .min()
    }

    /// Records what the end of an exchange shows about the link to an instance.
    pub(super) fn record_link(
        &mut self,
        instance: &InstanceId,
        began: Timestamp,
        failure: Option<&ExchangeFailure>,
        now: Timestamp,
    ) {
        match failure {
            None => self.reachability.record_contact(instance, began, now),
            Some(failure) if failure.shows_failed_link() => {
                self.reachability.record_failure(instance, now);
            }
            Some(_) => {}
        }
    }

    /// Probes the links that are due, and those on which instances are silent.
    pub(super) fn review_links(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.next_silence_review <= now && !self.requests.is_empty() {
            self.next_silence_review = now + SILENCE_REVIEW_INTERVAL;
            let (requests, context) = self.requests_and_context(now);
            for instance in requests.silent_instances(&context) {
                self.probe_if_suspected(&instance, now, out);
            }
        }
        for instance in self.reachability.due_probes(now) {
            self.probe_link(&instance, out);
        }
        if self.reachability.needs_control() {
            self.probe_control(now, out);
        }
    }

    /// Probes links that have not failed, to find out whether failures are this node's own.
    fn probe_control(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let serving = self.directory.iter().filter(|instance| instance.serves());
        let serving = serving.map(|instance| instance.record.id.clone()).collect();
        for instance in self.reachability.begin_control(serving, now) {
            self.probe_link(&instance, out);
        }
    }

    /// Probes the link to an instance that is silent.
    pub(super) fn probe_if_suspected(
        &mut self,
        instance: &InstanceId,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if self.reachability.suspect(instance, now) {
            self.probe_link(instance, out);
        }
    }

    fn probe_link(&mut self, instance: &InstanceId, out: &mut Vec<Action>) {
        let Some(known) = self.directory.get(instance) else {
            self.reachability.forget(instance);
            return;
        };
        let exchange = self.exchanges.next_id();
        out.push(Action::Probe {
            exchange,
            address: known.record.address,
            timeout: LINK_PROBE_TIMEOUT,
        });
        self.reachability.probe_sent(instance, exchange);
    }

    /// Handles the end of a probe of a link.
    pub(super) fn link_probe_ended(
        &mut self,
        exchange: ExchangeId,
        is_connected: bool,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let failed = self.reachability.probe_ended(exchange, is_connected, now);
        if failed.is_some() {
            let (requests, mut context) = self.requests_and_context(now);
            requests.abandon_failed_links(&mut context, out);
        }
        self.coordination.schedule_step();
        self.reconsider_waiting(now, out);
    }

    /// Whether this node reaches no instance, and no peer is known that may reach any.
    pub(super) fn is_cut_off(&self, now: Timestamp) -> bool {
        let node = &self.settings.identity.node;
        self.reachability.is_isolated() && !self.forward_peers.has_usable(&self.registry, node, now)
    }
}
