//! A textual log of a session, used for snapshot tests.

use ledgelead_types::event::Event;
use ledgelead_types::server::GrantedSlice;
use ledgelead_types::{NodeId, ServerId, Time};
use std::collections::BTreeMap;

/// The log lines, if enabled.
#[derive(Clone, Debug, Default)]
pub struct Session {
    enabled: bool,
    lines: Vec<String>,
    held: BTreeMap<ServerId, Vec<GrantedSlice>>,
}

impl Session {
    /// Creates an enabled log.
    pub fn enabled() -> Session {
        Session {
            enabled: true,
            ..Session::default()
        }
    }

    /// Adds a line.
    pub fn add_line(&mut self, now: Time, line: impl FnOnce() -> String) {
        if self.enabled {
            let seconds = now.as_seconds();
            self.lines.push(format!("{seconds:9.4} {}", line()));
        }
    }

    /// Adds an event recorded by a node.
    pub fn recorded(&mut self, now: Time, node: NodeId, event: &Event) {
        if !matches!(event, Event::RequestFinished { .. }) {
            self.add_line(now, || format!("{node}: {event:?}"));
        }
    }

    /// Adds a change of the slices that a server holds.
    pub fn holds(&mut self, now: Time, server: ServerId, held: &[GrantedSlice]) {
        if !self.enabled || self.held.get(&server).is_some_and(|old| old == held) {
            return;
        }
        let slices = held.iter().map(|slice| {
            let (first, last) = (slice.range.first.0, slice.range.last.0);
            format!("{first:016x}-{last:016x} under {}", slice.token)
        });
        let slices = slices.collect::<Vec<_>>().join(", ");
        self.add_line(now, || format!("{server} holds [{slices}]"));
        self.held.insert(server, held.to_vec());
    }

    /// The lines.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}
