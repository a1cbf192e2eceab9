//! A node keeps running whatever datagrams and responses contain.

use crate::fixture::{Fixture, KEYED, SERVICE, ms, node_address, store_without_owners};
use ledgelead_http::Response;
use ledgelead_router::evacuation::EvacuationsEntry;
use ledgelead_router::identity::ServiceName;
use ledgelead_router::io::Input;
use ledgelead_router::peers::{
    AgedEntry, ChangeSpan, ChangedAssignment, ChangedInstance, ChangedNode, ConfigurationChange,
    DigestEntry, EndEntry, Heartbeat, InstanceEntry, KeyReport, LimitsEntry, NodeEntry,
    OpenRequests, PeerAddress, PeerMessage, QuotaCountsEntry, QuotaShareEntry, RelayedKind,
    RequestEntry, RouteEntry, ServiceEntry, TargetEntry, WorkReport, ZoneSum, decode, encode,
};
use ledgelead_router::requests::OverloadedKey;
use ledgelead_types::codec::{Bytes, List, Text};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Small numbers, which match what the node knows, and the limits of the range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0..14u64,
        2 => Just(u64::MAX),
        1 => Just(u64::MAX - 1),
        1 => Just(1u64 << 53),
        1 => any::<u64>(),
    ]
}

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![0..9u32, Just(u32::MAX), any::<u32>()]
}

fn short() -> impl Strategy<Value = u16> {
    prop_oneof![0..9u16, Just(u16::MAX), any::<u16>()]
}

fn float() -> impl Strategy<Value = f64> {
    let special = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::MAX,
        -1.0,
        0.0,
    ];
    prop_oneof![
        prop::sample::select(special.to_vec()),
        any::<f64>(),
        Just(1.0)
    ]
}

fn text() -> impl Strategy<Value = Text> {
    let known = vec![
        "i-1",
        "i-2",
        "i-3",
        "i-9",
        "node-000",
        "node-001",
        "node-009",
        "a",
        "b",
        "",
        "jobs",
        "records",
        "h",
        "/jobs/",
        "10.0.1.1:8000",
        "10.0.0.1:7000",
        "0.0.0.0:0",
        "[::1]:0",
        "x\r\ny: z",
    ];
    prop_oneof![
        8 => prop::sample::select(known).prop_map(Text::from),
        1 => ".{0,20}".prop_map(Text::from),
    ]
}

/// Hashes of names that the node knows, and of others.
fn hash() -> impl Strategy<Value = u64> {
    let known = ["i-1", "i-2", "i-3", "i-4", SERVICE, KEYED, "a"];
    let known = known.map(|name| ServiceName::from(name).stable_hash());
    prop_oneof![4 => prop::sample::select(known.to_vec()), 1 => number()]
}

fn quota_counts() -> impl Strategy<Value = QuotaCountsEntry> {
    let counts = (small(), small(), small(), small());
    (number(), counts).prop_map(
        |(tenant, (arrived, admitted, recent_arrived, recent_admitted))| QuotaCountsEntry {
            tenant,
            arrived,
            admitted,
            recent_arrived,
            recent_admitted,
        },
    )
}

fn quota_share() -> impl Strategy<Value = QuotaShareEntry> {
    (number(), short(), short()).prop_map(|(tenant, current, steady)| QuotaShareEntry {
        tenant,
        current,
        steady,
    })
}

fn short_list<T: std::fmt::Debug>(
    item: impl Strategy<Value = T>,
) -> impl Strategy<Value = List<T>> {
    prop::collection::vec(item, 0..4).prop_map(List)
}

fn span() -> impl Strategy<Value = ChangeSpan> {
    let part = prop_oneof![4 => Just((0u8, 1u8)), 1 => any::<(u8, u8)>()];
    (number(), number(), part).prop_map(|(base, revision, (part, parts))| ChangeSpan {
        base,
        revision,
        part,
        parts,
    })
}

fn instance_change() -> impl Strategy<Value = ChangedInstance> {
    let entry = (text(), text(), text(), small(), any::<bool>(), small()).prop_map(
        |(service, address, zone, slots, draining, warmup_left_ms)| InstanceEntry {
            service,
            address,
            zone,
            slots,
            draining,
            warmup_left_ms,
        },
    );
    (text(), prop::option::of(entry)).prop_map(|(id, entry)| ChangedInstance { id, entry })
}

fn node_change() -> impl Strategy<Value = ChangedNode> {
    let entry = (number(), text(), text(), small(), number()).prop_map(
        |(incarnation, zone, address, millicores, revision)| NodeEntry {
            incarnation,
            zone,
            address,
            millicores,
            revision,
        },
    );
    (text(), prop::option::of(entry)).prop_map(|(node, entry)| ChangedNode { node, entry })
}

fn limits() -> impl Strategy<Value = LimitsEntry> {
    (number(), number(), number(), number()).prop_map(|(head, body, head_timeout, idle)| {
        LimitsEntry {
            max_head_bytes: head,
            max_body_bytes: body,
            head_timeout_ms: head_timeout,
            idle_timeout_ms: idle,
        }
    })
}

fn route() -> impl Strategy<Value = RouteEntry> {
    let target = (text(), float()).prop_map(|(service, weight)| TargetEntry { service, weight });
    let names = (
        Just(Text::from(SERVICE)),
        Just(Text::from("h")),
        Just(Text::from("/jobs/")),
    );
    (
        names,
        short_list(target),
        any::<bool>(),
        number(),
        number(),
        small(),
        small(),
    )
        .prop_map(
            |(
                (name, host, prefix),
                targets,
                idempotent,
                timeout_ms,
                latency,
                attempts,
                priority,
            )| {
                RouteEntry {
                    name,
                    host,
                    prefix,
                    targets,
                    idempotent,
                    timeout_ms,
                    target_latency_us: latency,
                    max_attempts: attempts,
                    priority,
                }
            },
        )
}

fn configuration_change() -> impl Strategy<Value = ConfigurationChange> {
    let service = (text(), any::<bool>(), small(), float()).prop_map(
        |(name, sharded, max_connections, cold_rate)| ServiceEntry {
            name,
            sharded,
            max_connections,
            cold_rate,
        },
    );
    prop_oneof![
        4 => route().prop_map(ConfigurationChange::Route),
        1 => text().prop_map(ConfigurationChange::RouteRemoved),
        4 => service.prop_map(ConfigurationChange::Service),
        1 => text().prop_map(ConfigurationChange::ServiceRemoved),
    ]
}

fn heartbeat() -> impl Strategy<Value = PeerMessage> {
    let overload = (hash(), short(), short()).prop_map(|(service, key, admitted)| OverloadedKey {
        service,
        key,
        admitted_permille: admitted,
    });
    let evacuations = (number(), short_list(hash()))
        .prop_map(|(revision, zones)| EvacuationsEntry { revision, zones });
    let numbers = (
        number(),
        number(),
        number(),
        number(),
        number(),
        number(),
        number(),
    );
    let ages = (short(), short(), short(), any::<bool>());
    (numbers, ages, short_list(overload), evacuations).prop_map(
        |(numbers, ages, overloads, evacuations)| {
            let (epoch, sent_ms, revision, configuration, instances, nodes, evidence) = numbers;
            let (age_ms, instances_age_ms, served_for_ms, store_serves) = ages;
            PeerMessage::CoordinatorHeartbeat(Heartbeat {
                epoch,
                sent_ms,
                store_serves,
                record_revision: revision,
                configuration_version: configuration,
                instances_revision: instances,
                nodes_revision: nodes,
                age_ms,
                instances_age_ms,
                served_for_ms,
                overloads,
                evacuations,
                evidence_checksum: evidence,
            })
        },
    )
}

fn changes() -> impl Strategy<Value = PeerMessage> {
    let assignment = (hash(), short(), short(), text(), number()).prop_map(
        |(service, first, last, owner, fence)| ChangedAssignment {
            service,
            first,
            last,
            owner,
            fence,
        },
    );
    let from_start = prop_oneof![
        span(),
        Just(ChangeSpan {
            base: 0,
            revision: 1 << 52,
            part: 0,
            parts: 1
        }),
        Just(ChangeSpan {
            base: 1,
            revision: 2,
            part: 0,
            parts: 1
        }),
    ];
    prop_oneof![
        (from_start, short(), short_list(instance_change())).prop_map(
            |(span, unconfirmed_ms, changes)| {
                PeerMessage::InstancesChanged {
                    span,
                    unconfirmed_ms,
                    changes,
                }
            }
        ),
        (span(), short(), short_list(instance_change())).prop_map(
            |(span, unconfirmed_ms, instances)| {
                PeerMessage::InstancesListed {
                    span,
                    unconfirmed_ms,
                    instances,
                }
            }
        ),
        (number(), short_list(quota_counts())).prop_map(|(incarnation, counts)| {
            PeerMessage::QuotaReport {
                incarnation,
                counts,
            }
        }),
        number().prop_map(|revision| PeerMessage::OwnershipAckRequest { revision }),
        number().prop_map(|revision| PeerMessage::OwnershipAck { revision }),
        (number(), short_list(quota_share()))
            .prop_map(|(epoch, shares)| PeerMessage::QuotaShares { epoch, shares }),
        (span(), short_list(node_change()))
            .prop_map(|(span, changes)| PeerMessage::NodesChanged { span, changes }),
        (span(), limits(), short_list(configuration_change())).prop_map(
            |(span, limits, changes)| {
                PeerMessage::ConfigurationChanged {
                    span,
                    limits,
                    changes,
                }
            }
        ),
        (span(), short_list(assignment))
            .prop_map(|(span, changes)| PeerMessage::OwnershipChanged { span, changes }),
        (number(), number(), text(), number(), number(), number()).prop_map(
            |(base, revision, node, incarnation, first_fence, digest)| {
                PeerMessage::CoordinatorTookOver {
                    base,
                    revision,
                    node,
                    incarnation,
                    first_fence,
                    digest,
                }
            }
        ),
    ]
}

fn reports() -> impl Strategy<Value = PeerMessage> {
    let keys =
        (hash(), short_list(short())).prop_map(|(service, keys)| KeyReport { service, keys });
    let work = (hash(), short(), small()).prop_map(|(instance, answered, busy_ms)| WorkReport {
        instance,
        answered,
        busy_ms,
    });
    let open = (hash(), short(), any::<u8>(), small(), short()).prop_map(
        |(instance, count, answered, busy_ms, slowness)| OpenRequests {
            instance,
            count,
            answered,
            busy_ms,
            slowness,
        },
    );
    let digest =
        (hash(), short(), short(), short()).prop_map(|(instance, open, service_ms, slowness)| {
            DigestEntry {
                instance,
                open,
                service_ms,
                slowness,
            }
        });
    let sum = (hash(), short()).prop_map(|(instance, open)| ZoneSum { instance, open });
    prop_oneof![
        (number(), number(), short_list(keys), short_list(work)).prop_map(
            |(configuration, nodes, reports, work)| PeerMessage::LoadReport {
                configuration_version: configuration,
                nodes_revision: nodes,
                reports,
                work,
            }
        ),
        (number(), short(), short_list(open)).prop_map(|(incarnation, idle_limit_ms, changes)| {
            PeerMessage::OpenRequestCounts {
                incarnation,
                idle_limit_ms,
                changes,
            }
        }),
        (any::<u8>(), short(), short_list(digest)).prop_map(|(zones, idle_limit_ms, entries)| {
            PeerMessage::LoadDigest {
                zones,
                idle_limit_ms,
                entries,
            }
        }),
        short_list(sum).prop_map(|sums| PeerMessage::ZoneSums { sums }),
    ]
}

fn evidence() -> impl Strategy<Value = PeerMessage> {
    let aged = || {
        (hash(), small()).prop_map(|(of, age_ms)| AgedEntry {
            subject: of,
            age_ms,
        })
    };
    let end =
        (hash(), hash(), small(), any::<bool>()).prop_map(|(caller, instance, age_ms, settled)| {
            EndEntry {
                caller,
                instance,
                age_ms,
                settled,
            }
        });
    let request = (
        any::<[u64; 2]>(),
        text(),
        short_list(end),
        short_list(aged()),
        short_list(aged()),
    )
        .prop_map(|(digest, path, ends, cleared, quarantined)| RequestEntry {
            digest,
            path,
            ends,
            cleared,
            quarantined,
        });
    (any::<bool>(), short_list(aged()), short_list(request)).prop_map(
        |(wants_reply, alive, requests)| PeerMessage::Evidence {
            wants_reply,
            alive,
            requests,
        },
    )
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let kinds = vec![
        RelayedKind::Instances,
        RelayedKind::Nodes,
        RelayedKind::Ownership,
        RelayedKind::Configuration,
    ];
    let plain = prop_oneof![
        3 => heartbeat(),
        6 => changes(),
        4 => reports(),
        1 => evidence(),
        1 => (prop::sample::select(kinds), number())
            .prop_map(|(kind, since)| PeerMessage::ResyncRequest { kind, since }),
        1 => number().prop_map(|epoch| PeerMessage::CoordinatorResigned { epoch }),
    ];
    let wrap = (any::<u8>(), any::<u32>(), any::<u16>(), any::<bool>());
    (plain, wrap).prop_map(|(message, (draw, ip, port, to_zone))| match draw % 8 {
        0 => PeerMessage::Forwarded {
            origin: PeerAddress { ip, port },
            to_zone,
            message: Bytes(encode(&message).bytes.to_vec()),
        },
        _ => message,
    })
}

/// Something that happens to a node.
#[derive(Clone, Debug)]
enum NodeInput {
    Message(PeerMessage),
    Bytes(Vec<u8>),
    Load(String),
    Wait(u64),
}

fn node_input() -> impl Strategy<Value = NodeInput> {
    let load = prop::collection::vec(prop_oneof![small().prop_map(u64::from), number()], 0..5);
    let load = load.prop_map(|numbers| {
        let texts: Vec<String> = numbers.iter().map(u64::to_string).collect();
        texts.join(",")
    });
    prop_oneof![
        8 => message().prop_map(NodeInput::Message),
        1 => prop::collection::vec(any::<u8>(), 0..100).prop_map(NodeInput::Bytes),
        2 => prop_oneof![load, ".{0,16}"].prop_map(NodeInput::Load),
        2 => (1..900u64).prop_map(NodeInput::Wait),
    ]
}

fn apply_input(fixture: &mut Fixture, node_input: NodeInput) {
    match node_input {
        NodeInput::Message(message) => {
            let bytes = encode(&message).bytes.to_vec();
            let from = node_address(1);
            fixture.step(Input::Datagram { from, bytes });
        }
        NodeInput::Bytes(bytes) => {
            let from = node_address(1);
            fixture.step(Input::Datagram { from, bytes });
        }
        NodeInput::Load(load) => {
            fixture.request(SERVICE, None);
            fixture.request(KEYED, Some(7));
            for sent in std::mem::take(&mut fixture.attempts) {
                let mut response = Response::new(200, "");
                response.headers.push("signature", "s");
                response.headers.push("load", load.clone());
                fixture.answer(sent.exchange, response);
            }
        }
        NodeInput::Wait(time) => fixture.run_until(fixture.now + ms(time)),
    }
}

/// Number of cases of each property, which `PROPTEST_CASES` overrides.
fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(400),
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn messages_survive_an_encoding_round_trip(message in message()) {
        let bytes = encode(&message).bytes;
        let again = encode(&decode(&bytes).expect("a message")).bytes;
        prop_assert_eq!(bytes, again);
    }

    #[test]
    fn node_keeps_running_after_arbitrary_messages_and_loads(
        coordinates in any::<bool>(),
        inputs in prop::collection::vec(node_input(), 1..10),
    ) {
        let mut fixture = Fixture::new(store_without_owners());
        fixture.run_until(ms(if coordinates { 3_000 } else { 600 }));
        for node_input in inputs {
            apply_input(&mut fixture, node_input);
        }
        apply_input(&mut fixture, NodeInput::Load("1,1,4".to_owned()));
        fixture.run_until(fixture.now + ms(2_500));
        apply_input(&mut fixture, NodeInput::Load("1,1,4".to_owned()));
    }
}
