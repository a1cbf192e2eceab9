//! The sections of a scenario file.

use ledgelead_types::configuration::{BalanceConfiguration, Partitioning};
use serde::Deserialize;

/// General settings of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunSection {
    /// Name in reports.
    pub name: String,
    /// Length of the run in virtual seconds.
    pub virtual_seconds: u64,
    /// Initial seconds without measured load and without faults.
    pub warm_up_seconds: u64,
    /// Seconds of load after the warm-up before balance is measured.
    #[serde(default)]
    pub settle_seconds: u64,
    /// Final seconds without new faults, so that the deployment can recover before the last
    /// checks.
    pub quiet_seconds: u64,
    /// Length of the windows over which imbalance is averaged, in seconds.
    #[serde(default = "default_window")]
    pub imbalance_window_seconds: u64,
    /// Period of the daily load cycle, in seconds; 0 for none.
    #[serde(default)]
    pub diurnal_period_seconds: u64,
    /// Amplitude of the daily load cycle, as a share of the mean.
    #[serde(default)]
    pub diurnal_amplitude: f64,
}

fn default_window() -> u64 {
    10
}

/// Latency and reliability of the network. Latencies are one-way.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSection {
    /// Within a zone, in milliseconds.
    pub within_zone_ms: f64,
    /// Between two zones of a region, in milliseconds.
    pub between_zones_ms: f64,
    /// Between two regions, in milliseconds.
    #[serde(default)]
    pub between_regions_ms: f64,
    /// To and from clients, in milliseconds.
    pub to_clients_ms: f64,
    /// Mean of the exponential jitter on every message, in milliseconds.
    pub jitter_ms: f64,
    /// Messages between nodes that are lost, in percent.
    #[serde(default)]
    pub loss_percent: f64,
    /// Messages between nodes that arrive twice, in percent.
    #[serde(default)]
    pub duplicate_percent: f64,
    /// Messages that later ones overtake, in percent.
    #[serde(default)]
    pub reorder_percent: f64,
    /// Time to open a connection, in milliseconds.
    pub connect_ms: f64,
    /// Time for a server to respond to a probe or renewal, in milliseconds.
    pub probe_ms: f64,
}

/// The nodes of the system under test.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodesSection {
    /// Nodes in each zone.
    pub per_zone: u32,
    /// Maximum deviation of a process's clock from true time, in parts per million in either
    /// direction.
    pub clock_drift_ppm: u64,
}

/// The platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// One-way latency to the platform, in milliseconds.
    pub latency_ms: f64,
    /// Delay until a machine's change appears in the machine list, in seconds.
    pub machine_list_lag_seconds: f64,
}

/// A zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSection {
    /// Name.
    pub name: String,
    /// Region.
    #[serde(default)]
    pub region: String,
}

/// A tier and its share of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSection {
    /// Name.
    pub name: String,
    /// Weight of its share of contested capacity.
    pub weight: u32,
    /// Minimum share of a server's capacity, in percent.
    #[serde(default)]
    pub guaranteed_percent: u8,
    /// Share of each service's load, in percent.
    pub load_percent: f64,
}

/// A service, its instances and its load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Name.
    pub name: String,
    /// How keys are mapped to positions.
    pub partitioning: Partitioning,
    /// Number of groups.
    #[serde(default = "one_group")]
    pub groups: u16,
    /// Replicas of each group.
    #[serde(default = "three_replicas")]
    pub replicas: u8,
    /// Initial number of slices per server of a group.
    #[serde(default = "eight_slices")]
    pub slices_per_server: u16,
    /// Number of instances, distributed over the zones in rotation.
    pub instances: u32,
    /// Requests that an instance executes concurrently.
    pub slots: u16,
    /// Maximum number of connections to an instance.
    pub connections: u16,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Share of the service time that is exponentially distributed, from 0 to 1.
    #[serde(default = "half")]
    pub service_variable_share: f64,
    /// How long an instance is cold after its start, in seconds.
    #[serde(default)]
    pub cold_seconds: f64,
    /// Factor by which service times are longer on a cold instance.
    #[serde(default = "one")]
    pub cold_factor: f64,
    /// Cost of moving keys, weighed against uneven load.
    #[serde(default)]
    pub balance: BalanceConfiguration,
    /// Load.
    pub load: LoadSection,
}

fn one_group() -> u16 {
    1
}

fn three_replicas() -> u8 {
    3
}

fn eight_slices() -> u16 {
    8
}

fn half() -> f64 {
    0.5
}

fn one() -> f64 {
    1.0
}

/// Open-loop load of a service with Poisson arrivals.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSection {
    /// Mean load as a share of the service's capacity.
    pub of_capacity: f64,
    /// Number of keys.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Exponent of the Zipf distribution of the keys' popularity.
    #[serde(default)]
    pub zipf: f64,
    /// Number of additional hot keys.
    #[serde(default)]
    pub hot_keys: u32,
    /// Share of the load that goes to the hot keys, in percent.
    #[serde(default)]
    pub hot_percent: f64,
    /// Interval between changes of the hot keys, in seconds; 0 for never.
    #[serde(default)]
    pub hot_move_seconds: f64,
    /// Number of hot keys that change at a time; 0 for all.
    #[serde(default)]
    pub hot_keys_moved: u32,
    /// Interval between load bursts caused by archive downloads, in seconds; 0 for never.
    #[serde(default)]
    pub pull_every_seconds: u64,
    /// Duration of such a burst, in seconds.
    #[serde(default)]
    pub pull_seconds: u64,
    /// Factor on the load during a burst.
    #[serde(default = "one")]
    pub pull_factor: f64,
    /// Requests that run at most once, in percent.
    #[serde(default)]
    pub once_only_percent: f64,
    /// Share of these at-most-once requests that the caller sends a second time with the same
    /// idempotency key through another node, in percent.
    #[serde(default)]
    pub repeat_percent: f64,
    /// Deadline of requests, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

fn default_keys() -> u32 {
    20_000
}

fn default_deadline() -> u64 {
    2_000
}
