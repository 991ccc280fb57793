//! Finds out whether this node is cut off from upstreams that other nodes reach, and keeps
//! the nodes that help it until it isn't.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{HelperNode, ProbeOutcome, ReachCheck, ReachVerdict, RosterEntry, select_sample};
use futures_lite::future::or;
use rand::RngExt;
use smol::channel::bounded;
use types::{NodeId, ServiceName, UpstreamId};

use crate::{
    probe::{probe_upstream, probe_with_proof, report_probe},
    question::OpenQuestion,
    state::Gateway,
};

/// Time after which other nodes are asked although probes of this node's own are open.
const OWN_PROBE_WAIT: Duration = Duration::from_millis(50);
/// Time after which other nodes are asked that were not asked before.
const ASK_PAUSE: Duration = Duration::from_millis(60);
/// Rounds of questions in one check.
const ASK_ROUNDS: usize = 3;
/// Nodes asked in one round.
const ASKED_NODES: usize = 4;
/// Nodes asked whether an upstream has ended.
const ASKED_WITNESSES: usize = 2;
/// Time that a node which is asked gets for its answer: a probe, one more to prove that it
/// reaches others, and the way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Age up to which a connection proves that an upstream is reached, without a probe.
const CONTACT_AGE_MAX: Duration = Duration::from_millis(100);
/// Age up to which a connection to any upstream of a service proves that a helper still
/// reaches the service.
const HELPER_CONTACT_AGE_MAX: Duration = Duration::from_secs(1);
/// Mean pause between two probes of a node that is cut off.
const CUT_PROBE_PAUSE: Duration = Duration::from_millis(300);
/// The same after a probe that succeeded.
const REGAIN_PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Share by which a pause is shorter or longer at random, so that nodes that come back
/// together don't probe together.
const PAUSE_SPREAD: f64 = 0.25;
/// Failed probes after which a node that is cut off asks for helpers again.
const PROBES_PER_QUESTION: u32 = 3;

/// Returns whether this node is cut off from the service, or is finding out.
pub(crate) fn is_cut_suspected(gateway: &Gateway, service: &str) -> bool {
    let is_checking = gateway.reach.borrow().is_checking(gateway.now(), service);
    is_checking || gateway.is_cut_off(service)
}

/// Begins to find out whether this node is cut off from the service, since an upstream of
/// it was not reached, reset a connection or fell silent.
pub(crate) fn suspect_cut(gateway: &Rc<Gateway>, service: &str, upstream: Option<&UpstreamId>) {
    let now = gateway.now();
    let since = now.checked_sub(CONTACT_AGE_MAX).unwrap_or(now);
    let upstreams = gateway.upstreams.borrow();
    let is_in_touch = upstreams.is_reached_since(since, Some(service), upstream);
    drop(upstreams);
    if is_in_touch || !gateway.reach.borrow_mut().begin_check(now, service) {
        return;
    }
    let checking = check_service(Rc::clone(gateway), service.to_owned(), upstream.cloned());
    gateway.executor.spawn(checking).detach();
}

/// Waits until no check of the service is running.
pub(crate) async fn wait_for_check(gateway: &Gateway, service: &str) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(5);
    while gateway.reach.borrow().is_checking(gateway.now(), service) {
        gateway.clock.sleep(CHECK_INTERVAL).await;
    }
}

/// Waits until this node counts as cut off from the service.
pub(crate) async fn wait_for_cut(gateway: &Gateway, service: &str) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    while !gateway.is_cut_off(service) {
        gateway.clock.sleep(CHECK_INTERVAL).await;
    }
}

/// Tries a few upstreams of the service, and asks other nodes for them if none is reached.
async fn check_service(gateway: Rc<Gateway>, service: ServiceName, failed: Option<UpstreamId>) {
    let sample = {
        let upstreams = gateway.upstreams.borrow();
        let mut rng = gateway.rng.borrow_mut();
        select_sample(upstreams.entries(), &service, failed.as_ref(), &mut *rng)
    };
    let started = gateway.now();
    let check = run_check(&gateway, &sample).await;
    let now = gateway.now();
    let verdict = gateway.reach.borrow_mut().end_check(now, &service, check);
    match verdict {
        ReachVerdict::CutOff => begin_cut(&gateway, service, started),
        ReachVerdict::Unreached => log::warn!(
            "event=upstreams_unreached service={service} upstreams={}",
            sample.join(",")
        ),
        ReachVerdict::InTouch | ReachVerdict::Open => {}
    }
}

async fn run_check(gateway: &Rc<Gateway>, sample: &[UpstreamId]) -> ReachCheck {
    let mut check = ReachCheck::new(sample);
    let (sender, probed) = bounded(sample.len().max(1));
    for id in sample {
        let probing = report_probe(Rc::clone(gateway), id.clone(), sender.clone());
        gateway.executor.spawn(probing).detach();
    }
    drop(sender);
    let mut question = OpenQuestion::new(gateway, sample.to_vec(), Duration::ZERO);
    let mut ask_at = gateway.now() + OWN_PROBE_WAIT;
    let ends_at = ask_at + ASK_PAUSE * 2 + ANSWER_TIMEOUT;
    let (mut rounds, mut open_probes, mut answers) = (0, sample.len(), 0);
    while check.verdict() == ReachVerdict::Open && gateway.now() < ends_at {
        let all_answered = open_probes == 0 && answers == question.asked.len();
        if all_answered && rounds == ASK_ROUNDS {
            break;
        }
        if rounds < ASK_ROUNDS && (all_answered || gateway.now() >= ask_at) {
            question.ask_others(ASKED_NODES).await;
            rounds += 1;
            ask_at = gateway.now() + ASK_PAUSE;
            continue;
        }
        let next = if rounds < ASK_ROUNDS { ask_at } else { ends_at };
        let limit = next.saturating_duration_since(gateway.now());
        let own = async {
            match probed.recv().await {
                Ok((id, outcome)) => Some(CheckEvent::Own(id, outcome)),
                // All probes have ended.
                Err(_) => std::future::pending().await,
            }
        };
        let peer = async {
            let (peer, outcomes) = question.next_answer(limit).await?;
            Some(CheckEvent::Peer(peer, outcomes))
        };
        match or(own, peer).await {
            Some(CheckEvent::Own(id, outcome)) => {
                open_probes -= 1;
                check.record_own(&id, outcome);
            }
            Some(CheckEvent::Peer(peer, outcomes)) => {
                answers += 1;
                check.record_peer(peer, &outcomes);
            }
            None => {}
        }
    }
    check
}

/// What a check learns.
enum CheckEvent {
    Own(UpstreamId, ProbeOutcome),
    Peer(HelperNode, Vec<ProbeOutcome>),
}

/// Finds out what became of an upstream whose connection broke: from this node, and from
/// others if this one doesn't reach it.
pub(crate) async fn find_outcome(gateway: &Rc<Gateway>, id: &UpstreamId) -> ProbeOutcome {
    let own = probe_with_proof(gateway, id).await;
    if own == ProbeOutcome::Reached {
        return own;
    }
    let question = OpenQuestion::new(gateway, vec![id.clone()], Duration::ZERO);
    let mut question = question.with_proof();
    question.ask_others(ASKED_WITNESSES).await;
    let mut found = own;
    let ends_at = gateway.now() + ANSWER_TIMEOUT;
    for _ in 0..question.asked.len() {
        let left = ends_at.saturating_duration_since(gateway.now());
        let Some((_, outcomes)) = question.next_answer(left).await else {
            break;
        };
        match outcomes.first() {
            Some(ProbeOutcome::Reached) => return ProbeOutcome::Reached,
            Some(ProbeOutcome::Refused) => found = ProbeOutcome::Refused,
            Some(ProbeOutcome::Unknown) | None => {}
        }
    }
    found
}

/// Takes other nodes' help for the service until it is reached again, and checks the other
/// services at once.
fn begin_cut(gateway: &Rc<Gateway>, service: ServiceName, suspected_at: Instant) {
    let now = gateway.now();
    let helpers: Vec<NodeId> = {
        let reach = gateway.reach.borrow();
        let helpers = reach.helpers(now, &service);
        helpers.map(|helper| helper.node.clone()).collect()
    };
    log::warn!(
        "event=cut_off service={service} helpers={} checked_ms={}",
        helpers.join(","),
        now.saturating_duration_since(suspected_at).as_millis()
    );
    let mut addresses = Vec::new();
    let mut others: Vec<ServiceName> = Vec::new();
    for entry in gateway.upstreams.borrow().entries() {
        if entry.service == service {
            addresses.push(entry.address);
        } else if !others.contains(&entry.service) {
            others.push(entry.service.clone());
        }
    }
    // Pooled connections may hang, too.
    for address in addresses {
        gateway.pool.borrow_mut().remove(address);
    }
    gateway.upstreams.borrow_mut().clear_failures(&service);
    for other in others {
        suspect_cut(gateway, &other, None);
    }
    let keeping = keep_cut(Rc::clone(gateway), service);
    gateway.executor.spawn(keeping).detach();
}

/// Probes upstreams and keeps the list of helpers until the cut has ended.
async fn keep_cut(gateway: Rc<Gateway>, service: ServiceName) {
    let began = gateway.now();
    let mut failed_probes = 0;
    let mut pause = CUT_PROBE_PAUSE;
    loop {
        let spread = 1.0 - PAUSE_SPREAD..1.0 + PAUSE_SPREAD;
        let factor = gateway.rng.borrow_mut().random_range(spread);
        gateway.clock.sleep(pause.mul_f64(factor)).await;
        let sample = {
            let upstreams = gateway.upstreams.borrow();
            let mut rng = gateway.rng.borrow_mut();
            select_sample(upstreams.entries(), &service, None, &mut *rng)
        };
        let outcome = match sample.first() {
            Some(id) => probe_upstream(&gateway, id).await,
            None => ProbeOutcome::Unknown,
        };
        if gateway.reach.borrow_mut().record_probe(&service, outcome) {
            let lasted = gateway.now().saturating_duration_since(began);
            log::info!(
                "event=cut_over service={service} lasted_ms={}",
                lasted.as_millis()
            );
            return;
        }
        if outcome == ProbeOutcome::Reached {
            pause = REGAIN_PROBE_PAUSE;
            continue;
        }
        pause = CUT_PROBE_PAUSE;
        failed_probes += 1;
        if failed_probes % PROBES_PER_QUESTION == 0 {
            let sample = sample.into_iter().take(1).collect();
            refresh_helpers(&gateway, &service, sample).await;
        }
        if !gateway.is_cut_off(&service) {
            log::warn!("event=upstreams_unreached service={service} after=cut_off");
            gateway.reach.borrow_mut().end_cut(&service);
            return;
        }
    }
}

/// Asks the known helpers, and as many other nodes as are missing, whether they help.
async fn refresh_helpers(gateway: &Rc<Gateway>, service: &ServiceName, sample: Vec<UpstreamId>) {
    let known: Vec<RosterEntry> = {
        let now = gateway.now();
        let (reach, fleet) = (gateway.reach.borrow(), gateway.fleet.borrow());
        let is_helper = |entry: &&RosterEntry| {
            let mut helpers = reach.helpers(now, service);
            helpers.any(|helper| helper.node == entry.node)
        };
        fleet
            .roster()
            .live(now)
            .filter(is_helper)
            .cloned()
            .collect()
    };
    let mut question = OpenQuestion::new(gateway, sample, HELPER_CONTACT_AGE_MAX);
    let missing = ASKED_NODES.saturating_sub(known.len());
    question.ask(known).await;
    question.ask_others(missing).await;
    let ends_at = gateway.now() + ANSWER_TIMEOUT;
    for _ in 0..question.asked.len() {
        let left = ends_at.saturating_duration_since(gateway.now());
        let Some((peer, outcomes)) = question.next_answer(left).await else {
            return;
        };
        let now = gateway.now();
        let mut reach = gateway.reach.borrow_mut();
        reach.record_answer(now, service, peer, &outcomes);
    }
}
