//! Identifies the tenant of a request by its caller's key.

use super::RequestContext;
use crate::configuration::Route;
use crate::requests::answers::Refusal;
use crate::tenants::{Tenant, UnknownKey};
use ledgelead_http::Request;
use std::sync::Arc;

/// Identifies the tenant of a request. Replaces the caller's key by the tenant's name, so that
/// instances never see keys, and no caller can name a tenant by itself.
pub(super) fn take_tenant(
    request: &mut Request,
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
    let tenant = tenants
        .identify(key, route.allows_anonymous)
        .map_err(|UnknownKey| Refusal::UnknownCaller)?;
    request.headers.remove(&headers.caller_key);
    request.headers.remove(&headers.tenant);
    if let Some(tenant) = &tenant {
        request.headers.push(&headers.tenant, tenant.name.as_str());
    }
    Ok(tenant)
}
