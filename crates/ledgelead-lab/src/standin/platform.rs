//! The platform's object API ([`ledgelead_types::platform`]): versioned objects with
//! compare-and-swap and watches, and a delayed list of machines.

use ledgelead_types::platform::*;
use ledgelead_types::{Bytes, List, NodeId, Span, Text, Time};
use std::collections::BTreeMap;

/// Active faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCondition {
    /// Every call fails without taking effect.
    pub down: bool,
    /// Delay that the driver adds to each response.
    pub delay: Span,
    /// Calls take effect, but their responses are lost.
    pub loses_answers: bool,
}

/// Identifies a pending watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(pub u64);

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformResponse {
    /// The call ended.
    Ended(Result<PlatformReply, PlatformError>),
    /// The call waits for a newer object. The driver ends it with [`PlatformState::end_watch`]
    /// after a bounded time.
    Watching(WatchId),
}

/// A successful swap.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformWrite {
    /// Name of the object.
    pub name: Text,
    /// Its new version.
    pub version: ObjectVersion,
    /// Its new content.
    pub value: Bytes,
    /// Time on the clock of the run.
    pub at: Time,
}

/// The simulated platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// Active faults.
    pub condition: PlatformCondition,
    /// Delay until a machine's change appears in the list.
    pub machine_list_lag: Span,
    objects: BTreeMap<Text, (ObjectVersion, Bytes)>,
    watches: BTreeMap<WatchId, (Text, ObjectVersion)>,
    next_watch: u64,
    machines: BTreeMap<NodeId, MachineEntry>,
    pending_machines: Vec<(Time, MachineEntry)>,
    writes: Vec<PlatformWrite>,
}

impl PlatformState {
    /// Creates a platform without objects, on which a machine's change appears in the list
    /// after `machine_list_lag`.
    pub fn new(machine_list_lag: Span) -> PlatformState {
        PlatformState {
            machine_list_lag,
            ..PlatformState::default()
        }
    }

    /// Carries out a call that arrived at `now`.
    pub fn call(&mut self, now: Time, call: &PlatformCall) -> PlatformResponse {
        if self.condition.down {
            return PlatformResponse::Ended(Err(PlatformError::Unavailable));
        }
        let reply = match call {
            PlatformCall::Get { name } => self.get(name),
            PlatformCall::Watch { name, after } if self.version(name) > *after => self.get(name),
            PlatformCall::Watch { name, after } => return self.watch(name, *after),
            PlatformCall::CompareAndSwap {
                name,
                expected,
                value,
            } => self.compare_and_swap(now, name, *expected, value),
            PlatformCall::ListMachines => self.list_machines(now),
        };
        if self.condition.loses_answers {
            return PlatformResponse::Ended(Err(PlatformError::AnswerLost));
        }
        PlatformResponse::Ended(Ok(reply))
    }

    fn get(&self, name: &Text) -> PlatformReply {
        match self.objects.get(name) {
            Some((version, value)) => PlatformReply::Object {
                version: *version,
                value: value.clone(),
            },
            None => PlatformReply::NotFound,
        }
    }

    fn version(&self, name: &Text) -> ObjectVersion {
        self.objects
            .get(name)
            .map_or(ObjectVersion(0), |(version, _)| *version)
    }

    fn watch(&mut self, name: &Text, after: ObjectVersion) -> PlatformResponse {
        self.next_watch += 1;
        let watch = WatchId(self.next_watch);
        self.watches.insert(watch, (name.clone(), after));
        PlatformResponse::Watching(watch)
    }

    fn compare_and_swap(
        &mut self,
        now: Time,
        name: &Text,
        expected: ObjectVersion,
        value: &Bytes,
    ) -> PlatformReply {
        let present = self.version(name);
        if present != expected {
            return PlatformReply::Conflict { version: present };
        }
        let version = ObjectVersion(present.0 + 1);
        self.objects.insert(name.clone(), (version, value.clone()));
        self.writes.push(PlatformWrite {
            name: name.clone(),
            version,
            value: value.clone(),
            at: now,
        });
        PlatformReply::Swapped { version }
    }

    /// Takes the watches whose object has a newer version, with their answers. None are
    /// answered while the platform is down.
    pub fn take_ready_watches(&mut self) -> Vec<(WatchId, Result<PlatformReply, PlatformError>)> {
        if self.condition.down {
            return Vec::new();
        }
        let ready = self
            .watches
            .iter()
            .filter(|(_, (name, after))| self.version(name) > *after)
            .map(|(watch, (name, _))| (*watch, Ok(self.get(name))))
            .collect::<Vec<_>>();
        for (watch, _) in &ready {
            self.watches.remove(watch);
        }
        ready
    }

    /// Ends a watch that timed out; `None` if it has already ended.
    pub fn end_watch(&mut self, watch: WatchId) -> Option<Result<PlatformReply, PlatformError>> {
        self.watches.remove(&watch)?;
        if self.condition.down {
            return Some(Err(PlatformError::Unavailable));
        }
        Some(Ok(PlatformReply::Unchanged))
    }

    /// Ends and returns all watches, for example because the platform goes down.
    pub fn drop_watches(&mut self) -> Vec<WatchId> {
        std::mem::take(&mut self.watches).into_keys().collect()
    }

    /// Updates a machine. The change appears after the list's delay, except that a live
    /// machine appears immediately, so that a machine listed as gone is certainly off.
    pub fn set_machine(&mut self, now: Time, entry: MachineEntry) {
        if entry.state == MachineState::Live {
            self.pending_machines
                .retain(|(_, pending)| pending.node != entry.node);
            self.machines.insert(entry.node, entry);
        } else {
            self.pending_machines
                .push((now + self.machine_list_lag, entry));
        }
    }

    fn list_machines(&mut self, now: Time) -> PlatformReply {
        let pending = std::mem::take(&mut self.pending_machines);
        for (visible_at, entry) in pending {
            if visible_at <= now {
                self.machines.insert(entry.node, entry);
            } else {
                self.pending_machines.push((visible_at, entry));
            }
        }
        PlatformReply::Machines(self.machines.values().cloned().collect::<List<_>>())
    }

    /// Takes the successful swaps since the last call, in order.
    pub fn take_writes(&mut self) -> Vec<PlatformWrite> {
        std::mem::take(&mut self.writes)
    }
}
