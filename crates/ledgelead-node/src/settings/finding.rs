//! Errors in settings, with their locations.

use std::fmt;
use std::ops::Range;

/// Syntax errors that are reported together.
const MAX_SYNTAX_ERRORS: usize = 5;

/// Where an error is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// Bytes of the file.
    InFile {
        /// First byte, and the one after the last.
        bytes: Range<usize>,
    },
    /// A flag of the command line.
    Flag {
        /// The flag's name, without dashes.
        name: &'static str,
    },
}

impl Location {
    /// Bytes of the file.
    pub fn in_file(bytes: Range<usize>) -> Location {
        Location::InFile { bytes }
    }
}

/// One error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where.
    pub location: Location,
    /// What is wrong, and what was expected.
    pub message: String,
}

/// Errors of one file and the flags that override it.
#[derive(Clone, Debug)]
pub struct Findings {
    file: String,
    text: String,
    findings: Vec<Finding>,
    syntax_errors: usize,
}

/// Line and column of a byte, counted from 1; the column in characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineColumn {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

impl Findings {
    /// A list without errors.
    pub fn new(file: &str, text: &str) -> Findings {
        Findings {
            file: file.to_owned(),
            text: text.to_owned(),
            findings: Vec::new(),
            syntax_errors: 0,
        }
    }

    /// Adds an error.
    pub fn add(&mut self, location: Location, message: String) {
        self.findings.push(Finding { location, message });
    }

    /// Adds a syntax error of the file. A syntax error can cause further ones after it,
    /// so only the first of a line is kept, and the first [`MAX_SYNTAX_ERRORS`] of the
    /// file.
    pub fn add_syntax_error(&mut self, bytes: Range<usize>, message: String) {
        let line = self.locate(bytes.start).line;
        let same_line = self.findings.iter().any(|finding| match &finding.location {
            Location::InFile { bytes } => self.locate(bytes.start).line == line,
            Location::Flag { .. } => false,
        });
        if same_line || self.syntax_errors >= MAX_SYNTAX_ERRORS {
            return;
        }
        self.syntax_errors += 1;
        self.add(Location::InFile { bytes }, message);
    }

    /// Whether the file has syntax errors.
    pub fn has_syntax_errors(&self) -> bool {
        self.syntax_errors > 0
    }

    /// Whether there are no errors.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The errors.
    pub fn all(&self) -> &[Finding] {
        &self.findings
    }

    /// The errors in the order of their locations, without duplicates; flags come last.
    pub fn sorted(mut self) -> Findings {
        self.findings
            .sort_by_key(|finding| match &finding.location {
                Location::InFile { bytes } => (0, bytes.start),
                Location::Flag { .. } => (1, 0),
            });
        self.findings.dedup();
        self
    }

    /// Line and column of a byte of the file.
    pub fn locate(&self, byte: usize) -> LineColumn {
        let mut end = byte.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &self.text[..end];
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        LineColumn {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            match &finding.location {
                Location::InFile { bytes } => {
                    let LineColumn { line, column } = self.locate(bytes.start);
                    write!(formatter, "{}:{line}:{column}: ", self.file)?;
                }
                Location::Flag { name } => write!(formatter, "--{name}: ")?,
            }
            writeln!(formatter, "{}", finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// The valid name most similar to a wrong one, if any is similar enough.
pub fn nearest<'a>(wrong: &str, valid: &[&'a str]) -> Option<&'a str> {
    let limit = (wrong.chars().count() / 2).max(2);
    valid
        .iter()
        .map(|name| (edit_distance(wrong, name), *name))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, name)| name)
}

/// Levenshtein distance.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_char) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
