//! Errors in a text with their locations, reported together.

use crate::located::TextRange;
use crate::nearest::nearest;
use ariadne::{CharSet, Color, Config, IndexType, Label, Report, ReportKind, Source};
use serde::{Deserialize, Serialize};

/// One error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location, in bytes of the text.
    pub range: TextRange,
    /// What is wrong.
    pub message: String,
    /// The likely intended word, or the allowed values.
    pub help: Option<String>,
}

impl Finding {
    /// An error without a hint.
    pub fn new(range: TextRange, message: impl Into<String>) -> Finding {
        Finding {
            range,
            message: message.into(),
            help: None,
        }
    }

    /// Adds a hint.
    pub fn with_help(mut self, help: impl Into<String>) -> Finding {
        self.help = Some(help.into());
        self
    }

    /// An unknown word, with the nearest valid one or the list of valid ones.
    pub(crate) fn unknown<'a>(
        range: TextRange,
        what: &str,
        word: &str,
        valid: impl IntoIterator<Item = &'a str>,
    ) -> Finding {
        let valid: Vec<&str> = valid.into_iter().collect();
        let finding = Finding::new(range, format!("no {what} `{word}`"));
        match nearest(word, valid.iter().copied()) {
            Some(near) => finding.with_help(format!("did you mean `{near}`?")),
            None if valid.is_empty() => finding.with_help(format!("there is no {what} yet")),
            None => finding.with_help(format!("known: {}", list_words(&valid))),
        }
    }
}

/// Maximum number of errors reported for one text.
const MAX_FINDINGS: usize = 32;
/// Maximum number of words that a hint lists.
const MAX_LISTED_WORDS: usize = 16;

fn list_words(words: &[&str]) -> String {
    let shown = words[..words.len().min(MAX_LISTED_WORDS)].join(", ");
    match words.len().saturating_sub(MAX_LISTED_WORDS) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}

/// All errors in one text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds an error, up to a limit: a malformed text can have one at every character, and
    /// each is displayed with its line.
    pub fn add(&mut self, finding: Finding) {
        if self.0.len() < MAX_FINDINGS {
            self.0.push(finding);
        } else if self.0.len() == MAX_FINDINGS {
            let more = "there are more mistakes; mend these first";
            self.0.push(Finding::new(finding.range, more));
        }
    }

    /// Adds the errors of another list.
    pub(crate) fn extend(&mut self, others: Findings) {
        for finding in others.0 {
            self.add(finding);
        }
    }

    /// Whether there are no errors.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Sorts the errors by their position.
    pub fn sort(&mut self) {
        self.0.sort_by_key(|finding| finding.range.start);
    }

    /// Formats all errors for display, with carets under the text and optionally in colour.
    pub fn render(&self, text: &str, colour: bool) -> String {
        let mut written = Vec::new();
        for finding in &self.0 {
            // Writing to memory can't fail.
            let _ = report(finding, text, colour).write((SOURCE, Source::from(text)), &mut written);
        }
        let written = String::from_utf8_lossy(&written);
        written
            .lines()
            .map(|line| format!("{}\n", line.trim_end()))
            .collect()
    }
}

/// Name of the text in the formatted errors.
const SOURCE: &str = "statement";

fn report(
    finding: &Finding,
    text: &str,
    colour: bool,
) -> Report<'static, (&'static str, TextRange)> {
    let config = Config::default()
        .with_color(colour)
        .with_char_set(CharSet::Ascii)
        .with_index_type(IndexType::Byte);
    let range = visible_range(&finding.range, text);
    // A label without a message would be drawn without a caret.
    let help = finding.help.as_deref().unwrap_or("here");
    let mut label = Label::new((SOURCE, range.clone())).with_message(help);
    if colour {
        label = label.with_color(Color::Red);
    }
    Report::build(ReportKind::Error, (SOURCE, range))
        .with_config(config)
        .with_message(&finding.message)
        .with_label(label)
        .finish()
}

/// Clamps a range to the text and extends it to at least one character if there is any; an
/// error at the end points at the last character.
fn visible_range(range: &TextRange, text: &str) -> TextRange {
    let end = floor_character_boundary(text, range.end);
    let start = floor_character_boundary(text, range.start).min(end);
    if start < end {
        return start..end;
    }
    match text[..start].char_indices().next_back() {
        Some((last, _)) => last..start,
        None => 0..0,
    }
}

/// The largest character boundary not after `place`. The range may come from another program
/// and need not lie on a boundary.
fn floor_character_boundary(text: &str, place: usize) -> usize {
    let mut place = place.min(text.len());
    while !text.is_char_boundary(place) {
        place -= 1;
    }
    place
}
