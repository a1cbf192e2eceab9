//! Shares of tiers in contested capacity, derived from weights and guaranteed minimums.

use ledgelead_types::TierId;
use ledgelead_types::configuration::Configuration;
use std::collections::BTreeMap;

/// Share of a tier that is not configured.
const UNKNOWN_TIER_SHARE: f64 = 0.01;

/// Minimum share of any tier, which prevents starvation.
const MIN_SHARE: f64 = 0.001;

/// The whole, in percent.
const WHOLE_PERCENT: f64 = 100.0;

/// Share of each tier, from 0 to 1.
#[derive(Clone, Debug, Default)]
pub(super) struct TierShares {
    shares: BTreeMap<TierId, f64>,
}

impl TierShares {
    /// Each tier gets its guaranteed share, and the remainder is divided by weight.
    /// Guarantees that exceed 100 percent are scaled down to it.
    pub(super) fn of(configuration: &Configuration) -> TierShares {
        let tiers = &configuration.tiers;
        let guaranteed: f64 = tiers
            .iter()
            .map(|tier| f64::from(tier.guaranteed_percent) / WHOLE_PERCENT)
            .sum();
        let scale = 1.0 / guaranteed.max(1.0);
        let rest = (1.0 - guaranteed).max(0.0);
        let weights: f64 = tiers.iter().map(|tier| f64::from(tier.weight)).sum();
        let shares = tiers
            .iter()
            .map(|tier| {
                let minimum = f64::from(tier.guaranteed_percent) / WHOLE_PERCENT * scale;
                let weighted = rest * f64::from(tier.weight) / weights.max(1.0);
                (tier.id, (minimum + weighted).max(MIN_SHARE))
            })
            .collect();
        TierShares { shares }
    }

    /// The share of a tier.
    pub(super) fn share(&self, tier: TierId) -> f64 {
        self.shares
            .get(&tier)
            .copied()
            .unwrap_or(UNKNOWN_TIER_SHARE)
    }
}
