//! Compact encoding of all instances: each service and zone name is encoded once.

use super::message::PeerAddress;
use crate::directory::InstanceRecord;
use crate::identity::{InstanceId, ServiceName, ZoneName};
use crate::validation::{self, MAX_WARMUP};
use ledgelead_types::codec::{List, Text};
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

/// Instances that refer to services and zones by index.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct InstanceTable {
    services: List<Text>,
    zones: List<Text>,
    rows: List<InstanceRow>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
struct InstanceRow {
    id: Text,
    service: u16,
    zone: u16,
    address: AddressEntry,
    slots: u32,
    draining: bool,
    warmup_left_ms: u32,
}

/// Where an instance is reached.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
enum AddressEntry {
    /// An IPv4 address.
    V4(PeerAddress),
    /// Any other address, as text.
    Text(Text),
}

impl AddressEntry {
    fn new(address: SocketAddr) -> AddressEntry {
        match PeerAddress::new(address) {
            Some(short) => AddressEntry::V4(short),
            None => AddressEntry::Text(Text(address.to_string())),
        }
    }

    fn socket(&self) -> Option<SocketAddr> {
        match self {
            AddressEntry::V4(short) => Some(short.socket()),
            AddressEntry::Text(text) => text.0.parse().ok(),
        }
    }
}

impl InstanceTable {
    /// Encodes instances. Those whose service or zone would be the 65,537th name are left out.
    pub fn new<'a>(records: impl Iterator<Item = &'a InstanceRecord>) -> InstanceTable {
        let mut services = Names::default();
        let mut zones = Names::default();
        let mut rows = Vec::new();
        for record in records {
            let indices = (
                services.index_of(&record.service),
                zones.index_of(&record.zone),
            );
            let (Some(service), Some(zone)) = indices else {
                continue;
            };
            rows.push(InstanceRow {
                id: Text(record.id.to_string()),
                service,
                zone,
                address: AddressEntry::new(record.address),
                slots: record.slots,
                draining: record.draining,
                warmup_left_ms: u32::try_from(record.warmup_left.as_millis()).unwrap_or(u32::MAX),
            });
        }
        InstanceTable {
            services: services.texts(ServiceName::as_str),
            zones: zones.texts(ZoneName::as_str),
            rows: List(rows),
        }
    }

    /// The decoded instances that pass validation.
    pub fn into_records(self) -> Vec<InstanceRecord> {
        let services: Vec<ServiceName> = self
            .services
            .iter()
            .map(|name| ServiceName::from(name.0.as_str()))
            .collect();
        let zones: Vec<ZoneName> = self
            .zones
            .iter()
            .map(|name| ZoneName::from(name.0.as_str()))
            .collect();
        let record = |row: InstanceRow| {
            let warmup_left = Duration::from_millis(u64::from(row.warmup_left_ms));
            let record = InstanceRecord {
                id: InstanceId::parse(&row.id.0),
                service: services.get(usize::from(row.service))?.clone(),
                address: row.address.socket()?,
                zone: zones.get(usize::from(row.zone))?.clone(),
                slots: row.slots,
                draining: row.draining,
                warmup_left: warmup_left.min(MAX_WARMUP),
            };
            validation::instance(&record).is_ok().then_some(record)
        };
        self.rows.0.into_iter().filter_map(record).collect()
    }
}

/// Distinct names in order of first use.
struct Names<T> {
    indices: HashMap<T, u16>,
    names: Vec<T>,
}

impl<T> Default for Names<T> {
    fn default() -> Names<T> {
        Names {
            indices: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<T: Clone + Eq + Hash> Names<T> {
    fn index_of(&mut self, name: &T) -> Option<u16> {
        if let Some(index_of) = self.indices.get(name) {
            return Some(*index_of);
        }
        let index_of = u16::try_from(self.names.len()).ok()?;
        self.indices.insert(name.clone(), index_of);
        self.names.push(name.clone());
        Some(index_of)
    }

    fn texts(&self, text: impl Fn(&T) -> &str) -> List<Text> {
        let texts = self.names.iter().map(|name| Text(text(name).to_owned()));
        texts.collect()
    }
}
