//! Connects membership and gossip to the other services of a node.

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

/// Interval between summaries; gossip sends each to a few members.
const SUMMARY_PAUSE: Duration = Duration::from_millis(500);
/// Interval between reads of the member snapshot while no change wakes the task.
const MEMBER_POLL_PAUSE: Duration = Duration::from_secs(1);
/// Most evidence items that fit one membership message.
const EVIDENCE_LIMIT: usize = 10;

/// Passes membership changes and gossip bodies between the membership service
/// and the services that act on them.
#[derive(Clone)]
pub struct MembershipBridge {
    /// Clock that times summaries and reads of the member snapshot.
    pub clock: ClockSource,
    /// Membership service that gossips the bodies.
    pub members: Arc<MemberService>,
    /// Ownership of engines, which follows the live members.
    pub ownership: Arc<EngineOwnership>,
    /// Client for other nodes, whose addresses follow the members.
    pub peers: Arc<PeerClient>,
    /// Source and receiver of evidence about upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Quarantine, source and receiver of engine death records.
    pub quarantine: Arc<QuarantineService>,
    /// Service of the scheduler, source and receiver of node summaries.
    pub prompts: Arc<PromptService>,
    /// Metrics; the number of live members is set here.
    pub metrics: Arc<NodeMetrics>,
}

impl MembershipBridge {
    /// Applies membership changes to the other services until `token` is
    /// cancelled.
    pub async fn run_member_changes(self, token: CancellationToken) {
        let changes = self.members.subscribe_changes();
        let mut serving: HashSet<NodeId> = HashSet::new();
        while !token.is_cancelled() {
            serving = self.apply_snapshot(&self.members.members(), &serving);
            let wake_up = async {
                changes.recv().await.ok();
            };
            let wake_up_or_due = smol::future::or(wake_up, self.clock.sleep(MEMBER_POLL_PAUSE));
            smol::future::or(wake_up_or_due, token.cancelled()).await;
        }
    }

    /// Applies the members in `snapshot`; returns the nodes that accept new work.
    /// The scheduler forgets the nodes of `previous` that no longer do.
    fn apply_snapshot(
        &self,
        snapshot: &MemberSnapshot,
        previous: &HashSet<NodeId>,
    ) -> HashSet<NodeId> {
        self.ownership.set_candidates(snapshot.owner_candidates());
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

    /// Publishes this node's summary every `SUMMARY_PAUSE` until `token` is
    /// cancelled.
    pub async fn run_summary_publisher(self, token: CancellationToken) {
        while !token.is_cancelled() {
            self.publish_summary().await;
            smol::future::or(self.clock.sleep(SUMMARY_PAUSE), token.cancelled()).await;
        }
    }

    async fn publish_summary(&self) {
        let summary = self.prompts.update_summary();
        self.publish(GossipTopic::NodeSummary, &summary).await;
    }

    /// Passes other nodes' summaries to the scheduler until `token` is
    /// cancelled.
    pub async fn run_summary_reader(self, token: CancellationToken) {
        let apply = |_, summary| self.prompts.receive_summary(summary);
        self.read(GossipTopic::NodeSummary, apply, token).await;
    }

    /// Publishes this node's newest evidence about upstreams, at most
    /// `EVIDENCE_LIMIT` items, until `token` is cancelled.
    pub async fn run_evidence_publisher(self, token: CancellationToken) {
        let items = self.directory.local_evidence();
        let mut newest: VecDeque<UpstreamEvidence> = VecDeque::new();
        let publishing = async {
            while let Ok(evidence) = items.recv().await {
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

    /// Records other nodes' evidence about upstreams until `token` is
    /// cancelled.
    pub async fn run_evidence_reader(self, token: CancellationToken) {
        let apply = |origin: NodeId, list: Vec<UpstreamEvidence>| {
            for evidence in list {
                self.directory
                    .record_peer_evidence(origin.clone(), evidence);
            }
        };
        self.read(GossipTopic::EngineEvidence, apply, token).await;
    }

    /// Publishes engine deaths that prompts may have caused, until `token` is
    /// cancelled.
    pub async fn run_death_publisher(self, token: CancellationToken) {
        let changes = self.quarantine.change_signal();
        let publishing = async {
            while changes.recv().await.is_ok() {
                let records = self.quarantine.gossip_records();
                self.publish(GossipTopic::CrashEvidence, &records).await;
            }
        };
        smol::future::or(publishing, token.cancelled()).await;
    }

    /// Records engine deaths that other nodes publish, until `token` is
    /// cancelled.
    pub async fn run_death_reader(self, token: CancellationToken) {
        let apply = |_, records: Vec<DeathRecord>| self.quarantine.merge_records(&records);
        self.read(GossipTopic::CrashEvidence, apply, token).await;
    }

    /// Publishes `body` as this node's body of `topic`.
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

    /// Decodes other nodes' bodies of a topic and passes them to `apply` with
    /// their origin, until `token` is cancelled.
    async fn read<T: DeserializeOwned>(
        &self,
        topic: GossipTopic,
        apply: impl Fn(NodeId, T),
        token: CancellationToken,
    ) {
        let bodies = self.members.subscribe(topic);
        let reading = async {
            while let Ok(record) = bodies.recv().await {
                match postcard::from_bytes(&record.body) {
                    Ok(body) => apply(record.origin, body),
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
