//! HTTP/1.1 without sockets: messages, and readers that are fed bytes.
//!
//! The readers see what libraries with a thread a connection hide: bytes left
//! over behind a message, answers that end with their connection, and answers
//! that come before the request was sent. `httparse` parses heads and chunk
//! sizes; framing is decided here.

mod framing;
mod message;
mod request_reader;
mod response_reader;
mod size;
mod write;

pub use framing::{BodyReader, FramingError};
pub use message::{Header, Headers, Request, Response};
pub use request_reader::{RequestError, RequestLimits, RequestProgress, RequestReader};
pub use response_reader::{ResponseError, ResponseProgress, ResponseReader};
pub use size::{request_bytes, response_bytes};
pub use write::{reason_phrase, write_request, write_response};

/// Most headers of one message.
pub const MAX_HEADERS: usize = 128;
