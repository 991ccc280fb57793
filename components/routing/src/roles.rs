//! Assigns roles to a node's engines by the recent load of short and of long
//! prompts.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use admission::LengthClass;
use types::{EngineId, EngineRole};

use crate::{NodeScheduler, SchedulerAction, estimate::duration_from_secs};

/// Time between two checks of the loads.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two changes of roles.
const ROLE_DURATION_MIN: Duration = Duration::from_secs(10);
/// Target utilisation of an engine with the short role. Above it short prompts
/// queue behind each other too often.
const SHORT_ENGINE_UTILISATION: f64 = 0.4;
/// Load of long and gang prompts, in engines kept busy, below which no roles
/// are assigned.
const LONG_LOAD_MIN: f64 = 0.05;

/// Times of the next check and the last change of roles.
#[derive(Debug, Default)]
pub(crate) struct RolePlanner {
    next_check: Option<Instant>,
    last_change: Option<Instant>,
}

impl NodeScheduler {
    /// Assigns the short and the long role to engines as the recent loads of
    /// short and long prompts require. Also prunes the table of gangs, which is
    /// due at the same interval.
    pub(crate) fn plan_roles(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.roles.next_check.is_some_and(|next| next > now) {
            return;
        }
        self.roles.next_check = Some(now + ROLE_CHECK_INTERVAL);
        self.gangs
            .prune(now, |request| self.queue.contains(request));
        let short = self.short_engine_count(now);
        let short_engines = self
            .engines
            .values()
            .filter(|view| view.target_role == EngineRole::Short);
        let current = short_engines.count();
        let changed_recently =
            |changed: Instant| now.saturating_duration_since(changed) < ROLE_DURATION_MIN;
        if short == current
            && self
                .engines
                .values()
                .all(|view| view.target_role != EngineRole::Mixed)
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
            if view.target_role == role {
                continue;
            }
            view.target_role = role;
            self.roles.last_change = Some(now);
            let engine = engine.clone();
            actions.push(SchedulerAction::ChangeRole { engine, role });
        }
    }

    /// Number of engines that the recent short work needs: at least one, and
    /// never all. Zero if the node owns fewer than two engines or has too
    /// little load of long and gang prompts.
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
        // Rounds down to whole engines; the duration serves as a checked
        // conversion.
        let wanted = usize::try_from(duration_from_secs(short).as_secs()).unwrap_or(usize::MAX);
        wanted.clamp(1, owned - 1)
    }

    /// The engines best suited to the short role: those that have it, then
    /// those with the least prefill time left of prompts that are not short.
    fn choose_short_engines(&self, count: usize) -> BTreeSet<EngineId> {
        let mut engines: Vec<(bool, Duration, &EngineId)> = self
            .engines
            .iter()
            .map(|(engine, view)| {
                let prefill_left = view
                    .non_short_prefills()
                    .map(|attempt| attempt.prefill_left)
                    .sum();
                (view.target_role != EngineRole::Short, prefill_left, engine)
            })
            .collect();
        engines.sort_unstable();
        let chosen = engines.into_iter().take(count);
        chosen.map(|(_, _, engine)| engine.clone()).collect()
    }
}
