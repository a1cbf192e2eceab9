//! The store's stand-in: objects with revisions, watches, conditional writes.

use ledgelead_router::boundary;
use ledgelead_router::configuration::Configuration;
use ledgelead_router::dialect::{
    Object, ObjectContent, ObjectEvent, ObjectKind, StoreAnswer, StoreCall, WrittenContent,
};
use ledgelead_router::directory::InstanceRecord;
use ledgelead_router::io::ExchangeId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most objects of one page of a list, unless a run says otherwise.
pub const PAGE_OBJECTS: usize = 500;

/// How many revisions a stale list may be behind.
const STALE_REVISIONS: u64 = 12;

/// Who waits for changes.
#[derive(Clone, Debug)]
pub struct PendingWatch {
    /// The node and its life.
    pub caller: (usize, u64),
    /// Its exchange.
    pub exchange: ExchangeId,
    /// The kind that is watched.
    pub kind: ObjectKind,
    /// Changes after this revision are wanted.
    pub revision: u64,
}

/// What a call leads to.
#[derive(Debug)]
pub enum Outcome {
    /// An answer at once.
    Answer(StoreAnswer),
    /// The watch waits.
    Wait {
        /// The kind that is watched.
        kind: ObjectKind,
        /// Changes after this revision are wanted.
        revision: u64,
        /// For how long.
        wait: Duration,
    },
}

/// Objects as they were at an earlier revision, for lists that may be stale.
#[derive(Clone)]
struct StaleView {
    objects: BTreeMap<(ObjectKind, String), Object>,
    revision: u64,
}

/// The store's state at a time.
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

/// The store.
#[derive(Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<(ObjectKind, String), Object>,
    history: Vec<Change>,
    compacted_revision: u64,
    stale_view: Option<StaleView>,
    page_objects: usize,
    /// Rises each time the store comes back from a copy.
    era: u64,
    /// Watches that wait.
    pub pending_watches: Vec<PendingWatch>,
}

impl Store {
    /// An empty store whose lists come in pages of so many objects.
    pub fn with_page_size(page_objects: usize) -> Store {
        Store {
            page_objects,
            ..Store::default()
        }
    }

    /// The era.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// The state as it is now.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            revision: self.revision,
            objects: self.objects.clone(),
            history: self.history.clone(),
            compacted_revision: self.compacted_revision,
            stale_view: self.stale_view.clone(),
        }
    }

    /// The state is that of a copy again.
    pub fn restore(&mut self, snapshot: StoreSnapshot) {
        self.revision = snapshot.revision;
        self.objects = snapshot.objects;
        self.history = snapshot.history;
        self.compacted_revision = snapshot.compacted_revision;
        self.stale_view = snapshot.stale_view;
        self.pending_watches.clear();
        self.era += 1;
    }

    /// The names of all objects of a kind.
    pub fn names(&self, kind: ObjectKind) -> BTreeSet<String> {
        let of_kind = self.objects.keys().filter(|(of, _)| *of == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// The operator writes a configuration.
    pub fn configure(&mut self, configuration: Configuration) {
        let content = ObjectContent::Configuration(configuration);
        self.put(ObjectKind::Configuration, "main", content);
    }

    /// An instance writes its entry; a heartbeat alone is no change.
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

    /// An entry goes.
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

    /// Another writer makes or replaces an object, by what can't be read.
    pub fn write_unreadable(&mut self, kind: ObjectKind, name: &str) {
        self.write(kind, name, Err("no such field".to_owned()));
    }

    /// The history is forgotten; watches that wait get no more of it.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    fn put(&mut self, kind: ObjectKind, name: &str, content: ObjectContent) -> Object {
        let object = self.write(kind, name, Ok(content));
        self.assert_within_bounds(kind, &object);
        object
    }

    /// What nodes and instances write is what an adapter would read.
    fn assert_within_bounds(&self, kind: ObjectKind, object: &Object) {
        let mut checked = object.clone();
        boundary::check(kind, &mut checked);
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

    /// The changes of a kind after a revision, if there are some.
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

    /// The answer of a watch whose time is over.
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
