//! Datagrams that are forged, replayed or addressed to another node are dropped.

use proptest::{prelude::*, test_runner::RngSeed};
use wire::{DatagramError, DatagramSigner, DatagramVerifier, KeyRing, MacKey};

fn key(id: u32) -> MacKey {
    MacKey {
        id,
        secret: format!("secret number {id} of the fleet").into_bytes(),
    }
}

fn ring(signing: u32, others: &[u32]) -> KeyRing {
    KeyRing::new(key(signing), others.iter().map(|id| key(*id)).collect())
}

fn pair() -> (DatagramSigner, DatagramVerifier) {
    let signer = DatagramSigner::new(ring(1, &[]), "a".to_owned(), 10);
    let verifier = DatagramVerifier::new(ring(1, &[]), "b".to_owned());
    (signer, verifier)
}

#[test]
fn a_datagram_is_accepted_only_once() {
    let (mut signer, mut verifier) = pair();
    let bytes = signer.sign(Some(&"b".to_owned()), b"hello");
    let datagram = verifier.verify(&bytes).unwrap();
    assert_eq!((datagram.sender.as_str(), datagram.incarnation), ("a", 10));
    assert_eq!(datagram.body, b"hello");
    assert_eq!(verifier.verify(&bytes), Err(DatagramError::Replayed));
}

#[test]
fn a_datagram_addressed_to_another_node_is_dropped() {
    let (mut signer, mut verifier) = pair();
    let bytes = signer.sign(Some(&"c".to_owned()), b"hello");
    assert_eq!(verifier.verify(&bytes), Err(DatagramError::Forged));
    let bytes = signer.sign(None, b"hello");
    assert!(verifier.verify(&bytes).is_ok());
}

#[test]
fn any_changed_or_missing_byte_is_rejected() {
    let (mut signer, mut verifier) = pair();
    let bytes = signer.sign(None, b"hello");
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(verifier.verify(&changed).is_err(), "byte {index}");
        assert!(verifier.verify(&bytes[..index]).is_err(), "cut at {index}");
    }
    assert!(verifier.verify(&bytes).is_ok());
}

#[test]
fn a_rotation_with_overlapping_keys_drops_no_datagram() {
    let to_b = Some("b".to_owned());
    let steps = [
        (ring(1, &[]), ring(1, &[2])),
        (ring(2, &[1]), ring(1, &[2])),
        (ring(2, &[1]), ring(2, &[1])),
        (ring(2, &[]), ring(2, &[1])),
    ];
    for (incarnation, (sending, receiving)) in steps.into_iter().enumerate() {
        let mut signer = DatagramSigner::new(sending, "a".to_owned(), incarnation as u64);
        let mut verifier = DatagramVerifier::new(receiving, "b".to_owned());
        assert!(verifier.verify(&signer.sign(to_b.as_ref(), b"x")).is_ok());
    }
    let mut retired = DatagramSigner::new(ring(1, &[]), "a".to_owned(), 9);
    let mut verifier = DatagramVerifier::new(ring(2, &[]), "b".to_owned());
    let bytes = retired.sign(to_b.as_ref(), b"x");
    assert_eq!(verifier.verify(&bytes), Err(DatagramError::UnknownKey));
}

#[test]
fn a_stale_incarnation_is_rejected_with_the_newest_one() {
    let (mut signer, mut verifier) = pair();
    verifier.verify(&signer.sign(None, b"x")).unwrap();
    let mut stale = DatagramSigner::new(ring(1, &[]), "a".to_owned(), 9);
    let fault = verifier.verify(&stale.sign(None, b"x")).unwrap_err();
    let DatagramError::StaleIncarnation { sender, newest } = fault else {
        panic!("{fault:?}");
    };
    assert_eq!((sender.as_str(), newest), ("a", 10));
    stale.raise_incarnation(newest + 1);
    assert!(verifier.verify(&stale.sign(None, b"x")).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_datagram_is_accepted_at_most_once(
        order in prop::collection::vec(0_usize..300, 1..600),
    ) {
        let (mut signer, mut verifier) = pair();
        let signed: Vec<_> = (0..300).map(|_| signer.sign(None, b"x")).collect();
        let mut seen = [false; 300];
        let mut newest = None;
        for index in order {
            let is_newest = newest.is_none_or(|newest| index > newest);
            let accepted = verifier.verify(&signed[index]).is_ok();
            prop_assert!(!(accepted && seen[index]));
            prop_assert!(accepted || !is_newest, "a datagram newer than all before was dropped");
            seen[index] |= accepted;
            newest = newest.max(Some(index));
        }
    }
}
