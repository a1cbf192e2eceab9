//! Result tables: aligned text for people, JSON for programs.

use crate::cell::Cell;
use crate::schema::{Column, ColumnKind};
use serde::ser::{Serialize, SerializeMap, SerializeStruct, Serializer};
use std::fmt::{self, Display, Formatter};

/// Spaces between two columns.
const COLUMN_GAP: &str = "  ";

/// Rows of cells under columns.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The columns.
    pub columns: Vec<Column>,
    /// The rows, each with one cell per column.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// A table without rows.
    pub fn new(columns: &[Column]) -> Table {
        Table {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Index of a column.
    pub(crate) fn column(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| column.name == name)
    }
}

/// Aligned text, with numbers aligned to the right.
impl Display for Table {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let header: Vec<String> = self
            .columns
            .iter()
            .map(|column| column.name.to_owned())
            .collect();
        let rows = self
            .rows
            .iter()
            .map(|row| row.iter().map(Cell::to_string).collect());
        let lines: Vec<Vec<String>> = std::iter::once(header).chain(rows).collect();
        let widths: Vec<usize> = (0..self.columns.len())
            .map(|index| max_width(&lines, index))
            .collect();
        for line in &lines {
            writeln!(formatter, "{}", self.aligned(line, &widths))?;
        }
        Ok(())
    }
}

fn max_width(lines: &[Vec<String>], index: usize) -> usize {
    let widths = lines.iter().filter_map(|line| line.get(index));
    widths.map(|text| text.chars().count()).max().unwrap_or(0)
}

impl Table {
    fn aligned(&self, line: &[String], widths: &[usize]) -> String {
        let cells: Vec<String> = line
            .iter()
            .zip(widths)
            .zip(&self.columns)
            .map(|((text, width), column)| match column.kind {
                ColumnKind::Number => format!("{text:>width$}"),
                ColumnKind::Text | ColumnKind::Flag => format!("{text:<width$}"),
            })
            .collect();
        cells.join(COLUMN_GAP).trim_end().to_owned()
    }
}

/// `{"columns": [...], "rows": [{column: value}, ...]}`
impl Serialize for Table {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let names: Vec<&str> = self.columns.iter().map(|column| column.name).collect();
        let rows: Vec<Row<'_>> = self
            .rows
            .iter()
            .map(|cells| Row {
                columns: &self.columns,
                cells,
            })
            .collect();
        let mut table = serializer.serialize_struct("Table", 2)?;
        table.serialize_field("columns", &names)?;
        table.serialize_field("rows", &rows)?;
        table.end()
    }
}

struct Row<'a> {
    columns: &'a [Column],
    cells: &'a [Cell],
}

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut row = serializer.serialize_map(Some(self.cells.len()))?;
        for (column, cell) in self.columns.iter().zip(self.cells) {
            row.serialize_entry(column.name, cell)?;
        }
        row.end()
    }
}
