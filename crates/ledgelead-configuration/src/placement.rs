//! Selects the voters of a group.

use ledgelead_types::dispatch::LiveNode;
use ledgelead_types::{GroupId, Member, ZoneId};
use std::collections::BTreeMap;

/// Returns the voters of a group: first the live members of `keep` in their order, then live
/// nodes from the zones with the fewest voters so far, ranked by rendezvous hash. The number
/// is always odd: with fewer live nodes than `replicas`, the largest odd number possible;
/// empty without live nodes.
pub fn choose_voters(
    group: GroupId,
    replicas: usize,
    live: &[LiveNode],
    keep: &[Member],
) -> Vec<Member> {
    let count = odd_at_most(replicas.min(live.len()));
    let mut chosen: Vec<LiveNode> = keep
        .iter()
        .filter_map(|member| live.iter().find(|node| node.member == *member))
        .take(count)
        .copied()
        .collect();
    while chosen.len() < count {
        let Some(next) = next_voter(group, live, &chosen) else {
            break;
        };
        chosen.push(next);
    }
    chosen.iter().map(|node| node.member).collect()
}

fn odd_at_most(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}

fn next_voter(group: GroupId, live: &[LiveNode], chosen: &[LiveNode]) -> Option<LiveNode> {
    let mut by_zone: BTreeMap<ZoneId, usize> = BTreeMap::new();
    for node in chosen {
        *by_zone.entry(node.zone).or_default() += 1;
    }
    live.iter()
        .filter(|node| !chosen.contains(node))
        .min_by_key(|node| {
            let voters = by_zone.get(&node.zone).copied().unwrap_or(0);
            (voters, group.replica_weight(node.member.node))
        })
        .copied()
}
