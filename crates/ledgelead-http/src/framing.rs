//! Body framing: by `Content-Length`, in chunks, or until the connection closes.

use crate::message::Headers;

/// Longest line of a chunk size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// Longest trailers, in bytes. They are discarded, so nothing else would end them.
const MAX_TRAILER_BYTES: usize = 65_536;

/// Why the end of a body can't be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// Contradictory lengths, or both a length and a transfer coding.
    Ambiguous,
    /// A length that is not a number.
    BadLength,
    /// A transfer coding other than `chunked`.
    UnknownCoding,
    /// A malformed chunk.
    BadChunk,
    /// More bytes than allowed.
    TooLong,
}

/// The framing that `Content-Length` and `Transfer-Encoding` declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeclaredFraming {
    Length(u64),
    Chunked,
    Absent,
}

impl DeclaredFraming {
    pub(crate) fn of(headers: &Headers) -> Result<DeclaredFraming, FramingError> {
        let mut length = None;
        for value in headers.all("content-length") {
            let parsed = parse_length(value)?;
            if length.is_some_and(|earlier| earlier != parsed) {
                return Err(FramingError::Ambiguous);
            }
            length = Some(parsed);
        }
        let mut codings = headers.all("transfer-encoding");
        let Some(coding) = codings.next() else {
            return Ok(length.map_or(DeclaredFraming::Absent, DeclaredFraming::Length));
        };
        if length.is_some() || codings.next().is_some() {
            return Err(FramingError::Ambiguous);
        }
        if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            Ok(DeclaredFraming::Chunked)
        } else {
            Err(FramingError::UnknownCoding)
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, FramingError> {
    let value = value.trim_ascii();
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::BadLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError::BadLength)?;
    text.parse().map_err(|_| FramingError::BadLength)
}

/// Longest body, in bytes, whose memory is allocated at its beginning. The declared length is
/// not trusted beyond this, and most bodies are shorter.
const MAX_PREALLOCATED_BYTES: u64 = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Reads one body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    body: Vec<u8>,
    max_bytes: usize,
    trailer_bytes: usize,
}

impl BodyReader {
    /// A body with this length in bytes.
    pub fn length(length: u64, max_bytes: usize) -> Result<BodyReader, FramingError> {
        if length > max_bytes as u64 {
            return Err(FramingError::TooLong);
        }
        Ok(BodyReader::new(State::Length(length), max_bytes))
    }

    /// A body in the chunked transfer coding.
    pub fn chunked(max_bytes: usize) -> BodyReader {
        BodyReader::new(State::ChunkSize, max_bytes)
    }

    /// A body that ends when the connection closes.
    pub fn until_close(max_bytes: usize) -> BodyReader {
        BodyReader::new(State::UntilClose, max_bytes)
    }

    fn new(state: State, max_bytes: usize) -> BodyReader {
        BodyReader {
            state,
            body: Vec::new(),
            max_bytes,
            trailer_bytes: 0,
        }
    }

    /// Consumes bytes of the body from the front of `input`. Returns true once the body is
    /// complete.
    ///
    /// # Errors
    /// If a chunk is malformed or the body is longer than allowed.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Result<bool, FramingError> {
        let mut consumed = 0;
        while self.step(input, &mut consumed)? {}
        input.drain(..consumed);
        Ok(matches!(self.state, State::Length(0) | State::Done))
    }

    /// Whether the body is complete if the sender closes the connection now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(
            self.state,
            State::UntilClose | State::Length(0) | State::Done
        )
    }

    /// Bytes of memory that the body takes now, or will take if its length is known.
    pub fn reserved_bytes(&self) -> usize {
        let left = match self.state {
            State::Length(left) => usize::try_from(left).unwrap_or(usize::MAX),
            _ => 0,
        };
        let whole = self.body.len().saturating_add(left);
        self.body.capacity().max(whole)
    }

    /// Bytes of the body that have arrived.
    pub fn received_bytes(&self) -> usize {
        self.body.len()
    }

    /// Whether the length of the body is not known before its end.
    pub fn has_unknown_length(&self) -> bool {
        !matches!(self.state, State::Length(_))
    }

    /// The body read so far.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Makes one step. Returns whether another step may make progress.
    fn step(&mut self, input: &[u8], consumed: &mut usize) -> Result<bool, FramingError> {
        let rest = &input[*consumed..];
        match self.state {
            State::Length(0) | State::Done => Ok(false),
            State::Length(left) => {
                if !rest.is_empty() {
                    self.preallocate(left);
                }
                let taken = self.take(rest, left, consumed)?;
                self.state = State::Length(left - taken);
                Ok(taken > 0)
            }
            State::UntilClose => Ok(self.take(rest, u64::MAX, consumed)? > 0),
            State::ChunkData(0) => {
                self.state = State::ChunkEnd;
                Ok(true)
            }
            State::ChunkData(left) => {
                let taken = self.take(rest, left, consumed)?;
                self.state = State::ChunkData(left - taken);
                Ok(taken > 0)
            }
            State::ChunkSize => self.chunk_size(rest, consumed),
            State::ChunkEnd => self.chunk_end(rest, consumed),
            State::Trailers => self.trailer(rest, consumed),
        }
    }

    /// Allocates the memory of a body of known length at once, as soon as more than its first
    /// bytes arrives. A buffer that grows by doubling would take up to twice as much.
    fn preallocate(&mut self, left: u64) {
        if !self.body.is_empty() && left <= MAX_PREALLOCATED_BYTES {
            let left = usize::try_from(left).unwrap_or_default();
            self.body.reserve_exact(left);
        }
    }

    fn take(
        &mut self,
        rest: &[u8],
        at_most: u64,
        consumed: &mut usize,
    ) -> Result<u64, FramingError> {
        let taken = rest
            .len()
            .min(usize::try_from(at_most).unwrap_or(usize::MAX));
        if self.body.len() + taken > self.max_bytes {
            return Err(FramingError::TooLong);
        }
        self.body.extend_from_slice(&rest[..taken]);
        *consumed += taken;
        Ok(taken as u64)
    }

    fn chunk_size(&mut self, rest: &[u8], consumed: &mut usize) -> Result<bool, FramingError> {
        match httparse::parse_chunk_size(rest).map_err(|_| FramingError::BadChunk)? {
            httparse::Status::Complete((bytes, 0)) => {
                *consumed += bytes;
                self.state = State::Trailers;
                Ok(true)
            }
            httparse::Status::Complete((bytes, size)) => {
                *consumed += bytes;
                self.state = State::ChunkData(size);
                Ok(true)
            }
            httparse::Status::Partial if rest.len() > MAX_LINE_BYTES => Err(FramingError::BadChunk),
            httparse::Status::Partial => Ok(false),
        }
    }

    fn chunk_end(&mut self, rest: &[u8], consumed: &mut usize) -> Result<bool, FramingError> {
        if rest.len() < 2 {
            return Ok(false);
        }
        if !rest.starts_with(b"\r\n") {
            return Err(FramingError::BadChunk);
        }
        *consumed += 2;
        self.state = State::ChunkSize;
        Ok(true)
    }

    /// Reads and discards one trailer.
    fn trailer(&mut self, rest: &[u8], consumed: &mut usize) -> Result<bool, FramingError> {
        let Some(line) = rest.windows(2).position(|pair| pair == b"\r\n") else {
            if rest.len() > MAX_LINE_BYTES {
                return Err(FramingError::BadChunk);
            }
            return Ok(false);
        };
        *consumed += line + 2;
        self.trailer_bytes += line + 2;
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(FramingError::TooLong);
        }
        if line == 0 {
            self.state = State::Done;
        }
        Ok(true)
    }
}
