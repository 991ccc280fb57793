//! Which nodes a caller is told to use.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{NodeId, OrganisationId, RegionId, TokenCount, ZoneId};

/// Knobs of address answers.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressSettings {
    /// Longest time a caller may keep an answer. A planned stop waits it out.
    pub lifetime: Duration,
    /// Share of `lifetime` that an answer lives at least.
    pub least_lifetime_share: f64,
    /// Alternatives in each answer.
    pub alternatives: usize,
    /// Load above which a zone's callers are also sent elsewhere.
    pub spill_load: f64,
    /// Least nodes of a tier that one organisation is spread over.
    pub least_home_nodes: usize,
    /// Share of a tier's nodes that one organisation is spread over.
    pub home_share: f64,
    /// Prompt length from which more nodes are compared.
    pub long_prompt_tokens: TokenCount,
    /// Seed of the randomised choices.
    pub seed: u64,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(5),
            least_lifetime_share: 0.6,
            alternatives: 2,
            spill_load: 0.85,
            least_home_nodes: 4,
            home_share: 0.5,
            long_prompt_tokens: 100_000,
            seed: 1,
        }
    }
}

/// A node that may be named: alive, and neither suspected nor leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressCandidate {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Load as last heard; 1 is full.
    pub load: f64,
}

/// Who asks, as far as known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressRequest {
    /// The caller's availability zone.
    pub zone: ZoneId,
    /// The caller's region.
    pub region: RegionId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Length of the prompt to come; 0 when unknown.
    pub prompt_tokens: TokenCount,
}

/// One node of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NamedAddress {
    /// The node.
    pub node: NodeId,
    /// IP number and port.
    pub address: SocketAddr,
}

/// The nodes to use, best first.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AddressAnswer {
    /// The node to use and its alternatives; empty when no node serves.
    pub addresses: Vec<NamedAddress>,
    /// How long the caller may keep the answer.
    pub valid_for: Duration,
}

/// Answers callers and remembers whom it named, so that a lagging load does
/// not send everyone to the same node.
#[derive(Debug)]
pub struct AddressPlanner {
    settings: AddressSettings,
    named: BTreeMap<NodeId, f64>,
    decayed: Instant,
    rng: StdRng,
}

impl AddressPlanner {
    /// A planner that has named nobody.
    #[must_use]
    pub fn new(now: Instant, settings: AddressSettings) -> Self {
        Self {
            named: BTreeMap::new(),
            decayed: now,
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Answers one caller.
    pub fn answer(
        &mut self,
        now: Instant,
        request: &AddressRequest,
        candidates: &[AddressCandidate],
    ) -> AddressAnswer {
        self.decay(now);
        let tier = self.tier(request, candidates);
        let home = self.home(request, tier);
        let first = self.best_of(request, &home);
        let mut chosen: Vec<_> = first.into_iter().collect();
        self.add_alternatives(request, candidates, &mut chosen);
        if let Some(first) = chosen.first() {
            *self.named.entry(first.node.clone()).or_default() += self.cost(request);
        }
        AddressAnswer {
            addresses: chosen.into_iter().map(name).collect(),
            valid_for: self.lifetime(),
        }
    }

    /// The nearest candidates that are not overloaded.
    fn tier<'a>(
        &self,
        request: &AddressRequest,
        candidates: &'a [AddressCandidate],
    ) -> Vec<&'a AddressCandidate> {
        let spill = self.settings.spill_load;
        let free = |wanted: &dyn Fn(&AddressCandidate) -> bool| -> Vec<&'a AddressCandidate> {
            let near = candidates.iter().filter(|candidate| wanted(candidate));
            near.filter(|candidate| candidate.load < spill).collect()
        };
        let in_zone = free(&|candidate| candidate.zone == request.zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let in_region = free(&|candidate| candidate.region == request.region);
        if !in_region.is_empty() {
            return in_region;
        }
        let anywhere = free(&|_| true);
        if anywhere.is_empty() {
            return candidates.iter().collect();
        }
        anywhere
    }

    /// The part of `tier` that the organisation uses, so that its prefixes
    /// are found again and its faults reach few nodes.
    fn home<'a>(
        &self,
        request: &AddressRequest,
        mut tier: Vec<&'a AddressCandidate>,
    ) -> Vec<&'a AddressCandidate> {
        let share = as_f64(tier.len()) * self.settings.home_share;
        let size = (1..=tier.len()).find(|size| as_f64(*size) >= share);
        let size = size.unwrap_or(0).max(self.settings.least_home_nodes);
        tier.sort_by_cached_key(|candidate| weight(&request.organisation, &candidate.node));
        tier.truncate(size);
        tier
    }

    /// The least loaded of a few nodes picked at random.
    fn best_of<'a>(
        &mut self,
        request: &AddressRequest,
        home: &[&'a AddressCandidate],
    ) -> Option<&'a AddressCandidate> {
        let long = request.prompt_tokens >= self.settings.long_prompt_tokens;
        let picks = if long { 4 } else { 2 };
        let mut shuffled = home.to_vec();
        shuffled.shuffle(&mut self.rng);
        shuffled.truncate(picks);
        shuffled
            .into_iter()
            .min_by(|one, other| self.score(one).total_cmp(&self.score(other)))
    }

    /// Adds nodes to try next: the first from another zone, if there is one.
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
                let full = candidate.load >= self.settings.spill_load;
                (full, candidate.region != request.region)
            };
            key(one).cmp(&key(other))
        });
        let elsewhere = others.iter().position(|other| other.zone != first.zone);
        if let Some(place) = elsewhere {
            chosen.push(others.remove(place));
        }
        let missing = (self.settings.alternatives + 1).saturating_sub(chosen.len());
        chosen.extend(others.into_iter().take(missing));
    }

    /// Load as heard, and this planner's own share of what is on its way.
    fn score(&self, candidate: &AddressCandidate) -> f64 {
        let total: f64 = self.named.values().sum();
        let own = self.named.get(&candidate.node).copied().unwrap_or(0.0);
        let share = own / (total + 1.0) * as_f64(self.named.len());
        candidate.load + share / 2.0
    }

    fn cost(&self, request: &AddressRequest) -> f64 {
        let tokens = u32::try_from(request.prompt_tokens).unwrap_or(u32::MAX);
        let long = u32::try_from(self.settings.long_prompt_tokens).unwrap_or(u32::MAX);
        1.0 + f64::from(tokens) / f64::from(long.max(1))
    }

    /// Answers live for different times, so that they don't end together.
    fn lifetime(&mut self) -> Duration {
        let share = self.settings.least_lifetime_share.clamp(0.0, 1.0);
        self.settings
            .lifetime
            .mul_f64(self.rng.random_range(share..=1.0))
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.decayed);
        let lifetime = self.settings.lifetime.as_secs_f64().max(0.001);
        let factor = (-passed.as_secs_f64() / lifetime).exp();
        self.decayed = now;
        for named in self.named.values_mut() {
            *named *= factor;
        }
        self.named.retain(|_, named| *named > 0.001);
    }
}

fn name(candidate: &AddressCandidate) -> NamedAddress {
    NamedAddress {
        node: candidate.node.clone(),
        address: candidate.address,
    }
}

fn weight(organisation: &OrganisationId, node: &NodeId) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(organisation.as_bytes());
    digest.update([0]);
    digest.update(node.as_bytes());
    digest.finalize().into()
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
