//! Requests with a number, and answers that prove which request they belong to.
//!
//! The number of a request is the last segment of its path. The answer repeats the number and
//! the request's complete body between a first and a last line, so that a caller can detect
//! answers to other requests and truncated answers.

use super::records::RequestNumber;
use ledgelead_types::ServerId;

/// Last line of a complete answer.
const LAST_LINE: &[u8] = b"\nend of answer\n";

/// The number at the end of a request path.
pub fn request_number(path: &str) -> Option<RequestNumber> {
    let path = path.split('?').next()?;
    path.rsplit('/').next()?.parse().ok().map(RequestNumber)
}

/// Composes a server's answer to a request with this body.
pub fn compose(request: Option<RequestNumber>, server: ServerId, body: &[u8]) -> Vec<u8> {
    let mut answer = first_line(request, server);
    answer.extend_from_slice(body);
    answer.extend_from_slice(LAST_LINE);
    answer
}

fn first_line(request: Option<RequestNumber>, server: ServerId) -> Vec<u8> {
    let number = request.map_or_else(|| "none".to_owned(), |request| request.0.to_string());
    format!("request {number} server {}\n", server.0).into_bytes()
}

/// The server named in an answer.
pub fn server_of(answer: &[u8]) -> Option<ServerId> {
    let line = answer.split(|byte| *byte == b'\n').next()?;
    let line = std::str::from_utf8(line).ok()?;
    line.rsplit(' ').next()?.parse().ok().map(ServerId)
}

/// Whether `answer` is the complete answer to this request with this body.
pub fn matches(answer: &[u8], request: RequestNumber, body: &[u8]) -> bool {
    server_of(answer).is_some_and(|server| answer == compose(Some(request), server, body))
}
