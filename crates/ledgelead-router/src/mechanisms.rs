//! Switches that turn one mechanism of the decisions off, to measure what it is
//! worth. None of them is needed for safety; all are on by default.

/// One mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Instances of the own zone come first.
    ZonePreference,
    /// Where a digest tells the load, instances are drawn by the room that they have.
    FreeSlots,
    /// An idempotent request whose instance is silent is sent to another.
    SlowAttemptRetry,
    /// An idempotent request whose instance failed is sent to another.
    RepeatFailed,
    /// An instance that fails several times in a row is passed over.
    Ejection,
    /// An instance's share of failures counts against it.
    FailureShare,
    /// An instance that has just started is expected to be slow.
    ColdFactor,
    /// Nodes of a zone tell each other their open requests.
    SharedLoad,
    /// In large zones they do so by way of one of them.
    LoadDigest,
    /// The speed of instances comes from all nodes' answers.
    SharedSpeed,
    /// How long work takes at an instance right now counts.
    Slowness,
    /// What can't be answered in time is refused before it is sent.
    EarlyRefusal,
    /// What a key is asked for beyond its owner's capacity is refused at once.
    OverloadedKeys,
    /// Requests that compete for instances wait in one queue an owner, or a zone.
    OwnerQueues,
    /// Requests that wait are looked at in the order of their priority.
    Priority,
    /// Kept connections rest for less time where instances forget them.
    IdleConnectionLimit,
    /// Keys move from busy owners to others.
    KeyMoves,
    /// Keys of contended services are spread by lasting differences between owners.
    LongWindowBalance,
    /// Capacities of owners come from all nodes' answers.
    SharedCapacity,
    /// Owners count as busy only beyond the chance in their counts.
    NoiseMargin,
    /// Nodes that hear a coordinator let their own watches rest.
    PausedWatches,
    /// Large requests of a split go to owners of keys in the own zone first.
    SplitLocality,
    /// Repeats that win most come first as the retry budget runs short.
    RepeatValue,
    /// Instances that reject with free slots are told from full ones.
    RejectionCause,
}

impl Mechanism {
    /// Every mechanism, under the name by which it is switched off.
    pub const ALL: [(&'static str, Mechanism); 24] = [
        ("zone-preference", Mechanism::ZonePreference),
        ("free-slots", Mechanism::FreeSlots),
        ("review", Mechanism::SlowAttemptRetry),
        ("repeat-failed", Mechanism::RepeatFailed),
        ("ejection", Mechanism::Ejection),
        ("failure-share", Mechanism::FailureShare),
        ("cold-factor", Mechanism::ColdFactor),
        ("shared-load", Mechanism::SharedLoad),
        ("load-digest", Mechanism::LoadDigest),
        ("shared-speed", Mechanism::SharedSpeed),
        ("slowness", Mechanism::Slowness),
        ("early-refusal", Mechanism::EarlyRefusal),
        ("overloaded-keys", Mechanism::OverloadedKeys),
        ("owner-queues", Mechanism::OwnerQueues),
        ("priority", Mechanism::Priority),
        ("rest-limit", Mechanism::IdleConnectionLimit),
        ("key-moves", Mechanism::KeyMoves),
        ("steady-balance", Mechanism::LongWindowBalance),
        ("shared-capacity", Mechanism::SharedCapacity),
        ("chance-margin", Mechanism::NoiseMargin),
        ("resting-watches", Mechanism::PausedWatches),
        ("split-locality", Mechanism::SplitLocality),
        ("repeat-value", Mechanism::RepeatValue),
        ("rejection-cause", Mechanism::RejectionCause),
    ];

    /// The mechanism of this name.
    pub fn named(name: &str) -> Option<Mechanism> {
        let (_, mechanism) = Mechanism::ALL.iter().find(|(known, _)| *known == name)?;
        Some(*mechanism)
    }
}

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: Option<Mechanism>,
}

impl Mechanisms {
    /// All but one.
    pub fn without(mechanism: Mechanism) -> Mechanisms {
        Mechanisms {
            off: Some(mechanism),
        }
    }

    /// Whether a mechanism is on.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off != Some(mechanism)
    }
}
