//! Switches that disable a single protection, to prove that the checkers of simulations detect
//! its absence. All are enabled by default, and no setting of a process changes them.

/// One protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// Keys of an unresponsive owner are reassigned only after its lease has expired, and granted
    /// after a grace period for nodes that don't know the next owner.
    LeaseWait,
    /// A coordinator increases all fencing tokens when it takes over.
    TakeoverFence,
    /// A coordinator that the store does not confirm stops sending orders.
    BoundedAuthority,
    /// A request that must not run twice is sent again only if it is proved not to have run.
    RetryOnlyIfNotRun,
    /// A request that may have run is never reported as refused.
    AccurateRefusal,
    /// A leaving owner gets no new requests after the drain time.
    DrainBound,
    /// Messages of a coordinator are ignored once a later epoch is known.
    IgnoreOlderEpochs,
    /// Nodes broadcast the requests during which instances ended.
    SharedEvidence,
    /// The evidence about such requests is kept in the store.
    PersistedEvidence,
    /// Ends count for a request over all of its callers.
    EvidenceByRequest,
    /// A request that an instance has answered is not suspected of crashing instances.
    AnswerClearsSuspicion,
    /// An unreadable object does not affect the other objects in the store's answer.
    IsolateUnreadable,
    /// An instance with an unreadable entry gets no requests.
    ExcludeUnreadable,
    /// A later incarnation of an instance is distinguished from the earlier one.
    DistinctIncarnations,
    /// A first list that may be stale is used for work only after it is confirmed.
    ConfirmedView,
    /// An instance counts as leaving as soon as one of its answers says so.
    HonorLeaving,
    /// An instance that has requested a pause from a node gets no requests from it until the
    /// pause ends.
    HonorBackoff,
    /// An instance gets no more requests than its announced rate limit allows.
    HonorRateLimit,
    /// A rate limit applies to all nodes together, not to each node.
    SharedRateLimit,
    /// State that was read in an earlier era of the store is not used in a later one unless
    /// that confirms it.
    EraIsolation,
    /// Epochs and fencing tokens of an era are above all those of earlier eras.
    EraTokens,
    /// An answer on the connection of an order counts only if it can be the order's own.
    MatchOrderAnswers,
    /// A connection carries no request id twice.
    DistinctIds,
    /// A request that is submitted again is recognized by its full identity, not by its path
    /// alone.
    FullRequestIdentity,
    /// Requests and orders for instances that this node doesn't reach go by way of a peer.
    Forwarding,
    /// Orders go by way of a peer if the coordinator doesn't reach the instance.
    ForwardedOrders,
    /// A link on which no connection was established is not used for a while.
    LinkBackoff,
    /// A peer forwards only recent orders of the current coordinator.
    RecentOrders,
    /// Keyed requests are sent only by owners that were confirmed recently.
    ConfirmedOwners,
    /// A call that gets no answer on a kept connection is soon made again on a new one.
    ReplaceUnresponsive,
    /// Changes that the coordinator can't send in datagrams are read at once.
    ReadUnavailable,
}

impl Protection {
    /// All protections, with the names of the sabotages that disable them.
    pub const SABOTAGES: [(&'static str, Protection); 31] = [
        ("skip-lease-wait", Protection::LeaseWait),
        ("keep-fences", Protection::TakeoverFence),
        ("endless-authority", Protection::BoundedAuthority),
        ("repeat-unknown", Protection::RetryOnlyIfNotRun),
        ("claim-not-run", Protection::AccurateRefusal),
        ("send-while-draining", Protection::DrainBound),
        ("heed-former", Protection::IgnoreOlderEpochs),
        ("share-no-evidence", Protection::SharedEvidence),
        ("keep-no-evidence", Protection::PersistedEvidence),
        ("count-by-address", Protection::EvidenceByRequest),
        ("acquit-nobody", Protection::AnswerClearsSuspicion),
        ("one-life", Protection::DistinctIncarnations),
        ("trust-first-list", Protection::ConfirmedView),
        ("forget-leaving", Protection::HonorLeaving),
        ("ignore-backoff", Protection::HonorBackoff),
        ("ignore-limit", Protection::HonorRateLimit),
        ("keep-limit-alone", Protection::SharedRateLimit),
        ("ignore-era", Protection::EraIsolation),
        ("reuse-fences", Protection::EraTokens),
        ("take-any-answer", Protection::MatchOrderAnswers),
        ("repeat-ids", Protection::DistinctIds),
        ("know-by-path", Protection::FullRequestIdentity),
        ("drop-with-foreign", Protection::IsolateUnreadable),
        ("use-foreign", Protection::ExcludeUnreadable),
        ("forward-nothing", Protection::Forwarding),
        ("forward-no-orders", Protection::ForwardedOrders),
        ("retry-links", Protection::LinkBackoff),
        ("forward-old-orders", Protection::RecentOrders),
        ("trust-old-owners", Protection::ConfirmedOwners),
        ("keep-dead-connections", Protection::ReplaceUnresponsive),
        ("await-datagrams", Protection::ReadUnavailable),
    ];
}

/// The set of enabled protections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Protections {
    off: [Option<Protection>; 2],
}

impl Protections {
    /// All protections but one.
    pub fn without(protection: Protection) -> Protections {
        Protections {
            off: [Some(protection), None],
        }
    }

    /// The same without another one, for faults that a second protection would hide.
    pub fn also_without(self, protection: Protection) -> Protections {
        Protections {
            off: [self.off[0], Some(protection)],
        }
    }

    /// Whether a protection is enabled.
    pub fn has(self, protection: Protection) -> bool {
        !self.off.contains(&Some(protection))
    }
}
