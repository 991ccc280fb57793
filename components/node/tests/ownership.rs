//! Which engines a node owns, and how it learns of a change.

use membership::OwnerCandidate;
use node::fleet::EngineOwnership;

fn candidate(node: &str) -> OwnerCandidate {
    OwnerCandidate {
        node: node.to_owned(),
        zone: "duluth".to_owned(),
    }
}

/// A node that still uses an engine after another node has taken it over hides its
/// prompts from the other one when the engine crashes.
#[test]
fn a_change_of_the_live_nodes_is_signalled_at_once() {
    let ownership = EngineOwnership::new(&"node-1".to_owned(), &"duluth".to_owned());
    let changes = ownership.changes();
    assert!(changes.try_recv().is_err());

    ownership.set_candidates(vec![candidate("node-1"), candidate("node-2")]);
    assert!(changes.try_recv().is_ok());

    ownership.set_candidates(vec![candidate("node-1"), candidate("node-2")]);
    assert!(changes.try_recv().is_err());
}
