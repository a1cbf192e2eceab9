//! Reads the tokens of one statement and reports errors.

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

/// The remaining tokens of a statement.
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

    fn take_if(&mut self, predicate: impl Fn(&Token) -> bool) -> Option<&'a Token> {
        let matching = any::<Tokens<'a>, ContextError>.verify(|token: &&Token| predicate(token));
        opt(matching).parse_next(&mut self.tokens).ok().flatten()
    }

    /// Returns the next token without consuming it.
    pub(super) fn next(&mut self) -> Option<&'a Token> {
        let next = peek(any::<Tokens<'a>, ContextError>);
        opt(next).parse_next(&mut self.tokens).ok().flatten()
    }

    /// Consumes the next token if it is this word.
    pub(super) fn accept(&mut self, word: &str) -> bool {
        self.take_if(|token| token.word() == Some(word)).is_some()
    }

    /// Consumes the next token if it is this symbol.
    pub(super) fn accept_symbol(&mut self, symbol: &str) -> bool {
        self.take_if(|token| matches!(token.kind, TokenKind::Symbol(found) if found == symbol))
            .is_some()
    }

    /// Consumes tokens until one matches, which is not consumed.
    pub(super) fn skip_until(&mut self, predicate: impl Fn(&Token) -> bool) {
        let skipped = any::<Tokens<'a>, ContextError>.verify(|token: &&Token| !predicate(token));
        let mut skip = repeat::<_, _, (), _, _>(0.., skipped.void());
        let _ = skip.parse_next(&mut self.tokens);
    }

    pub(super) fn report(&mut self, finding: Finding) {
        self.findings.add(finding);
    }

    /// Range of the next token, or an empty one at the end.
    pub(super) fn next_range(&mut self) -> TextRange {
        match self.next() {
            Some(token) => token.range.clone(),
            None => self.end..self.end,
        }
    }

    /// Reports that something else was expected here. An invalid token, for which the lexer
    /// reported an error, is consumed without a second error.
    pub(super) fn report_expected(&mut self, expected: &str) {
        let is_reported = self
            .take_if(|token| token.kind == TokenKind::Invalid)
            .is_some();
        if !is_reported {
            let range = self.next_range();
            self.report(Finding::new(range, format!("expected {expected}")));
        }
    }

    /// Consumes this word; anything else is an error. A near misspelling is reported and
    /// consumed.
    pub(super) fn expect(&mut self, word: &'static str) -> Option<()> {
        self.one_of(&[word], &format!("`{word}`")).map(|_| ())
    }

    /// Consumes one of these words. A near misspelling is reported and consumed as the nearest
    /// word.
    pub(super) fn one_of(&mut self, words: &[&'static str], what: &str) -> Option<&'static str> {
        let Some(token) = self.next() else {
            self.report_expected(what);
            return None;
        };
        let Some(word) = token.word() else {
            self.report_expected(what);
            return None;
        };
        if let Some(exact) = words.iter().find(|valid| **valid == word) {
            self.tokens.next_token();
            return Some(exact);
        }
        let finding = Finding::new(token.range.clone(), format!("expected {what}"));
        let Some(near) = nearest(word, words.iter().copied()) else {
            let one_of = format!("one of: {}", words.join(", "));
            self.report(if words.len() > 1 {
                finding.with_help(one_of)
            } else {
                finding
            });
            return None;
        };
        self.report(finding.with_help(format!("did you mean `{near}`?")));
        self.tokens.next_token();
        words.iter().find(|valid| **valid == near).copied()
    }

    /// Consumes a name, quoted or not.
    pub(super) fn name(&mut self, what: &str) -> Option<Located<String>> {
        let is_name = |token: &Token| match &token.kind {
            TokenKind::Word(word) => !is_reserved(word),
            TokenKind::Text(_) => true,
            _ => false,
        };
        let Some(token) = self.take_if(is_name) else {
            self.report_expected(what);
            return None;
        };
        match &token.kind {
            TokenKind::Word(name) | TokenKind::Text(name) => {
                Some(Located::new(name.clone(), token.range.clone()))
            }
            _ => None,
        }
    }

    /// Consumes the next token if it is a number.
    pub(super) fn number(&mut self) -> Option<Located<f64>> {
        let token = self.take_if(|token| matches!(token.kind, TokenKind::Number(_)))?;
        match token.kind {
            TokenKind::Number(number) => Some(Located::new(number, token.range.clone())),
            _ => None,
        }
    }

    /// Reports tokens after the end of the statement.
    pub(super) fn expect_end(&mut self) {
        let next_range = self.next_range();
        if self
            .next()
            .is_some_and(|token| token.kind != TokenKind::Invalid)
        {
            let finding = Finding::new(next_range, "the statement should have ended here");
            self.report(finding.with_help("statements are separated by `;`"));
        }
    }
}
