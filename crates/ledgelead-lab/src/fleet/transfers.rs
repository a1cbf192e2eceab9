//! Complete lists that nodes fetch from each other.

use super::event::{Caller, Event};
use super::network::LATENCY;
use super::world::{World, exchanged};
use ledgelead_http::{Request, Response};
use ledgelead_router::forwarding::FORWARD_PATH;
use ledgelead_router::io::{ClientId, ExchangeFailure, ExchangeId, Input};
use std::collections::HashMap;
use std::time::Duration;

/// Transfer time of a list in addition to the latency.
const TRANSFER_TIME: Duration = Duration::from_millis(20);
/// First client id of requests between nodes, which keeps them apart from those of clients.
const FIRST_NUMBER: u64 = 1 << 48;
/// Minimum size of the body of an answer whose transfer takes time.
const LIST_BYTES: usize = 1_024;

/// Pending requests between nodes.
#[derive(Default)]
pub struct Transfers {
    last: u64,
    open: HashMap<(Caller, ClientId), (Caller, ExchangeId)>,
    /// Requests to forward an attempt, which end with the connection of the asking node.
    forwards: HashMap<(Caller, ExchangeId), (Caller, ClientId)>,
}

impl World {
    /// Sends a request from one node to another.
    pub(super) fn send_node_request(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        receiver: usize,
        request: Request,
    ) {
        if !self.network.nodes_connected(caller.0, receiver) {
            // The exchange ends with its timeout.
            return;
        }
        if self.nodes[receiver].node.is_none() {
            let refused = ExchangeFailure::Refused;
            self.exchange_fails_after(LATENCY * 2, caller, exchange, refused);
            return;
        }
        self.transfers.last += 1;
        let client = ClientId(FIRST_NUMBER + self.transfers.last);
        let to = (receiver, self.nodes[receiver].incarnation);
        self.transfers.open.insert((to, client), (caller, exchange));
        if request.path() == FORWARD_PATH {
            let forward = (caller, exchange);
            self.transfers.forwards.insert(forward, (to, client));
        }
        let input = Input::PeerRequest { client, request };
        self.schedule(LATENCY, Event::Input(to, input));
    }

    /// The asking node closes the connection on which it asked to forward an attempt.
    pub(super) fn abort_forward(&mut self, caller: Caller, exchange: ExchangeId) {
        let Some((to, client)) = self.transfers.forwards.remove(&(caller, exchange)) else {
            return;
        };
        let is_open = self.transfers.open.remove(&(to, client)).is_some();
        if is_open && self.network.nodes_connected(to.0, caller.0) {
            let input = Input::ClientDisconnected { client };
            self.schedule(LATENCY, Event::Input(to, input));
        }
    }

    /// The process of a node ends, and its connections with it.
    pub(super) fn abort_forwards_of(&mut self, node: usize) {
        let mut asked: Vec<(Caller, ExchangeId)> = self
            .transfers
            .forwards
            .keys()
            .filter(|(caller, _)| caller.0 == node)
            .copied()
            .collect();
        asked.sort_unstable();
        for (caller, exchange) in asked {
            self.abort_forward(caller, exchange);
        }
        let mut lost: Vec<(Caller, ExchangeId)> = self
            .transfers
            .forwards
            .iter()
            .filter(|(_, (to, _))| to.0 == node)
            .map(|(asking, _)| *asking)
            .collect();
        lost.sort_unstable();
        for (caller, exchange) in lost {
            self.transfers.forwards.remove(&(caller, exchange));
            self.exchange_fails_after(LATENCY, caller, exchange, ExchangeFailure::Lost);
        }
    }

    /// Forwards the response to a request between nodes. Returns whether the response belongs
    /// to one.
    pub(super) fn node_answered(
        &mut self,
        answering: Caller,
        client: ClientId,
        response: &Response,
    ) -> bool {
        let Some((asking, exchange)) = self.transfers.open.remove(&(answering, client)) else {
            return client.0 >= FIRST_NUMBER;
        };
        self.transfers.forwards.remove(&(asking, exchange));
        if self.network.nodes_connected(answering.0, asking.0) {
            let input = exchanged(exchange, Ok(response.clone()));
            let after = match response.body.len() >= LIST_BYTES {
                true => LATENCY + TRANSFER_TIME,
                false => LATENCY,
            };
            self.schedule(after, Event::Exchanged(asking, exchange, input));
        }
        true
    }
}
