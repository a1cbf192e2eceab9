//! Simulated servers of a hollow deployment.

use super::accounts::{Direction, Traffic};
use super::deployment::{SLOTS, server_id};
use super::event::Event;
use super::world::World;
use crate::simulation::event::NodeRun;
use crate::standin::Moment;
use crate::standin::server::{ServerSettings, ServerState};
use ledgelead_core::{CallId, Input};
use ledgelead_types::codec::encode;
use ledgelead_types::protections::Protections;
use ledgelead_types::server::{LeaseRenewal, RenewalReply};
use ledgelead_types::{ServerId, Span};

/// How long a node waits for a reply to a renewal.
const RENEWAL_TIMEOUT: Span = Span::from_millis(100);

/// A server's machine and process.
pub struct HollowServer {
    /// Index of its zone.
    pub zone: usize,
    /// Its process; `None` if the machine is lost.
    pub state: Option<ServerState>,
}

impl HollowServer {
    /// Creates a running server.
    pub fn new(index: usize, zone: usize) -> HollowServer {
        let settings = ServerSettings {
            server: server_id(index),
            slots: SLOTS,
            queue: usize::from(SLOTS),
            keyed: true,
            cold_for: Span::ZERO,
            cold_factor: 1.0,
            protections: Protections::default(),
        };
        let run = index as u64 + 1;
        HollowServer {
            zone,
            state: Some(ServerState::new(settings, run, Moment::default())),
        }
    }
}

impl World {
    pub(super) fn renew(
        &mut self,
        run: NodeRun,
        call: CallId,
        server: ServerId,
        renewal: LeaseRenewal,
    ) {
        let (body, nanos) = self.stopwatch.time(|| encode(&renewal));
        let account = &mut self.accounts[run.index];
        account.codec_nanos += nanos;
        let bytes = body.len() + self.platform.costs.request_head_bytes;
        account.count(Traffic::Lease, Direction::Out, bytes);
        let index = server.0 as usize - 1;
        let failed = Event::Renewed {
            to: run,
            call,
            server,
            reply: None,
        };
        if self.servers[index].state.is_none() {
            return self.after(RENEWAL_TIMEOUT, failed);
        }
        let delay = self.delay(self.nodes[run.index].zone, self.servers[index].zone);
        let arrival = Event::Renewal {
            from: run,
            call,
            server: index,
            renewal: Box::new(renewal),
        };
        self.after(delay, arrival);
    }

    pub(super) fn renewal_arrives(
        &mut self,
        from: NodeRun,
        call: CallId,
        index: usize,
        renewal: &LeaseRenewal,
    ) {
        let moment = Moment::exact(self.now);
        let server = &mut self.servers[index];
        let Some(state) = &mut server.state else {
            return;
        };
        let reply = state.renew(moment, renewal);
        let zone = server.zone;
        let delay = self.delay(zone, self.nodes[from.index].zone);
        let answer = Event::Renewed {
            to: from,
            call,
            server: server_id(index),
            reply: Some(Box::new(reply)),
        };
        self.after(delay, answer);
    }

    pub(super) fn renewed(
        &mut self,
        to: NodeRun,
        call: CallId,
        server: ServerId,
        reply: Option<Box<RenewalReply>>,
    ) {
        if let Some(reply) = &reply {
            let bytes = encode(&**reply).len() + self.platform.costs.answer_head_bytes;
            self.accounts[to.index].count(Traffic::Lease, Direction::In, bytes);
        }
        let reply = reply.map(|reply| *reply);
        let input = Input::ServerReplied {
            call,
            server,
            reply,
        };
        self.input(to, input);
    }
}
