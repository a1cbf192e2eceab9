//! Binary encoding of messages, with collections that decode untrusted bytes safely.
//!
//! `nanoserde` 0.2.1 allocates a vector by its declared length before it has read the
//! elements. Eight malicious bytes cause an impossible allocation, which aborts the process.
//! Messages therefore contain [`List`], [`Bytes`] and [`Text`], which check the declared
//! length against the remaining bytes, and are decoded through [`decode`], which also rejects
//! trailing bytes.

use nanoserde::{DeBin, DeBinErr, SerBin};
use serde::{Deserialize, Serialize};
use std::ops::{Deref, DerefMut};

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes end early, or contain a value that is invalid for its type.
    Malformed,
    /// Bytes are left over after the message.
    TrailingBytes,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DecodeError::Malformed => formatter.write_str("malformed message"),
            DecodeError::TrailingBytes => formatter.write_str("trailing bytes after the message"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Decodes one message that must fill `bytes` entirely.
pub fn decode<T: DeBin>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut offset = 0;
    let value = T::de_bin(&mut offset, bytes).map_err(|_| DecodeError::Malformed)?;
    if offset != bytes.len() {
        return Err(DecodeError::TrailingBytes);
    }
    Ok(value)
}

/// Encodes one message.
pub fn encode<T: SerBin>(value: &T) -> Vec<u8> {
    SerBin::serialize_bin(value)
}

/// Reads a length of four bytes and checks that at least as many bytes remain.
fn read_length(offset: &mut usize, bytes: &[u8]) -> Result<usize, DeBinErr> {
    let length = u32::de_bin(offset, bytes)? as usize;
    let remaining = bytes.len() - *offset;
    if length > remaining {
        return Err(DeBinErr::new(*offset, length, remaining));
    }
    Ok(length)
}

fn write_length(length: usize, output: &mut Vec<u8>) {
    let length = u32::try_from(length).expect("collections in messages stay below 4 GiB");
    length.ser_bin(output);
}

/// A vector whose declared length is checked when it is decoded. Every element takes at least
/// one byte, so a length above the number of remaining bytes is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct List<T>(pub Vec<T>);

impl<T> Default for List<T> {
    fn default() -> Self {
        List(Vec::new())
    }
}

impl<T> Deref for List<T> {
    type Target = Vec<T>;

    fn deref(&self) -> &Vec<T> {
        &self.0
    }
}

impl<T> DerefMut for List<T> {
    fn deref_mut(&mut self) -> &mut Vec<T> {
        &mut self.0
    }
}

impl<T> From<Vec<T>> for List<T> {
    fn from(items: Vec<T>) -> Self {
        List(items)
    }
}

impl<T> FromIterator<T> for List<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        List(items.into_iter().collect())
    }
}

impl<'a, T> IntoIterator for &'a List<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.iter()
    }
}

impl<T> IntoIterator for List<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<T: SerBin> SerBin for List<T> {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        write_length(self.0.len(), output);
        for item in &self.0 {
            item.ser_bin(output);
        }
    }
}

impl<T: DeBin> DeBin for List<T> {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = read_length(offset, bytes)?;
        let mut items = Vec::new();
        for _ in 0..length {
            items.push(T::de_bin(offset, bytes)?);
        }
        Ok(List(items))
    }
}

/// A byte string whose declared length is checked when it is decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub Vec<u8>);

impl SerBin for Bytes {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        write_length(self.0.len(), output);
        output.extend_from_slice(&self.0);
    }
}

impl DeBin for Bytes {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = read_length(offset, bytes)?;
        let content = bytes[*offset..*offset + length].to_vec();
        *offset += length;
        Ok(Bytes(content))
    }
}

/// A UTF-8 string whose declared length is checked when it is decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Text(pub String);

impl From<&str> for Text {
    fn from(content: &str) -> Self {
        Text(content.to_owned())
    }
}

impl From<String> for Text {
    fn from(content: String) -> Self {
        Text(content)
    }
}

impl Deref for Text {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Text {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl SerBin for Text {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        write_length(self.0.len(), output);
        output.extend_from_slice(self.0.as_bytes());
    }
}

impl DeBin for Text {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let start = *offset;
        let Bytes(content) = Bytes::de_bin(offset, bytes)?;
        match String::from_utf8(content) {
            Ok(content) => Ok(Text(content)),
            Err(_) => Err(DeBinErr::new(start, 0, 0)),
        }
    }
}
