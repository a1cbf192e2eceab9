//! Explains operations of groups.
//!
//! The group decides where a drained server's slices go only when it drains it. The estimate
//! assigns each slice to the server with the lowest load per slot at that point.

use crate::Cell;
use crate::evaluate::PERCENT;
use crate::evaluate::deployment::routes_of;
use crate::lower::PlannedOperation;
use crate::names::{group_name, server_name};
use crate::schema::{Column, ColumnKind};
use crate::table::Table;
use ledgelead_types::administration::GroupOperation;
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::routes::{GroupRoutes, ServerStatus, SliceRoute};
use ledgelead_types::view::NodeView;
use ledgelead_types::{Position, ServerId};
use std::collections::BTreeMap;

const COLUMNS: &[Column] = &[
    column("server", ColumnKind::Text),
    column("effect", ColumnKind::Text),
    column("keys_moved_percent", ColumnKind::Number),
    column("share_before_percent", ColumnKind::Number),
    column("share_after_percent", ColumnKind::Number),
    column("requests_per_second_before", ColumnKind::Number),
    column("requests_per_second_after", ColumnKind::Number),
];

const fn column(name: &'static str, kind: ColumnKind) -> Column {
    Column { name, kind }
}

/// One row for each affected server.
pub(super) fn explain(operations: &[PlannedOperation], view: &NodeView) -> Table {
    let mut table = Table::new(COLUMNS);
    for planned in operations {
        match routes_of(view, planned.group).filter(|routes| !routes.servers.is_empty()) {
            Some(routes) => {
                let estimate = Estimate::of(planned, routes, view);
                table.rows.extend(estimate.rows(view));
            }
            None => {
                let group = group_name(&view.configuration, planned.group);
                let effect = format!("group {group} has published no routes yet: not known");
                table.rows.push(row("-".to_owned(), &effect, None, None));
            }
        }
    }
    table
}

/// A server's share of the keys and its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ServerPortion {
    /// Share of the position space.
    share: f64,
    /// Requests per second, if known.
    rate: Option<f64>,
    slots: u16,
    accepts_slices: bool,
}

/// The servers of a group before and after an operation.
struct Estimate {
    before: BTreeMap<ServerId, ServerPortion>,
    after: BTreeMap<ServerId, ServerPortion>,
    /// Share of the position space that changes owner, by the server that gives it up.
    moved: BTreeMap<ServerId, f64>,
    effects: BTreeMap<ServerId, String>,
}

impl Estimate {
    fn of(planned: &PlannedOperation, routes: &GroupRoutes, view: &NodeView) -> Estimate {
        let before = portions(routes, view);
        let mut estimate = Estimate {
            after: before.clone(),
            before,
            moved: BTreeMap::new(),
            effects: BTreeMap::new(),
        };
        let loads = slice_loads(planned, view);
        match planned.operation {
            GroupOperation::Drain(server) => {
                estimate.drain(server, "drains: its keys go to others", routes, loads, view);
            }
            GroupOperation::Retire(server) => {
                estimate.drain(
                    server,
                    "retires: drained, then out for good",
                    routes,
                    loads,
                    view,
                );
            }
            GroupOperation::Activate(server) => {
                let effect = "takes keys again as balance finds worth it";
                estimate.effects.insert(server, effect.to_owned());
            }
            GroupOperation::MoveSlice { position, to } => {
                estimate.move_slice(position, to, routes, loads);
            }
            GroupOperation::SplitSlice { at } => estimate.split(at, false, routes),
            GroupOperation::Isolate { range } => estimate.split(range.first, true, routes),
        }
        estimate
    }

    fn drain(
        &mut self,
        server: ServerId,
        effect: &str,
        routes: &GroupRoutes,
        loads: &[f64],
        view: &NodeView,
    ) {
        self.effects.insert(server, effect.to_owned());
        if let Some(portion) = self.after.get_mut(&server) {
            portion.accepts_slices = false;
        }
        if !self.after.values().any(|portion| portion.accepts_slices) {
            let effect = "no other server takes its keys: it keeps them until one does";
            self.effects.insert(server, effect.to_owned());
            return;
        }
        let owned = |slice: &(usize, &SliceRoute)| slice.1.owner == Some(server);
        for (index, slice) in routes.slices.iter().enumerate().filter(owned) {
            if let Some(to) = self.least_loaded() {
                self.transfer(slice, loads.get(index).copied(), server, to);
            }
        }
        let service = view.configuration.service(routes.group.service);
        if service.is_some_and(|service| service.partitioning == Partitioning::None) {
            self.redistribute(server);
        }
        if let Some(portion) = self.after.get_mut(&server) {
            // A drained server has no keys and so no load, even if the slices' loads do not
            // add up to its rate.
            portion.rate = portion.rate.map(|_| 0.0);
        }
    }

    /// Of the servers that accept slices, the one with the lowest load per slot. For a
    /// server without a known load its share of the keys is used.
    fn least_loaded(&self) -> Option<ServerId> {
        let relative_load = |portion: &ServerPortion| {
            let load = portion.rate.unwrap_or(portion.share);
            load / f64::from(portion.slots.max(1))
        };
        self.after
            .iter()
            .filter(|(_, portion)| portion.accepts_slices)
            .min_by(|left, right| relative_load(left.1).total_cmp(&relative_load(right.1)))
            .map(|(server, _)| *server)
    }

    fn transfer(&mut self, slice: &SliceRoute, load: Option<f64>, from: ServerId, to: ServerId) {
        if from == to {
            return;
        }
        let share = slice.range.share();
        *self.moved.entry(from).or_default() += share;
        if let Some(portion) = self.after.get_mut(&from) {
            portion.share -= share;
            portion.rate = portion
                .rate
                .zip(load)
                .map(|(rate, load)| (rate - load).max(0.0));
        }
        if let Some(portion) = self.after.get_mut(&to) {
            portion.share += share;
            portion.rate = portion.rate.zip(load).map(|(rate, load)| rate + load);
        }
    }

    /// Distributes the load of a server of a service without keys over the other servers by
    /// their slots.
    fn redistribute(&mut self, server: ServerId) {
        let rate = self.after.get(&server).and_then(|portion| portion.rate);
        let others = || {
            self.before
                .iter()
                .filter(|(id, portion)| **id != server && portion.accepts_slices)
        };
        let slots: f64 = others().map(|(_, portion)| f64::from(portion.slots)).sum();
        let ids: Vec<ServerId> = others().map(|(id, _)| *id).collect();
        for id in ids {
            if let (Some(portion), Some(rate)) = (self.after.get_mut(&id), rate) {
                let gain = rate * f64::from(portion.slots) / slots.max(1.0);
                portion.rate = portion.rate.map(|own| own + gain);
            }
        }
    }

    fn move_slice(
        &mut self,
        position: Position,
        to: ServerId,
        routes: &GroupRoutes,
        loads: &[f64],
    ) {
        let contains_position = |slice: &SliceRoute| slice.range.contains(position);
        let Some(index) = routes.slices.iter().position(contains_position) else {
            return;
        };
        let slice = &routes.slices[index];
        let range = range_text(slice);
        match slice.owner {
            Some(owner) if owner == to => {
                self.effects
                    .insert(to, format!("has slice {range} already"));
            }
            Some(owner) => {
                self.effects.insert(owner, format!("gives slice {range}"));
                self.effects.insert(to, format!("takes slice {range}"));
                self.transfer(slice, loads.get(index).copied(), owner, to);
            }
            None => {
                self.effects
                    .insert(to, format!("takes slice {range}, which has no owner"));
            }
        }
    }

    fn split(&mut self, at: Position, is_isolation: bool, routes: &GroupRoutes) {
        let slice = routes.slice_at(at);
        let Some((slice, owner)) = slice.and_then(|slice| slice.owner.map(|owner| (slice, owner)))
        else {
            return;
        };
        let range = range_text(slice);
        let effect = if is_isolation {
            format!("slice {range} is cut around {:016x}", at.0)
        } else if slice.range.first == at {
            format!("slice {range} begins there already")
        } else {
            format!("slice {range} is cut before {:016x}", at.0)
        };
        self.effects.insert(owner, effect);
    }

    fn rows(&self, view: &NodeView) -> Vec<Vec<Cell>> {
        let is_changed = |server: &&ServerId| {
            self.effects.contains_key(server) || self.before.get(server) != self.after.get(server)
        };
        let servers: Vec<&ServerId> = self.before.keys().filter(is_changed).collect();
        let to_row = |server: &ServerId| {
            let name = server_name(&view.configuration, *server);
            let effect = self
                .effects
                .get(server)
                .map_or("takes over", String::as_str);
            let portions = self.before.get(server).zip(self.after.get(server));
            row(name, effect, self.moved.get(server).copied(), portions)
        };
        servers.into_iter().map(to_row).collect()
    }
}

fn row(
    server: String,
    effect: &str,
    moved: Option<f64>,
    portions: Option<(&ServerPortion, &ServerPortion)>,
) -> Vec<Cell> {
    let (before, after) = portions.unzip();
    vec![
        Cell::from(server),
        Cell::from(effect),
        Cell::Number(moved.unwrap_or_default() * PERCENT),
        before.map(|portion| portion.share * PERCENT).into(),
        after.map(|portion| portion.share.max(0.0) * PERCENT).into(),
        before.and_then(|portion| portion.rate).into(),
        after.and_then(|portion| portion.rate).into(),
    ]
}

fn portions(routes: &GroupRoutes, view: &NodeView) -> BTreeMap<ServerId, ServerPortion> {
    let portion = |route: &ledgelead_types::routes::ServerRoute| {
        let owned = routes
            .slices
            .iter()
            .filter(|slice| slice.owner == Some(route.server));
        let load = view.servers.iter().find(|load| load.server == route.server);
        let portion = ServerPortion {
            share: owned.fold(0.0, |share, slice| share + slice.range.share()),
            rate: load.map(|load| load.requests_per_second),
            slots: route.slots,
            accepts_slices: route.status == ServerStatus::Active,
        };
        (route.server, portion)
    };
    routes.servers.iter().map(portion).collect()
}

fn slice_loads<'a>(planned: &PlannedOperation, view: &'a NodeView) -> &'a [f64] {
    let group = view
        .groups
        .iter()
        .find(|group| group.routes.group == planned.group);
    group.map_or(&[], |group| &group.slice_loads)
}

fn range_text(slice: &SliceRoute) -> String {
    format!("{:016x}-{:016x}", slice.range.first.0, slice.range.last.0)
}
