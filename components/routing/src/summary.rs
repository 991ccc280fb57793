//! Summaries that a node publishes, and how it merges those of other nodes.

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

/// Largest number of organisations in the usage of a summary.
const USAGE_MAX: usize = 12;
/// Largest number of organisations in the demand of a summary.
const DEMAND_MAX: usize = 12;
/// Largest number of engine digests per pool.
const DIGESTS_MAX: usize = 4;
/// Prompt lengths that represent short and long prompts in the estimated waits,
/// in tokens.
const SHORT_SAMPLE_TOKENS: u64 = 2_048;
const LONG_SAMPLE_TOKENS: u64 = 65_536;

impl NodeScheduler {
    /// Creates the next summary of this node for other nodes.
    pub fn summary(&mut self, now: Instant) -> NodeSummary {
        self.summary_sequence += 1;
        for view in self.engines.values_mut() {
            view.advance_prefills(now);
        }
        let engines = &self.engines;
        NodeSummary {
            node: self.node.clone(),
            zone: self.zone.clone(),
            sequence: self.summary_sequence,
            pools: self.pool_summaries(now),
            claims: self
                .gangs
                .claims_on_others(now, |engine| engines.contains_key(engine)),
            usage: self.top_usage(),
            demand: self.top_demand(now),
        }
    }

    pub(crate) fn merge_summary(&mut self, now: Instant, summary: NodeSummary) {
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
                milli_rate: demand.millirequests_per_second,
                running: demand.running,
            };
            self.limits.merge_remote(now, &summary.node, &share);
        }
        self.gangs
            .replace_claims(now, &summary.node, &summary.claims);
        let lifetime = self.settings.summary_lifetime;
        self.peers.update_summary(now, lifetime, summary);
    }

    fn top_demand(&self, now: Instant) -> Vec<OrganisationDemand> {
        let pressing = self.limits.demand_reports(now, DEMAND_MAX);
        pressing
            .into_iter()
            .map(|share| OrganisationDemand {
                organisation: share.organisation,
                millirequests_per_second: share.milli_rate,
                running: share.running,
            })
            .collect()
    }

    fn top_usage(&mut self) -> Vec<OrganisationUsage> {
        let usage = self.shares.take_unreported(USAGE_MAX);
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
        let min_delay = |class, urgency, prompt| {
            let priority = engine_priority(urgency, prompt);
            let delays = engines
                .iter()
                .map(|(_, view)| view.first_token_delay(&self.node, class, priority, prompt));
            delays.min().unwrap_or_default()
        };
        let paying = PromptUrgency::Paying;
        let short = min_delay(LengthClass::Short, paying, SHORT_SAMPLE_TOKENS);
        let long = min_delay(LengthClass::Long, paying, LONG_SAMPLE_TOKENS);
        let trial = min_delay(
            LengthClass::Short,
            PromptUrgency::Trial,
            SHORT_SAMPLE_TOKENS,
        );
        let queued_work = |class, plan, prompt| {
            let queued = pools
                .iter()
                .map(|pool| self.queue.queued_prefill_time_up_to(*pool, class, plan));
            let share_ahead = self.shares.newcomer_fraction_ahead(plan, prompt);
            queued.sum::<Duration>().mul_f64(share_ahead) / count.max(1)
        };
        let short_queue = queued_work(LengthClass::Short, PlanKind::Paying, SHORT_SAMPLE_TOKENS);
        let long_queue = queued_work(LengthClass::Long, PlanKind::Paying, LONG_SAMPLE_TOKENS);
        // `Gang` is the longest class, so this counts the queued trial work of
        // all.
        let trial_queue = queued_work(LengthClass::Gang, PlanKind::Trial, SHORT_SAMPLE_TOKENS);
        let without_non_short_prefill = engines
            .iter()
            .filter(|(_, view)| view.lacks_non_short_prefill(&self.node))
            .count();
        let shared_engines = engines
            .iter()
            .filter(|(_, view)| view.is_shared(&self.node))
            .count();
        let load = self.load_meter.as_ref().map_or(0.0, |meter| {
            meter.busy_engines(now, LengthClass::Short) / f64::from(count.max(1))
        });
        PoolSummary {
            model: model.clone(),
            version: version.clone(),
            adapters: adapters(engines, model, version),
            engines: count,
            without_non_short_prefill: u32::try_from(without_non_short_prefill).unwrap_or(u32::MAX),
            shared_engines: u32::try_from(shared_engines).unwrap_or(u32::MAX),
            short_load_thousandths: to_thousandths(load),
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

    /// Indexes of the pools with queued work for a version of a model, with any
    /// adapter.
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
                role: view.target_role,
                kv_capacity: view.report.profile.kv_capacity,
                kv_free: if view.is_shared(&self.node) {
                    0
                } else {
                    view.kv_free(&self.node)
                },
            })
            .collect();
        digests.sort_by_key(|digest| std::cmp::Reverse(digest.kv_free));
        digests.truncate(DIGESTS_MAX);
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
fn to_thousandths(fraction: f64) -> u16 {
    (fraction * 1_000.0).clamp(0.0, 65_535.0) as u16
}
