//! Parses commands and the keyword of a statement.

use super::cursor::Cursor;
use crate::tree::*;

/// Keywords of commands.
const COMMANDS: [&str; 10] = [
    "create", "alter", "remove", "add", "drain", "activate", "retire", "move", "split", "isolate",
];

impl Cursor<'_> {
    /// Parses a whole statement; `None` if it can't be recovered.
    pub(super) fn statement(&mut self) -> Option<Statement> {
        let mut words = vec!["show", "explain"];
        words.extend(COMMANDS);
        match self.one_of(&words, "a statement")? {
            "show" => self.show(),
            "explain" => {
                let word = self.one_of(&COMMANDS, "a command to explain")?;
                self.command(word).map(Statement::Explain)
            }
            word => self.command(word).map(Statement::Command),
        }
    }

    fn command(&mut self, word: &str) -> Option<Command> {
        match word {
            "create" => self.definition("with", false).map(Command::Create),
            "alter" => self.definition("set", true).map(Command::Alter),
            "remove" => self.remove(),
            "add" => self.add_server().map(Command::AddServer),
            "move" => self.move_key(),
            "split" => self.key_in_service().map(Command::Split),
            "isolate" => self.key_in_service().map(Command::Isolate),
            _ => self.operate_server(word),
        }
    }

    fn kind(&mut self, kinds: &[Kind]) -> Option<Kind> {
        let words: Vec<&'static str> = kinds.iter().map(|kind| kind.name()).collect();
        let word = self.one_of(&words, &format!("one of {}", words.join(", ")))?;
        kinds.iter().find(|kind| kind.name() == word).copied()
    }

    fn definition(&mut self, keyword: &'static str, requires_settings: bool) -> Option<Definition> {
        let kinds: Vec<Kind> = Kind::ALL
            .into_iter()
            .filter(|kind| *kind != Kind::Server && !(requires_settings && *kind == Kind::Zone))
            .collect();
        let kind = self.kind(&kinds)?;
        let name = self.name("a name")?;
        let settings = if requires_settings || self.next().is_some() {
            self.expect(keyword)?;
            self.settings()
        } else {
            Vec::new()
        };
        Some(Definition {
            kind,
            name,
            settings,
        })
    }

    fn remove(&mut self) -> Option<Command> {
        let kind = self.kind(&Kind::ALL)?;
        let name = self.name("a name")?;
        Some(Command::Remove { kind, name })
    }

    fn add_server(&mut self) -> Option<AddServer> {
        self.expect("server")?;
        let name = self.name("the server's name")?;
        self.expect("to")?;
        let service = self.name("the name of a service")?;
        self.expect("in")?;
        let zone = self.name("the name of a zone")?;
        self.expect("at")?;
        let address = self.name("the server's address, \"IP:port\" in quotes")?;
        let settings = if self.next().is_some() {
            self.expect("with")?;
            self.settings()
        } else {
            Vec::new()
        };
        Some(AddServer {
            name,
            service,
            zone,
            address,
            settings,
        })
    }

    fn operate_server(&mut self, word: &str) -> Option<Command> {
        let operation = ServerOperation::ALL
            .into_iter()
            .find(|operation| operation.name() == word)?;
        self.expect("server")?;
        let server = self.name("the name of a server")?;
        Some(Command::OperateServer { operation, server })
    }

    fn move_key(&mut self) -> Option<Command> {
        let key = self.key_in_service()?;
        self.expect("to")?;
        let server = self.name("the name of a server")?;
        Some(Command::Move { key, server })
    }
}
