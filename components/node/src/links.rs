//! What membership tells the other services, and what they tell members.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use engines::DeathRecord;
use kernel::{CancellationToken, ClockSource};
use membership::{GossipTopic, MemberSnapshot, UpstreamEvidence};
use serde::{Serialize, de::DeserializeOwned};
use telemetry::NodeMetrics;
use types::NodeId;

use crate::{
    directory::UpstreamDirectory, fleet::EngineOwnership, members::MemberService,
    peers::PeerClient, prompts::PromptService, quarantine::QuarantineService,
};

/// Summaries are made at this pace; membership sends each to few members.
const SUMMARY_PAUSE: Duration = Duration::from_millis(500);
const REVIEW_PAUSE: Duration = Duration::from_secs(1);
/// Evidence that fits one membership message.
const EVIDENCE_LIMIT: usize = 10;

/// Carries news between membership and the services that decide by it.
#[derive(Clone)]
pub struct MembershipBridge {
    /// Clock.
    pub clock: ClockSource,
    /// Membership.
    pub members: Arc<MemberService>,
    /// Who may own engines.
    pub fleet: Arc<EngineOwnership>,
    /// Addresses of nodes.
    pub peers: Arc<PeerClient>,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Prompts that crash engines.
    pub quarantine: Arc<QuarantineService>,
    /// The scheduler's service.
    pub prompts: Arc<PromptService>,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
}

impl MembershipBridge {
    /// Hands on changes of membership until `token` is cancelled.
    pub async fn run_changes(self, token: CancellationToken) {
        let changes = self.members.changes();
        let mut serving: HashSet<NodeId> = HashSet::new();
        while !token.is_cancelled() {
            serving = self.apply_snapshot(&self.members.members(), &serving);
            let changed = async {
                changes.recv().await.ok();
            };
            let changed_or_due = smol::future::or(changed, self.clock.sleep(REVIEW_PAUSE));
            smol::future::or(changed_or_due, token.cancelled()).await;
        }
    }

    fn apply_snapshot(
        &self,
        snapshot: &MemberSnapshot,
        previous: &HashSet<NodeId>,
    ) -> HashSet<NodeId> {
        self.fleet.set_candidates(snapshot.owner_candidates());
        let addresses: HashMap<NodeId, String> = snapshot
            .views
            .iter()
            .filter(|view| view.record.state.is_present())
            .map(|view| {
                let record = &view.record;
                (record.node.clone(), record.addresses.peer.to_string())
            })
            .collect();
        self.peers.set_addresses(addresses);
        let serving: HashSet<NodeId> = snapshot
            .serving()
            .map(|record| record.node.clone())
            .collect();
        for node in previous.difference(&serving) {
            log::info!("event=node_gone node={node}");
            self.prompts.forget_node(node);
        }
        let count = i64::try_from(serving.len()).unwrap_or(i64::MAX);
        self.metrics.live_members.set(count);
        serving
    }

    /// Publishes this node's summary until `token` is cancelled.
    pub async fn run_publisher(self, token: CancellationToken) {
        while !token.is_cancelled() {
            self.publish_summary().await;
            smol::future::or(self.clock.sleep(SUMMARY_PAUSE), token.cancelled()).await;
        }
    }

    async fn publish_summary(&self) {
        let summary = self.prompts.summary();
        self.publish(GossipTopic::NodeSummary, &summary).await;
    }

    /// Hands other nodes' summaries to the scheduler until `token` is
    /// cancelled.
    pub async fn run_reader(self, token: CancellationToken) {
        let take = |_, summary| self.prompts.take_summary(summary);
        self.read(GossipTopic::NodeSummary, take, token).await;
    }

    /// Tells other nodes what calls of this one showed of upstreams, the
    /// newest few, until `token` is cancelled.
    pub async fn run_evidence_publisher(self, token: CancellationToken) {
        let news = self.directory.local_evidence();
        let mut newest: VecDeque<UpstreamEvidence> = VecDeque::new();
        let publishing = async {
            while let Ok(evidence) = news.recv().await {
                newest.retain(|known| known.upstream != evidence.upstream);
                newest.push_back(evidence);
                if newest.len() > EVIDENCE_LIMIT {
                    newest.pop_front();
                }
                self.publish(GossipTopic::EngineEvidence, &newest).await;
            }
        };
        smol::future::or(publishing, token.cancelled()).await;
    }

    /// Takes what other nodes tell of upstreams until `token` is cancelled.
    pub async fn run_evidence_reader(self, token: CancellationToken) {
        let take = |origin: NodeId, list: Vec<UpstreamEvidence>| {
            for evidence in list {
                self.directory
                    .record_peer_evidence(origin.clone(), evidence);
            }
        };
        self.read(GossipTopic::EngineEvidence, take, token).await;
    }

    /// Tells other nodes of engines that died under prompts, until `token` is
    /// cancelled.
    pub async fn run_death_publisher(self, token: CancellationToken) {
        let news = self.quarantine.news();
        let publishing = async {
            while news.recv().await.is_ok() {
                let evidence = self.quarantine.evidence();
                self.publish(GossipTopic::CrashEvidence, &evidence).await;
            }
        };
        smol::future::or(publishing, token.cancelled()).await;
    }

    /// Takes what other nodes tell of deaths until `token` is cancelled.
    pub async fn run_death_reader(self, token: CancellationToken) {
        let take = |_, records: Vec<DeathRecord>| self.quarantine.told(&records);
        self.read(GossipTopic::CrashEvidence, take, token).await;
    }

    /// Sets this node's body of a topic.
    async fn publish<T: Serialize>(&self, topic: GossipTopic, body: &T) {
        let body = match postcard::to_stdvec(body) {
            Ok(body) => body,
            Err(error) => {
                log::error!("event=topic_not_encoded topic={topic:?} cause=\"{error}\"");
                return;
            }
        };
        if let Err(fault) = self.members.publish(topic, body).await {
            log::warn!("event=topic_not_sent topic={topic:?} cause=\"{fault}\"");
        }
    }

    /// Hands on other nodes' bodies of a topic, with their origin, until
    /// `token` is cancelled.
    async fn read<T: DeserializeOwned>(
        &self,
        topic: GossipTopic,
        take: impl Fn(NodeId, T),
        token: CancellationToken,
    ) {
        let bodies = self.members.subscribe(topic);
        let reading = async {
            while let Ok(record) = bodies.recv().await {
                match postcard::from_bytes(&record.body) {
                    Ok(body) => take(record.origin, body),
                    Err(error) => log::warn!(
                        "event=topic_not_read topic={topic:?} node={} cause=\"{error}\"",
                        record.origin
                    ),
                }
            }
        };
        smol::future::or(reading, token.cancelled()).await;
    }
}
