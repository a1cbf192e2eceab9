//! One group in virtual time: formation, losses, planned moves, operations.

mod model;

use googletest::prelude::*;
use ledgelead_ownership::{GroupInput, GroupOutput};
use ledgelead_types::administration::{CommandResult, GroupOperation};
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::dispatch::*;
use ledgelead_types::protections::{Protection, Protections};
use ledgelead_types::routes::ServerStatus;
use ledgelead_types::*;
use model::*;
use std::collections::BTreeMap;

const STEP: Span = Span::from_millis(1);
const SEEDS: u64 = 100;

/// Milliseconds until every sampled position is served again.
fn time_until_served(cluster: &mut Cluster) -> f64 {
    let start = cluster.now;
    cluster.run(STEP);
    assert!(cluster.run_until(Span::from_seconds(5), Cluster::all_served));
    cluster.now.since(start).as_millis()
}

/// Runs `lose` with many seeds and returns the maximum time until every position is served
/// again.
fn worst_of_seeds(name: &str, lose: impl Fn(&mut Cluster, u64)) -> f64 {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::formed(seed, 1, 4);
        cluster.run(Span::from_millis(seed * 7));
        lose(&mut cluster, seed);
        times.push(time_until_served(&mut cluster));
        expect_that!(cluster.violations, is_empty(), "seed {seed}");
    }
    times.sort_by(f64::total_cmp);
    let (middle, high, worst) = (times[50], times[98], times[99]);
    println!("{name}: p50 {middle} p99 {high} max {worst} ms");
    worst
}

fn lose_server(cluster: &mut Cluster, id: ServerId) {
    cluster.servers.get_mut(&id).expect("it exists").alive = false;
}

fn dispatcher_of(cluster: &Cluster, id: ServerId) -> Member {
    let state = cluster.nodes[&cluster.leader().expect("a leader")]
        .replica
        .state();
    state.servers[&id].dispatcher.expect("it has one")
}

fn owners(cluster: &Cluster) -> BTreeMap<PositionRange, (Option<ServerId>, FencingToken)> {
    let slices = &cluster.leader_routes().expect("a leader").slices;
    let owner = |slice: &routes::SliceRoute| (slice.range, (slice.owner, slice.token));
    slices.iter().map(owner).collect()
}

#[gtest]
fn a_new_group_serves_every_position_and_spreads_slices_evenly() {
    let cluster = Cluster::formed(1, 0, 4);
    expect_that!(cluster.violations, is_empty());
    let mut counts = BTreeMap::new();
    for (owner, _) in owners(&cluster).values() {
        *counts.entry(*owner).or_insert(0) += 1;
    }
    expect_that!(counts.values().collect::<Vec<_>>(), each(eq(&&4)));
}

#[gtest]
fn slices_of_a_lost_owner_are_served_again_within_700_ms() {
    let worst = worst_of_seeds("owner loss", |cluster, seed| {
        lose_server(cluster, ServerId((seed % 4) as u32));
    });
    expect_that!(worst, lt(700.0));
}

#[gtest]
fn slices_are_served_within_1000_ms_after_loss_of_leader_and_owner() {
    let worst = worst_of_seeds("leader and owner loss", |cluster, seed| {
        lose_server(cluster, ServerId((seed % 4) as u32));
        cluster.kill_node(cluster.leader().expect("a leader"));
    });
    expect_that!(worst, lt(1_000.0));
}

#[gtest]
fn slices_are_served_within_1000_ms_after_loss_of_dispatcher_and_owner() {
    let worst = worst_of_seeds("dispatcher and owner loss", |cluster, seed| {
        let victim = ServerId((seed % 4) as u32);
        lose_server(cluster, victim);
        cluster.kill_node(dispatcher_of(cluster, victim));
    });
    expect_that!(worst, lt(1_000.0));
}

#[gtest]
fn a_frozen_owner_is_replaced_and_owns_nothing_when_it_resumes() {
    let worst = worst_of_seeds("owner frozen", |cluster, seed| {
        let until = cluster.now + Span::from_millis(300 + 20 * seed);
        let server = cluster.servers.get_mut(&ServerId(1)).expect("it exists");
        server.frozen_until = until;
    });
    expect_that!(worst, lt(700.0));
}

/// Longest time for which a position was unserved within `span`.
fn longest_gap(cluster: &mut Cluster, span: Span) -> Span {
    let end = cluster.now + span;
    let mut unserved_since: BTreeMap<Position, Time> = BTreeMap::new();
    let mut longest = Span::ZERO;
    while cluster.now < end {
        cluster.run(STEP);
        let unserved = cluster.unserved();
        unserved_since.retain(|position, _| unserved.contains(position));
        for position in unserved {
            let since = *unserved_since.entry(position).or_insert(cluster.now);
            longest = longest.max(cluster.now.since(since) + STEP);
        }
    }
    longest
}

#[gtest]
fn loss_of_the_leader_keeps_owners_tokens_and_leases() {
    let mut longest = Span::ZERO;
    for seed in 0..SEEDS {
        let mut cluster = Cluster::formed(seed, 1, 4);
        cluster.run(Span::from_millis(seed * 3));
        let before = owners(&cluster);
        cluster.kill_node(cluster.leader().expect("a leader"));
        longest = longest.max(longest_gap(&mut cluster, Span::from_seconds(2)));
        expect_that!(owners(&cluster) == before, eq(true), "seed {seed}");
        expect_that!(cluster.violations, is_empty());
    }
    println!("leader loss: longest unserved {} ms", longest.as_millis());
    expect_that!(longest, eq(Span::ZERO));
}

#[gtest]
fn loss_of_a_dispatcher_keeps_leases() {
    let mut longest = Span::ZERO;
    for seed in 0..SEEDS {
        let mut cluster = Cluster::formed(seed, 1, 4);
        cluster.run(Span::from_millis(seed * 3));
        let before = owners(&cluster);
        cluster.kill_node(dispatcher_of(&cluster, ServerId(0)));
        longest = longest.max(longest_gap(&mut cluster, Span::from_seconds(2)));
        expect_that!(owners(&cluster) == before, eq(true), "seed {seed}");
    }
    println!(
        "dispatcher loss: longest unserved {} ms",
        longest.as_millis()
    );
    expect_that!(longest, lt(Span::from_millis(150)));
}

#[gtest]
fn a_drain_moves_every_slice_with_short_interruptions() {
    let mut cluster = Cluster::formed(3, 0, 4);
    let leader = cluster.leader().expect("a leader");
    let follower = member((leader.node.0 + 1) % 3);
    let operation = GroupOperation::Drain(ServerId(2));
    cluster.operate(follower, 7, "drain-2", operation);
    let longest = longest_gap(&mut cluster, Span::from_seconds(2));
    println!("drain: longest unserved {} ms", longest.as_millis());
    let held = owners(&cluster).into_values();
    expect_that!(
        held.filter(|(owner, _)| *owner == Some(ServerId(2)))
            .count(),
        eq(0)
    );
    // Five milliseconds of requests that continue after the release, and a few round trips.
    expect_that!(longest, lt(Span::from_millis(50)));
    let done = CommandResult::Operated { repeated: false };
    expect_that!(cluster.operation_results(7), eq(&vec![done]));
    expect_that!(cluster.status(ServerId(2)), eq(ServerStatus::Draining));
    expect_that!(cluster.violations, is_empty());
}

#[gtest]
fn a_leaving_server_is_drained_and_a_retired_one_gets_no_slices() {
    let mut cluster = Cluster::formed(4, 0, 4);
    cluster
        .servers
        .get_mut(&ServerId(1))
        .expect("it exists")
        .leaving = true;
    let leader = cluster.leader().expect("a leader");
    cluster.operate(leader, 1, "retire-3", GroupOperation::Retire(ServerId(3)));
    cluster.run(Span::from_seconds(2));
    expect_that!(cluster.status(ServerId(1)), eq(ServerStatus::Draining));
    expect_that!(cluster.status(ServerId(3)), eq(ServerStatus::Retired));
    let gone = [Some(ServerId(1)), Some(ServerId(3))];
    let kept = owners(&cluster)
        .into_values()
        .filter(|(owner, _)| gone.contains(owner));
    expect_that!(kept.count(), eq(0));
    expect_that!(cluster.all_served(), eq(true));
}

#[gtest]
fn a_repeated_operation_is_applied_once_through_any_node() {
    let mut cluster = Cluster::formed(5, 0, 3);
    let position = Position(u64::MAX / 2);
    for (ticket, node) in [(1, 0), (2, 1), (3, 2)] {
        let to = ServerId((ticket % 3) as u32);
        let operation = GroupOperation::MoveSlice { position, to };
        cluster.operate(member(node), ticket, "move-1", operation);
        cluster.run(Span::from_millis(500));
    }
    let results: Vec<_> = (1..4)
        .flat_map(|ticket| cluster.operation_results(ticket))
        .collect();
    let repeated = CommandResult::Operated { repeated: true };
    expect_that!(results[0], eq(&CommandResult::Operated { repeated: false }));
    expect_that!(results[1..], each(eq(&repeated)));
    let owner = cluster
        .leader_routes()
        .and_then(|routes| routes.slice_at(position)?.owner);
    expect_that!(owner, some(eq(ServerId(1))));
}

/// After a rebuild, a move must not be decided before the servers' claims are in: it would
/// be based on the snapshot, which may be older than the slice, and be lost when the claims
/// replace it.
#[gtest]
fn operations_wait_until_a_rebuilt_group_knows_its_slices() {
    let mut cluster = Cluster::formed(9, 0, 3);
    let before = owners(&cluster);
    cluster.rebuild(cluster.first_record());
    cluster.run_until(Span::from_seconds(1), |cluster| cluster.leader().is_some());
    cluster.run(Span::from_millis(100));
    let (position, to) = (Position(u64::MAX / 2), ServerId(1));
    let moved = GroupOperation::MoveSlice { position, to };
    let asked = cluster.leader().expect("a leader");
    cluster.operate(asked, 1, "move-1", moved);
    cluster.run(Span::from_seconds(2));
    let operated = CommandResult::Operated { repeated: false };
    expect_that!(cluster.operation_results(1), eq(&vec![operated]));
    let routes = cluster.leader_routes().expect("a leader");
    let owner = routes.slice_at(position).and_then(|slice| slice.owner);
    expect_that!(owner, some(eq(to)));
    expect_that!(owners(&cluster).len(), ge(before.len()));
}

#[gtest]
fn without_a_quorum_requests_end_and_nothing_is_granted() {
    let mut cluster = Cluster::formed(6, 0, 3);
    let survivor = dispatcher_of(&cluster, ServerId(0));
    for other in (0..3).map(member).filter(|other| *other != survivor) {
        cluster.kill_node(other);
    }
    cluster.run(Span::from_seconds(1));
    expect_that!(cluster.unserved().len(), eq(64));
    let once = cluster.begin_idempotency_record(survivor, 1, 99);
    cluster.operate(survivor, 5, "drain-0", GroupOperation::Drain(ServerId(0)));
    cluster.run(Span::from_seconds(3));
    let unavailable = vec![IdempotencyVerdict::Unavailable];
    expect_that!(cluster.idempotency_verdicts(once), eq(&unavailable));
    expect_that!(cluster.operation_results(5).len(), eq(1));
}

#[gtest]
fn a_key_begins_once_and_its_record_survives_the_leader() {
    let mut cluster = Cluster::formed(7, 0, 3);
    let first = cluster.begin_idempotency_record(member(0), 1, 42);
    cluster.run(Span::from_millis(50));
    expect_that!(
        cluster.idempotency_verdicts(first),
        eq(&vec![IdempotencyVerdict::Fresh])
    );
    cluster.kill_node(cluster.leader().expect("a leader"));
    cluster.run(Span::from_seconds(1));
    let node = *cluster.nodes.keys().next().expect("two are left");
    let second = cluster.begin_idempotency_record(node, 2, 42);
    cluster.run(Span::from_millis(50));
    let running = IdempotencyVerdict::Duplicate(IdempotencyState::Begun);
    expect_that!(cluster.idempotency_verdicts(second), eq(&vec![running]));
    let key = IdempotencyKey(42);
    cluster.input(
        node,
        GroupInput::CancelIdempotencyRecord { owner: first, key },
    );
    cluster.run(Span::from_millis(50));
    let third = cluster.begin_idempotency_record(node, 3, 42);
    cluster.run(Span::from_millis(50));
    expect_that!(
        cluster.idempotency_verdicts(third),
        eq(&vec![IdempotencyVerdict::Fresh])
    );
}

/// A gateway whose first dispatcher is partitioned begins its request through another one.
/// When the request to begin of the first dispatcher times out, it must not remove the
/// record under which the request is executing.
#[gtest]
fn a_begin_request_that_times_out_keeps_the_record_begun_elsewhere() {
    let mut cluster = Cluster::formed(21, 0, 3);
    let leader = cluster.leader().expect("a leader");
    let mut followers = (0..3).map(member).filter(|node| *node != leader);
    let (cut_off, gateway) = (followers.next(), followers.next());
    let (cut_off, gateway) = (cut_off.expect("of three"), gateway.expect("of three"));
    let others = [leader, gateway];
    let links = others.map(|other| (cut_off.node.0, other.node.0));
    cluster.partitions.extend(links);
    let owner = cluster.begin_idempotency_record(gateway, 1, 42);
    let key = IdempotencyKey(42);
    cluster.input(cut_off, GroupInput::BeginIdempotencyRecord { owner, key });
    cluster.run(Span::from_millis(1_200));
    cluster.partitions.clear();
    cluster.run(Span::from_seconds(2));
    let answers = vec![IdempotencyVerdict::Fresh, IdempotencyVerdict::Unavailable];
    expect_that!(cluster.idempotency_verdicts(owner), eq(&answers));
    let repeat = cluster.begin_idempotency_record(gateway, 2, 42);
    cluster.run(Span::from_millis(50));
    let running = IdempotencyVerdict::Duplicate(IdempotencyState::Begun);
    expect_that!(cluster.idempotency_verdicts(repeat), eq(&vec![running]));
}

/// A request to begin that is repeated while it is pending must not be added twice: if the
/// second one timed out, it would free the key while the request that the first one granted
/// is executing.
#[gtest]
fn a_repeated_begin_request_is_not_added_twice() {
    let mut cluster = Cluster::formed(3, 0, 3);
    cluster.kill_node(member(1));
    cluster.kill_node(member(2));
    cluster.run(Span::from_millis(500));
    let owner = cluster.begin_idempotency_record(member(0), 1, 42);
    cluster.run(Span::from_millis(500));
    cluster.begin_idempotency_record(member(0), 1, 42);
    cluster.run(Span::from_seconds(2));
    let unavailable = vec![IdempotencyVerdict::Unavailable];
    expect_that!(cluster.idempotency_verdicts(owner), eq(&unavailable));
}

/// Fifty requests to begin and fifty ends take a few log entries instead of a hundred, and
/// the requests to begin are answered about as fast as a single one.
#[gtest]
fn commands_on_records_share_log_entries() {
    let mut cluster = Cluster::formed(3, 0, 3);
    let leader = cluster.leader().expect("a leader");
    let applied = |cluster: &Cluster| cluster.nodes[&leader].replica.state().applied.0;
    let before = applied(&cluster);
    let requester = member((leader.node.0 + 1) % 3);
    let begin = |number| {
        (
            cluster.begin_idempotency_record(requester, number, number),
            number,
        )
    };
    let owners: Vec<_> = (0..50).map(begin).collect();
    cluster.run(Span::from_millis(10));
    for (owner, number) in owners {
        let fresh = vec![IdempotencyVerdict::Fresh];
        expect_that!(cluster.idempotency_verdicts(owner), eq(&fresh));
        let (key, state) = (IdempotencyKey(number), IdempotencyState::Answered);
        cluster.input(
            requester,
            GroupInput::EndIdempotencyRecord { owner, key, state },
        );
        cluster.run(STEP);
    }
    cluster.run(Span::from_millis(150));
    expect_that!(applied(&cluster) - before, lt(20));
    let repeat = cluster.begin_idempotency_record(leader, 99, 49);
    cluster.run(Span::from_millis(20));
    let answered = IdempotencyVerdict::Duplicate(IdempotencyState::Answered);
    expect_that!(cluster.idempotency_verdicts(repeat), eq(&vec![answered]));
}

/// After the loss of a quorum, the record of an executed request may be missing. A retry in
/// the rebuilt group must not be executed again.
#[gtest]
fn a_key_whose_record_may_be_lost_is_not_begun_again() {
    let mut cluster = Cluster::formed(12, 0, 3);
    let first = cluster.begin_idempotency_record(member(0), 1, 42);
    cluster.run(Span::from_millis(50));
    let fresh = vec![IdempotencyVerdict::Fresh];
    expect_that!(cluster.idempotency_verdicts(first), eq(&fresh));
    cluster.rebuild(cluster.first_record());
    cluster.run(Span::from_seconds(2));
    let node = cluster.leader().expect("a leader");
    let repeat = cluster.begin_idempotency_record(node, 2, 42);
    cluster.run(Span::from_seconds(20));
    let unknown = vec![IdempotencyVerdict::Duplicate(IdempotencyState::Unknown)];
    expect_that!(cluster.idempotency_verdicts(repeat), eq(&unknown));
    let late = cluster.begin_idempotency_record(node, 3, 42);
    let other = cluster.begin_idempotency_record(node, 4, 43);
    cluster.run(Span::from_millis(50));
    expect_that!(cluster.idempotency_verdicts(late), eq(&unknown));
    expect_that!(cluster.idempotency_verdicts(other), eq(&fresh));
}

#[gtest]
fn a_record_of_a_lost_gateway_ends_as_unknown() {
    let mut cluster = Cluster::formed(14, 1, 3);
    let gateway = cluster.leader().expect("a leader");
    cluster.begin_idempotency_record(gateway, 1, 42);
    cluster.run(Span::from_millis(50));
    cluster.kill_node(gateway);
    cluster.run(Span::from_seconds(5));
    let node = *cluster.nodes.keys().next().expect("three are left");
    let repeat = cluster.begin_idempotency_record(node, 2, 42);
    cluster.run(Span::from_millis(50));
    let unknown = IdempotencyVerdict::Duplicate(IdempotencyState::Unknown);
    expect_that!(cluster.idempotency_verdicts(repeat), eq(&vec![unknown]));
}

#[gtest]
fn a_stopping_node_transfers_its_duties_without_interruption() {
    for seed in 0..30 {
        let mut cluster = Cluster::formed(seed, 0, 4);
        cluster.run(Span::from_millis(seed * 9));
        let before = owners(&cluster);
        let stopping = member((seed % 3) as u32);
        cluster.input(stopping, GroupInput::TransferLeadership);
        cluster.run(Span::from_millis(50));
        expect_that!(cluster.leader(), some(not(eq(stopping))));
        cluster.kill_node(stopping);
        let longest = longest_gap(&mut cluster, Span::from_seconds(2));
        expect_that!(longest, eq(Span::ZERO), "seed {seed}");
        expect_that!(owners(&cluster) == before, eq(true), "seed {seed}");
    }
}

/// If a node is lost and another is stopped as planned before the first one is replaced,
/// the group would lose its quorum. The stopping voter must be replaced while it still
/// votes.
#[gtest]
fn a_stopping_voter_is_replaced_while_it_still_votes() {
    for seed in 0..20 {
        let mut cluster = Cluster::formed(seed, 3, 3);
        let leader = cluster.leader().expect("a leader");
        let others = (0..3).map(member).filter(|node| *node != leader);
        let others: Vec<Member> = others.collect();
        cluster.kill_node(others[0]);
        cluster.input(others[1], GroupInput::TransferLeadership);
        cluster.run(Span::from_seconds(4));
        let leader = cluster.leader().expect("a leader");
        let voters = cluster.nodes[&leader].replica.voters().to_vec();
        expect_that!(voters.len(), eq(3), "seed {seed}");
        expect_that!(voters.contains(&others[0]), eq(false), "seed {seed}");
        expect_that!(voters.contains(&others[1]), eq(false), "seed {seed}");
        cluster.kill_node(others[1]);
        let longest = longest_gap(&mut cluster, Span::from_seconds(1));
        expect_that!(longest, eq(Span::ZERO), "seed {seed}");
    }
}

#[gtest]
fn lost_replicas_are_replaced_by_nodes_of_other_zones() {
    let mut cluster = Cluster::formed(8, 4, 3);
    for round in 0..6 {
        let leader = cluster.leader().expect("a leader");
        let voters = cluster.nodes[&leader].replica.voters().to_vec();
        cluster.restart_node(voters[round % voters.len()]);
        cluster.run(Span::from_seconds(5));
        let leader = cluster.leader().expect("a leader");
        let voters = cluster.nodes[&leader].replica.voters();
        expect_that!(voters.len(), eq(3), "round {round}");
        let alive = voters
            .iter()
            .filter(|voter| cluster.nodes.contains_key(voter));
        expect_that!(alive.count(), eq(3), "round {round}");
        let mut zones: Vec<ZoneId> = voters
            .iter()
            .map(|voter| cluster.nodes[voter].zone)
            .collect();
        zones.sort();
        expect_that!(
            zones,
            eq(&vec![ZoneId(0), ZoneId(1), ZoneId(2)]),
            "round {round}"
        );
        expect_that!(cluster.all_served(), eq(true), "round {round}");
    }
    expect_that!(cluster.violations, is_empty());
}

#[gtest]
fn a_rebuilt_group_adopts_what_the_servers_hold() {
    let mut cluster = Cluster::formed(9, 0, 3);
    let old_record = cluster.record.clone().expect("a snapshot was stored");
    let position = Position(u64::MAX / 3);
    let holder = cluster
        .leader_routes()
        .and_then(|routes| routes.slice_at(position)?.owner);
    let to = ServerId((holder.expect("an owner").0 + 1) % 3);
    let leader = cluster.leader().expect("a leader");
    let operation = GroupOperation::MoveSlice { position, to };
    cluster.operate(leader, 1, "move-1", operation);
    cluster.run(Span::from_millis(400));
    let before = owners(&cluster);
    cluster.rebuild(old_record);
    cluster.run(Span::from_seconds(2));
    expect_that!(cluster.all_served(), eq(true));
    expect_that!(owners(&cluster) == before, eq(true));
    expect_that!(cluster.violations, is_empty());
}

#[gtest]
fn evidence_alone_removes_no_server_of_an_unpartitioned_service() {
    let settings = configuration(3, Partitioning::None);
    let mut cluster = Cluster::with(10, 0, settings, Protections::default());
    cluster.run(Span::from_seconds(2));
    let dispatcher = dispatcher_of(&cluster, ServerId(0));
    for _ in 0..20 {
        let evidence = GroupInput::ServerEvidence {
            server: ServerId(0),
            failures: 50,
        };
        cluster.input(dispatcher, evidence);
        cluster.run(Span::from_millis(200));
    }
    expect_that!(cluster.status(ServerId(0)), eq(ServerStatus::Active));
    lose_server(&mut cluster, ServerId(1));
    cluster.run(Span::from_seconds(6));
    expect_that!(cluster.status(ServerId(1)), eq(ServerStatus::Lost));
    cluster
        .servers
        .get_mut(&ServerId(1))
        .expect("it exists")
        .alive = true;
    cluster.run(Span::from_seconds(2));
    expect_that!(cluster.status(ServerId(1)), eq(ServerStatus::Active));
}

#[gtest]
fn without_the_lease_wait_two_servers_own_a_position() {
    let protections = Protections::without(Protection::LeaseWait);
    let mut found = 0;
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 0, 4, protections);
        cluster.run(Span::from_seconds(2));
        cluster.partition_server(ServerId(0));
        cluster.run(Span::from_seconds(2));
        found += usize::from(!cluster.violations.is_empty());
    }
    expect_that!(found, gt(0));
}

#[gtest]
fn dispatched_servers_carry_the_current_lease() {
    let cluster = Cluster::formed(11, 0, 3);
    let dispatcher = dispatcher_of(&cluster, ServerId(0));
    let moved = cluster
        .outputs
        .iter()
        .rev()
        .find_map(|(at, by, output)| match output {
            GroupOutput::DispatchChanged(entry) if *by == dispatcher => Some((*at, *entry)),
            _ => None,
        });
    let (at, entry) = moved.expect("leases are renewed");
    let local = cluster.local(dispatcher, at);
    let left = entry.lease_until.expect("it has a lease").since(local);
    expect_that!(left, all!(gt(Span::from_millis(200)), le(timing::LEASE)));
    expect_that!(entry.responsive, eq(true));
}

#[gtest]
fn an_idle_group_stays_within_the_control_traffic_budget() {
    let mut cluster = Cluster::formed(12, 0, 14);
    cluster.bytes_sent.clear();
    cluster.renewal_bytes = 0;
    let seconds = 10;
    cluster.run(Span::from_seconds(seconds));
    let per_server = cluster.renewal_bytes / seconds / 14;
    println!("renewals: {per_server} bytes/s per server, without framing");
    expect_that!(per_server, lt(1_300));
    let leader = cluster.leader().expect("a leader");
    for (member, bytes) in &cluster.bytes_sent {
        let rate = bytes / seconds;
        let role = if *member == leader {
            "leader"
        } else {
            "follower"
        };
        println!("idle {role}: {rate} bytes/s between nodes, without framing");
        expect_that!(rate, lt(4_000));
    }
}

#[gtest]
fn load_moves_off_an_overloaded_server() {
    let mut cluster = Cluster::formed(13, 0, 4);
    let heavy = owners(&cluster)
        .into_iter()
        .filter(|(_, held)| held.0 == Some(ServerId(0)));
    let heavy: Vec<PositionRange> = heavy.map(|(range, _)| range).collect();
    let load_of = |range: &PositionRange| {
        let overloaded = heavy.iter().any(|slice| slice.overlaps(range));
        let per_sixteenth = if overloaded { 40.0 } else { 4.0 };
        per_sixteenth * 16.0 * range.share()
    };
    let mut imbalances = Vec::new();
    for _ in 0..60 {
        let held = owners(&cluster);
        for server in (0..4).map(ServerId) {
            let ranges = held.iter().filter(|(_, owner)| owner.0 == Some(server));
            let load = |(range, _): (&PositionRange, _)| SliceLoad {
                range: *range,
                requests_per_second: load_of(range),
                hottest: None,
            };
            let loads = ranges.map(load).collect();
            let dispatcher = dispatcher_of(&cluster, server);
            cluster.input(dispatcher, GroupInput::SliceLoads { server, loads });
        }
        cluster.run(Span::from_seconds(1));
        let leader = cluster.leader().expect("a leader");
        imbalances.extend(cluster.nodes[&leader].replica.imbalance());
    }
    let first = imbalances.iter().copied().fold(0.0, f64::max);
    let last = *imbalances.last().expect("load was heard");
    println!("imbalance: {first:.2} at most, {last:.2} after a minute");
    expect_that!(first, gt(2.0));
    expect_that!(last, lt(1.6));
    expect_that!(cluster.violations, is_empty());
}

/// The leader may admit a run that has ended since. The next run must still get its own
/// admission.
#[gtest]
fn a_server_that_restarts_twice_is_admitted_again() {
    for pause in 0..40 {
        let mut cluster = Cluster::formed(pause, 0, 3);
        cluster.network.longest_delay = Span::from_millis(40);
        for _ in 0..2 {
            let local = cluster.server_local(ServerId(2));
            cluster.server(2).restart(local);
            cluster.run(Span::from_millis(10 * pause));
        }
        cluster.run(Span::from_seconds(3));
        expect_that!(cluster.unserved(), is_empty(), "pause {pause}");
        let restarted = cluster.server(2).run;
        let leader = cluster.leader().expect("a leader");
        let known = &cluster.nodes[&leader].replica.state().servers[&ServerId(2)];
        expect_that!(known.run, some(eq(restarted)), "pause {pause}");
    }
}

/// A voter that learns of its epoch late starts from a later snapshot in the record. It
/// must be sent the leader's state, or entries would be applied to a state that already
/// includes them.
#[gtest]
fn a_late_voter_applies_no_entry_twice() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 0, 4, Protections::default());
        let late = member(2);
        cluster.kill_node(late);
        cluster.run(Span::from_seconds(5));
        let record = cluster.record.clone().expect("a snapshot was stored");
        assert_that!(record.members.0, contains(eq(&late)));
        cluster.start_node(late, record);
        cluster.announce_live_nodes();
        cluster.run(Span::from_seconds(2));
        let leader = cluster.leader().expect("a leader");
        let of = |member: &Member| cluster.nodes[member].replica.state();
        expect_that!(of(&late) == of(&leader), eq(true), "seed {seed}");
        expect_that!(cluster.violations, is_empty());
    }
}
