//! Messages about permits: requests for permits from this node, and its decisions as
//! dispatcher.

use super::Node;
use super::messaging::send;
use crate::Timestamp;
use crate::directory::Instance;
use crate::dispatch::{
    Admission, DispatchDecision, DispatchRequest, InstanceLoad, PermitId, PermitOutcome, QueueKind,
    Server,
};
use crate::io::Action;
use crate::peers::{PeerMessage, PermitRequestEntry, PermitReturnReason, PermitStatus, encode};
use crate::requests::{Declined, PermitDecision, PermitMessage, PermitRequest, pool_hash};
use crate::short_millis;
use std::net::SocketAddr;
use std::time::Duration;

impl Node {
    /// Sends pending messages to dispatchers, and announces the decisions that are due as
    /// dispatcher.
    pub(super) fn dispatch(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let due = self.dispatcher.make_due_decisions(now);
        self.announce_decisions(due, now, out);
        loop {
            let messages = self.requests.take_permit_messages();
            if messages.is_empty() {
                return;
            }
            for (to, message) in messages {
                self.send_permit_message(to, message, now, out);
            }
        }
    }

    fn send_permit_message(
        &mut self,
        to: SocketAddr,
        message: PermitMessage,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let is_own = to == self.settings.peer_address;
        match message {
            PermitMessage::Request(request) if is_own => {
                self.permit_requested(to, &encode_permit_request(&request), now, out);
            }
            PermitMessage::Request(request) => {
                let message = PeerMessage::PermitRequest(encode_permit_request(&request));
                send(to, &[encode(&message)], out);
            }
            PermitMessage::Return {
                number,
                queue,
                outcome,
            } if is_own => {
                let requester = PermitId { node: to, number };
                self.permit_returned(queue, requester, outcome, now, out);
            }
            PermitMessage::Return {
                number,
                queue,
                outcome,
            } => {
                let (ended, took_ms, load) = match outcome {
                    PermitOutcome::Answered { took, load } => (
                        PermitReturnReason::Answered,
                        short_millis(took),
                        load.map(short_load),
                    ),
                    PermitOutcome::NoSample => (PermitReturnReason::NoSample, 0, None),
                    PermitOutcome::Failed => (PermitReturnReason::Failed, 0, None),
                    PermitOutcome::BackedOff(backoff) => {
                        (PermitReturnReason::BackedOff, short_millis(backoff), None)
                    }
                };
                let message = PeerMessage::PermitReturn {
                    number,
                    queue,
                    reason: ended,
                    took_ms,
                    load,
                };
                send(to, &[encode(&message)], out);
            }
        }
    }

    /// Handles a request for a permit.
    pub(super) fn permit_requested(
        &mut self,
        from: SocketAddr,
        entry: &PermitRequestEntry,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let requester = PermitId {
            node: from,
            number: entry.number,
        };
        let request = DispatchRequest {
            queue: entry.queue,
            kind: match entry.is_pool {
                true => QueueKind::Pool,
                false => QueueKind::Owner,
            },
            requester,
            urgency: entry.urgency,
            to_target: Duration::from_millis(u64::from(entry.to_target_ms)),
            left: Duration::from_millis(u64::from(entry.remaining_ms)),
            caller: entry.caller,
            is_cold: entry.is_cold,
            tried: Some(entry.failed_instance).filter(|tried| *tried > 0),
        };
        let decided = match self.stopping {
            true => Err(Declined::ShuttingDown),
            false => self
                .dispatch_request(&request, entry.service, now)
                .ok_or(Declined::UnknownQueue),
        };
        match decided {
            Ok(decided) => self.announce_decisions(decided, now, out),
            Err(declined) => {
                let decision = PermitDecision {
                    number: entry.number,
                    queue: entry.queue,
                    admission: Err(declined),
                    retry_after: Duration::ZERO,
                };
                self.announce_decision(from, &decision, now, out);
            }
        }
    }

    /// Decides as dispatcher. Returns `None` if this node doesn't know the queue or already
    /// keeps too many queues.
    fn dispatch_request(
        &mut self,
        request: &DispatchRequest,
        service: u64,
        now: Timestamp,
    ) -> Option<Vec<DispatchDecision>> {
        let services = &self.configuration.as_ref()?.services;
        let known = services
            .iter()
            .find(|known| known.name.stable_hash() == service)?;
        let service = &known.name;
        let own_pool = pool_hash(service, &self.settings.zone);
        if request.kind == QueueKind::Pool && request.queue != own_pool {
            return None;
        }
        // If the rate to cold instances is limited, only a few nodes may send to them.
        let is_bounded = known.cold_rate.is_some();
        let directory = &self.directory;
        let shared = &self.shared;
        let zone = &self.settings.zone;
        let is_candidate = |instance: &&Instance| match request.kind {
            QueueKind::Owner => instance.record.id.stable_hash() == request.queue,
            QueueKind::Pool => {
                let is_usable = instance.serves() && !(is_bounded && instance.is_cold(now));
                is_usable && instance.record.zone == *zone
            }
        };
        let server = |instance: &Instance| {
            let id = instance.record.id.stable_hash();
            Server {
                id,
                slots: usize::try_from(instance.record.slots).unwrap_or(usize::MAX),
                is_cold: instance.is_cold(now),
                service_time: shared.service_time(id, now),
            }
        };
        let servers = || {
            let candidates = directory.of_service(service).filter(is_candidate);
            candidates.map(server).collect::<Vec<Server>>()
        };
        self.dispatcher.request_permit(request, servers, now)
    }

    /// Handles the return of a permit that this dispatcher granted.
    pub(super) fn permit_returned(
        &mut self,
        queue: u64,
        requester: PermitId,
        outcome: PermitOutcome,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let decided = self
            .dispatcher
            .return_permit(queue, requester, outcome, now);
        self.announce_decisions(decided, now, out);
    }

    /// Applies a dispatcher's decision on a permit request of this node.
    pub(super) fn permit_decided(
        &mut self,
        from: SocketAddr,
        decision: &PermitDecision,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let (requests, mut context) = self.requests_and_context(now);
        requests.permit_decided(from, decision, &mut context, out);
    }

    fn announce_decisions(
        &mut self,
        decided: Vec<DispatchDecision>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        for decided in decided {
            let decision = PermitDecision {
                number: decided.requester.number,
                queue: decided.queue,
                admission: Ok(decided.admission),
                retry_after: decided.retry_after,
            };
            self.announce_decision(decided.requester.node, &decision, now, out);
        }
    }

    fn announce_decision(
        &mut self,
        to: SocketAddr,
        decision: &PermitDecision,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if to == self.settings.peer_address {
            self.permit_decided(to, decision, now, out);
            return;
        }
        let (status, server) = match decision.admission {
            Ok(Admission::Granted(server)) => (PermitStatus::Granted, server),
            Ok(Admission::Queued) => (PermitStatus::Queued, 0),
            Ok(Admission::Refused) => (PermitStatus::Refused, 0),
            Err(Declined::ShuttingDown) => (PermitStatus::ShuttingDown, 0),
            Err(Declined::UnknownQueue) => (PermitStatus::UnknownQueue, 0),
        };
        let message = PeerMessage::PermitDecision {
            number: decision.number,
            queue: decision.queue,
            status,
            server,
            return_ms: short_millis(decision.retry_after),
        };
        send(to, &[encode(&message)], out);
    }
}

/// Decodes a dispatcher's decision from a message.
pub(super) fn decode_permit_status(
    status: PermitStatus,
    server: u64,
) -> Result<Admission, Declined> {
    match status {
        PermitStatus::Granted => Ok(Admission::Granted(server)),
        PermitStatus::Queued => Ok(Admission::Queued),
        PermitStatus::Refused => Ok(Admission::Refused),
        PermitStatus::ShuttingDown => Err(Declined::ShuttingDown),
        PermitStatus::UnknownQueue => Err(Declined::UnknownQueue),
    }
}

/// Decodes how a request ended from a message.
pub(super) fn decode_permit_outcome(
    ended: PermitReturnReason,
    took_ms: u16,
    load: Option<(u8, u8)>,
) -> PermitOutcome {
    match ended {
        PermitReturnReason::Answered => PermitOutcome::Answered {
            took: Duration::from_millis(u64::from(took_ms)),
            load: load.map(|(running, waiting)| InstanceLoad {
                running: usize::from(running),
                waiting: usize::from(waiting),
            }),
        },
        PermitReturnReason::NoSample => PermitOutcome::NoSample,
        PermitReturnReason::Failed => PermitOutcome::Failed,
        PermitReturnReason::BackedOff => {
            PermitOutcome::BackedOff(Duration::from_millis(u64::from(took_ms)))
        }
    }
}

fn short_load(load: InstanceLoad) -> (u8, u8) {
    let short = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
    (short(load.running), short(load.waiting))
}

fn encode_permit_request(request: &PermitRequest) -> PermitRequestEntry {
    PermitRequestEntry {
        number: request.number,
        queue: request.queue,
        is_pool: request.kind == QueueKind::Pool,
        service: request.service,
        urgency: u8::try_from(request.urgency).unwrap_or(u8::MAX),
        to_target_ms: short_millis(request.to_target),
        remaining_ms: short_millis(request.left),
        caller: request.caller,
        is_cold: request.is_cold,
        failed_instance: request.tried.unwrap_or(0),
    }
}
