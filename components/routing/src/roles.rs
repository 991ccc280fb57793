//! Roles of a node's engines, by the measured mix of lengths.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use admission::LengthClass;
use types::{EngineId, EngineRole};

use crate::{NodeScheduler, SchedulerAction, estimate::seconds};

/// Time between two looks at the mix.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Least time an engine keeps a role.
const ROLE_DURATION_MIN: Duration = Duration::from_secs(10);
/// Part of its time that an engine for short prompts should be busy with
/// them: above it they meet each other too often.
const SHORT_ENGINE_UTILISATION: f64 = 0.4;
/// Long work in engines below which no engine is set apart.
const LONG_LOAD_MIN: f64 = 0.05;

/// When roles were looked at and changed last.
#[derive(Debug, Default)]
pub(crate) struct RolePlanner {
    next_check: Option<Instant>,
    last_change: Option<Instant>,
}

impl NodeScheduler {
    /// Sets engines apart for short and for long prompts as the mix asks.
    pub(crate) fn plan_roles(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.roles.next_check.is_some_and(|next| next > now) {
            return;
        }
        self.roles.next_check = Some(now + ROLE_CHECK_INTERVAL);
        self.gangs
            .prune(now, |request| self.queue.contains(request));
        let short = self.short_engine_count(now);
        let wanted = self
            .engines
            .values()
            .filter(|view| view.wanted_role == EngineRole::Short);
        let current = wanted.count();
        let changed_recently =
            |changed: Instant| now.saturating_duration_since(changed) < ROLE_DURATION_MIN;
        if short == current
            && self
                .engines
                .values()
                .all(|view| view.wanted_role != EngineRole::Mixed)
            || self.roles.last_change.is_some_and(changed_recently)
        {
            return;
        }
        let chosen = self.choose_short_engines(short);
        for (engine, view) in &mut self.engines {
            let role = match (short, chosen.contains(engine)) {
                (0, _) => EngineRole::Mixed,
                (_, true) => EngineRole::Short,
                (_, false) => EngineRole::Long,
            };
            if view.wanted_role == role {
                continue;
            }
            view.wanted_role = role;
            self.roles.last_change = Some(now);
            let engine = engine.clone();
            actions.push(SchedulerAction::ChangeRole { engine, role });
        }
    }

    /// Engines that the short work of the recent past asks for; at least one
    /// when there is long work too, and never all.
    fn short_engine_count(&self, now: Instant) -> usize {
        let Some(load_meter) = &self.load_meter else {
            return 0;
        };
        let owned = self.engines.len();
        let long = load_meter.busy_engines(now, LengthClass::Long)
            + load_meter.busy_engines(now, LengthClass::Gang);
        if owned < 2 || long < LONG_LOAD_MIN {
            return 0;
        }
        let short = load_meter.busy_engines(now, LengthClass::Short) / SHORT_ENGINE_UTILISATION;
        let wanted = usize::try_from(seconds(short).as_secs()).unwrap_or(usize::MAX);
        wanted.clamp(1, owned - 1)
    }

    /// The engines that lose least by serving short prompts: those that do
    /// already, then those with the least long work.
    fn choose_short_engines(&self, count: usize) -> BTreeSet<EngineId> {
        let mut engines: Vec<(bool, Duration, &EngineId)> = self
            .engines
            .iter()
            .map(|(engine, view)| {
                let long = view
                    .long_prefills()
                    .map(|attempt| attempt.prefill_left)
                    .sum();
                (view.wanted_role != EngineRole::Short, long, engine)
            })
            .collect();
        engines.sort_unstable();
        let chosen = engines.into_iter().take(count);
        chosen.map(|(_, _, engine)| engine.clone()).collect()
    }
}
