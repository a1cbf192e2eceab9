//! Parses the head of a caller's HTTP request into the [`RequestArrival`] that
//! the core works on and the part that is forwarded to a server.

use super::headers::{self, HeaderLine, passed_to_server};
use super::target::may_be_control_path;
use ledgelead_types::request::RequestArrival;
use ledgelead_types::{Bytes, RequestId, Span, Text};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::time::Duration;

/// Prefix of the path of every request.
const PATH_PREFIX: &str = "/v1/";
/// Longest key and idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 4_096;

/// The part of a caller's request that is forwarded to a server unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name, with the leading slash.
    pub target: String,
    /// Headers that are forwarded.
    pub headers: Vec<HeaderLine>,
    /// Body.
    pub body: Vec<u8>,
}

/// The parsed head of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// Input of the core; its identifier is assigned later.
    pub arrival: RequestArrival,
    /// The request for the server; its body is read later.
    pub request: CallerRequest,
    /// The caller's own identifier, repeated in the response.
    pub caller_request_id: Option<String>,
}

/// Why a request does not conform to the caller protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// The path is not `/v1/SERVICE...`.
    NoService,
    /// The path is reserved for requests of nodes to servers.
    ReservedPath,
    /// A header that allows one value has several different ones.
    ConflictingHeader(&'static str),
    /// The value of a header is invalid.
    BadValue(&'static str),
    /// The body is longer than this node accepts.
    BodyTooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body ended early or arrived too slowly.
    BodyTruncated,
}

impl std::fmt::Display for BadRequest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BadRequest::NoService => write!(formatter, "expected a path like /v1/SERVICE/..."),
            BadRequest::ReservedPath => write!(
                formatter,
                "paths under /ledgelead are reserved, and so are forms that could stand for one"
            ),
            BadRequest::ConflictingHeader(name) => {
                write!(
                    formatter,
                    "{name} came more than once with different values"
                )
            }
            BadRequest::BadValue(name) => {
                write!(formatter, "{name} has a value that can't be read")
            }
            BadRequest::BodyTooLong { limit } => {
                write!(formatter, "the body is longer than {limit} bytes")
            }
            BadRequest::BodyTruncated => write!(formatter, "the body ended early"),
        }
    }
}

impl std::error::Error for BadRequest {}

/// Parses the head of a request. A deadline above `max_deadline` is lowered to it.
pub fn parse_head(
    method: &str,
    target: &str,
    lines: &[HeaderLine],
    max_deadline: Duration,
) -> Result<ParsedRequest, BadRequest> {
    let (service, rest) = split_service(target).ok_or(BadRequest::NoService)?;
    if may_be_control_path(&rest) {
        return Err(BadRequest::ReservedPath);
    }
    let key = single(lines, headers::KEY)?.filter(|key| key.len() <= MAX_KEY_BYTES);
    if key.is_none() && single(lines, headers::KEY)?.is_some() {
        return Err(BadRequest::BadValue(headers::KEY));
    }
    let idempotency_key = single(lines, headers::IDEMPOTENCY_KEY)?;
    if idempotency_key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(BadRequest::BadValue(headers::IDEMPOTENCY_KEY));
    }
    check_length_headers(lines)?;
    let arrival = RequestArrival {
        request: RequestId::default(),
        service: Text::from(service),
        key: key.map(|key| Bytes(key.as_bytes().to_vec())),
        credential_sha256: credential(lines)?,
        deadline: deadline(lines, max_deadline)?,
        repeatable: is_repeatable(method, lines, idempotency_key.is_some())?,
        idempotency_key: idempotency_key.map(Text::from),
    };
    Ok(ParsedRequest {
        arrival,
        request: CallerRequest {
            method: method.to_owned(),
            target: rest,
            headers: passed_to_server(lines),
            body: Vec::new(),
        },
        caller_request_id: single(lines, headers::REQUEST_ID)?.map(str::to_owned),
    })
}

/// SHA-256 in hexadecimal, the form in which the configuration holds credentials.
pub fn sha256_hex(secret: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(secret) {
        write!(text, "{byte:02x}").expect("writing to a string can't fail");
    }
    text
}

/// Splits `/v1/SERVICE/rest?query` into the service and `/rest?query`.
fn split_service(target: &str) -> Option<(&str, String)> {
    let remainder = target.strip_prefix(PATH_PREFIX)?;
    let end = remainder.find(['/', '?']).unwrap_or(remainder.len());
    let (service, rest) = remainder.split_at(end);
    if service.is_empty() {
        return None;
    }
    if rest.starts_with('/') {
        return Some((service, rest.to_owned()));
    }
    Some((service, format!("/{rest}")))
}

/// The value of a header that allows one value. Repetitions of the same value
/// are accepted.
fn single<'a>(lines: &'a [HeaderLine], name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    let mut values = lines
        .iter()
        .filter(|line| line.is(name))
        .map(|line| line.value.as_str());
    let first = values.next();
    if values.any(|value| Some(value) != first) {
        return Err(BadRequest::ConflictingHeader(name));
    }
    Ok(first)
}

/// Rejects length headers that two parsers could interpret differently, so that
/// they would disagree where the request ends (request smuggling).
fn check_length_headers(lines: &[HeaderLine]) -> Result<(), BadRequest> {
    const CONTENT_LENGTH: &str = "Content-Length";
    const TRANSFER_ENCODING: &str = "Transfer-Encoding";
    let length = single(lines, CONTENT_LENGTH)?;
    let encoding = single(lines, TRANSFER_ENCODING)?;
    if length.is_some_and(|length| !length.bytes().all(|byte| byte.is_ascii_digit())) {
        return Err(BadRequest::BadValue(CONTENT_LENGTH));
    }
    if length.is_some() && encoding.is_some() {
        return Err(BadRequest::ConflictingHeader(CONTENT_LENGTH));
    }
    if encoding.is_some_and(|encoding| !encoding.eq_ignore_ascii_case("chunked")) {
        return Err(BadRequest::BadValue(TRANSFER_ENCODING));
    }
    Ok(())
}

fn credential(lines: &[HeaderLine]) -> Result<Text, BadRequest> {
    let Some(value) = single(lines, headers::AUTHORIZATION)? else {
        return Ok(Text::default());
    };
    let token = bearer_token(value).ok_or(BadRequest::BadValue(headers::AUTHORIZATION))?;
    Ok(Text(sha256_hex(token.as_bytes())))
}

/// The token of an `Authorization: Bearer TOKEN` value.
pub fn bearer_token(value: &str) -> Option<&str> {
    const SCHEME: &str = "bearer ";
    let scheme = value.get(..SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    Some(value[SCHEME.len()..].trim()).filter(|token| !token.is_empty())
}

fn deadline(lines: &[HeaderLine], max: Duration) -> Result<Option<Span>, BadRequest> {
    let Some(value) = single(lines, headers::DEADLINE_MS)? else {
        return Ok(None);
    };
    let millis: u64 = value
        .parse()
        .map_err(|_| BadRequest::BadValue(headers::DEADLINE_MS))?;
    Ok(Some(Span::from_millis(millis.min(max.as_millis() as u64))))
}

fn is_repeatable(method: &str, lines: &[HeaderLine], once_only: bool) -> Result<bool, BadRequest> {
    let declared = match single(lines, headers::REPEATABLE)? {
        None => matches!(method, "GET" | "HEAD" | "OPTIONS"),
        Some("yes") => true,
        Some("no") => false,
        Some(_) => return Err(BadRequest::BadValue(headers::REPEATABLE)),
    };
    Ok(declared && !once_only)
}
