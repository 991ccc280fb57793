//! What nodes tell each other of their lines.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{LengthClass, LinePace};

/// Age above which a report or a sum is ignored, the same as for loads: some lost
/// datagrams may pass, but not the line of a node that is gone.
const LINE_NEWS_LIFETIME: Duration = Duration::from_millis(1500);

/// Hash of a service's name, which identifies the service between nodes.
pub type ServiceKey = u32;

/// Requests of one service and class that wait at one node, or at several together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LineStatus {
    /// Service that the requests wait for.
    pub service: ServiceKey,
    /// Position of the length class in [`LengthClass::ALL`].
    pub class: u8,
    /// Number of waiting requests.
    pub count: u32,
    /// Time for which they occupy one engine, summed up, in milliseconds.
    pub engine_ms: u32,
    /// Engine time of the requests that lately started from the line, in milliseconds a
    /// second; 0 while that is not known.
    pub pace_ms: u32,
}

impl LineStatus {
    /// Work and pace for a forecast.
    #[must_use]
    pub fn pace(&self) -> LinePace {
        LinePace {
            waiting: Duration::from_millis(self.engine_ms.into()),
            started_a_second: Duration::from_millis(self.pace_ms.into()),
        }
    }

    fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.engine_ms = self.engine_ms.saturating_add(other.engine_ms);
        self.pace_ms = self.pace_ms.saturating_add(other.pace_ms);
    }
}

/// Position of a class in [`LengthClass::ALL`].
#[must_use]
pub fn class_number(class: LengthClass) -> u8 {
    let position = LengthClass::ALL.iter().position(|other| *other == class);
    position
        .and_then(|position| u8::try_from(position).ok())
        .unwrap_or(u8::MAX)
}

/// Lines of the other nodes, as far as they tell. `Peer` identifies a node.
#[derive(Debug)]
pub struct LineNews<Peer> {
    /// Reports that this node receives; complete only at relays.
    reports: HashMap<Peer, (Instant, Vec<LineStatus>)>,
    /// Sums over all others from a relay, with the time at which the oldest report in
    /// them was made.
    sums: Option<(Instant, Vec<LineStatus>)>,
}

impl<Peer> Default for LineNews<Peer> {
    fn default() -> Self {
        Self {
            reports: HashMap::new(),
            sums: None,
        }
    }
}

impl<Peer: Eq + std::hash::Hash> LineNews<Peer> {
    /// Stores another node's report, replacing its previous one.
    pub fn record_report(&mut self, now: Instant, peer: Peer, lines: Vec<LineStatus>) {
        self.remove_expired(now);
        self.reports.insert(peer, (now, lines));
    }

    /// Stores the sums over all others, made from reports of which the oldest had this
    /// age.
    pub fn record_sums(&mut self, now: Instant, age: Duration, lines: Vec<LineStatus>) {
        if let Some(made_at) = now.checked_sub(age) {
            self.sums = Some((made_at, lines));
        }
    }

    /// Sums over `own` and all reports except that of `asker`, with the age of the oldest
    /// one.
    pub fn sums_excluding(
        &mut self,
        now: Instant,
        asker: &Peer,
        own: &[LineStatus],
    ) -> (Duration, Vec<LineStatus>) {
        self.remove_expired(now);
        let mut age = Duration::ZERO;
        let mut sums: BTreeMap<(ServiceKey, u8), LineStatus> = BTreeMap::new();
        let others = self.reports.iter().filter(|(peer, _)| *peer != asker);
        let others = others.map(|(_, (at, lines))| (now.saturating_duration_since(*at), lines));
        for (report_age, lines) in others {
            if !lines.is_empty() {
                age = age.max(report_age);
            }
            for line in lines {
                add_line(&mut sums, line);
            }
        }
        for line in own {
            add_line(&mut sums, line);
        }
        (age, sums.into_values().collect())
    }

    /// What waits at the other nodes for a service, in a class, and how old the news of
    /// it is; `None` without recent news.
    #[must_use]
    pub fn others(
        &self,
        now: Instant,
        service: ServiceKey,
        class: LengthClass,
    ) -> Option<(LineStatus, Duration)> {
        let (made_at, lines) = self.sums.as_ref()?;
        let age = now.saturating_duration_since(*made_at);
        if age > LINE_NEWS_LIFETIME {
            return None;
        }
        let class = class_number(class);
        let mut lines = lines.iter();
        let line = lines.find(|line| line.service == service && line.class == class);
        Some((*line?, age))
    }

    fn remove_expired(&mut self, now: Instant) {
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) <= LINE_NEWS_LIFETIME);
    }
}

fn add_line(sums: &mut BTreeMap<(ServiceKey, u8), LineStatus>, line: &LineStatus) {
    match sums.get_mut(&(line.service, line.class)) {
        Some(sum) => sum.add(line),
        None => {
            sums.insert((line.service, line.class), *line);
        }
    }
}
