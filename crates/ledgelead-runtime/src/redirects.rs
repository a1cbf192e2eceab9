//! Hosts whose connections go to another host, such as that of a proxy.

use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// For each redirected host, the one that is connected to instead, at the same port.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Redirects(HashMap<IpAddr, IpAddr>);

/// A redirection that is not of the form `HOST=HOST`, with IP numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRedirect(String);

impl fmt::Display for InvalidRedirect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "`{}` is not of the form IP=IP", self.0)
    }
}

impl std::error::Error for InvalidRedirect {}

impl Redirects {
    /// Adds a redirection, given as `HOST=HOST`. The last one for a host holds.
    ///
    /// # Errors
    /// If the text has another form.
    pub fn add(&mut self, text: &str) -> Result<(), InvalidRedirect> {
        let invalid = || InvalidRedirect(text.to_owned());
        let (from, to) = text.split_once('=').ok_or_else(invalid)?;
        let host = |text| IpAddr::from_str(text).map_err(|_| invalid());
        self.0.insert(host(from)?, host(to)?);
        Ok(())
    }

    /// The address to connect to in place of this one.
    pub(crate) fn apply(&self, address: SocketAddr) -> SocketAddr {
        let host = self.0.get(&address.ip()).copied();
        SocketAddr::new(host.unwrap_or(address.ip()), address.port())
    }
}

#[cfg(test)]
#[path = "../tests/redirects.rs"]
mod tests;
