//! Identifies the tenant of a request by its caller's key.

use crate::configuration::Route;
use crate::dialect::HeaderNames;
use crate::tenants::{Tenant, TenantTable, UnknownKey};
use ledgelead_http::Request;
use std::sync::Arc;

/// Identifies the tenant of a request. Replaces the caller's key by the tenant's name, so that
/// instances never see keys, and no caller can name a tenant by itself.
pub(super) fn take_tenant(
    request: &mut Request,
    tenants: &TenantTable,
    route: &Route,
    headers: &HeaderNames,
) -> Result<Option<Arc<Tenant>>, UnknownKey> {
    if tenants.is_empty() {
        return Ok(None);
    }
    let key = request.headers.get(&headers.caller_key);
    let tenant = tenants.identify(key, route.allows_anonymous)?;
    request.headers.remove(&headers.caller_key);
    request.headers.remove(&headers.tenant);
    if let Some(tenant) = &tenant {
        request.headers.push(&headers.tenant, tenant.name.as_str());
    }
    Ok(tenant)
}
