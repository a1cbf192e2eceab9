//! Measures unavailability: after a loss, sends cheap requests for each affected slice until
//! one that was sent after the loss is answered.

use super::event::Event;
use super::rng::seconds;
use super::world::World;
use crate::scenario::FaultKind;
use ledgelead_types::{Outcome, PositionRange, Span, Time};

/// Interval between probes of a slice.
const INTERVAL: Span = Span::from_millis(25);
/// Maximum time for which a slice is probed. A slice that is not answered by then counts as
/// unavailable for this time.
const LONGEST: Span = Span::from_seconds(30);

/// A slice that is probed.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    service: usize,
    range: PositionRange,
    lost_at: Time,
    done: bool,
    /// The kind of loss, unless another loss overlapped with it.
    single: Option<FaultKind>,
}

impl World<'_> {
    /// Starts probing every slice that a server claims.
    pub(super) fn probe_slices_of(&mut self, server: usize) {
        let now = self.now();
        let plan = self.servers[server].plan;
        let single = self.single_loss();
        for slice in self.checker.ownership.claimed(now, plan.server) {
            let index = self.probes.len();
            self.probes.push(Probe {
                service: plan.service,
                range: slice.range,
                lost_at: now,
                done: false,
                single,
            });
            let first = seconds(self.fault_rng.between(0.0, INTERVAL.as_seconds()));
            self.after(first, Event::Probe(index));
        }
    }

    /// A loss begins: slices that are not yet served again are affected by more than one loss.
    pub(super) fn mark_overlapping_losses(&mut self) {
        for probe in self.probes.iter_mut().filter(|probe| !probe.done) {
            probe.single = None;
        }
    }

    pub(super) fn send_probe(&mut self, index: usize) {
        let now = self.now();
        let probe = self.probes[index];
        if probe.done || now >= probe.lost_at + LONGEST {
            return;
        }
        let body = self.callers.probe(index, probe.service, probe.range, now);
        match body {
            Some(body) => {
                self.send_request(body);
                self.after(INTERVAL, Event::Probe(index));
            }
            None => self.probes[index].done = true,
        }
    }

    pub(super) fn probe_finished(&mut self, index: usize, outcome: Outcome, sent: Time) {
        let now = self.now();
        let probe = &mut self.probes[index];
        if probe.done || outcome != Outcome::Answered || sent < probe.lost_at {
            return;
        }
        probe.done = true;
        let (service, range) = (probe.service, probe.range);
        let span = now.since(probe.lost_at);
        self.measurements.unavailable(span, probe.single);
        self.session.add_line(now, || {
            let service = &self.scenario.services[service].name;
            format!("{service} {range:?} was unavailable for {span:?}")
        });
    }

    /// Records the slices that were not answered by the end of the run.
    pub(super) fn finish_probes(&mut self) {
        let now = self.now();
        for probe in &self.probes {
            if !probe.done {
                let lost = now.since(probe.lost_at).min(LONGEST);
                self.measurements.unavailable(lost, probe.single);
            }
        }
    }
}
