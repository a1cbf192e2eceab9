//! Values in a table.

use crate::tree::{Comparison, Value};
use serde::Serialize;
use std::cmp::Ordering;
use std::fmt::{self, Display, Formatter};

/// Stands for an unknown or absent value in conditions.
pub(crate) const NONE: &str = "none";

/// One cell of a row.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Cell {
    /// A name or another text.
    Text(String),
    /// A measured value.
    Number(f64),
    /// A count.
    Count(u64),
    /// A boolean.
    Flag(bool),
    /// Unknown or absent.
    Missing,
}

impl Cell {
    /// A text cell from a value's `Display` output.
    pub(crate) fn text(value: impl Display) -> Cell {
        Cell::Text(value.to_string())
    }

    /// A count; missing if it does not fit.
    pub(crate) fn count(value: impl TryInto<u64>) -> Cell {
        value.try_into().map_or(Cell::Missing, Cell::Count)
    }

    fn number(&self) -> Option<f64> {
        match self {
            Cell::Number(number) => Some(*number),
            Cell::Count(count) => Some(*count as f64),
            _ => None,
        }
    }

    /// Whether the comparison with a literal holds. A missing value equals the word `none` and
    /// differs from everything else.
    pub(crate) fn matches(&self, comparison: Comparison, value: &Value) -> bool {
        let ordering = match (self, value) {
            (Cell::Missing, Value::Text(text)) if text == NONE => Some(Ordering::Equal),
            (Cell::Text(cell), Value::Text(text)) => Some(cell.as_str().cmp(text)),
            (Cell::Flag(flag), Value::Text(text)) if flag.to_string() == *text => {
                Some(Ordering::Equal)
            }
            (_, Value::Number(number)) => self.number().and_then(|cell| cell.partial_cmp(number)),
            _ => None,
        };
        match comparison {
            Comparison::Equal => ordering == Some(Ordering::Equal),
            Comparison::NotEqual => ordering != Some(Ordering::Equal),
            Comparison::Less => ordering == Some(Ordering::Less),
            Comparison::AtMost => matches!(ordering, Some(Ordering::Less | Ordering::Equal)),
            Comparison::Greater => ordering == Some(Ordering::Greater),
            Comparison::AtLeast => matches!(ordering, Some(Ordering::Greater | Ordering::Equal)),
        }
    }

    /// Ascending order of rows; missing values come first.
    pub(crate) fn compare(&self, other: &Cell) -> Ordering {
        match (self, other) {
            (Cell::Missing, Cell::Missing) => Ordering::Equal,
            (Cell::Missing, _) => Ordering::Less,
            (_, Cell::Missing) => Ordering::Greater,
            (Cell::Text(left), Cell::Text(right)) => left.cmp(right),
            (Cell::Flag(left), Cell::Flag(right)) => left.cmp(right),
            _ => match (self.number(), other.number()) {
                (Some(left), Some(right)) => left.total_cmp(&right),
                _ => Ordering::Equal,
            },
        }
    }
}

impl Display for Cell {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Cell::Text(text) => formatter.write_str(text),
            Cell::Number(number) => write!(formatter, "{number:.3}"),
            Cell::Count(count) => count.fmt(formatter),
            Cell::Flag(flag) => formatter.write_str(if *flag { "yes" } else { "no" }),
            Cell::Missing => formatter.write_str("-"),
        }
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Cell {
        Cell::text(text)
    }
}

impl<T: Into<Cell>> From<Option<T>> for Cell {
    fn from(value: Option<T>) -> Cell {
        value.map_or(Cell::Missing, Into::into)
    }
}

impl From<f64> for Cell {
    fn from(number: f64) -> Cell {
        Cell::Number(number)
    }
}

impl From<String> for Cell {
    fn from(text: String) -> Cell {
        Cell::Text(text)
    }
}
