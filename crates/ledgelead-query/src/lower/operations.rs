//! Lowers operations, which groups decide.

use super::{Lowering, PlannedOperation};
use crate::finding::Finding;
use crate::names::{find_server, group_name, group_of_server, locate_key};
use crate::tree::*;
use ledgelead_types::PositionRange;
use ledgelead_types::administration::GroupOperation;

impl Lowering<'_> {
    pub(super) fn operation(&mut self, command: &Command) -> Option<PlannedOperation> {
        match command {
            Command::OperateServer { operation, server } => {
                let server = find_server(&self.working, server, &mut self.findings)?;
                let operation = match operation {
                    ServerOperation::Drain => GroupOperation::Drain(server.id),
                    ServerOperation::Activate => GroupOperation::Activate(server.id),
                    ServerOperation::Retire => GroupOperation::Retire(server.id),
                };
                let group = group_of_server(&self.working, server);
                Some(PlannedOperation { group, operation })
            }
            Command::Move { key, server } => self.move_key(key, server),
            Command::Split(key) => {
                let located = locate_key(&self.working, key, &mut self.findings)?;
                let operation = GroupOperation::SplitSlice {
                    at: located.position,
                };
                let group = located.group;
                Some(PlannedOperation { group, operation })
            }
            Command::Isolate(key) => {
                let located = locate_key(&self.working, key, &mut self.findings)?;
                let range = PositionRange {
                    first: located.position,
                    last: located.position,
                };
                let operation = GroupOperation::Isolate { range };
                let group = located.group;
                Some(PlannedOperation { group, operation })
            }
            _ => None,
        }
    }

    /// The new owner must be a server of the key's group.
    fn move_key(
        &mut self,
        key: &KeyInService,
        name: &crate::Located<String>,
    ) -> Option<PlannedOperation> {
        let working = &self.working;
        let server = find_server(working, name, &mut self.findings);
        let located = locate_key(working, key, &mut self.findings);
        let (server, located) = (server?, located?);
        let group = group_of_server(working, server);
        if group != located.group {
            let server_group = group_name(working, group);
            let key_group = group_name(working, located.group);
            let message = format!(
                "server `{}` is of group {server_group}, the key of {key_group}",
                name.value
            );
            let others = working.servers_of(located.group);
            let names: Vec<&str> = others.map(|server| &*server.name).collect();
            let help = format!("servers of {key_group}: {}", names.join(", "));
            let finding = Finding::new(name.range.clone(), message).with_help(help);
            self.findings.add(finding);
            return None;
        }
        let operation = GroupOperation::MoveSlice {
            position: located.position,
            to: server.id,
        };
        Some(PlannedOperation { group, operation })
    }
}
