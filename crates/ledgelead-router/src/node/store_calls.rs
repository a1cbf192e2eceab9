//! The node's calls to the store.

use super::Node;
use super::relay::relayed_kind;
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreAnswer, StoreCall, WrittenContent};
use crate::events::Event;
use crate::io::{Action, ExchangeFailure, ExchangeId, ExchangeOptions};
use crate::ownership::record::OwnershipRecord;
use crate::peers::NodeRecord;
use crate::store::{StoreHealth, WatchChange, Watcher, WatcherPace};
use ledgelead_http::Response;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time for a call that need not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for a connection to the store to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a kept connection to the store may have been idle.
const REUSE_IDLE: Duration = Duration::from_secs(4);
/// What a watch may take beyond the wait that it asks for.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// The name of the one record of ownership.
pub const OWNERSHIP_NAME: &str = "record";
/// How long the call that notices whether the store serves is left alone.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Pause between the first call that is served again and the watches; longer
/// than between two heartbeats of a coordinator.
const AFTER_FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a failed registration is tried again.
const REGISTER_RETRY: Duration = Duration::from_millis(400);

/// Pace of a watch that only hastens what the coordinator would tell as well.
const CALM_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(150),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};
/// Pace of the watch on instances. It is also the call that notices when the
/// store is lost, so it doesn't wait for long. Together with the share of the
/// drain bound for which a leaving owner is still used, the pause stays below
/// that bound.
const INSTANCES_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(400),
    after_nothing: Duration::ZERO,
    wait: Duration::from_millis(700),
};
/// Pace of the coordinator's watches on instances and on the configuration:
/// what they learn, all nodes go by. An answer is so young when it is told
/// that a node can miss the next heartbeat and still rest.
const COORDINATOR_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(150),
    after_nothing: Duration::ZERO,
    wait: Duration::from_millis(600),
};
/// Pace of the watch on ownership. Most changes are told by datagram before.
const OWNERSHIP_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(200),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};
/// The coordinator's pace there: it alone writes the record, so it only asks
/// whether it still has its place. Its own writes tell so as well. Without
/// either it gives no orders after `COORDINATOR_AUTHORITY`.
const COORDINATOR_OWNERSHIP_PACE: WatcherPace = WatcherPace {
    after_events: CONFIRM_INTERVAL,
    after_nothing: CONFIRM_INTERVAL,
    wait: Duration::from_millis(10),
};
/// Time between two confirmations of the coordinator's place.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(2_500);
/// Pace of the watch on nodes.
const NODES_PACE: WatcherPace = WatcherPace {
    after_events: Duration::from_millis(500),
    after_nothing: Duration::ZERO,
    wait: Duration::from_secs(10),
};

/// The pace of a watch, at the coordinator and elsewhere.
fn pace(kind: ObjectKind, coordinating: bool) -> WatcherPace {
    match (kind, coordinating) {
        (ObjectKind::Configuration, false) => CALM_PACE,
        (ObjectKind::Instances, false) => INSTANCES_PACE,
        (ObjectKind::Configuration | ObjectKind::Instances, true) => COORDINATOR_PACE,
        (ObjectKind::Ownership, false) => OWNERSHIP_PACE,
        (ObjectKind::Ownership, true) => COORDINATOR_OWNERSHIP_PACE,
        (ObjectKind::Nodes, _) => NODES_PACE,
    }
}

/// How long watches rest on after a coordinator has fallen silent, but for the
/// one on instances: another coordinator may be heard meanwhile. Configurations
/// have to be in force in time; who owns what and which nodes there are is
/// changed by a coordinator alone, or told by an answer, or read for a campaign.
const RESUME_PAUSES: [(ObjectKind, Duration); 3] = [
    (ObjectKind::Configuration, Duration::from_millis(300)),
    (ObjectKind::Ownership, Duration::from_millis(2_500)),
    (ObjectKind::Nodes, Duration::from_millis(2_500)),
];

/// Pause between two reads of the record because of rejected keys.
const DOUBT_PAUSE: Duration = Duration::from_millis(500);

/// Why a call was made.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A watch.
    Watch(ObjectKind),
    /// This node wants the coordinator's place.
    TakeOver(OwnershipRecord),
    /// The coordinator's next version of the record.
    Update,
    /// The coordinator leaves its place.
    Resign,
    /// This node registers itself.
    Register,
}

impl Purpose {
    /// The name of a call for metrics.
    fn label(&self, call: &StoreCall) -> &'static str {
        match (self, call) {
            (Purpose::Watch(kind), StoreCall::List { stale: true, .. }) => match kind {
                ObjectKind::Configuration => "list_configuration_stale",
                ObjectKind::Instances => "list_instances_stale",
                ObjectKind::Ownership => "list_ownership_stale",
                ObjectKind::Nodes => "list_nodes_stale",
            },
            (Purpose::Watch(kind), StoreCall::List { .. }) => match kind {
                ObjectKind::Configuration => "list_configuration",
                ObjectKind::Instances => "list_instances",
                ObjectKind::Ownership => "list_ownership",
                ObjectKind::Nodes => "list_nodes",
            },
            (Purpose::Watch(kind), _) => match kind {
                ObjectKind::Configuration => "watch_configuration",
                ObjectKind::Instances => "watch_instances",
                ObjectKind::Ownership => "watch_ownership",
                ObjectKind::Nodes => "watch_nodes",
            },
            (Purpose::TakeOver(_), _) => "take_over",
            (Purpose::Update, _) => "update_ownership",
            (Purpose::Resign, _) => "resign",
            (Purpose::Register, _) => "register",
        }
    }
}

#[derive(Debug)]
struct Pending {
    purpose: Purpose,
    call: StoreCall,
    started: Timestamp,
}

/// State of the calls.
pub(super) struct StoreCalls {
    pub(super) health: StoreHealth,
    /// In the order of `ObjectKind::ALL`.
    watchers: [Watcher; ObjectKind::ALL.len()],
    pending: HashMap<ExchangeId, Pending>,
    registered: bool,
    register_exists: bool,
    next_register: Timestamp,
    /// When an owner's rejection may lead to a read of the record again.
    next_doubt: Timestamp,
    coordinating: bool,
    calls: u64,
    /// Calls by what they are for.
    calls_by: BTreeMap<&'static str, u64>,
    failures: u64,
}

impl StoreCalls {
    pub(super) fn new(now: Timestamp) -> StoreCalls {
        let watcher = |kind| Watcher::new(kind, pace(kind, false));
        StoreCalls {
            health: StoreHealth::default(),
            watchers: ObjectKind::ALL.map(watcher),
            pending: HashMap::new(),
            registered: false,
            register_exists: false,
            next_register: now,
            next_doubt: now,
            coordinating: false,
            calls: 0,
            calls_by: BTreeMap::new(),
            failures: 0,
        }
    }

    pub(super) fn owns(&self, exchange: ExchangeId) -> bool {
        self.pending.contains_key(&exchange)
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls
    }

    /// Calls by what they were for.
    pub(super) fn calls_by(&self) -> &BTreeMap<&'static str, u64> {
        &self.calls_by
    }

    pub(super) fn failures(&self) -> u64 {
        self.failures
    }

    /// Whether this node is in the store's list of nodes.
    pub(super) fn is_registered(&self) -> bool {
        self.registered
    }

    pub(super) fn next_deadline(&self, stopping: bool) -> Option<Timestamp> {
        let watches = (0..self.watchers.len())
            .filter(|index| !self.is_held_back(*index))
            .filter_map(|index| self.watchers[index].next_call())
            .min();
        let wanted = !self.registered && !self.is_registering() && !stopping;
        let register = wanted.then_some(self.next_register);
        watches.into_iter().chain(register).min()
    }

    /// While calls fail, only the watch on instances goes on, and tells when
    /// that is over.
    fn is_held_back(&self, index: usize) -> bool {
        let probes = self.watchers[index].kind() == ObjectKind::Instances;
        (self.health.has_failed() && !probes) || self.waits_for_registration(index)
    }

    /// Another node says that the store serves again: the call that notices so
    /// is made anew.
    pub(super) fn probe_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let before = now.saturating_sub(PROBE_PAUSE);
        self.interrupt(ObjectKind::Instances, before, now, out);
        let watcher = self.watcher(ObjectKind::Instances);
        watcher.poke(now);
        watcher.hasten(now);
    }

    /// Nodes that start together list each other once they are registered, so
    /// that only the first of them campaigns.
    fn waits_for_registration(&self, index: usize) -> bool {
        let watcher = &self.watchers[index];
        let first = watcher.kind() == ObjectKind::Nodes && watcher.last_answer().is_none();
        first && self.is_registering()
    }

    fn is_registering(&self) -> bool {
        self.pending
            .values()
            .any(|pending| matches!(pending.purpose, Purpose::Register))
    }

    fn watcher(&mut self, kind: ObjectKind) -> &mut Watcher {
        &mut self.watchers[kind as usize]
    }

    /// The watches serve the coordinator, or not.
    pub(super) fn set_coordinating(&mut self, coordinating: bool, now: Timestamp) {
        self.coordinating = coordinating;
        for watcher in &mut self.watchers {
            watcher.set_pace(pace(watcher.kind(), coordinating));
            watcher.set_paused(false);
            if coordinating {
                // Until it knows how things are, it can tell the others
                // nothing, and they begin to ask by themselves.
                watcher.ask_at_once(now);
            }
        }
    }

    /// Whether a coordinator tells of changes, so that this node's own watches
    /// can rest. The coordinator's never do.
    pub(super) fn set_informed(&mut self, informed: bool, now: Timestamp, out: &mut Vec<Action>) {
        let paused = informed && !self.coordinating;
        let resumes = !paused && self.watcher(ObjectKind::Instances).is_paused();
        for watcher in &mut self.watchers {
            watcher.set_paused(paused);
        }
        if resumes {
            for (kind, pause) in RESUME_PAUSES {
                self.watcher(kind).defer(now + pause);
            }
            // A call from before the pause may wait where nobody answers.
            self.interrupt(ObjectKind::Instances, now, now, out);
        }
    }

    /// How long ago the store told of instances and of the configuration, the
    /// longer of both.
    pub(super) fn age(&self, now: Timestamp) -> Duration {
        let age = |kind: ObjectKind| match self.watchers[kind as usize].last_answer() {
            Some(last) => now.saturating_sub(last),
            None => Duration::MAX,
        };
        age(ObjectKind::Instances).max(age(ObjectKind::Configuration))
    }

    /// How long ago this node's picture of the instances was true, by the
    /// store's own answers.
    pub(super) fn instances_age(&self, now: Timestamp) -> Duration {
        let watcher = &self.watchers[ObjectKind::Instances as usize];
        let as_of = watcher.as_of();
        as_of.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// For how long all calls have been served.
    pub(super) fn served_for(&self, now: Timestamp) -> Duration {
        let since = self.health.serving_since();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// The store's revision up to which objects of a kind are known.
    pub(super) fn revision_of(&self, kind: ObjectKind) -> Option<u64> {
        self.watchers[kind as usize].revision()
    }

    /// Another node has told all changes of a kind up to this revision.
    pub(super) fn advance(&mut self, kind: ObjectKind, revision: u64) {
        self.watcher(kind).advance(revision);
    }

    /// Asks the store once for what a paused watch has missed.
    pub(super) fn poke(&mut self, kind: ObjectKind, now: Timestamp) {
        self.watcher(kind).poke(now);
    }

    /// Reads the record of ownership once more.
    pub(super) fn refresh_ownership(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.interrupt(ObjectKind::Ownership, now, now, out);
        self.watcher(ObjectKind::Ownership).refresh(now);
    }

    /// An owner has rejected its keys. A coordinator that is heard will tell who
    /// has them now, if anybody; else the record is read, though not for each
    /// such answer.
    pub(super) fn ownership_doubted(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let alone = !self.coordinating && !self.watcher(ObjectKind::Ownership).is_paused();
        if alone && self.health.serves() && self.next_doubt <= now {
            self.next_doubt = now + DOUBT_PAUSE;
            self.refresh_ownership(now, out);
        }
    }

    /// A write of the record has confirmed the coordinator's place.
    pub(super) fn place_confirmed(&mut self, now: Timestamp) {
        let watcher = self.watcher(ObjectKind::Ownership);
        watcher.defer(now + CONFIRM_INTERVAL);
    }

    /// Breaks off the watch of a kind, if it has been out since before
    /// `since`, so that it is made anew.
    pub(super) fn interrupt(
        &mut self,
        kind: ObjectKind,
        since: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let found = self.pending.iter().find_map(|(exchange, pending)| {
            let same = matches!(pending.purpose, Purpose::Watch(watched) if watched == kind);
            (same && pending.started < since).then_some(*exchange)
        });
        if let Some(exchange) = found {
            self.pending.remove(&exchange);
            out.push(Action::Cancel { exchange });
            self.watcher(kind).interrupt(now);
        }
    }
}

impl Node {
    /// Makes the calls that are due.
    pub(super) fn call_store(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let register_due = !self.store.registered
            && !self.store.is_registering()
            && self.store.next_register <= now
            && !self.stopping;
        if register_due {
            let call = self.registration();
            self.start_call(Purpose::Register, call, now, out);
        }
        for index in 0..self.store.watchers.len() {
            if self.store.is_held_back(index) {
                continue;
            }
            if let Some(call) = self.store.watchers[index].take_call(now) {
                let kind = self.store.watchers[index].kind();
                self.start_call(Purpose::Watch(kind), call, now, out);
            }
        }
    }

    fn registration(&self) -> StoreCall {
        let record = NodeRecord {
            identity: self.settings.identity.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.peer_address,
            millicores: self.settings.millicores,
        };
        let name = record.identity.node.to_string();
        let content = WrittenContent::Node(record);
        if self.store.register_exists {
            StoreCall::Replace {
                name,
                revision: None,
                content,
            }
        } else {
            StoreCall::Create { name, content }
        }
    }

    pub(super) fn start_call(
        &mut self,
        purpose: Purpose,
        call: StoreCall,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let exchange = self.exchanges.next_id();
        let timeout = match &call {
            StoreCall::Watch { wait, .. } => *wait + WATCH_SLACK,
            _ => CALL_TIMEOUT,
        };
        out.push(Action::Exchange {
            exchange,
            address: self.settings.store_address,
            request: self.dialect.store_request(&call),
            options: ExchangeOptions {
                match_header: None,
                reuse_idle_below: REUSE_IDLE,
                connect_timeout: CONNECT_TIMEOUT,
                timeout,
                renewed: true,
            },
        });
        self.store.calls += 1;
        *self.store.calls_by.entry(purpose.label(&call)).or_default() += 1;
        self.store.pending.insert(
            exchange,
            Pending {
                purpose,
                call,
                started: now,
            },
        );
    }

    pub(super) fn store_answered(
        &mut self,
        exchange: ExchangeId,
        result: Result<Response, ExchangeFailure>,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.store.pending.remove(&exchange) else {
            return;
        };
        self.coordination.note_change();
        let answer = result.map(|response| self.dialect.store_answer(&pending.call, &response));
        let served = matches!(&answer, Ok(answer) if !matches!(answer, StoreAnswer::Refused | StoreAnswer::Unreadable(_)));
        self.note_health(served, &answer, pending.started, now, out);
        match pending.purpose {
            Purpose::Watch(kind) => self.watch_answered(kind, answer, pending.started, now, out),
            Purpose::Register => self.register_answered(answer, now),
            Purpose::TakeOver(record) => {
                self.take_over_answered(record, answer, pending.started, now, out)
            }
            Purpose::Update => self.update_answered(answer, pending.started, now, out),
            Purpose::Resign => {
                self.coordination.resigned();
                self.tell_resignation(out);
            }
        }
    }

    fn note_health(
        &mut self,
        served: bool,
        answer: &Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        if !served {
            self.store.failures += 1;
            if self.store.health.serves() {
                let cause = describe(answer);
                Event::StoreFails { cause: &cause }.emit();
            }
            self.store.health.failed(started);
            // The one call that goes on while others fail, also where it rests.
            self.store.watcher(ObjectKind::Instances).poke(now);
            return;
        }
        let was_failing = self.store.health.has_failed();
        if self.store.health.succeeded(started) {
            self.directory.store_was_lost(now);
        }
        if was_failing {
            Event::StoreServes.emit();
            // Watches from before may wait on connections that will say
            // nothing any more.
            for kind in [
                ObjectKind::Configuration,
                ObjectKind::Ownership,
                ObjectKind::Nodes,
            ] {
                self.store.interrupt(kind, now, now, out);
                if !self.store.coordinating {
                    // A coordinator that is heard by then makes them needless.
                    self.store.watcher(kind).defer(now + AFTER_FAILURE_PAUSE);
                }
            }
        }
    }

    fn watch_answered(
        &mut self,
        kind: ObjectKind,
        answer: Result<StoreAnswer, ExchangeFailure>,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let change = match answer {
            Ok(answer) => {
                if let StoreAnswer::Unreadable(finding) = &answer {
                    let object = &format!("{kind:?}");
                    Event::ObjectUnreadable { object, finding }.emit();
                }
                let confirms = matches!(
                    &answer,
                    StoreAnswer::Objects { .. } | StoreAnswer::Events { .. }
                );
                let change = self.store.watcher(kind).answered(answer, now);
                if confirms && kind == ObjectKind::Ownership {
                    self.coordination.confirmed_if_unchanged(started);
                }
                change
            }
            Err(_) => {
                self.store.watcher(kind).failed(now);
                return;
            }
        };
        if let WatchChange::Events(events) = &change
            && let Some(relayed) = relayed_kind(kind)
            && self.coordination.coordinator().is_some()
        {
            let revision = self.store.revision_of(kind).unwrap_or(0);
            self.relay(relayed, revision, events.clone(), out);
        }
        self.apply(kind, change, started, now, out);
        if kind == ObjectKind::Instances
            && let Some(as_of) = self.store.watcher(kind).as_of()
        {
            self.directory.note_current(as_of);
        }
    }

    fn apply(
        &mut self,
        kind: ObjectKind,
        change: WatchChange,
        started: Timestamp,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        let instances_before = self.directory.changes();
        let configuration_before = self.configuration_version();
        let is_list = matches!(change, WatchChange::All(_));
        match change {
            WatchChange::Unchanged => return,
            WatchChange::All(objects) => self.apply_all(kind, objects, started, now, out),
            WatchChange::Events(events) => {
                for event in events {
                    self.apply_event(event, started, now, out);
                }
            }
        }
        let same = is_list
            && kind == ObjectKind::Instances
            && self.directory.changes() == instances_before;
        if let Some(relayed) = relayed_kind(kind).filter(|_| !same) {
            let revision = self.store.revision_of(kind).unwrap_or(0);
            self.gossip.relay.changed(relayed, revision);
        }
        if self.configuration_version() != configuration_before {
            self.gossip.hasten_heartbeat();
        }
        self.reconsider_waiting(now, out);
    }

    fn register_answered(&mut self, answer: Result<StoreAnswer, ExchangeFailure>, now: Timestamp) {
        match answer {
            Ok(StoreAnswer::Written(_)) => self.store.registered = true,
            Ok(StoreAnswer::Conflict) => {
                self.store.register_exists = true;
                self.store.next_register = now;
            }
            Ok(StoreAnswer::Missing) => {
                self.store.register_exists = false;
                self.store.next_register = now;
            }
            _ => self.store.next_register = now + REGISTER_RETRY,
        }
    }
}

fn describe(answer: &Result<StoreAnswer, ExchangeFailure>) -> String {
    match answer {
        Ok(StoreAnswer::Refused) => "refused".to_owned(),
        Ok(StoreAnswer::Unreadable(finding)) => finding.clone(),
        Ok(_) => "served".to_owned(),
        Err(failure) => format!("{failure:?}"),
    }
}
