//! What a node knows of the others, which nodes it reports to, and which it asks.
//!
//! A node reports to the relay of each availability zone and asks one of them, usually
//! that of its own zone. A relay hears all nodes. It asks the other relays, so that
//! all relays know each other.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, SliceRandom},
};
use types::{NodeId, UpstreamId};

use crate::{
    AcceptedNews, NewsCursor, NewsItem, NewsLog, NewsPage, NewsReader, NewsSubject, NodeRoster,
    RosterEntry, UpstreamTable,
    relays::{RelayWatch, StandIns, find_lost_relays, is_better_relay, select_relays},
};

/// Shortest pause between two reports. A fully loaded engine starts to decode another
/// answer about this often, so its load changes no faster.
const REPORT_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause between two reports: a quarter of the time without one after which a
/// node counts as dead.
const REPORT_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Pause after the first report of a node that knows no other; it grows by as much with
/// each further report, as all nodes of a fleet may start at once and report to the same
/// few seeds.
const ISOLATED_PAUSE_STEP: Duration = Duration::from_millis(100);
/// Rate of reports to a relay at which the pause begins to grow with the fleet.
/// Handling them takes a hundredth of a core.
const RELAY_REPORTS_PER_SECOND: u32 = 1000;
/// Time after which a relay relies on the reports that it receives, and no longer on
/// what another relay told. By then all nodes know of the relay and report to it.
const RELAY_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of known nodes that an isolated node reports to at a time.
const ISOLATED_TARGETS: usize = 8;
/// Shortest pause between two updates of the log, which a relay that answers hundreds
/// of nodes would otherwise make for each of them.
const PUBLISH_PAUSE: Duration = Duration::from_millis(30);
/// Pause after a page of news before a node that has lost its relay asks for the rest: the
/// pages of one answer arrive together.
const NEXT_PAGES_PAUSE: Duration = Duration::from_millis(20);
/// Number of relays that always poll the store.
const STORE_POLLERS: usize = 3;

/// A node's view of the fleet.
#[derive(Debug)]
pub struct FleetView {
    seeds: Vec<SocketAddr>,
    roster: NodeRoster,
    log: NewsLog,
    /// What this node has read of the logs of others, by their address.
    readers: HashMap<SocketAddr, NewsReader>,
    watch: RelayWatch,
    /// Nodes that are asked while the answer of the relay is overdue.
    stand_ins: StandIns,
    /// Whether the relay has not answered, and this node has not read all news of another
    /// one since.
    is_behind: bool,
    /// When the last page arrived, if it was not the last of the log.
    partial_page_at: Option<Instant>,
    /// Node whose news this node takes over; `None` for a relay, which takes over those
    /// of all relays.
    source: Option<SocketAddr>,
    /// Since when this node is the relay of its zone.
    relay_since: Option<Instant>,
    published_at: Option<Instant>,
    /// Digest of the upstreams that were published last.
    published_digest: u64,
    /// Number of reports in a row that were sent without knowing another node.
    isolated_reports: u32,
    /// Position of the seed that is asked first.
    first_seed: usize,
}

/// Where a report goes, and what changed since the last one.
#[derive(Debug)]
pub struct ReportPlan {
    /// Nodes to report to.
    pub targets: Vec<ReportTarget>,
    /// The relay that this node asks from now on, if it asked another one before.
    pub chosen: Option<RosterEntry>,
    /// A relay that did not answer and is passed over for a while.
    pub silent: Option<NodeId>,
    /// Whether the questions are due now, since the relay does not answer.
    pub asks_now: bool,
}

/// What a node knows of others.
#[derive(Clone, Copy, Debug)]
pub struct ContactLevel {
    /// Whether it knows no live node.
    isolated: bool,
    /// Number of known nodes, dead ones included.
    known: usize,
}

/// A node that gets a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportTarget {
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Up to where this node knows its news, if it is asked for more.
    pub question: Option<NewsCursor>,
    /// Whether it is asked for the sums of the others' loads as well.
    pub wants_sums: bool,
}

impl FleetView {
    /// Creates the view of a node that knows only the addresses of `seeds`. `log_id`
    /// tells its log from those of other processes and is not 0.
    #[must_use]
    pub fn new(log_id: u64, seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            roster: NodeRoster::default(),
            log: NewsLog::new(log_id),
            readers: HashMap::new(),
            watch: RelayWatch::default(),
            stand_ins: StandIns::default(),
            is_behind: false,
            partial_page_at: None,
            source: None,
            relay_since: None,
            published_at: None,
            published_digest: 0,
            isolated_reports: 0,
            first_seed: 0,
        }
    }

    /// The other nodes that this node knows of.
    #[must_use]
    pub fn roster(&self) -> &NodeRoster {
        &self.roster
    }

    /// The other nodes, to record what they report.
    pub fn roster_mut(&mut self) -> &mut NodeRoster {
        &mut self.roster
    }

    /// What this node knows of others, to see in [`report_is_urgent`](Self::report_is_urgent)
    /// whether it has learnt of some.
    #[must_use]
    pub fn contact_level(&self, now: Instant) -> ContactLevel {
        ContactLevel {
            isolated: self.roster.live(now).next().is_none(),
            known: self.roster.members().count(),
        }
    }

    /// Whether the next report is due at once: a node that knew no live one at its last
    /// report has heard of others since, by themselves or in the store; or the relay does
    /// not answer, and others are to be asked.
    #[must_use]
    pub fn report_is_urgent(&self, now: Instant, before: ContactLevel) -> bool {
        let level = self.contact_level(now);
        before.isolated && (!level.isolated || level.known > before.known)
            || self.needs_stand_ins(now)
            || self.needs_next_pages(now)
    }

    fn needs_stand_ins(&self, now: Instant) -> bool {
        self.source.is_some() && self.watch.is_overdue(now) && self.stand_ins.are_due(now)
    }

    fn needs_next_pages(&self, now: Instant) -> bool {
        let is_past = |at| now.saturating_duration_since(at) >= NEXT_PAGES_PAUSE;
        self.source.is_some() && self.is_behind && self.partial_page_at.is_some_and(is_past)
    }

    /// Pause before the next report.
    #[must_use]
    pub fn report_pause(&self, now: Instant) -> Duration {
        let nodes = u32::try_from(self.roster.live(now).count()).unwrap_or(u32::MAX);
        if nodes == 0 {
            let pause = ISOLATED_PAUSE_STEP * self.isolated_reports;
            return pause.clamp(REPORT_PAUSE_MIN, REPORT_PAUSE_MAX);
        }
        let pause = Duration::from_secs(1) * nodes / RELAY_REPORTS_PER_SECOND;
        pause.clamp(REPORT_PAUSE_MIN, REPORT_PAUSE_MAX)
    }

    /// Whether this node is the relay of its zone, as far as it knows.
    #[must_use]
    pub fn is_relay(&self, now: Instant, own: &RosterEntry) -> bool {
        let mut others = self.roster.live(now).filter(|entry| entry.zone == own.zone);
        others.all(|entry| is_better_relay(own, entry))
    }

    /// Whether this node is one of the few relays that always poll the store.
    #[must_use]
    pub fn is_store_poller(&self, now: Instant, own: &RosterEntry) -> bool {
        let relays = select_relays(self.roster.live(now).chain([own]));
        let mut pollers = relays.iter().take(STORE_POLLERS);
        pollers.any(|poller| poller.node == own.node)
    }

    /// Addresses of the relays, without this node's own.
    #[must_use]
    pub fn other_relays(&self, now: Instant, own: &RosterEntry) -> Vec<SocketAddr> {
        let relays = select_relays(self.roster.live(now).chain([own]));
        let others = relays.iter().filter(|relay| relay.node != own.node);
        others.map(|relay| relay.peer_address).collect()
    }

    /// Addresses of the live nodes of this node's zone, without `origin` and without
    /// this node's own.
    #[must_use]
    pub fn zone_members(&self, now: Instant, own: &RosterEntry, origin: &str) -> Vec<SocketAddr> {
        self.roster
            .live(now)
            .filter(|entry| entry.zone == own.zone && entry.node != origin)
            .map(|entry| entry.peer_address)
            .collect()
    }

    /// Plans the next report. A node with a `stale_copy` of the store's tables that is
    /// a relay also asks the node to which the store has answered last.
    /// `question_pause` is the interval between questions.
    pub fn plan_report(
        &mut self,
        now: Instant,
        own: &RosterEntry,
        question_pause: Duration,
        stale_copy: bool,
        rng: &mut impl Rng,
    ) -> ReportPlan {
        let needs_stand_ins = self.needs_stand_ins(now);
        let asks_now = needs_stand_ins || self.needs_next_pages(now);
        let silent = self.watch.take_silent(now, question_pause);
        if let Some(relay) = &silent {
            self.roster.record_silence(now, relay);
        }
        self.is_behind |= needs_stand_ins || silent.is_some();
        let is_relay = self.is_relay(now, own);
        self.relay_since = is_relay.then(|| self.relay_since.unwrap_or(now));
        let settled = self
            .relay_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RELAY_SETTLE_TIME);
        self.roster.set_hears_all(settled);

        let mut relays = select_relays(self.roster.live(now).chain([own]));
        let mut lost = find_lost_relays(self.roster.members().chain([own]), &relays);
        lost.extend(find_lost_relays(
            self.roster.told_alive().chain([own]),
            &relays,
        ));
        relays.retain(|relay| relay.node != own.node);
        let known = relays.iter().chain(&lost).map(|entry| entry.peer_address);
        let mut addresses: Vec<SocketAddr> = known.collect();
        if is_relay {
            addresses.extend(&self.seeds);
        }
        if relays.is_empty() {
            let members: Vec<&RosterEntry> = self.roster.members().collect();
            let sample = members.sample(rng, ISOLATED_TARGETS);
            addresses.extend(sample.map(|entry| entry.peer_address));
        }
        self.isolated_reports = if relays.is_empty() {
            self.isolated_reports.saturating_add(1)
        } else {
            0
        };
        let mut chosen = None;
        let asked = if relays.is_empty() {
            // One seed at a time, since all nodes may start at once and ask the same few,
            // and each in turn, since some may be down; beside it one of the known nodes.
            self.source = None;
            let is_other = |address: &SocketAddr| *address != own.peer_address;
            let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_other).collect();
            if self.isolated_reports == 1 {
                self.first_seed = rng.random_range(0..seeds.len().max(1));
            }
            let turn = usize::try_from(self.isolated_reports).unwrap_or_default();
            let seed = seeds
                .get((self.first_seed + turn) % seeds.len().max(1))
                .copied();
            let known = addresses.iter().copied();
            let known: Vec<SocketAddr> = known
                .filter(|address| is_other(address) && !seeds.contains(address))
                .collect();
            seed.into_iter().chain(known.choose(rng).copied()).collect()
        } else if is_relay {
            self.source = None;
            let mut asked = addresses.clone();
            let newest = self.roster.newest_store_confirmation(now);
            let newest = newest.filter(|_| stale_copy);
            asked.extend(newest.map(|(entry, _)| entry.peer_address));
            asked
        } else {
            let relay = self.relay_to_ask(now, own, &relays).clone();
            if self.watch.record_question(now, &relay.node) {
                chosen = Some(relay.clone());
            }
            if self.source != Some(relay.peer_address) {
                // What other nodes told meanwhile is not in this node's reading; stand-ins are
                // read on.
                let stand_ins = self.stand_ins.asked();
                self.readers.retain(|address, _| {
                    stand_ins.contains(address) && *address != relay.peer_address
                });
                self.source = Some(relay.peer_address);
            }
            if needs_stand_ins {
                let others = self.nodes_beside(now, &relay, &relays, rng);
                self.stand_ins.add_round(now, others.into_iter());
            }
            if asks_now {
                self.partial_page_at = None;
            }
            // A relay of this zone that was passed over is asked as well: it is chosen
            // again once it answers.
            let passed_over = lost.iter().filter(|entry| entry.zone == own.zone);
            let mut asked: Vec<SocketAddr> = passed_over.map(|entry| entry.peer_address).collect();
            asked.push(relay.peer_address);
            asked.extend(self.stand_ins.targets());
            asked
        };
        addresses.extend(&asked);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own.peer_address);
        let targets = addresses.into_iter().map(|address| ReportTarget {
            address,
            question: asked.contains(&address).then(|| self.cursor(address)),
            wants_sums: !is_relay && !self.stand_ins.targets().contains(&address),
        });
        ReportPlan {
            targets: targets.collect(),
            chosen,
            silent,
            asks_now,
        }
    }

    /// Addresses of the nodes that may stand in for `relay`: the other relays first, and
    /// then all others in random order, so that they share the questions.
    fn nodes_beside(
        &self,
        now: Instant,
        relay: &RosterEntry,
        relays: &[&RosterEntry],
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let is_relay = |entry: &RosterEntry| relays.iter().any(|relay| relay.node == entry.node);
        let mut others: Vec<SocketAddr> = self
            .roster
            .live(now)
            .filter(|entry| !is_relay(entry))
            .map(|entry| entry.peer_address)
            .collect();
        others.shuffle(rng);
        let relays = relays.iter().filter(|other| other.node != relay.node);
        let relays = relays.map(|other| other.peer_address);
        relays.chain(others).collect()
    }

    /// The relay of this node's zone. The node that replaces a silent relay may not
    /// hear all others yet, so a relay of another zone is asked for the time being.
    fn relay_to_ask<'a>(
        &self,
        now: Instant,
        own: &RosterEntry,
        relays: &[&'a RosterEntry],
    ) -> &'a RosterEntry {
        let is_replaced = self.roster.has_silent_node(now, &own.zone);
        let preferred = relays
            .iter()
            .find(|relay| (relay.zone == own.zone) != is_replaced);
        preferred.unwrap_or(&relays[0])
    }

    fn cursor(&self, address: SocketAddr) -> NewsCursor {
        let reader = self.readers.get(&address);
        reader.map(NewsReader::cursor).unwrap_or_default()
    }

    /// Records that the questions of a plan are sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.watch.record_sent(now);
    }

    /// Records an answer of the node at `address`, which counts if it is the relay's.
    pub fn record_answer(&mut self, address: SocketAddr) {
        if self.source.is_some_and(|source| source != address) {
            return;
        }
        self.watch.record_answer();
        for stand_in in self.stand_ins.asked() {
            if Some(*stand_in) != self.source {
                self.readers.remove(stand_in);
            }
        }
        self.stand_ins = StandIns::default();
    }

    /// Brings the log up to date with the nodes and upstreams that this node knows, at
    /// most once in [`PUBLISH_PAUSE`] unless other upstreams take work than before.
    pub fn publish_state(&mut self, now: Instant, own: &RosterEntry, upstreams: &UpstreamTable) {
        let digest = upstreams.digest();
        let last = self.published_at;
        let is_recent =
            last.is_some_and(|last| now.saturating_duration_since(last) < PUBLISH_PAUSE);
        if is_recent && digest == self.published_digest {
            return;
        }
        self.published_at = Some(now);
        self.published_digest = digest;
        let log = &mut self.log;
        log.expire(now);
        log.publish(now, NewsItem::Node(own.clone(), true));
        for entry in self.roster.members() {
            let alive = self.roster.is_alive(now, &entry.node);
            log.publish(now, NewsItem::Node(entry.clone(), alive));
        }
        let left: Vec<RosterEntry> = log
            .live_nodes()
            .filter(|entry| entry.node != own.node && !self.roster.is_known(&entry.node))
            .cloned()
            .collect();
        for entry in left {
            log.publish(now, NewsItem::Node(entry, false));
        }
        let gone: Vec<(UpstreamId, u64)> = log
            .listed_upstreams()
            .filter(|entry| upstreams.get(&entry.id).is_none())
            .map(|entry| {
                let version = upstreams.removed_version(&entry.id);
                (entry.id.clone(), version.unwrap_or(entry.version))
            })
            .collect();
        for (id, version) in gone {
            log.publish(now, NewsItem::UpstreamGone(id, version));
        }
        for entry in upstreams.entries() {
            log.publish(now, NewsItem::Upstream(entry.clone()));
        }
        for (id, notice) in upstreams.rate_notices() {
            log.publish(now, NewsItem::Rate(id.clone(), notice));
        }
    }

    /// Publishes an item that is not part of the state that
    /// [`publish_state`](Self::publish_state) publishes.
    pub fn publish(&mut self, now: Instant, item: NewsItem) {
        self.log.publish(now, item);
    }

    /// The news after `cursor` that fit into about `max_bytes`.
    #[must_use]
    pub fn news_after(&self, cursor: NewsCursor, max_bytes: usize) -> NewsPage {
        self.log.page_after(cursor, max_bytes)
    }

    /// Takes over a page of the log of the node `from`, and what it says of other
    /// nodes; `None` for a page that doesn't follow the last one, or of a node that this
    /// one doesn't ask any more.
    pub fn accept_news(
        &mut self,
        now: Instant,
        own: &RosterEntry,
        from: RosterEntry,
        page: NewsPage,
    ) -> Option<AcceptedNews> {
        let address = from.peer_address;
        self.roster.record_heartbeat(now, from);
        let is_source = self.source.is_none_or(|source| source == address);
        if is_source {
            self.record_answer(address);
        } else if !self.stand_ins.record_news(now, address) {
            return None;
        }
        self.partial_page_at = (!page.complete).then_some(now);
        let accepted = self.readers.entry(address).or_default().accept(page)?;
        for item in &accepted.items {
            // A stand-in may know a dead node as alive still, and its word would not be taken
            // back by the relay, which tells only what changes.
            if let NewsItem::Node(entry, alive) = item
                && entry.node != own.node
                && is_source
            {
                self.roster.record_told(now, entry.clone(), *alive);
            }
        }
        if accepted.caught_up && self.source == Some(address) {
            self.is_behind = false;
        }
        if accepted.listing.is_some() && is_source {
            self.roster.record_whole_listing();
        }
        if let Some(listing) = &accepted.listing
            && self.source == Some(address)
        {
            let is_listed = |node: &NodeId| listing.contains(&NewsSubject::Node(node.clone()));
            self.roster.retain_told(is_listed);
        }
        Some(accepted)
    }

    /// Forgets what this node has read of the log of the node at `address`, so that its
    /// next answer begins a listing.
    pub fn read_again(&mut self, address: SocketAddr) {
        self.readers.remove(&address);
    }
}
