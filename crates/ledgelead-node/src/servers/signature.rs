//! Signs the control requests that servers accept from nodes only: lease renewals
//! and cancellations (`docs/server-interface.md`).

use crate::settings::Secret;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt::Write;

/// Separates the signed parts; neither a path nor an attempt's name contains it.
const SEPARATOR: &[u8] = b"\n";

/// What a signature covers.
#[derive(Clone, Copy, Debug)]
pub struct ControlRequest<'a> {
    /// Path.
    pub path: &'a str,
    /// The attempt's name; empty if the request is not about an attempt.
    pub attempt: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// The secret that nodes share with servers. It differs from the cluster key, since
/// servers must not be able to impersonate nodes.
#[derive(Clone)]
pub struct ServerKey(Hmac<Sha256>);

impl ServerKey {
    /// Creates the key from the secret.
    pub fn new(secret: &Secret) -> ServerKey {
        let secret = secret.expose().as_bytes();
        ServerKey(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    /// The request's HMAC-SHA256 in hexadecimal.
    pub fn sign(&self, request: ControlRequest<'_>) -> String {
        let signature = self.authenticate(request).finalize().into_bytes();
        let mut text = String::with_capacity(2 * signature.len());
        for byte in signature {
            write!(text, "{byte:02x}").expect("writing to a string can't fail");
        }
        text
    }

    /// Whether `signature` is the request's signature. The comparison takes the same
    /// time for every well-formed wrong signature.
    pub fn verifies(&self, request: ControlRequest<'_>, signature: &str) -> bool {
        let Some(bytes) = bytes_of_hex(signature) else {
            return false;
        };
        self.authenticate(request).verify_slice(&bytes).is_ok()
    }

    fn authenticate(&self, request: ControlRequest<'_>) -> Hmac<Sha256> {
        let mut code = self.0.clone();
        code.update(request.path.as_bytes());
        code.update(SEPARATOR);
        code.update(request.attempt.as_bytes());
        code.update(SEPARATOR);
        code.update(request.body);
        code
    }
}

impl std::fmt::Debug for ServerKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ServerKey")
    }
}

fn bytes_of_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
