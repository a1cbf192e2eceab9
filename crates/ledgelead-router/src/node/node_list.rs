//! The first list of nodes of a starting node, if it exceeds one page.
//!
//! Before a coordinator is heard, a node needs all nodes only to campaign. Each page that it
//! has read gives the least rank that it can have, so it reads the next one only when a node
//! of that rank may campaign, and only after a check whether the record names a coordinator
//! meanwhile. The preferred candidates thus read the whole list, and the others receive it
//! from other nodes once one of them is the coordinator. Candidates whose place the pages
//! don't show wait for a random time as well, of which only few are short. A candidate that
//! doesn't succeed, for whatever reason, delays the next one only by its delay. A node still
//! campaigns only with the whole list.

use super::Node;
use crate::Timestamp;
use crate::dialect::{Object, ObjectContent, ObjectKind};
use crate::io::Action;
use crate::ownership::election::{has_own_delay, rank};
use crate::peers::{NodeRecord, Registration};
use std::iter;
use std::time::Duration;

/// How long a node waits for the check of the record.
const RECORD_CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a node that can't tell whether it is registered waits for a heartbeat at most. A
/// coordinator sends them every 200 ms to all registered nodes.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(400);

impl Node {
    /// Handles a page of nodes that another page has to follow.
    pub(super) fn node_page_read(&mut self, now: Timestamp) {
        let is_incomplete = self.store.first_pages(ObjectKind::Nodes).is_some();
        if !is_incomplete || self.coordination.coordinator().is_some() {
            return;
        }
        if self.transfers_from_nodes() {
            // Other nodes send lists that may be a few seconds old.
            let watcher = self.store.watcher(ObjectKind::Nodes);
            watcher.set_first_may_be_stale(true);
        } else if self.store.record_node_page(now) {
            self.coordination.election.nodes_listed(now);
        }
    }

    /// Defers the next page of nodes if it is due, but too early to be read.
    pub(super) fn defer_node_page(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let watcher = self.store.watcher(ObjectKind::Nodes);
        let is_due = watcher.next_call().is_some_and(|due| due <= now);
        if is_due && let Some(until) = self.node_page_deferral(now, out) {
            self.store.watcher(ObjectKind::Nodes).defer(until);
        }
    }

    /// Until when the next page of nodes has to wait, if it is too early to read it.
    fn node_page_deferral(&mut self, now: Timestamp, out: &mut Vec<Action>) -> Option<Timestamp> {
        let read_at = self.node_page_awaited_since()?;
        let pause_end = read_at + self.store.node_pages_pause();
        let rank = self.least_rank()?;
        let has_place = has_own_delay(rank) && self.pages_cover_own_name();
        let pause = match has_place || self.resumes_own_role() {
            true => Duration::ZERO,
            false => self.store.unplaced_pause(),
        };
        let turn = pause_end.max(self.campaign_due_at(rank)) + pause;
        let must_check = turn <= now && !self.store.is_exact(ObjectKind::Ownership);
        let until = match must_check {
            true => self.store.check_record(now, out) + RECORD_CHECK_TIMEOUT,
            false => turn,
        };
        (until > now).then_some(until)
    }

    /// When the first page of nodes was read, while further ones are missing that no other
    /// node sends.
    pub(super) fn node_page_awaited_since(&self) -> Option<Timestamp> {
        self.store.first_pages(ObjectKind::Nodes)?;
        let is_alone = self.coordination.coordinator().is_none() && !self.transfers_from_nodes();
        is_alone.then(|| self.store.first_node_page())?
    }

    /// From when on a node that has read only a part of the nodes treats itself as
    /// unregistered if that part doesn't show its registration.
    pub(super) fn informed_by_pages_at(&self) -> Option<Timestamp> {
        let read_at = self.node_page_awaited_since()?;
        let pause = match self.pages_cover_own_name() {
            true => Duration::ZERO,
            false => self.store.node_pages_pause().min(REGISTRATION_PAUSE),
        };
        Some(read_at + pause)
    }

    /// Whether this node's registration would be on the pages read so far, which are in the
    /// order of names.
    fn pages_cover_own_name(&self) -> bool {
        let own = self.settings.identity.node.as_str();
        let pages = self.store.first_pages(ObjectKind::Nodes);
        let last = pages.and_then(|pages| pages.last());
        last.is_some_and(|last| last.name.as_str() >= own)
    }

    /// This node's rank among the nodes that it has read so far.
    fn least_rank(&self) -> Option<usize> {
        let pages = self.store.first_pages(ObjectKind::Nodes)?;
        let own = self.own_record();
        let name = &own.identity.node;
        let others = pages
            .iter()
            .filter_map(listed_record)
            .filter(|record| record.identity.node != *name);
        let coordinator = self.ownership.record().coordinator.as_ref();
        Some(rank(name, coordinator, others.chain(iter::once(&own))))
    }

    /// This node's registration as last read, from the pages read so far if the list is
    /// incomplete.
    pub(super) fn read_registration(&self) -> Option<Registration> {
        let name = &self.settings.identity.node;
        if let Some(known) = self.registry.registration(name) {
            return Some(known.clone());
        }
        let pages = self.store.first_pages(ObjectKind::Nodes)?;
        pages.iter().find_map(|object| {
            let record = listed_record(object).filter(|record| record.identity.node == *name)?;
            Some(Registration {
                record: record.clone(),
                revision: object.revision,
            })
        })
    }
}

fn listed_record(object: &Object) -> Option<&NodeRecord> {
    match &object.content {
        Ok(ObjectContent::Node(record)) => Some(record),
        _ => None,
    }
}
