//! Requests and responses with their complete bodies.

/// One header as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name, in the sender's case.
    pub name: String,
    /// The value without surrounding whitespace.
    pub value: Vec<u8>,
}

/// Headers in the order of the message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

/// Headers that apply to one connection and are never forwarded (RFC 9110, section 7.6.1),
/// and those that frame the body, which are generated for each connection.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authorization",
];

impl Headers {
    /// An empty list.
    pub fn new() -> Headers {
        Headers::default()
    }

    /// Copies the headers that the parser found.
    pub(crate) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Headers {
        let copy = |header: &httparse::Header<'_>| Header {
            name: header.name.to_owned(),
            value: header.value.to_vec(),
        };
        Headers(parsed.iter().map(copy).collect())
    }

    /// Adds a header at the end.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.into(),
        });
    }

    /// Replaces all headers of this name with one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all headers of this name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|header| !header.name.eq_ignore_ascii_case(name));
    }

    /// The value of the first header of this name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let named = |header: &&Header| header.name.eq_ignore_ascii_case(name);
        self.0
            .iter()
            .find(named)
            .map(|header| header.value.as_slice())
    }

    /// The value of the first header of this name, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// The value of the first header of this name, if it parses as a number.
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.parse().ok()
    }

    /// The values of all headers of this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_slice())
    }

    /// Whether a comma-separated header contains this token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Removes the headers that apply to one connection only: the standard ones, and those
    /// that `Connection` names.
    pub fn remove_connection_headers(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(|part| String::from_utf8_lossy(part.trim_ascii()).to_lowercase())
            .collect();
        self.0.retain(|header| {
            let name = header.name.to_lowercase();
            !CONNECTION_HEADERS.contains(&name.as_str()) && !named.contains(&name)
        });
    }

    /// All headers.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Headers, as sent.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without headers.
    pub fn new(method: &str, target: impl Into<String>, body: Vec<u8>) -> Request {
        Request {
            method: method.to_owned(),
            target: target.into(),
            headers: Headers::new(),
            body,
        }
    }

    /// Memory that the request takes, in bytes, without what the allocator adds.
    pub fn memory_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|header| size_of::<Header>() + header.name.capacity() + header.value.capacity())
            .sum();
        self.method.capacity() + self.target.capacity() + headers + self.body.capacity()
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers, as sent.
    pub headers: Headers,
    /// The body without its framing.
    pub body: Vec<u8>,
}

impl Response {
    /// A response without headers.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response {
            status,
            headers: Headers::new(),
            body: body.into(),
        }
    }

    /// Whether the status is one of HTTP that ends an exchange.
    pub fn is_final(&self) -> bool {
        (200..600).contains(&self.status)
    }

    /// Whether the status is in the range 200 to 299.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
