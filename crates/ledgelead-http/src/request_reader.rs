//! Incremental reader of requests from a client's connection.

use crate::MAX_HEADERS;
use crate::framing::{BodyReader, DeclaredFraming, FramingError};
use crate::message::{Headers, Request};

/// Size limits of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
}

/// Why a request is refused before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Not HTTP/1.1, or with invalid or ambiguous framing.
    Malformed,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
}

impl RequestError {
    /// The status of the response to the client.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed => 400,
            RequestError::HeadTooLong => 431,
            RequestError::BodyTooLong => 413,
        }
    }
}

impl From<FramingError> for RequestError {
    fn from(error: FramingError) -> RequestError {
        match error {
            FramingError::TooLong => RequestError::BodyTooLong,
            _ => RequestError::Malformed,
        }
    }
}

/// How much of a request has arrived.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// No byte of a request.
    Idle,
    /// A part of a request.
    Partial,
    /// The head of a request whose client waits for `100 Continue` before it sends the body.
    ExpectsContinue,
    /// A complete request.
    Complete(Request),
}

struct Head {
    request: Request,
    body: BodyReader,
    continue_pending: bool,
}

/// Reads the requests of one connection.
#[derive(Default)]
pub struct RequestReader {
    head: Option<Head>,
    /// Length of the partial head that was parsed last. It is parsed again once a line ends, so
    /// that a head in many small pieces costs as much as one in a few.
    parsed_bytes: usize,
}

impl RequestReader {
    /// Consumes bytes of the next request from the front of `input`. Bytes after the request
    /// are left there.
    ///
    /// # Errors
    /// If the bytes can't become a valid request. The connection must be closed.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        limits: RequestLimits,
    ) -> Result<RequestProgress, RequestError> {
        if self.head.is_none() && self.may_be_whole(input, limits) {
            self.head = parse_head(input, limits)?;
            self.parsed_bytes = match self.head {
                Some(_) => 0,
                None => input.len(),
            };
        }
        let Some(mut head) = self.head.take() else {
            return Ok(if input.is_empty() {
                RequestProgress::Idle
            } else {
                RequestProgress::Partial
            });
        };
        if head.body.read(input)? {
            let mut request = head.request;
            request.body = head.body.into_body();
            return Ok(RequestProgress::Complete(request));
        }
        let expects_continue = std::mem::take(&mut head.continue_pending);
        self.head = Some(head);
        Ok(if expects_continue {
            RequestProgress::ExpectsContinue
        } else {
            RequestProgress::Partial
        })
    }

    /// Whether bytes arrived that can end a head, or make it too long.
    fn may_be_whole(&self, input: &[u8], limits: RequestLimits) -> bool {
        let new = input.get(self.parsed_bytes..).unwrap_or(input);
        self.parsed_bytes == 0 || input.len() > limits.max_head_bytes || new.contains(&b'\n')
    }

    /// Bytes of memory that the request takes whose body is being read: the body counts as what
    /// it takes now, or will take if its length is known.
    pub fn reserved_bytes(&self) -> usize {
        self.head.as_ref().map_or(0, |head| {
            let body = head.body.reserved_bytes();
            body.saturating_add(head.request.memory_bytes())
        })
    }

    /// Bytes of the body that is being read that have arrived.
    pub fn received_bytes(&self) -> usize {
        let head = self.head.as_ref();
        head.map_or(0, |head| head.body.received_bytes())
    }

    /// Whether the length of the body that is being read is not known before its end.
    pub fn has_unknown_length(&self) -> bool {
        let head = self.head.as_ref();
        head.is_some_and(|head| head.body.has_unknown_length())
    }

    /// Stops reading the current body, and returns its request without a body.
    pub fn discard_body(&mut self) -> Option<Request> {
        Some(self.head.take()?.request)
    }

    /// Whether the body of a request is being read.
    pub fn is_reading_body(&self) -> bool {
        self.head.is_some()
    }
}

fn parse_head(input: &mut Vec<u8>, limits: RequestLimits) -> Result<Option<Head>, RequestError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut storage);
    let status = parsed.parse(input).map_err(|error| match error {
        httparse::Error::TooManyHeaders => RequestError::HeadTooLong,
        _ => RequestError::Malformed,
    })?;
    let httparse::Status::Complete(head_bytes) = status else {
        if input.len() > limits.max_head_bytes {
            return Err(RequestError::HeadTooLong);
        }
        return Ok(None);
    };
    if head_bytes > limits.max_head_bytes {
        return Err(RequestError::HeadTooLong);
    }
    if parsed.version != Some(1) {
        return Err(RequestError::Malformed);
    }
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: Headers::from_parsed(parsed.headers),
        body: Vec::new(),
    };
    input.drain(..head_bytes);
    let body = match DeclaredFraming::of(&request.headers)? {
        DeclaredFraming::Length(length) => BodyReader::length(length, limits.max_body_bytes)?,
        DeclaredFraming::Chunked => BodyReader::chunked(limits.max_body_bytes),
        DeclaredFraming::Absent => BodyReader::length(0, limits.max_body_bytes)?,
    };
    let continue_pending = request.headers.has_token("expect", "100-continue");
    Ok(Some(Head {
        request,
        body,
        continue_pending,
    }))
}
