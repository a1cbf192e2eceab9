//! Whether the instances of a service reject for a common cause.
//!
//! An instance that rejects although it has free slots is avoided, unless the others do
//! the same: then nothing is won by going elsewhere, and no instance has failed.

use crate::Timestamp;
use crate::identity::{InstanceId, ServiceName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long an answer tells how an instance behaves: a node of a large deployment sends
/// an instance a request each few seconds.
const HEARD_WITHIN: Duration = Duration::from_secs(4);
/// Fewest instances that make a cause common: one alone has its own.
const LEAST_REJECTING: usize = 2;
/// Share of the instances heard from lately that makes a cause common. Instances that
/// reject two in five show it in that share of the first answers; grey failures are fewer.
const COMMON_SHARE: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    at: Timestamp,
    rejected: Option<Timestamp>,
}

/// Instances heard from lately, by service.
#[derive(Clone, Debug, Default)]
pub struct CommonRejections {
    services: BTreeMap<ServiceName, HashMap<InstanceId, Heard>>,
}

impl CommonRejections {
    /// An instance answered; `rejected` if it turned the request away with free slots.
    pub fn heard(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        rejected: bool,
        now: Timestamp,
    ) {
        let instances = self.services.entry(service.clone()).or_default();
        let heard = instances.entry(instance.clone()).or_default();
        heard.at = now;
        if rejected {
            heard.rejected = Some(now);
        }
    }

    /// Whether so many instances reject that the cause lies outside of each.
    pub fn is_common(&self, service: &ServiceName, now: Timestamp) -> bool {
        let Some(instances) = self.services.get(service) else {
            return false;
        };
        let recent = |at: Timestamp| at + HEARD_WITHIN > now;
        let heard = instances.values().filter(|heard| recent(heard.at));
        let rejecting = instances
            .values()
            .filter(|heard| heard.rejected.is_some_and(recent));
        let rejecting = rejecting.count();
        rejecting >= LEAST_REJECTING && rejecting as f64 >= heard.count() as f64 * COMMON_SHARE
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Timestamp) {
        for instances in self.services.values_mut() {
            instances.retain(|_, heard| heard.at + HEARD_WITHIN > now);
        }
    }
}
