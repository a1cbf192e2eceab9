//! Names of the protocol's headers, and the rules by which headers are forwarded.

/// Key of the request, for a service that is partitioned by key.
pub const KEY: &str = "Ledgelead-Key";
/// Milliseconds until the caller's deadline.
pub const DEADLINE_MS: &str = "Ledgelead-Deadline-Ms";
/// The caller's own identifier, repeated in the response.
pub const REQUEST_ID: &str = "Ledgelead-Request-Id";
/// Whether the request is safe to run more than once.
pub const REPEATABLE: &str = "Ledgelead-Repeatable";
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The caller's credential.
pub const AUTHORIZATION: &str = "Authorization";
/// Outcome of the request.
pub const OUTCOME: &str = "Ledgelead-Outcome";
/// Why the request was not run, or why it is unknown whether it was run.
pub const REASON: &str = "Ledgelead-Reason";
/// Milliseconds after which the caller may retry.
pub const RETRY_AFTER_MS: &str = "Ledgelead-Retry-After-Ms";
/// Seconds after which the caller may retry.
pub const RETRY_AFTER: &str = "Retry-After";
/// Fencing token of the slice that the request's key belongs to.
pub const TOKEN: &str = "Ledgelead-Token";
/// Hash position of the request's key, in hexadecimal.
pub const POSITION: &str = "Ledgelead-Position";
/// Name of one attempt of a request.
pub const ATTEMPT: &str = "Ledgelead-Attempt";
/// Tier of the request's caller.
pub const TIER: &str = "Ledgelead-Tier";
/// Signature of a control request of a node to a server.
pub const SIGNATURE: &str = "Ledgelead-Signature";
/// A server's refusal: the request was not started.
pub const REFUSED: &str = "Ledgelead-Refused";
/// A server's load.
pub const LOAD: &str = "Ledgelead-Load";

/// Prefix of the protocol's own headers.
const PROTOCOL_PREFIX: &str = "ledgelead";

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and
/// those that the HTTP libraries at both ends write themselves.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderLine {
    /// Name, as received.
    pub name: String,
    /// Value, as received.
    pub value: String,
}

impl HeaderLine {
    /// A header.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> HeaderLine {
        HeaderLine {
            name: name.into(),
            value: value.into(),
        }
    }

    /// Whether the header has this name.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// Whether a lower-case name belongs to the protocol. Some servers treat `_` as
/// `-`, so both separators match.
fn is_protocol_header(name: &str) -> bool {
    let suffix = name.strip_prefix(PROTOCOL_PREFIX);
    suffix.is_some_and(|suffix| suffix.starts_with(['-', '_']))
}

/// Names that a `Connection` header lists; they apply to the connection only, too.
pub fn connection_tokens(headers: &[HeaderLine]) -> Vec<String> {
    headers
        .iter()
        .filter(|header| header.is("connection"))
        .flat_map(|header| header.value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// The caller's headers that are forwarded to a server: all but the hop-by-hop
/// headers, the caller's credential, and the protocol's headers other than the
/// key and the caller's request identifier.
pub fn passed_to_server(headers: &[HeaderLine]) -> Vec<HeaderLine> {
    let listed = connection_tokens(headers);
    let passes = |header: &&HeaderLine| {
        let name = header.name.to_ascii_lowercase();
        if header.is(KEY) || header.is(REQUEST_ID) {
            return true;
        }
        !is_protocol_header(&name)
            && !header.is(AUTHORIZATION)
            && !HOP_BY_HOP.contains(&name.as_str())
            && !listed.contains(&name)
    };
    headers.iter().filter(passes).cloned().collect()
}

/// A server's headers that are forwarded to the caller: all but the hop-by-hop
/// headers and the protocol's own.
pub fn passed_to_caller(headers: &[HeaderLine]) -> Vec<HeaderLine> {
    let listed = connection_tokens(headers);
    let passes = |header: &&HeaderLine| {
        let name = header.name.to_ascii_lowercase();
        !is_protocol_header(&name)
            && !HOP_BY_HOP.contains(&name.as_str())
            && !listed.contains(&name)
    };
    headers.iter().filter(passes).cloned().collect()
}
