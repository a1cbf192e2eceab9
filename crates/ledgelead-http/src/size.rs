//! Lengths of messages on the wire, without encoding them.

use crate::{Headers, Request, Response, reason_phrase};

/// Bytes that `write_request` appends.
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

/// Bytes of an answer that frames its body by its length, with the standard phrase of its
/// status. An answer that was received otherwise differs by some bytes.
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
