//! JSON encoding of the configuration in the platform's store.

use crate::check::check;
use crate::finding::{Finding, Location, Problem};
use ledgelead_types::configuration::Configuration;
use ledgelead_types::platform::ObjectVersion;
use ledgelead_types::{Bytes, ConfigurationVersion, ServiceId};

/// Decodes and validates a configuration. Its version is the object's.
pub fn decode_configuration(
    value: &Bytes,
    version: ObjectVersion,
) -> Result<Configuration, Vec<Finding>> {
    let parsed = serde_json::from_slice::<Configuration>(&value.0);
    let mut configuration = parsed.map_err(|error| vec![malformed(&error)])?;
    configuration.version = ConfigurationVersion(version.0);
    let present = configuration.services.iter().map(|service| service.id);
    configuration.highest_service = present.fold(configuration.highest_service, ServiceId::max);
    let findings = check(&configuration);
    if findings.is_empty() {
        Ok(configuration)
    } else {
        Err(findings)
    }
}

/// Encodes a configuration, indented for readability.
pub fn encode_configuration(configuration: &Configuration) -> Bytes {
    let text = serde_json::to_vec_pretty(configuration);
    Bytes(text.expect("a configuration has no map with keys other than text"))
}

fn malformed(error: &serde_json::Error) -> Finding {
    Finding {
        location: Location::Text {
            line: error.line(),
            column: error.column(),
        },
        problem: Problem::Malformed(error.to_string()),
    }
}
