//! Roles of a node's engines, by the measured mix of lengths.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use admission::LengthClass;
use types::{EngineId, EngineRole};

use crate::{NodeScheduler, SchedulerAction, estimate::seconds};

/// Time between two looks at the mix.
const ROLE_PERIOD: Duration = Duration::from_secs(1);
/// Least time an engine keeps a role.
const ROLE_DWELL: Duration = Duration::from_secs(10);
/// Part of its time that an engine for short prompts should be busy with
/// them: above it they meet each other too often.
const SHORT_BUSY_PART: f64 = 0.4;
/// Long work in engines below which no engine is set apart.
const LONG_LOAD_MIN: f64 = 0.05;

/// When roles were looked at and changed last.
#[derive(Debug, Default)]
pub(crate) struct RolePlanner {
    next: Option<Instant>,
    changed: Option<Instant>,
}

impl NodeScheduler {
    /// Sets engines apart for short and for long prompts as the mix asks.
    pub(crate) fn plan_roles(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.roles.next.is_some_and(|next| next > now) {
            return;
        }
        self.roles.next = Some(now + ROLE_PERIOD);
        self.gangs
            .prune(now, |request| self.queue.contains(request));
        let short = self.short_engines(now);
        let wanted = self
            .engines
            .values()
            .filter(|view| view.wanted_role == EngineRole::Short);
        let known = wanted.count();
        let dwells = |changed: Instant| now.saturating_duration_since(changed) < ROLE_DWELL;
        if short == known
            && self
                .engines
                .values()
                .all(|view| view.wanted_role != EngineRole::Mixed)
            || self.roles.changed.is_some_and(dwells)
        {
            return;
        }
        let chosen = self.pick_short(short);
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
            self.roles.changed = Some(now);
            let engine = engine.clone();
            actions.push(SchedulerAction::ChangeRole { engine, role });
        }
    }

    /// Engines that the short work of the recent past asks for; at least one
    /// when there is long work too, and never all.
    fn short_engines(&self, now: Instant) -> usize {
        let Some(meter) = &self.meter else {
            return 0;
        };
        let owned = self.engines.len();
        let long = meter.engines(now, LengthClass::Long) + meter.engines(now, LengthClass::Gang);
        if owned < 2 || long < LONG_LOAD_MIN {
            return 0;
        }
        let short = meter.engines(now, LengthClass::Short) / SHORT_BUSY_PART;
        let wanted = usize::try_from(seconds(short).as_secs()).unwrap_or(usize::MAX);
        wanted.clamp(1, owned - 1)
    }

    /// The engines that lose least by serving short prompts: those that do
    /// already, then those with the least long work.
    fn pick_short(&self, count: usize) -> BTreeSet<EngineId> {
        let mut engines: Vec<(bool, Duration, &EngineId)> = self
            .engines
            .iter()
            .map(|(engine, view)| {
                let long = view.long_prefills().map(|flight| flight.left).sum();
                (view.wanted_role != EngineRole::Short, long, engine)
            })
            .collect();
        engines.sort_unstable();
        let chosen = engines.into_iter().take(count);
        chosen.map(|(_, _, engine)| engine.clone()).collect()
    }
}
