//! Source ranges of values in a statement's text.

/// A range of bytes in the text.
pub type TextRange = std::ops::Range<usize>;

/// A value with its source range. Equality ignores the range, so the syntax trees of texts
/// that differ in white space are equal.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its range in the text.
    pub range: TextRange,
}

impl<T> Located<T> {
    /// A value with its range.
    pub fn new(value: T, range: TextRange) -> Located<T> {
        Located { value, range }
    }
}

impl<T: PartialEq> PartialEq for Located<T> {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}
