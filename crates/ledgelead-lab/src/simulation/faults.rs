//! Schedules the faults of a scenario and carries them out.

use super::deployment;
use super::event::Event;
use super::network::{Degradation, Endpoint};
use super::rng::{RandomStream, seconds};
use super::world::World;
use crate::scenario::{FaultKind, FaultSpecification};
use crate::standin::platform::PlatformCondition;
use crate::standin::server::LoadOverride;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::server::LoadReport;
use ledgelead_types::{ConfigurationVersion, Position, Span, Time};

/// A scheduled fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// Its duration; zero if it is permanent.
    pub length: Span,
    /// Index of the affected node, server or zone, once the fault has begun.
    pub target: Option<usize>,
    /// When it began.
    pub began: Option<Time>,
    /// Processes that it terminated and that restart at its end.
    terminated: Vec<Endpoint>,
}

impl Fault {
    /// Whether it may have effects at a given time: while it lasts, and for `RECOVERY_TIME`
    /// afterwards.
    fn is_in_effect(&self, now: Time) -> bool {
        let ends = |began: Time| began + self.length + RECOVERY_TIME;
        self.began.is_some_and(|began| now < ends(began))
    }
}

/// Time that the system may take to recover from a loss.
const RECOVERY_TIME: Span = Span::from_seconds(5);

/// Additional response delay of a slow platform.
const SLOW_PLATFORM: Span = Span::from_millis(1_500);

impl World<'_> {
    /// Creates the schedule of faults.
    pub(super) fn draw_faults(&mut self) {
        let run = &self.scenario.run;
        let first = run.warm_up_seconds as f64;
        let last = (run.virtual_seconds - run.quiet_seconds) as f64;
        for specification in &self.scenario.faults {
            if let Some(at) = specification.at_seconds {
                self.add_fault(specification, at);
            }
            let mut at = first;
            while let Some(per_minute) = specification.per_minute.filter(|rate| *rate > 0.0) {
                const MINUTE: f64 = 60.0;
                at += self.fault_rng.exponential(MINUTE / per_minute);
                if at >= last {
                    break;
                }
                self.add_fault(specification, at);
            }
        }
    }

    fn add_fault(&mut self, specification: &FaultSpecification, at: f64) {
        let (shortest, longest) = (specification.min_seconds, specification.max_seconds);
        let length = seconds(self.fault_rng.between(shortest, longest));
        let index = self.faults.len();
        self.faults.push(Fault {
            kind: specification.kind,
            length,
            target: None,
            began: None,
            terminated: Vec::new(),
        });
        let at = Time::ZERO + seconds(at);
        self.events.add(at, Event::FaultBegins(index));
    }

    pub(super) fn fault_begins(&mut self, index: usize) {
        let kind = self.faults[index].kind;
        let Some(target) = self.draw_target(kind) else {
            return;
        };
        let now = self.now();
        if kind.is_loss() {
            self.mark_overlapping_losses();
        }
        self.faults[index].target = Some(target);
        self.faults[index].began = Some(now);
        let fault = self.faults[index].clone();
        self.measurements.fault(now, fault.kind);
        self.session
            .add_line(now, || format!("fault {:?} of {target}", fault.kind));
        self.begin(index, &fault, target);
        if fault.length > Span::ZERO {
            self.after(fault.length, Event::FaultEnds(index));
        }
    }

    /// Chooses an index, whose meaning depends on the kind; `None` if nothing can be affected
    /// at present.
    fn draw_target(&mut self, kind: FaultKind) -> Option<usize> {
        let now = self.now();
        match kind {
            FaultKind::KillNode
            | FaultKind::PauseNode
            | FaultKind::StopNode
            | FaultKind::CutNode => {
                let running = self.running_nodes();
                self.fault_rng.pick(&running)
            }
            FaultKind::LeaveServer | FaultKind::DrainServer => {
                let service = self.fault_rng.below(self.scenario.services.len());
                let settled = now.before(Span::from_seconds(5));
                let healthy = self.healthy_servers(service, settled);
                let enough = healthy.len() > 1;
                self.fault_rng.pick(&healthy).filter(|_| enough)
            }
            FaultKind::KillServer
            | FaultKind::FreezeServer
            | FaultKind::CutServer
            | FaultKind::MisleadingHealth => {
                let service = self.fault_rng.below(self.scenario.services.len());
                let healthy = self.healthy_servers(service, now);
                self.fault_rng.pick(&healthy)
            }
            FaultKind::MoveSlice | FaultKind::LoseOwner | FaultKind::LoseLeaderAndOwner => {
                let service = self.keyed_service()?;
                let healthy = self.healthy_servers(service, now);
                self.fault_rng.pick(&healthy)
            }
            FaultKind::LoseLeader | FaultKind::LoseQuorum => {
                let service = self.keyed_service()?;
                self.leader_of(service)
            }
            FaultKind::CutZone | FaultKind::LoseZone => {
                Some(self.fault_rng.below(self.scenario.zones.len()))
            }
            FaultKind::CutRegion
            | FaultKind::DegradeNetwork
            | FaultKind::PlatformDown
            | FaultKind::PlatformSlow
            | FaultKind::PlatformLosesAnswers
            | FaultKind::RacingCommands
            | FaultKind::LoseAllNodes
            | FaultKind::LoseAllButPlatform => Some(0),
        }
    }

    fn keyed_service(&mut self) -> Option<usize> {
        let keyed = (0..self.scenario.services.len())
            .filter(|index| self.scenario.services[*index].partitioning != Partitioning::None)
            .collect::<Vec<_>>();
        self.fault_rng.pick(&keyed)
    }

    /// The node that leads the first group of a service.
    fn leader_of(&mut self, service: usize) -> Option<usize> {
        let service = deployment::service_id(service);
        self.running_nodes().into_iter().find(|index| {
            self.view(*index).is_some_and(|view| {
                view.groups
                    .iter()
                    .any(|group| group.leads && group.routes.group.service == service)
            })
        })
    }

    /// The kind of the loss that is beginning, unless another loss is still in effect.
    pub(super) fn single_loss(&self) -> Option<FaultKind> {
        let now = self.now();
        let losses = self.faults.iter().filter(|fault| fault.kind.is_loss());
        let mut in_effect = losses.filter(|fault| fault.is_in_effect(now));
        let single = in_effect.next()?;
        in_effect.next().is_none().then_some(single.kind)
    }

    fn begin(&mut self, index: usize, fault: &Fault, target: usize) {
        match fault.kind {
            FaultKind::KillNode => self.node_dies(target),
            FaultKind::PauseNode => self.node_pauses(target, fault.length),
            FaultKind::StopNode => self.node_stops(target),
            FaultKind::KillServer | FaultKind::LoseOwner => self.lose_server(target),
            FaultKind::FreezeServer => self.server_freezes(target, fault.length),
            FaultKind::LeaveServer => self.server_leaves(target),
            FaultKind::MisleadingHealth => self.set_load_override(target, true),
            FaultKind::CutNode => self.cut_node(target, true),
            FaultKind::CutServer => self.cut_server(target, true),
            FaultKind::CutZone => self.cut_zone(target, true),
            FaultKind::CutRegion => self.cut_regions(true),
            FaultKind::DegradeNetwork => self.degrade_network(),
            FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::PlatformLosesAnswers => {
                self.disturb_platform(index, Some(condition(fault.kind)));
            }
            FaultKind::RacingCommands => self.race_commands(),
            FaultKind::DrainServer => self.operate_server(target, true),
            FaultKind::MoveSlice => {
                let position = Position(self.fault_rng.number());
                self.move_slice(position, target);
            }
            FaultKind::LoseLeader => self.lose_leader(target),
            FaultKind::LoseLeaderAndOwner => self.lose_leader_and_owner(index, target),
            FaultKind::LoseZone => self.lose_zone(index, target),
            FaultKind::LoseQuorum => self.lose_quorum(index, target),
            FaultKind::LoseAllNodes => self.lose_all(index, false),
            FaultKind::LoseAllButPlatform => self.lose_all(index, true),
        }
    }

    pub(super) fn fault_ends(&mut self, index: usize) {
        let fault = self.faults[index].clone();
        let Some(target) = fault.target else {
            return;
        };
        match fault.kind {
            FaultKind::KillNode | FaultKind::StopNode | FaultKind::LoseLeader => {
                self.node_starts(target);
            }
            FaultKind::KillServer | FaultKind::LoseOwner => self.server_starts(target),
            FaultKind::LeaveServer => self.server_returns(target),
            FaultKind::MisleadingHealth => self.set_load_override(target, false),
            FaultKind::CutNode => self.cut_node(target, false),
            FaultKind::CutServer => self.cut_server(target, false),
            FaultKind::CutZone => self.cut_zone(target, false),
            FaultKind::CutRegion => self.cut_regions(false),
            FaultKind::DegradeNetwork => self.network.degrade(Degradation::default()),
            FaultKind::PlatformDown | FaultKind::PlatformSlow | FaultKind::PlatformLosesAnswers => {
                self.disturb_platform(index, None)
            }
            FaultKind::DrainServer => self.operate_server(target, false),
            FaultKind::LoseZone
            | FaultKind::LoseQuorum
            | FaultKind::LoseAllNodes
            | FaultKind::LoseAllButPlatform
            | FaultKind::LoseLeaderAndOwner => self.restart_terminated(&fault.terminated),
            FaultKind::PauseNode
            | FaultKind::FreezeServer
            | FaultKind::RacingCommands
            | FaultKind::MoveSlice => {}
        }
    }

    fn lose_server(&mut self, index: usize) {
        self.probe_slices_of(index);
        self.server_dies(index);
    }

    /// Kills the leader and probes the slices of one server meanwhile.
    fn lose_leader(&mut self, node: usize) {
        if let Some(service) = self.keyed_service() {
            let now = self.now();
            let healthy = self.healthy_servers(service, now);
            if let Some(server) = self.fault_rng.pick(&healthy) {
                self.probe_slices_of(server);
            }
        }
        self.node_dies(node);
    }

    fn lose_leader_and_owner(&mut self, fault: usize, server: usize) {
        let service = self.servers[server].plan.service;
        let leader = self.leader_of(service);
        self.lose_together(fault, leader.into_iter().collect(), vec![server]);
    }

    fn lose_zone(&mut self, fault: usize, zone: usize) {
        self.lose_together(fault, self.nodes_in(zone), self.servers_in(zone));
    }

    fn lose_all(&mut self, fault: usize, with_servers: bool) {
        let servers: Vec<usize> = (0..self.servers.len()).collect();
        if !with_servers {
            self.probe_all_slices();
        }
        let servers = if with_servers { servers } else { Vec::new() };
        self.lose_together(fault, (0..self.nodes.len()).collect(), servers);
    }

    /// Kills the leader and all other voters but one of a group.
    fn lose_quorum(&mut self, fault: usize, leader: usize) {
        let group = self.view(leader).and_then(|view| {
            let leading = view.groups.into_iter().find(|group| group.leads);
            leading.map(|group| group.routes)
        });
        let voters = group.map_or(Vec::new(), |routes| routes.members.0);
        let mut lost: Vec<usize> = voters
            .iter()
            .map(|member| self.index_of(member.node))
            .collect();
        lost.sort_by_key(|index| *index != leader);
        lost.truncate(lost.len().saturating_sub(1).max(1));
        self.probe_all_slices();
        self.lose_together(fault, lost, Vec::new());
    }

    /// Probes the slices of all servers, none of which is killed.
    fn probe_all_slices(&mut self) {
        for index in 0..self.servers.len() {
            self.probe_slices_of(index);
        }
    }

    /// Kills nodes and servers at the same moment.
    fn lose_together(&mut self, fault: usize, nodes: Vec<usize>, servers: Vec<usize>) {
        for index in nodes {
            self.node_dies(index);
            self.faults[fault].terminated.push(Endpoint::Node(index));
        }
        for index in servers {
            self.lose_server(index);
            self.faults[fault].terminated.push(Endpoint::Server(index));
        }
    }

    fn restart_terminated(&mut self, terminated: &[Endpoint]) {
        for victim in terminated {
            match *victim {
                Endpoint::Node(index) => self.node_starts(index),
                Endpoint::Server(index) => self.server_starts(index),
                Endpoint::Platform | Endpoint::Clients => {}
            }
        }
    }

    fn nodes_in(&self, zone: usize) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].zone == zone)
            .collect()
    }

    fn servers_in(&self, zone: usize) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|index| self.servers[*index].plan.zone == zone)
            .collect()
    }

    fn server_returns(&mut self, index: usize) {
        self.server_starts(index);
        self.operate_server(index, false);
    }

    fn set_load_override(&mut self, index: usize, misreports: bool) {
        let load_override = if misreports {
            LoadOverride::Fixed(LoadReport::default())
        } else {
            LoadOverride::None
        };
        if let Some(state) = &mut self.servers[index].process {
            state.set_load_override(load_override);
        }
    }

    fn cut_node(&mut self, index: usize, cut: bool) {
        self.network.cut_endpoint(Endpoint::Node(index), cut);
        self.update_reachability(index);
    }

    fn cut_server(&mut self, index: usize, cut: bool) {
        self.network.cut_endpoint(Endpoint::Server(index), cut);
        self.update_server_reachability(index, cut);
    }

    /// Informs the checker that a partitioned server may lose its slices without a command.
    fn update_server_reachability(&mut self, index: usize, cut: bool) {
        let now = self.now();
        let server = &mut self.servers[index];
        if cut {
            self.checker.ownership.allow_loss(server.plan.server);
        }
        let healthy = !cut && server.process.is_some();
        server.healthy_since = healthy.then_some(now);
    }

    fn cut_zone(&mut self, zone: usize, cut: bool) {
        self.network.cut_zone(zone, cut);
        for index in self.nodes_in(zone) {
            self.update_reachability(index);
        }
        for index in self.servers_in(zone) {
            self.update_server_reachability(index, cut);
        }
    }

    fn cut_regions(&mut self, cut: bool) {
        self.network.cut_regions(cut);
        for index in 0..self.nodes.len() {
            self.update_reachability(index);
        }
        for index in 0..self.servers.len() {
            self.update_server_reachability(index, cut);
        }
    }

    fn degrade_network(&mut self) {
        let draw = |rng: &mut RandomStream, most: f64| rng.between(0.0, most);
        let degradation = Degradation {
            loss: draw(&mut self.fault_rng, 0.05),
            duplicate: draw(&mut self.fault_rng, 0.05),
            reorder: draw(&mut self.fault_rng, 0.05),
        };
        self.network.degrade(degradation);
    }

    /// Two operators base their commands on the same version and change the same tier.
    fn race_commands(&mut self) {
        let present = self.checker.configuration.newest();
        for _ in 0..2 {
            let weight = 1 + self.fault_rng.below(100) as u32;
            self.alter_tier(weight, Some(ConfigurationVersion(present.0)));
        }
    }
}

fn condition(kind: FaultKind) -> PlatformCondition {
    PlatformCondition {
        down: kind == FaultKind::PlatformDown,
        loses_answers: kind == FaultKind::PlatformLosesAnswers,
        delay: if kind == FaultKind::PlatformSlow {
            SLOW_PLATFORM
        } else {
            Span::ZERO
        },
    }
}
