//! Checks the recorded behaviour of the simulated services for violations.

use super::instance::{Instance, KEY_COUNT};
use super::isolation::{IsolationWindow, Service};
use ledgelead_router::dialect::KeyRange;
use ledgelead_router::identity::{InstanceId, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Kinds of violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// Two live instances held the same key under grants that were not late.
    SingleOwner,
    /// A key was granted while another live instance still worked on a request for it, within
    /// the hold under which that request began. The grants were not late.
    GrantedDuringWork,
    /// Keys moved to another instance or incarnation without a higher token.
    TokenRises,
    /// An incarnation received the keys of its predecessor from a node that knew of the new
    /// incarnation.
    DistinctIncarnations,
    /// Two live instances held the same key and both started requests for it.
    TwoOwnersServed,
    /// A request that may run at most once ran twice.
    OnceOnly,
    /// A request ran although its client was told that it did not.
    NotRunIsTrue,
    /// A leaving instance received a request long after it announced its departure.
    NoNewWorkAfterLeave,
    /// A leaving instance received a request from a node long after it told that node in a
    /// response.
    LeavingHeeded,
    /// An instance received several requests from a node during a pause that it had requested
    /// from that node.
    PauseKept,
    /// An instance received more requests than its announced rate limit allows.
    LimitKept,
    /// A node reverted to an older configuration.
    ConfigurationMonotonic,
    /// A node connected to the store lacked a configuration long after its acknowledgement.
    ConfigurationInTime,
    /// A client received the response to another request.
    AnswerMatchesRequest,
    /// A request that had crashed three instances was forwarded again.
    CrashesContained,
    /// More instances crashed under one request than allowed.
    CrashesBounded,
    /// A request that crashes no instances was quarantined.
    HarmlessServed,
    /// Callers of nodes that were partitioned from all instances were not served.
    IsolatedNodesServe,
    /// Callers of the other nodes were not served meanwhile.
    OtherNodesServe,
}

impl ViolationKind {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            ViolationKind::SingleOwner => "single_owner",
            ViolationKind::GrantedDuringWork => "granted_during_work",
            ViolationKind::TokenRises => "token_rises",
            ViolationKind::DistinctIncarnations => "lives_apart",
            ViolationKind::TwoOwnersServed => "two_owners_served",
            ViolationKind::OnceOnly => "once_only",
            ViolationKind::NotRunIsTrue => "not_run_is_true",
            ViolationKind::NoNewWorkAfterLeave => "no_new_work_after_leave",
            ViolationKind::LeavingHeeded => "leaving_heeded",
            ViolationKind::PauseKept => "pause_kept",
            ViolationKind::LimitKept => "limit_kept",
            ViolationKind::ConfigurationMonotonic => "configuration_monotonic",
            ViolationKind::ConfigurationInTime => "configuration_in_time",
            ViolationKind::AnswerMatchesRequest => "answer_matches_request",
            ViolationKind::CrashesContained => "crashes_contained",
            ViolationKind::CrashesBounded => "crashes_bounded",
            ViolationKind::HarmlessServed => "harmless_served",
            ViolationKind::IsolatedNodesServe => "isolated_nodes_serve",
            ViolationKind::OtherNodesServe => "other_nodes_serve",
        }
    }
}

/// A violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Its kind.
    pub kind: ViolationKind,
    /// When it was detected.
    pub at: Duration,
    /// Details of the violation.
    pub what: String,
}

/// Collects violations during a run.
#[derive(Debug, Default)]
pub struct Checker {
    /// Violations found so far.
    pub violations: Vec<Violation>,
    runs: HashMap<u64, u32>,
    refused: HashMap<u64, Duration>,
    versions: BTreeMap<(usize, u64), u64>,
    late: BTreeSet<((usize, u64), u64)>,
    /// The highest token seen for each key, and the incarnation that held the key under it.
    tokens: BTreeMap<ServiceName, Vec<(u64, usize)>>,
}

impl Checker {
    fn record_violation(&mut self, kind: ViolationKind, at: Duration, what: String) {
        self.violations.push(Violation { kind, at, what });
    }

    /// An instance accepted a grant that was not late.
    pub fn granted(
        &mut self,
        holder: usize,
        range: KeyRange,
        instances: &[Instance],
        now: Duration,
    ) {
        for (index, other) in instances.iter().enumerate() {
            let same = index == holder
                || !other.alive
                || other.record.service != instances[holder].record.service;
            if same {
                continue;
            }
            let overlapping = other.held_ranges.iter().find(|hold| {
                hold.until > now
                    && !hold.late
                    && hold.range.first <= range.last
                    && range.first <= hold.range.last
            });
            if let Some(hold) = overlapping {
                let what = format!(
                    "{} takes {range:?} while {} holds {:?} until {:?}",
                    instances[holder].id(),
                    other.id(),
                    hold.range,
                    hold.until
                );
                self.record_violation(ViolationKind::SingleOwner, now, what);
            }
        }
    }

    /// An instance accepted a grant that was not late. No other instance may still work on the
    /// keys within its own hold.
    pub fn granted_during_work(
        &mut self,
        holder: usize,
        range: KeyRange,
        instances: &[Instance],
        now: Duration,
    ) {
        let service = &instances[holder].record.service;
        for (index, other) in instances.iter().enumerate() {
            if index == holder || !other.alive || other.record.service != *service {
                continue;
            }
            if let Some(request) = other.unfinished_work(range, now) {
                let what = format!(
                    "{} takes {range:?} while {} works on request {} for {:?}",
                    instances[holder].id(),
                    other.id(),
                    request.attempt,
                    request.key
                );
                self.record_violation(ViolationKind::GrantedDuringWork, now, what);
            }
        }
    }

    /// An incarnation accepted a grant that was not late. Its token must exceed those under
    /// which other incarnations held the keys. A grant addressed to a previous incarnation
    /// that was in flight when that ended counts as the same grant.
    pub fn keys_transferred(
        &mut self,
        holder: usize,
        is_intended: bool,
        (range, fence): (KeyRange, u64),
        instances: &[Instance],
        now: Duration,
    ) {
        let tokens = self.tokens.entry(instances[holder].record.service.clone());
        let tokens = tokens.or_insert_with(|| vec![(0, holder); KEY_COUNT]);
        let mut found = None;
        for token in &mut tokens[usize::from(range.first)..=usize::from(range.last)] {
            let (highest, other) = *token;
            if highest >= fence && other != holder && is_intended {
                found = Some(*token);
            }
            if fence >= highest {
                *token = (fence, holder);
            }
        }
        if let Some((highest, other)) = found {
            let (holder, other) = (instances[holder].id(), instances[other].id());
            let what = format!("{holder} takes {range:?} under {fence}, {other} had {highest}");
            self.record_violation(ViolationKind::TokenRises, now, what);
        }
    }

    /// An incarnation received an order addressed to its predecessor, from a node that had
    /// known of the new incarnation for long enough.
    pub fn order_for_previous_incarnation(
        &mut self,
        node: usize,
        intended: &InstanceId,
        incarnation: &Instance,
        (range, fence): (KeyRange, u64),
        now: Duration,
    ) {
        let incarnation = incarnation.id();
        let what =
            format!("{incarnation} gets {range:?} under {fence} for {intended} from node {node}");
        self.record_violation(ViolationKind::DistinctIncarnations, now, what);
    }

    /// An instance started a request.
    pub fn request_started(
        &mut self,
        holder: usize,
        attempt: u64,
        once: bool,
        key: Option<u16>,
        instances: &[Instance],
        now: Duration,
    ) {
        let runs = self.runs.entry(attempt).or_default();
        *runs += 1;
        if once && *runs > 1 {
            self.record_violation(ViolationKind::OnceOnly, now, format!("request {attempt}"));
        }
        if self.refused.contains_key(&attempt) {
            let what = format!("request {attempt} begins after its refusal");
            self.record_violation(ViolationKind::NotRunIsTrue, now, what);
        }
        if let Some(key) = key {
            self.check_owner(holder, key, instances, now);
        }
    }

    fn check_owner(&mut self, holder: usize, key: u16, instances: &[Instance], now: Duration) {
        let Some(own) = instances[holder].held_range_of(key, now) else {
            return;
        };
        let both = instances.iter().enumerate().find(|(index, other)| {
            let relevant = *index != holder
                && other.alive
                && other.record.service == instances[holder].record.service;
            relevant
                && other.held_range_of(key, now).is_some_and(|hold| {
                    let since = hold.since.max(own.since);
                    other
                        .last_started
                        .get(&key)
                        .is_some_and(|last_started| *last_started >= since)
                })
        });
        if let Some((index, _)) = both {
            let what = format!(
                "key {key} at {} and {}",
                instances[holder].id(),
                instances[index].id()
            );
            self.record_violation(ViolationKind::TwoOwnersServed, now, what);
        }
    }

    /// A client was told that its request did not run.
    pub fn refused(&mut self, attempt: u64, once: bool, now: Duration) {
        self.refused.insert(attempt, now);
        if once && self.runs.contains_key(&attempt) {
            let what = format!("request {attempt} is refused after it ran");
            self.record_violation(ViolationKind::NotRunIsTrue, now, what);
        }
    }

    /// A request reached more instances than allowed after it had crashed the third one.
    pub fn crashing_request_reached_instance(
        &mut self,
        number: usize,
        node: usize,
        ended: usize,
        now: Duration,
    ) {
        let what = format!("request {number} from node {node}, {ended} instances have ended");
        self.record_violation(ViolationKind::CrashesContained, now, what);
    }

    /// More instances crashed under a request than allowed.
    pub fn too_many_crashed(&mut self, number: usize, ended: usize, now: Duration) {
        let what = format!("{ended} instances have ended under request {number}");
        self.record_violation(ViolationKind::CrashesBounded, now, what);
    }

    /// A harmless request was refused as one that crashes instances.
    pub fn harmless_request_quarantined(
        &mut self,
        attempt: u64,
        target: &str,
        node: usize,
        now: Duration,
    ) {
        let what = format!("request {attempt} for {target} at node {node}");
        self.record_violation(ViolationKind::HarmlessServed, now, what);
    }

    /// A client received a response.
    pub fn answered(&mut self, asked: u64, answered_attempt: Option<u64>, now: Duration) {
        if answered_attempt != Some(asked) {
            let what = format!("request {asked} got the answer to {answered_attempt:?}");
            self.record_violation(ViolationKind::AnswerMatchesRequest, now, what);
        }
    }

    /// An instance received a request after the drain bound of its departure.
    pub fn request_to_leaving(
        &mut self,
        caller: (usize, u64),
        instance: &Instance,
        leaving_since: Duration,
        now: Duration,
    ) {
        let what = format!(
            "{} since {leaving_since:?}, from node {}",
            instance.id(),
            caller.0
        );
        self.record_violation(ViolationKind::NoNewWorkAfterLeave, now, what);
    }

    /// An instance received a request from a node that it had told of its departure.
    pub fn request_after_leave_notice(
        &mut self,
        caller: (usize, u64),
        instance: &Instance,
        notified: Duration,
        now: Duration,
    ) {
        let what = format!(
            "{} from node {}, notified at {notified:?}",
            instance.id(),
            caller.0
        );
        self.record_violation(ViolationKind::LeavingHeeded, now, what);
    }

    /// An instance received too many requests during a pause that it had requested from a
    /// node.
    pub fn requests_in_pause(
        &mut self,
        caller: (usize, u64),
        instance: &Instance,
        reached: u32,
        now: Duration,
    ) {
        let what = format!(
            "{reached} requests to {} from node {}",
            instance.id(),
            caller.0
        );
        self.record_violation(ViolationKind::PauseKept, now, what);
    }

    /// An instance received more requests than it allows from the nodes that know its limit.
    pub fn requests_beyond_limit(
        &mut self,
        instance: &Instance,
        arrived: usize,
        allowed: f64,
        now: Duration,
    ) {
        let what = format!("{arrived} requests to {}, {allowed} allowed", instance.id());
        self.record_violation(ViolationKind::LimitKept, now, what);
    }

    /// Some nodes were partitioned from all instances.
    pub fn service_during_isolation(&mut self, window: &IsolationWindow) {
        let groups = [
            (ViolationKind::IsolatedNodesServe, window.isolated),
            (ViolationKind::OtherNodesServe, window.others),
        ];
        for (kind, service) in groups {
            if service.is_degraded() {
                let Service { sent, served } = service;
                let nodes = &window.nodes;
                let what = format!("{served} of {sent} while nodes {nodes:?} were isolated");
                self.record_violation(kind, window.began, what);
            }
        }
    }

    /// A connected node must have applied this configuration by now.
    pub fn check_due_version(&mut self, caller: (usize, u64), due: u64, now: Duration) {
        let known = self.versions.get(&caller).copied().unwrap_or(0);
        // One report per version that an incarnation of a node lacks.
        if known < due && self.late.insert((caller, due)) {
            let what = format!("node {} has {known} and lacks {due}", caller.0);
            self.record_violation(ViolationKind::ConfigurationInTime, now, what);
        }
    }

    /// A node has applied this configuration.
    pub fn configuration_applied(&mut self, caller: (usize, u64), version: u64, now: Duration) {
        let known = self.versions.entry(caller).or_default();
        if version < *known {
            let what = format!("node {} goes from {known} to {version}", caller.0);
            self.record_violation(ViolationKind::ConfigurationMonotonic, now, what);
        } else {
            *known = version;
        }
    }
}
