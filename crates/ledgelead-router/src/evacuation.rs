//! Zones that the operator has evacuated: their instances get no requests until the operator
//! ends the evacuation.

use crate::identity::ZoneName;
use ledgelead_types::codec::List;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeSet;

/// The evacuated zones at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    revision: u64,
    /// Stable hashes of the zones' names.
    zones: BTreeSet<u64>,
}

/// The evacuated zones in a coordinator's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct EvacuationsEntry {
    /// The store's revision of the zones; 0 if unknown.
    pub revision: u64,
    /// Stable hashes of the zones' names.
    pub zones: List<u64>,
}

impl Evacuations {
    /// The store's revision of the zones; 0 while unknown.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Stable hashes of the zones' names.
    pub fn zones(&self) -> &BTreeSet<u64> {
        &self.zones
    }

    /// Applies a complete list from the store. Returns whether the zones have changed.
    pub fn apply_list(&mut self, zones: &[ZoneName], revision: u64) -> bool {
        let zones = zones.iter().map(ZoneName::stable_hash).collect();
        self.replace(zones, revision)
    }

    /// Applies a change of one zone. Returns whether the zones have changed.
    pub fn apply_change(&mut self, zone: &ZoneName, evacuated: bool, revision: u64) -> bool {
        let mut zones = self.zones.clone();
        if evacuated {
            zones.insert(zone.stable_hash());
        } else {
            zones.remove(&zone.stable_hash());
        }
        self.replace(zones, revision)
    }

    /// Applies the zones in a coordinator's heartbeat. Returns whether they have changed.
    pub fn apply_heartbeat(&mut self, entry: &EvacuationsEntry) -> bool {
        let zones = entry.zones.0.iter().copied().collect();
        self.replace(zones, entry.revision)
    }

    /// The encoded zones for a heartbeat.
    pub fn entry(&self) -> EvacuationsEntry {
        EvacuationsEntry {
            revision: self.revision,
            zones: List(self.zones.iter().copied().collect()),
        }
    }

    /// Ignores lists of earlier revisions.
    fn replace(&mut self, zones: BTreeSet<u64>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let is_changed = self.zones != zones;
        self.zones = zones;
        is_changed
    }
}
