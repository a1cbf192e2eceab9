//! Checks a node's view of the instances against the store. The node learns of changes by
//! lists in several parts, by its own watch and by complete lists, in any order and with
//! losses. At the revision up to which it knows the changes, its view must equal the content
//! of the store.

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

/// Number of instances.
const INSTANCES: u16 = 5;
/// Number of changes in one part of a list.
const CHANGES_PER_PART: usize = 2;

/// An instance's entry: missing, serving or draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Gone,
    Serving,
    Draining,
}

/// A step of the test.
#[derive(Clone, Debug)]
enum Step {
    /// An entry of the store is written.
    Write(u16, Entry),
    /// The coordinator sends the changes of the last revisions, this many.
    SendChanges(u64),
    /// One of the parts in transit arrives, selected by this number.
    Arrive(usize),
    /// A part in transit is lost.
    Lose(usize),
    /// The node calls the store.
    CallStore,
    /// The store's answer arrives.
    DeliverAnswer,
    /// The store compacts its history.
    CompactHistory,
}

fn step() -> impl Strategy<Value = Step> {
    let entry = prop_oneof![
        Just(Entry::Gone),
        Just(Entry::Serving),
        Just(Entry::Draining)
    ];
    prop_oneof![
        4 => (0..INSTANCES, entry).prop_map(|(number, entry)| Step::Write(number, entry)),
        3 => (1..6u64).prop_map(Step::SendChanges),
        6 => (0..100usize).prop_map(Step::Arrive),
        1 => (0..100usize).prop_map(Step::Lose),
        2 => Just(Step::CallStore),
        2 => Just(Step::DeliverAnswer),
        1 => Just(Step::CompactHistory),
    ]
}

type Change = (u16, Entry);

/// The store: all changes, in the order of revisions from 1.
#[derive(Default)]
struct Store {
    history: Vec<Change>,
    compacted: u64,
}

impl Store {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// The entries at a revision.
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
            StoreCall::Watch { revision: base, .. } if *base < self.compacted => {
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

fn id(number: u16) -> InstanceId {
    InstanceId::from(format!("i-{number}").as_str())
}

fn record((number, entry): Change) -> InstanceRecord {
    InstanceRecord {
        id: id(number),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], 100 + number).into(),
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

/// A node's view of the instances, updated as by a node.
struct View {
    directory: Directory,
    watcher: Watcher,
    assembler: ChangeListAssembler<Change>,
}

impl View {
    fn apply(&mut self, change: Change, now: Duration) {
        match change.1 {
            Entry::Gone => self.directory.remove(id(change.0).name(), now),
            _ => self.directory.upsert(record(change), now),
        }
    }

    fn received(&mut self, span: ChangeSpan, changes: Vec<Change>, now: Duration) {
        let Some(list) = self.assembler.add(span, changes) else {
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
        match self.watcher.apply_answer(answer, now) {
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
                    let number = event.object.name[2..]
                        .parse()
                        .expect("an instance's number");
                    let entry = match event.object.content {
                        _ if event.gone => Entry::Gone,
                        Ok(ObjectContent::Instance(record)) if record.draining => Entry::Draining,
                        _ => Entry::Serving,
                    };
                    self.apply((number, entry), now);
                }
            }
        }
    }

    fn entry(&self, number: u16) -> Entry {
        match self.directory.get(&id(number)).map(|known| known.presence) {
            Some(Presence::Serving) => Entry::Serving,
            Some(Presence::Draining { .. }) => Entry::Draining,
            Some(Presence::Gone { .. }) | None => Entry::Gone,
        }
    }
}

fn parts(base: u64, revision: u64, changes: &[Change]) -> Vec<(ChangeSpan, Vec<Change>)> {
    let count = u8::try_from(changes.chunks(CHANGES_PER_PART).count()).expect("few parts");
    let span = |part| ChangeSpan {
        base,
        revision,
        part,
        parts: count,
    };
    (0..count)
        .map(span)
        .zip(changes.chunks(CHANGES_PER_PART).map(<[Change]>::to_vec))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn view_at_a_revision_equals_the_store_at_that_revision(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let pace = WatcherPace { after_events: Duration::ZERO, after_nothing: Duration::ZERO, wait: Duration::from_secs(1) };
        let mut view = View {
            directory: Directory::default(),
            watcher: Watcher::new(ObjectKind::Instances, pace),
            assembler: ChangeListAssembler::default(),
        };
        let mut store = Store::default();
        let mut in_transit = Vec::new();
        // The answer reflects the store at the time of the call, but may arrive much later.
        let mut pending_answer: Option<StoreAnswer> = None;
        let mut now = Duration::ZERO;
        for step in steps {
            now += Duration::from_millis(1_500);
            match step {
                Step::Write(number, entry) => store.history.push((number, entry)),
                Step::SendChanges(back) => {
                    let revision = store.revision();
                    let base = revision.saturating_sub(back);
                    in_transit.extend(parts(base, revision, &store.changes(base, revision)));
                }
                Step::Arrive(pick) | Step::Lose(pick) if in_transit.is_empty() => {
                    let _ = pick;
                }
                Step::Arrive(pick) => {
                    let (span, changes) = in_transit.remove(pick % in_transit.len());
                    view.received(span, changes, now);
                }
                Step::Lose(pick) => {
                    in_transit.remove(pick % in_transit.len());
                }
                Step::CallStore => {
                    if let Some(call) = view.watcher.take_call(now) {
                        pending_answer = Some(store.answer(&call));
                    }
                }
                Step::DeliverAnswer => {
                    if let Some(answer) = pending_answer.take() {
                        view.answered(answer, now);
                    }
                }
                Step::CompactHistory => store.compacted = store.revision(),
            }
            if let Some(known) = view.watcher.revision() {
                let stored = store.entries_at(known);
                for number in 0..INSTANCES {
                    let expected = stored.get(&number).copied().unwrap_or(Entry::Gone);
                    prop_assert_eq!(view.entry(number), expected, "instance {} at {}", number, known);
                }
            }
        }
    }

    #[test]
    fn a_list_is_assembled_only_from_all_of_its_parts(
        count in 1..12u8,
        order in proptest::collection::vec(0..12u8, 0..40),
    ) {
        let mut assembler = ChangeListAssembler::default();
        let mut arrived = std::collections::BTreeSet::new();
        for part in order {
            let span = ChangeSpan { base: 3, revision: 9, part, parts: count };
            let list = assembler.add(span, vec![part]);
            if part >= count {
                prop_assert!(list.is_none());
                continue;
            }
            arrived.insert(part);
            let is_complete = arrived.len() == usize::from(count);
            prop_assert_eq!(list.is_some(), is_complete);
            if let Some(list) = list {
                prop_assert_eq!(list.into_changes(), (0..count).collect::<Vec<_>>());
                arrived.clear();
            }
        }
    }
}
