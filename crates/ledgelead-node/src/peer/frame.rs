//! Framing and authentication of messages between nodes.
//!
//! The receiver opens each connection with a greeting that holds a random
//! challenge. The sender answers with a hello that names itself and the
//! receiver. Every message that follows is a frame: its length, a tag, the
//! message. The tag is HMAC-SHA256 under the cluster key, truncated to 16 bytes,
//! over challenge, sender, receiver, the frame's number on this connection and the
//! message. The challenge prevents a recorded frame from being replayed on another
//! connection; the number prevents it from being replayed or reordered on the same
//! one.
//!
//! Nothing is decoded before its tag is verified.

use hmac::{Hmac, KeyInit, Mac};
use ledgelead_types::NodeId;
use sha2::Sha256;

/// Longest message in a frame, in bytes.
pub const MAX_PAYLOAD: usize = 1024 * 1024;
/// Bytes of a truncated tag.
pub const TAG_BYTES: usize = 16;
/// Bytes of a frame before its message.
pub const HEADER_BYTES: usize = 4 + TAG_BYTES;
/// Bytes of a connection's challenge.
pub const CHALLENGE_BYTES: usize = 16;
/// First bytes of every greeting: protocol and version.
const MAGIC: [u8; 4] = *b"LLP1";
/// Bytes of a greeting.
pub const GREETING_BYTES: usize = MAGIC.len() + CHALLENGE_BYTES;
/// Bytes of a hello.
pub const HELLO_BYTES: usize = 4 + 4 + TAG_BYTES;
/// Number of the hello; frames are numbered from the next one.
const HELLO_NUMBER: u64 = 0;

/// Random bytes drawn by the receiver for one connection.
pub type Challenge = [u8; CHALLENGE_BYTES];

/// Why the bytes of a connection were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The greeting does not belong to this protocol.
    BadGreeting,
    /// The hello is addressed to another node.
    WrongReceiver,
    /// The declared length is above [`MAX_PAYLOAD`].
    TooLong {
        /// The declared length in bytes.
        length: usize,
    },
    /// The tag does not match: the sender has another key, or bytes were modified.
    BadTag,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::BadGreeting => {
                formatter.write_str("the greeting does not belong to this protocol")
            }
            FrameError::WrongReceiver => {
                formatter.write_str("the hello is addressed to another node")
            }
            FrameError::TooLong { length } => write!(
                formatter,
                "the declared frame length {length} exceeds the limit"
            ),
            FrameError::BadTag => formatter.write_str("the authentication tag does not match"),
        }
    }
}

impl std::error::Error for FrameError {}

/// The key that all nodes of a cluster share.
#[derive(Clone)]
pub struct ClusterKey(Hmac<Sha256>);

impl ClusterKey {
    /// Creates the key from the secret in the settings.
    pub fn new(secret: &[u8]) -> ClusterKey {
        ClusterKey(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(secret)")
    }
}

/// One direction of one connection: seals frames at the sender or opens them
/// at the receiver.
#[derive(Clone, Debug)]
pub struct Session {
    key: ClusterKey,
    challenge: Challenge,
    sender: NodeId,
    receiver: NodeId,
    next_number: u64,
}

/// The greeting with which the receiver opens a connection.
pub fn greeting(challenge: &Challenge) -> [u8; GREETING_BYTES] {
    let mut bytes = [0; GREETING_BYTES];
    bytes[..MAGIC.len()].copy_from_slice(&MAGIC);
    bytes[MAGIC.len()..].copy_from_slice(challenge);
    bytes
}

/// Parses a greeting; `None` while bytes are missing.
pub fn read_greeting(bytes: &[u8]) -> Result<Option<Challenge>, FrameError> {
    let available = bytes.len().min(MAGIC.len());
    if bytes[..available] != MAGIC[..available] {
        return Err(FrameError::BadGreeting);
    }
    let Some(challenge) = bytes.get(MAGIC.len()..GREETING_BYTES) else {
        return Ok(None);
    };
    let mut copy = [0; CHALLENGE_BYTES];
    copy.copy_from_slice(challenge);
    Ok(Some(copy))
}

/// Parses and verifies a hello at its receiver; `None` while bytes are missing.
pub fn read_hello(
    bytes: &[u8],
    key: &ClusterKey,
    challenge: Challenge,
    receiver: NodeId,
) -> Result<Option<Session>, FrameError> {
    let Some(bytes) = bytes.get(..HELLO_BYTES) else {
        return Ok(None);
    };
    let sender = NodeId(read_u32(&bytes[..4]));
    if read_u32(&bytes[4..8]) != receiver.0 {
        return Err(FrameError::WrongReceiver);
    }
    let mut session = Session::new(key.clone(), challenge, sender, receiver);
    session.verify(&bytes[8..], &[])?;
    Ok(Some(session))
}

/// A verified frame.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedFrame<'a> {
    /// The message.
    pub payload: &'a [u8],
    /// Length of the whole frame in bytes.
    pub consumed: usize,
}

impl Session {
    /// A session whose hello was not sealed or verified yet.
    pub fn new(key: ClusterKey, challenge: Challenge, sender: NodeId, receiver: NodeId) -> Session {
        Session {
            key,
            challenge,
            sender,
            receiver,
            next_number: HELLO_NUMBER,
        }
    }

    /// The node that sends.
    pub fn sender(&self) -> NodeId {
        self.sender
    }

    /// Appends the hello, which has to precede all frames.
    pub fn seal_hello(&mut self, output: &mut Vec<u8>) {
        output.extend_from_slice(&self.sender.0.to_le_bytes());
        output.extend_from_slice(&self.receiver.0.to_le_bytes());
        let tag = self.seal(&[]);
        output.extend_from_slice(&tag);
    }

    /// Appends a frame.
    ///
    /// # Errors
    /// [`FrameError::TooLong`]; nothing is appended then.
    pub fn seal_frame(&mut self, payload: &[u8], output: &mut Vec<u8>) -> Result<(), FrameError> {
        check_length(payload.len())?;
        output.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        let tag = self.seal(payload);
        output.extend_from_slice(&tag);
        output.extend_from_slice(payload);
        Ok(())
    }

    /// Parses and verifies the next frame; `None` while bytes are missing.
    ///
    /// # Errors
    /// The connection must be closed: nothing after the invalid frame can be trusted.
    pub fn open_frame<'a>(
        &mut self,
        bytes: &'a [u8],
    ) -> Result<Option<OpenedFrame<'a>>, FrameError> {
        let Some(length) = bytes.get(..4) else {
            return Ok(None);
        };
        let length = read_u32(length) as usize;
        check_length(length)?;
        let consumed = HEADER_BYTES + length;
        let Some(frame) = bytes.get(..consumed) else {
            return Ok(None);
        };
        let payload = &frame[HEADER_BYTES..];
        self.verify(&frame[4..HEADER_BYTES], payload)?;
        Ok(Some(OpenedFrame { payload, consumed }))
    }

    fn seal(&mut self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let full_tag = self.authenticate(payload).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        self.next_number += 1;
        tag
    }

    fn verify(&mut self, tag: &[u8], payload: &[u8]) -> Result<(), FrameError> {
        self.authenticate(payload)
            .verify_truncated_left(tag)
            .map_err(|_| FrameError::BadTag)?;
        self.next_number += 1;
        Ok(())
    }

    fn authenticate(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.key.0.clone();
        mac.update(&self.challenge);
        mac.update(&self.sender.0.to_le_bytes());
        mac.update(&self.receiver.0.to_le_bytes());
        mac.update(&self.next_number.to_le_bytes());
        mac.update(payload);
        mac
    }
}

fn check_length(length: usize) -> Result<(), FrameError> {
    if length > MAX_PAYLOAD {
        return Err(FrameError::TooLong { length });
    }
    Ok(())
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}
