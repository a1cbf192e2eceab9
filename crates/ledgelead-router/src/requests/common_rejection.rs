//! Detects whether the instances of a service reject requests for a common cause.
//!
//! An instance that rejects although it has free slots is avoided, unless the others do so
//! too. Then another instance is no better, and none of them has failed.

use crate::Timestamp;
use crate::identity::{InstanceId, ServiceName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long a response counts. In a large deployment a node sends an instance one request
/// every few seconds.
const RESPONSE_TTL: Duration = Duration::from_secs(4);
/// Minimum number of rejecting instances for a common cause; a single one has its own cause.
const MIN_REJECTING: usize = 2;
/// Minimum share of rejecting instances among those that answered recently for a common cause.
/// Instances that reject two in five requests show it in that share of the first responses;
/// gray failures affect fewer instances.
const COMMON_SHARE: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct LastResponse {
    at: Timestamp,
    rejected: Option<Timestamp>,
}

/// Instances that answered recently, by service.
#[derive(Clone, Debug, Default)]
pub struct CommonRejections {
    services: BTreeMap<ServiceName, HashMap<InstanceId, LastResponse>>,
}

impl CommonRejections {
    /// Records a response; `rejected` if the instance rejected the request although it had
    /// free slots.
    pub fn record(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        rejected: bool,
        now: Timestamp,
    ) {
        let instances = self.services.entry(service.clone()).or_default();
        let response = instances.entry(instance.clone()).or_default();
        response.at = now;
        if rejected {
            response.rejected = Some(now);
        }
    }

    /// Whether so many instances reject requests that they must have a common cause.
    pub fn is_common(&self, service: &ServiceName, now: Timestamp) -> bool {
        let Some(instances) = self.services.get(service) else {
            return false;
        };
        let recent = |at: Timestamp| at + RESPONSE_TTL > now;
        let responding = instances.values().filter(|response| recent(response.at));
        let rejecting = instances
            .values()
            .filter(|response| response.rejected.is_some_and(recent));
        let rejecting = rejecting.count();
        rejecting >= MIN_REJECTING && rejecting as f64 >= responding.count() as f64 * COMMON_SHARE
    }

    /// Drops responses that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        for instances in self.services.values_mut() {
            instances.retain(|_, response| response.at + RESPONSE_TTL > now);
        }
    }
}
