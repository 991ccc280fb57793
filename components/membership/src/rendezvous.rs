//! Which node owns an engine: highest random weight over the live members.

use sha2::{Digest, Sha256};
use types::{EngineId, NodeId, ZoneId};

/// Engines dealt together: a node that owns several of a zone sees their load
/// exactly and finds one free for a short prompt more often.
const GROUP_ENGINES: usize = 8;

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

/// The node that owns `engine` when engines are dealt in groups.
///
/// `zone_engines` is the number of engines known in its availability zone. As
/// it grows past a multiple of the group's size, a group's share of the engines
/// moves to a new group and the rest stay.
#[must_use]
pub fn group_owner_of(
    engine: &EngineId,
    zone: &ZoneId,
    zone_engines: usize,
    candidates: &[OwnerCandidate],
) -> Option<NodeId> {
    owner_of(&group_of(engine, zone, zone_engines), zone, candidates)
}

/// The group of an engine, by highest random weight over its zone's groups.
fn group_of(engine: &EngineId, zone: &ZoneId, zone_engines: usize) -> String {
    let groups = zone_engines.div_ceil(GROUP_ENGINES).max(1);
    let names = (0..groups).map(|group| format!("{zone}/{group}"));
    let heaviest = names.max_by_key(|name| weight(engine, name));
    heaviest.unwrap_or_else(|| zone.clone())
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
