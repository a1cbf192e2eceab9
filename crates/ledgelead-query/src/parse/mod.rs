//! Parses tokens into syntax trees. After an error the parser resumes at the next clause, so
//! one pass reports all errors.

mod clauses;
mod command;
mod cursor;
mod show;

use crate::finding::Findings;
use crate::lexer::{TokenKind, lex};
use crate::located::Located;
use crate::tree::Statement;
use cursor::Cursor;

/// Words that must be quoted when used as names, because they can follow a name.
const RESERVED: [&str; 14] = [
    "of", "where", "and", "or", "order", "by", "asc", "desc", "limit", "with", "set", "to", "in",
    "at",
];

/// Whether a word must be quoted when used as a name.
pub(crate) fn is_reserved(word: &str) -> bool {
    RESERVED.contains(&word)
}

/// Result of parsing a text.
#[derive(Clone, Debug, Default)]
pub struct Parsed {
    /// Syntax trees. If there are errors, these are incomplete and only fit for further
    /// checks.
    pub statements: Vec<Located<Statement>>,
    /// Errors in the text.
    pub findings: Findings,
}

/// Parses a text of statements separated by `;`.
pub fn parse(text: &str) -> Parsed {
    let mut parsed = Parsed::default();
    let tokens = lex(text, &mut parsed.findings);
    let is_separator = |kind: &TokenKind| *kind == TokenKind::Symbol(";");
    for tokens in tokens.split(|token| is_separator(&token.kind)) {
        let (Some(first), Some(last)) = (tokens.first(), tokens.last()) else {
            continue;
        };
        let range = first.range.start..last.range.end;
        let mut cursor = Cursor::new(tokens, range.end, &mut parsed.findings);
        if let Some(statement) = cursor.statement() {
            cursor.expect_end();
            parsed.statements.push(Located::new(statement, range));
        }
    }
    parsed
}
