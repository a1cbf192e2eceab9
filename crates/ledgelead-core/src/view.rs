//! Views for an operator: from this node's own data, and with the data of other nodes.

use crate::inquiries::EndedInquiry;
use crate::io::{Output, TicketId};
use crate::message::PeerMessage;
use crate::node_core::NodeCore;
use ledgelead_types::view::{GroupLoadView, GroupView, LoadView, NodeView};
use ledgelead_types::{GroupId, NodeId, Time};
use std::collections::BTreeSet;

impl NodeCore {
    /// The view at `now` from this node's own data.
    pub fn view(&self, now: Time) -> NodeView {
        NodeView {
            node: self.settings.node,
            zone: self.settings.zone,
            configuration: (*self.configuration).clone(),
            platform_reachable: self.platform_reachable,
            nodes: self.membership.nodes(),
            groups: self.group_views(now),
            servers: self.dispatcher.server_views(now),
            requests_in_flight: self.gateway.in_flight(),
            silent_nodes: Vec::new(),
        }
    }

    fn group_views(&self, now: Time) -> Vec<GroupView> {
        self.configuration
            .groups()
            .map(|group| self.group_view(now, group))
            .collect()
    }

    fn group_view(&self, now: Time, group: GroupId) -> GroupView {
        let routes = self.routes.get(&group);
        let mut view = GroupView {
            routes: routes.map(|routes| (**routes).clone()).unwrap_or_default(),
            ..GroupView::default()
        };
        view.routes.group = group;
        view.epoch = match self.groups.record(group) {
            Some(record) => record.epoch,
            None => view.routes.version.epoch,
        };
        if let Some(replica) = self.groups.replica(group) {
            view.term = Some(replica.term());
            view.leads = replica.leads();
            if replica.leads() {
                fill_loads(&mut view, self.group_load_view(now, group));
            }
        }
        view
    }

    fn group_load_view(&self, now: Time, group: GroupId) -> GroupLoadView {
        let Some(replica) = self.groups.replica(group) else {
            return GroupLoadView::default();
        };
        GroupLoadView {
            group,
            term: replica.term(),
            snapshot_lag: replica.snapshot_lag(now),
            slice_loads: replica.slice_loads().into(),
            imbalance: replica.imbalance(),
        }
    }

    /// Loads that only this node knows.
    pub(crate) fn load_view(&self, now: Time) -> LoadView {
        let led = self
            .groups
            .iter()
            .filter(|(_, replica)| replica.leads())
            .map(|(group, _)| self.group_load_view(now, group));
        LoadView {
            groups: led.collect(),
            servers: self.dispatcher.server_views(now).into(),
        }
    }

    /// Requests the loads from the leaders and dispatchers of all groups.
    pub(crate) fn inquire(&mut self, now: Time, ticket: TicketId) {
        let asked = self.nodes_with_roles();
        let inquiry = self.inquiries.open(now, ticket, asked.clone());
        for node in asked {
            self.send(node, PeerMessage::Inquire { inquiry });
        }
        self.finish_inquiries(now);
    }

    fn nodes_with_roles(&self) -> BTreeSet<NodeId> {
        let leaders = self.routes.values().map(|routes| routes.leader.node);
        let dispatchers = self
            .routes
            .values()
            .flat_map(|routes| routes.servers.iter())
            .map(|server| server.dispatcher);
        leaders
            .chain(dispatchers)
            .filter(|node| *node != self.settings.node)
            .collect()
    }

    /// Finishes the inquiries that are complete or have timed out.
    pub(crate) fn finish_inquiries(&mut self, now: Time) {
        for ended in self.inquiries.end(now) {
            let ticket = ended.ticket;
            let view = Box::new(self.merged_view(now, ended));
            self.outputs.push(Output::Inquired { ticket, view });
        }
    }

    fn merged_view(&self, now: Time, ended: EndedInquiry) -> NodeView {
        let mut view = self.view(now);
        for answer in ended.answers {
            view.servers.extend(answer.servers);
            for loads in answer.groups {
                let group = view
                    .groups
                    .iter_mut()
                    .find(|group| group.routes.group == loads.group);
                if let Some(group) = group {
                    fill_loads(group, loads);
                }
            }
        }
        view.silent_nodes = ended.unanswered.into_iter().collect();
        view
    }
}

/// Fills in the loads from a leader, unless there are loads from a leader of a higher term.
fn fill_loads(view: &mut GroupView, loads: GroupLoadView) {
    if view.term.is_some_and(|term| term > loads.term) && view.imbalance.is_some() {
        return;
    }
    view.term = Some(loads.term);
    view.snapshot_lag = loads.snapshot_lag;
    view.slice_loads = loads.slice_loads.0;
    view.imbalance = loads.imbalance;
}
