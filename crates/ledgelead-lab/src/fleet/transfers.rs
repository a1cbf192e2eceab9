//! Complete lists that nodes fetch from each other.

use super::event::{Caller, Event};
use super::network::LATENCY;
use super::world::{World, exchanged};
use ledgelead_http::{Request, Response};
use ledgelead_router::io::{ClientId, ExchangeFailure, ExchangeId, Input};
use std::collections::HashMap;
use std::time::Duration;

/// Transfer time of a list in addition to the latency.
const TRANSFER_TIME: Duration = Duration::from_millis(20);
/// First client id of requests between nodes, which keeps them apart from those of clients.
const FIRST_NUMBER: u64 = 1 << 48;

/// Pending requests between nodes.
#[derive(Default)]
pub struct Transfers {
    last: u64,
    open: HashMap<(Caller, ClientId), (Caller, ExchangeId)>,
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
            let refused = exchanged(exchange, Err(ExchangeFailure::Refused));
            self.schedule(LATENCY * 2, Event::Exchanged(caller, exchange, refused));
            return;
        }
        self.transfers.last += 1;
        let client = ClientId(FIRST_NUMBER + self.transfers.last);
        let to = (receiver, self.nodes[receiver].incarnation);
        self.transfers.open.insert((to, client), (caller, exchange));
        let input = Input::PeerRequest { client, request };
        self.schedule(LATENCY, Event::Input(to, input));
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
        if self.network.nodes_connected(answering.0, asking.0) {
            let input = exchanged(exchange, Ok(response.clone()));
            let after = LATENCY + TRANSFER_TIME;
            self.schedule(after, Event::Exchanged(asking, exchange, input));
        }
        true
    }
}
