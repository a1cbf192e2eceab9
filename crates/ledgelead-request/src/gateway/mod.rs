//! The gateway: responsible for every request that this node accepted.
//!
//! Each phase is a module: [`accept`] (with classification and limits), [`locate`],
//! [`permit`], [`forward`], [`finish`]. Each request ends in exactly one
//! [`GatewayOutput::Respond`].

pub mod evidence;

mod accept;
mod answer_cache;
mod directory;
mod finish;
mod forward;
mod hedge;
mod idempotency;
mod interface;
mod limits;
mod locate;
mod permit;
mod request;
mod retry;
mod service_state;

pub use interface::{GatewayInput, GatewayOutput, GatewaySettings};

use crate::estimate::MeanSpan;
use crate::message::DispatchRequest;
use crate::timers::Timers;
use answer_cache::AnswerCache;
use directory::Directory;
use evidence::FailureCount;
use idempotency::PendingRecordEnd;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::request::AttemptId;
use ledgelead_types::{Member, NodeId, RequestId, ServerId, ServiceId, Time};
use limits::CallerLimits;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use request::{ActiveRequest, SentAttempt};
use service_state::ServiceState;
use std::collections::{BTreeMap, BTreeSet};

/// What a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    Request(RequestId),
    Detached(AttemptId),
    RecordEnd(RequestId),
}

/// State machine for the requests accepted by this node.
pub struct Gateway {
    member: Member,
    protections: Protections,
    random: Pcg64Mcg,
    directory: Directory,
    limits: CallerLimits,
    services: BTreeMap<ServiceId, ServiceState>,
    requests: BTreeMap<RequestId, ActiveRequest>,
    /// Requests that search for a permit, by service; new routes may affect them.
    searching: BTreeMap<ServiceId, BTreeSet<RequestId>>,
    /// Attempts that outlive their request: when they end, only the permit is released.
    detached: BTreeMap<AttemptId, SentAttempt>,
    pending_record_ends: BTreeMap<RequestId, PendingRecordEnd>,
    answer_cache: AnswerCache,
    /// Round-trip time to each dispatcher.
    round_trips: BTreeMap<NodeId, MeanSpan>,
    failure_counts: BTreeMap<ServerId, FailureCount>,
    timers: Timers<TimerKey>,
    stopping: bool,
    drained: bool,
    outputs: Vec<GatewayOutput>,
}

impl Gateway {
    /// A gateway without configuration and routes.
    pub fn new(settings: GatewaySettings, _now: Time) -> Gateway {
        Gateway {
            member: settings.member,
            protections: settings.protections,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            directory: Directory::default(),
            limits: CallerLimits::default(),
            services: BTreeMap::new(),
            requests: BTreeMap::new(),
            searching: BTreeMap::new(),
            detached: BTreeMap::new(),
            pending_record_ends: BTreeMap::new(),
            answer_cache: AnswerCache::default(),
            round_trips: BTreeMap::new(),
            failure_counts: BTreeMap::new(),
            timers: Timers::new(),
            stopping: false,
            drained: false,
            outputs: Vec::new(),
        }
    }

    /// Handles an input at `now`.
    pub fn step(&mut self, now: Time, input: GatewayInput) {
        match input {
            GatewayInput::Arrived(arrival) => self.accept(now, arrival),
            GatewayInput::AttemptEnded {
                attempt, result, ..
            } => self.attempt_ended(now, attempt, result),
            GatewayInput::CallerLeft(request) => self.caller_left(now, request),
            GatewayInput::Dispatch { from, message } => self.dispatch_replied(now, from, message),
            GatewayInput::Configuration(configuration) => {
                self.directory.configure(configuration);
            }
            GatewayInput::Routes(routes) => self.routes_changed(now, routes),
            GatewayInput::Stop => self.stop(),
        }
        self.report_drained();
    }

    /// Handles the timers that are due at `now`.
    pub fn tick(&mut self, now: Time) {
        while let Some(key) = self.timers.pop_due(now) {
            match key {
                TimerKey::Request(request) => self.request_due(now, request),
                TimerKey::Detached(attempt) => self.forget_detached(now, attempt),
                TimerKey::RecordEnd(request) => self.resend_record_end(now, request),
            }
        }
        self.report_drained();
    }

    /// When [`Gateway::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        self.timers.next()
    }

    /// Takes the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<GatewayOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Number of accepted requests without an outcome.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    fn stop(&mut self) {
        self.stopping = true;
    }

    /// Reports the completion of a stop once every request is finished and every idempotency
    /// record is ended.
    fn report_drained(&mut self) {
        let waits = self.protections.has(Protection::StopWaitsForInFlight);
        let empty = self.requests.is_empty() && self.pending_record_ends.is_empty();
        if !self.stopping || self.drained || (waits && !empty) {
            return;
        }
        self.drained = true;
        self.outputs.push(GatewayOutput::Drained);
    }

    fn send(&mut self, to: NodeId, message: DispatchRequest) {
        self.outputs.push(GatewayOutput::Dispatch { to, message });
    }

    fn service_state(&mut self, service: ServiceId) -> &mut ServiceState {
        self.services.entry(service).or_default()
    }

    /// Updates the timer and the index of searching requests after a change of the request.
    fn reschedule(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.timers.set(TimerKey::Request(id), request.due());
        let searching = self.searching.entry(request.service).or_default();
        if request.search.is_some() {
            searching.insert(id);
        } else {
            searching.remove(&id);
        }
    }

    /// Handles the timer of a request, deadlines first.
    fn request_due(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if now >= request.deadline {
            self.deadline_passed(now, id);
        } else if request.search.is_some() && now >= request.hold_ends() {
            self.hold_ended(now, id);
        } else {
            self.continue_search(now, id);
            self.hedge_if_due(now, id);
        }
        self.reschedule(id);
    }
}
