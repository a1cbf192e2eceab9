//! Validation of names, numbers and records from outside the process.
//!
//! Any writer can change the store's objects, and any process can send a datagram or a header.
//! Values outside these bounds could overflow a sum, make every later revision look old, or
//! exceed the size of a datagram. So they are rejected on arrival, without affecting other
//! data.

use crate::configuration::{Configuration, Route, Service};
use crate::dialect::{Object, ObjectContent, ObjectKind};
use crate::directory::InstanceRecord;
use crate::node::OWNERSHIP_NAME;
use crate::ownership::record::OwnershipRecord;
use crate::peers::NodeRecord;
use crate::quarantine::QuarantineRecord;
use crate::requests::RequestDigest;
use crate::tenants::Tenant;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Maximum length of the name of an object, service or zone, in bytes. An entry with three
/// such names fits one datagram.
pub const MAX_NAME_BYTES: usize = 255;
/// Maximum number of slots of an instance; limited by the size of a count in a datagram.
pub const MAX_SLOTS: u32 = u16::MAX as u32;
/// Maximum warm-up time of an instance after its start.
pub const MAX_WARMUP: Duration = Duration::from_secs(3_600);
/// Maximum timeout, latency or pause; no caller waits as long.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(86_400);
/// Largest revision, version, epoch or fencing token. JSON numbers are exact up to here, and a
/// number that nodes only increment never reaches it.
pub const MAX_REVISION: u64 = 1 << 53;
/// Largest weight of a target, and largest rate a second; sums of these stay exact.
pub const MAX_WEIGHT: f64 = 1e9;
/// Maximum stored length of a request's path, in bytes, so that it fits a datagram.
const MAX_PATH_BYTES: usize = 512;
/// Maximum length of an error message, in bytes; it may quote text from other writers.
const MAX_ERROR_BYTES: usize = 200;

/// Replaces invalid content by an error message.
pub fn check(kind: ObjectKind, object: &mut Object) {
    let checked = match &object.content {
        Ok(content) => check_content(kind, &object.name, content),
        Err(error) => Err(error.clone()),
    };
    if let Err(error) = checked {
        object.content = Err(truncated(&error));
    }
}

/// The start of a text from another process, for the log.
pub fn truncated(text: &str) -> String {
    let mut end = text.len().min(MAX_ERROR_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}

/// A time of this many milliseconds, from zero to `max`.
pub fn millis(ms: f64, max: Duration) -> Duration {
    let seconds = ms.max(0.0) / 1_000.0;
    Duration::try_from_secs_f64(seconds).map_or(max, |time| time.min(max))
}

/// Whether a text is a valid object name, which can also be sent in a header.
pub fn is_name(name: &str) -> bool {
    let is_visible = |c: char| !c.is_control() && c != char::REPLACEMENT_CHARACTER;
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.trim() == name
        && name.chars().all(is_visible)
}

/// Checks an instance's registration.
///
/// # Errors
///
/// Returns an error that names the invalid field.
pub fn instance(record: &InstanceRecord) -> Result<(), String> {
    name("id", record.id.as_str())?;
    name("service", record.service.as_str())?;
    name("zone", record.zone.as_str())?;
    address(record.address)?;
    match record.slots {
        1..=MAX_SLOTS => Ok(()),
        slots => Err(format!("slots: {slots} is not in 1 to {MAX_SLOTS}")),
    }
}

/// Checks a node's registration under an object name.
///
/// # Errors
///
/// Returns an error that names the invalid field.
pub fn node(object: &str, record: &NodeRecord) -> Result<(), String> {
    if record.identity.node.as_str() != object {
        // Otherwise it would replace the registration of the node that it names.
        return Err("identity: differs from the object's name".to_owned());
    }
    name("node", object)?;
    name("zone", record.zone.as_str())?;
    address(record.address)
}

/// Checks the ownership record under an object name.
///
/// # Errors
///
/// Returns an error that names the invalid field or the violated invariant.
pub fn ownership(object: &str, record: &OwnershipRecord) -> Result<(), String> {
    if object != OWNERSHIP_NAME {
        return Err(format!("the object's name is not `{OWNERSHIP_NAME}`"));
    }
    revision("epoch", record.epoch)?;
    revision("next_fence", record.next_fence)?;
    if record.earlier_authority() > MAX_TIMEOUT {
        return Err("earlier_authority_ms: exceeds the maximum time".to_owned());
    }
    for range in &record.grace_periods {
        if range.left() > MAX_TIMEOUT {
            return Err("grace_periods: exceed the maximum time".to_owned());
        }
    }
    for assignment in &record.assignments {
        name("service", assignment.service.as_str())?;
        name("owner", assignment.owner.as_str())?;
    }
    match record.is_consistent() {
        true => Ok(()),
        false => Err("assignments: overlap, are empty or have tokens above next_fence".to_owned()),
    }
}

/// Checks a version of the configuration.
///
/// # Errors
///
/// Returns an error that names the invalid entry.
pub fn configuration(configuration: &Configuration) -> Result<(), String> {
    revision("generation", configuration.version)?;
    configuration
        .routes
        .iter()
        .try_for_each(|known| route(known))?;
    configuration.services.iter().try_for_each(service)?;
    let mut tenants = configuration.tenants.iter();
    tenants.try_for_each(|known| tenant(known))
}

/// Checks a rate a second or another number that can't be negative.
///
/// # Errors
///
/// Returns an error that names the field.
pub fn rate(field: &str, rate: f64) -> Result<(), String> {
    match (0.0..=MAX_WEIGHT).contains(&rate) {
        true => Ok(()),
        false => Err(format!("{field}: {rate} is not in 0 to {MAX_WEIGHT}")),
    }
}

fn tenant(tenant: &Tenant) -> Result<(), String> {
    name("tenant", &tenant.name)?;
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    rate("ratePerS", quota.rate)
        .and_then(|()| rate("burst", quota.burst))
        .map_err(|error| format!("tenant {}: {error}", tenant.name))
}

/// Checks a revision, version, epoch or fencing token.
///
/// # Errors
///
/// Returns an error that names the field if the number is too large.
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
    .map_err(|error| format!("{}: {error}", kind.label()))
}

fn quarantine(object: &str, record: &QuarantineRecord) -> Result<(), String> {
    if RequestDigest::parse(object).is_none() {
        return Err("the name is not a request digest".to_owned());
    }
    match record.path.len() {
        0..=MAX_PATH_BYTES => Ok(()),
        bytes => Err(format!("path: {bytes} bytes exceed {MAX_PATH_BYTES}")),
    }
}

fn route(route: &Route) -> Result<(), String> {
    let is_weight = |weight: f64| (0.0..=MAX_WEIGHT).contains(&weight);
    let invalid = route
        .targets
        .iter()
        .find(|target| !is_weight(target.weight));
    if let Some(target) = invalid {
        return Err(format!(
            "route {}: weight {} is out of range",
            route.name, target.weight
        ));
    }
    if route.targets.is_empty() {
        return Err(format!("route {}: has no target", route.name));
    }
    match route.timeout.max(route.target_latency) <= MAX_TIMEOUT {
        true => Ok(()),
        false => Err(format!(
            "route {}: timeout or latency target exceeds the maximum",
            route.name
        )),
    }
}

fn service(service: &Service) -> Result<(), String> {
    let is_rate = |rate: f64| (0.0..=MAX_WEIGHT).contains(&rate);
    match service.cold_rate.is_none_or(is_rate) {
        true => Ok(()),
        false => Err(format!(
            "service {}: cold rate is out of range",
            service.name
        )),
    }
}

fn name(field: &str, text: &str) -> Result<(), String> {
    match is_name(text) {
        true => Ok(()),
        false => Err(format!("{field}: not a valid name")),
    }
}

fn address(address: SocketAddr) -> Result<(), String> {
    let is_broadcast = address.ip() == IpAddr::from([255, 255, 255, 255]);
    let ip = address.ip();
    match address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        true => Err(format!(
            "address: {address} is not a unicast address with a port"
        )),
        false => Ok(()),
    }
}

/// Parses plain decimal digits, without sign or exponent.
pub fn decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_plain = |c: char| c.is_ascii_digit() || c == '.';
    text.parse().ok().filter(|_| text.chars().all(is_plain))
}
