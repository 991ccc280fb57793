//! Datagrams that are forged, replayed or meant for another are dropped.

use proptest::{prelude::*, test_runner::RngSeed};
use wire::{DatagramError, DatagramOpener, DatagramSealer, KeyRing, SealKey};

fn key(id: u32) -> SealKey {
    SealKey {
        id,
        secret: format!("secret number {id} of the fleet").into_bytes(),
    }
}

fn ring(signing: u32, others: &[u32]) -> KeyRing {
    KeyRing::new(key(signing), others.iter().map(|id| key(*id)).collect())
}

fn pair() -> (DatagramSealer, DatagramOpener) {
    let sealer = DatagramSealer::new(ring(1, &[]), "a".to_owned(), 10);
    let opener = DatagramOpener::new(ring(1, &[]), "b".to_owned());
    (sealer, opener)
}

#[test]
fn a_datagram_opens_once() {
    let (mut sealer, mut opener) = pair();
    let bytes = sealer.seal(Some(&"b".to_owned()), b"hello");
    let datagram = opener.open(&bytes).unwrap();
    assert_eq!((datagram.sender.as_str(), datagram.incarnation), ("a", 10));
    assert_eq!(datagram.body, b"hello");
    assert_eq!(opener.open(&bytes), Err(DatagramError::Replayed));
}

#[test]
fn one_meant_for_another_node_is_dropped() {
    let (mut sealer, mut opener) = pair();
    let bytes = sealer.seal(Some(&"c".to_owned()), b"hello");
    assert_eq!(opener.open(&bytes), Err(DatagramError::Forged));
    let bytes = sealer.seal(None, b"hello");
    assert!(opener.open(&bytes).is_ok());
}

#[test]
fn every_byte_is_authenticated() {
    let (mut sealer, mut opener) = pair();
    let bytes = sealer.seal(None, b"hello");
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(opener.open(&changed).is_err(), "byte {index}");
        assert!(opener.open(&bytes[..index]).is_err(), "cut at {index}");
    }
    assert!(opener.open(&bytes).is_ok());
}

#[test]
fn keys_rotate_by_overlap() {
    let to_b = Some("b".to_owned());
    let steps = [
        (ring(1, &[]), ring(1, &[2])),
        (ring(2, &[1]), ring(1, &[2])),
        (ring(2, &[1]), ring(2, &[1])),
        (ring(2, &[]), ring(2, &[1])),
    ];
    for (incarnation, (sending, receiving)) in steps.into_iter().enumerate() {
        let mut sealer = DatagramSealer::new(sending, "a".to_owned(), incarnation as u64);
        let mut opener = DatagramOpener::new(receiving, "b".to_owned());
        assert!(opener.open(&sealer.seal(to_b.as_ref(), b"x")).is_ok());
    }
    let mut retired = DatagramSealer::new(ring(1, &[]), "a".to_owned(), 9);
    let mut opener = DatagramOpener::new(ring(2, &[]), "b".to_owned());
    let bytes = retired.seal(to_b.as_ref(), b"x");
    assert_eq!(opener.open(&bytes), Err(DatagramError::UnknownKey));
}

#[test]
fn an_older_life_is_told_of_the_newer() {
    let (mut sealer, mut opener) = pair();
    opener.open(&sealer.seal(None, b"x")).unwrap();
    let mut behind = DatagramSealer::new(ring(1, &[]), "a".to_owned(), 9);
    let fault = opener.open(&behind.seal(None, b"x")).unwrap_err();
    let DatagramError::StaleIncarnation { sender, newest } = fault else {
        panic!("{fault:?}");
    };
    assert_eq!((sender.as_str(), newest), ("a", 10));
    behind.raise_incarnation(newest + 1);
    assert!(opener.open(&behind.seal(None, b"x")).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_datagram_is_taken_at_most_once(
        order in prop::collection::vec(0_usize..300, 1..600),
    ) {
        let (mut sealer, mut opener) = pair();
        let sealed: Vec<_> = (0..300).map(|_| sealer.seal(None, b"x")).collect();
        let mut taken = [false; 300];
        let mut newest = None;
        for index in order {
            let fresh = newest.is_none_or(|newest| index > newest);
            let accepted = opener.open(&sealed[index]).is_ok();
            prop_assert!(!(accepted && taken[index]));
            prop_assert!(accepted || !fresh, "a fresh datagram was dropped");
            taken[index] |= accepted;
            newest = newest.max(Some(index));
        }
    }
}
