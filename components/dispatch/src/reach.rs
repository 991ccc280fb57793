//! Whether this node reaches the upstreams of a service itself, and which other nodes do
//! where it doesn't.
//!
//! Failed connections don't tell a node that is cut off from upstreams that are down. So a
//! node whose connections fail tries a few upstreams and asks other nodes about the same
//! ones. It is cut off from a service if it reaches none of them and another node does.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, seq::IndexedRandom, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use types::{NodeId, ServiceName, UpstreamId, ZoneId};

use crate::{UpstreamEntry, UpstreamState};

/// Most upstreams that a check tries. A link that loses three packets in a hundred fails
/// all of them in one check of a hundred thousand.
const SAMPLE_MAX: usize = 4;
/// Time after which a check that has not ended no longer counts as running.
const CHECK_TIME_MAX: Duration = Duration::from_secs(1);
/// Shortest pause between two checks of a service.
const CHECK_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest pause between two checks of a service. The pause doubles with each check in a
/// row in which no node reaches the upstreams, so that nodes don't storm them.
const CHECK_PAUSE_MAX: Duration = Duration::from_secs(8);
/// Time for which a node counts as a helper after it has said that it reaches upstreams.
const HELPER_LIFETIME: Duration = Duration::from_secs(3);
/// Successful probes in a row that end a cut.
const PROBES_NEEDED: u32 = 2;
/// Time for which earlier cuts count: each doubles the probes that end the next one, so
/// that a link that comes and goes does not take requests along.
const CUT_MEMORY: Duration = Duration::from_mins(1);
/// Most doublings of [`PROBES_NEEDED`].
const DOUBLINGS_MAX: usize = 2;

/// What became of an attempt to connect to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ProbeOutcome {
    /// The upstream accepted the connection.
    Reached,
    /// The host of the upstream refused the connection.
    Refused,
    /// No answer, or a refusal at a node that can't prove that it reaches others.
    Unknown,
}

/// Node that reaches upstreams of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperNode {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone in which the node runs.
    pub zone: ZoneId,
    /// Address for calls of other nodes.
    pub address: SocketAddr,
    /// Connections that it holds for other nodes.
    pub tunnels: u32,
}

/// What a check has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachVerdict {
    /// Not enough is known yet.
    Open,
    /// This node reaches an upstream of the service.
    InTouch,
    /// This node reaches none of the upstreams that another node reaches.
    CutOff,
    /// No node is known to reach any of the upstreams.
    Unreached,
}

/// Check of a few upstreams of one service.
#[derive(Clone, Debug)]
pub struct ReachCheck {
    own_outcomes: HashMap<UpstreamId, Option<ProbeOutcome>>,
    helpers: Vec<HelperNode>,
}

impl ReachCheck {
    /// Begins a check of `sample`.
    #[must_use]
    pub fn new(sample: &[UpstreamId]) -> Self {
        Self {
            own_outcomes: sample.iter().map(|id| (id.clone(), None)).collect(),
            helpers: Vec::new(),
        }
    }

    /// Records what this node found.
    pub fn record_own(&mut self, upstream: &UpstreamId, outcome: ProbeOutcome) {
        if let Some(known) = self.own_outcomes.get_mut(upstream) {
            *known = Some(outcome);
        }
    }

    /// Records what another node found.
    pub fn record_peer(&mut self, peer: HelperNode, outcomes: &[ProbeOutcome]) {
        if outcomes.contains(&ProbeOutcome::Reached) {
            self.helpers.push(peer);
        }
    }

    /// What the check has found so far; at its end, what is still open is
    /// [`ReachVerdict::Unreached`].
    #[must_use]
    pub fn verdict(&self) -> ReachVerdict {
        let mut outcomes = self.own_outcomes.values();
        if outcomes.any(|outcome| *outcome == Some(ProbeOutcome::Reached)) {
            ReachVerdict::InTouch
        } else if self.own_outcomes.values().any(Option::is_none) || self.helpers.is_empty() {
            ReachVerdict::Open
        } else {
            ReachVerdict::CutOff
        }
    }
}

/// Selects the upstreams of a check: `failed` and others of its service that take work, of
/// different availability zones as far as possible.
pub fn select_sample<'a>(
    entries: impl Iterator<Item = &'a UpstreamEntry>,
    service: &str,
    failed: Option<&UpstreamId>,
    rng: &mut impl Rng,
) -> Vec<UpstreamId> {
    let mut others: Vec<&UpstreamEntry> = entries
        .filter(|entry| entry.service == service && entry.state == UpstreamState::Ready)
        .collect();
    others.shuffle(rng);
    let mut sample: Vec<&UpstreamEntry> = Vec::new();
    if let Some(position) = others.iter().position(|entry| Some(&entry.id) == failed) {
        sample.push(others.swap_remove(position));
    }
    while sample.len() < SAMPLE_MAX && !others.is_empty() {
        let in_zone = |zone: &ZoneId| sample.iter().filter(|entry| entry.zone == *zone).count();
        let rarest = (0..others.len()).min_by_key(|position| in_zone(&others[*position].zone));
        let Some(rarest) = rarest else {
            break;
        };
        sample.push(others.swap_remove(rarest));
    }
    sample.into_iter().map(|entry| entry.id.clone()).collect()
}

/// From which services this node is cut off, and which nodes help it there.
#[derive(Debug, Default)]
pub struct ReachTable {
    services: HashMap<ServiceName, ServiceReach>,
}

#[derive(Debug, Default)]
struct ServiceReach {
    check_started: Option<Instant>,
    /// Before then no check begins.
    next_check: Option<Instant>,
    check_pause: Duration,
    cut: Option<ServiceCut>,
    /// When recent cuts were found.
    recent_cuts: Vec<Instant>,
}

#[derive(Debug)]
struct ServiceCut {
    helpers: Vec<(Instant, HelperNode)>,
    probes_needed: u32,
    /// Successful probes since the last one that failed.
    probes_reached: u32,
}

impl ReachTable {
    /// Whether a check of the service may begin, and records its beginning.
    pub fn begin_check(&mut self, now: Instant, service: &str) -> bool {
        let reach = self.services.entry(service.to_owned()).or_default();
        let is_paused = reach.next_check.is_some_and(|next| now < next);
        if reach.cut.is_some() || is_paused || reach.is_checking(now) {
            return false;
        }
        reach.check_started = Some(now);
        true
    }

    /// Whether a check of the service is running.
    #[must_use]
    pub fn is_checking(&self, now: Instant, service: &str) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_checking(now))
    }

    /// Ends the check that [`begin_check`](Self::begin_check) allowed, and returns its
    /// verdict.
    pub fn end_check(&mut self, now: Instant, service: &str, check: ReachCheck) -> ReachVerdict {
        let reach = self.services.entry(service.to_owned()).or_default();
        reach.check_started = None;
        let verdict = match check.verdict() {
            ReachVerdict::Open => ReachVerdict::Unreached,
            verdict => verdict,
        };
        reach.check_pause = if verdict == ReachVerdict::Unreached {
            (reach.check_pause * 2).clamp(CHECK_PAUSE_MIN, CHECK_PAUSE_MAX)
        } else {
            CHECK_PAUSE_MIN
        };
        reach.next_check = Some(now + reach.check_pause);
        if verdict == ReachVerdict::CutOff {
            reach.begin_cut(now, check.helpers);
        }
        verdict
    }

    /// Whether this node is cut off from the service and knows a node that isn't.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant, service: &str) -> bool {
        self.helpers(now, service).next().is_some()
    }

    /// Nodes that lately said that they reach upstreams of the service.
    pub fn helpers(&self, now: Instant, service: &str) -> impl Iterator<Item = &HelperNode> {
        let cut = self
            .services
            .get(service)
            .and_then(|reach| reach.cut.as_ref());
        let helpers = cut.map_or(&[][..], |cut| &cut.helpers);
        helpers
            .iter()
            .filter(move |(at, _)| now.saturating_duration_since(*at) <= HELPER_LIFETIME)
            .map(|(_, helper)| helper)
    }

    /// Picks a helper that is not in `excluded`: the one with fewer connections of two
    /// random ones, of other zones than `own_zone` if there are any, since neighbours are
    /// more likely to be cut off next.
    pub fn pick_helper(
        &mut self,
        now: Instant,
        service: &str,
        own_zone: &str,
        excluded: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<HelperNode> {
        let usable = self.helpers(now, service);
        let mut usable: Vec<&HelperNode> = usable
            .filter(|helper| !excluded.contains(&helper.node))
            .collect();
        if usable.iter().any(|helper| helper.zone != own_zone) {
            usable.retain(|helper| helper.zone != own_zone);
        }
        let candidates = usable.sample(rng, 2);
        let picked = candidates.min_by_key(|helper| helper.tunnels)?;
        let picked = (*picked).clone();
        // The next answer of the helper tells the true number.
        for (_, helper) in self.known_helpers(service) {
            helper.tunnels += u32::from(helper.node == picked.node);
        }
        Some(picked)
    }

    /// Records a helper's newest answer; one that reaches no upstream is no helper.
    pub fn record_answer(
        &mut self,
        now: Instant,
        service: &str,
        peer: HelperNode,
        outcomes: &[ProbeOutcome],
    ) {
        self.remove_helper(service, &peer.node);
        if outcomes.contains(&ProbeOutcome::Reached) {
            let reach = self.services.get_mut(service);
            if let Some(cut) = reach.and_then(|reach| reach.cut.as_mut()) {
                cut.helpers.push((now, peer));
            }
        }
    }

    /// Removes a helper that doesn't take a connection.
    pub fn remove_helper(&mut self, service: &str, node: &str) {
        let reach = self.services.get_mut(service);
        if let Some(cut) = reach.and_then(|reach| reach.cut.as_mut()) {
            cut.helpers.retain(|(_, helper)| helper.node != node);
        }
    }

    /// Records a probe while the node is cut off; returns whether it ends the cut.
    pub fn record_probe(&mut self, service: &str, outcome: ProbeOutcome) -> bool {
        let Some(reach) = self.services.get_mut(service) else {
            return false;
        };
        let Some(cut) = &mut reach.cut else {
            return false;
        };
        cut.probes_reached = if outcome == ProbeOutcome::Reached {
            cut.probes_reached + 1
        } else {
            0
        };
        let ended = cut.probes_reached >= cut.probes_needed;
        if ended {
            reach.cut = None;
        }
        ended
    }

    /// Ends a cut in which no node reaches the service any more: its upstreams are down.
    pub fn end_cut(&mut self, service: &str) {
        if let Some(reach) = self.services.get_mut(service) {
            reach.cut = None;
        }
    }

    fn known_helpers(&mut self, service: &str) -> &mut [(Instant, HelperNode)] {
        let reach = self.services.get_mut(service);
        reach
            .and_then(|reach| reach.cut.as_mut())
            .map_or(&mut [], |cut| &mut cut.helpers)
    }
}

impl ServiceReach {
    fn is_checking(&self, now: Instant) -> bool {
        self.check_started
            .is_some_and(|started| now.saturating_duration_since(started) < CHECK_TIME_MAX)
    }

    fn begin_cut(&mut self, now: Instant, helpers: Vec<HelperNode>) {
        self.recent_cuts
            .retain(|at| now.saturating_duration_since(*at) < CUT_MEMORY);
        let doublings = self.recent_cuts.len().min(DOUBLINGS_MAX);
        self.recent_cuts.push(now);
        self.cut = Some(ServiceCut {
            helpers: helpers.into_iter().map(|helper| (now, helper)).collect(),
            probes_needed: PROBES_NEEDED << doublings,
            probes_reached: 0,
        });
    }
}
