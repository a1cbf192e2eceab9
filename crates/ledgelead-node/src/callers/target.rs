//! Detects paths that a server could interpret as one of its control paths.
//!
//! A server accepts lease renewals and cancellations on the port of its service.
//! A caller whose request reached one of these paths could forge a renewal, so
//! every path that some server could resolve to one of them is refused, however
//! it is encoded.

/// First segment of the paths that only nodes may request.
const CONTROL_SEGMENT: &str = "ledgelead";
/// How often percent-encoding is decoded; servers decode it once or twice. A path
/// that is encoded more often is refused, which also bounds the work.
const MAX_DECODINGS: usize = 4;

/// Whether a server could interpret `target`, a path with its query, as a path
/// under `/ledgelead`.
pub fn may_be_control_path(target: &str) -> bool {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    let mut path = target.as_bytes()[..end].to_vec();
    for _ in 0..MAX_DECODINGS {
        if enters_control_path(&path) {
            return true;
        }
        let decoded = percent_decoded(&path);
        if decoded == path {
            return false;
        }
        path = decoded;
    }
    true
}

/// Whether any step of the path is below `/ledgelead`. Empty segments and `.` are
/// skipped and `..` goes up one level. A path that leaves `/ledgelead` again counts
/// as well, since a server may not resolve `..`.
fn enters_control_path(path: &[u8]) -> bool {
    let mut depth = 0_usize;
    for segment in path.split(|byte| matches!(byte, b'/' | b'\\')) {
        match segment_name(segment) {
            b"" | b"." => {}
            b".." => depth = depth.saturating_sub(1),
            name if depth == 0 && name.eq_ignore_ascii_case(CONTROL_SEGMENT.as_bytes()) => {
                return true;
            }
            _ => depth += 1,
        }
    }
    false
}

/// A segment without its parameters, without an encoded query or fragment, and up
/// to the first control character, where C strings and line-based parsers end.
fn segment_name(segment: &[u8]) -> &[u8] {
    let cut = |byte: &u8| matches!(byte, b';' | b'?' | b'#') || byte.is_ascii_control();
    let end = segment.iter().position(cut).unwrap_or(segment.len());
    segment[..end].trim_ascii()
}

/// Decodes percent-encoding once; invalid sequences stay as they are.
fn percent_decoded(path: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((&first, after)) = rest.split_first() {
        let byte = match after {
            [high, low, ..] if first == b'%' => hex_byte(*high, *low),
            _ => None,
        };
        decoded.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    decoded
}

fn hex_byte(high: u8, low: u8) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    Some((digit(high)? * 16 + digit(low)?) as u8)
}
