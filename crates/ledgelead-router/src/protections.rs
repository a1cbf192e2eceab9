//! Switches that turn one protection off, for the proof of the checkers in
//! simulations. All are on by default, and no setting of a process changes
//! them.

/// One protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// Keys of a silent owner are given away only after its lease.
    LeaseWait,
    /// A coordinator raises all fencing tokens as it takes its place.
    TakeoverFence,
    /// A coordinator without word from the store stops giving orders.
    BoundedAuthority,
    /// A request that may run once is sent again only on proof that it has
    /// not run.
    RetryOnlyIfNotRun,
    /// A request that may have run is not told as refused.
    AccurateRefusal,
    /// A leaving owner gets nothing more after its time.
    DrainBound,
    /// The word of a coordinator counts for nothing once a later epoch is known.
    IgnoreOlderEpochs,
    /// Nodes broadcast under which requests instances ended.
    SharedEvidence,
    /// What is known of such requests is kept in the store.
    PersistedEvidence,
    /// A request that an instance answers is no such request.
    AnswerClearsSuspicion,
    /// An object that can't be read takes no other of the store's answer with it.
    IsolateUnreadable,
    /// An instance whose entry can't be read gets nothing more.
    ExcludeUnreadable,
    /// A later life of an instance is not taken for the earlier one.
    DistinctIncarnations,
    /// Work goes by a first list that may be stale only once it is confirmed.
    ConfirmedView,
    /// An instance leaves as soon as some answer of it says so.
    HonorLeaving,
    /// An instance that has asked a node for a pause gets nothing from it until its end.
    HonorBackoff,
    /// An instance gets no more requests than the rate limit that it names allows.
    HonorRateLimit,
    /// Such a limit binds all nodes together, not each of them.
    SharedRateLimit,
    /// What was taken from the store in an era counts for nothing in a later one, unless it
    /// is proved there.
    EraIsolation,
    /// Epochs and fencing tokens of an era are above all of earlier ones.
    EraTokens,
    /// A request is recognised by all that makes it the same, not by its path alone.
    FullRequestIdentity,
}

impl Protection {
    /// Every protection, under the name of the sabotage that turns it off.
    pub const SABOTAGES: [(&'static str, Protection); 21] = [
        ("skip-lease-wait", Protection::LeaseWait),
        ("keep-fences", Protection::TakeoverFence),
        ("endless-authority", Protection::BoundedAuthority),
        ("repeat-unknown", Protection::RetryOnlyIfNotRun),
        ("claim-not-run", Protection::AccurateRefusal),
        ("send-while-draining", Protection::DrainBound),
        ("heed-former", Protection::IgnoreOlderEpochs),
        ("share-no-evidence", Protection::SharedEvidence),
        ("keep-no-evidence", Protection::PersistedEvidence),
        ("acquit-nobody", Protection::AnswerClearsSuspicion),
        ("one-life", Protection::DistinctIncarnations),
        ("trust-first-list", Protection::ConfirmedView),
        ("forget-leaving", Protection::HonorLeaving),
        ("ignore-backoff", Protection::HonorBackoff),
        ("ignore-limit", Protection::HonorRateLimit),
        ("keep-limit-alone", Protection::SharedRateLimit),
        ("ignore-era", Protection::EraIsolation),
        ("reuse-fences", Protection::EraTokens),
        ("know-by-path", Protection::FullRequestIdentity),
        ("drop-with-foreign", Protection::IsolateUnreadable),
        ("use-foreign", Protection::ExcludeUnreadable),
    ];
}

/// Which protections are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Protections {
    off: Option<Protection>,
}

impl Protections {
    /// All but one.
    pub fn without(protection: Protection) -> Protections {
        Protections {
            off: Some(protection),
        }
    }

    /// Whether a protection is on.
    pub fn has(self, protection: Protection) -> bool {
        self.off != Some(protection)
    }
}
