//! Zones that the operator has emptied: until that is taken back, their instances
//! get nothing more.

use crate::identity::ZoneName;
use ledgelead_types::codec::List;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeSet;

/// The evacuated zones by one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    revision: u64,
    /// Stable hashes of the zones' names.
    zones: BTreeSet<u64>,
}

/// The same in a coordinator's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct EvacuationsEntry {
    /// The store's revision by which the zones are known; 0 if they are not.
    pub revision: u64,
    /// Stable hashes of the zones' names.
    pub zones: List<u64>,
}

impl Evacuations {
    /// The store's revision by which the zones are known; 0 before they are.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Stable hashes of the zones' names.
    pub fn zones(&self) -> &BTreeSet<u64> {
        &self.zones
    }

    /// The store has listed all evacuated zones. Returns whether this is news.
    pub fn listed(&mut self, zones: &[ZoneName], revision: u64) -> bool {
        let zones = zones.iter().map(ZoneName::stable_hash).collect();
        self.replace(zones, revision)
    }

    /// The store tells of one zone.
    pub fn changed(&mut self, zone: &ZoneName, evacuated: bool, revision: u64) -> bool {
        let mut zones = self.zones.clone();
        if evacuated {
            zones.insert(zone.stable_hash());
        } else {
            zones.remove(&zone.stable_hash());
        }
        self.replace(zones, revision)
    }

    /// A coordinator tells of all evacuated zones.
    pub fn heard(&mut self, entry: &EvacuationsEntry) -> bool {
        let zones = entry.zones.0.iter().copied().collect();
        self.replace(zones, entry.revision)
    }

    /// For a heartbeat.
    pub fn entry(&self) -> EvacuationsEntry {
        EvacuationsEntry {
            revision: self.revision,
            zones: List(self.zones.iter().copied().collect()),
        }
    }

    /// What is known never goes back to an earlier revision.
    fn replace(&mut self, zones: BTreeSet<u64>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let is_news = self.zones != zones;
        self.zones = zones;
        is_news
    }
}
