//! Questions between nodes: which upstreams another node reaches.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dispatch::{HelperNode, ProbeOutcome, RosterEntry};
use futures_lite::StreamExt;
use serde::{Deserialize, Serialize};
use smol::{
    channel::{Receiver, bounded},
    stream,
};
use types::{NodeId, UpstreamId};

use crate::{
    datagrams::{PeerDatagram, send_datagram},
    probe::{probe_upstream, probe_with_proof},
    state::Gateway,
};

/// Upstreams of one question that are answered.
const ASKED_UPSTREAMS_MAX: usize = 4;
/// Answers that wait to be read; further ones are dropped.
const WAITING_ANSWERS_MAX: usize = 16;
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
pub(crate) struct OpenQuestion {
    gateway: Rc<Gateway>,
    question: ReachQuestion,
    answers: Receiver<ReachAnswer>,
    /// Nodes that were asked.
    pub(crate) asked: Vec<RosterEntry>,
}

impl OpenQuestion {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        upstreams: Vec<UpstreamId>,
        contact_age: Duration,
    ) -> Self {
        let (sender, answers) = bounded(WAITING_ANSWERS_MAX);
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

    /// Accepts only refusals that are proven.
    pub(crate) fn with_proof(mut self) -> Self {
        self.question.needs_proof = true;
        self
    }

    /// Asks `nodes`.
    pub(crate) async fn ask(&mut self, nodes: Vec<RosterEntry>) {
        let addresses: Vec<SocketAddr> = nodes.iter().map(|entry| entry.peer_address).collect();
        let datagram = PeerDatagram::ReachQuestion(self.question.clone());
        send_datagram(&self.gateway.socket, &addresses, &datagram).await;
        self.asked.extend(nodes);
    }

    /// Asks `count` nodes that were not asked before, of other zones if possible.
    pub(crate) async fn ask_others(&mut self, count: usize) {
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
    pub(crate) async fn next_answer(
        &self,
        limit: Duration,
    ) -> Option<(HelperNode, Vec<ProbeOutcome>)> {
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
    let probes = question
        .upstreams
        .iter()
        .take(ASKED_UPSTREAMS_MAX)
        .map(|id| {
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
        if gateway.is_cut_off(service) {
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
