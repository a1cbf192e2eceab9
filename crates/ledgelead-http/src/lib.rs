//! HTTP/1.1 without I/O: messages, and incremental readers that parse bytes as they arrive.
//!
//! The readers expose what libraries with a thread per connection hide: bytes left over
//! after a message, responses that end when the connection closes, and responses that arrive
//! before the request was sent. `httparse` parses heads and chunk sizes; this crate
//! implements the framing.

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
pub use write::{has_body, reason_phrase, write_request, write_response};

/// Maximum number of headers of one message.
pub const MAX_HEADERS: usize = 128;
