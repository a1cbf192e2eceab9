//! Watches one kind of objects: lists them, then repeatedly waits for changes.
//!
//! A compacted history, an interrupted watch, refusals and lost answers are expected. They
//! lead to a new list, or to the next call after a pause.

use crate::Timestamp;
use crate::dialect::{Object, ObjectEvent, ObjectKind, StoreAnswer, StoreCall};
use std::time::Duration;

/// Pause between a node's first list and its first watch. If there is a coordinator, its
/// heartbeat arrives in this time and the watch is suspended.
const FIRST_WATCH_PAUSE: Duration = Duration::from_millis(1_200);
/// How long the store may wait for a change that another node has already seen there; also
/// after a failed call, when the next one only has to show that the store serves.
const SHORT_WAIT: Duration = Duration::from_millis(50);
/// How long the store may wait for a change in a call that confirms a first list, while
/// requests wait for its answer.
const CONFIRMING_WAIT: Duration = Duration::from_millis(1);
/// Minimum interval between an answer and a call to catch up with changes that another node
/// has seen, so that a few calls cover many changes in a row.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(400);

/// Intervals and wait times of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherPace {
    /// Pause after an answer with changes.
    pub after_events: Duration,
    /// Pause after an answer without changes.
    pub after_nothing: Duration,
    /// How long the store may wait for a change before it answers.
    pub wait: Duration,
}

/// Pauses after failed calls, doubled with each failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The first pause.
    pub first: Duration,
    /// The longest pause.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            first: Duration::from_millis(120),
            max: Duration::from_secs(1),
        }
    }
}

/// The result of an answer for the caller.
#[derive(Debug)]
pub enum WatchChange {
    /// A complete list of the objects of the kind.
    All(Vec<Object>),
    /// Changes since the last answer.
    Events(Vec<ObjectEvent>),
    /// No changes.
    Unchanged,
}

#[derive(Debug)]
enum Position {
    /// Reading a list; holds the pages that have arrived.
    Listing {
        pages: Vec<Object>,
        after: Option<String>,
        revision: Option<u64>,
    },
    /// Waiting for changes after this revision.
    Watching { revision: u64 },
}

/// The watch of one kind of objects.
#[derive(Debug)]
pub struct Watcher {
    kind: ObjectKind,
    pace: WatcherPace,
    position: Position,
    in_flight: bool,
    next_call: Timestamp,
    failures: u32,
    backoff: Backoff,
    last_answer: Option<Timestamp>,
    /// Start of the call in flight, and how long the store may wait.
    call: Option<(Timestamp, Duration)>,
    /// When the first page of the current list was requested.
    list_began: Timestamp,
    as_of: Option<Timestamp>,
    /// Whether another node reports the changes, so that the store is not called.
    paused: bool,
    /// Whether a single call is due although the watch is paused.
    catch_up_requested: bool,
    /// Whether the next call waits only `SHORT_WAIT` for a change, so that its answer shows the
    /// current state at once.
    uses_short_wait: bool,
    /// Whether the next call has to confirm a first list that may be stale, while requests
    /// wait.
    confirming: bool,
    /// Earliest time of the first watch, unless requests wait for it.
    first_watch: Timestamp,
    /// Whether no list has been completed yet.
    is_first: bool,
    /// Whether the first list may be a few seconds old.
    first_may_be_stale: bool,
    /// Whether the list that is being read may be a few seconds old.
    reads_stale: bool,
    /// Whether the call in flight goes to another node.
    is_call_to_peer: bool,
    /// Whether any list had more than one page.
    is_paged: bool,
}

impl Watcher {
    /// A watch that begins with a list.
    pub fn new(kind: ObjectKind, pace: WatcherPace) -> Watcher {
        Watcher {
            kind,
            pace,
            position: Position::start(),
            in_flight: false,
            next_call: Timestamp::ZERO,
            failures: 0,
            backoff: Backoff::default(),
            last_answer: None,
            call: None,
            list_began: Timestamp::ZERO,
            as_of: None,
            paused: false,
            catch_up_requested: false,
            uses_short_wait: false,
            confirming: false,
            first_watch: Timestamp::ZERO,
            is_first: true,
            first_may_be_stale: true,
            reads_stale: false,
            is_call_to_peer: false,
            is_paged: false,
        }
    }

    /// Sets whether the first list may be a few seconds old, unless it is complete. A list that
    /// is being read in the other way is started again.
    pub fn set_first_may_be_stale(&mut self, may_be: bool) {
        self.first_may_be_stale = may_be;
        let is_read = matches!(self.position, Position::Listing { .. });
        if self.is_first && may_be != self.reads_stale && is_read && !self.in_flight {
            self.position = Position::start();
        }
    }

    /// Whether any list had more than one page.
    pub fn is_paged(&self) -> bool {
        self.is_paged
    }

    /// Whether a first list with several pages is being read and may be a few seconds old.
    pub fn is_paging_stale(&self) -> bool {
        self.is_paged && self.is_first && self.reads_stale
    }

    /// The objects of the first list read so far, while further pages are missing.
    pub fn first_pages(&self) -> Option<&[Object]> {
        match &self.position {
            Position::Listing {
                pages,
                after: Some(_),
                ..
            } if self.is_first => Some(pages),
            _ => None,
        }
    }

    /// Whether a list has been completed.
    pub fn has_listed(&self) -> bool {
        !self.is_first
    }

    /// The watched kind.
    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// The intervals and wait times.
    pub fn pace(&self) -> WatcherPace {
        self.pace
    }

    /// Changes the intervals and wait times; a call in flight keeps the old ones.
    pub fn set_pace(&mut self, pace: WatcherPace) {
        self.pace = pace;
    }

    /// Changes the pauses after failed calls.
    pub fn set_backoff(&mut self, backoff: Backoff) {
        self.backoff = backoff;
    }

    /// Makes the next call due now, unless one is in flight.
    pub fn call_now(&mut self, now: Timestamp) {
        self.next_call = self.next_call.min(now);
    }

    /// Makes the next call due now, unless one is in flight, and limits its wait for a change.
    pub fn call_now_with_short_wait(&mut self, now: Timestamp) {
        self.uses_short_wait = true;
        self.call_now(now);
    }

    /// Requests the changes since a first list that may be stale, which confirms the list.
    /// Returns when they were requested. A watch in flight is enough, since the store answers
    /// it as soon as there is a change.
    pub fn request_confirmation(&mut self, now: Timestamp) -> Timestamp {
        match self.call {
            Some((began, _)) if self.in_flight => began,
            _ => {
                self.confirming = true;
                self.call_now(now);
                now
            }
        }
    }

    /// Delays the next call until this time, unless one is in flight.
    pub fn defer(&mut self, until: Timestamp) {
        self.next_call = self.next_call.max(until);
    }

    /// The revision after which changes are watched; none while a list is due or being read.
    pub fn revision(&self) -> Option<u64> {
        match self.position {
            Position::Watching { revision } => Some(revision),
            Position::Listing { .. } => None,
        }
    }

    /// Sets whether the watch is paused. While paused, calls are made only for a list or after
    /// `request_catch_up`.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
        self.catch_up_requested &= paused;
    }

    /// Whether the watch is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Requests a call while the watch is paused, to read missed changes. A failed call is
    /// repeated until the store has answered.
    pub fn request_catch_up(&mut self, now: Timestamp) {
        let was_idle = self.is_idle();
        let already = self.catch_up_requested;
        self.catch_up_requested = self.paused;
        if self.failures > 0 || already {
            return;
        }
        match self.last_answer {
            Some(last) if was_idle => self.next_call = now.max(last + CATCH_UP_PAUSE),
            _ => self.call_now(now),
        }
    }

    /// Whether a single call is due although the watch is paused.
    pub fn is_catch_up_requested(&self) -> bool {
        self.catch_up_requested
    }

    /// The call in flight, to be made again on another connection. It waits only a short time
    /// for a change.
    pub fn repeat_call(&mut self, call: &StoreCall, now: Timestamp) -> StoreCall {
        let mut again = call.clone();
        let mut call_wait = Duration::ZERO;
        if let StoreCall::Watch { wait, .. } = &mut again {
            *wait = SHORT_WAIT.min(*wait);
            call_wait = *wait;
        }
        self.call = Some((now, call_wait));
        again
    }

    /// Another node has reported all changes up to this revision.
    pub fn advance(&mut self, reported: u64) {
        if let Position::Watching { revision } = &mut self.position {
            *revision = (*revision).max(reported);
        }
    }

    /// Starts a new list as soon as no call is in flight.
    pub fn refresh(&mut self, now: Timestamp) {
        self.position = Position::start();
        self.next_call = now;
    }

    /// The due call is made to another node instead of the store.
    pub fn mark_call_to_peer(&mut self) {
        self.is_call_to_peer = true;
    }

    /// Another node has sent the complete list, including all changes up to a revision.
    pub fn listed_by_peer(&mut self, revision: u64, now: Timestamp) {
        let was_asked = std::mem::take(&mut self.is_call_to_peer);
        if self.in_flight && !was_asked && matches!(self.position, Position::Listing { .. }) {
            // The store's own list is in flight.
            return;
        }
        self.position = Position::Watching { revision };
        if self.is_first {
            self.is_first = false;
            self.first_watch = now + FIRST_WATCH_PAUSE;
        }
        if was_asked {
            self.in_flight = false;
            self.next_call = self.first_watch.max(now);
        }
    }

    /// The list requested from another node has not arrived; the next call starts a new one.
    pub fn restart_list(&mut self, at: Timestamp) {
        if std::mem::take(&mut self.is_call_to_peer) {
            self.in_flight = false;
            self.position = Position::start();
            self.next_call = at;
        }
    }

    fn is_idle(&self) -> bool {
        let is_asked = self.catch_up_requested || self.confirming;
        self.paused && !is_asked && matches!(self.position, Position::Watching { .. })
    }

    /// When the store last answered a call for this kind.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.last_answer
    }

    /// The store's own answers cover everything that it acknowledged before this time. None
    /// after a list that may be stale.
    pub fn as_of(&self) -> Option<Timestamp> {
        self.as_of
    }

    /// When the next call is due; none while one is in flight or the watch is paused.
    pub fn next_call(&self) -> Option<Timestamp> {
        (!self.in_flight && !self.is_idle()).then_some(self.next_call)
    }

    /// The next call, if it is due. The caller sends it.
    pub fn take_call(&mut self, now: Timestamp) -> Option<StoreCall> {
        if self.in_flight || self.is_idle() || self.next_call > now {
            return None;
        }
        self.in_flight = true;
        if self.paused && self.kind.is_single() {
            // A list returns the single object at once, even if the changes since this node's
            // last call are compacted.
            self.position = Position::start();
        }
        let wait = if self.confirming {
            CONFIRMING_WAIT
        } else if self.paused || self.failures > 0 || self.uses_short_wait {
            SHORT_WAIT
        } else {
            self.pace.wait
        };
        self.call = Some((now, wait));
        Some(match &self.position {
            Position::Listing { after, .. } => {
                if after.is_none() {
                    self.list_began = now;
                    self.reads_stale = self.lists_stale();
                }
                StoreCall::List {
                    kind: self.kind,
                    after: after.clone(),
                    stale: self.reads_stale,
                }
            }
            Position::Watching { revision } => StoreCall::Watch {
                kind: self.kind,
                revision: *revision,
                wait,
            },
        })
    }

    /// Whether the due list may be stale. Later changes are read by the watch that follows, or
    /// relayed by the coordinator; anything that must be exact (before a campaign) is read
    /// again.
    fn lists_stale(&self) -> bool {
        self.is_first && self.first_may_be_stale
    }

    /// Records that the call in flight was cancelled; the next one is due at once.
    pub fn record_cancellation(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.next_call = now;
    }

    /// Records that the call failed or was refused.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.next_call = now + self.retry_pause();
        self.failures += 1;
    }

    /// Applies the store's answer to the call in flight.
    pub fn apply_answer(&mut self, answer: StoreAnswer, now: Timestamp) -> WatchChange {
        match answer {
            StoreAnswer::Objects {
                objects,
                more,
                revision,
            } => self.apply_page(objects, more, revision, now),
            StoreAnswer::Events { events, revision } => self.apply_events(events, revision, now),
            StoreAnswer::HistoryLost | StoreAnswer::Missing => {
                self.record_success(now);
                self.position = Position::start();
                WatchChange::Unchanged
            }
            StoreAnswer::Refused
            | StoreAnswer::Conflict
            | StoreAnswer::Written(_)
            | StoreAnswer::Unreadable(_) => {
                self.record_failure(now);
                WatchChange::Unchanged
            }
        }
    }

    fn apply_page(
        &mut self,
        objects: Vec<Object>,
        more: bool,
        revision: u64,
        now: Timestamp,
    ) -> WatchChange {
        self.record_success(now);
        let Position::Listing {
            pages,
            after,
            revision: first,
        } = &mut self.position
        else {
            return WatchChange::Unchanged;
        };
        // The watch reports changes between two pages, so it continues from the revision of
        // the oldest page.
        let start = first.map_or(revision, |first| first.min(revision));
        *first = Some(start);
        // An object without a readable name cannot be used as the start of the next page.
        let named = |object: &&Object| !object.name.is_empty();
        let last = objects.iter().rfind(named).map(|object| &object.name);
        let is_stuck = !objects.is_empty() && (last.is_none() || last == after.as_ref());
        *after = last.cloned();
        pages.extend(objects);
        if more && !is_stuck {
            self.is_paged = true;
            return WatchChange::Unchanged;
        }
        let all = std::mem::take(pages);
        self.position = Position::Watching { revision: start };
        if more && !self.is_first {
            // A page without a new name ends the list. Objects that were not reached are not
            // removed.
            let event = |object| ObjectEvent {
                object,
                gone: false,
            };
            return WatchChange::Events(all.into_iter().map(event).collect());
        }
        self.as_of = (!self.reads_stale && !more).then_some(self.list_began);
        if self.is_first {
            self.first_watch = now + FIRST_WATCH_PAUSE;
            self.next_call = self.first_watch;
        }
        self.is_first = false;
        WatchChange::All(all)
    }

    fn apply_events(
        &mut self,
        events: Vec<ObjectEvent>,
        revision: u64,
        now: Timestamp,
    ) -> WatchChange {
        let confirms = self.confirming;
        self.record_success(now);
        let Position::Watching { revision: known } = &mut self.position else {
            return WatchChange::Unchanged;
        };
        self.as_of = self.call.map(|(began, wait)| {
            // Without a change the store has waited for the full time.
            let waited = events.is_empty() && began + wait <= now;
            if waited { began + wait } else { began }
        });
        if revision < *known {
            // Another node has reported later changes in the meantime, and all before them.
            return WatchChange::Unchanged;
        }
        *known = revision;
        let pause = match events.is_empty() {
            true => self.pace.after_nothing,
            false => self.pace.after_events,
        };
        self.next_call = now + pause;
        if confirms {
            // A heartbeat of a coordinator may arrive by then, as after any first list.
            self.next_call = self.next_call.max(self.first_watch);
        }
        match events.is_empty() {
            true => WatchChange::Unchanged,
            false => WatchChange::Events(events),
        }
    }

    fn record_success(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.failures = 0;
        self.catch_up_requested = false;
        self.uses_short_wait = false;
        self.confirming = false;
        self.last_answer = Some(now);
        self.next_call = now;
    }

    fn retry_pause(&self) -> Duration {
        let Backoff { first, max } = self.backoff;
        first.saturating_mul(1 << self.failures.min(6)).min(max)
    }
}

impl Position {
    fn start() -> Position {
        Position::Listing {
            pages: Vec::new(),
            after: None,
            revision: None,
        }
    }
}
