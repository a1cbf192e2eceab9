//! Authentication: checks a request's credential against the operators of the
//! configuration. The credential itself is never stored or logged.

use super::Context;
use crate::callers::request_head::sha256_hex;
use ledgelead_types::configuration::{Configuration, OperatorConfiguration, OperatorRole};

use std::net::SocketAddr;
use tiny_http::Request;

/// Scheme of the `Authorization` header.
const SCHEME: &str = "bearer";
/// Operator name for commands that run before operators are configured.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Why a request was not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unauthorized {
    /// The request has no credential.
    NoCredential,
    /// No operator has this credential.
    UnknownCredential,
    /// There are no operators yet, and the request does not come from this machine.
    NotLocal,
}

impl Unauthorized {
    pub(super) fn message(self) -> &'static str {
        match self {
            Unauthorized::NoCredential => "needs an operator's credential (Authorization: Bearer)",
            Unauthorized::UnknownCredential => "no operator has this credential",
            Unauthorized::NotLocal => {
                "there are no operators yet; the first is created from the node's own machine"
            }
        }
    }
}

/// The operator that sent a request.
pub(super) fn authenticate(
    context: &Context,
    request: &Request,
    configuration: &Configuration,
) -> Result<OperatorConfiguration, Unauthorized> {
    let inner = request.remote_addr().copied();
    let remote_address = inner.and_then(|inner| context.remote_addresses.get(inner));
    operator_of(configuration, bearer(request), remote_address)
}

/// The operator with a credential. While the configuration has no operators, every
/// request from the node's own machine has all permissions, so that the first operator
/// can be created.
pub(super) fn operator_of(
    configuration: &Configuration,
    credential: Option<&str>,
    remote_address: Option<SocketAddr>,
) -> Result<OperatorConfiguration, Unauthorized> {
    if configuration.operators.is_empty() {
        return bootstrap(remote_address);
    }
    let credential = credential.ok_or(Unauthorized::NoCredential)?;
    let digest = sha256_hex(credential.as_bytes());
    let operator = configuration
        .operators
        .iter()
        .find(|operator| *operator.credential_sha256 == digest);
    operator.cloned().ok_or(Unauthorized::UnknownCredential)
}

fn bootstrap(remote_address: Option<SocketAddr>) -> Result<OperatorConfiguration, Unauthorized> {
    if !remote_address
        .is_some_and(|remote_address| remote_address.ip().to_canonical().is_loopback())
    {
        return Err(Unauthorized::NotLocal);
    }
    Ok(OperatorConfiguration {
        name: BOOTSTRAP_OPERATOR.into(),
        role: OperatorRole::Administer,
        ..OperatorConfiguration::default()
    })
}

fn bearer(request: &Request) -> Option<&str> {
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"))?;
    let (scheme, credential) = header.value.as_str().split_once(' ')?;
    let credential = credential.trim();
    (scheme.eq_ignore_ascii_case(SCHEME) && !credential.is_empty()).then_some(credential)
}

#[cfg(test)]
#[path = "credentials_tests.rs"]
mod tests;
