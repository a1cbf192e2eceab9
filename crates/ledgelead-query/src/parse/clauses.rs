//! Clauses that several statements share.

use super::cursor::Cursor;
use crate::lexer::TokenKind;
use crate::located::Located;
use crate::tree::{KeyInService, Setting, Value};

impl Cursor<'_> {
    /// `VALUE`
    pub(super) fn value(&mut self) -> Option<Located<Value>> {
        if let Some(number) = self.number() {
            return Some(Located::new(Value::Number(number.value), number.range));
        }
        let text = self.name("a value: a number, a word or a text in quotes")?;
        Some(Located::new(Value::Text(text.value), text.range))
    }

    /// `key "K" in SERVICE`
    pub(super) fn key_in_service(&mut self) -> Option<KeyInService> {
        self.expect("key")?;
        let key = self.name("the key, in quotes")?;
        self.expect("in")?;
        let service = self.name("the name of a service")?;
        Some(KeyInService { key, service })
    }

    /// `FIELD = VALUE, ...`; settings with errors are omitted.
    pub(super) fn settings(&mut self) -> Vec<Setting> {
        let mut settings = Vec::new();
        loop {
            match self.setting() {
                Some(setting) => settings.push(setting),
                None => self.skip_until(|token| token.kind == TokenKind::Symbol(",")),
            }
            if !self.accept_symbol(",") {
                return settings;
            }
        }
    }

    fn setting(&mut self) -> Option<Setting> {
        let field = self.name("the name of a setting")?;
        if !self.accept_symbol("=") {
            self.report_expected("`=`");
            return None;
        }
        let value = self.value()?;
        Some(Setting { field, value })
    }
}
