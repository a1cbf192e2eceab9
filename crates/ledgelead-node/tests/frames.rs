//! The frame parser against arbitrary, incomplete and modified bytes.

use googletest::prelude::*;
use ledgelead_node::peer::frame::*;
use ledgelead_types::NodeId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CHALLENGE: Challenge = [7; CHALLENGE_BYTES];
const SENDER: NodeId = NodeId(1);
const RECEIVER: NodeId = NodeId(2);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn key() -> ClusterKey {
    ClusterKey::new(b"a key for tests only")
}

/// A sender's session after its hello, and the bytes of the hello.
fn sender() -> (Session, Vec<u8>) {
    let mut session = Session::new(key(), CHALLENGE, SENDER, RECEIVER);
    let mut bytes = Vec::new();
    session.seal_hello(&mut bytes);
    (session, bytes)
}

fn receiver(hello: &[u8]) -> Session {
    read_hello(hello, &key(), CHALLENGE, RECEIVER)
        .expect("a right hello")
        .expect("a whole hello")
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_refused_or_incomplete(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = read_greeting(&bytes);
        if let Ok(Some(_)) = read_hello(&bytes, &key(), CHALLENGE, RECEIVER) {
            prop_assert!(false, "a hello was forged");
        }
        let (_, hello) = sender();
        if let Ok(Some(_)) = receiver(&hello).open_frame(&bytes) {
            prop_assert!(false, "a frame was forged");
        }
    }

    #[test]
    fn frames_open_in_order_and_only_when_complete(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..5),
        cut in any::<prop::sample::Index>(),
    ) {
        let (mut sealing, hello) = sender();
        let mut opening = receiver(&hello);
        for payload in &payloads {
            let mut bytes = Vec::new();
            sealing.seal_frame(payload, &mut bytes).expect("short enough");
            let part = &bytes[..cut.index(bytes.len())];
            prop_assert_eq!(opening.open_frame(part), Ok(None));
            let opened = opening.open_frame(&bytes).expect("right").expect("whole");
            prop_assert_eq!(opened.payload, payload.as_slice());
            prop_assert_eq!(opened.consumed, bytes.len());
            prop_assert_eq!(opening.open_frame(&bytes), Err(FrameError::BadTag));
        }
    }

    #[test]
    fn every_changed_bit_is_detected(
        payload in prop::collection::vec(any::<u8>(), 0..100),
        position in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let (mut sealing, hello) = sender();
        let mut opening = receiver(&hello);
        let mut bytes = Vec::new();
        sealing.seal_frame(&payload, &mut bytes).expect("short enough");
        bytes[position.index(HEADER_BYTES + payload.len())] ^= 1 << bit;
        prop_assert!(!matches!(opening.open_frame(&bytes), Ok(Some(_))));
    }
}

#[gtest]
fn frames_for_another_key_receiver_or_connection_are_refused() {
    let (_, hello) = sender();
    let other_key = ClusterKey::new(b"another key of tests");
    let with_other_key = read_hello(&hello, &other_key, CHALLENGE, RECEIVER);
    expect_that!(with_other_key.err(), some(eq(FrameError::BadTag)));
    let with_other_receiver = read_hello(&hello, &key(), CHALLENGE, NodeId(3));
    expect_that!(
        with_other_receiver.err(),
        some(eq(FrameError::WrongReceiver))
    );
    let replayed = read_hello(&hello, &key(), [8; CHALLENGE_BYTES], RECEIVER);
    expect_that!(replayed.err(), some(eq(FrameError::BadTag)));
}

#[gtest]
fn excessive_lengths_are_refused_before_the_payload_arrives() {
    let (_, hello) = sender();
    let huge = u32::MAX.to_le_bytes();
    let refused = receiver(&hello).open_frame(&huge).err();
    let length = u32::MAX as usize;
    expect_that!(refused, some(eq(FrameError::TooLong { length })));
}
