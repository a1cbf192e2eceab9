//! Reads the tokens of one statement and notes what is wrong with them.

use crate::finding::{Finding, Findings};
use crate::lexer::{Token, TokenKind};
use crate::located::{Located, TextRange};
use crate::nearest::nearest;
use crate::parse::is_reserved;
use winnow::Parser;
use winnow::combinator::{opt, peek, repeat};
use winnow::error::ContextError;
use winnow::stream::{Stream, TokenSlice};
use winnow::token::any;

type Tokens<'a> = TokenSlice<'a, Token>;

/// The rest of a statement.
pub(super) struct Cursor<'a> {
    tokens: Tokens<'a>,
    end: usize,
    findings: &'a mut Findings,
}

impl<'a> Cursor<'a> {
    pub(super) fn new(tokens: &'a [Token], end: usize, findings: &'a mut Findings) -> Self {
        Cursor {
            tokens: TokenSlice::new(tokens),
            end,
            findings,
        }
    }

    fn take_if(&mut self, fits: impl Fn(&Token) -> bool) -> Option<&'a Token> {
        let fitting = any::<Tokens<'a>, ContextError>.verify(|token: &&Token| fits(token));
        opt(fitting).parse_next(&mut self.tokens).ok().flatten()
    }

    /// The next token, which stays.
    pub(super) fn next(&mut self) -> Option<&'a Token> {
        let next = peek(any::<Tokens<'a>, ContextError>);
        opt(next).parse_next(&mut self.tokens).ok().flatten()
    }

    /// Takes this word if it is next.
    pub(super) fn accept(&mut self, word: &str) -> bool {
        self.take_if(|token| token.word() == Some(word)).is_some()
    }

    /// Takes this symbol if it is next.
    pub(super) fn accept_symbol(&mut self, symbol: &str) -> bool {
        self.take_if(|token| matches!(token.kind, TokenKind::Symbol(found) if found == symbol))
            .is_some()
    }

    /// Takes tokens until one fits, which stays.
    pub(super) fn skip_until(&mut self, fits: impl Fn(&Token) -> bool) {
        let skipped = any::<Tokens<'a>, ContextError>.verify(|token: &&Token| !fits(token));
        let mut skip = repeat::<_, _, (), _, _>(0.., skipped.void());
        let _ = skip.parse_next(&mut self.tokens);
    }

    /// Notes a mistake at a place.
    pub(super) fn note(&mut self, finding: Finding) {
        self.findings.add(finding);
    }

    /// Location of the next token, or of the end.
    pub(super) fn place(&mut self) -> TextRange {
        match self.next() {
            Some(token) => token.range.clone(),
            None => self.end..self.end,
        }
    }

    /// Notes that something else was expected here. A token that is noted
    /// already is not noted twice.
    pub(super) fn note_expected(&mut self, expected: &str) {
        let is_noted = self.take_if(|token| token.kind == TokenKind::Bad).is_some();
        if !is_noted {
            let range = self.place();
            self.note(Finding::new(range, format!("expected {expected}")));
        }
    }

    /// Takes this word; anything else is a mistake. A word close to it counts
    /// as a slip and is taken.
    pub(super) fn expect(&mut self, word: &'static str) -> Option<()> {
        self.one_of(&[word], &format!("`{word}`")).map(|_| ())
    }

    /// Takes one of these words; a close one counts as a slip and is taken
    /// for the nearest.
    pub(super) fn one_of(&mut self, words: &[&'static str], what: &str) -> Option<&'static str> {
        let Some(token) = self.next() else {
            self.note_expected(what);
            return None;
        };
        let Some(word) = token.word() else {
            self.note_expected(what);
            return None;
        };
        if let Some(exact) = words.iter().find(|valid| **valid == word) {
            self.tokens.next_token();
            return Some(exact);
        }
        let finding = Finding::new(token.range.clone(), format!("expected {what}"));
        let Some(near) = nearest(word, words.iter().copied()) else {
            let one_of = format!("one of: {}", words.join(", "));
            self.note(if words.len() > 1 {
                finding.with_help(one_of)
            } else {
                finding
            });
            return None;
        };
        self.note(finding.with_help(format!("did you mean `{near}`?")));
        self.tokens.next_token();
        words.iter().find(|valid| **valid == near).copied()
    }

    /// Takes a name, bare or quoted.
    pub(super) fn name(&mut self, what: &str) -> Option<Located<String>> {
        let is_name = |token: &Token| match &token.kind {
            TokenKind::Word(word) => !is_reserved(word),
            TokenKind::Text(_) => true,
            _ => false,
        };
        let Some(token) = self.take_if(is_name) else {
            self.note_expected(what);
            return None;
        };
        match &token.kind {
            TokenKind::Word(name) | TokenKind::Text(name) => {
                Some(Located::new(name.clone(), token.range.clone()))
            }
            _ => None,
        }
    }

    /// Takes a number if one is next.
    pub(super) fn number(&mut self) -> Option<Located<f64>> {
        let token = self.take_if(|token| matches!(token.kind, TokenKind::Number(_)))?;
        match token.kind {
            TokenKind::Number(number) => Some(Located::new(number, token.range.clone())),
            _ => None,
        }
    }

    /// Notes what is left over.
    pub(super) fn finish(&mut self) {
        let place = self.place();
        if self
            .next()
            .is_some_and(|token| token.kind != TokenKind::Bad)
        {
            let finding = Finding::new(place, "the statement should have ended here");
            self.note(finding.with_help("statements are separated by `;`"));
        }
    }
}
