//! Instances that follow some of their answers with a second, equal one, and the delivery of
//! answers on kept connections.

use super::connections::{ConnectionId, Receipt};
use super::event::{Caller, Event};
use super::faults::{FaultKind, Schedule, draw_time};
use super::world::{World, exchanged};
use ledgelead_http::Response;
use ledgelead_router::io::{ExchangeFailure, ExchangeId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// How long instances send second answers, in milliseconds.
const DURATION_MS: Range<u64> = 3_000..15_000;
/// Delay of a second answer after the first one, in milliseconds.
const DELAY_MS: Range<u64> = 1..201;
/// Share of answers that are followed by a second one.
const SHARE: f64 = 0.6;

/// An answer on its way to a node.
#[derive(Clone, Debug)]
pub struct AnswerInFlight {
    pub(super) connection: ConnectionId,
    /// The exchange whose first answer it is; `None` for a second answer.
    pub(super) exchange: Option<ExchangeId>,
    pub(super) response: Response,
}

impl Schedule {
    /// Draws periods in which instances send second answers.
    pub(super) fn draw_second_answers(
        rng: &mut Pcg64Mcg,
        from: Duration,
        to: Duration,
    ) -> Schedule {
        let mut schedule = Schedule::default();
        for _ in 0..rng.random_range(2..5) {
            let at = draw_time(rng, from, to);
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            schedule = schedule.and(at, duration, FaultKind::SecondAnswers);
        }
        schedule
    }
}

impl World {
    /// Sends the answer to an exchange, unless its connection is closed, and possibly a second
    /// one.
    pub(super) fn send_answer(
        &mut self,
        caller: Caller,
        exchange: ExchangeId,
        response: Response,
        after: Duration,
    ) {
        let Some(connection) = self.connections.carrying(caller, exchange) else {
            return;
        };
        let answer = AnswerInFlight {
            connection,
            exchange: Some(exchange),
            response,
        };
        if self.second_answers > 0 && self.second_answer_rng.random_bool(SHARE) {
            let delay = Duration::from_millis(self.second_answer_rng.random_range(DELAY_MS));
            let second = AnswerInFlight {
                exchange: None,
                ..answer.clone()
            };
            self.schedule(after + delay, Event::Answer(Box::new(second)));
        }
        self.schedule(after, Event::Answer(Box::new(answer)));
    }

    /// An answer arrives at the node's end of a connection.
    pub(super) fn answer_arrives(&mut self, answer: AnswerInFlight) {
        let AnswerInFlight {
            connection,
            exchange,
            response,
        } = answer;
        let Some((caller, instance)) = self.connections.ends(connection) else {
            return;
        };
        let is_second = exchange.is_none();
        if is_second && !self.can_send(caller, instance) {
            return;
        }
        if let Some(next) = exchange.and_then(|first| self.connections.answered(caller, first)) {
            self.schedule(Duration::ZERO, next);
        }
        let (ended, result) = match self.connections.receive(connection, &response, self.now) {
            Receipt::Dropped => return,
            Receipt::Accepted(ended) => (ended, Ok(response)),
            Receipt::Failed(ended) => (ended, Err(ExchangeFailure::Malformed)),
        };
        if exchange != Some(ended) {
            self.trace(|| format!("node {}: another answer ends {ended:?}", caller.0));
        }
        self.exchange_ends(caller, ended, *exchanged(ended, result));
    }

    fn can_send(&self, caller: Caller, instance: usize) -> bool {
        let sender = &self.instances[instance];
        let is_connected = self.network.instance_connected(caller.0, instance);
        sender.alive && !sender.unresponsive && is_connected
    }
}
