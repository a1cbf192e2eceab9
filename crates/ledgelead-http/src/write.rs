//! Encodes messages, with `Content-Length` as framing.

use crate::message::{Headers, Request, Response};

/// Appends a request to `output`. Its headers must not contain framing headers.
pub fn write_request(request: &Request, output: &mut Vec<u8>) {
    output.extend_from_slice(request.method.as_bytes());
    output.push(b' ');
    output.extend_from_slice(request.target.as_bytes());
    output.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&request.headers, output);
    let needs_length =
        !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD" | "DELETE");
    if needs_length {
        write_length(request.body.len(), output);
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(&request.body);
}

/// Appends a response to `output`. Its headers must not contain framing headers.
pub fn write_response(
    response: &Response,
    close: bool,
    to_head_request: bool,
    output: &mut Vec<u8>,
) {
    let reason = reason_phrase(response.status);
    output.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", response.status).as_bytes());
    write_headers(&response.headers, output);
    if close {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    let has_body = has_body(response.status);
    if has_body {
        write_length(response.body.len(), output);
    }
    output.extend_from_slice(b"\r\n");
    if has_body && !to_head_request {
        output.extend_from_slice(&response.body);
    }
}

/// Whether responses with this status have a body.
pub fn has_body(status: u16) -> bool {
    !matches!(status, 204 | 304)
}

fn write_length(length: usize, output: &mut Vec<u8>) {
    output.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
}

fn write_headers(headers: &Headers, output: &mut Vec<u8>) {
    for header in headers.iter() {
        output.extend_from_slice(header.name.as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(&header.value);
        output.extend_from_slice(b"\r\n");
    }
}

/// The standard reason phrase of a status, or `Status` if it isn't known here.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
