//! Distinguishes the answer to a request from other answers on the same connection.

use ledgelead_http::Response;

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
