//! The first list of nodes of a starting node, if it exceeds one page.
//!
//! Before a node follows a coordinator, it needs all nodes only to campaign. Each page that it
//! has read gives the least rank that it can have, so it reads the next one only when a node
//! of that rank may campaign, and only after a check whether the record names a coordinator
//! meanwhile. The preferred candidates thus read the whole list, and the others receive it
//! from other nodes once they follow one of them. Candidates whose place the pages don't show
//! wait for a random time as well, of which only few are short. A candidate that doesn't
//! succeed, for whatever reason, delays the next one only by its delay. A node still campaigns
//! only with the whole list.

use super::Node;
use super::store_timing::unplaced_pause;
use crate::Timestamp;
use crate::dialect::{Object, ObjectContent, ObjectKind};
use crate::io::Action;
use crate::ownership::election::{has_own_delay, rank};
use crate::peers::{NodeRecord, Registration};
use std::iter;
use std::time::Duration;

/// How long a node waits for the check of the record.
const RECORD_CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a node that can't decide whether it is registered waits for a heartbeat at most. A
/// coordinator sends them every 200 ms to all registered nodes.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(400);

/// Progress of the first list of nodes beyond its first page.
#[derive(Debug)]
pub(super) struct NodeList {
    /// When the first page was read, if further ones were missing.
    began: Option<Timestamp>,
    /// Delay of further pages while this node's place among the candidates is unknown.
    unplaced_pause: Duration,
    /// When the check of the record was requested.
    check_began: Option<Timestamp>,
}

impl NodeList {
    pub(super) fn new(seed: u64) -> NodeList {
        NodeList {
            began: None,
            unplaced_pause: unplaced_pause(seed),
            check_began: None,
        }
    }

    /// Whether a page was read that another page had to follow.
    pub(super) fn has_begun(&self) -> bool {
        self.began.is_some()
    }
}

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
        } else if self.node_list.began.is_none() {
            self.node_list.began = Some(now);
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
        let turn = self.next_node_page_turn()?;
        let must_check = turn <= now && !self.store.is_exact(ObjectKind::Ownership);
        let until = match must_check {
            true => self.check_record(now, out) + RECORD_CHECK_TIMEOUT,
            false => turn,
        };
        (until > now).then_some(until)
    }

    /// When this node may read the next page of nodes.
    fn next_node_page_turn(&self) -> Option<Timestamp> {
        let began = self.next_node_page_awaited_since()?;
        let rank = self.least_rank()?;
        let has_place = has_own_delay(rank) && self.pages_cover_own_name();
        let pause = match has_place || self.resumes_own_role() {
            true => Duration::ZERO,
            false => self.node_list.unplaced_pause,
        };
        let pause_end = began + self.store.election_pause();
        Some(pause_end.max(self.campaign_due_at(rank)) + pause)
    }

    /// Requests the changes of a record that was read only from a stale list. Returns when they
    /// were first requested.
    fn check_record(&mut self, now: Timestamp, out: &mut Vec<Action>) -> Timestamp {
        if let Some(began) = self.node_list.check_began {
            return began;
        }
        // A watch in flight may be on a dead connection.
        self.store.interrupt(ObjectKind::Ownership, now, now, out);
        let watcher = self.store.watcher(ObjectKind::Ownership);
        let began = watcher.request_confirmation(now);
        *self.node_list.check_began.insert(began)
    }

    /// When the first page of nodes was read, while further ones are missing that no other
    /// node sends.
    pub(super) fn next_node_page_awaited_since(&self) -> Option<Timestamp> {
        self.store.first_pages(ObjectKind::Nodes)?;
        let reads_store = self.coordination.coordinator().is_none() && !self.transfers_from_nodes();
        self.node_list.began.filter(|_| reads_store)
    }

    /// From when on a node that has read only a part of the nodes treats itself as
    /// unregistered if that part doesn't show its registration.
    pub(super) fn informed_by_pages_at(&self) -> Option<Timestamp> {
        let began = self.next_node_page_awaited_since()?;
        let pause = match self.pages_cover_own_name() {
            true => Duration::ZERO,
            false => self.store.election_pause().min(REGISTRATION_PAUSE),
        };
        Some(began + pause)
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
