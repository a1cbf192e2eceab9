//! The phases of a run: the start, a phase without events, and one phase for each kind of
//! event.

use super::accounts::{Direction, NodeAccount};
use super::deployment;
use super::event::{Event, Planned};
use super::lag::LagSummary;
use super::network::ZONES;
use super::requests::{REQUESTS_PER_NODE_AND_SECOND, RequestCounts};
use super::roles::{HeldState, Roles};
use super::world::World;
use crate::demo::process_usage;
use ledgelead_core::{Input, TicketId};
use ledgelead_types::administration::*;
use ledgelead_types::platform::MachineState;
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::{List, Span, Text, Time};
use std::io;

/// Time limit of the start.
const START_LIMIT: Span = Span::from_seconds(60);
/// Time without events after the start and between phases.
const QUIET_TIME: Span = Span::from_seconds(10);
/// Configuration changes per second.
const CHANGES_PER_SECOND: f64 = 0.5;
/// Slice moves per second.
const MOVES_PER_SECOND: f64 = 2.0;
/// Restarts per second.
const RESTARTS_PER_SECOND: f64 = 0.5;
/// Number of nodes killed in the phase of failures.
const FAILURES: usize = 2;
/// The zone that is lost.
const LOST_ZONE: usize = ZONES - 1;
/// Bytes per megabyte in reports.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;
/// Upper limit (exclusive) of the rate limits that operators set.
const MAX_CHANGED_RATE: usize = 10_000;

/// Kind of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseKind {
    /// No events.
    Calm,
    /// Operators change the configuration.
    ConfigurationChanges,
    /// Operators move slices.
    Moves,
    /// Nodes are stopped as planned and restarted.
    Restarts,
    /// Nodes are killed and restarted.
    Failures,
    /// Callers send requests.
    Requests,
    /// A zone is lost.
    ZoneLoss,
}

impl PhaseKind {
    /// Stable name in reports.
    pub fn name(self) -> &'static str {
        match self {
            PhaseKind::Calm => "calm",
            PhaseKind::ConfigurationChanges => "configuration-changes",
            PhaseKind::Moves => "moves",
            PhaseKind::Restarts => "restarts",
            PhaseKind::Failures => "failures",
            PhaseKind::Requests => "requests",
            PhaseKind::ZoneLoss => "zone-loss",
        }
    }
}

/// Measurements of a phase.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Its kind.
    pub kind: PhaseKind,
    /// Number of events.
    pub events: usize,
    /// Its length in virtual time.
    pub length: Span,
    /// Roles of each node at its end; `None` for nodes that are not running.
    pub roles: Vec<Option<Roles>>,
    /// Traffic and processor time of each node.
    pub accounts: Vec<NodeAccount>,
    /// Times until nodes applied configurations.
    pub configuration_lag: LagSummary,
    /// Times until nodes had new routes.
    pub routes_lag: LagSummary,
    /// Times from the start of the phase until a node had the routes of a new owner.
    pub reached_after: LagSummary,
    /// Number of slices assigned to a new owner.
    pub owner_changes: usize,
    /// Time from the start of the phase until the last slice was assigned, in milliseconds.
    pub last_assignment_ms: f64,
    /// Requests since the start of the run.
    pub requests: RequestCounts,
    /// Commands that failed.
    pub failed_commands: u64,
    /// State held by a node at its end.
    pub held: HeldState,
    /// Resident memory at its end, in bytes.
    pub resident_bytes: u64,
}

/// Runs all phases.
///
/// # Errors
/// Returns an error if the memory usage of the process can't be read.
pub fn run_all(world: &mut World) -> io::Result<Vec<Phase>> {
    world.start_up();
    let length = Span::from_seconds(world.options.seconds);
    let seconds = world.options.seconds as f64;
    let mut phases = vec![world.phase(PhaseKind::Calm, &[], length)?];
    let changes = vec![Planned::ChangeConfiguration; (seconds * CHANGES_PER_SECOND) as usize];
    phases.push(world.phase(PhaseKind::ConfigurationChanges, &changes, length)?);
    let moves = vec![Planned::MoveSlice; (seconds * MOVES_PER_SECOND) as usize];
    phases.push(world.phase(PhaseKind::Moves, &moves, length)?);
    let restarts = (seconds * RESTARTS_PER_SECOND) as usize;
    let restarts = world.choose_nodes(restarts, Planned::RestartNode);
    phases.push(world.phase(PhaseKind::Restarts, &restarts, length)?);
    let failures = world.choose_nodes(FAILURES, Planned::KillNode);
    phases.push(world.phase(PhaseKind::Failures, &failures, length)?);
    let loss = [Planned::LoseZone(LOST_ZONE)];
    phases.push(world.phase(PhaseKind::ZoneLoss, &loss, length)?);
    // This phase is last because its load makes groups move slices from then on.
    let requests = world.plan_requests(seconds);
    phases.push(world.phase(PhaseKind::Requests, &requests, length)?);
    Ok(phases)
}

impl World {
    /// Starts the nodes and waits until the groups are formed.
    fn start_up(&mut self) {
        if self.options.configure_first {
            self.store_first_configuration();
        }
        let nodes = self.nodes.len();
        self.run_until(|held| held.live_nodes == nodes);
        self.run_for(QUIET_TIME);
        if !self.options.configure_first {
            self.store_first_configuration();
        }
        let groups = self.shape.groups();
        self.run_until(|held| held.routes == groups && held.unserved_slices == 0);
        self.started_after = self.now;
        self.run_for(QUIET_TIME);
    }

    fn run_until(&mut self, is_done: impl Fn(&HeldState) -> bool) {
        let limit = self.now + START_LIMIT;
        while self.now < limit && !is_done(&self.held_state()) {
            self.run_for(Span::from_seconds(1));
        }
    }

    /// Runs a phase: its events are spread evenly over its first half, followed by time for
    /// their effects and by quiet time that is not measured.
    fn phase(&mut self, kind: PhaseKind, events: &[Planned], length: Span) -> io::Result<Phase> {
        self.reset_accounts();
        self.lags.start(self.now);
        self.failed_commands = 0;
        let begin = self.now;
        for (index, planned) in events.iter().enumerate() {
            let at = length.times(index as f64 / events.len() as f64 / 2.0);
            self.after(at, Event::Planned(*planned));
        }
        self.run_for(length);
        let assigned = self.lags.assigned();
        let last_assignment = assigned.last().map_or(Span::ZERO, |at| at.since(begin));
        let phase = Phase {
            kind,
            events: events.len(),
            length,
            roles: self.roles(),
            accounts: self.accounts.clone(),
            configuration_lag: self.lags.configuration(),
            routes_lag: self.lags.routes(),
            reached_after: self.lags.reached_after(),
            owner_changes: assigned.len(),
            last_assignment_ms: last_assignment.as_millis(),
            requests: self.requests,
            failed_commands: self.failed_commands,
            held: self.held_state(),
            resident_bytes: process_usage::read()?.resident_bytes,
        };
        phase.show_progress(self.now);
        self.run_for(QUIET_TIME);
        Ok(phase)
    }

    /// Plans requests at running nodes.
    fn plan_requests(&mut self, seconds: f64) -> Vec<Planned> {
        let running: Vec<usize> = self.running_nodes().collect();
        let rate = REQUESTS_PER_NODE_AND_SECOND * running.len() as f64;
        (0..(rate * seconds / 2.0) as usize)
            .map(|_| Planned::Request(running[self.plan_rng.below(running.len())]))
            .collect()
    }

    fn choose_nodes(&mut self, count: usize, plan: fn(usize) -> Planned) -> Vec<Planned> {
        let mut chosen = Vec::new();
        let count = count.min(self.nodes.len() / 3).max(1);
        while chosen.len() < count {
            let index = self.plan_rng.below(self.nodes.len());
            let planned = plan(index);
            if !chosen.contains(&planned) {
                chosen.push(planned);
            }
        }
        chosen
    }

    pub(super) fn carry_out(&mut self, planned: Planned) {
        match planned {
            Planned::Request(index) => self.request_arrives(index),
            Planned::ChangeConfiguration => self.change_configuration(),
            Planned::MoveSlice => self.move_slice(),
            Planned::RestartNode(index) => {
                if let Some(run) = self.nodes[index].run() {
                    self.list_machine(index, MachineState::Leaving);
                    self.input(run, Input::Stop);
                }
            }
            Planned::KillNode(index) => self.node_restarts_later(index),
            Planned::LoseZone(zone) => self.lose_zone(zone),
        }
    }

    fn lose_zone(&mut self, zone: usize) {
        for index in self.nodes_in(zone) {
            self.nodes[index].is_lost = true;
            self.node_ends(index);
        }
        for server in &mut self.servers {
            if server.zone == zone {
                server.state = None;
            }
        }
    }

    fn change_configuration(&mut self) {
        let rate = self.plan_rng.below(MAX_CHANGED_RATE) as u32;
        let number = self.plan_rng.below(deployment::CALLERS as usize) as u32 + 1;
        let change = ConfigurationChange::PutCaller(deployment::caller(number, rate));
        self.command(AdministrationAction::Configure(List(vec![change])));
    }

    /// Moves a slice of a random group to another of its servers.
    fn move_slice(&mut self) {
        let Some(view) = self.nodes.iter().find_map(|node| node.view(self.now)) else {
            return;
        };
        let group = self.plan_rng.below(view.groups.len());
        let routes = &view.groups[group].routes;
        let active: Vec<_> = routes
            .servers
            .iter()
            .filter(|server| server.status == ServerStatus::Active)
            .collect();
        let slice = self.plan_rng.below(routes.slices.len());
        let to = self.plan_rng.below(active.len());
        let (Some(slice), Some(to)) = (routes.slices.get(slice), active.get(to)) else {
            return;
        };
        let operation = GroupOperation::MoveSlice {
            position: slice.range.first,
            to: to.server,
        };
        let group = routes.group;
        self.command(AdministrationAction::Operate { group, operation });
    }

    /// Sends a command to a random node.
    fn command(&mut self, action: AdministrationAction) {
        let running: Vec<usize> = self.running_nodes().collect();
        let index = running[self.plan_rng.below(running.len())];
        let Some(run) = self.nodes[index].run() else {
            return;
        };
        self.commands += 1;
        let command = AdministrationCommand {
            id: Text(format!("command-{}", self.commands)),
            operator: deployment::OPERATOR.into(),
            if_version: None,
            action,
        };
        let ticket = TicketId(self.commands);
        self.input(run, Input::Command { ticket, command });
    }
}

impl Phase {
    /// Prints a line with the main results of the phase to standard error, because a run with
    /// hundreds of nodes takes minutes.
    fn show_progress(&self, now: Time) {
        let nodes: Vec<usize> = self.running().map(|(index, _)| index).collect();
        let count = nodes.len().max(1) as f64;
        let rates = nodes.iter().map(|index| self.bytes_per_second(*index));
        let nanos = nodes
            .iter()
            .map(|index| self.accounts[*index].decision_nanos);
        eprintln!(
            "{} done at {:.0} virtual seconds: {} nodes, {:.0} control bytes/s (at most {:.0}), \
             {:.3} % of a core for decisions (at most {:.3}), {} MB resident",
            self.kind.name(),
            now.as_seconds(),
            nodes.len(),
            rates.clone().sum::<f64>() / count,
            rates.fold(0.0, f64::max),
            self.percent_of(nanos.clone().sum()) / count,
            self.percent_of(nanos.max().unwrap_or(0)),
            self.resident_bytes / BYTES_PER_MEGABYTE,
        );
    }

    /// Processor time as a percentage of the phase's length.
    fn percent_of(&self, nanos: u64) -> f64 {
        const NANOS_PER_PERCENT_SECOND: f64 = 1e7;
        nanos as f64 / NANOS_PER_PERCENT_SECOND / self.seconds()
    }

    /// Control bytes per second of a node, in both directions.
    pub fn bytes_per_second(&self, index: usize) -> f64 {
        self.accounts[index].control_bytes() as f64 / self.seconds()
    }

    /// Control bytes per second of a node in one direction.
    pub fn bytes_per_second_of(&self, index: usize, direction: Direction) -> f64 {
        self.accounts[index].control_bytes_of(direction) as f64 / self.seconds()
    }

    /// Length in seconds.
    pub fn seconds(&self) -> f64 {
        self.length.as_millis() / 1_000.0
    }

    /// Nodes that are running at its end, with their roles.
    pub fn running(&self) -> impl Iterator<Item = (usize, Roles)> {
        let roles = self.roles.iter().enumerate();
        roles.filter_map(|(index, roles)| roles.map(|roles| (index, roles)))
    }
}
