//! Communication with the store: calls of nodes, pending watches and entries of instances.

use super::event::{Caller, Event};
use super::network::LATENCY;
use super::store::{Outcome, PendingWatch};
use super::world::{HEARTBEAT, World, exchanged};
use ledgelead_router::dialect::{StoreAnswer, StoreCall};
use ledgelead_router::io::ExchangeId;
use rand::RngExt;
use std::time::Duration;

/// Number of heartbeat intervals after which an entry expires.
const MISSED_HEARTBEATS: u32 = 3;

impl World {
    /// Handles a store call of a node.
    pub(super) fn store_call(&mut self, caller: Caller, exchange: ExchangeId, call: &StoreCall) {
        self.report.store_calls += 1;
        if self.store_faults.silent > 0 || !self.pending.contains_key(&(caller, exchange)) {
            return;
        }
        let is_refused = self.network.refused_by_store.contains(&caller.0);
        if self.store_faults.refusing > 0 || is_refused {
            self.store_answers(caller, exchange, StoreAnswer::Refused);
            return;
        }
        let writes = matches!(call, StoreCall::Create { .. } | StoreCall::Replace { .. });
        if writes && self.store_faults.losing_answers > 0 && self.rng.random_range(0..3) == 0 {
            let late = Duration::from_millis(self.rng.random_range(0..5_000));
            self.schedule(late, Event::LateWrite(Box::new(call.clone())));
            return;
        }
        match self.store.call(call) {
            Outcome::Answer(answer) => self.store_answers(caller, exchange, answer),
            Outcome::Wait {
                kind,
                revision,
                wait,
            } => {
                self.store.pending_watches.push(PendingWatch {
                    caller,
                    exchange,
                    kind,
                    revision,
                });
                self.schedule(wait, Event::WatchTimeout(caller, exchange));
            }
        }
        self.answer_watches();
    }

    pub(super) fn store_answers(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        answer: StoreAnswer,
    ) {
        if self.network.cut_from_store.contains(&caller.0)
            || self.connections.is_silent(caller, exchange)
        {
            return;
        }
        let mut response = self.tickets.borrow_mut().answer(answer);
        let era = self.store.era();
        if era > 0 {
            response.headers.push("store-era", era.to_string());
        }
        let input = exchanged(exchange, Ok(response));
        self.schedule(LATENCY * 3, Event::Exchanged(caller, exchange, input));
    }

    /// Answers a pending watch whose wait time is over.
    pub(super) fn watch_times_out(&mut self, caller: Caller, exchange: ExchangeId) {
        let position = self
            .store
            .pending_watches
            .iter()
            .position(|watch| watch.caller == caller && watch.exchange == exchange);
        if let Some(position) = position {
            self.store.pending_watches.remove(position);
            if self.store_faults.silent == 0 {
                let answer = self.store.no_changes();
                self.store_answers(caller, exchange, answer);
            }
        }
    }

    /// Answers the watches whose kind has changed.
    pub(super) fn answer_watches(&mut self) {
        if self.store_faults.silent > 0 {
            return;
        }
        let pending_watches = std::mem::take(&mut self.store.pending_watches);
        for watch in pending_watches {
            match self.store.changes(watch.kind, watch.revision) {
                Some(answer) => self.store_answers(watch.caller, watch.exchange, answer),
                None => self.store.pending_watches.push(watch),
            }
        }
    }

    /// An instance writes its entry and schedules the next heartbeat.
    pub(super) fn heartbeat(&mut self, index: usize) {
        if !self.instances[index].alive {
            return;
        }
        self.write_entry(index);
        self.schedule(HEARTBEAT, Event::Heartbeat(index));
    }

    /// Writes the entry of an instance, if the store accepts it.
    pub(super) fn write_entry(&mut self, index: usize) {
        let instance = &self.instances[index];
        if instance.heartbeats
            && !instance.unresponsive
            && self.store_faults.silent + self.store_faults.refusing == 0
        {
            self.last_heartbeat.insert(index, self.now);
            self.registered.entry(index).or_insert(self.now);
            self.store.register(instance.record.clone());
            self.entry_accepted(index);
            self.answer_watches();
        }
    }

    /// Removes entries without recent heartbeats.
    pub(super) fn expire_entries(&mut self) {
        let limit = HEARTBEAT * MISSED_HEARTBEATS;
        let gone: Vec<usize> = self
            .last_heartbeat
            .iter()
            .filter(|(_, heartbeat_at)| **heartbeat_at + limit <= self.now)
            .map(|(index, _)| *index)
            .collect();
        for index in gone {
            self.remove_entry(index);
        }
        self.answer_watches();
        self.schedule(HEARTBEAT / 4, Event::ExpireEntries);
    }

    pub(super) fn remove_entry(&mut self, index: usize) {
        self.last_heartbeat.remove(&index);
        let name = self.instances[index].id().name();
        self.store.remove_instance(name);
    }
}
