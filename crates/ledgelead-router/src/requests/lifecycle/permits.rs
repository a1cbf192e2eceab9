//! Requests that need a permit from a dispatcher.

use super::attempts::reported_load;
use super::decide::Step;
use super::{RequestContext, Requests};
use crate::Timestamp;
use crate::directory::Instance;
use crate::dispatch::{Admission, Candidates, InstanceLoad, PermitOutcome};
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::io::{Action, ClientId, ExchangeFailure};
use crate::mechanisms::Mechanism;
use crate::requests::answers::Refusal;
use crate::requests::notice::Notice;
use crate::requests::open_request::{Attempt, OpenRequest};
use crate::requests::outcome::is_server_failure;
use crate::requests::permits::{
    PermitHandle, PermitMessage, PermitNeed, PermitRequest, PermitState, caller_hash,
};
use crate::requests::split::LARGE_BODY_BYTES;
use ledgelead_http::Response;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time for which a queued request waits for its dispatcher's decision after its
/// target latency has passed. Such requests wait for an idle slot for a few times the service
/// time.
const MIN_QUEUED_TIME: Duration = Duration::from_millis(300);

/// Why a dispatcher declines to decide on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declined {
    /// It is shutting down, so another node takes over its queues.
    ShuttingDown,
    /// It doesn't know the owner or the service yet, or has too many queues.
    UnknownQueue,
}

/// A dispatcher's decision on a permit request.
#[derive(Clone, Copy, Debug)]
pub struct PermitDecision {
    /// The number of the permit request.
    pub number: u64,
    /// Identifies the queue.
    pub queue: u64,
    /// The admission, or why the dispatcher declines to decide.
    pub admission: Result<Admission, Declined>,
    /// When the caller may retry, if the request is refused.
    pub retry_after: Duration,
}

impl Requests {
    /// Returns the messages for dispatchers since the last call.
    pub fn take_permit_messages(&mut self) -> Vec<(SocketAddr, PermitMessage)> {
        self.permits.take_outbox()
    }

    /// Handles the decision of a dispatcher.
    pub fn permit_decided(
        &mut self,
        from: SocketAddr,
        decision: &PermitDecision,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let PermitDecision { number, queue, .. } = *decision;
        let client = self.permits.client(number);
        let open = client.and_then(|client| self.open.get_mut(&client));
        let (Some(client), Some(open)) = (client, open) else {
            if let Ok(Admission::Granted(_)) = decision.admission {
                let outcome = PermitOutcome::NoSample;
                self.permits.release_number(from, number, queue, outcome);
            }
            return;
        };
        let target = open.target();
        let is_awaited =
            |permit: &&mut PermitHandle| permit.dispatcher == from && permit.request.queue == queue;
        let Some(permit) = open.permit.as_mut().filter(is_awaited) else {
            return;
        };
        if decision.admission != Err(Declined::ShuttingDown) {
            self.permits.record_reply(from);
        }
        if permit.state == PermitState::Requested {
            self.permits.record_reply_time(permit, context.now);
        }
        match decision.admission {
            Ok(Admission::Granted(server)) => permit.state = PermitState::Granted(server),
            // A decision that arrives after the grant was sent before it.
            _ if permit.is_granted() => return,
            Ok(Admission::Queued) => {
                permit.state = PermitState::Queued;
                // The dispatcher decides earlier; this only keeps a request from waiting for a
                // lost one.
                permit.check_at = target.max(context.now + MIN_QUEUED_TIME);
            }
            Ok(Admission::Refused) => {
                open.permit = None;
                self.permits.drop_number(number);
                if !self.overflows_to_other_zone(client, context) {
                    self.refuse_queued(client, decision.retry_after, context, out);
                    return;
                }
            }
            Err(declined) => {
                open.permit = None;
                self.permits.drop_number(number);
                match declined {
                    Declined::ShuttingDown => self.permits.mark_lost(from, context.now),
                    Declined::UnknownQueue => open.without_permit = true,
                }
            }
        }
        self.advance(client, context, out);
    }

    fn refuse_queued(
        &mut self,
        client: ClientId,
        retry_after: Duration,
        context: &RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        if let Some(open) = self.open.get_mut(&client) {
            open.retry_after = Some(retry_after);
            self.refuse(client, Refusal::QueueTooLong, context, out);
        }
    }

    /// Whether a request that its zone's queue refused is sent to another zone's queue.
    fn overflows_to_other_zone(&mut self, client: ClientId, context: &RequestContext<'_>) -> bool {
        let Some(open) = self.open.get(&client) else {
            return false;
        };
        let may_overflow = open.key.is_none() && !open.overflowed;
        let overflows_to_other_zone =
            may_overflow && self.freest_other_zone(&open.service, context).is_some();
        if let Some(open) = self
            .open
            .get_mut(&client)
            .filter(|_| overflows_to_other_zone)
        {
            open.overflowed = true;
        }
        overflows_to_other_zone
    }

    /// Next step of a request without a key where the instances of a zone share one queue.
    /// `None` if the request is sent without a permit, by what this node knows. That holds for
    /// large bodies, whose transfer would hold a slot for longer than the service time.
    pub(super) fn pool_step(
        &mut self,
        client: ClientId,
        context: &RequestContext<'_>,
    ) -> Option<Step> {
        let open = self.open.get(&client)?;
        let is_large = open.request.body.len() >= LARGE_BODY_BYTES;
        if is_large || !self.needs_permit(open, context) {
            return None;
        }
        if let Some(step) = self.granted_step(open, context) {
            return Some(step);
        }
        let waits = open
            .permit
            .as_ref()
            .filter(|permit| permit.check_at > context.now);
        if let Some(permit) = waits.filter(|permit| !permit.is_granted()) {
            return Some(Step::AwaitPermit(permit.check_at));
        }
        let zone = match open.overflowed {
            true => self.freest_other_zone(&open.service, context)?,
            false => self.nearest_zone(&open.service, context)?,
        };
        let need = PermitNeed::of_pool(&open.service, &zone);
        Some(Step::RequestPermit(need))
    }

    /// Sends a request to the instance that its permit is for, if that instance still serves.
    fn granted_step(&self, open: &OpenRequest, context: &RequestContext<'_>) -> Option<Step> {
        let permit = open.permit.as_ref().filter(|permit| permit.is_granted())?;
        let mut instances = context.directory.of_service(&open.service);
        let covered = |instance: &&Instance| permit.covers(&instance.record.id);
        let granted = instances.find(covered).filter(|known| known.serves())?;
        // The dispatcher knows what instances report to all nodes; this node also knows of
        // pauses and limits that apply to itself.
        let id = &granted.record.id;
        if self.statistics.unavailable_for(id, context.now).is_some() {
            return None;
        }
        let selected = self
            .selection(context)
            .estimate_instance(granted, open.time_left(context.now));
        Some(Step::Send(selected, granted.record.address))
    }

    /// This node's zone if it has instances of the service, and otherwise the zone with the
    /// most free slots.
    fn nearest_zone(
        &self,
        service: &ServiceName,
        context: &RequestContext<'_>,
    ) -> Option<ZoneName> {
        let mut instances = context.directory.of_service(service);
        let in_zone = |instance: &Instance| instance.serves() && instance.record.zone == self.zone;
        match instances.any(in_zone) {
            true => Some(self.zone.clone()),
            false => self.freest_other_zone(service, context),
        }
    }

    /// The zone other than this node's whose instances have the most free slots, as far as
    /// this node knows.
    fn freest_other_zone(
        &self,
        service: &ServiceName,
        context: &RequestContext<'_>,
    ) -> Option<ZoneName> {
        let mut free: BTreeMap<&ZoneName, u32> = BTreeMap::new();
        let instances = context.directory.of_service(service);
        for instance in instances.filter(|instance| instance.serves()) {
            let record = &instance.record;
            let hash = record.id.stable_hash();
            let open = context.shared.open_at(hash, context.now);
            *free.entry(&record.zone).or_default() += record.slots.saturating_sub(open);
        }
        free.remove(&self.zone);
        let freest = free.into_iter().max_by_key(|(_, slots)| *slots)?;
        Some(freest.0.clone())
    }

    /// Next step of a keyed request before it may be sent; `None` if it needs no permit or has
    /// one.
    pub(super) fn permit_step(
        &self,
        open: &OpenRequest,
        need: PermitNeed,
        context: &RequestContext<'_>,
    ) -> Option<Step> {
        if !self.needs_permit(open, context) {
            return None;
        }
        match &open.permit {
            Some(permit) if permit.request.queue == need.queue => match permit.state {
                PermitState::Granted(_) => None,
                _ if permit.check_at > context.now => Some(Step::AwaitPermit(permit.check_at)),
                _ => Some(Step::RequestPermit(need)),
            },
            _ => Some(Step::RequestPermit(need)),
        }
    }

    fn needs_permit(&self, open: &OpenRequest, context: &RequestContext<'_>) -> bool {
        let may_ask = open.permit.is_some() || self.permits.are_replies_fast(context.now);
        may_ask && !open.without_permit
            && self.mechanisms.has(Mechanism::OwnerQueues)
            && context.routes.is_contended(&open.service)
            && context.shared.follows_digest(context.now)
            // A second attempt past the target latency has no place in the queue's order.
            && open.target() > context.now
    }

    /// Requests a permit, from the second candidate if the first doesn't respond. If neither
    /// does, the request proceeds without a permit.
    pub(super) fn request_permit(
        &mut self,
        client: ClientId,
        need: &PermitNeed,
        context: &mut RequestContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let now = context.now;
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        if let Some(mut earlier) = open.permit.take() {
            let is_same = earlier.request.queue == need.queue && !earlier.is_granted();
            if is_same && earlier.state == PermitState::Requested {
                if self.permits.resend(&mut earlier, now) {
                    let until = earlier.check_at;
                    open.permit = Some(earlier);
                    self.await_permit(client, until, now);
                    return;
                }
                self.permits.record_reply_time(&earlier, now);
                open.without_permit = earlier.give_up_at <= now;
            }
            // A request that was queued for its whole time is past its target, and one whose
            // granted instance has left would be granted the same instance again.
            open.without_permit |= is_same && earlier.state == PermitState::Queued;
            open.without_permit |= earlier.request.queue == need.queue && earlier.is_granted();
            self.permits.release(&earlier, PermitOutcome::NoSample);
        }
        let candidates = Candidates::of_queue(need.queue, &need.zone, context.registry);
        let dispatcher = candidates.and_then(|candidates| {
            let candidates = [Some(candidates.first), candidates.second];
            let is_responsive = |candidate: &SocketAddr| self.permits.may_ask(*candidate, now);
            candidates.into_iter().flatten().find(is_responsive)
        });
        let Some(dispatcher) = dispatcher.filter(|_| !open.without_permit) else {
            open.without_permit = true;
            self.permits.count_missed();
            self.advance(client, context, out);
            return;
        };
        let request = PermitRequest {
            number: 0,
            queue: need.queue,
            kind: need.kind,
            service: open.service.stable_hash(),
            urgency: self.mechanisms.rank(open),
            to_target: open.target().saturating_sub(now),
            left: open.due.saturating_sub(now),
            caller: caller_hash(open.caller.0, open.key, &open.request),
            is_cold: open
                .key
                .is_some_and(|key| context.cold_keys.contains(&open.service, key, now)),
            tried: open.tried.last().map(InstanceId::stable_hash),
        };
        let permit = self.permits.request(client, dispatcher, request, now);
        let until = permit.check_at;
        open.permit = Some(permit);
        self.await_permit(client, until, now);
    }

    /// Waits for a dispatcher's decision. The request is reevaluated meanwhile if owners
    /// change.
    pub(super) fn await_permit(&mut self, client: ClientId, until: Timestamp, now: Timestamp) {
        let Some(open) = self.open.get_mut(&client) else {
            return;
        };
        let since = *open.waiting_since.get_or_insert(now);
        open.awaits_permit = true;
        let wake = until.min(open.due);
        self.waiting
            .insert((self.mechanisms.rank(open), since, client));
        self.wake_at(client, wake);
    }

    /// Returns the permit of a request that ends or is sent, or withdraws its permit request.
    pub(super) fn drop_permit(&mut self, permit: Option<PermitHandle>, outcome: PermitOutcome) {
        if let Some(permit) = permit {
            self.permits.release(&permit, outcome);
        }
    }
}

/// How the end of an attempt counts for the permit under which it was sent.
pub(super) fn permit_outcome(
    attempt: &Attempt,
    result: &Result<Response, ExchangeFailure>,
    context: &RequestContext<'_>,
) -> PermitOutcome {
    match result {
        Ok(response) => {
            let not_executed = response.headers.get(&context.headers.not_executed);
            match not_executed.is_some() || response.status == 421 {
                true => {
                    let notice = Notice::of(&attempt.instance, response, context.headers);
                    let backoff = notice.backoff;
                    backoff.map_or(PermitOutcome::NoSample, PermitOutcome::BackedOff)
                }
                // A failure is answered faster than a request is served, and would make the
                // instance seem the fastest.
                false if is_server_failure(response) => PermitOutcome::Failed,
                false => PermitOutcome::Answered {
                    took: context.now.saturating_sub(attempt.sent),
                    load: reported_load(response, context).map(|load| InstanceLoad {
                        running: load.running as usize,
                        waiting: load.waiting as usize,
                    }),
                },
            }
        }
        Err(failure) if failure.lacks_whole_request() => PermitOutcome::NoSample,
        Err(_) if context.reachability.is_isolated() => PermitOutcome::NoSample,
        Err(_) => PermitOutcome::Failed,
    }
}
