//! Tracks the position in a caller's stream of requests as far as the limits need
//! it: the length of the header, and whether a request is incomplete.
//!
//! The requests themselves are parsed by `tiny_http`. Where it parses a stream
//! differently from this module, only the limits apply differently.

/// Terminates a header.
const HEADER_END: &[u8] = b"\r\n\r\n";

/// Position in the stream of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// In a header, or between requests while it has no byte yet.
    Header,
    /// In a body with a declared length.
    Body { remaining: u64 },
    /// In a chunked body; its end is assumed when the response begins.
    Chunked { received: u64 },
}

/// Limits that a connection can exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The header is longer than the limit.
    Header,
    /// The body is longer than the limit, and still being sent.
    Body,
}

/// Tracks one connection.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    state: State,
    header: Vec<u8>,
    max_header_bytes: usize,
    max_body_bytes: u64,
}

impl RequestProgress {
    /// Starts with a connection that has received nothing.
    pub fn new(max_header_bytes: usize, max_body_bytes: usize) -> RequestProgress {
        RequestProgress {
            state: State::Header,
            header: Vec::new(),
            max_header_bytes,
            max_body_bytes: max_body_bytes as u64,
        }
    }

    /// Whether a request has begun and is not complete.
    pub fn is_incomplete(&self) -> bool {
        self.state != State::Header || !self.header.is_empty()
    }

    /// Processes bytes from the caller.
    pub fn record_received(&mut self, mut bytes: &[u8]) -> Result<(), ExceededLimit> {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Header => self.received_header(bytes)?,
                State::Body { remaining } => self.received_body(bytes, remaining),
                State::Chunked { received } => self.received_chunks(bytes, received)?,
            };
        }
        Ok(())
    }

    /// Records that bytes of a response came: a chunked body has ended, or the rest
    /// of it is not read.
    pub fn response_started(&mut self) {
        if let State::Chunked { .. } = self.state {
            self.state = State::Header;
        }
    }

    fn received_header<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], ExceededLimit> {
        let searched = self.header.len().saturating_sub(HEADER_END.len() - 1);
        let buffered = self.header.len();
        let capacity = (self.max_header_bytes + 1).saturating_sub(buffered);
        let consumed = bytes.len().min(capacity);
        self.header.extend_from_slice(&bytes[..consumed]);
        let end = find(&self.header[searched..], HEADER_END);
        let Some(end) = end.map(|offset| searched + offset + HEADER_END.len()) else {
            if self.header.len() > self.max_header_bytes {
                return Err(ExceededLimit::Header);
            }
            return Ok(&bytes[consumed..]);
        };
        self.state = state_after_header(&self.header[..end]);
        self.header.clear();
        Ok(&bytes[end - buffered..])
    }

    fn received_body<'a>(&mut self, bytes: &'a [u8], remaining: u64) -> &'a [u8] {
        let consumed = remaining.min(bytes.len() as u64);
        let remaining = remaining - consumed;
        self.state = if remaining == 0 {
            State::Header
        } else {
            State::Body { remaining }
        };
        &bytes[consumed as usize..]
    }

    fn received_chunks<'a>(
        &mut self,
        bytes: &'a [u8],
        received: u64,
    ) -> Result<&'a [u8], ExceededLimit> {
        let received = received + bytes.len() as u64;
        // Chunk sizes and line ends count as well: in the worst case one byte in six
        // is content.
        if received > self.max_body_bytes.saturating_mul(6) + self.max_header_bytes as u64 {
            return Err(ExceededLimit::Body);
        }
        self.state = State::Chunked { received };
        Ok(&[])
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn state_after_header(header: &[u8]) -> State {
    let mut length = 0;
    for line in header.split(|byte| *byte == b'\n') {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            continue;
        };
        let name = line[..colon].trim_ascii();
        let value = line[colon + 1..].trim_ascii();
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            return State::Chunked { received: 0 };
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits = std::str::from_utf8(value).unwrap_or_default();
            length = digits.parse().unwrap_or(0);
        }
    }
    if length == 0 {
        return State::Header;
    }
    State::Body { remaining: length }
}
