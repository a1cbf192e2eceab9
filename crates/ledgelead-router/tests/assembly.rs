//! A node's picture of the instances, told by lists in parts, by its own watch
//! and by whole lists, in any order and with losses: what it takes for known up
//! to a revision is what the store held at that revision.

use ledgelead_router::dialect::{
    Object, ObjectContent, ObjectEvent, ObjectKind, StoreAnswer, StoreCall,
};
use ledgelead_router::directory::{Directory, InstanceRecord, Presence};
use ledgelead_router::identity::{InstanceId, ServiceName, ZoneName};
use ledgelead_router::peers::{ChangeListAssembler, ChangeSpan};
use ledgelead_router::store::{WatchChange, Watcher, WatcherPace};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Instances that come and go.
const INSTANCES: u16 = 5;
/// Changes of one list in one part.
const A_PART: usize = 2;

/// An instance's entry: gone, serving or draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Gone,
    Serving,
    Draining,
}

/// What happens next.
#[derive(Clone, Debug)]
enum Happening {
    /// The store takes an entry.
    Write(u16, Entry),
    /// The coordinator tells all changes since some revisions ago.
    Tell(u64),
    /// A part that is on its way arrives; the number picks one.
    Arrive(usize),
    /// A part that is on its way is lost.
    Lose(usize),
    /// The node asks the store.
    Ask,
    /// The store answers.
    Answer,
    /// The store forgets its history.
    Forget,
}

fn happening() -> impl Strategy<Value = Happening> {
    let entry = prop_oneof![
        Just(Entry::Gone),
        Just(Entry::Serving),
        Just(Entry::Draining)
    ];
    prop_oneof![
        4 => (0..INSTANCES, entry).prop_map(|(place, entry)| Happening::Write(place, entry)),
        3 => (1..6u64).prop_map(Happening::Tell),
        6 => (0..100usize).prop_map(Happening::Arrive),
        1 => (0..100usize).prop_map(Happening::Lose),
        2 => Just(Happening::Ask),
        2 => Just(Happening::Answer),
        1 => Just(Happening::Forget),
    ]
}

type Change = (u16, Entry);

/// The store: every change, in the order of revisions from 1.
#[derive(Default)]
struct Store {
    history: Vec<Change>,
    forgotten: u64,
}

impl Store {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// The entries as they were at a revision.
    fn entries_at(&self, revision: u64) -> BTreeMap<u16, Entry> {
        self.history[..revision as usize].iter().copied().collect()
    }

    /// The last change of each instance between two revisions.
    fn changes(&self, base: u64, revision: u64) -> Vec<Change> {
        let between = &self.history[base as usize..revision as usize];
        let last: BTreeMap<u16, Entry> = between.iter().copied().collect();
        last.into_iter().collect()
    }

    fn answer(&self, call: &StoreCall) -> StoreAnswer {
        let revision = self.revision();
        match call {
            StoreCall::Watch { revision: base, .. } if *base < self.forgotten => {
                StoreAnswer::HistoryLost
            }
            StoreCall::Watch { revision: base, .. } => {
                let events = self.history[*base as usize..].iter();
                StoreAnswer::Events {
                    events: events.map(|change| event(*change)).collect(),
                    revision,
                }
            }
            _ => {
                let entries = self.entries_at(revision).into_iter();
                let objects = entries.filter(|(_, entry)| *entry != Entry::Gone);
                StoreAnswer::Objects {
                    objects: objects.map(object).collect(),
                    more: false,
                    revision,
                }
            }
        }
    }
}

fn id(place: u16) -> InstanceId {
    InstanceId::from(format!("i-{place}").as_str())
}

fn record((place, entry): Change) -> InstanceRecord {
    InstanceRecord {
        id: id(place),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], 100 + place).into(),
        zone: ZoneName::from("z"),
        slots: 2,
        draining: entry == Entry::Draining,
        warmup_left: Duration::ZERO,
    }
}

fn object(change: Change) -> Object {
    Object {
        name: id(change.0).to_string(),
        revision: 0,
        content: Ok(ObjectContent::Instance(record(change))),
    }
}

fn event(change: Change) -> ObjectEvent {
    ObjectEvent {
        object: object(change),
        gone: change.1 == Entry::Gone,
    }
}

/// A node's picture, kept as a node keeps it.
struct Picture {
    directory: Directory,
    watcher: Watcher,
    assembly: ChangeListAssembler<Change>,
}

impl Picture {
    fn apply(&mut self, change: Change, now: Duration) {
        match change.1 {
            Entry::Gone => self.directory.remove(id(change.0).name(), now),
            _ => self.directory.upsert(record(change), now),
        }
    }

    fn told(&mut self, span: ChangeSpan, changes: Vec<Change>, now: Duration) {
        let Some(list) = self.assembly.add(span, changes) else {
            return;
        };
        let known = self.watcher.revision();
        if !known.is_some_and(|known| list.follows(known)) {
            return;
        }
        let revision = list.revision();
        for change in list.into_changes() {
            self.apply(change, now);
        }
        self.watcher.advance(revision);
    }

    fn answered(&mut self, answer: StoreAnswer, now: Duration) {
        match self.watcher.answered(answer, now) {
            WatchChange::Unchanged => {}
            WatchChange::All(objects) => {
                let records: Vec<InstanceRecord> = objects
                    .into_iter()
                    .filter_map(|object| match object.content {
                        Ok(ObjectContent::Instance(record)) => Some(record),
                        _ => None,
                    })
                    .collect();
                self.directory.replace_all(records, now);
            }
            WatchChange::Events(events) => {
                for event in events {
                    let place = event.object.name[2..]
                        .parse()
                        .expect("an instance's number");
                    let entry = match event.object.content {
                        _ if event.gone => Entry::Gone,
                        Ok(ObjectContent::Instance(record)) if record.draining => Entry::Draining,
                        _ => Entry::Serving,
                    };
                    self.apply((place, entry), now);
                }
            }
        }
    }

    fn entry(&self, place: u16) -> Entry {
        match self.directory.get(&id(place)).map(|known| known.presence) {
            Some(Presence::Serving) => Entry::Serving,
            Some(Presence::Draining { .. }) => Entry::Draining,
            Some(Presence::Gone { .. }) | None => Entry::Gone,
        }
    }
}

fn parts(base: u64, revision: u64, changes: &[Change]) -> Vec<(ChangeSpan, Vec<Change>)> {
    let count = u8::try_from(changes.chunks(A_PART).count()).expect("few parts");
    let span = |part| ChangeSpan {
        base,
        revision,
        part,
        parts: count,
    };
    (0..count)
        .map(span)
        .zip(changes.chunks(A_PART).map(<[Change]>::to_vec))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn what_is_known_up_to_a_revision_is_what_the_store_held(
        happenings in proptest::collection::vec(happening(), 1..80),
    ) {
        let pace = WatcherPace { after_events: Duration::ZERO, after_nothing: Duration::ZERO, wait: Duration::from_secs(1) };
        let mut picture = Picture {
            directory: Directory::default(),
            watcher: Watcher::new(ObjectKind::Instances, pace),
            assembly: ChangeListAssembler::default(),
        };
        let mut store = Store::default();
        let mut on_the_way = Vec::new();
        // The store answers as things are when it is asked; the answer may be
        // long on its way.
        let mut asked: Option<StoreAnswer> = None;
        let mut now = Duration::ZERO;
        for happening in happenings {
            now += Duration::from_millis(1_500);
            match happening {
                Happening::Write(place, entry) => store.history.push((place, entry)),
                Happening::Tell(back) => {
                    let revision = store.revision();
                    let base = revision.saturating_sub(back);
                    on_the_way.extend(parts(base, revision, &store.changes(base, revision)));
                }
                Happening::Arrive(pick) | Happening::Lose(pick) if on_the_way.is_empty() => {
                    let _ = pick;
                }
                Happening::Arrive(pick) => {
                    let (span, changes) = on_the_way.remove(pick % on_the_way.len());
                    picture.told(span, changes, now);
                }
                Happening::Lose(pick) => {
                    on_the_way.remove(pick % on_the_way.len());
                }
                Happening::Ask => {
                    if let Some(call) = picture.watcher.take_call(now) {
                        asked = Some(store.answer(&call));
                    }
                }
                Happening::Answer => {
                    if let Some(answer) = asked.take() {
                        picture.answered(answer, now);
                    }
                }
                Happening::Forget => store.forgotten = store.revision(),
            }
            if let Some(known) = picture.watcher.revision() {
                let held = store.entries_at(known);
                for place in 0..INSTANCES {
                    let expected = held.get(&place).copied().unwrap_or(Entry::Gone);
                    prop_assert_eq!(picture.entry(place), expected, "instance {} at {}", place, known);
                }
            }
        }
    }

    #[test]
    fn a_list_is_whole_or_nothing(
        count in 1..12u8,
        order in proptest::collection::vec(0..12u8, 0..40),
    ) {
        let mut assembly = ChangeListAssembler::default();
        let mut arrived = std::collections::BTreeSet::new();
        for part in order {
            let span = ChangeSpan { base: 3, revision: 9, part, parts: count };
            let list = assembly.add(span, vec![part]);
            if part >= count {
                prop_assert!(list.is_none());
                continue;
            }
            arrived.insert(part);
            let whole = arrived.len() == usize::from(count);
            prop_assert_eq!(list.is_some(), whole);
            if let Some(list) = list {
                prop_assert_eq!(list.into_changes(), (0..count).collect::<Vec<_>>());
                arrived.clear();
            }
        }
    }
}
