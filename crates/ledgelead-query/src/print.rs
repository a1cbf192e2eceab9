//! Prints syntax trees in the canonical form that the documents use.

use crate::lexer::{is_word_character, is_word_start};
use crate::parse::is_reserved;
use crate::tree::*;
use std::fmt::{self, Display, Formatter, Write};

/// A name: unquoted if it parses as the same name, otherwise quoted.
struct Name<'a>(&'a str);

/// A quoted text.
struct Quoted<'a>(&'a str);

impl Display for Name<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let is_bare = self.0.starts_with(is_word_start)
            && self.0.chars().all(is_word_character)
            && !is_reserved(self.0);
        if is_bare {
            return formatter.write_str(self.0);
        }
        Quoted(self.0).fmt(formatter)
    }
}

impl Display for Quoted<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_char('"')?;
        for character in self.0.chars() {
            match character {
                '"' => formatter.write_str("\\\"")?,
                '\\' => formatter.write_str("\\\\")?,
                '\n' => formatter.write_str("\\n")?,
                '\r' => formatter.write_str("\\r")?,
                '\t' => formatter.write_str("\\t")?,
                other => formatter.write_char(other)?,
            }
        }
        formatter.write_char('"')
    }
}

impl Display for Value {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Value::Text(text) => Name(text).fmt(formatter),
            Value::Number(number) => number.fmt(formatter),
        }
    }
}

impl Display for Statement {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Statement::Show(show) => show.fmt(formatter),
            Statement::Owner(key) => write!(formatter, "show owner of {key}"),
            Statement::Command(command) => command.fmt(formatter),
            Statement::Explain(command) => write!(formatter, "explain {command}"),
        }
    }
}

impl Display for Show {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "show {}", self.subject.value.name())?;
        if let Some(service) = &self.service {
            write!(formatter, " of {}", Name(&service.value))?;
        }
        for (index, conditions) in self.filter.iter().enumerate() {
            formatter.write_str(if index == 0 { " where " } else { " or " })?;
            for (index, condition) in conditions.iter().enumerate() {
                let separator = if index == 0 { "" } else { " and " };
                write!(formatter, "{separator}{condition}")?;
            }
        }
        if let Some(order) = &self.order {
            write!(formatter, " order by {}", Name(&order.field.value))?;
            formatter.write_str(if order.descending { " desc" } else { "" })?;
        }
        match self.limit {
            Some(limit) => write!(formatter, " limit {limit}"),
            None => Ok(()),
        }
    }
}

impl Display for Condition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let field = Name(&self.field.value);
        let symbol = self.comparison.symbol();
        write!(formatter, "{field} {symbol} {}", self.value.value)
    }
}

impl Display for KeyInService {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let service = Name(&self.service.value);
        write!(formatter, "key {} in {service}", Quoted(&self.key.value))
    }
}

impl Display for Command {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Command::Create(definition) => {
                write!(formatter, "create {definition}")?;
                write_settings(formatter, "with", &definition.settings)
            }
            Command::Alter(definition) => {
                write!(formatter, "alter {definition}")?;
                write_settings(formatter, "set", &definition.settings)
            }
            Command::Remove { kind, name } => {
                write!(formatter, "remove {} {}", kind.name(), Name(&name.value))
            }
            Command::AddServer(server) => server.fmt(formatter),
            Command::OperateServer { operation, server } => {
                let server = Name(&server.value);
                write!(formatter, "{} server {server}", operation.name())
            }
            Command::Move { key, server } => {
                write!(formatter, "move {key} to {}", Name(&server.value))
            }
            Command::Split(key) => write!(formatter, "split {key}"),
            Command::Isolate(key) => write!(formatter, "isolate {key}"),
        }
    }
}

impl Display for Definition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.kind.name(), Name(&self.name.value))
    }
}

impl Display for AddServer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "add server {} to {} in {} at {}",
            Name(&self.name.value),
            Name(&self.service.value),
            Name(&self.zone.value),
            Quoted(&self.address.value)
        )?;
        write_settings(formatter, "with", &self.settings)
    }
}

fn write_settings(
    formatter: &mut Formatter<'_>,
    keyword: &str,
    settings: &[Setting],
) -> fmt::Result {
    for (index, setting) in settings.iter().enumerate() {
        if index == 0 {
            write!(formatter, " {keyword} ")?;
        } else {
            formatter.write_str(", ")?;
        }
        let field = Name(&setting.field.value);
        write!(formatter, "{field} = {}", setting.value.value)?;
    }
    Ok(())
}
