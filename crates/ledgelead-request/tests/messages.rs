//! Messages between gateways and dispatchers survive a round trip, and damaged ones are
//! rejected without a panic.

use ledgelead_request::message::*;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::dispatch::IdempotencyState;
use ledgelead_types::request::{AttemptId, OwnershipClaim};
use ledgelead_types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn attempt() -> impl Strategy<Value = AttemptId> {
    (any::<u64>(), any::<u8>()).prop_map(|(request, number)| AttemptId {
        request: RequestId(request),
        number,
    })
}

fn selector() -> impl Strategy<Value = ServerSelector> {
    let any_server = any::<Option<u32>>().prop_map(|avoid| ServerSelector::Any {
        avoid: avoid.map(ServerId),
    });
    let owner = (any::<u32>(), any::<u64>(), any::<u64>()).prop_map(|(server, position, term)| {
        let token = FencingToken {
            term: Term(term),
            ..FencingToken::default()
        };
        ServerSelector::Owner {
            server: ServerId(server),
            claim: OwnershipClaim {
                position: Position(position),
                token,
            },
        }
    });
    prop_oneof![any_server, owner]
}

fn request() -> impl Strategy<Value = DispatchRequest> {
    let incarnation = any::<u64>().prop_map(Incarnation);
    let acquire = (
        incarnation,
        attempt(),
        selector(),
        any::<Option<u64>>(),
        any::<bool>(),
    )
        .prop_map(|(gateway, attempt, selector, key, hedge)| {
            DispatchRequest::Acquire(Acquire {
                gateway,
                attempt,
                group: GroupId::default(),
                selector,
                tier: TierId(3),
                caller: None,
                deadline: Span::from_seconds(1),
                idempotency_key: key.map(IdempotencyKey),
                hedge,
            })
        });
    let release = (attempt(), any::<u64>()).prop_map(|(attempt, span)| {
        DispatchRequest::Release(Release {
            gateway: Incarnation(1),
            attempt,
            end: PermitEnd::Busy,
            service_time: Span(span),
        })
    });
    prop_oneof![acquire, release]
}

fn reply() -> impl Strategy<Value = DispatchReply> {
    let gateway = Incarnation(1);
    prop_oneof![
        (attempt(), any::<u32>()).prop_map(move |(attempt, server)| DispatchReply::Permit {
            gateway,
            attempt,
            server: ServerId(server),
            waited: Span::ZERO,
        }),
        (attempt(), any::<u64>()).prop_map(move |(attempt, span)| DispatchReply::Refuse {
            gateway,
            attempt,
            reason: NotRunReason::Overloaded,
            retry_after: Span(span),
        }),
        attempt().prop_map(move |attempt| DispatchReply::Duplicate {
            gateway,
            attempt,
            state: IdempotencyState::Unknown,
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn messages_survive_a_round_trip(request in request(), reply in reply()) {
        prop_assert_eq!(decode::<DispatchRequest>(&encode(&request)), Ok(request));
        prop_assert_eq!(decode::<DispatchReply>(&encode(&reply)), Ok(reply));
    }

    #[test]
    fn truncated_messages_are_rejected(request in request(), reply in reply(), part in 0.0..1.0_f64) {
        let bytes = encode(&request);
        let cut = (bytes.len() as f64 * part) as usize;
        prop_assert!(decode::<DispatchRequest>(&bytes[..cut]).is_err());
        let bytes = encode(&reply);
        let cut = (bytes.len() as f64 * part) as usize;
        prop_assert!(decode::<DispatchReply>(&bytes[..cut]).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(request) = decode::<DispatchRequest>(&bytes) {
            prop_assert_eq!(encode(&request).len(), bytes.len());
        }
        if let Ok(reply) = decode::<DispatchReply>(&bytes) {
            prop_assert_eq!(encode(&reply).len(), bytes.len());
        }
    }
}
