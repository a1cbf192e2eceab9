//! Platform, back ends and nodes of a demonstration.

use super::caller::{self, Client, Targets};
use super::clock::WallClock;
use super::configuration;
use super::nodes::DemoNode;
use super::platform_endpoint::PlatformEndpoint;
use super::records::{CallerOutcome, RequestNumber};
use super::server_endpoint::{EndpointSettings, ServerEndpoint};
use super::workload::PlannedRequest;
use crate::standin::execution::Execution;
use ledgelead_types::platform::{CONFIGURATION_OBJECT, MachineState};
use ledgelead_types::{ServerId, Span};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit until all keys have an owner and every node answers.
const READY_LIMIT: Span = Span::from_seconds(20);
/// Interval between checks of the readiness.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// Tolerated rounding error of the sum of all slices' shares.
const ROUNDING: f64 = 1e-9;
/// First request number of probes, beyond all requests of a load.
const FIRST_PROBE: u64 = 1 << 40;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentShape {
    /// Number of nodes, each in the next zone.
    pub nodes: usize,
    /// Number of back ends of the keyed service.
    pub keyed_servers: usize,
    /// Number of back ends of the unkeyed service.
    pub unkeyed_servers: usize,
    /// Requests that a back end executes concurrently.
    pub slots: u16,
    /// Execution time of a request.
    pub service_time: Span,
    /// Whether back ends can be killed.
    pub killable: bool,
}

/// A running deployment.
pub struct Deployment {
    /// The clock of all records.
    pub clock: WallClock,
    /// The platform.
    pub platform: PlatformEndpoint,
    /// Back ends; those of the keyed service come first.
    pub servers: Vec<ServerEndpoint>,
    /// Nodes.
    pub nodes: Vec<DemoNode>,
}

impl Deployment {
    /// Starts everything. Keys have no owners yet.
    pub fn start(shape: &DeploymentShape) -> io::Result<Deployment> {
        let clock = WallClock::start();
        let platform = PlatformEndpoint::start(clock)?;
        let servers = start_servers(clock, shape)?;
        let configuration = configuration::compose(&servers);
        let object = serde_json::to_vec(&configuration).map_err(io::Error::other)?;
        platform.put(CONFIGURATION_OBJECT, object);
        let mut nodes = Vec::new();
        for index in 0..shape.nodes {
            let node = DemoNode::start(index, platform.address(), &nodes)?;
            platform.set_machine(node.machine(MachineState::Live));
            nodes.push(node);
        }
        Ok(Deployment {
            clock,
            platform,
            servers,
            nodes,
        })
    }

    /// Waits until every key has an owner and every node answers for both services.
    ///
    /// # Errors
    /// Returns what is still missing after the time limit.
    pub fn wait_until_ready(&self) -> Result<Span, String> {
        let client = Client::new(&self.node_targets());
        let started = self.clock.now();
        let mut probe = FIRST_PROBE;
        loop {
            let missing = self.missing(&client, &mut probe);
            let waited = self.clock.now().since(started);
            match missing {
                None => return Ok(waited),
                Some(missing) if waited > READY_LIMIT => return Err(missing),
                Some(_) => std::thread::sleep(READY_PAUSE),
            }
        }
    }

    fn missing(&self, client: &Client, probe: &mut u64) -> Option<String> {
        let owned = self.owned_share();
        if owned < 1.0 - ROUNDING {
            return Some(format!(
                "only {:.1} % of the keys have an owner",
                owned * 100.0
            ));
        }
        for node in &self.nodes {
            for key in [Some("probe"), None] {
                *probe += 1;
                let outcome = send_probe(client, node.http_address(), key, *probe);
                if !matches!(outcome, CallerOutcome::Answered { matches: true, .. }) {
                    return Some(format!("{} answered a probe with {outcome:?}", node.node()));
                }
            }
        }
        None
    }

    /// Share of all keys for which a back end holds a lease.
    pub fn owned_share(&self) -> f64 {
        let shares = |server: &ServerEndpoint| {
            let slices = server.claimable();
            slices.iter().map(|slice| slice.range.share()).sum::<f64>()
        };
        self.servers.iter().map(shares).sum::<f64>().abs()
    }

    /// The nodes as targets.
    pub fn node_targets(&self) -> Targets {
        Targets::Nodes(self.nodes.iter().map(DemoNode::http_address).collect())
    }

    /// The back ends as targets.
    pub fn direct_targets(&self) -> Targets {
        Targets::Servers {
            keyed: self.addresses(true),
            unkeyed: self.addresses(false),
        }
    }

    /// The back end with this identifier.
    pub fn server_mut(&mut self, id: ServerId) -> Option<&mut ServerEndpoint> {
        self.servers
            .iter_mut()
            .find(|server| server.settings().server == id)
    }

    /// Executions of requests sent by nodes, at all back ends.
    pub fn executions(&self) -> Vec<Execution> {
        self.servers
            .iter()
            .flat_map(ServerEndpoint::executions)
            .collect()
    }

    fn addresses(&self, keyed: bool) -> Vec<SocketAddr> {
        self.servers
            .iter()
            .filter(|server| server.settings().keyed == keyed)
            .map(ServerEndpoint::address)
            .collect()
    }
}

fn start_servers(clock: WallClock, shape: &DeploymentShape) -> io::Result<Vec<ServerEndpoint>> {
    (0..shape.keyed_servers + shape.unkeyed_servers)
        .map(|index| {
            let settings = EndpointSettings {
                server: ServerId(index as u32 + 1),
                slots: shape.slots,
                keyed: index < shape.keyed_servers,
                service_time: shape.service_time,
                killable: shape.killable,
            };
            ServerEndpoint::start(clock, settings)
        })
        .collect()
}

/// Sends a request that may run more than once to a node.
pub fn send_probe(
    client: &Client,
    node: SocketAddr,
    key: Option<&str>,
    number: u64,
) -> CallerOutcome {
    let request = PlannedRequest {
        request: RequestNumber(number),
        due: Span::ZERO,
        key: key.map(str::to_owned),
        once_only: false,
        caller: 0,
        body: Vec::new(),
    };
    let targets = Targets::Nodes(vec![node]);
    caller::send(client, &targets, &configuration::credentials(), &request).outcome
}
