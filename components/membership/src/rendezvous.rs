//! Which node owns an engine: highest random weight over the live members.

use sha2::{Digest, Sha256};
use types::{EngineId, NodeId, ZoneId};

/// A node that may own engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The node that owns `engine`: the one of highest weight in the engine's
/// availability zone, or in the fleet when the zone has none.
///
/// Equal views give equal owners, and a node that comes or goes moves only
/// its own share of the engines. Differing views may name two owners; fencing
/// numbers settle between them.
#[must_use]
pub fn owner_of(engine: &EngineId, zone: &ZoneId, candidates: &[OwnerCandidate]) -> Option<NodeId> {
    let local = candidates
        .iter()
        .filter(|candidate| candidate.zone == *zone);
    heaviest(engine, local).or_else(|| heaviest(engine, candidates.iter()))
}

fn heaviest<'a>(
    engine: &EngineId,
    candidates: impl Iterator<Item = &'a OwnerCandidate>,
) -> Option<NodeId> {
    candidates
        .max_by_key(|candidate| (weight(engine, &candidate.node), &candidate.node))
        .map(|candidate| candidate.node.clone())
}

/// A hash that is the same in every build and on every machine.
fn weight(engine: &EngineId, node: &NodeId) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(engine.as_bytes());
    digest.update([0]);
    digest.update(node.as_bytes());
    digest.finalize().into()
}
