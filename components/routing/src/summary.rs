//! What a node tells the others, and what it takes from them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use admission::{DemandReport, LengthClass, PoolIndex};
use types::{AdapterId, EngineId, ModelId, ModelVersion, PlanKind};

use crate::{
    EngineDigest, NodeScheduler, NodeSummary, OrganisationDemand, OrganisationUsage, PoolSummary,
    placement::{PromptUrgency, engine_priority},
    pool::PoolKey,
    view::EngineView,
};

/// Most organisations told of.
const USAGE_LIMIT: usize = 12;
/// Most limited organisations told of.
const DEMAND_LIMIT: usize = 12;
/// Most engines told of for one pool.
const DIGEST_LIMIT: usize = 4;
/// Prompt lengths that stand for short and long ones, in tokens.
const SHORT_SAMPLE_TOKENS: u64 = 2_048;
const LONG_SAMPLE_TOKENS: u64 = 65_536;

impl NodeScheduler {
    /// What this node tells the others.
    pub fn summary(&mut self, now: Instant) -> NodeSummary {
        self.sequence += 1;
        for view in self.engines.values_mut() {
            view.advance(now);
        }
        let engines = &self.engines;
        NodeSummary {
            node: self.node.clone(),
            zone: self.zone.clone(),
            sequence: self.sequence,
            pools: self.pool_summaries(now),
            claims: self
                .gangs
                .claims(now, |engine| engines.contains_key(engine)),
            usage: self.usage(),
            demand: self.demand(now),
        }
    }

    pub(crate) fn take_summary(&mut self, now: Instant, summary: NodeSummary) {
        if summary.node == self.node {
            return;
        }
        for usage in &summary.usage {
            self.shares.merge_remote(
                &summary.node,
                &usage.organisation,
                usage.tokens,
                usage.running,
            );
        }
        for demand in &summary.demand {
            let share = DemandReport {
                organisation: demand.organisation.clone(),
                milli_rate: demand.milli_rate,
                running: demand.running,
            };
            self.limits.merge_remote(now, &summary.node, &share);
        }
        self.gangs.take_claims(now, &summary.node, &summary.claims);
        let lifetime = self.settings.summary_lifetime;
        self.peers.update(now, lifetime, summary);
    }

    fn demand(&self, now: Instant) -> Vec<OrganisationDemand> {
        let pressing = self.limits.demand_reports(now, DEMAND_LIMIT);
        pressing
            .into_iter()
            .map(|share| OrganisationDemand {
                organisation: share.organisation,
                milli_rate: share.milli_rate,
                running: share.running,
            })
            .collect()
    }

    fn usage(&mut self) -> Vec<OrganisationUsage> {
        let usage = self.shares.take_unreported(USAGE_LIMIT);
        usage
            .into_iter()
            .map(|share| OrganisationUsage {
                organisation: share.organisation,
                tokens: share.tokens,
                running: share.running,
            })
            .collect()
    }

    fn pool_summaries(&self, now: Instant) -> Vec<PoolSummary> {
        let mut pools: BTreeMap<(&ModelId, &ModelVersion), Vec<(&EngineId, &EngineView)>> =
            BTreeMap::new();
        for (engine, view) in &self.engines {
            for loaded in &view.report.models {
                let key = (&loaded.model, &loaded.version);
                pools.entry(key).or_default().push((engine, view));
            }
        }
        pools
            .into_iter()
            .map(|((model, version), engines)| self.pool_summary(now, model, version, &engines))
            .collect()
    }

    fn pool_summary(
        &self,
        now: Instant,
        model: &ModelId,
        version: &ModelVersion,
        engines: &[(&EngineId, &EngineView)],
    ) -> PoolSummary {
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        let pools = self.pool_indexes(model, version);
        let least = |class, urgency, prompt| {
            let priority = engine_priority(urgency, prompt);
            let delays = engines
                .iter()
                .map(|(_, view)| view.delay(&self.node, class, priority, prompt));
            delays.min().unwrap_or_default()
        };
        let paying = PromptUrgency::Paying;
        let short = least(LengthClass::Short, paying, SHORT_SAMPLE_TOKENS);
        let long = least(LengthClass::Long, paying, LONG_SAMPLE_TOKENS);
        let trial = least(
            LengthClass::Short,
            PromptUrgency::Trial,
            SHORT_SAMPLE_TOKENS,
        );
        let waiting = |class, plan, prompt| {
            let sums = pools
                .iter()
                .map(|pool| self.queue.queued_work_up_to(*pool, class, plan));
            let part = self.shares.newcomer_fraction_ahead(plan, prompt);
            sums.sum::<Duration>().mul_f64(part) / count.max(1)
        };
        let short_queue = waiting(LengthClass::Short, PlanKind::Paying, SHORT_SAMPLE_TOKENS);
        let long_queue = waiting(LengthClass::Long, PlanKind::Paying, LONG_SAMPLE_TOKENS);
        let trial_queue = waiting(LengthClass::Gang, PlanKind::Trial, SHORT_SAMPLE_TOKENS);
        let calm = engines
            .iter()
            .filter(|(_, view)| view.is_calm(&self.node))
            .count();
        let lent = engines
            .iter()
            .filter(|(_, view)| view.lends(&self.node))
            .count();
        let load = self.meter.as_ref().map_or(0.0, |load| {
            load.engines(now, LengthClass::Short) / f64::from(count.max(1))
        });
        PoolSummary {
            model: model.clone(),
            version: version.clone(),
            adapters: adapters(engines, model, version),
            engines: count,
            calm: u32::try_from(calm).unwrap_or(u32::MAX),
            lent: u32::try_from(lent).unwrap_or(u32::MAX),
            short_load: thousandths(load),
            short_wait: short + short_queue,
            long_wait: long + long_queue,
            trial_wait: trial + long_queue + trial_queue,
            kv_free: engines
                .iter()
                .map(|(_, view)| view.kv_free(&self.node))
                .sum(),
            digests: self.digests(engines),
        }
    }

    /// Pools with work waiting for any adapter of a model.
    fn pool_indexes(&self, model: &ModelId, version: &ModelVersion) -> Vec<PoolIndex> {
        let mut pools = self.queue.pools();
        pools.retain(|pool| {
            let key = self.pools.key(*pool);
            key.is_some_and(|key: &PoolKey| key.model == *model && key.version == *version)
        });
        pools
    }

    fn digests(&self, engines: &[(&EngineId, &EngineView)]) -> Vec<EngineDigest> {
        let mut digests: Vec<EngineDigest> = engines
            .iter()
            .map(|(engine, view)| EngineDigest {
                engine: (*engine).clone(),
                zone: view.report.profile.zone.clone(),
                role: view.wanted_role,
                kv_capacity: view.report.profile.kv_capacity,
                kv_free: if view.lends(&self.node) {
                    0
                } else {
                    view.kv_free(&self.node)
                },
            })
            .collect();
        digests.sort_by_key(|digest| std::cmp::Reverse(digest.kv_free));
        digests.truncate(DIGEST_LIMIT);
        digests
    }
}

fn adapters(
    engines: &[(&EngineId, &EngineView)],
    model: &ModelId,
    version: &ModelVersion,
) -> Vec<AdapterId> {
    let mut adapters: Vec<AdapterId> = engines
        .iter()
        .flat_map(|(_, view)| &view.report.models)
        .filter(|loaded| loaded.model == *model && loaded.version == *version)
        .flat_map(|loaded| loaded.adapters.iter().cloned())
        .collect();
    adapters.sort_unstable();
    adapters.dedup();
    adapters
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(part: f64) -> u16 {
    (part * 1_000.0).clamp(0.0, 65_535.0) as u16
}
