//! Sums of the loads that other nodes report, kept up to date with each report, so
//! that an answer costs the same in a fleet of any size.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{EngineKey, EngineLoad, ReportedLoad};

/// Sum of the reported loads of one engine.
#[derive(Clone, Debug, Default)]
struct EngineSum {
    strict: u32,
    relaxed: u32,
    unanswered: u32,
    memory: u64,
    /// Number of reports that have each shortest event gap.
    relaxed_gaps: BTreeMap<Duration, u32>,
}

/// Sums of reported loads by engine.
#[derive(Debug, Default)]
pub(crate) struct LoadSumTable {
    sums: HashMap<EngineKey, EngineSum>,
}

impl LoadSumTable {
    pub(crate) fn add(&mut self, load: &ReportedLoad) {
        let sum = self.sums.entry(load.engine).or_default();
        sum.strict += load.strict;
        sum.relaxed += load.relaxed;
        sum.unanswered += load.unanswered;
        sum.memory += load.memory;
        if let Some(gap) = load.relaxed_event_gap {
            *sum.relaxed_gaps.entry(gap).or_default() += 1;
        }
    }

    /// Takes back a load that was added before.
    pub(crate) fn subtract(&mut self, load: &ReportedLoad) {
        let Some(sum) = self.sums.get_mut(&load.engine) else {
            return;
        };
        sum.strict = sum.strict.saturating_sub(load.strict);
        sum.relaxed = sum.relaxed.saturating_sub(load.relaxed);
        sum.unanswered = sum.unanswered.saturating_sub(load.unanswered);
        sum.memory = sum.memory.saturating_sub(load.memory);
        if let Some(gap) = load.relaxed_event_gap
            && let Some(count) = sum.relaxed_gaps.get_mut(&gap)
        {
            *count -= 1;
            if *count == 0 {
                sum.relaxed_gaps.remove(&gap);
            }
        }
        if sum.is_zero() {
            self.sums.remove(&load.engine);
        }
    }

    /// The sum at `engine`; zero if no node reports a load there.
    pub(crate) fn get(&self, engine: EngineKey) -> ReportedLoad {
        let sum = self.sums.get(&engine);
        sum.map_or_else(
            || ReportedLoad {
                engine,
                ..ReportedLoad::default()
            },
            |sum| sum.without(engine, None),
        )
    }

    /// The sums at all engines, without the loads in `excluded`, one of the reports
    /// that were added. Engines without any load are left out.
    pub(crate) fn excluding<'a>(
        &'a self,
        excluded: Option<&'a HashMap<EngineKey, ReportedLoad>>,
    ) -> impl Iterator<Item = ReportedLoad> + 'a {
        self.sums.iter().filter_map(move |(engine, sum)| {
            let own = excluded.and_then(|loads| loads.get(engine));
            let load = sum.without(*engine, own);
            let is_zero = load.strict == 0 && load.relaxed == 0 && load.memory == 0;
            (!is_zero).then_some(load)
        })
    }
}

impl EngineSum {
    fn is_zero(&self) -> bool {
        self.strict == 0 && self.relaxed == 0 && self.unanswered == 0 && self.memory == 0
    }

    fn without(&self, engine: EngineKey, own: Option<&ReportedLoad>) -> ReportedLoad {
        let own = own.cloned().unwrap_or_default();
        let own_gap_count = |gap: Duration| u32::from(own.relaxed_event_gap == Some(gap));
        let shortest = self
            .relaxed_gaps
            .iter()
            .find(|(gap, count)| **count > own_gap_count(**gap));
        ReportedLoad {
            engine,
            strict: self.strict.saturating_sub(own.strict),
            relaxed: self.relaxed.saturating_sub(own.relaxed),
            relaxed_event_gap: shortest.map(|(gap, _)| *gap),
            unanswered: self.unanswered.saturating_sub(own.unanswered),
            memory: self.memory.saturating_sub(own.memory),
        }
    }
}

impl EngineLoad {
    pub(crate) fn add(&mut self, other: &ReportedLoad) {
        self.strict += other.strict;
        self.relaxed += other.relaxed;
        let gaps = self.relaxed_event_gap.into_iter();
        self.relaxed_event_gap = gaps.chain(other.relaxed_event_gap).min();
        self.unanswered += other.unanswered;
        self.memory += other.memory;
    }
}
