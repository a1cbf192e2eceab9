//! Encoded lengths of messages, computed without encoding them.

use crate::{Headers, Request, Response, reason_phrase};

/// Length of the request as `write_request` encodes it, in bytes.
pub fn request_bytes(request: &Request) -> usize {
    let line = request.method.len() + " ".len() + request.target.len() + " HTTP/1.1\r\n".len();
    let needs_length =
        !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD" | "DELETE");
    let framing = match needs_length {
        true => length_header_bytes(request.body.len()),
        false => 0,
    };
    line + headers_bytes(&request.headers) + framing + "\r\n".len() + request.body.len()
}

/// Length, in bytes, of a response that has a `Content-Length` and the standard reason phrase
/// of its status. A response that was received in another form differs by some bytes.
pub fn response_bytes(response: &Response) -> usize {
    let line = "HTTP/1.1 200 \r\n".len() + reason_phrase(response.status).len();
    let body = match response.status {
        204 | 304 => 0,
        _ => length_header_bytes(response.body.len()) + response.body.len(),
    };
    line + headers_bytes(&response.headers) + "\r\n".len() + body
}

fn headers_bytes(headers: &Headers) -> usize {
    let bytes = |name: usize, value: usize| name + ": ".len() + value + "\r\n".len();
    headers
        .iter()
        .map(|header| bytes(header.name.len(), header.value.len()))
        .sum()
}

fn length_header_bytes(length: usize) -> usize {
    let digits = length.checked_ilog10().unwrap_or(0) as usize + 1;
    "Content-Length: \r\n".len() + digits
}
