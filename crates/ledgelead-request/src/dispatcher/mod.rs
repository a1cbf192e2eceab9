//! The dispatcher: assigns the slots of the servers dispatched by this node, in priority
//! order across all gateways.
//!
//! A service that is partitioned by key has one queue per server, any other service one
//! queue per group for all servers of the group here. A permit entitles a gateway to send
//! one attempt to one server.

mod acquire;
mod admission;
mod fair_queue;
mod grant;
mod idempotency;
mod interface;
mod queue;
mod release;
mod server;
mod servers;
mod slice_load;
mod standing_queue;
mod tiers;

pub use interface::{DispatcherInput, DispatcherOutput, DispatcherSettings, ServerSliceLoads};

use crate::message::{DispatchReply, DispatchRequest};
use crate::timers::Timers;
use idempotency::PendingRecord;
use ledgelead_types::configuration::Configuration;
use ledgelead_types::dispatch::IdempotencyOwner;
use ledgelead_types::protections::Protections;
use ledgelead_types::request::AttemptId;
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::view::ServerLoadView;
use ledgelead_types::{
    ConfigurationVersion, GroupId, Incarnation, Member, NodeId, ServerId, Span, Time,
};
use queue::{Queue, QueueKey, Waiting};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use release::Permit;
use server::ServerState;
use slice_load::SliceLoads;
use std::collections::BTreeMap;
use std::sync::Arc;
use tiers::TierShares;

/// Identifies a permit or permit request: an attempt of one incarnation of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PermitKey {
    gateway: Member,
    attempt: AttemptId,
}

/// What a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    /// A waiting permit request, at the latest time at which it can be granted.
    Waiting(PermitKey),
    /// A permit that has been in use for long.
    Permit(PermitKey),
    /// A lost attempt that may still occupy its slot.
    Linger(PermitKey),
    /// A record that the group has not begun yet.
    Record(IdempotencyOwner),
    /// A non-empty queue: leases, drains and ejections change with time.
    Queue(QueueKey),
}

/// State machine for the slots of the servers dispatched by this node.
pub struct Dispatcher {
    node: NodeId,
    protections: Protections,
    random: Pcg64Mcg,
    configuration_version: Option<ConfigurationVersion>,
    shares: TierShares,
    servers: BTreeMap<ServerId, ServerState>,
    /// Servers dispatched here, by group.
    pools: BTreeMap<GroupId, Vec<ServerId>>,
    routes: BTreeMap<GroupId, Arc<GroupRoutes>>,
    queues: BTreeMap<QueueKey, Queue>,
    waiting: BTreeMap<PermitKey, Waiting>,
    permits: BTreeMap<PermitKey, Permit>,
    lingering: BTreeMap<PermitKey, ServerId>,
    pending_records: BTreeMap<IdempotencyOwner, PendingRecord>,
    slice_loads: SliceLoads,
    timers: Timers<TimerKey>,
    outputs: Vec<DispatcherOutput>,
}

impl Dispatcher {
    /// A dispatcher without servers.
    pub fn new(settings: DispatcherSettings, _now: Time) -> Dispatcher {
        Dispatcher {
            node: settings.node,
            protections: settings.protections,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            configuration_version: None,
            shares: TierShares::default(),
            servers: BTreeMap::new(),
            pools: BTreeMap::new(),
            routes: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
            lingering: BTreeMap::new(),
            pending_records: BTreeMap::new(),
            slice_loads: SliceLoads::default(),
            timers: Timers::new(),
            outputs: Vec::new(),
        }
    }

    /// The node that this dispatcher runs on.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Handles an input at `now`.
    pub fn step(&mut self, now: Time, input: DispatcherInput) {
        match input {
            DispatcherInput::Message { from, message } => self.message(now, from, message),
            DispatcherInput::ServerChanged(settings) => self.server_changed(now, settings),
            DispatcherInput::Servers { group, servers } => {
                self.servers_changed(now, group, servers);
            }
            DispatcherInput::Routes(routes) => self.routes_changed(now, routes),
            DispatcherInput::ServerLoad { server, load } => self.server_load(now, server, load),
            DispatcherInput::Configuration(configuration) => self.configure(&configuration),
            DispatcherInput::IdempotencyRecordDecided {
                owner,
                key,
                verdict,
            } => self.record_decided(now, owner, key, verdict),
            DispatcherInput::GatewayLost(node) => self.gateway_lost(now, node),
        }
    }

    /// Handles the timers that are due at `now`.
    pub fn tick(&mut self, now: Time) {
        while let Some(key) = self.timers.pop_due(now) {
            match key {
                TimerKey::Waiting(key) => self.refuse_overdue(now, key),
                TimerKey::Permit(key) => self.check_permit(now, key),
                TimerKey::Linger(key) => self.end_linger(now, key),
                TimerKey::Record(owner) => self.resend_begin(now, owner),
                TimerKey::Queue(queue) => self.grant_waiting(now, queue),
            }
        }
    }

    /// When [`Dispatcher::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        self.timers.next()
    }

    /// Takes the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<DispatcherOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Load of the slices of the servers dispatched here.
    pub fn slice_loads(&self, now: Time) -> Vec<ServerSliceLoads> {
        let is_here = |server| self.servers.contains_key(&server);
        self.slice_loads.loads(now, is_here)
    }

    /// Load of the servers dispatched here.
    pub fn server_views(&self, now: Time) -> Vec<ServerLoadView> {
        self.servers
            .iter()
            .map(|(&server, state)| ServerLoadView {
                server,
                requests_per_second: state.rate.at(now),
                slots_in_use: u16::try_from(state.used(now)).unwrap_or(u16::MAX),
                queued: self.queued_for(server, state.settings.group),
                report: state.report,
                lease_left: state.settings.lease_until.map(|until| until.since(now)),
            })
            .collect()
    }

    /// Number of permit requests queued for this server or for any server of its group.
    fn queued_for(&self, server: ServerId, group: GroupId) -> u32 {
        let length = |key: QueueKey| self.queues.get(&key).map_or(0, |queue| queue.fair.len());
        let queued = length(QueueKey::Server(server)) + length(QueueKey::Pool(group));
        u32::try_from(queued).unwrap_or(u32::MAX)
    }

    fn configure(&mut self, configuration: &Configuration) {
        if self
            .configuration_version
            .is_some_and(|present| configuration.version < present)
        {
            return;
        }
        self.configuration_version = Some(configuration.version);
        self.shares = TierShares::of(configuration);
    }

    fn message(&mut self, now: Time, from: NodeId, message: DispatchRequest) {
        let key = |incarnation: Incarnation, attempt: AttemptId| PermitKey {
            gateway: Member {
                node: from,
                incarnation,
            },
            attempt,
        };
        match message {
            DispatchRequest::Acquire(acquire) => {
                self.acquire(now, key(acquire.gateway, acquire.attempt), acquire);
            }
            DispatchRequest::Release(release) => {
                self.release(now, key(release.gateway, release.attempt), release);
            }
            DispatchRequest::Withdraw { gateway, attempt } => {
                self.withdraw(now, key(gateway, attempt));
            }
            DispatchRequest::PermitInUse { gateway, attempt } => {
                self.confirm_permit(key(gateway, attempt))
            }
            DispatchRequest::EndIdempotencyRecord {
                gateway,
                request,
                group,
                key,
                state,
            } => {
                let gateway = Member {
                    node: from,
                    incarnation: gateway,
                };
                let owner = IdempotencyOwner { gateway, request };
                self.end_record(now, owner, group, key, state);
            }
        }
    }

    fn reply(&mut self, to: Member, message: DispatchReply) {
        self.outputs.push(DispatcherOutput::Reply {
            to: to.node,
            message,
        });
    }

    /// Adds up to half of the span at random, so that refused callers don't all retry at
    /// once.
    fn jittered(&mut self, span: Span) -> Span {
        let factor: f64 = self.random.random_range(1.0..1.5);
        span.times(factor)
    }
}
