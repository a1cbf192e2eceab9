//! The node's calls to the store.

use super::Node;
use super::registration::RegistrationState;
use super::watch_paces::{CONFIRM_INTERVAL, ColdStart, RESUME_PAUSES, large_list_pause, pace};
use crate::Timestamp;
use crate::dialect::{ObjectKind, StoreCall};
use crate::io::{Action, ExchangeId, ExchangeOptions};
use crate::ownership::record::OwnershipRecord;
use crate::quarantine::QuarantineRecord;
use crate::requests::RequestDigest;
use crate::settings::NodeSettings;
use crate::store::{StoreHealth, Watcher, with_store_revisions};
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
/// Pause between two reads of the record because of rejected keys.
const DOUBT_PAUSE: Duration = Duration::from_millis(500);

/// Time in which a node that starts hears a coordinator, whose heartbeats (each 200 ms)
/// hold the evacuations, so that it need not list them.
const FIRST_EVACUATIONS_PAUSE: Duration = Duration::from_millis(400);
/// Time in which a node that starts hears a coordinator, also one that is elected only
/// then. With a list it is below the 3 s in which a node has to know what is held back.
const FIRST_QUARANTINE_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause between two probes of a failing store because of gaps; with a list and
/// the pause before the other watches (0.25 s) it stays below the bound of
/// configurations of 2 s.
const GAP_PROBE_PAUSE: Duration = Duration::from_millis(1_000);

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
    /// The coordinator writes what is known of a request that crashes instances.
    KeepEvidence(Box<(RequestDigest, QuarantineRecord)>),
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
            (Purpose::TakeOver(_), _) => "take_over",
            (Purpose::Update, _) => "update_ownership",
            (Purpose::Resign, _) => "resign",
            (Purpose::Register, _) => "register",
            (Purpose::KeepEvidence(_), _) => "keep_evidence",
        }
    }
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) purpose: Purpose,
    pub(super) call: StoreCall,
    pub(super) started: Timestamp,
    /// The era that was known then.
    pub(super) era: u64,
}

/// State of the calls.
pub(super) struct StoreCalls {
    pub(super) health: StoreHealth,
    /// In the order of `ObjectKind::ALL`.
    watchers: [Watcher; ObjectKind::ALL.len()],
    pub(super) pending: HashMap<ExchangeId, Pending>,
    pub(super) registration: RegistrationState,
    /// Pauses of the first calls, if no configuration is found.
    cold_start: ColdStart,
    /// Pause after the first page of a long list of instances.
    list_pause: Duration,
    /// Whether zones can be evacuated at all.
    reads_evacuations: bool,
    /// Whether the first list of the configuration was empty.
    starts_cold: bool,
    /// When an owner's rejection may lead to a read of the record again.
    next_doubt: Timestamp,
    /// When a gap may lead to a probe again.
    next_gap_probe: Timestamp,
    pub(super) coordinating: bool,
    calls: u64,
    /// Calls by what they are for.
    calls_by: BTreeMap<&'static str, u64>,
    pub(super) failures: u64,
    /// The latest era that the store has named.
    pub(super) era: u64,
}

impl StoreCalls {
    pub(super) fn new(settings: &NodeSettings, now: Timestamp) -> StoreCalls {
        let watcher = |kind| Watcher::new(kind, pace(kind, false));
        let mut watchers = ObjectKind::ALL.map(watcher);
        watchers[ObjectKind::Evacuations as usize].defer(now + FIRST_EVACUATIONS_PAUSE);
        watchers[ObjectKind::Quarantine as usize].defer(now + FIRST_QUARANTINE_PAUSE);
        StoreCalls {
            health: StoreHealth::default(),
            watchers,
            pending: HashMap::new(),
            registration: RegistrationState::new(now),
            cold_start: ColdStart::new(settings.millicores, settings.seed),
            list_pause: large_list_pause(settings.seed),
            reads_evacuations: settings.evacuation_bound.is_some(),
            starts_cold: false,
            next_doubt: now,
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

    /// Calls by what they were for.
    pub(super) fn calls_by(&self) -> &BTreeMap<&'static str, u64> {
        &self.calls_by
    }

    pub(super) fn failures(&self) -> u64 {
        self.failures
    }

    /// Whether this life of the node is registered.
    pub(super) fn is_registered(&self) -> bool {
        self.registration.is_done()
    }

    /// Whether no configuration was found at the start of this node.
    pub(super) fn starts_cold(&self) -> bool {
        self.starts_cold
    }

    /// Whether all objects of a kind were listed once.
    pub(super) fn has_listed(&self, kind: ObjectKind) -> bool {
        self.watchers[kind as usize].has_listed()
    }

    /// Whether instances or nodes are too many for one page of a list.
    pub(super) fn has_paged_list(&self) -> bool {
        let kinds = [ObjectKind::Instances, ObjectKind::Nodes];
        kinds
            .iter()
            .any(|kind| self.watchers[*kind as usize].is_paged())
    }

    /// Whether the store's last answer about a kind told the newest state.
    pub(super) fn is_exact(&self, kind: ObjectKind) -> bool {
        self.watchers[kind as usize].as_of().is_some()
    }

    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        (0..self.watchers.len())
            .filter(|index| !self.is_held_back(*index))
            .filter_map(|index| self.watchers[index].next_call())
            .min()
    }

    /// While calls fail, only the watch on instances goes on, and tells when
    /// that is over.
    fn is_held_back(&self, index: usize) -> bool {
        let kind = self.watchers[index].kind();
        // A coordinator that is heard tells them whole.
        let is_told = !self.reads_evacuations || self.watchers[index].is_paused();
        if kind == ObjectKind::Evacuations && is_told {
            return true;
        }
        if kind == ObjectKind::Quarantine && self.watchers[index].is_paused() {
            return true;
        }
        if self.health.has_failed() {
            return kind != ObjectKind::Instances;
        }
        // The configuration tells whether the whole deployment starts. A coordinator may have
        // sent it before it is listed; changes since a list are asked for in any case.
        let waits = matches!(kind, ObjectKind::Instances | ObjectKind::Nodes);
        waits && !self.has_listed(kind) && !self.has_listed(ObjectKind::Configuration)
    }

    /// The first list of the configuration is complete.
    pub(super) fn configuration_listed(&mut self, is_empty: bool, now: Timestamp) {
        if !is_empty {
            return;
        }
        self.starts_cold = true;
        let ColdStart { election, list } = self.cold_start;
        self.watcher(ObjectKind::Instances).defer(now + list);
        let nodes = self.watcher(ObjectKind::Nodes);
        nodes.set_first_may_be_stale(false);
        nodes.defer(now + election);
    }

    /// A coordinator is heard before this node has listed the nodes: it will
    /// relay what changes after a list that may be stale.
    fn spare_list_of_nodes(&mut self, now: Timestamp) {
        let pause = self.cold_start.list;
        let nodes = self.watcher(ObjectKind::Nodes);
        if !nodes.has_listed() {
            nodes.set_first_may_be_stale(true);
            nodes.defer(now + pause);
        }
    }

    /// The first page of a first list has shown that it is long: another node may send the
    /// rest meanwhile.
    pub(super) fn put_off_further_pages(&mut self, kind: ObjectKind, now: Timestamp) {
        let pause = match kind {
            ObjectKind::Nodes => self.cold_start.election,
            _ => self.list_pause,
        };
        self.watcher(kind).defer(now + pause);
    }

    /// A coordinator is heard: other nodes send what this one has put off.
    fn hasten_large_lists(&mut self, now: Timestamp) {
        for kind in [ObjectKind::Instances, ObjectKind::Nodes] {
            let watcher = self.watcher(kind);
            if watcher.is_paged() && !watcher.has_listed() {
                watcher.call_now(now);
            }
        }
    }

    /// Another node says that the store serves again: the call that notices so
    /// is made anew.
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

    /// Lists the nodes once more.
    pub(super) fn list_nodes(&mut self, now: Timestamp) {
        self.watcher(ObjectKind::Nodes).refresh(now);
    }

    pub(super) fn watcher(&mut self, kind: ObjectKind) -> &mut Watcher {
        &mut self.watchers[kind as usize]
    }

    /// The watches serve the coordinator, or not.
    pub(super) fn set_coordinating(&mut self, coordinating: bool, now: Timestamp) {
        self.coordinating = coordinating;
        for watcher in &mut self.watchers {
            watcher.set_pace(pace(watcher.kind(), coordinating));
            watcher.set_paused(false);
            if coordinating {
                // Until it knows the present state, it has nothing to relay, and
                // the others begin to ask by themselves.
                watcher.set_first_may_be_stale(false);
                watcher.call_now_with_short_wait(now);
            }
        }
    }

    /// Whether a coordinator tells of changes, so that this node's own watches
    /// can rest. The coordinator's never do.
    pub(super) fn set_informed(&mut self, informed: bool, now: Timestamp, out: &mut Vec<Action>) {
        let paused = informed && !self.coordinating;
        let was_paused = self.watcher(ObjectKind::Instances).is_paused();
        let resumes = !paused && was_paused;
        if paused && !was_paused {
            self.spare_list_of_nodes(now);
            self.hasten_large_lists(now);
        }
        for watcher in &mut self.watchers {
            watcher.set_paused(paused);
        }
        if paused && self.health.has_failed() {
            // It goes on as the probe.
            self.watcher(ObjectKind::Instances).request_catch_up(now);
        }
        if resumes {
            self.watcher(ObjectKind::Instances).call_now(now);
            for (kind, pause) in RESUME_PAUSES {
                self.watcher(kind).defer(now + pause);
            }
            // A call from before the pause may wait where nobody answers.
            self.interrupt(ObjectKind::Instances, now, now, out);
        }
    }

    /// The age of this node's view of the store: how long ago it had an answer about
    /// instances, and how long ago the configuration that it knows was the newest. The
    /// latter counts from when the store answered, since a machine that stood still reads
    /// old answers; versions are rare enough for that to be recent.
    pub(super) fn age(&self, now: Timestamp) -> Duration {
        let instances = self.watchers[ObjectKind::Instances as usize].last_answer();
        let since = |at: Option<Timestamp>| at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        since(instances).max(self.state_age(ObjectKind::Configuration, now))
    }

    /// How long ago what this node knows of a kind was the store's state, by the store's
    /// own answers.
    pub(super) fn state_age(&self, kind: ObjectKind, now: Timestamp) -> Duration {
        let as_of = self.watchers[kind as usize].as_of();
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
        self.watcher(kind).request_catch_up(now);
    }

    /// This node lacks something that only the store can tell, while its calls
    /// fail: the probe is made anew, though not for each heartbeat that says so.
    pub(super) fn probe_for_gap(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.next_gap_probe <= now {
            self.next_gap_probe = now + GAP_PROBE_PAUSE;
            self.probe_again(now, out);
        }
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
    /// `since`, so that it is made anew. A list is left alone: it waits for no
    /// change, and a long one over a slow link would never come to its end.
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
            self.watcher(kind).interrupt(now);
        }
    }
}

impl Node {
    /// Makes the calls that are due.
    pub(super) fn call_store(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.restart_former_watches(now);
        self.register_if_due(now, out);
        for index in 0..self.store.watchers.len() {
            if self.store.is_held_back(index) {
                continue;
            }
            if let Some(call) = self.store.watchers[index].take_call(now) {
                let kind = self.store.watchers[index].kind();
                self.call_watched(kind, call, now, out);
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
        let exchange = self.exchanges.next_id();
        let timeout = match &call {
            StoreCall::Watch { wait, .. } => *wait + WATCH_SLACK,
            _ => CALL_TIMEOUT,
        };
        out.push(Action::Exchange {
            exchange,
            address: self.settings.store_address,
            request: self.dialect.store_request(&with_store_revisions(&call)),
            options: ExchangeOptions {
                match_header: None,
                reuse_idle_below: REUSE_IDLE,
                connect_timeout: CONNECT_TIMEOUT,
                write_timeout: None,
                observe_before_write: Duration::ZERO,
                timeout,
                timeout_restarts: true,
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
                era: self.store.era,
            },
        );
    }
}
