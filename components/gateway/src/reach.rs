//! Finds out whether this node is cut off from upstreams that other nodes reach, and tells
//! other nodes which ones it reaches.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{HelperNode, ProbeOutcome, ReachCheck, ReachVerdict, RosterEntry, select_sample};
use futures_lite::{StreamExt, future::or};
use rand::{RngExt, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use smol::{
    channel::{Receiver, Sender, bounded},
    stream,
};
use types::{NodeId, ServiceName, UpstreamId};

use crate::{
    client::connect_from,
    datagrams::{PeerDatagram, send_datagram},
    state::Gateway,
};

/// Time after which an upstream that has not accepted a probe counts as not reached;
/// several round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
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
/// Other upstreams that a node tries to prove that it reaches any.
const PROOF_SAMPLE: usize = 4;
/// Mean pause between two probes of a node that is cut off.
const CUT_PROBE_PAUSE: Duration = Duration::from_millis(300);
/// The same after a probe that succeeded.
const REGAIN_PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Share by which a pause is shorter or longer at random, so that nodes that come back
/// together don't probe together.
const PAUSE_SPREAD: f64 = 0.25;
/// Failed probes after which a node that is cut off asks for helpers again.
const PROBES_PER_QUESTION: u32 = 3;
/// Questions of other nodes that are answered at the same time; further ones are not
/// answered.
const ANSWERS_MAX: u32 = 32;

/// Asks which upstreams a node reaches.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ReachQuestion {
    /// Tells questions of one node apart.
    number: u64,
    upstreams: Vec<UpstreamId>,
    /// Age in milliseconds up to which a connection to any upstream of the same service
    /// needs no probe; 0 for a probe in any case.
    contact_age_ms: u32,
    /// Whether the node that is asked has to prove a refusal.
    needs_proof: bool,
}

/// Answer to a [`ReachQuestion`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ReachAnswer {
    number: u64,
    node: NodeId,
    /// What became of each upstream, in the order of the question.
    outcomes: Vec<ProbeOutcome>,
    /// Connections that the node holds for others.
    tunnels: u32,
}

/// Question that waits for answers until it is dropped.
struct OpenQuestion {
    gateway: Rc<Gateway>,
    question: ReachQuestion,
    answers: Receiver<ReachAnswer>,
    asked: Vec<RosterEntry>,
}

impl OpenQuestion {
    fn new(gateway: &Rc<Gateway>, upstreams: Vec<UpstreamId>, contact_age: Duration) -> Self {
        let (sender, answers) = bounded(ASKED_NODES * ASK_ROUNDS);
        let question = ReachQuestion {
            number: rand::random(),
            upstreams,
            contact_age_ms: u32::try_from(contact_age.as_millis()).unwrap_or(u32::MAX),
            needs_proof: false,
        };
        let mut questions = gateway.reach_questions.borrow_mut();
        questions.insert(question.number, sender);
        Self {
            gateway: Rc::clone(gateway),
            question,
            answers,
            asked: Vec::new(),
        }
    }

    /// Asks `nodes`.
    async fn ask(&mut self, nodes: Vec<RosterEntry>) {
        let addresses: Vec<SocketAddr> = nodes.iter().map(|entry| entry.peer_address).collect();
        let datagram = PeerDatagram::ReachQuestion(self.question.clone());
        send_datagram(&self.gateway.socket, &addresses, &datagram).await;
        self.asked.extend(nodes);
    }

    /// Asks `count` nodes that were not asked before, of other zones if possible.
    async fn ask_others(&mut self, count: usize) {
        let asked: Vec<NodeId> = self.asked.iter().map(|entry| entry.node.clone()).collect();
        let nodes = {
            let fleet = self.gateway.fleet.borrow();
            let mut rng = self.gateway.rng.borrow_mut();
            let zone = &self.gateway.settings.zone;
            let now = self.gateway.now();
            let roster = fleet.roster();
            roster.nodes_to_ask(now, zone, &asked, count, &mut *rng)
        };
        self.ask(nodes).await;
    }

    /// Returns the next answer, and the node that gave it; `None` after `limit`.
    async fn next_answer(&self, limit: Duration) -> Option<(HelperNode, Vec<ProbeOutcome>)> {
        let answer = self.gateway.clock.timeout(limit, self.answers.recv()).await;
        let answer = answer?.ok()?;
        let entry = self.asked.iter().find(|entry| entry.node == answer.node)?;
        let helper = HelperNode {
            node: answer.node,
            zone: entry.zone.clone(),
            address: entry.peer_address,
            tunnels: answer.tunnels,
        };
        Some((helper, answer.outcomes))
    }
}

impl Drop for OpenQuestion {
    fn drop(&mut self) {
        let mut questions = self.gateway.reach_questions.borrow_mut();
        questions.remove(&self.question.number);
    }
}

/// Returns whether this node is cut off from the service while other nodes reach it.
pub(crate) fn is_cut_off(gateway: &Gateway, service: &str) -> bool {
    gateway.reach.borrow().is_cut_off(gateway.now(), service)
}

/// Returns whether this node is cut off from the service, or is finding out.
pub(crate) fn is_cut_suspected(gateway: &Gateway, service: &str) -> bool {
    let is_checking = gateway.reach.borrow().is_checking(gateway.now(), service);
    is_checking || is_cut_off(gateway, service)
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
    while !is_cut_off(gateway, service) {
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

async fn report_probe(
    gateway: Rc<Gateway>,
    id: UpstreamId,
    sender: Sender<(UpstreamId, ProbeOutcome)>,
) {
    let outcome = probe_upstream(&gateway, &id).await;
    // The check may have ended.
    sender.send((id, outcome)).await.ok();
}

/// Connects to an upstream and closes the connection again.
async fn probe_upstream(gateway: &Gateway, id: &UpstreamId) -> ProbeOutcome {
    let address = {
        let upstreams = gateway.upstreams.borrow();
        upstreams.get(id).map(|health| health.entry.address)
    };
    let Some(address) = address else {
        return ProbeOutcome::Unknown;
    };
    let connecting = connect_from(gateway.source(), address);
    match gateway.clock.timeout(PROBE_TIMEOUT, connecting).await {
        Some(Ok(_)) => {
            let now = gateway.now();
            gateway.upstreams.borrow_mut().record_contact(now, id);
            ProbeOutcome::Reached
        }
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ProbeOutcome::Refused
        }
        Some(Err(_)) | None => ProbeOutcome::Unknown,
    }
}

/// Connects to an upstream. A refusal counts only if this node reaches another upstream
/// right then: behind a cut, connections are refused as well.
async fn probe_with_proof(gateway: &Rc<Gateway>, id: &UpstreamId) -> ProbeOutcome {
    let started = gateway.now();
    let outcome = probe_upstream(gateway, id).await;
    if outcome != ProbeOutcome::Refused || reaches_another(gateway, id, started).await {
        outcome
    } else {
        ProbeOutcome::Unknown
    }
}

/// Returns whether this node has reached an upstream other than `id` since `since`, or
/// reaches one now.
async fn reaches_another(gateway: &Rc<Gateway>, id: &UpstreamId, since: Instant) -> bool {
    let others: Vec<UpstreamId> = {
        let upstreams = gateway.upstreams.borrow();
        if upstreams.is_reached_since(since, None, Some(id)) {
            return true;
        }
        let others: Vec<&UpstreamId> = upstreams.ids().filter(|other| *other != id).collect();
        let mut rng = gateway.rng.borrow_mut();
        let sample = others.sample(&mut *rng, PROOF_SAMPLE);
        sample.map(|other| (*other).clone()).collect()
    };
    let (sender, probed) = bounded(others.len().max(1));
    for other in others {
        let probing = report_probe(Rc::clone(gateway), other, sender.clone());
        gateway.executor.spawn(probing).detach();
    }
    drop(sender);
    while let Ok((_, outcome)) = probed.recv().await {
        if outcome == ProbeOutcome::Reached {
            return true;
        }
    }
    false
}

/// Finds out what became of an upstream whose connection broke: from this node, and from
/// others if this one doesn't reach it.
pub(crate) async fn find_outcome(gateway: &Rc<Gateway>, id: &UpstreamId) -> ProbeOutcome {
    let own = probe_with_proof(gateway, id).await;
    if own == ProbeOutcome::Reached {
        return own;
    }
    let mut question = OpenQuestion::new(gateway, vec![id.clone()], Duration::ZERO);
    question.question.needs_proof = true;
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

/// Answers another node's question.
pub(crate) fn receive_question(gateway: &Rc<Gateway>, from: SocketAddr, question: ReachQuestion) {
    if gateway.reach_answers.get() >= ANSWERS_MAX {
        log::warn!("event=reach_question_dropped peer={from}");
        return;
    }
    let answering = answer_question(Rc::clone(gateway), from, question);
    gateway.executor.spawn(answering).detach();
}

async fn answer_question(gateway: Rc<Gateway>, from: SocketAddr, question: ReachQuestion) {
    gateway.reach_answers.set(gateway.reach_answers.get() + 1);
    let probes = question.upstreams.iter().take(PROOF_SAMPLE).map(|id| {
        let answering = find_own_outcome(Rc::clone(&gateway), id.clone(), question.clone());
        gateway.executor.spawn(answering)
    });
    let probes: Vec<_> = probes.collect();
    let outcomes = stream::iter(probes).then(|probe| probe).collect().await;
    let answer = ReachAnswer {
        number: question.number,
        node: gateway.settings.node.clone(),
        outcomes,
        tunnels: gateway.tunnels.get(),
    };
    send_datagram(&gateway.socket, &[from], &PeerDatagram::ReachAnswer(answer)).await;
    gateway.reach_answers.set(gateway.reach_answers.get() - 1);
}

/// Returns whether this node reaches an upstream that another node asks for.
async fn find_own_outcome(
    gateway: Rc<Gateway>,
    id: UpstreamId,
    question: ReachQuestion,
) -> ProbeOutcome {
    let now = gateway.now();
    let contact_age = Duration::from_millis(question.contact_age_ms.into());
    let since = now.checked_sub(contact_age).unwrap_or(now);
    {
        let upstreams = gateway.upstreams.borrow();
        let Some(health) = upstreams.get(&id) else {
            return ProbeOutcome::Unknown;
        };
        let service = &health.entry.service;
        if is_cut_off(&gateway, service) {
            return ProbeOutcome::Unknown;
        }
        if !contact_age.is_zero() && upstreams.is_reached_since(since, Some(service), None) {
            return ProbeOutcome::Reached;
        }
    }
    if question.needs_proof {
        probe_with_proof(&gateway, &id).await
    } else {
        probe_upstream(&gateway, &id).await
    }
}

/// Passes another node's answer to the question that waits for it.
pub(crate) fn receive_answer(gateway: &Gateway, answer: ReachAnswer) {
    let questions = gateway.reach_questions.borrow();
    let waiting = questions.get(&answer.number);
    if waiting.is_none_or(|sender| sender.try_send(answer).is_err()) {
        log::debug!("event=reach_answer_dropped reason=no_question");
    }
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
        if !is_cut_off(&gateway, &service) {
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
