//! Tracks the servers dispatched by this node as they are added, changed and removed.

use super::queue::QueueKey;
use super::server::ServerState;
use super::{Dispatcher, PermitKey, TimerKey};
use ledgelead_types::dispatch::DispatchedServer;
use ledgelead_types::routes::GroupRoutes;
use ledgelead_types::server::LoadReport;
use ledgelead_types::{GroupId, ServerId, Time};
use std::sync::Arc;

impl Dispatcher {
    /// Applies the complete set of a group's servers dispatched here.
    pub(super) fn servers_changed(
        &mut self,
        now: Time,
        group: GroupId,
        servers: Vec<DispatchedServer>,
    ) {
        let before = self.pools.remove(&group).unwrap_or_default();
        let present: Vec<ServerId> = servers.iter().map(|settings| settings.server).collect();
        for &server in &before {
            if !present.contains(&server) {
                self.forget_server(server);
            }
        }
        for settings in servers {
            self.servers
                .entry(settings.server)
                .and_modify(|state| state.configure(settings, now))
                .or_insert_with(|| ServerState::new(settings, now));
        }
        let left_empty = present.is_empty();
        self.pools.insert(group, present.clone());
        if left_empty {
            self.redirect_all(QueueKey::Pool(group));
        }
        for server in present {
            self.grant_waiting_of_server(now, server, group);
        }
    }

    /// Applies changes of one server dispatched here.
    pub(super) fn server_changed(&mut self, now: Time, settings: DispatchedServer) {
        let Some(state) = self.servers.get_mut(&settings.server) else {
            return;
        };
        state.configure(settings, now);
        self.grant_waiting_of_server(now, settings.server, settings.group);
    }

    /// Removes a server that this node no longer dispatches. Gateways that wait for it are
    /// redirected to their routes, and its permits are counted by the next dispatcher.
    fn forget_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
        self.redirect_all(QueueKey::Server(server));
        let permits: Vec<PermitKey> = self
            .permits
            .iter()
            .filter(|(_, permit)| permit.server == server)
            .map(|(&key, _)| key)
            .collect();
        for key in permits {
            self.permits.remove(&key);
            self.timers.clear(TimerKey::Permit(key));
        }
        let lingering: Vec<PermitKey> = self
            .lingering
            .iter()
            .filter(|&(_, &at)| at == server)
            .map(|(&key, _)| key)
            .collect();
        for key in lingering {
            self.lingering.remove(&key);
            self.timers.clear(TimerKey::Linger(key));
        }
    }

    fn redirect_all(&mut self, queue: QueueKey) {
        for key in self.take_all(queue) {
            self.reply_moved(key);
        }
        self.queues.remove(&queue);
        self.timers.clear(TimerKey::Queue(queue));
    }

    /// Applies new routes. Permit requests for slices with a new owner are redirected to the
    /// routes.
    pub(super) fn routes_changed(&mut self, now: Time, routes: Arc<GroupRoutes>) {
        let group = routes.group;
        if let Some(present) = self.routes.get(&group)
            && routes.version < present.version
        {
            return;
        }
        self.slice_loads.route(&routes, now);
        self.routes.insert(group, routes);
        let superseded: Vec<PermitKey> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.acquire.group == group)
            .filter(|(_, waiting)| !self.is_dispatched_here(&waiting.acquire))
            .map(|(&key, _)| key)
            .collect();
        for key in superseded {
            self.take_waiting(key);
            self.reply_moved(key);
        }
    }

    /// Applies a load report of a server.
    pub(super) fn server_load(&mut self, now: Time, server: ServerId, load: LoadReport) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.apply_report(load);
        let group = state.settings.group;
        self.grant_waiting_of_server(now, server, group);
    }
}
