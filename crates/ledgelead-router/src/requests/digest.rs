//! Recognizes a request that is submitted again.
//!
//! Two submissions are the same request if their method, host, path with query and body are the
//! same. The caller's address is no part of it: a caller may change it with each submission.
//! Other headers differ between submissions (the client's name for the submission, the time
//! left), or depend on the client's software.

use ledgelead_http::Request;
use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a digest in bytes. This much of SHA-256 makes it infeasible to find a request
/// with the digest of another caller's request (2^128 tries).
pub const DIGEST_BYTES: usize = 16;

/// Identifies a request over all of its submissions, at any node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn new(request: &Request) -> RequestDigest {
        let host = request.headers.text("host").unwrap_or_default();
        let host = host.to_lowercase();
        let parts = [&request.method, &host, &request.target];
        let mut hasher = Sha256::new();
        for part in parts {
            // Each part is preceded by its length, so that different lists of parts never hash
            // the same bytes.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&request.body);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        RequestDigest(bytes)
    }

    /// The last 64 bits, as a hash of the request.
    pub fn low_bits(&self) -> u64 {
        u128::from_be_bytes(self.0) as u64
    }

    /// Parses the output of `Display`.
    pub fn parse(text: &str) -> Option<RequestDigest> {
        let is_hex = text.len() == 2 * DIGEST_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_hex.then(|| u128::from_str_radix(text, 16).ok())?;
        Some(RequestDigest(number?.to_be_bytes()))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
