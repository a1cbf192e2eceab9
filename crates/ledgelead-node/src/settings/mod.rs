//! Settings of a node: a TOML file, overridden by flags.
//!
//! All errors are collected with their locations and reported together
//! ([`finding::Findings`]); nothing is started while a file has errors.

pub mod finding;
mod reader;

use finding::{Findings, Location};
use ledgelead_core::SeedNode;
use ledgelead_types::{NodeId, Text, ZoneId};
use reader::Section;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest secret key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// All settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address on which callers' requests are accepted; port 0 for any free port.
    pub callers_address: SocketAddr,
    /// Address of the administration interface; port 0 for any free port.
    pub administration_address: SocketAddr,
    /// Address on which connections of other nodes are accepted; port 0 for any free
    /// port.
    pub peer_address: SocketAddr,
    /// `IP:port` under which other nodes reach this one, if it differs from the address
    /// listened on.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Nodes that this node contacts first to join the cluster.
    pub seeds: Vec<SeedNode>,
    /// Secret shared by all nodes of the cluster, which authenticates their messages.
    pub cluster_key: Secret,
    /// Secret shared with all servers, which signs lease renewals and cancellations.
    /// They are unsigned if it is absent.
    pub server_key: Option<Secret>,
    /// `IP:port` of the platform's object API.
    pub platform_address: SocketAddr,
    /// Seed of the node's random number generator; random if absent.
    pub random_seed: Option<u64>,
    /// Limits of memory, threads and time.
    pub limits: Limits,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

/// Limits of the resources that callers, servers and the platform can occupy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Callers' connections open at the same time.
    pub max_connections: usize,
    /// Requests accepted and not yet answered.
    pub max_open_requests: usize,
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of a server's response.
    pub max_answer_bytes: usize,
    /// How long a caller may take to send a request, and to receive its response.
    pub caller_time: Duration,
    /// How long a caller's connection may stay idle between requests.
    pub caller_idle_time: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Threads that read callers' requests.
    pub reading_threads: usize,
    /// Threads that forward requests to servers, which limits the requests in flight.
    pub forwarding_threads: usize,
    /// Threads that renew servers' leases.
    pub renewal_threads: usize,
    /// How long a connection to a server may take to be established.
    pub connect_time: Duration,
    /// How long a keep-alive connection to a server may stay idle; keep it below the
    /// server's own limit.
    pub server_idle_time: Duration,
    /// How long a call to the platform may take.
    pub platform_time: Duration,
    /// How long the platform may hold a watch until there is a change.
    pub platform_watch_time: Duration,
    /// How long a stop waits for requests in flight.
    pub stop_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_connections: 1_024,
            max_open_requests: 4_096,
            max_header_bytes: 32 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_answer_bytes: 16 * 1024 * 1024,
            caller_time: Duration::from_secs(10),
            caller_idle_time: Duration::from_secs(60),
            max_deadline: Duration::from_secs(60),
            reading_threads: 8,
            forwarding_threads: 64,
            renewal_threads: 16,
            connect_time: Duration::from_millis(250),
            server_idle_time: Duration::from_secs(5),
            platform_time: Duration::from_secs(1),
            platform_watch_time: Duration::from_secs(5),
            stop_time: Duration::from_secs(30),
        }
    }
}

/// A secret that does not appear in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    pub fn new(secret: impl Into<String>) -> Secret {
        Secret(secret.into())
    }

    /// The secret itself, for the code that uses it.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret")
    }
}

/// Flags that override the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// `--node`
    pub node: Option<String>,
    /// `--zone`
    pub zone: Option<String>,
    /// `--callers`
    pub callers_address: Option<String>,
    /// `--administration`
    pub administration_address: Option<String>,
    /// `--peers`
    pub peer_address: Option<String>,
    /// `--platform`
    pub platform_address: Option<String>,
    /// `--log-level`
    pub log_level: Option<String>,
}

impl Settings {
    /// Parses settings from the text of a file and the flags that override it.
    ///
    /// # Errors
    /// All errors found, in the order of their locations.
    pub fn parse(file: &str, text: &str, overrides: &Overrides) -> Result<Settings, Findings> {
        let mut findings = Findings::new(file, text);
        let settings = parse_document(text, overrides, &mut findings);
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings.sorted()),
        }
    }
}

fn parse_document(text: &str, overrides: &Overrides, findings: &mut Findings) -> Option<Settings> {
    let (document, errors) = toml::de::DeTable::parse_recoverable(text);
    for error in errors {
        let bytes = error.span().unwrap_or(0..0);
        findings.add_syntax_error(bytes, format!("invalid TOML: {}", error.message()));
    }
    let root = Section::root(document.get_ref());
    root.expect_only(
        &[
            "node", "listen", "cluster", "servers", "platform", "limits", "log",
        ],
        findings,
    );
    let node = root.section("node", findings);
    let listen = root.section("listen", findings);
    let cluster = root.section("cluster", findings);
    let servers = root.optional_section("servers", findings);
    let platform = root.section("platform", findings);
    let log = root.optional_section("log", findings);
    let limits = root.optional_section("limits", findings);

    node.expect_only(&["id", "zone", "random-seed"], findings);
    listen.expect_only(
        &["callers", "administration", "peers", "advertised-peers"],
        findings,
    );
    cluster.expect_only(&["key", "seeds"], findings);
    servers.expect_only(&["key"], findings);
    platform.expect_only(&["address"], findings);
    log.expect_only(&["level"], findings);

    let id = node.number("id", &overrides.node, 0..=u64::from(u32::MAX), findings);
    let zone = node.number("zone", &overrides.zone, 0..=u64::from(u16::MAX), findings);
    let random_seed = node.optional_number("random-seed", 0..=i64::MAX as u64, findings);
    let callers = listen.address("callers", &overrides.callers_address, findings);
    let administration = listen.address(
        "administration",
        &overrides.administration_address,
        findings,
    );
    let peers = listen.address("peers", &overrides.peer_address, findings);
    let advertised = listen.optional_address("advertised-peers", findings);
    let cluster_key = cluster.text("key", findings);
    let cluster_key = secret_key("cluster.key", cluster_key, findings);
    let server_key = servers.optional_text("key", findings);
    let server_key = secret_key("servers.key", server_key, findings);
    let seeds = parse_seeds(&cluster, findings);
    let platform_address = platform.address("address", &overrides.platform_address, findings);
    let log_level = log.level("level", &overrides.log_level, findings);
    let limits = parse_limits(&limits, findings);

    Some(Settings {
        node: NodeId(id? as u32),
        zone: ZoneId(zone? as u16),
        callers_address: callers?,
        administration_address: administration?,
        peer_address: peers?,
        advertised_peer_address: advertised,
        seeds,
        cluster_key: cluster_key?,
        server_key,
        platform_address: platform_address?,
        random_seed,
        limits,
        log_level,
    })
}

/// Checks that a secret key is long enough.
fn secret_key(
    name: &str,
    key: Option<(String, Location)>,
    findings: &mut Findings,
) -> Option<Secret> {
    let (key, location) = key?;
    if key.len() < MIN_KEY_BYTES {
        let expected = format!("expected a secret of {MIN_KEY_BYTES} bytes or more");
        findings.add(location, format!("{name} is too short: {expected}"));
    }
    Some(Secret::new(key))
}

fn parse_seeds(cluster: &Section<'_>, findings: &mut Findings) -> Vec<SeedNode> {
    let mut seeds = Vec::new();
    for seed in cluster.sections("seeds", findings) {
        seed.expect_only(&["node", "address"], findings);
        let node = seed.number("node", &None, 0..=u64::from(u32::MAX), findings);
        let address = seed.address("address", &None, findings);
        if let (Some(node), Some(address)) = (node, address) {
            seeds.push(SeedNode {
                node: NodeId(node as u32),
                address: Text(address.to_string()),
            });
        }
    }
    seeds
}

fn parse_limits(section: &Section<'_>, findings: &mut Findings) -> Limits {
    let mut limits = Limits::default();
    let counts: [(&str, &mut usize, u64); 8] = [
        ("max-connections", &mut limits.max_connections, 100_000),
        (
            "max-open-requests",
            &mut limits.max_open_requests,
            1_000_000,
        ),
        ("max-header-bytes", &mut limits.max_header_bytes, 1 << 20),
        ("max-body-bytes", &mut limits.max_body_bytes, 1 << 30),
        ("max-answer-bytes", &mut limits.max_answer_bytes, 1 << 30),
        ("reading-threads", &mut limits.reading_threads, 1_024),
        ("forwarding-threads", &mut limits.forwarding_threads, 4_096),
        ("renewal-threads", &mut limits.renewal_threads, 1_024),
    ];
    let mut names = Vec::new();
    for (name, value, most) in counts {
        names.push(name);
        if let Some(number) = section.optional_number(name, 1..=most, findings) {
            *value = number as usize;
        }
    }
    let times: [(&str, &mut Duration); 8] = [
        ("caller-time-ms", &mut limits.caller_time),
        ("caller-idle-time-ms", &mut limits.caller_idle_time),
        ("max-deadline-ms", &mut limits.max_deadline),
        ("connect-time-ms", &mut limits.connect_time),
        ("server-idle-time-ms", &mut limits.server_idle_time),
        ("platform-time-ms", &mut limits.platform_time),
        ("platform-watch-time-ms", &mut limits.platform_watch_time),
        ("stop-time-ms", &mut limits.stop_time),
    ];
    /// One hour; none of these times should be longer.
    const MAX_MS: u64 = 3_600_000;
    for (name, value) in times {
        names.push(name);
        if let Some(number) = section.optional_number(name, 1..=MAX_MS, findings) {
            *value = Duration::from_millis(number);
        }
    }
    section.expect_only(&names, findings);
    limits
}
