//! Switches that turn one protection off, for the checker's own proof: with a
//! protection off the checker must find violations (`--sabotage`). All are on
//! by default and no setting of a node can change them.

/// One protection that can be switched off in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protection {
    /// Wait for a silent server's lease before its slices go elsewhere.
    LeaseWait,
    /// Servers refuse lower tokens and expired leases.
    TokenCheck,
    /// A request that may not be repeated is sent again only on evidence
    /// that it was not run.
    UnknownNotRetried,
    /// A node refuses an older configuration than it has.
    ConfigurationOrder,
    /// A restarted replica does not vote under its old identity.
    IncarnationCheck,
    /// Assignments are acknowledged only when a quorum holds them.
    QuorumAcknowledgement,
    /// An answer is handed only to the request whose attempt it belongs to.
    AnswerMatch,
    /// A lost connection is told as unknown, not as not run.
    AccurateNotRun,
    /// A draining server gets no new work.
    DrainStopsWork,
    /// A stop waits for what is in flight.
    StopWaitsForInFlight,
    /// A repeat under an idempotency key is not run again.
    IdempotencyRecord,
}

impl Protection {
    /// Every protection with the name of the sabotage that switches it off.
    pub const SABOTAGES: [(&'static str, Protection); 11] = [
        ("skip-lease-wait", Protection::LeaseWait),
        ("accept-old-token", Protection::TokenCheck),
        ("retry-unknown", Protection::UnknownNotRetried),
        ("keep-old-configuration", Protection::ConfigurationOrder),
        ("vote-after-restart", Protection::IncarnationCheck),
        (
            "acknowledge-before-quorum",
            Protection::QuorumAcknowledgement,
        ),
        ("cross-answers", Protection::AnswerMatch),
        ("claim-not-run", Protection::AccurateNotRun),
        ("send-while-draining", Protection::DrainStopsWork),
        ("stop-at-once", Protection::StopWaitsForInFlight),
        ("forget-idempotency", Protection::IdempotencyRecord),
    ];
}

/// Which protections are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Protections {
    switched_off: Option<Protection>,
}

impl Protections {
    /// All protections but one.
    pub fn without(protection: Protection) -> Protections {
        Protections {
            switched_off: Some(protection),
        }
    }

    /// Whether a protection is on.
    pub fn has(&self, protection: Protection) -> bool {
        self.switched_off != Some(protection)
    }
}
