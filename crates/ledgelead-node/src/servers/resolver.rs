//! Resolver that parses IP addresses and never looks up names.
//!
//! `ureq` resolves the host of every request, even for a pooled connection, and
//! starts a thread for that if the request has a timeout, although the host is an IP
//! address. On a busy machine a new thread is scheduled only after several
//! milliseconds, which would delay each request as much.

use std::net::{IpAddr, SocketAddr};
use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Resolves IP addresses with a port, and nothing else.
#[derive(Debug, Default)]
pub struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let mut addresses = self.empty();
        addresses.push(address_of(uri).ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

fn address_of(uri: &Uri) -> Option<SocketAddr> {
    let host = uri.host()?;
    let bare = host.trim_start_matches('[').trim_end_matches(']');
    let address: IpAddr = bare.parse().ok()?;
    Some(SocketAddr::new(address, uri.port_u16()?))
}
