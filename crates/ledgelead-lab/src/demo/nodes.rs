//! The nodes of a demonstration, which all run in this process.

use super::configuration;
use ledgelead_core::SeedNode;
use ledgelead_node::settings::{Limits, Secret};
use ledgelead_node::{Node, RunningNode, Settings};
use ledgelead_types::platform::{MachineEntry, MachineState};
use ledgelead_types::{NodeId, Text};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;

/// Secret shared by the nodes.
const CLUSTER_KEY: &str = "a key for the loopback interface only";
/// Secret shared by nodes and back ends.
pub const SERVER_KEY: &str = "a key for back ends of the loopback";
/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A node and its addresses.
pub struct DemoNode {
    node: NodeId,
    index: usize,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    running: Option<RunningNode>,
}

impl DemoNode {
    /// Starts the node with this index. The earlier nodes are its seeds.
    pub fn start(index: usize, platform: SocketAddr, earlier: &[DemoNode]) -> io::Result<DemoNode> {
        let node = NodeId(index as u32 + 1);
        let settings = Settings {
            node,
            zone: configuration::zone_of(index),
            callers_address: ANY_PORT,
            administration_address: ANY_PORT,
            peer_address: ANY_PORT,
            advertised_peer_address: None,
            seeds: earlier.iter().map(DemoNode::seed).collect(),
            cluster_key: Secret::new(CLUSTER_KEY),
            server_key: Some(Secret::new(SERVER_KEY)),
            platform_address: platform,
            random_seed: None,
            limits: Limits::default(),
            log_level: log::LevelFilter::Warn,
        };
        let running = start_in_named_thread(node, settings)?;
        Ok(DemoNode {
            node,
            index,
            http_address: running.http_address,
            peer_address: running.peer_address,
            running: Some(running),
        })
    }

    /// The node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Its address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Its entry in the platform's list of machines.
    pub fn machine(&self, state: MachineState) -> MachineEntry {
        MachineEntry {
            node: self.node,
            zone: configuration::zone_of(self.index),
            address: Text(self.peer_address.to_string()),
            state,
        }
    }

    /// Control bytes sent and received so far: messages between nodes and lease renewals.
    pub fn control_bytes(&self) -> u64 {
        let metrics = self.running.as_ref().map(|node| node.metrics().render());
        metrics.map_or(0, |metrics| sum_control_bytes(&metrics))
    }

    /// Takes the running node in order to stop it.
    pub fn take(&mut self) -> Option<RunningNode> {
        self.running.take()
    }

    fn seed(&self) -> SeedNode {
        SeedNode {
            node: self.node,
            address: Text(self.peer_address.to_string()),
        }
    }
}

/// Starts a node in a named thread. Threads without a name inherit that of the thread that
/// starts them, so that the threads of a node's libraries can be distinguished from those of
/// the lab.
fn start_in_named_thread(node: NodeId, settings: Settings) -> io::Result<RunningNode> {
    let starting = thread::Builder::new()
        .name(format!("{node}/start"))
        .spawn(move || Node::start(settings).map_err(|error| error.to_string()))?;
    match starting.join() {
        Ok(result) => result.map_err(io::Error::other),
        Err(_) => Err(io::Error::other("starting the node panicked")),
    }
}

fn sum_control_bytes(metrics: &str) -> u64 {
    const COUNTERS: [&str; 4] = [
        "ledgelead_control_sent_bytes_total",
        "ledgelead_control_received_bytes_total",
        "ledgelead_peer_sent_bytes_total",
        "ledgelead_peer_received_bytes_total",
    ];
    metrics
        .lines()
        .filter(|line| COUNTERS.iter().any(|counter| line.starts_with(counter)))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}
