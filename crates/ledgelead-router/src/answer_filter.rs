//! Distinguishes the answer to a request from other answers on the same connection.

use ledgelead_http::Response;
use xxhash_rust::xxh3::xxh3_64;

/// Which responses can be the answer to a request. A peer may send a second answer to an
/// earlier request on a kept connection, in the place of the answer to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AnswerFilter {
    /// Any response.
    #[default]
    Any,
    /// A response that has a header with this value.
    Equal(Box<str>, Box<[u8]>),
    /// A response without a header that marks the answers to requests of another kind.
    WithoutHeader {
        /// The header that the answer must not have.
        header: Box<str>,
        /// The header that a successful answer must have.
        on_success: Option<Box<str>>,
    },
}

impl AnswerFilter {
    /// Whether a response can be the answer.
    pub fn accepts(&self, response: &Response) -> bool {
        let has = |name: &str| response.headers.get(name).is_some();
        match self {
            AnswerFilter::Any => true,
            AnswerFilter::Equal(name, value) => response.headers.get(name) == Some(value.as_ref()),
            AnswerFilter::WithoutHeader { header, on_success } => {
                let needed = on_success.as_deref().filter(|_| response.is_success());
                !has(header) && needed.is_none_or(has)
            }
        }
    }
}

/// The ids of the requests that a connection has carried. A second answer to one of them may
/// still arrive, and would pass for the answer to another request with the same id. So a
/// connection carries no id twice: not even for another instance that now uses the address.
#[derive(Clone, Debug)]
pub struct CarriedIds<T> {
    /// Hash of each id, and until when a request with that id may be sent.
    hashes: Vec<(u64, T)>,
}

impl<T> Default for CarriedIds<T> {
    fn default() -> CarriedIds<T> {
        CarriedIds { hashes: Vec::new() }
    }
}

impl<T: Copy + Ord> CarriedIds<T> {
    /// Whether the connection has carried the id by which this filter knows its answer.
    pub fn contains(&self, answer: &AnswerFilter) -> bool {
        let carried = |id| self.hashes.iter().any(|(hash, _)| *hash == id);
        answer.id_hash().is_some_and(carried)
    }

    /// Records the id of a request that is sent now, and whose client waits until `until`.
    pub fn record(&mut self, answer: &AnswerFilter, until: T, now: T) {
        if let Some(hash) = answer.id_hash() {
            self.hashes.retain(|(_, until)| *until > now);
            self.hashes.push((hash, until));
        }
    }
}

impl AnswerFilter {
    fn id_hash(&self) -> Option<u64> {
        match self {
            AnswerFilter::Equal(_, id) => Some(xxh3_64(id)),
            AnswerFilter::Any | AnswerFilter::WithoutHeader { .. } => None,
        }
    }
}
