//! Judges what the stand-ins recorded.

use super::instance::{Instance, KEYS};
use ledgelead_router::dialect::KeyRange;
use ledgelead_router::identity::{InstanceId, ServiceName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// Two live instances held the same key by grants that came in time.
    SingleOwner,
    /// Keys passed to another instance, or another life, under no higher token.
    TokenRises,
    /// A life got its earlier life's keys from a node that knew of it.
    DistinctIncarnations,
    /// Two live instances held the same key and both began requests on it.
    TwoOwnersServed,
    /// A request that may run once ran twice.
    OnceOnly,
    /// A request ran although its client was told that it had not.
    NotRunIsTrue,
    /// A leaving instance got a request long after it said so.
    NoNewWorkAfterLeave,
    /// A leaving instance got a request long after an answer had told the node so.
    LeavingHeeded,
    /// An instance got several requests of a node in a pause that it had asked it for.
    PauseKept,
    /// An instance got more requests than the rate limit that it names allows.
    LimitKept,
    /// A node went back to an older configuration.
    ConfigurationMonotonic,
    /// A node in touch lacked a configuration long after it was acknowledged.
    ConfigurationInTime,
    /// A client got the answer to another request.
    AnswerMatchesRequest,
    /// A request under which three instances had ended went on to be sent.
    CrashesContained,
    /// A request was held back under which no instance ended by itself.
    HarmlessServed,
}

impl ViolationKind {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            ViolationKind::SingleOwner => "single_owner",
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
            ViolationKind::HarmlessServed => "harmless_served",
        }
    }
}

/// One violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Its kind.
    pub kind: ViolationKind,
    /// When it was seen.
    pub at: Duration,
    /// What was seen.
    pub what: String,
}

/// The checker.
#[derive(Debug, Default)]
pub struct Checker {
    /// What was found.
    pub violations: Vec<Violation>,
    runs: HashMap<u64, u32>,
    refused: HashMap<u64, Duration>,
    versions: BTreeMap<(usize, u64), u64>,
    late: BTreeSet<((usize, u64), u64)>,
    /// The highest token of each key so far, and the life that held the key under it.
    tokens: BTreeMap<ServiceName, Vec<(u64, usize)>>,
}

impl Checker {
    fn found(&mut self, kind: ViolationKind, at: Duration, what: String) {
        self.violations.push(Violation { kind, at, what });
    }

    /// An instance took a grant that came in time.
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
            let overlapping = other.holds.iter().find(|hold| {
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
                self.found(ViolationKind::SingleOwner, now, what);
            }
        }
    }

    /// A life took a grant that came in time. Its token is above those under which other
    /// lives have held the keys; a grant that was meant for an earlier life, and was on
    /// its way as that ended, is the same grant as before.
    pub fn passed(
        &mut self,
        holder: usize,
        is_meant: bool,
        (range, fence): (KeyRange, u64),
        instances: &[Instance],
        now: Duration,
    ) {
        let tokens = self.tokens.entry(instances[holder].record.service.clone());
        let tokens = tokens.or_insert_with(|| vec![(0, holder); KEYS]);
        let mut found = None;
        for token in &mut tokens[usize::from(range.first)..=usize::from(range.last)] {
            let (highest, other) = *token;
            if highest >= fence && other != holder && is_meant {
                found = Some(*token);
            }
            if fence >= highest {
                *token = (fence, holder);
            }
        }
        if let Some((highest, other)) = found {
            let (holder, other) = (instances[holder].id(), instances[other].id());
            let what = format!("{holder} takes {range:?} under {fence}, {other} had {highest}");
            self.found(ViolationKind::TokenRises, now, what);
        }
    }

    /// A life got an order for its earlier life from a node that had long known of it.
    pub fn former_life_meant(
        &mut self,
        node: usize,
        meant: &InstanceId,
        life: &Instance,
        (range, fence): (KeyRange, u64),
        now: Duration,
    ) {
        let life = life.id();
        let what = format!("{life} gets {range:?} under {fence} for {meant} from node {node}");
        self.found(ViolationKind::DistinctIncarnations, now, what);
    }

    /// An instance began a request.
    pub fn began(
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
            self.found(ViolationKind::OnceOnly, now, format!("request {attempt}"));
        }
        if self.refused.contains_key(&attempt) {
            let what = format!("request {attempt} begins after its refusal");
            self.found(ViolationKind::NotRunIsTrue, now, what);
        }
        if let Some(key) = key {
            self.check_owner(holder, key, instances, now);
        }
    }

    fn check_owner(&mut self, holder: usize, key: u16, instances: &[Instance], now: Duration) {
        let Some(own) = instances[holder].hold_of(key, now) else {
            return;
        };
        let both = instances.iter().enumerate().find(|(index, other)| {
            let relevant = *index != holder
                && other.alive
                && other.record.service == instances[holder].record.service;
            relevant
                && other.hold_of(key, now).is_some_and(|hold| {
                    let since = hold.since.max(own.since);
                    other.begun.get(&key).is_some_and(|begun| *begun >= since)
                })
        });
        if let Some((index, _)) = both {
            let what = format!(
                "key {key} at {} and {}",
                instances[holder].id(),
                instances[index].id()
            );
            self.found(ViolationKind::TwoOwnersServed, now, what);
        }
    }

    /// A client was told that its request had not run.
    pub fn refused(&mut self, attempt: u64, once: bool, now: Duration) {
        self.refused.insert(attempt, now);
        if once && self.runs.contains_key(&attempt) {
            let what = format!("request {attempt} is refused after it ran");
            self.found(ViolationKind::NotRunIsTrue, now, what);
        }
    }

    /// A request has reached instances too often after the third had ended under it.
    pub fn crashing_sent_on(&mut self, number: usize, node: usize, ended: usize, now: Duration) {
        let what = format!("request {number} from node {node}, {ended} instances have ended");
        self.found(ViolationKind::CrashesContained, now, what);
    }

    /// A harmless request was refused as one that crashes instances.
    pub fn harmless_held_back(&mut self, attempt: u64, now: Duration) {
        let what = format!("request {attempt}");
        self.found(ViolationKind::HarmlessServed, now, what);
    }

    /// A client got an answer.
    pub fn answered(&mut self, asked: u64, carried: Option<u64>, now: Duration) {
        if carried != Some(asked) {
            let what = format!("request {asked} got the answer to {carried:?}");
            self.found(ViolationKind::AnswerMatchesRequest, now, what);
        }
    }

    /// A leaving instance got a request.
    pub fn worked_while_leaving(
        &mut self,
        caller: (usize, u64),
        instance: &Instance,
        left: Duration,
        now: Duration,
    ) {
        let what = format!("{} since {left:?}, from node {}", instance.id(), caller.0);
        self.found(ViolationKind::NoNewWorkAfterLeave, now, what);
    }

    /// An instance got a request of a node that had an answer of it saying that it leaves.
    pub fn sent_to_leaving(
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
        self.found(ViolationKind::LeavingHeeded, now, what);
    }

    /// An instance got so many requests in a pause that it had asked a node for.
    pub fn sent_in_pause(
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
        self.found(ViolationKind::PauseKept, now, what);
    }

    /// An instance got more than it allows of the nodes that know of its limit.
    pub fn sent_beyond_limit(
        &mut self,
        instance: &Instance,
        arrived: usize,
        allowed: f64,
        now: Duration,
    ) {
        let what = format!("{arrived} requests to {}, {allowed} allowed", instance.id());
        self.found(ViolationKind::LimitKept, now, what);
    }

    /// A node in touch has to have this configuration in force by now.
    pub fn due_in_force(&mut self, caller: (usize, u64), due: u64, now: Duration) {
        let known = self.versions.get(&caller).copied().unwrap_or(0);
        // One report for each version that a life of a node lacks.
        if known < due && self.late.insert((caller, due)) {
            let what = format!("node {} has {known} and lacks {due}", caller.0);
            self.found(ViolationKind::ConfigurationInTime, now, what);
        }
    }

    /// A node has this configuration in force.
    pub fn in_force(&mut self, caller: (usize, u64), version: u64, now: Duration) {
        let known = self.versions.entry(caller).or_default();
        if version < *known {
            let what = format!("node {} goes from {known} to {version}", caller.0);
            self.found(ViolationKind::ConfigurationMonotonic, now, what);
        } else {
            *known = version;
        }
    }
}
