//! Tenants, and the keys by which their callers identify themselves.

use crate::quota::Quota;
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Length of a key's digest in bytes. This much of SHA-256 makes it infeasible to find another
/// key with the digest of a tenant's key (2^128 tries).
pub const KEY_DIGEST_BYTES: usize = 16;

/// The digest of a caller's key. Keys themselves are neither kept nor sent to other nodes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; KEY_DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn new(key: &[u8]) -> KeyDigest {
        let mut bytes = [0; KEY_DIGEST_BYTES];
        bytes.copy_from_slice(&Sha256::digest(key)[..KEY_DIGEST_BYTES]);
        KeyDigest(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    /// Logs must not help to recognize a key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A customer whose callers present one of its keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Digests of its keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of its requests, if it replaces that of their routes; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The number of its requests, if it is limited.
    pub quota: Option<Quota>,
}

impl Tenant {
    /// A hash of the name that is identical on all nodes.
    pub fn stable_hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes())
    }
}

/// A request has no key, or one that belongs to no tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// Looks up the tenant of a request.
#[derive(Debug, Default)]
pub struct TenantTable {
    /// Lookups take the digest, so their time reveals nothing about keys.
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    /// Quotas by the stable hashes of the tenants.
    quotas: HashMap<u64, Quota>,
    has_tenants: bool,
}

impl TenantTable {
    /// Builds the table for all tenants of a configuration.
    pub fn new(tenants: &[Arc<Tenant>]) -> TenantTable {
        let keys = tenants
            .iter()
            .flat_map(|tenant| tenant.keys.iter().map(|key| (*key, tenant.clone())));
        let quotas = tenants
            .iter()
            .filter_map(|tenant| Some((tenant.stable_hash(), tenant.quota?)));
        TenantTable {
            by_key: keys.collect(),
            quotas: quotas.collect(),
            has_tenants: !tenants.is_empty(),
        }
    }

    /// Whether there are no tenants, so that requests need no keys.
    pub fn is_empty(&self) -> bool {
        !self.has_tenants
    }

    /// The quota of the tenant with this stable hash.
    pub fn quota(&self, tenant: u64) -> Option<Quota> {
        self.quotas.get(&tenant).copied()
    }

    /// The tenant of a request with this key; none for a request without a key on a route that
    /// allows that.
    ///
    /// # Errors
    ///
    /// Returns an error if the request must not be served.
    pub fn identify(
        &self,
        key: Option<&[u8]>,
        allows_anonymous: bool,
    ) -> Result<Option<Arc<Tenant>>, UnknownKey> {
        match key {
            _ if self.is_empty() => Ok(None),
            None if allows_anonymous => Ok(None),
            None => Err(UnknownKey),
            Some(key) => match self.by_key.get(&KeyDigest::new(key)) {
                Some(tenant) => Ok(Some(tenant.clone())),
                None => Err(UnknownKey),
            },
        }
    }
}
