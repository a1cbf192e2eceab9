//! Switches that disable one protection to validate the checker (`--sabotage`): with a
//! protection disabled, the checker must find violations. All protections are enabled by
//! default, and no setting of a node can change that.

/// A protection that a simulation can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Protection {
    /// The slices of a server that does not answer are reassigned only after its lease has
    /// expired.
    LeaseWait,
    /// Servers refuse lower tokens and expired leases.
    TokenCheck,
    /// A request that is not repeatable is retried only with evidence that it was not run.
    UnknownNotRetried,
    /// A node refuses a configuration that is older than its own.
    ConfigurationOrder,
    /// A restarted replica does not vote under its old identity.
    IncarnationCheck,
    /// Assignments are acknowledged only after a quorum has stored them.
    QuorumAcknowledgement,
    /// An answer is delivered only to the request whose attempt it belongs to.
    AnswerMatch,
    /// A request whose connection was lost is reported as unknown, not as not run.
    AccurateNotRun,
    /// A draining server gets no new work.
    DrainStopsWork,
    /// A stopping node waits for the requests in flight.
    StopWaitsForInFlight,
    /// A repeated request with the same idempotency key is not run again.
    IdempotencyRecord,
}

impl Protection {
    /// All protections, each with the name of the sabotage that disables it.
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

/// The set of enabled protections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Protections {
    disabled: Option<Protection>,
}

impl Protections {
    /// All protections except one.
    pub fn without(protection: Protection) -> Protections {
        Protections {
            disabled: Some(protection),
        }
    }

    /// Whether a protection is enabled.
    pub fn has(&self, protection: Protection) -> bool {
        self.disabled != Some(protection)
    }
}
