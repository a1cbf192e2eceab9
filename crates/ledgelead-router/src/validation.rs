//! What may come in from outside: names, numbers and records within bounds.
//!
//! Any writer may change the store's objects, and any process may send a datagram or a
//! header. What lies outside these bounds would overflow a sum, block a revision for good
//! or fill a datagram, so it is refused where it enters, and nothing else with it.

use crate::configuration::{Configuration, Route, Service};
use crate::dialect::{Object, ObjectContent, ObjectKind};
use crate::directory::InstanceRecord;
use crate::node::OWNERSHIP_NAME;
use crate::ownership::record::OwnershipRecord;
use crate::peers::NodeRecord;
use crate::quarantine::QuarantineRecord;
use crate::requests::RequestDigest;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Longest name of an object, service or zone, in bytes. An entry with three of them fits
/// one datagram.
pub const MAX_NAME_BYTES: usize = 255;
/// Most requests that an instance works on at once, as many as a datagram's count holds.
pub const MAX_SLOTS: u32 = u16::MAX as u32;
/// Longest time for which an instance is taken for cold after its start.
pub const MAX_WARMUP: Duration = Duration::from_secs(3_600);
/// Longest time-out, latency or pause that is asked for; no caller waits as long.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(86_400);
/// Largest revision, version, epoch or fencing token. Up to here JSON's numbers are exact,
/// and one that is counted up by a writer of our own never gets there.
pub const MAX_REVISION: u64 = 1 << 53;
/// Largest weight of a target, and largest rate a second; their sums stay exact.
pub const MAX_WEIGHT: f64 = 1e9;
/// Longest path that is kept of a request, in bytes, so that a datagram holds it.
const MAX_PATH_BYTES: usize = 512;
/// Longest finding, in bytes; it may quote what another writer wrote.
const MAX_FINDING_BYTES: usize = 200;

/// Puts a finding in the place of content that lies out of bounds.
pub fn check(kind: ObjectKind, object: &mut Object) {
    let checked = match &object.content {
        Ok(content) => check_content(kind, &object.name, content),
        Err(finding) => Err(finding.clone()),
    };
    if let Err(finding) = checked {
        object.content = Err(truncated(&finding));
    }
}

/// The start of a text that another process wrote, for the log.
pub fn truncated(text: &str) -> String {
    let mut end = text.len().min(MAX_FINDING_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}

/// A time of this many milliseconds, at most `max`; nothing for one below nothing.
pub fn millis(ms: f64, max: Duration) -> Duration {
    let seconds = ms.max(0.0) / 1_000.0;
    Duration::try_from_secs_f64(seconds).map_or(max, |time| time.min(max))
}

/// Whether a text can name an object, also within a header.
pub fn is_name(name: &str) -> bool {
    let is_visible = |c: char| !c.is_control() && c != char::REPLACEMENT_CHARACTER;
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.trim() == name
        && name.chars().all(is_visible)
}

/// Checks what an instance registered.
///
/// # Errors
/// Names the field that is out of bounds.
pub fn instance(record: &InstanceRecord) -> Result<(), String> {
    name("id", record.id.as_str())?;
    name("service", record.service.as_str())?;
    name("zone", record.zone.as_str())?;
    address(record.address)?;
    match record.slots {
        1..=MAX_SLOTS => Ok(()),
        slots => Err(format!("slots: {slots} of 1 to {MAX_SLOTS}")),
    }
}

/// Checks a node's registration under a name.
///
/// # Errors
/// Names the field that is out of bounds.
pub fn node(object: &str, record: &NodeRecord) -> Result<(), String> {
    if record.identity.node.as_str() != object {
        // Else it would stand in the place of the node that it names.
        return Err("identity: the object has another name".to_owned());
    }
    name("node", object)?;
    name("zone", record.zone.as_str())?;
    address(record.address)
}

/// Checks the record of ownership under a name.
///
/// # Errors
/// Names what is out of bounds, or breaks the record's invariant.
pub fn ownership(object: &str, record: &OwnershipRecord) -> Result<(), String> {
    if object != OWNERSHIP_NAME {
        return Err(format!("the record's name is `{OWNERSHIP_NAME}`"));
    }
    revision("epoch", record.epoch)?;
    revision("next_fence", record.next_fence)?;
    if record.earlier_authority() > MAX_TIMEOUT {
        return Err("earlier_authority_ms: too long".to_owned());
    }
    for assignment in &record.assignments {
        name("service", assignment.service.as_str())?;
        name("owner", assignment.owner.as_str())?;
    }
    match record.is_consistent() {
        true => Ok(()),
        false => Err("assignments: overlap, are empty or have tokens of the future".to_owned()),
    }
}

/// Checks a version of the configuration.
///
/// # Errors
/// Names the entry that is out of bounds.
pub fn configuration(configuration: &Configuration) -> Result<(), String> {
    revision("generation", configuration.version)?;
    configuration
        .routes
        .iter()
        .try_for_each(|known| route(known))?;
    configuration.services.iter().try_for_each(service)
}

/// Checks a revision, version, epoch or fencing token.
///
/// # Errors
/// Names the field if the number is too large.
pub fn revision(field: &str, number: u64) -> Result<(), String> {
    match number {
        0..=MAX_REVISION => Ok(()),
        _ => Err(format!("{field}: {number} is too large")),
    }
}

fn check_content(kind: ObjectKind, object: &str, content: &ObjectContent) -> Result<(), String> {
    name("metadata.name", object)?;
    match content {
        ObjectContent::Configuration(content) => configuration(content),
        ObjectContent::Instance(record) => instance(record),
        ObjectContent::Ownership(record) => ownership(object, record),
        ObjectContent::Node(record) => node(object, record),
        ObjectContent::Evacuation(_) => Ok(()),
        ObjectContent::Quarantine(record) => quarantine(object, record),
    }
    .map_err(|finding| format!("{}: {finding}", kind.label()))
}

fn quarantine(object: &str, record: &QuarantineRecord) -> Result<(), String> {
    if RequestDigest::parse(object).is_none() {
        return Err("the name is no digest".to_owned());
    }
    match record.path.len() {
        0..=MAX_PATH_BYTES => Ok(()),
        bytes => Err(format!("path: {bytes} bytes")),
    }
}

fn route(route: &Route) -> Result<(), String> {
    let is_weight = |weight: f64| (0.0..=MAX_WEIGHT).contains(&weight);
    let unsound = route
        .targets
        .iter()
        .find(|target| !is_weight(target.weight));
    if let Some(target) = unsound {
        return Err(format!("route {}: weight {}", route.name, target.weight));
    }
    if route.targets.is_empty() {
        return Err(format!("route {}: no target", route.name));
    }
    match route.timeout.max(route.target_latency) <= MAX_TIMEOUT {
        true => Ok(()),
        false => Err(format!("route {}: too long a time-out", route.name)),
    }
}

fn service(service: &Service) -> Result<(), String> {
    let is_rate = |rate: f64| (0.0..=MAX_WEIGHT).contains(&rate);
    match service.cold_rate.is_none_or(is_rate) {
        true => Ok(()),
        false => Err(format!("service {}: rate out of range", service.name)),
    }
}

fn name(field: &str, text: &str) -> Result<(), String> {
    match is_name(text) {
        true => Ok(()),
        false => Err(format!("{field}: no name")),
    }
}

fn address(address: SocketAddr) -> Result<(), String> {
    let is_broadcast = address.ip() == IpAddr::from([255, 255, 255, 255]);
    let ip = address.ip();
    match address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        true => Err(format!("address: {address} can't be reached")),
        false => Ok(()),
    }
}

/// A number in plain decimal digits, without sign or exponent.
pub fn decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_plain = |c: char| c.is_ascii_digit() || c == '.';
    text.parse().ok().filter(|_| text.chars().all(is_plain))
}
