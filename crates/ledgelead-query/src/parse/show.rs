//! Parses `show` statements.

use super::cursor::Cursor;
use crate::finding::Finding;
use crate::lexer::{Token, TokenKind};
use crate::located::Located;
use crate::schema::Subject;
use crate::tree::*;

/// Keywords that start a clause.
const CLAUSES: [&str; 4] = ["of", "where", "order", "limit"];

fn begins_clause(token: &Token) -> bool {
    token.word().is_some_and(|word| CLAUSES.contains(&word))
}

impl Cursor<'_> {
    /// Parses the part after `show`.
    pub(super) fn show(&mut self) -> Option<Statement> {
        let mut words: Vec<&'static str> =
            Subject::ALL.iter().map(|subject| subject.name()).collect();
        words.push("owner");
        let range = self.next_range();
        let word = self.one_of(&words, "a subject to show")?;
        if word == "owner" {
            self.expect("of")?;
            return self.key_in_service().map(Statement::Owner);
        }
        let subject = Subject::ALL
            .into_iter()
            .find(|subject| subject.name() == word)?;
        let mut show = Show {
            subject: Located::new(subject, range),
            service: None,
            filter: Vec::new(),
            order: None,
            limit: None,
        };
        while self.next().is_some() {
            self.clause(&mut show);
        }
        Some(Statement::Show(show))
    }

    fn clause(&mut self, show: &mut Show) {
        let range = self.next_range();
        let Some(clause) = self.one_of(&CLAUSES, "`of`, `where`, `order by` or `limit`") else {
            // Skips the word that starts no clause, so that the loop ends.
            self.skip_until(begins_clause);
            return;
        };
        let is_repeated = match clause {
            "of" => show.service.is_some(),
            "where" => !show.filter.is_empty(),
            "order" => show.order.is_some(),
            _ => show.limit.is_some(),
        };
        if is_repeated {
            self.report(Finding::new(range, format!("a second `{clause}`")));
        }
        let parsed = match clause {
            "of" => self
                .name("the name of a service")
                .map(|name| show.service = Some(name)),
            "where" => self.filter().map(|filter| show.filter = filter),
            "order" => self.order().map(|order| show.order = Some(order)),
            _ => self.limit().map(|limit| show.limit = Some(limit)),
        };
        if parsed.is_none() {
            self.skip_until(begins_clause);
        }
    }

    /// Parses conditions; those with errors are omitted.
    fn filter(&mut self) -> Option<Vec<Vec<Condition>>> {
        let mut alternatives = vec![Vec::new()];
        loop {
            match self.condition() {
                Some(condition) => {
                    if let Some(conditions) = alternatives.last_mut() {
                        conditions.push(condition);
                    }
                }
                None => self.skip_until(|token| {
                    begins_clause(token) || matches!(token.word(), Some("and" | "or"))
                }),
            }
            if self.accept("and") {
                continue;
            }
            if !self.accept("or") {
                break;
            }
            alternatives.push(Vec::new());
        }
        alternatives.retain(|conditions| !conditions.is_empty());
        Some(alternatives)
    }

    fn condition(&mut self) -> Option<Condition> {
        let field = self.name("the name of a column")?;
        let comparison = self.comparison()?;
        let value = self.value()?;
        Some(Condition {
            field,
            comparison,
            value,
        })
    }

    fn comparison(&mut self) -> Option<Comparison> {
        let comparison = match self.next().map(|token| &token.kind) {
            Some(TokenKind::Symbol(symbol)) => Comparison::ALL
                .into_iter()
                .find(|comparison| comparison.symbol() == *symbol),
            _ => None,
        };
        match comparison {
            Some(comparison) => {
                self.accept_symbol(comparison.symbol());
            }
            None => self.report_expected("one of = != < <= > >="),
        }
        comparison
    }

    fn order(&mut self) -> Option<Order> {
        self.expect("by")?;
        let field = self.name("the name of a column")?;
        let descending = self.accept("desc");
        if !descending {
            self.accept("asc");
        }
        Some(Order { field, descending })
    }

    fn limit(&mut self) -> Option<u32> {
        let range = self.next_range();
        let Some(number) = self.number() else {
            self.report_expected("a number of rows");
            return None;
        };
        let is_count =
            number.value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number.value);
        if !is_count {
            self.report(Finding::new(range, "expected a whole number of rows"));
            return None;
        }
        Some(number.value as u32)
    }
}
