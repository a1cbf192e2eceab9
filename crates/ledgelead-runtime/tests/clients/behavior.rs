//! A generator of what clients do that don't keep to the protocol: what they send and in which
//! pieces, how they read, and how they leave. The tests of one process draw from it as well.

use rand::{Rng, RngExt};

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It stays connected.
    Stays,
    /// It closes its connection.
    Closes,
    /// It closes its sending direction only.
    StopsSending,
}

/// What one client does.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Sent in a row, the last one again and again.
    pub parts: Vec<Vec<u8>>,
    /// Bytes after which nothing more is sent.
    pub max_sent: usize,
    /// Bytes that are sent at a time.
    pub piece: usize,
    /// Bytes that are read at a time; zero if nothing is read.
    pub read: usize,
    /// How it leaves once all is sent, or after `end_after` pieces.
    pub end: End,
    pub end_after: usize,
}

impl Behavior {
    /// Draws a behavior that sends no more than this many bytes.
    pub fn draw(rng: &mut impl Rng, host: &str, max_sent: usize) -> Behavior {
        let count = rng.random_range(1..4);
        let parts = (0..count).map(|_| part(rng, host)).collect();
        Behavior {
            parts,
            max_sent: rng.random_range(1..=max_sent),
            piece: pick(rng, &[1, 7, 100, 1_500, 65_536]),
            read: pick(rng, &[0, 0, 10, 2_000, 1_000_000]),
            end: pick(
                rng,
                &[End::Stays, End::Stays, End::Closes, End::StopsSending],
            ),
            end_after: rng.random_range(1..300),
        }
    }

    /// The bytes that follow the first `sent`, up to the end of their part.
    pub fn next(&self, sent: usize) -> &[u8] {
        let left = self.max_sent.saturating_sub(sent).min(self.piece);
        let mut at = sent;
        for part in &self.parts {
            if at < part.len() {
                return &part[at..part.len().min(at + left)];
            }
            at -= part.len();
        }
        match self.parts.last() {
            Some(last) if !last.is_empty() => {
                let at = at % last.len();
                &last[at..last.len().min(at + left)]
            }
            _ => &[],
        }
    }
}

fn pick<T: Copy>(rng: &mut impl Rng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}

/// A request, a part of one, or bytes that are none.
fn part(rng: &mut impl Rng, host: &str) -> Vec<u8> {
    match rng.random_range(0..12) {
        0 => noise(rng),
        1 => half_head(rng, host),
        2 => long_head(rng, host),
        3 => chunked(rng, host),
        4 => upload(rng, host),
        _ => request(rng, host, "", b""),
    }
}

fn noise(rng: &mut impl Rng) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(1..3_000)];
    rng.fill(&mut bytes[..]);
    bytes
}

fn half_head(rng: &mut impl Rng, host: &str) -> Vec<u8> {
    let mut bytes = request(rng, host, "", b"");
    bytes.truncate(rng.random_range(1..bytes.len()));
    bytes
}

fn long_head(rng: &mut impl Rng, host: &str) -> Vec<u8> {
    let value = "v".repeat(rng.random_range(1..20_000));
    let many = "X-Many: m\r\n".repeat(rng.random_range(0..150));
    request(rng, host, &format!("X-Long: {value}\r\n{many}"), b"")
}

fn chunked(rng: &mut impl Rng, host: &str) -> Vec<u8> {
    let size = rng.random_range(1..5_000);
    let body = match rng.random_range(0..5) {
        0 => format!("{size:x}\r\n{}\r\n", "c".repeat(size)),
        1 => "1\r\nc\r\n".repeat(size),
        2 => "ffffffffffffffff\r\n".into(),
        3 => format!("0\r\n{}", "X-Trailer: t\r\n".repeat(size)),
        _ => format!("{size:x};e=x\r\n{}\r\n0\r\n\r\n", "c".repeat(size)),
    };
    let framing = "Transfer-Encoding: chunked\r\n";
    request(rng, host, framing, body.as_bytes())
}

fn upload(rng: &mut impl Rng, host: &str) -> Vec<u8> {
    let size = rng.random_range(0..70_000);
    let declared = match rng.random_range(0..4) {
        0 => "18446744073709551616".into(),
        1 => (size * 1_000).to_string(),
        2 => format!("{size}\r\nTransfer-Encoding: chunked"),
        _ => size.to_string(),
    };
    let expects = pick(rng, &["", "Expect: 100-continue\r\n"]);
    let framing = format!("Content-Length: {declared}\r\n{expects}");
    request(rng, host, &framing, &vec![b'u'; size])
}

fn request(rng: &mut impl Rng, host: &str, framing: &str, body: &[u8]) -> Vec<u8> {
    let method = pick(rng, &["GET", "GET", "POST", "HEAD", "DELETE", "BREW"]);
    let number: u32 = rng.random();
    let target = match rng.random_range(0..6) {
        0 => "/".to_owned(),
        1 => format!("/{number}/x"),
        2 => format!("/safe/{}", "p".repeat(rng.random_range(0..8_000))),
        3 => "/safe/large".to_owned(),
        _ => format!("/{}/{number}", pick(rng, &["safe", "once"])),
    };
    let host = match rng.random_range(0..8) {
        0 => String::new(),
        1 => format!("Host: {number}.example\r\n"),
        _ => format!("Host: {host}\r\n"),
    };
    let id = match rng.random_range(0..4) {
        0 => String::new(),
        1 => "X-Ledgelead-Request-Attempt-Id: same\r\n".to_owned(),
        2 => format!("X-Ledgelead-Request-Attempt-Id: {}\r\n", "i".repeat(2_000)),
        _ => format!("X-Ledgelead-Request-Attempt-Id: {number}\r\n"),
    };
    let deadline = pick(rng, &["", "500", "0", "-1", "99999999999999999999", "soon"]);
    let deadline = match deadline {
        "" => String::new(),
        millis => format!("X-Ledgelead-Request-Deadline-Ms: {millis}\r\n"),
    };
    let version = pick(rng, &["1.1", "1.1", "1.1", "1.1", "1.0", "2.0"]);
    let close = pick(rng, &["", "", "", "Connection: close\r\n"]);
    let head =
        format!("{method} {target} HTTP/{version}\r\n{host}{id}{deadline}{close}{framing}\r\n");
    [head.as_bytes(), body].concat()
}
