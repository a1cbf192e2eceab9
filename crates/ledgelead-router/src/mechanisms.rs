//! Switches that disable a single mechanism, to measure its benefit. No mechanism is needed
//! for safety; all are enabled by default.

/// One mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Instances of the node's own zone are preferred.
    ZonePreference,
    /// While load is known from a digest, instances are chosen at random, weighted by their
    /// free slots.
    FreeSlots,
    /// An idempotent request is sent to another instance if its instance does not respond.
    SlowAttemptRetry,
    /// An idempotent request is sent to another instance if its instance failed.
    RepeatFailed,
    /// An instance is not used for a while after several consecutive failures.
    Ejection,
    /// An instance with a higher share of failures is chosen less often.
    FailureShare,
    /// An instance that has just started is expected to be slow.
    ColdFactor,
    /// Nodes of a zone exchange their numbers of open requests.
    SharedLoad,
    /// In large zones, one node, the load hub, collects and distributes these numbers.
    LoadDigest,
    /// The speed of instances is estimated from the answers to all nodes.
    SharedSpeed,
    /// The current service time of an instance is taken into account.
    Slowness,
    /// Requests that cannot be answered in time are refused before they are sent.
    EarlyRefusal,
    /// Requests for a key beyond the capacity of its owner are refused at once.
    OverloadedKeys,
    /// Requests that compete for instances wait in one queue per owner, or per zone.
    OwnerQueues,
    /// Waiting requests are handled in the order of their priority.
    Priority,
    /// Idle connections are kept for less time if instances drop them.
    IdleConnectionLimit,
    /// Keys move from busy owners to others.
    KeyMoves,
    /// Keys of contended services are balanced by lasting differences between owners.
    LongWindowBalance,
    /// Capacities of owners are estimated from the answers to all nodes.
    SharedCapacity,
    /// Owners count as busy only if the load exceeds the random deviation of the counts.
    NoiseMargin,
    /// Nodes that follow a coordinator suspend their own watches.
    PausedWatches,
    /// On routes split between a service with owned keys and another one, large requests go
    /// to the former first if the key's owner is in the node's own zone.
    SplitLocality,
    /// When the retry budget runs short, retries with the highest benefit are sent first.
    RepeatValue,
    /// Rejections by instances with free slots are distinguished from rejections by full ones.
    RejectionCause,
}

impl Mechanism {
    /// All mechanisms, with the names by which they are disabled.
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

/// The set of enabled mechanisms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    off: Option<Mechanism>,
}

impl Mechanisms {
    /// All mechanisms but one.
    pub fn without(mechanism: Mechanism) -> Mechanisms {
        Mechanisms {
            off: Some(mechanism),
        }
    }

    /// Whether a mechanism is enabled.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off != Some(mechanism)
    }
}
