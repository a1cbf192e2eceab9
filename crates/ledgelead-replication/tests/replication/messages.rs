//! The wire format: sizes, and decoding of malformed input.

use ledgelead_replication::*;
use ledgelead_types::codec::{decode, encode};
use ledgelead_types::{Bytes, Epoch, Incarnation, List, Revision, Span, Term, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Maximum size in bytes of a heartbeat or its reply, given the budget for control traffic.
const HEARTBEAT_BYTES: usize = 70;
/// The reading of a clock after 30 days.
const MONTH: Time = Time(30 * 24 * 3_600 * 1_000_000);

fn message(body: Body) -> ReplicationMessage {
    ReplicationMessage {
        epoch: Epoch(1_000),
        term: Term(100_000),
        to: Incarnation(u64::MAX),
        body,
    }
}

fn append(entries: Vec<Entry>) -> ReplicationMessage {
    message(Body::Append(Append {
        sent: MONTH,
        previous: Revision(1_000_000_000),
        previous_term: Term(100_000),
        commit: Revision(1_000_000_000),
        delegation: Some(Delegation {
            stamp: MONTH,
            span: Span::from_millis(240),
        }),
        lazy: false,
        entries: List(entries),
    }))
}

#[test]
fn heartbeats_are_small() {
    let heartbeat = encode(&append(Vec::new())).len();
    let answer = encode(&message(Body::AppendReply(AppendReply {
        sent: MONTH,
        stamp: MONTH,
        lazy: false,
        outcome: AppendOutcome::Matched(Matched {
            revision: Revision(1_000_000_000),
        }),
    })))
    .len();
    println!("heartbeat {heartbeat} bytes, answer {answer} bytes");
    assert!(heartbeat < HEARTBEAT_BYTES && answer < HEARTBEAT_BYTES);
}

fn fixed(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(7))]

    /// Random bytes are either rejected or decode to a message that survives re-encoding;
    /// none make the decoder panic.
    #[test]
    fn random_bytes_decode_safely(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(message) = decode::<ReplicationMessage>(&bytes) {
            let again = decode::<ReplicationMessage>(&encode(&message));
            prop_assert_eq!(again, Ok(message));
        }
    }

    /// The same for valid messages with one byte changed or the end truncated.
    #[test]
    fn damaged_messages_decode_safely(
        command in prop::collection::vec(any::<u8>(), 0..40),
        place: prop::sample::Index,
        value: u8,
        cut: bool,
    ) {
        let payload = Payload::Command(Bytes(command));
        let whole = append(vec![Entry { term: Term(3), payload }]);
        let mut bytes = encode(&whole);
        prop_assert_eq!(decode::<ReplicationMessage>(&bytes), Ok(whole));
        let place = place.index(bytes.len());
        if cut {
            bytes.truncate(place);
            prop_assert!(decode::<ReplicationMessage>(&bytes).is_err());
        } else {
            bytes[place] = value;
            if let Ok(message) = decode::<ReplicationMessage>(&bytes) {
                prop_assert_eq!(decode(&encode(&message)), Ok(message));
            }
        }
    }
}
