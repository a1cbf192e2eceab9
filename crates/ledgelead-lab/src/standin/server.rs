//! A simulated back end that implements the server interface ([`ledgelead_types::server`]):
//! leases with fencing, admission, execution in slots, draining, cancellation, deadlines, cold
//! starts and load reports.
//!
//! Invariant: a request for a key starts only while the server's lease is unexpired on its own
//! clock and the request carries the token under which the server holds the slice. Both are
//! checked when the execution starts, so that a server that was frozen starts nothing that it
//! no longer owns.

use super::Moment;
use super::execution::*;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::request::OwnershipClaim;
use ledgelead_types::server::*;
use ledgelead_types::{FencingToken, List, ServerId, Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Settings of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSettings {
    /// Its identifier.
    pub server: ServerId,
    /// Requests that it executes concurrently.
    pub slots: u16,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Whether its service is keyed.
    pub keyed: bool,
    /// How long it is cold after its start.
    pub cold_for: Span,
    /// Factor by which service times are longer while it is cold.
    pub cold_factor: f64,
    /// Enabled protections. Some are disabled only to test the checker.
    pub protections: Protections,
}

/// Replaces the load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LoadOverride {
    /// Reports the actual load.
    #[default]
    None,
    /// Always reports this load.
    Fixed(LoadReport),
}

/// The state of one incarnation of a back end's process.
#[derive(Clone, Debug)]
pub struct ServerState {
    settings: ServerSettings,
    run: u64,
    started: Time,
    highest: FencingToken,
    lease_until: Time,
    holding: FencingToken,
    held: Vec<GrantedSlice>,
    releasing: Vec<GrantedSlice>,
    draining: bool,
    leaving: bool,
    load_override: LoadOverride,
    executing: BTreeMap<AttemptKey, Execution>,
    queued: VecDeque<QueuedRequest>,
    finished: Vec<Execution>,
    actions: Vec<ServerAction>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    request: ServerRequest,
    deadline: Time,
}

impl ServerState {
    /// Creates a newly started process without slices. `run` must differ from that of all
    /// earlier processes of this server.
    pub fn new(settings: ServerSettings, run: u64, now: Moment) -> ServerState {
        ServerState {
            settings,
            run,
            started: now.local,
            highest: FencingToken::default(),
            lease_until: Time::ZERO,
            holding: FencingToken::default(),
            held: Vec::new(),
            releasing: Vec::new(),
            draining: false,
            leaving: false,
            load_override: LoadOverride::None,
            executing: BTreeMap::new(),
            queued: VecDeque::new(),
            finished: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Its settings.
    pub fn settings(&self) -> &ServerSettings {
        &self.settings
    }

    /// Accepts or rejects a renewal of its lease.
    pub fn renew(&mut self, now: Moment, renewal: &LeaseRenewal) -> RenewalReply {
        let verdict = self.apply_renewal(now, renewal);
        self.drop_finished_releases();
        let include_held = verdict != RenewalVerdict::Taken;
        RenewalReply {
            stamp: now.local,
            run: self.run,
            verdict,
            holding: self.holding,
            releasing: List(self.releasing.clone()),
            held: List(if include_held {
                self.held.clone()
            } else {
                Vec::new()
            }),
            load: self.load(now),
            leaving: self.leaving,
        }
    }

    fn apply_renewal(&mut self, now: Moment, renewal: &LeaseRenewal) -> RenewalVerdict {
        if renewal.authority < self.highest && self.checks_tokens() {
            return RenewalVerdict::Fenced {
                highest: self.highest,
            };
        }
        self.highest = self.highest.max(renewal.authority);
        let Some(stamp) = renewal
            .echoed_stamp
            .filter(|stamp| self.is_own(*stamp, now))
        else {
            return RenewalVerdict::StampOnly;
        };
        match &renewal.slices {
            Some(slices) => self.set_held(&slices.0, renewal.unchanged_since),
            None if renewal.unchanged_since != self.holding => return RenewalVerdict::SetUnknown,
            None => {}
        }
        self.draining = renewal.draining;
        self.lease_until = self.lease_until.max(stamp + renewal.lease);
        RenewalVerdict::Taken
    }

    /// Accepting a stamp of a previous process would keep a grant valid across a restart,
    /// although the restart lost it.
    fn is_own(&self, stamp: Time, now: Moment) -> bool {
        self.started <= stamp && stamp <= now.local
    }

    fn set_held(&mut self, slices: &[GrantedSlice], unchanged_since: FencingToken) {
        let released = self.held.iter().filter(|old| !slices.contains(old));
        self.releasing.extend(released.copied());
        self.held = slices.to_vec();
        self.releasing.retain(|slice| !slices.contains(slice));
        self.holding = unchanged_since;
    }

    /// A slice is released when no execution under its token is left.
    fn drop_finished_releases(&mut self) {
        let executing = &self.executing;
        self.releasing.retain(|slice| {
            executing
                .values()
                .filter_map(|execution| execution.ownership)
                .any(|claim| claim.token == slice.token && slice.range.contains(claim.position))
        });
    }

    /// Starts, queues or refuses a request.
    pub fn request(&mut self, now: Moment, request: ServerRequest) {
        self.refuse_expired(now);
        if let Some(refusal) = self.refusal(now, request.ownership) {
            return self.refuse(request.key, refusal);
        }
        if request.deadline == Span::ZERO {
            return self.refuse(request.key, ServerRefusal::DeadlinePassed);
        }
        if self.has_free_slot() {
            return self.start(now, request);
        }
        if self.queued.len() >= self.settings.queue {
            return self.refuse(request.key, ServerRefusal::Busy);
        }
        let deadline = now.local + request.deadline;
        self.queued.push_back(QueuedRequest { request, deadline });
    }

    /// Completes an execution; unknown attempts are ignored.
    pub fn finish(&mut self, now: Moment, key: AttemptKey) {
        let Some(body) = self.end_execution(now, key) else {
            return;
        };
        self.end(key, ServerAnswer::Done { body });
        self.start_queued(now);
    }

    /// Cancels an attempt: a queued one is not run, a running one is aborted.
    pub fn cancel(&mut self, now: Moment, key: AttemptKey) {
        let queued_before = self.queued.len();
        self.queued.retain(|queued| queued.request.key != key);
        if self.queued.len() < queued_before {
            self.refuse(key, ServerRefusal::Cancelled);
        }
        if self.end_execution(now, key).is_some() {
            self.end(key, ServerAnswer::Aborted);
            self.start_queued(now);
        }
    }

    /// Sets whether its renewal replies announce that it wants to leave.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets the load that it reports from now on.
    pub fn set_load_override(&mut self, load_override: LoadOverride) {
        self.load_override = load_override;
    }

    /// The load that it reports, which may be overridden.
    pub fn load(&self, now: Moment) -> LoadReport {
        if let LoadOverride::Fixed(report) = self.load_override {
            return report;
        }
        LoadReport {
            executing: self.executing.len() as u16,
            waiting: self.queued.len() as u16,
            utilization: self.executing.len() as f64 / f64::from(self.settings.slots.max(1)),
            cold: self.is_cold(now),
        }
    }

    /// Slices for which it would currently start a request.
    pub fn claimable(&self, now: Moment) -> &[GrantedSlice] {
        if now.local < self.lease_until {
            &self.held
        } else {
            &[]
        }
    }

    /// Slices that it holds, even if its lease has expired.
    pub fn held(&self) -> &[GrantedSlice] {
        &self.held
    }

    /// End of its lease on its own clock.
    pub fn lease_until(&self) -> Time {
        self.lease_until
    }

    /// Whether it was told to accept no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether no request is running or queued.
    pub fn is_idle(&self) -> bool {
        self.executing.is_empty() && self.queued.is_empty()
    }

    /// Takes the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<ServerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the executions that ended since the last call.
    pub fn take_executions(&mut self) -> Vec<Execution> {
        std::mem::take(&mut self.finished)
    }

    /// Executions that have not ended, for example because the process died.
    pub fn unfinished(&self) -> impl Iterator<Item = &Execution> {
        self.executing.values()
    }

    /// Why a request may not start now.
    fn refusal(&self, now: Moment, claim: Option<OwnershipClaim>) -> Option<ServerRefusal> {
        if !self.settings.keyed {
            let refuses = self.draining && self.has(Protection::DrainStopsWork);
            return refuses.then_some(ServerRefusal::Draining);
        }
        if !self.checks_tokens() {
            return None;
        }
        let owns = claim.is_some_and(|claim| {
            self.held
                .iter()
                .any(|slice| slice.token == claim.token && slice.range.contains(claim.position))
        });
        if !owns {
            return Some(ServerRefusal::NotOwner);
        }
        (now.local >= self.lease_until).then_some(ServerRefusal::LeaseExpired)
    }

    fn has(&self, protection: Protection) -> bool {
        self.settings.protections.has(protection)
    }

    fn checks_tokens(&self) -> bool {
        self.has(Protection::TokenCheck)
    }

    fn has_free_slot(&self) -> bool {
        self.executing.len() < usize::from(self.settings.slots)
    }

    fn is_cold(&self, now: Moment) -> bool {
        now.local < self.started + self.settings.cold_for
    }

    fn start(&mut self, now: Moment, request: ServerRequest) {
        let factor = if self.is_cold(now) {
            self.settings.cold_factor
        } else {
            1.0
        };
        let execution = Execution {
            key: request.key,
            body: request.body,
            server: self.settings.server,
            run: self.run,
            ownership: request.ownership,
            started: now.run,
            ended: None,
        };
        self.executing.insert(request.key, execution);
        self.actions.push(ServerAction::Started {
            key: request.key,
            duration: request.service_time.times(factor),
        });
    }

    fn start_queued(&mut self, now: Moment) {
        self.refuse_expired(now);
        while self.has_free_slot() {
            let Some(next) = self.queued.pop_front() else {
                return;
            };
            match self.refusal(now, next.request.ownership) {
                Some(refusal) => self.refuse(next.request.key, refusal),
                None => self.start(now, next.request),
            }
        }
    }

    fn refuse_expired(&mut self, now: Moment) {
        let (expired, queued) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition::<VecDeque<_>, _>(|queued| queued.deadline <= now.local);
        self.queued = queued;
        for queued in expired {
            self.refuse(queued.request.key, ServerRefusal::DeadlinePassed);
        }
    }

    fn end_execution(&mut self, now: Moment, key: AttemptKey) -> Option<u64> {
        let mut execution = self.executing.remove(&key)?;
        execution.ended = Some(now.run);
        self.finished.push(execution);
        Some(execution.body)
    }

    fn refuse(&mut self, key: AttemptKey, refusal: ServerRefusal) {
        self.end(key, ServerAnswer::Refused(refusal));
    }

    fn end(&mut self, key: AttemptKey, answer: ServerAnswer) {
        self.actions.push(ServerAction::Ended { key, answer });
    }
}
