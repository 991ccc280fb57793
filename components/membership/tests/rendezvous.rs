//! Engines are dealt to nodes evenly, within their zone, and move little.

use std::collections::BTreeMap;

use membership::{OwnerCandidate, owner_of};

fn candidates(count: usize) -> Vec<OwnerCandidate> {
    (0..count)
        .map(|index| OwnerCandidate {
            node: format!("node-{index}"),
            zone: format!("zone-{}", index % 10),
        })
        .collect()
}

#[test]
fn an_engine_stays_in_its_zone_while_the_zone_has_a_node() {
    let nodes = candidates(20);
    for index in 0..200 {
        let zone = format!("zone-{}", index % 10);
        let owner = owner_of(&format!("engine-{index}"), &zone, &nodes).unwrap();
        let home = nodes.iter().find(|node| node.node == owner).unwrap();
        assert_eq!(home.zone, zone);
    }
    assert!(owner_of(&"engine-1".to_owned(), &"elsewhere".to_owned(), &nodes).is_some());
    assert_eq!(
        owner_of(&"engine-1".to_owned(), &"zone-1".to_owned(), &[]),
        None
    );
}

#[test]
fn shares_are_even_and_a_lost_node_moves_only_its_own() {
    let nodes = candidates(380);
    let remaining = &nodes[1..];
    let mut shares: BTreeMap<String, u32> = BTreeMap::new();
    for index in 0..3_500 {
        let engine = format!("engine-{index}");
        let zone = format!("zone-{}", index % 10);
        let owner = owner_of(&engine, &zone, &nodes).unwrap();
        if owner != "node-0" {
            assert_eq!(
                owner_of(&engine, &zone, remaining).as_ref(),
                Some(&owner),
                "{engine} moved although its owner stayed"
            );
        }
        *shares.entry(owner).or_default() += 1;
    }
    // 9.2 engines a node on average; a Poisson count passes 27 once in a million.
    assert!(shares.values().all(|share| *share <= 27), "{shares:?}");
    assert!(shares.len() >= 375, "{} nodes own engines", shares.len());
}

#[test]
fn order_of_the_candidates_does_not_matter() {
    let nodes = candidates(30);
    let mut reversed = nodes.clone();
    reversed.reverse();
    for index in 0..100 {
        let engine = format!("engine-{index}");
        let zone = "zone-3".to_owned();
        assert_eq!(
            owner_of(&engine, &zone, &nodes),
            owner_of(&engine, &zone, &reversed)
        );
    }
}
