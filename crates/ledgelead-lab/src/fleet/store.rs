//! A simulated store with object revisions, watches and conditional writes.

use ledgelead_router::configuration::Configuration;
use ledgelead_router::dialect::{
    Object, ObjectContent, ObjectEvent, ObjectKind, StoreAnswer, StoreCall, WrittenContent,
};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::io::ExchangeId;
use ledgelead_router::validation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Default maximum number of objects per page of a list.
pub const PAGE_OBJECTS: usize = 500;

/// Interval, in revisions, at which the view for stale lists is refreshed.
const STALE_REVISIONS: u64 = 12;

/// A watch that waits for changes.
#[derive(Clone, Debug)]
pub struct PendingWatch {
    /// The node index and its incarnation.
    pub caller: (usize, u64),
    /// Its exchange.
    pub exchange: ExchangeId,
    /// The watched kind.
    pub kind: ObjectKind,
    /// The watch reports changes after this revision.
    pub revision: u64,
}

/// Result of a store call.
#[derive(Debug)]
pub enum Outcome {
    /// An immediate answer.
    Answer(StoreAnswer),
    /// The watch waits for changes.
    Wait {
        /// The watched kind.
        kind: ObjectKind,
        /// The watch reports changes after this revision.
        revision: u64,
        /// Maximum wait time.
        wait: Duration,
    },
}

/// Objects at an earlier revision, which lists that accept stale data return.
#[derive(Clone)]
struct StaleView {
    objects: BTreeMap<(ObjectKind, String), Object>,
    revision: u64,
}

/// A snapshot of the store for a later restore.
#[derive(Clone)]
pub struct StoreSnapshot {
    revision: u64,
    objects: BTreeMap<(ObjectKind, String), Object>,
    history: Vec<Change>,
    compacted_revision: u64,
    stale_view: Option<StaleView>,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: ObjectKind,
    event: ObjectEvent,
}

/// The simulated store.
#[derive(Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<(ObjectKind, String), Object>,
    history: Vec<Change>,
    compacted_revision: u64,
    stale_view: Option<StaleView>,
    page_objects: usize,
    /// Increases each time the store is restored from a snapshot.
    era: u64,
    /// Watches that wait for changes.
    pub pending_watches: Vec<PendingWatch>,
}

impl Store {
    /// Creates an empty store that lists up to `page_objects` objects per page.
    pub fn with_page_size(page_objects: usize) -> Store {
        Store {
            page_objects,
            ..Store::default()
        }
    }

    /// The current era.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Takes a snapshot of the current state.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            revision: self.revision,
            objects: self.objects.clone(),
            history: self.history.clone(),
            compacted_revision: self.compacted_revision,
            stale_view: self.stale_view.clone(),
        }
    }

    /// Replaces the state with a snapshot and increments the era.
    pub fn restore(&mut self, snapshot: StoreSnapshot) {
        self.revision = snapshot.revision;
        self.objects = snapshot.objects;
        self.history = snapshot.history;
        self.compacted_revision = snapshot.compacted_revision;
        self.stale_view = snapshot.stale_view;
        self.pending_watches.clear();
        self.era += 1;
    }

    /// Names of all objects of a kind.
    pub fn names(&self, kind: ObjectKind) -> BTreeSet<String> {
        let of_kind = self.objects.keys().filter(|(of, _)| *of == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Writes a configuration on behalf of the operator.
    pub fn configure(&mut self, configuration: Configuration) {
        let content = ObjectContent::Configuration(configuration);
        self.put(ObjectKind::Configuration, "main", content);
    }

    /// Writes the entry of an instance. An unchanged record, such as a mere heartbeat, creates
    /// no revision.
    pub fn register(&mut self, record: InstanceRecord) {
        let name = record.id.name().to_owned();
        let known = self.objects.get(&(ObjectKind::Instances, name.clone()));
        let same = known.is_some_and(|object| {
            matches!(&object.content, Ok(ObjectContent::Instance(known)) if *known == record)
        });
        if same {
            return;
        }
        self.put(
            ObjectKind::Instances,
            &name,
            ObjectContent::Instance(record),
        );
    }

    /// Removes the entry of an instance.
    pub fn remove_instance(&mut self, name: &str) {
        let key = (ObjectKind::Instances, name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.history.push(Change {
                revision: self.revision,
                kind: ObjectKind::Instances,
                event: ObjectEvent { object, gone: true },
            });
        }
    }

    /// Creates or replaces an object with unreadable content, as a foreign writer would.
    pub fn write_unreadable(&mut self, kind: ObjectKind, name: &str) {
        self.write(kind, name, Err("no such field".to_owned()));
    }

    /// Drops the change history, so that pending watches lose their position in it.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    fn put(&mut self, kind: ObjectKind, name: &str, content: ObjectContent) -> Object {
        let object = self.write(kind, name, Ok(content));
        self.assert_within_bounds(kind, &object);
        object
    }

    /// Asserts that a store adapter would accept what nodes and instances write.
    fn assert_within_bounds(&self, kind: ObjectKind, object: &Object) {
        let mut checked = object.clone();
        validation::check(kind, &mut checked);
        if let Err(finding) = checked.content {
            panic!("{}: {finding}", object.name);
        }
    }

    fn write(
        &mut self,
        kind: ObjectKind,
        name: &str,
        content: Result<ObjectContent, String>,
    ) -> Object {
        if self.revision.is_multiple_of(STALE_REVISIONS) {
            self.stale_view = Some(StaleView {
                objects: self.objects.clone(),
                revision: self.revision,
            });
        }
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            content,
        };
        self.objects.insert((kind, name.to_owned()), object.clone());
        self.history.push(Change {
            revision: self.revision,
            kind,
            event: ObjectEvent {
                object: object.clone(),
                gone: false,
            },
        });
        object
    }

    /// Carries out a call.
    pub fn call(&mut self, call: &StoreCall) -> Outcome {
        match call {
            StoreCall::List { kind, after, stale } => {
                Outcome::Answer(self.list(*kind, after.as_deref(), *stale))
            }
            StoreCall::Watch {
                kind,
                revision,
                wait,
            } => match self.changes(*kind, *revision) {
                Some(answer) => Outcome::Answer(answer),
                None => Outcome::Wait {
                    kind: *kind,
                    revision: *revision,
                    wait: *wait,
                },
            },
            StoreCall::Create { name, content } => {
                let exists = self.objects.contains_key(&(content.kind(), name.clone()));
                Outcome::Answer(if exists {
                    StoreAnswer::Conflict
                } else {
                    StoreAnswer::Written(self.put(content.kind(), name, object_content(content)))
                })
            }
            StoreCall::Replace {
                name,
                revision,
                content,
            } => Outcome::Answer(self.replace(name, *revision, content)),
        }
    }

    fn replace(
        &mut self,
        name: &str,
        revision: Option<u64>,
        content: &WrittenContent,
    ) -> StoreAnswer {
        let key = (content.kind(), name.to_owned());
        let Some(object) = self.objects.get(&key) else {
            return StoreAnswer::Missing;
        };
        if revision.is_some_and(|revision| revision != object.revision) {
            return StoreAnswer::Conflict;
        }
        StoreAnswer::Written(self.put(content.kind(), name, object_content(content)))
    }

    fn list(&self, kind: ObjectKind, after: Option<&str>, stale: bool) -> StoreAnswer {
        let after = after.unwrap_or_default();
        let (listed, revision) = match &self.stale_view {
            Some(stale_view) if stale => (&stale_view.objects, stale_view.revision),
            _ => (&self.objects, self.revision),
        };
        let mut objects: Vec<Object> = listed
            .iter()
            .filter(|((of, name), _)| *of == kind && name.as_str() > after)
            .map(|(_, object)| object.clone())
            .collect();
        let more = objects.len() > self.page_objects;
        objects.truncate(self.page_objects);
        StoreAnswer::Objects {
            objects,
            more,
            revision,
        }
    }

    /// The changes of a kind after a revision, if any.
    pub fn changes(&self, kind: ObjectKind, revision: u64) -> Option<StoreAnswer> {
        if revision < self.compacted_revision || revision > self.revision {
            return Some(StoreAnswer::HistoryLost);
        }
        let events: Vec<ObjectEvent> = self
            .history
            .iter()
            .filter(|change| change.kind == kind && change.revision > revision)
            .map(|change| change.event.clone())
            .collect();
        (!events.is_empty()).then_some(StoreAnswer::Events {
            events,
            revision: self.revision,
        })
    }

    /// The answer to a watch that timed out.
    pub fn no_changes(&self) -> StoreAnswer {
        StoreAnswer::Events {
            events: Vec::new(),
            revision: self.revision,
        }
    }
}

fn object_content(content: &WrittenContent) -> ObjectContent {
    match content {
        WrittenContent::Ownership(record) => ObjectContent::Ownership(record.clone()),
        WrittenContent::Node(record) => ObjectContent::Node(record.clone()),
        WrittenContent::Quarantine(record) => ObjectContent::Quarantine(record.clone()),
    }
}
