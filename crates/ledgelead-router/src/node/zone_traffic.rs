//! Counts the traffic between this node and its own zone and other zones.

use super::Node;
use crate::identity::{InstanceId, ZoneName};
use crate::io::{Action, ExchangeFailure, ExchangeId};
use crate::peers::Datagram;
use crate::zone_traffic::{ORDERS, REQUESTS, STORE, TRANSFERS, ZoneRelation};
use ledgelead_http::{Request, Response, request_bytes, response_bytes};
use std::net::SocketAddr;

impl Node {
    /// Counts the traffic sent by the actions of one step.
    pub(super) fn count_sent(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Datagram { address, datagram } => {
                    self.count_datagram(*address, datagram);
                }
                Action::Exchange {
                    exchange, request, ..
                } => self.count_request(*exchange, request),
                _ => {}
            }
        }
    }

    /// Counts a received datagram.
    pub(super) fn count_received(&mut self, from: SocketAddr, kind: &'static str, bytes: usize) {
        self.traffic.record_received(kind, bytes);
        let relation = self.zone_relation_of_node(from);
        self.zone_traffic.record_received(kind, relation, bytes);
    }

    /// Counts a response. Must be called before its exchange is removed.
    pub(super) fn count_response(
        &mut self,
        exchange: ExchangeId,
        result: &Result<Response, ExchangeFailure>,
    ) {
        let Ok(response) = result else {
            return;
        };
        if let Some((purpose, relation)) = self.purpose_of(exchange) {
            let bytes = response_bytes(response);
            self.zone_traffic.record_received(purpose, relation, bytes);
        }
    }

    /// Counts a list sent to another node.
    pub(super) fn count_transfer(&mut self, to: SocketAddr, bytes: usize) {
        let relation = self.zone_relation_of_node(to);
        self.zone_traffic.record_sent(TRANSFERS, relation, bytes);
    }

    fn count_datagram(&mut self, address: SocketAddr, datagram: &Datagram) {
        self.traffic.record_sent(datagram);
        let relation = self.zone_relation_of_node(address);
        let bytes = datagram.bytes.len();
        self.zone_traffic
            .record_sent(datagram.kind, relation, bytes);
    }

    fn count_request(&mut self, exchange: ExchangeId, request: &Request) {
        if let Some((purpose, relation)) = self.purpose_of(exchange) {
            let bytes = request_bytes(request);
            self.zone_traffic.record_sent(purpose, relation, bytes);
        }
    }

    /// Purpose and destination zone of an exchange; `None` if it is no longer known.
    fn purpose_of(&self, exchange: ExchangeId) -> Option<(&'static str, ZoneRelation)> {
        if let Some(peer) = self.requests.peer_of(exchange) {
            return Some((REQUESTS, self.zone_relation_of_node(peer)));
        }
        let forwarded = self.forward_server.instance_of(exchange);
        if let Some(instance) = forwarded.or_else(|| self.requests.instance_of(exchange)) {
            return Some((REQUESTS, self.zone_relation_of_instance(instance)));
        }
        if self.store.owns(exchange) {
            return Some((STORE, ZoneRelation::Unknown));
        }
        if let Some(source) = self.transfers.source(exchange) {
            return Some((TRANSFERS, self.zone_relation_of_node(source)));
        }
        let instance = self.coordination.order_target(exchange)?;
        Some((ORDERS, self.zone_relation_of_instance(instance)))
    }

    fn zone_relation_of_instance(&self, id: &InstanceId) -> ZoneRelation {
        let instance = self.directory.get(id);
        self.zone_relation(instance.map(|instance| &instance.record.zone))
    }

    fn zone_relation_of_node(&self, address: SocketAddr) -> ZoneRelation {
        self.zone_relation(self.registry.zone_at(address))
    }

    fn zone_relation(&self, zone: Option<&ZoneName>) -> ZoneRelation {
        match zone {
            Some(zone) if *zone == self.settings.zone => ZoneRelation::Own,
            Some(_) => ZoneRelation::Other,
            None => ZoneRelation::Unknown,
        }
    }
}
