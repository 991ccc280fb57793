//! State machine that adopts release notes on one node. The version in force
//! never decreases.

mod event;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use types::{NodeId, NoteVersion};

use crate::{AcceptedNote, ChainHead, ChainState, FleetState, NotesReply};

pub use event::{
    AdopterAction, AdopterEvent, AdopterSettings, NoteHolder, NoteSource, VersionGate,
};

#[derive(Debug)]
struct CachedNote {
    note: AcceptedNote,
    bytes: usize,
}

#[derive(Debug)]
struct PendingFetch {
    source: NoteSource,
    deadline: Instant,
}

/// Decides when a node adopts a note and when it may serve.
#[derive(Debug)]
pub struct NoteAdopter {
    settings: AdopterSettings,
    chain: Arc<ChainState>,
    cached_notes: VecDeque<CachedNote>,
    cached_bytes: usize,
    target_version: NoteVersion,
    // An announced version that no known node holds, and when to fetch it from
    // the store.
    announced: Option<(NoteVersion, Instant)>,
    ready: bool,
    head_known: bool,
    store_failed: bool,
    peer_versions: BTreeMap<NodeId, NoteVersion>,
    holders: Vec<NoteHolder>,
    fetch: Option<PendingFetch>,
    head_deadline: Option<Instant>,
    next_head_read: Instant,
    next_fetch: Instant,
    source_index: usize,
    last_tick: Instant,
    resumed_at: Option<Instant>,
    actions: Vec<AdopterAction>,
}

impl NoteAdopter {
    /// Creates an adopter that has no note and may not serve yet.
    #[must_use]
    pub fn new(now: Instant, settings: AdopterSettings) -> Self {
        Self {
            settings,
            chain: Arc::default(),
            cached_notes: VecDeque::new(),
            cached_bytes: 0,
            target_version: 0,
            announced: None,
            ready: false,
            head_known: false,
            store_failed: false,
            peer_versions: BTreeMap::new(),
            holders: Vec::new(),
            fetch: None,
            head_deadline: None,
            next_head_read: now,
            next_fetch: now,
            source_index: 0,
            last_tick: now,
            resumed_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to take, in order.
    pub fn handle(&mut self, now: Instant, event: AdopterEvent) -> Vec<AdopterAction> {
        match event {
            AdopterEvent::Tick(holders) => self.on_tick(now, holders),
            AdopterEvent::VersionAnnounced { version, holder } => {
                self.on_version_announced(now, version, holder);
            }
            AdopterEvent::HeadRead(head) => self.on_head_read(&head),
            AdopterEvent::HeadReadFailed => {
                self.head_deadline = None;
                self.store_failed = true;
            }
            AdopterEvent::Fetched { source, reply } => self.on_fetched(source, reply),
            AdopterEvent::FetchFailed(source) => self.on_fetch_failed(&source),
        }
        self.update_readiness(now);
        self.start_fetch(now);
        std::mem::take(&mut self.actions)
    }

    /// The chain in force on this node.
    #[must_use]
    pub fn chain(&self) -> Arc<ChainState> {
        Arc::clone(&self.chain)
    }

    /// Whether this node may serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Version in force on this node.
    #[must_use]
    pub fn version(&self) -> NoteVersion {
        self.chain.state.version
    }

    /// Whether a request may be served. `required` is the version under which
    /// its caller was last served, or 0 if the request names none.
    #[must_use]
    pub fn version_gate(&self, now: Instant, required: NoteVersion) -> VersionGate {
        if !self.ready || self.was_paused(now) {
            return VersionGate::NotReady;
        }
        if required > self.version() {
            return VersionGate::Await(required);
        }
        VersionGate::Serve
    }

    /// Builds the reply to another node that has version `after`.
    #[must_use]
    pub fn reply(&self, after: NoteVersion) -> NotesReply {
        if !self.ready {
            return NotesReply::default();
        }
        let notes = self.cached_notes.iter().map(|cached| &cached.note);
        let notes: Vec<_> = notes.filter(|note| note.version > after).cloned().collect();
        let in_force = self.version();
        let complete = notes.len() as u64 == in_force.saturating_sub(after);
        NotesReply {
            serves: true,
            in_force,
            snapshot: (!complete).then(|| ChainState::clone(&self.chain)),
            notes: if complete { notes } else { Vec::new() },
        }
    }

    fn on_tick(&mut self, now: Instant, holders: Vec<NoteHolder>) {
        if self.was_paused(now) {
            self.on_resume(now);
        }
        self.last_tick = now;
        for holder in &holders {
            self.target_version = self.target_version.max(holder.version);
        }
        if let Some((version, deadline)) = self.announced
            && deadline <= now
        {
            self.announced = None;
            self.target_version = self.target_version.max(version);
        }
        self.holders = holders;
        if self.head_deadline.is_some_and(|deadline| deadline <= now) {
            self.head_deadline = None;
            self.store_failed = true;
        }
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.deadline <= now)
        {
            self.fetch = None;
        }
        if self.head_deadline.is_none() && now >= self.next_head_read {
            let period = if self.head_known {
                self.settings.poll_period
            } else {
                self.settings.retry_period
            };
            self.next_head_read = now + period;
            self.head_deadline = Some(now + self.settings.fetch_timeout);
            self.actions.push(AdopterAction::ReadHead);
        }
    }

    fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.settings.pause_threshold
    }

    /// Stops serving after a pause, during which a newer note may have come into
    /// force elsewhere.
    fn on_resume(&mut self, now: Instant) {
        if self.ready {
            self.resumed_at = Some(now);
        }
        self.ready = false;
        self.head_known = false;
        self.store_failed = false;
        self.peer_versions.clear();
        self.fetch = None;
        self.head_deadline = None;
        self.next_head_read = now;
    }

    fn on_version_announced(&mut self, now: Instant, version: NoteVersion, holder: Option<NodeId>) {
        let Some(node) = holder else {
            let deadline = self.announced.map(|(_, deadline)| deadline);
            let deadline = deadline.unwrap_or(now + self.settings.holder_timeout);
            self.announced = Some((version, deadline));
            return;
        };
        self.target_version = self.target_version.max(version);
        self.holders.retain(|holder| holder.node != node);
        // The node that announced the version is asked first.
        self.holders.insert(0, NoteHolder { node, version });
        self.source_index = 0;
    }

    fn on_head_read(&mut self, head: &ChainHead) {
        self.head_deadline = None;
        self.store_failed = false;
        self.head_known = true;
        self.target_version = self.target_version.max(head.version);
    }

    fn on_fetched(&mut self, source: NoteSource, reply: NotesReply) {
        self.clear_fetch(&source);
        if let NoteSource::Peer(node) = &source
            && reply.serves
        {
            self.peer_versions.insert(node.clone(), reply.in_force);
            self.target_version = self.target_version.max(reply.in_force);
        }
        let previous = self.version();
        if let Err(cause) = self.apply(reply) {
            self.source_index += 1;
            self.actions.push(AdopterAction::Rejected { source, cause });
        }
        if self.version() > previous {
            self.source_index = 0;
            self.actions.push(AdopterAction::InForce(self.version()));
        } else {
            self.source_index += 1;
        }
    }

    /// Applies a newer snapshot and newer notes; others are ignored.
    fn apply(&mut self, reply: NotesReply) -> Result<(), String> {
        if let Some(snapshot) = reply.snapshot
            && snapshot.state.version > self.version()
        {
            self.chain = Arc::new(snapshot);
            self.cached_notes.clear();
            self.cached_bytes = 0;
        }
        let mut chain = ChainState::clone(&self.chain);
        let mut outcome = Ok(());
        for note in reply.notes {
            if note.version <= chain.state.version {
                continue;
            }
            outcome = chain.apply(&note).map_err(|error| error.to_string());
            if outcome.is_err() {
                break;
            }
            self.cache_note(note);
        }
        self.chain = Arc::new(chain);
        outcome
    }

    /// Caches `note` for other nodes, evicting the oldest notes if needed.
    fn cache_note(&mut self, note: AcceptedNote) {
        let bytes = serde_json::to_vec(&note).map_or(0, |text| text.len());
        self.cached_bytes += bytes;
        self.cached_notes.push_back(CachedNote { note, bytes });
        while self.cached_bytes > self.settings.max_cache_bytes {
            let Some(oldest) = self.cached_notes.pop_front() else {
                return;
            };
            self.cached_bytes -= oldest.bytes;
        }
    }

    fn on_fetch_failed(&mut self, source: &NoteSource) {
        self.clear_fetch(source);
        self.source_index += 1;
        if *source == NoteSource::Store {
            self.store_failed = true;
        }
    }

    fn clear_fetch(&mut self, source: &NoteSource) {
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.source == *source)
        {
            self.fetch = None;
        }
    }

    /// Starts serving once the newest note is known from the store, or from
    /// enough peers if the store has failed. After a pause, the resync timeout
    /// is enough. A node that knows of a newer version does not start serving
    /// before it has adopted it.
    fn update_readiness(&mut self, now: Instant) {
        if self.ready || self.version() < self.target_version {
            return;
        }
        let min_replies = self
            .holders
            .len()
            .min(self.settings.min_peer_replies)
            .max(1);
        let confirmed_by_peers = self.store_failed && self.peer_versions.len() >= min_replies;
        let resync_timed_out = self.resumed_at.is_some_and(|resumed| {
            now.saturating_duration_since(resumed) >= self.settings.resync_timeout
        });
        if self.head_known || confirmed_by_peers || resync_timed_out {
            self.ready = true;
            self.resumed_at = None;
            self.actions.push(AdopterAction::Ready);
        }
    }

    fn start_fetch(&mut self, now: Instant) {
        let poll_peers = !self.ready && self.store_failed && !self.head_known;
        let behind = self.version() < self.target_version;
        if self.fetch.is_some() || !(behind || poll_peers) {
            return;
        }
        let failed_before = self.source_index > 0;
        if failed_before && now < self.next_fetch {
            return;
        }
        let Some(source) = self.next_source(poll_peers) else {
            return;
        };
        self.next_fetch = now + self.settings.retry_period / 4;
        self.fetch = Some(PendingFetch {
            source: source.clone(),
            deadline: now + self.settings.fetch_timeout,
        });
        self.actions.push(AdopterAction::Fetch {
            source,
            after: self.version(),
        });
    }

    /// Selects the next source: while peers are polled, the holders that have not
    /// replied; otherwise up to three nodes with a newer version in turn, then
    /// the store. `None` if nothing is left to ask.
    fn next_source(&self, poll_peers: bool) -> Option<NoteSource> {
        let unanswered = |holder: &&NoteHolder| !self.peer_versions.contains_key(&holder.node);
        let unpolled: Vec<_> = self.holders.iter().filter(unanswered).collect();
        if poll_peers && !unpolled.is_empty() {
            let holder = unpolled[self.source_index % unpolled.len()];
            return Some(NoteSource::Peer(holder.node.clone()));
        }
        let is_newer = |holder: &&NoteHolder| holder.version > self.version();
        let mut sources: Vec<_> = self
            .holders
            .iter()
            .filter(is_newer)
            .map(|holder| NoteSource::Peer(holder.node.clone()))
            .collect();
        if sources.is_empty() && poll_peers && self.version() >= self.target_version {
            return None;
        }
        sources.truncate(3);
        sources.push(NoteSource::Store);
        let position = self.source_index % sources.len();
        sources.into_iter().nth(position)
    }

    /// Entries in force on this node.
    #[must_use]
    pub fn state(&self) -> &FleetState {
        &self.chain.state
    }
}
