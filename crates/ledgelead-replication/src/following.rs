//! The follower: handling of the leader's messages.

use crate::log::{Log, Snapshot};
use crate::message::*;
use crate::ready::InstalledState;
use crate::replica::{Replica, State};
use ledgelead_types::timing::{ELECTION_JITTER, LEADER_LEASE, lengthened_for_drift};
use ledgelead_types::{Member, Revision, Term, Time};

impl Replica {
    pub(crate) fn handle_append(&mut self, from: Member, term: Term, append: Append) {
        if !self.accept_leader(from, term, append.sent) {
            return;
        }
        if let Some(delegation) = append.delegation {
            self.record_delegation(delegation);
        }
        let reply = AppendReply {
            sent: append.sent,
            stamp: self.now,
            lazy: append.lazy,
            outcome: self.append_entries(append),
        };
        self.send(from, Body::AppendReply(reply));
    }

    pub(crate) fn handle_install(&mut self, from: Member, term: Term, install: Install) {
        if !self.accept_leader(from, term, install.sent) {
            return;
        }
        let sent = install.sent;
        let agrees = self.log.term_at(install.revision) == Some(install.revision_term);
        if self.has_state && agrees {
            // The entries after the snapshot may be acknowledged already, so a delayed
            // snapshot must not drop them.
            self.commit_to(install.revision);
        } else if !self.has_state || install.revision > self.commit {
            self.install(install);
        }
        let revision = self.commit;
        let outcome = AppendOutcome::Matched(Matched { revision });
        self.send_append_reply(from, sent, outcome);
    }

    /// Follows the sender as the leader of its term and renews the promise to it, unless
    /// the term is stale. Returns whether the sender is the leader.
    fn accept_leader(&mut self, from: Member, term: Term, sent: Time) -> bool {
        if term < self.term {
            self.send_append_reply(from, sent, AppendOutcome::StaleTerm);
            return false;
        }
        let leads_itself = matches!(self.state, State::Leader(_)) && term == self.term;
        if leads_itself {
            return false;
        }
        let followed = matches!(self.state, State::Follower) && self.leader == Some(from);
        if term > self.term || !followed {
            self.become_follower(term, Some(from));
        }
        self.promise_until = self
            .promise_until
            .max(self.now + lengthened_for_drift(LEADER_LEASE));
        self.election_at = self.promise_until + self.jitter(ELECTION_JITTER);
        true
    }

    /// Records a delegation. It counts from a timestamp of this replica's own clock. The
    /// authority of a correct leader never extends beyond [`LEADER_LEASE`] from now.
    fn record_delegation(&mut self, delegation: Delegation) {
        if delegation.stamp > self.now {
            return;
        }
        let until = delegation.stamp + delegation.span;
        let until = until.min(self.now + LEADER_LEASE);
        self.delegated_until = self.delegated_until.max(until);
    }

    fn send_append_reply(&mut self, leader: Member, sent: Time, outcome: AppendOutcome) {
        let stamp = self.now;
        let reply = AppendReply {
            sent,
            stamp,
            lazy: false,
            outcome,
        };
        self.send(leader, Body::AppendReply(reply));
    }

    fn append_entries(&mut self, append: Append) -> AppendOutcome {
        if !self.has_state {
            return AppendOutcome::NeedsSnapshot;
        }
        let previous = append.previous;
        let snapshot = self.log.snapshot().revision;
        let agrees = self.log.agreement_at(previous) == Some(append.previous_term);
        if !agrees && previous == Revision(0) && self.log.last_revision() == previous {
            // This replica started from a different state than its leader. This happens
            // when it learns of its epoch late, with a later snapshot.
            self.has_state = false;
            return AppendOutcome::NeedsSnapshot;
        }
        if !agrees && previous >= snapshot {
            return self.mismatch(previous);
        }
        let mut revision = previous;
        for entry in append.entries {
            revision = Revision(revision.0.saturating_add(1));
            if !self.store_entry(revision, entry) {
                return self.mismatch(previous);
            }
        }
        let agreed = revision.max(snapshot);
        self.commit_to(append.commit.min(agreed));
        AppendOutcome::Matched(Matched { revision: agreed })
    }

    /// Stores an entry at its position and drops conflicting entries. Returns whether the
    /// log now holds the entry.
    fn store_entry(&mut self, revision: Revision, entry: Entry) -> bool {
        if revision <= self.log.snapshot().revision {
            return true;
        }
        if self.log.term_at(revision) == Some(entry.term) {
            return true;
        }
        if revision <= self.commit {
            // A committed entry is never replaced.
            return false;
        }
        self.log.truncate(Revision(revision.0 - 1));
        self.log.append(entry) == revision
    }

    /// Reports the last position that may agree: just before the consecutive entries of the
    /// conflicting term, but not before the commit position.
    fn mismatch(&self, previous: Revision) -> AppendOutcome {
        let last = self.log.last_revision();
        let hint = if previous > last {
            last
        } else {
            Revision(self.log.first_of_term(previous).0.saturating_sub(1)).max(self.commit)
        };
        AppendOutcome::Mismatch(Mismatch { previous, hint })
    }

    fn install(&mut self, install: Install) {
        let snapshot = Snapshot {
            revision: install.revision,
            term: install.revision_term,
            state: install.state.0.clone(),
        };
        self.log = Log::new(snapshot, install.membership.clone());
        self.has_state = true;
        self.commit = install.revision;
        self.delivered = install.revision;
        self.installed = Some(InstalledState {
            revision: install.revision,
            membership: install.membership,
            state: install.state.0,
        });
    }

    /// Advances the commit position.
    pub(crate) fn commit_to(&mut self, revision: Revision) {
        self.commit = self.commit.max(revision.min(self.log.last_revision()));
    }
}
