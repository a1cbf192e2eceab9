//! The node's calls to the store.

use super::Node;
use super::registration::RegistrationState;
use super::store_timing::{CONFIRM_INTERVAL, ColdStart, large_list_pause, pace, resume_pauses};
use crate::Timestamp;
use crate::dialect::{Object, ObjectKind, StoreCall};
use crate::io::{Action, ExchangeFailure, ExchangeId, ExchangeOptions};
use crate::ownership::record::OwnershipRecord;
use crate::protections::Protection;
use crate::quarantine::QuarantineRecord;
use crate::requests::RequestDigest;
use crate::settings::NodeSettings;
use crate::store::{
    ConnectionChoice, StoreConnections, StoreHealth, Watcher, with_store_revisions,
};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Timeout of a call that doesn't wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a watch beyond the wait that it requests.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Name of the single ownership record.
pub const OWNERSHIP_NAME: &str = "record";
/// Minimum age of a pending probe of the store before it is replaced by a new one.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Minimum interval between reads of the record caused by rejected keys.
const REJECTION_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a starting node lists the evacuations. A coordinator sends them with its
/// heartbeats every 200 ms, so that the list is not needed if one is heard by then.
const FIRST_EVACUATIONS_PAUSE: Duration = Duration::from_millis(400);
/// Delay before a starting node lists the quarantined requests. The list is not needed if a
/// coordinator is heard by then, even one that is elected only after the start. Together with a
/// list the delay stays below the 3 s within which a node must know the quarantined requests.
const FIRST_QUARANTINE_PAUSE: Duration = Duration::from_millis(2_500);
/// Minimum interval between probes of a failing store caused by gaps. Together with a list and
/// the pause before the other watches (0.25 s) it stays below the configuration bound of 2 s.
const GAP_PROBE_PAUSE: Duration = Duration::from_millis(1_000);

/// The purpose of a call.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Watch or list objects of a kind.
    Watch(ObjectKind),
    /// Take over the coordinator role.
    Takeover(OwnershipRecord),
    /// Write the coordinator's next version of the record.
    Update,
    /// Give up the coordinator role.
    Resign,
    /// Register this node.
    Register,
    /// As coordinator, save the evidence about a request that crashes instances.
    StoreEvidence(Box<(RequestDigest, QuarantineRecord)>),
}

impl Purpose {
    /// Name of the call in metrics.
    fn label(&self, call: &StoreCall) -> &'static str {
        match (self, call) {
            (Purpose::Watch(kind), StoreCall::List { stale: true, .. }) => match kind {
                ObjectKind::Configuration => "list_configuration_stale",
                ObjectKind::Instances => "list_instances_stale",
                ObjectKind::Ownership => "list_ownership_stale",
                ObjectKind::Nodes => "list_nodes_stale",
                ObjectKind::Evacuations => "list_evacuations_stale",
                ObjectKind::Quarantine => "list_quarantine_stale",
            },
            (Purpose::Watch(kind), StoreCall::List { .. }) => match kind {
                ObjectKind::Configuration => "list_configuration",
                ObjectKind::Instances => "list_instances",
                ObjectKind::Ownership => "list_ownership",
                ObjectKind::Nodes => "list_nodes",
                ObjectKind::Evacuations => "list_evacuations",
                ObjectKind::Quarantine => "list_quarantine",
            },
            (Purpose::Watch(kind), _) => match kind {
                ObjectKind::Configuration => "watch_configuration",
                ObjectKind::Instances => "watch_instances",
                ObjectKind::Ownership => "watch_ownership",
                ObjectKind::Nodes => "watch_nodes",
                ObjectKind::Evacuations => "watch_evacuations",
                ObjectKind::Quarantine => "watch_quarantine",
            },
            (Purpose::Takeover(_), _) => "take_over",
            (Purpose::Update, _) => "update_ownership",
            (Purpose::Resign, _) => "resign",
            (Purpose::Register, _) => "register",
            (Purpose::StoreEvidence(_), _) => "keep_evidence",
        }
    }
}

#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) purpose: Purpose,
    pub(super) call: StoreCall,
    pub(super) started: Timestamp,
    pub(super) connection: ConnectionChoice,
    /// The store era known when the call was made.
    pub(super) era: u64,
}

/// State of the store calls.
pub(super) struct StoreCalls {
    pub(super) health: StoreHealth,
    pub(super) connections: StoreConnections,
    /// Within which changes have to reach all nodes.
    pub(super) propagation_bound: Duration,
    /// Indexed by `ObjectKind`.
    watchers: [Watcher; ObjectKind::ALL.len()],
    pub(super) pending: HashMap<ExchangeId, PendingCall>,
    pub(super) registration: RegistrationState,
    /// Delays of the first calls if no configuration is found.
    cold_start: ColdStart,
    /// Delay after the first page of a long list of instances.
    list_pause: Duration,
    /// Whether evacuations of zones are enabled.
    reads_evacuations: bool,
    /// Whether the first list of the configuration was empty.
    is_cold_start: bool,
    /// Earliest time at which an owner's rejection may trigger another read of the record.
    next_rejection_read: Timestamp,
    /// Earliest time at which a gap may trigger another probe.
    next_gap_probe: Timestamp,
    pub(super) coordinating: bool,
    calls: u64,
    /// Number of calls by metrics label.
    calls_by: BTreeMap<&'static str, u64>,
    pub(super) failures: u64,
    /// The highest era that the store has named.
    pub(super) era: u64,
}

impl StoreCalls {
    pub(super) fn new(settings: &NodeSettings, now: Timestamp) -> StoreCalls {
        let propagation_bound = settings.propagation_bound();
        let watcher = |kind| Watcher::new(kind, pace(kind, false, propagation_bound));
        let mut watchers = ObjectKind::ALL.map(watcher);
        watchers[ObjectKind::Evacuations as usize].defer(now + FIRST_EVACUATIONS_PAUSE);
        watchers[ObjectKind::Quarantine as usize].defer(now + FIRST_QUARANTINE_PAUSE);
        StoreCalls {
            health: StoreHealth::default(),
            connections: StoreConnections::default(),
            propagation_bound,
            watchers,
            pending: HashMap::new(),
            registration: RegistrationState::new(now),
            cold_start: ColdStart::new(settings.millicores, settings.seed),
            list_pause: large_list_pause(settings.seed),
            reads_evacuations: settings.evacuation_bound.is_some(),
            is_cold_start: false,
            next_rejection_read: now,
            next_gap_probe: now,
            coordinating: false,
            calls: 0,
            calls_by: BTreeMap::new(),
            failures: 0,
            era: 0,
        }
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.pending.contains_key(&exchange)
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls
    }

    /// Number of calls by metrics label.
    pub(super) fn calls_by(&self) -> &BTreeMap<&'static str, u64> {
        &self.calls_by
    }

    pub(super) fn failures(&self) -> u64 {
        self.failures
    }

    /// Whether this incarnation of the node is registered.
    pub(super) fn is_registered(&self) -> bool {
        self.registration.is_done()
    }

    /// Whether no configuration was found when this node started.
    pub(super) fn is_cold_start(&self) -> bool {
        self.is_cold_start
    }

    /// Whether all objects of a kind have been listed at least once.
    pub(super) fn has_listed(&self, kind: ObjectKind) -> bool {
        self.watchers[kind as usize].has_listed()
    }

    /// Whether the list of instances or of nodes exceeds one page.
    pub(super) fn has_paged_list(&self) -> bool {
        let kinds = [ObjectKind::Instances, ObjectKind::Nodes];
        kinds
            .iter()
            .any(|kind| self.watchers[*kind as usize].is_paged())
    }

    /// The objects of a kind read so far, while further pages of the first list are missing.
    pub(super) fn first_pages(&self, kind: ObjectKind) -> Option<&[Object]> {
        self.watchers[kind as usize].first_pages()
    }

    /// How long a node that has read a page of nodes leaves the first election to nodes with a
    /// larger CPU share. In a deployment that starts the pause precedes the list.
    pub(super) fn election_pause(&self) -> Duration {
        match self.is_cold_start {
            true => Duration::ZERO,
            false => self.cold_start.election,
        }
    }

    /// Whether the store's last answer about a kind reported the latest state.
    pub(super) fn is_exact(&self, kind: ObjectKind) -> bool {
        self.watchers[kind as usize].as_of().is_some()
    }

    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        (0..self.watchers.len())
            .filter(|index| !self.is_suspended(*index))
            .filter_map(|index| self.watchers[index].next_call())
            .min()
    }

    /// Whether a watch makes no calls for now. While calls fail, only the watch on instances
    /// continues, and notices the recovery.
    fn is_suspended(&self, index: usize) -> bool {
        let kind = self.watchers[index].kind();
        // Heartbeats of the coordinator carry the complete evacuations.
        let is_announced = !self.reads_evacuations || self.watchers[index].is_paused();
        if kind == ObjectKind::Evacuations && is_announced {
            return true;
        }
        if kind == ObjectKind::Quarantine && self.watchers[index].is_paused() {
            return true;
        }
        if self.health.has_failed() {
            let is_missing =
                is_read_despite_failures(kind) && self.watchers[index].is_catch_up_requested();
            return kind != ObjectKind::Instances && !is_missing;
        }
        // The configuration shows whether the whole deployment is starting. A coordinator may
        // have sent it before it is listed; changes since a list are requested in any case.
        let waits = matches!(kind, ObjectKind::Instances | ObjectKind::Nodes);
        waits && !self.has_listed(kind) && !self.has_listed(ObjectKind::Configuration)
    }

    /// The first list of the configuration is complete. An empty one means that the whole
    /// deployment is starting.
    pub(super) fn configuration_listed(&mut self, is_empty: bool, now: Timestamp) {
        if !is_empty {
            return;
        }
        self.is_cold_start = true;
        let ColdStart { election, list } = self.cold_start;
        self.watcher(ObjectKind::Instances).defer(now + list);
        let nodes = self.watcher(ObjectKind::Nodes);
        nodes.set_first_may_be_stale(false);
        nodes.defer(now + election);
    }

    /// Defers the list of nodes if a coordinator is heard before this node has made it. The
    /// list may then be stale, since the coordinator relays the changes after it.
    fn defer_node_list(&mut self, now: Timestamp) {
        let pause = self.cold_start.list;
        let nodes = self.watcher(ObjectKind::Nodes);
        if !nodes.has_listed() {
            nodes.set_first_may_be_stale(true);
            nodes.defer(now + pause);
        }
    }

    /// Defers the further pages of a long first list, which another node may send meanwhile.
    pub(super) fn defer_further_pages(&mut self, kind: ObjectKind, now: Timestamp) {
        let pause = self.list_pause;
        self.watcher(kind).defer(now + pause);
    }

    /// Requests the deferred pages from other nodes, once a coordinator is heard.
    fn resume_large_lists(&mut self, now: Timestamp) {
        for kind in [ObjectKind::Instances, ObjectKind::Nodes] {
            let watcher = self.watcher(kind);
            if watcher.is_paged() && !watcher.has_listed() {
                watcher.call_now(now);
            }
        }
    }

    /// Sends the probe again, since another node reports that the store has recovered.
    pub(super) fn probe_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let before = now.saturating_sub(PROBE_PAUSE);
        self.interrupt(ObjectKind::Instances, before, now, out);
        let watcher = self.watcher(ObjectKind::Instances);
        watcher.request_catch_up(now);
        watcher.call_now(now);
    }

    pub(super) fn is_registering(&self) -> bool {
        self.pending
            .values()
            .any(|pending| matches!(pending.purpose, Purpose::Register))
    }

    /// Lists the nodes again.
    pub(super) fn list_nodes(&mut self, now: Timestamp) {
        self.watcher(ObjectKind::Nodes).refresh(now);
    }

    pub(super) fn watcher(&mut self, kind: ObjectKind) -> &mut Watcher {
        &mut self.watchers[kind as usize]
    }

    /// Adjusts the watches when this node assumes or gives up the coordinator role.
    pub(super) fn set_coordinating(&mut self, coordinating: bool, now: Timestamp) {
        self.coordinating = coordinating;
        for watcher in &mut self.watchers {
            watcher.set_pace(pace(watcher.kind(), coordinating, self.propagation_bound));
            watcher.set_paused(false);
            if coordinating {
                // Until the coordinator knows the current state, it can't relay anything, and
                // the other nodes start to call the store themselves.
                watcher.set_first_may_be_stale(false);
                watcher.call_now_with_short_wait(now);
            }
        }
    }

    /// Sets whether a coordinator relays changes, so that this node's own watches can be
    /// paused. The coordinator's own watches are never paused.
    pub(super) fn set_following(&mut self, following: bool, now: Timestamp, out: &mut Vec<Action>) {
        let paused = following && !self.coordinating;
        let was_paused = self.watcher(ObjectKind::Instances).is_paused();
        let resumes = !paused && was_paused;
        if paused && !was_paused {
            self.defer_node_list(now);
            self.resume_large_lists(now);
        }
        for watcher in &mut self.watchers {
            watcher.set_paused(paused);
        }
        if paused && self.health.has_failed() {
            // This watch continues as the probe of the store.
            self.watcher(ObjectKind::Instances).request_catch_up(now);
        }
        if resumes {
            self.watcher(ObjectKind::Instances).call_now(now);
            for (kind, pause) in resume_pauses(self.propagation_bound) {
                self.watcher(kind).defer(now + pause);
            }
            // A call started before the pause may wait on a dead connection.
            self.interrupt(ObjectKind::Instances, now, now, out);
        }
    }

    /// The age of this node's view of the store: the time since its last answer about
    /// instances, or since the known configuration was confirmed as the latest, whichever is
    /// longer. The latter is measured from when the store gave the answer, since a machine
    /// that was suspended reads old answers; configuration versions are rare enough for that
    /// time to be recent.
    pub(super) fn view_age(&self, now: Timestamp) -> Duration {
        let instances = self.watchers[ObjectKind::Instances as usize].last_answer();
        let since = |at: Option<Timestamp>| at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        since(instances).max(self.state_age(ObjectKind::Configuration, now))
    }

    /// Time since what this node knows of a kind was the store's state, according to the
    /// store's own answers.
    pub(super) fn state_age(&self, kind: ObjectKind, now: Timestamp) -> Duration {
        let as_of = self.watchers[kind as usize].as_of();
        as_of.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// For how long all calls have succeeded.
    pub(super) fn served_for(&self, now: Timestamp) -> Duration {
        let since = self.health.serving_since();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// The store revision up to which objects of a kind are known.
    pub(super) fn revision_of(&self, kind: ObjectKind) -> Option<u64> {
        self.watchers[kind as usize].revision()
    }

    /// Another node has sent all changes of a kind up to this revision.
    pub(super) fn advance(&mut self, kind: ObjectKind, revision: u64) {
        self.watcher(kind).advance(revision);
    }

    /// Makes one call for what a paused watch may have missed.
    pub(super) fn request_catch_up(&mut self, kind: ObjectKind, now: Timestamp) {
        self.watcher(kind).request_catch_up(now);
    }

    /// This node misses a change that only the store can supply, while its calls fail. The
    /// store is probed again, at most once per `GAP_PROBE_PAUSE`.
    pub(super) fn probe_for_gap(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.next_gap_probe <= now {
            self.next_gap_probe = now + GAP_PROBE_PAUSE;
            self.probe_again(now, out);
        }
    }

    /// Reads the ownership record again.
    pub(super) fn refresh_ownership(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.interrupt(ObjectKind::Ownership, now, now, out);
        self.watcher(ObjectKind::Ownership).refresh(now);
    }

    /// An owner has rejected its keys. A coordinator that is heard will announce the new
    /// owner, if there is one. Otherwise the record is read, at most once per
    /// `REJECTION_READ_INTERVAL`.
    pub(super) fn refresh_rejected_ownership(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let reads_itself = !self.coordinating && !self.watcher(ObjectKind::Ownership).is_paused();
        if reads_itself && self.health.serves() && self.next_rejection_read <= now {
            self.next_rejection_read = now + REJECTION_READ_INTERVAL;
            self.refresh_ownership(now, out);
        }
    }

    /// A write of the record has confirmed the coordinator role.
    pub(super) fn defer_role_confirmation(&mut self, now: Timestamp) {
        let watcher = self.watcher(ObjectKind::Ownership);
        watcher.defer(now + CONFIRM_INTERVAL);
    }

    /// Cancels and restarts the watch of a kind if it was started before `since`. Lists are
    /// not cancelled: they don't wait for changes, and a long one over a slow link would never
    /// complete.
    pub(super) fn interrupt(
        &mut self,
        kind: ObjectKind,
        since: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let found = self.pending.iter().find_map(|(exchange, pending)| {
            let same = matches!(pending.purpose, Purpose::Watch(watched) if watched == kind)
                && matches!(pending.call, StoreCall::Watch { .. });
            (same && pending.started < since).then_some(*exchange)
        });
        if let Some(exchange) = found {
            self.pending.remove(&exchange);
            out.push(Action::Cancel { exchange });
            self.watcher(kind).record_cancellation(now);
        }
    }
}

impl Node {
    /// Makes the calls that are due.
    pub(super) fn call_store(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.restart_watches_of_former_era(now);
        self.register_if_due(now, out);
        self.defer_node_page(now, out);
        for index in 0..self.store.watchers.len() {
            if self.store.is_suspended(index) {
                continue;
            }
            if let Some(call) = self.store.watchers[index].take_call(now) {
                let kind = self.store.watchers[index].kind();
                self.start_watch_call(kind, call, now, out);
            }
        }
    }

    pub(super) fn start_call(
        &mut self,
        purpose: Purpose,
        call: StoreCall,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        self.start_call_on(ConnectionChoice::Any, purpose, call, now, out);
    }

    /// Makes a call that brought no answer on a kept connection again on a new one. Returns
    /// whether it did.
    pub(super) fn repeat_on_new_connection(
        &mut self,
        pending: &PendingCall,
        failure: ExchangeFailure,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> bool {
        let Purpose::Watch(kind) = pending.purpose else {
            return false;
        };
        let may_be_connection = pending.connection == ConnectionChoice::Any
            && failure.may_be_kept_connection()
            && !self.store.health.has_failed();
        if !may_be_connection {
            return false;
        }
        self.store.connections.record_unresponsive(now);
        let call = self.store.watcher(kind).repeat_call(&pending.call, now);
        let purpose = Purpose::Watch(kind);
        self.start_call_on(ConnectionChoice::New, purpose, call, now, out);
        true
    }

    fn start_call_on(
        &mut self,
        connection: ConnectionChoice,
        purpose: Purpose,
        call: StoreCall,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let exchange = self.exchanges.next_id();
        let wait = longest_wait(&call);
        let timeout = match wait {
            Some(wait) => wait + WATCH_SLACK,
            None => CALL_TIMEOUT,
        };
        let bound = self.store.propagation_bound;
        let answer_limit = self.store.connections.answer_limit(bound);
        let is_read = matches!(purpose, Purpose::Watch(_));
        let replaces = is_read
            && self
                .settings
                .protections
                .has(Protection::ReplaceUnresponsive);
        out.push(Action::Exchange {
            exchange,
            address: self.settings.store_address,
            request: self.dialect.store_request(&with_store_revisions(&call)),
            options: Box::new(ExchangeOptions {
                reuse_idle_below: self.store.connections.reuse_idle_below(connection, now),
                reused_answer_timeout: replaces
                    .then(|| (wait.unwrap_or_default() + answer_limit).min(timeout)),
                timeout_restarts: true,
                ..ExchangeOptions::new(CONNECT_TIMEOUT, timeout)
            }),
        });
        self.store.calls += 1;
        *self.store.calls_by.entry(purpose.label(&call)).or_default() += 1;
        self.store.pending.insert(
            exchange,
            PendingCall {
                purpose,
                call,
                started: now,
                connection,
                era: self.store.era,
            },
        );
    }
}

/// Whether missing changes of a kind are read although other calls fail, instead of waiting for
/// the probe of the store: the bound of a version runs meanwhile.
pub(super) fn is_read_despite_failures(kind: ObjectKind) -> bool {
    kind == ObjectKind::Configuration
}

/// How long the store may wait for a change before it answers a watch; `None` for other calls.
pub(super) fn longest_wait(call: &StoreCall) -> Option<Duration> {
    match call {
        StoreCall::Watch { wait, .. } => Some(*wait),
        _ => None,
    }
}
