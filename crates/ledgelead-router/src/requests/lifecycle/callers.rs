//! Identifies the tenant of a request by its caller's key, names it to instances, and applies
//! its quota.

use super::RequestContext;
use crate::Timestamp;
use crate::configuration::Route;
use crate::quota::Admission;
use crate::requests::answers::Refusal;
use crate::requests::refusal_share::retry_after;
use crate::tenants::{Tenant, UnknownKey};
use ledgelead_http::Request;
use std::sync::Arc;
use std::time::Duration;

/// Why a request is refused before it gets a target.
pub(super) struct Unrouted {
    /// The reason.
    pub(super) reason: Refusal,
    /// Time after which to retry.
    pub(super) delay: Duration,
}

impl From<Refusal> for Unrouted {
    fn from(reason: Refusal) -> Unrouted {
        Unrouted {
            reason,
            delay: retry_after(0.0),
        }
    }
}

/// Counts a request of a tenant, and refuses it beyond the tenant's quota.
pub(super) fn admit(
    admission: &mut Admission,
    tenant: Option<&Tenant>,
    now: Timestamp,
) -> Result<(), Unrouted> {
    let Some(tenant) = tenant else {
        return Ok(());
    };
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    let admitted = admission.admit(tenant.stable_hash(), quota, now);
    admitted.map_err(|delay| Unrouted {
        reason: Refusal::QuotaExceeded,
        delay,
    })
}

/// Identifies the tenant of a request.
pub(super) fn identify_tenant(
    request: &Request,
    route: &Route,
    context: &RequestContext<'_>,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let tenants = context.routes.tenants();
    if tenants.is_empty() {
        return Ok(None);
    }
    let headers = context.headers;
    let key = request.headers.get(&headers.caller_key);
    if key.is_some() && context.caller_keys_expired {
        return Err(Refusal::KeysOutdated);
    }
    tenants
        .identify(key, route.allows_anonymous)
        .map_err(|UnknownKey| Refusal::UnknownCaller)
}

/// Replaces the caller's key by the tenant's name, so that instances never see keys, and no
/// caller can name a tenant by itself. The headers that its `Connection` names go first, or
/// they could take the tenant along.
pub(super) fn name_tenant(
    request: &mut Request,
    tenant: Option<&Tenant>,
    context: &RequestContext<'_>,
) {
    if context.routes.tenants().is_empty() {
        return;
    }
    let headers = context.headers;
    request.headers.remove_connection_headers();
    request.headers.remove(&headers.caller_key);
    request.headers.remove(&headers.tenant);
    if let Some(tenant) = tenant {
        request.headers.push(&headers.tenant, tenant.name.as_str());
    }
}
