//! Invariants of every run.

use super::Process;
use ledgelead_replication::{CommittedEntry, Role};
use ledgelead_types::{Member, Revision, Term, Time};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Observations of a run so far, and the first violation.
#[derive(Default)]
pub struct Checker {
    /// Digest of all entries up to each committed position.
    digests: BTreeMap<Revision, u64>,
    leaders: BTreeMap<Term, Leadership>,
    /// Real time at which all authority of each term ends, whoever holds it.
    authority_ends: BTreeMap<Term, u64>,
    pub violation: Option<String>,
    /// How often a follower was observed with delegated authority.
    pub delegations_seen: u64,
}

#[derive(Clone, Copy)]
struct Leadership {
    member: Member,
    /// Real time from which the leader assumes that no earlier leader has authority.
    former_authority_ends: u64,
}

/// Digest of all entries up to and including one entry.
pub fn digest(before: u64, entry: &CommittedEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    before.hash(&mut hasher);
    (entry.revision, entry.term).hash(&mut hasher);
    format!("{:?}", entry.payload).hash(&mut hasher);
    hasher.finish()
}

impl Checker {
    /// Records that a process has applied everything up to a position.
    pub fn record_applied(&mut self, revision: Revision, digest: u64) {
        let committed = *self.digests.entry(revision).or_insert(digest);
        if committed != digest {
            self.report(format!("two histories up to {revision:?}"));
        }
    }

    /// The last position that any process has applied.
    pub fn last_revision(&self) -> Revision {
        let last = self.digests.last_key_value();
        last.map_or(Revision(0), |(revision, _)| *revision)
    }

    /// Checks a process; to be called after each of its inputs.
    pub fn observe(&mut self, process: &Process, clock: Time) {
        let replica = &process.replica;
        if replica.role() == Role::Leader {
            let ends = process.true_time(replica.former_authority_ends());
            self.check_leader(replica.term(), process.member, ends);
        }
        if let Some(authority) = replica.authority(clock) {
            self.delegations_seen += u64::from(replica.role() != Role::Leader);
            self.check_authority(authority.term, process.true_time(authority.until));
        }
    }

    fn check_leader(&mut self, term: Term, member: Member, former_authority_ends: u64) {
        let leadership = Leadership {
            member,
            former_authority_ends,
        };
        let known = *self.leaders.entry(term).or_insert(leadership);
        if known.member != member {
            self.report(format!("{} and {member} lead {term:?}", known.member));
        }
        let earlier = self.authority_ends.range(..term).map(|(_, end)| *end);
        if earlier.max().unwrap_or(0) > former_authority_ends {
            self.report(format!("authority before {term:?} outlasts its start"));
        }
    }

    fn check_authority(&mut self, term: Term, until: u64) {
        let end = self.authority_ends.entry(term).or_insert(0);
        *end = until.max(*end);
        let mut later = self.leaders.range(Term(term.0 + 1)..);
        if later.any(|(_, leader)| leader.former_authority_ends < until) {
            self.report(format!("authority of {term:?} outlasts a later start"));
        }
    }

    pub fn report(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}
