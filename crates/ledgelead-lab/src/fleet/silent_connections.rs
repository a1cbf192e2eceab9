//! Connections to the store that stop carrying bytes without being reset, while new ones work.

use super::event::Caller;
use super::faults::{FaultKind, Schedule, draw_time};
use super::world::{ALL_INSTANCES, World};
use ledgelead_router::io::{ExchangeFailure, ExchangeId, ExchangeOptions, Input};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Stands for the store where connections are kept by the index of an instance.
const STORE: usize = usize::MAX;
/// Maximum time between the moment at which connections fall silent and the version that
/// follows it. Nodes count as connected again within it.
const VERSION_AFTER: Duration = Duration::from_millis(3_500);

impl Schedule {
    /// Draws moments at which connections to the store fall silent, each followed by a version
    /// and by an instance that leaves.
    pub fn draw_silent_connections(rng: &mut Pcg64Mcg, from: Duration, to: Duration) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(2..6) {
            let at = draw_time(rng, from, to);
            let mut after = || at + VERSION_AFTER.mul_f64(rng.random_range(0.0..1.0));
            let (configured, left) = (after(), after());
            let instance = rng.random_range(0..ALL_INSTANCES);
            schedule = schedule
                .and(at, Duration::ZERO, FaultKind::SilenceConnections)
                .and(configured, Duration::ZERO, FaultKind::ConfigureLarge)
                .and(left, Duration::ZERO, FaultKind::Leave(instance));
        }
        schedule
    }
}

impl World {
    /// All open connections to the store fall silent.
    pub(super) fn silence_connections(&mut self) {
        self.connections.silence(STORE);
        self.network.silenced_at = self.now;
    }

    /// Begins a call of the store on a kept connection or on a new one.
    pub(super) fn connect_to_store(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        options: &ExchangeOptions,
    ) {
        let is_new = self
            .connections
            .begin(caller, STORE, exchange, options, self.now);
        if let Some(timeout) = options.reused_answer_timeout.filter(|_| !is_new) {
            self.exchange_fails_after(timeout, caller, exchange, ExchangeFailure::Unresponsive);
        }
    }

    /// Returns the connection of an answered call to its pool.
    pub(super) fn release_store_connection(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        input: &Input,
    ) {
        if let Input::ExchangeEnded {
            result: Ok(response),
            ..
        } = input
            && let Some(id) = self.connections.carrying(caller, exchange)
            && self.connections.ends(id) == Some((caller, STORE))
        {
            self.connections.answered(caller, exchange);
            self.connections.receive(id, response, self.now);
        }
    }
}
