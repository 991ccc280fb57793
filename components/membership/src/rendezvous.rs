//! Which node owns an engine, by rendezvous hashing (highest random weight) over
//! the live members.

use sha2::{Digest, Sha256};
use types::{EngineId, NodeId, ZoneId};

/// Upper bound of the mean number of engines in a group; engines are hashed to groups,
/// so single groups may be larger. A node that owns several engines of a zone knows
/// their load exactly and finds an idle one for a short prompt more often.
const MAX_MEAN_GROUP_ENGINES: usize = 8;

/// Node that engines may be assigned to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// Identifier that is hashed with the engine's.
    pub node: NodeId,
    /// Availability zone; nodes of the engine's own zone come first.
    pub zone: ZoneId,
}

/// Returns the owner of `engine`, which may also be the name of a group of engines: the
/// node with the highest weight in the availability zone of the engine, or in the fleet
/// when the zone has no node.
///
/// Nodes with the same view compute the same owner, and a node that joins or
/// leaves moves only its own share of the engines. Nodes with different views may
/// compute two owners; the fencing number decides between them.
#[must_use]
pub fn owner_of(engine: &EngineId, zone: &ZoneId, candidates: &[OwnerCandidate]) -> Option<NodeId> {
    let local = candidates
        .iter()
        .filter(|candidate| candidate.zone == *zone);
    highest_weight(engine, local).or_else(|| highest_weight(engine, candidates.iter()))
}

/// Returns the owner of `engine` when engines are assigned in groups.
///
/// `zone_engines` is the number of known engines in the zone. When it exceeds a
/// multiple of the group size, a new group takes its share of the engines from
/// the other groups, and the rest keep their group.
#[must_use]
pub fn group_owner_of(
    engine: &EngineId,
    zone: &ZoneId,
    zone_engines: usize,
    candidates: &[OwnerCandidate],
) -> Option<NodeId> {
    owner_of(&group_of(engine, zone, zone_engines), zone, candidates)
}

/// Returns the group of an engine, by rendezvous hashing over its zone's groups.
fn group_of(engine: &EngineId, zone: &ZoneId, zone_engines: usize) -> String {
    let groups = zone_engines.div_ceil(MAX_MEAN_GROUP_ENGINES).max(1);
    let names = (0..groups).map(|group| format!("{zone}/{group}"));
    let heaviest = names.max_by_key(|name| weight(engine, name));
    heaviest.unwrap_or_else(|| zone.clone())
}

/// Returns the candidate with the highest weight for `key`, an engine or a group.
fn highest_weight<'a>(
    key: &EngineId,
    candidates: impl Iterator<Item = &'a OwnerCandidate>,
) -> Option<NodeId> {
    candidates
        .max_by_key(|candidate| (weight(key, &candidate.node), &candidate.node))
        .map(|candidate| candidate.node.clone())
}

/// Returns the rendezvous weight of `candidate`, a node or the name of a group, for
/// `key`, an engine or the name of a group. SHA-256 is stable across builds and
/// machines, which the hasher of the standard library is not.
fn weight(key: &EngineId, candidate: &NodeId) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(key.as_bytes());
    digest.update([0]);
    digest.update(candidate.as_bytes());
    digest.finalize().into()
}
