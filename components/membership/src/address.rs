//! Address answers: which nodes a caller is told to connect to.
//!
//! The first choice of an answer comes from the organisation's shard of the nearest
//! nodes, those of the caller's zone if possible: it is the least loaded of a few that
//! are chosen at random. The fallbacks come from all candidates.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{NodeId, OrganisationId, RegionId, TokenCount, ZoneId};

/// Tuning parameters of address answers.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressSettings {
    /// Longest time a caller may use an answer. A draining node must keep serving
    /// callers for at least this long: see `DrainSettings::answer_lifetime`.
    pub lifetime: Duration,
    /// Shortest lifetime of an answer, as a fraction of `lifetime` from 0 to 1.
    pub min_lifetime_fraction: f64,
    /// Maximum number of fallback nodes in each answer, after the first choice. One of
    /// another zone is added even at 0, if there is one.
    pub alternatives: usize,
    /// Load, as a fraction of capacity, from which a node becomes the first choice only
    /// when no candidate is below it; fallbacks below it are preferred too.
    pub spillover_load: f64,
    /// Minimum number of nodes in the shard of one organisation. The shard is taken
    /// from the nearest candidates below `spillover_load`: those of the caller's zone,
    /// else of its region, else all.
    pub min_shard_nodes: usize,
    /// Fraction of these nearest candidates in the shard of one organisation, from 0
    /// to 1.
    pub shard_fraction: f64,
    /// Prompt length in tokens from which four random nodes are compared instead
    /// of two.
    pub long_prompt_tokens: TokenCount,
    /// Seed of the random choices; differs between nodes.
    pub seed: u64,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(5),
            min_lifetime_fraction: 0.6,
            alternatives: 2,
            spillover_load: 0.85,
            min_shard_nodes: 4,
            shard_fraction: 0.5,
            long_prompt_tokens: 100_000,
            seed: 1,
        }
    }
}

/// Node that an answer may contain: alive, and neither suspected nor leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressCandidate {
    /// Identifier that the answer gives for the node.
    pub node: NodeId,
    /// Availability zone, compared with the caller's.
    pub zone: ZoneId,
    /// Region, compared with the caller's: for the first choice when no node of the
    /// zone is below `spillover_load`, for the fallbacks always.
    pub region: RegionId,
    /// Address on which the node accepts callers.
    pub address: SocketAddr,
    /// Last reported load as a fraction of capacity; 1 is full.
    pub load: f64,
}

/// What is known of the caller that asks for addresses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressRequest {
    /// Availability zone of the caller.
    pub zone: ZoneId,
    /// Region of the caller.
    pub region: RegionId,
    /// Organisation of the caller; selects its shard of the nodes.
    pub organisation: OrganisationId,
    /// Length of the next prompt in tokens; 0 when unknown.
    pub prompt_tokens: TokenCount,
}

/// Node of an answer and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeAddress {
    /// Identifier of the node to connect to.
    pub node: NodeId,
    /// IP address and port for callers.
    pub address: SocketAddr,
}

/// Nodes that a caller may use, in order of preference.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AddressAnswer {
    /// First choice and its fallbacks; empty when no node is available.
    pub addresses: Vec<NodeAddress>,
    /// Time for which the caller may use the answer.
    pub valid_for: Duration,
}

/// Chooses the nodes of address answers.
///
/// It counts its own recent answers per node, because the reported loads lag and all
/// callers would otherwise be sent to the node that last reported the lowest load.
#[derive(Debug)]
pub struct AddressPlanner {
    settings: AddressSettings,
    recent_answers: BTreeMap<NodeId, f64>,
    last_decay: Instant,
    rng: StdRng,
}

impl AddressPlanner {
    /// Creates a planner without recent answers.
    #[must_use]
    pub fn new(now: Instant, settings: AddressSettings) -> Self {
        Self {
            recent_answers: BTreeMap::new(),
            last_decay: now,
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Chooses the nodes for one request among `candidates`.
    pub fn answer(
        &mut self,
        now: Instant,
        request: &AddressRequest,
        candidates: &[AddressCandidate],
    ) -> AddressAnswer {
        self.decay(now);
        let tier = self.nearest_tier(request, candidates);
        let shard = self.organisation_shard(request, tier);
        let first = self.pick_node(request, &shard);
        let mut chosen: Vec<_> = first.into_iter().collect();
        self.add_alternatives(request, candidates, &mut chosen);
        if let Some(first) = chosen.first() {
            *self.recent_answers.entry(first.node.clone()).or_default() +=
                self.answer_weight(request);
        }
        AddressAnswer {
            addresses: chosen.into_iter().map(node_address).collect(),
            valid_for: self.jittered_lifetime(),
        }
    }

    /// Returns the candidates below the spillover load in the caller's zone, else
    /// in its region, else anywhere; all candidates when every one is above it.
    fn nearest_tier<'a>(
        &self,
        request: &AddressRequest,
        candidates: &'a [AddressCandidate],
    ) -> Vec<&'a AddressCandidate> {
        let spillover = self.settings.spillover_load;
        let available = |wanted: &dyn Fn(&AddressCandidate) -> bool| -> Vec<&'a AddressCandidate> {
            let matching = candidates.iter().filter(|candidate| wanted(candidate));
            matching
                .filter(|candidate| candidate.load < spillover)
                .collect()
        };
        let in_zone = available(&|candidate| candidate.zone == request.zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = available(&|candidate| candidate.region == request.region);
        if !in_region.is_empty() {
            return in_region;
        }
        let anywhere = available(&|_| true);
        if anywhere.is_empty() {
            return candidates.iter().collect();
        }
        anywhere
    }

    /// Returns the shard of `tier` from which the organisation gets its first choice,
    /// so that its cached prefixes are reused and its harmful requests reach few nodes.
    fn organisation_shard<'a>(
        &self,
        request: &AddressRequest,
        mut tier: Vec<&'a AddressCandidate>,
    ) -> Vec<&'a AddressCandidate> {
        let fractional_size = as_f64(tier.len()) * self.settings.shard_fraction;
        let size = (1..=tier.len()).find(|size| as_f64(*size) >= fractional_size);
        let size = size.unwrap_or(0).max(self.settings.min_shard_nodes);
        tier.sort_by_cached_key(|candidate| shard_weight(&request.organisation, &candidate.node));
        tier.truncate(size);
        tier
    }

    /// Picks two nodes at random, or four for a long prompt, and returns the one
    /// with the lowest estimated load.
    fn pick_node<'a>(
        &mut self,
        request: &AddressRequest,
        shard: &[&'a AddressCandidate],
    ) -> Option<&'a AddressCandidate> {
        let is_long = request.prompt_tokens >= self.settings.long_prompt_tokens;
        let sample_size = if is_long { 4 } else { 2 };
        let mut shuffled = shard.to_vec();
        shuffled.shuffle(&mut self.rng);
        shuffled.truncate(sample_size);
        shuffled.into_iter().min_by(|one, other| {
            self.estimated_load(one)
                .total_cmp(&self.estimated_load(other))
        })
    }

    /// Adds the fallback nodes; the first is in another zone than the first choice, if
    /// there is one.
    fn add_alternatives<'a>(
        &mut self,
        request: &AddressRequest,
        candidates: &'a [AddressCandidate],
        chosen: &mut Vec<&'a AddressCandidate>,
    ) {
        let Some(first) = chosen.first().copied() else {
            return;
        };
        let mut others: Vec<_> = candidates.iter().collect();
        others.retain(|candidate| candidate.node != first.node);
        others.shuffle(&mut self.rng);
        others.sort_by(|one, other| {
            let key = |candidate: &AddressCandidate| {
                let overloaded = candidate.load >= self.settings.spillover_load;
                (overloaded, candidate.region != request.region)
            };
            key(one).cmp(&key(other))
        });
        let other_zone = others.iter().position(|other| other.zone != first.zone);
        if let Some(index) = other_zone {
            chosen.push(others.remove(index));
        }
        let missing = (self.settings.alternatives + 1).saturating_sub(chosen.len());
        chosen.extend(others.into_iter().take(missing));
    }

    /// Returns the reported load, which lags, plus half the ratio of the node's recent
    /// answers from this planner to the mean over the nodes that have any.
    fn estimated_load(&self, candidate: &AddressCandidate) -> f64 {
        let total_weight: f64 = self.recent_answers.values().sum();
        let node_weight = self
            .recent_answers
            .get(&candidate.node)
            .copied()
            .unwrap_or(0.0);
        let relative_share = node_weight / (total_weight + 1.0) * as_f64(self.recent_answers.len());
        candidate.load + relative_share / 2.0
    }

    /// Returns the weight of one answer: 1, and 1 more for each
    /// `long_prompt_tokens` of the prompt.
    fn answer_weight(&self, request: &AddressRequest) -> f64 {
        let tokens = u32::try_from(request.prompt_tokens).unwrap_or(u32::MAX);
        let long_prompt = u32::try_from(self.settings.long_prompt_tokens).unwrap_or(u32::MAX);
        1.0 + f64::from(tokens) / f64::from(long_prompt.max(1))
    }

    /// Returns a random lifetime, so that answers don't all expire together.
    fn jittered_lifetime(&mut self) -> Duration {
        let min_fraction = self.settings.min_lifetime_fraction.clamp(0.0, 1.0);
        self.settings
            .lifetime
            .mul_f64(self.rng.random_range(min_fraction..=1.0))
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_decay);
        let lifetime = self.settings.lifetime.as_secs_f64().max(0.001);
        let factor = (-elapsed.as_secs_f64() / lifetime).exp();
        self.last_decay = now;
        for weight in self.recent_answers.values_mut() {
            *weight *= factor;
        }
        self.recent_answers.retain(|_, weight| *weight > 0.001);
    }
}

fn node_address(candidate: &AddressCandidate) -> NodeAddress {
    NodeAddress {
        node: candidate.node.clone(),
        address: candidate.address,
    }
}

fn shard_weight(organisation: &OrganisationId, node: &NodeId) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(organisation.as_bytes());
    digest.update([0]);
    digest.update(node.as_bytes());
    digest.finalize().into()
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
