//! One watch: list, then wait for changes, over and over.
//!
//! A history that is forgotten, a watch that is cut, refusals and lost answers
//! are ordinary: they lead back to a list or to the next call after a pause.

use crate::Timestamp;
use crate::dialect::{Object, ObjectEvent, ObjectKind, StoreAnswer, StoreCall};
use std::time::Duration;

/// Pause between a node's first list and its first watch: if there is a
/// coordinator, its heartbeat has come by then, and the watch is suspended.
const FIRST_WATCH_PAUSE: Duration = Duration::from_millis(1_200);
/// How long the store may wait for a change that another node has seen there
/// already, and after a failed call, whose successor only has to show that the
/// store serves.
const PROMPT_WAIT: Duration = Duration::from_millis(50);
/// How long the store may wait for a change in a call that has to confirm a first list:
/// requests wait for its answer.
const CONFIRMING_WAIT: Duration = Duration::from_millis(1);
/// Pause between an answer and a call for what another node has seen; many
/// changes in a row are told by few calls.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(400);

/// How often a watch calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatcherPace {
    /// Pause between an answer with changes and the next call.
    pub after_events: Duration,
    /// Pause between an answer without changes and the next call.
    pub after_nothing: Duration,
    /// How long the store may wait for a change.
    pub wait: Duration,
}

/// Pauses between calls that fail; each is twice the one before.
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

/// What a watch has learned.
#[derive(Debug)]
pub enum WatchChange {
    /// All objects of the kind.
    All(Vec<Object>),
    /// Changes since.
    Events(Vec<ObjectEvent>),
    /// Nothing new.
    Unchanged,
}

#[derive(Debug)]
enum Position {
    /// A list is due, with the pages that are already there.
    Listing {
        pages: Vec<Object>,
        after: Option<String>,
        revision: Option<u64>,
    },
    /// Changes after this revision are awaited.
    Watching { revision: u64 },
}

/// One watch.
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
    /// When the call that is out was made, and how long the store may wait.
    call: Option<(Timestamp, Duration)>,
    /// When the first page of the present list was asked for.
    list_began: Timestamp,
    as_of: Option<Timestamp>,
    /// Whether changes are told by another node, so that the store isn't asked.
    paused: bool,
    /// Whether the store is asked once although the watch is paused.
    catch_up_requested: bool,
    /// Whether the next call is to tell at once how things are.
    prompt: bool,
    /// Whether requests wait for the next answer, since the first list may be stale.
    confirming: bool,
    /// When the first watch is due that no request waits for.
    first_watch: Timestamp,
    /// Whether no list is complete yet.
    is_first: bool,
    /// Whether the first list may be some seconds old.
    first_may_be_stale: bool,
    /// Whether the list that is being read may be some seconds old.
    reads_stale: bool,
    /// Whether the call that is out was made of another node.
    is_call_to_peer: bool,
    /// Whether a list took more than one page.
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
            prompt: false,
            confirming: false,
            first_watch: Timestamp::ZERO,
            is_first: true,
            first_may_be_stale: true,
            reads_stale: false,
            is_call_to_peer: false,
            is_paged: false,
        }
    }

    /// Whether the first list, if it isn't complete, may be some seconds old. One that is
    /// being read and may be, though it must not, begins again.
    pub fn set_first_may_be_stale(&mut self, may_be: bool) {
        self.first_may_be_stale = may_be;
        let is_read = matches!(self.position, Position::Listing { .. });
        if !may_be && self.reads_stale && is_read && !self.in_flight {
            self.position = Position::start();
        }
    }

    /// Whether a list took more than one page.
    pub fn is_paged(&self) -> bool {
        self.is_paged
    }

    /// Whether the first list goes on after some pages, and may be some seconds old.
    pub fn is_paging_stale(&self) -> bool {
        self.is_paged && self.is_first && self.reads_stale
    }

    /// Whether a list is complete.
    pub fn has_listed(&self) -> bool {
        !self.is_first
    }

    /// The kind that is watched.
    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// The pace.
    pub fn pace(&self) -> WatcherPace {
        self.pace
    }

    /// Changes the pace; a call that is out keeps the old one.
    pub fn set_pace(&mut self, pace: WatcherPace) {
        self.pace = pace;
    }

    /// Changes the pauses after failed calls.
    pub fn set_backoff(&mut self, backoff: Backoff) {
        self.backoff = backoff;
    }

    /// The next call is due now, if none is out.
    pub fn call_now(&mut self, now: Timestamp) {
        self.next_call = self.next_call.min(now);
    }

    /// The next call is due now, if none is out, and is not to wait for long for
    /// a change.
    pub fn call_now_with_short_wait(&mut self, now: Timestamp) {
        self.prompt = true;
        self.call_now(now);
    }

    /// Asks the store at once for what has changed since a first list that may be stale.
    /// Returns when that was asked: a watch that is out is answered as soon as there is a
    /// change.
    pub fn confirm(&mut self, now: Timestamp) -> Timestamp {
        match self.call {
            Some((began, _)) if self.in_flight => began,
            _ => {
                self.confirming = true;
                self.call_now(now);
                now
            }
        }
    }

    /// The next call is not due before this time, if none is out.
    pub fn defer(&mut self, until: Timestamp) {
        self.next_call = self.next_call.max(until);
    }

    /// The revision that is watched from, once the list is complete.
    pub fn revision(&self) -> Option<u64> {
        match self.position {
            Position::Watching { revision } => Some(revision),
            Position::Listing { .. } => None,
        }
    }

    /// A paused watch asks only when it is catch_up_requested or told to list once more.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
        self.catch_up_requested &= paused;
    }

    /// Whether the watch is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// A paused watch asks the store once for what it has missed, until the
    /// store has answered.
    pub fn request_catch_up(&mut self, now: Timestamp) {
        let rested = self.rests();
        let already = self.catch_up_requested;
        self.catch_up_requested = self.paused;
        if self.failures > 0 || already {
            return;
        }
        match self.last_answer {
            Some(last) if rested => self.next_call = now.max(last + CATCH_UP_PAUSE),
            _ => self.call_now(now),
        }
    }

    /// Another node has told all changes up to this revision.
    pub fn advance(&mut self, told: u64) {
        if let Position::Watching { revision } = &mut self.position {
            *revision = (*revision).max(told);
        }
    }

    /// Lists once more, as soon as no call is out.
    pub fn refresh(&mut self, now: Timestamp) {
        self.position = Position::start();
        self.next_call = now;
    }

    /// The call that is due is made of another node.
    pub fn mark_call_to_peer(&mut self) {
        self.is_call_to_peer = true;
    }

    /// Another node has sent the whole list, with all changes up to a revision.
    pub fn listed_by_peer(&mut self, revision: u64, now: Timestamp) {
        let was_asked = std::mem::take(&mut self.is_call_to_peer);
        if self.in_flight && !was_asked && matches!(self.position, Position::Listing { .. }) {
            // The store's own list is on its way.
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

    /// The list that another node was asked for has not come; the next call begins anew.
    pub fn restart_list(&mut self, at: Timestamp) {
        if std::mem::take(&mut self.is_call_to_peer) {
            self.in_flight = false;
            self.position = Position::start();
            self.next_call = at;
        }
    }

    fn rests(&self) -> bool {
        let is_asked = self.catch_up_requested || self.confirming;
        self.paused && !is_asked && matches!(self.position, Position::Watching { .. })
    }

    /// When the store last told the state of this kind.
    pub fn last_answer(&self) -> Option<Timestamp> {
        self.last_answer
    }

    /// All that the store acknowledged before this time has been told by its
    /// own answers. Unknown after a list that may be stale.
    pub fn as_of(&self) -> Option<Timestamp> {
        self.as_of
    }

    /// When the next call is due, if none is out.
    pub fn next_call(&self) -> Option<Timestamp> {
        (!self.in_flight && !self.rests()).then_some(self.next_call)
    }

    /// The next call, if it is due. The caller makes it.
    pub fn take_call(&mut self, now: Timestamp) -> Option<StoreCall> {
        if self.in_flight || self.rests() || self.next_call > now {
            return None;
        }
        self.in_flight = true;
        if self.paused && self.kind.is_single() {
            // A list tells one object at once, also where the changes since
            // this node's last call are forgotten.
            self.position = Position::start();
        }
        let wait = if self.confirming {
            CONFIRMING_WAIT
        } else if self.paused || self.failures > 0 || self.prompt {
            PROMPT_WAIT
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

    /// Whether the list that is due may be stale. The changes since are read by
    /// the watch that follows, or relayed by the coordinator; what has to be
    /// exact (a campaign) is read again.
    fn lists_stale(&self) -> bool {
        self.is_first && self.first_may_be_stale
    }

    /// The call that is out was broken off; the next is due at once.
    pub fn interrupt(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.next_call = now;
    }

    /// The call failed or was refused.
    pub fn failed(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.next_call = now + self.retry_pause();
        self.failures += 1;
    }

    /// The store answered.
    pub fn answered(&mut self, answer: StoreAnswer, now: Timestamp) -> WatchChange {
        match answer {
            StoreAnswer::Objects {
                objects,
                more,
                revision,
            } => self.listed(objects, more, revision, now),
            StoreAnswer::Events { events, revision } => self.changed(events, revision, now),
            StoreAnswer::HistoryLost | StoreAnswer::Missing => {
                self.succeeded(now);
                self.position = Position::start();
                WatchChange::Unchanged
            }
            StoreAnswer::Refused
            | StoreAnswer::Conflict
            | StoreAnswer::Written(_)
            | StoreAnswer::Unreadable(_) => {
                self.failed(now);
                WatchChange::Unchanged
            }
        }
    }

    fn listed(
        &mut self,
        objects: Vec<Object>,
        more: bool,
        revision: u64,
        now: Timestamp,
    ) -> WatchChange {
        self.succeeded(now);
        let Position::Listing {
            pages,
            after,
            revision: first,
        } = &mut self.position
        else {
            return WatchChange::Unchanged;
        };
        // Changes between two pages are told by the watch, so it continues
        // from the revision of the oldest page.
        let start = first.map_or(revision, |first| first.min(revision));
        *first = Some(start);
        // A name that can't be read is no place to continue from.
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
            // A page without a new name ends the list. What it didn't get to is not gone.
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

    fn changed(&mut self, events: Vec<ObjectEvent>, revision: u64, now: Timestamp) -> WatchChange {
        let confirms = self.confirming;
        self.succeeded(now);
        let Position::Watching { revision: known } = &mut self.position else {
            return WatchChange::Unchanged;
        };
        self.as_of = self.call.map(|(began, wait)| {
            // Without a change the store has waited to the end.
            let waited = events.is_empty() && began + wait <= now;
            if waited { began + wait } else { began }
        });
        if revision < *known {
            // Another node has told later changes meanwhile, and all before them.
            return WatchChange::Unchanged;
        }
        *known = revision;
        let pause = match events.is_empty() {
            true => self.pace.after_nothing,
            false => self.pace.after_events,
        };
        self.next_call = now + pause;
        if confirms {
            // A coordinator may be heard by then, as after any first list.
            self.next_call = self.next_call.max(self.first_watch);
        }
        match events.is_empty() {
            true => WatchChange::Unchanged,
            false => WatchChange::Events(events),
        }
    }

    fn succeeded(&mut self, now: Timestamp) {
        self.in_flight = false;
        self.failures = 0;
        self.catch_up_requested = false;
        self.prompt = false;
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
