//! Incremental reader of a response from a server's connection.

use crate::MAX_HEADERS;
use crate::framing::{BodyReader, DeclaredFraming, FramingError};
use crate::message::{Headers, Response};

/// Longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;
/// Interim responses before the final one. Nothing else would end them.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Why bytes are not a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// Not an HTTP/1.1 response.
    Malformed,
    /// Longer than allowed.
    TooLong,
    /// The connection closed in the middle of the response.
    Truncated,
}

impl From<FramingError> for ResponseError {
    fn from(error: FramingError) -> ResponseError {
        match error {
            FramingError::TooLong => ResponseError::TooLong,
            _ => ResponseError::Malformed,
        }
    }
}

/// How much of a response has arrived.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// No byte, or a part of the response.
    Partial,
    /// The complete response.
    Complete {
        /// The response.
        response: Response,
        /// Whether the connection can be used for another request.
        reusable: bool,
    },
}

struct Head {
    response: Response,
    body: BodyReader,
    reusable: bool,
}

/// Reads one response.
pub struct ResponseReader {
    head: Option<Head>,
    to_head_request: bool,
    max_body_bytes: usize,
    interim_responses: u32,
}

impl ResponseReader {
    /// A reader of the response to a request with this method.
    pub fn new(method: &str, max_body_bytes: usize) -> ResponseReader {
        ResponseReader {
            head: None,
            to_head_request: method == "HEAD",
            max_body_bytes,
            interim_responses: 0,
        }
    }

    /// Consumes bytes of the response from the front of `input`. Bytes after the response are
    /// left there.
    ///
    /// # Errors
    /// If the bytes are not a valid response.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Result<ResponseProgress, ResponseError> {
        while self.head.is_none() {
            match self.parse_head(input)? {
                Some(head) if is_interim(head.response.status) => self.skip_interim()?,
                Some(head) => self.head = Some(head),
                None => return Ok(ResponseProgress::Partial),
            }
        }
        let is_complete = match &mut self.head {
            Some(head) => head.body.read(input)?,
            None => false,
        };
        Ok(if is_complete {
            self.complete()
        } else {
            ResponseProgress::Partial
        })
    }

    /// Returns the response after a regular close by the server. A response without framing
    /// ends there.
    ///
    /// # Errors
    /// If the response is incomplete.
    pub fn finish_at_close(&mut self) -> Result<Response, ResponseError> {
        match &self.head {
            Some(head) if head.body.is_complete_at_close() => match self.complete() {
                ResponseProgress::Complete { response, .. } => Ok(response),
                ResponseProgress::Partial => Err(ResponseError::Truncated),
            },
            _ => Err(ResponseError::Truncated),
        }
    }

    fn skip_interim(&mut self) -> Result<(), ResponseError> {
        self.interim_responses += 1;
        match self.interim_responses > MAX_INTERIM_RESPONSES {
            true => Err(ResponseError::TooLong),
            false => Ok(()),
        }
    }

    /// Bytes of the body that have arrived.
    pub fn received_bytes(&self) -> usize {
        self.head
            .as_ref()
            .map_or(0, |head| head.body.received_bytes())
    }

    /// Bytes of memory that the body takes now, or will take if its length is known.
    pub fn reserved_bytes(&self) -> usize {
        self.head
            .as_ref()
            .map_or(0, |head| head.body.reserved_bytes())
    }

    fn complete(&mut self) -> ResponseProgress {
        let Some(head) = self.head.take() else {
            return ResponseProgress::Partial;
        };
        let mut response = head.response;
        response.body = head.body.into_body();
        ResponseProgress::Complete {
            response,
            reusable: head.reusable,
        }
    }

    fn parse_head(&self, input: &mut Vec<u8>) -> Result<Option<Head>, ResponseError> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut storage);
        let status = parsed.parse(input).map_err(|_| ResponseError::Malformed)?;
        let httparse::Status::Complete(head_bytes) = status else {
            if input.len() > MAX_HEAD_BYTES {
                return Err(ResponseError::TooLong);
            }
            return Ok(None);
        };
        if parsed.version != Some(1) {
            return Err(ResponseError::Malformed);
        }
        let status = parsed.code.unwrap_or_default();
        if !is_status(status) {
            return Err(ResponseError::Malformed);
        }
        let headers = Headers::from_parsed(parsed.headers);
        input.drain(..head_bytes);
        let framing = DeclaredFraming::of(&headers)?;
        let (body, delimited) = self.body_reader(status, framing)?;
        let reusable = delimited && !headers.has_token("connection", "close");
        Ok(Some(Head {
            response: Response {
                status,
                headers,
                body: Vec::new(),
            },
            body,
            reusable,
        }))
    }

    /// The reader of the body, and whether the body's end is known without a close of the
    /// connection.
    fn body_reader(
        &self,
        status: u16,
        framing: DeclaredFraming,
    ) -> Result<(BodyReader, bool), ResponseError> {
        let bodyless = self.to_head_request || is_interim(status) || matches!(status, 204 | 304);
        if bodyless {
            return Ok((BodyReader::length(0, self.max_body_bytes)?, true));
        }
        Ok(match framing {
            DeclaredFraming::Length(length) => {
                (BodyReader::length(length, self.max_body_bytes)?, true)
            }
            DeclaredFraming::Chunked => (BodyReader::chunked(self.max_body_bytes), true),
            DeclaredFraming::Absent => (BodyReader::until_close(self.max_body_bytes), false),
        })
    }
}

/// Whether three digits are a status of HTTP (RFC 9110, section 15).
fn is_status(status: u16) -> bool {
    (100..600).contains(&status)
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}
