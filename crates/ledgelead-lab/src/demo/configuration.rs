//! The configuration used by the demonstration and the benchmark.

use super::caller::{KEYED_SERVICE, UNKEYED_SERVICE};
use super::server_endpoint::ServerEndpoint;
use ledgelead_types::configuration::*;
use ledgelead_types::*;
use sha2::{Digest, Sha256};

/// Zones, one per node.
pub const ZONES: [&str; 3] = ["chapinero", "teusaquillo", "kennedy"];
/// The keyed service.
pub const KEYED: ServiceId = ServiceId(1);
/// The unkeyed service.
pub const UNKEYED: ServiceId = ServiceId(2);
/// Credential of the operator.
pub const OPERATOR_CREDENTIAL: &str = "demo-operator";

/// Maximum number of connections to a back end from all nodes together.
const MAX_CONNECTIONS: u16 = 130;

/// Tiers with their name, weight, guaranteed share and number of callers.
const TIERS: [(&str, u32, u8, usize); 3] = [
    ("gold", 8, 20, 2),
    ("silver", 3, 10, 4),
    ("bronze", 1, 5, 6),
];

/// Credentials of all callers in the order of their identifiers.
pub fn credentials() -> Vec<String> {
    TIERS
        .iter()
        .flat_map(|(tier, _, _, callers)| {
            (1..=*callers).map(move |number| format!("demo-{tier}-{number}"))
        })
        .collect()
}

/// Zone of the server or node with this index.
pub fn zone_of(index: usize) -> ZoneId {
    ZoneId((index % ZONES.len()) as u16 + 1)
}

/// Composes the configuration for servers that are already listening.
pub fn compose(servers: &[ServerEndpoint]) -> Configuration {
    Configuration {
        version: ConfigurationVersion(1),
        zones: zones(),
        services: List(vec![
            service(KEYED, KEYED_SERVICE, Partitioning::Hash),
            service(UNKEYED, UNKEYED_SERVICE, Partitioning::None),
        ]),
        servers: servers.iter().enumerate().map(server).collect(),
        tiers: tiers(),
        callers: callers(),
        operators: List(vec![OperatorConfiguration {
            name: Text::from("demo"),
            credential_sha256: sha256(OPERATOR_CREDENTIAL),
            role: OperatorRole::Administer,
            teams: List::default(),
        }]),
        applied_commands: List::default(),
        highest_service: UNKEYED,
    }
}

fn zones() -> List<ZoneConfiguration> {
    let zone = |(index, name): (usize, &&str)| ZoneConfiguration {
        id: zone_of(index),
        name: Text::from(*name),
        region: Text::from("bogota"),
    };
    ZONES.iter().enumerate().map(zone).collect()
}

fn service(id: ServiceId, name: &str, partitioning: Partitioning) -> ServiceConfiguration {
    ServiceConfiguration {
        id,
        name: Text::from(name),
        team: Text::default(),
        partitioning,
        groups: 1,
        replicas: 3,
        slices_per_server: 8,
        balance: BalanceConfiguration::default(),
        default_deadline_ms: 2_000,
    }
}

fn server((index, endpoint): (usize, &ServerEndpoint)) -> ServerConfiguration {
    let settings = endpoint.settings();
    let service = if settings.keyed { KEYED } else { UNKEYED };
    ServerConfiguration {
        id: settings.server,
        name: Text(format!("back-end-{}", settings.server.0)),
        service,
        zone: zone_of(index),
        address: Text(endpoint.address().to_string()),
        slots: settings.slots,
        max_connections: MAX_CONNECTIONS,
    }
}

fn tiers() -> List<TierConfiguration> {
    let tier = |(index, tier): (usize, &(&str, u32, u8, usize))| TierConfiguration {
        id: TierId(index as u8 + 1),
        name: Text::from(tier.0),
        weight: tier.1,
        guaranteed_percent: tier.2,
    };
    TIERS.iter().enumerate().map(tier).collect()
}

fn callers() -> List<CallerConfiguration> {
    let bought = TIERS
        .iter()
        .enumerate()
        .flat_map(|(index, tier)| std::iter::repeat_n(TierId(index as u8 + 1), tier.3));
    let caller = |(index, (credential, tier)): (usize, (String, TierId))| CallerConfiguration {
        id: CallerId(index as u32 + 1),
        name: Text(credential.clone()),
        credential_sha256: sha256(&credential),
        tier,
        max_requests_per_second: 0,
        max_concurrent: 0,
    };
    credentials()
        .into_iter()
        .zip(bought)
        .enumerate()
        .map(caller)
        .collect()
}

fn sha256(credential: &str) -> Text {
    let digest = Sha256::digest(credential.as_bytes());
    Text(digest.iter().map(|byte| format!("{byte:02x}")).collect())
}
