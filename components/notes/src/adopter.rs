//! Which note is in force on one node: never a lower one than before.

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
struct KeptNote {
    note: AcceptedNote,
    bytes: usize,
}

#[derive(Debug)]
struct PendingFetch {
    source: NoteSource,
    due: Instant,
}

/// Decides when a node takes a note into force, and when it may serve.
#[derive(Debug)]
pub struct NoteAdopter {
    settings: AdopterSettings,
    chain: Arc<ChainState>,
    kept: VecDeque<KeptNote>,
    kept_bytes: usize,
    wanted: NoteVersion,
    // A version that no node is known to have, and when to want it.
    known: Option<(NoteVersion, Instant)>,
    ready: bool,
    store_learned: bool,
    store_failed: bool,
    peers: BTreeMap<NodeId, NoteVersion>,
    holders: Vec<NoteHolder>,
    fetch: Option<PendingFetch>,
    head_due: Option<Instant>,
    next_head: Instant,
    next_try: Instant,
    turn: usize,
    last_tick: Instant,
    resumed: Option<Instant>,
    actions: Vec<AdopterAction>,
}

impl NoteAdopter {
    /// An adopter that knows no note and may not serve.
    #[must_use]
    pub fn new(now: Instant, settings: AdopterSettings) -> Self {
        Self {
            settings,
            chain: Arc::default(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            wanted: 0,
            known: None,
            ready: false,
            store_learned: false,
            store_failed: false,
            peers: BTreeMap::new(),
            holders: Vec::new(),
            fetch: None,
            head_due: None,
            next_head: now,
            next_try: now,
            turn: 0,
            last_tick: now,
            resumed: None,
            actions: Vec::new(),
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: AdopterEvent) -> Vec<AdopterAction> {
        match event {
            AdopterEvent::Tick(holders) => self.tick(now, holders),
            AdopterEvent::VersionAnnounced { version, holder } => self.heard(now, version, holder),
            AdopterEvent::HeadRead(head) => self.head_read(&head),
            AdopterEvent::HeadReadFailed => {
                self.head_due = None;
                self.store_failed = true;
            }
            AdopterEvent::Fetched { source, reply } => self.fetched(source, reply),
            AdopterEvent::FetchFailed(source) => self.fetch_failed(&source),
        }
        self.become_ready(now);
        self.fetch_wanted(now);
        std::mem::take(&mut self.actions)
    }

    /// What is in force here.
    #[must_use]
    pub fn chain(&self) -> Arc<ChainState> {
        Arc::clone(&self.chain)
    }

    /// Whether this node may serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Version in force here.
    #[must_use]
    pub fn version(&self) -> NoteVersion {
        self.chain.state.version
    }

    /// Whether a request may be served whose caller was last served under
    /// `shown`; 0 when it shows none.
    #[must_use]
    pub fn version_gate(&self, now: Instant, shown: NoteVersion) -> VersionGate {
        if !self.ready || self.was_paused(now) {
            return VersionGate::NotReady;
        }
        if shown > self.version() {
            return VersionGate::Await(shown);
        }
        VersionGate::Serve
    }

    /// What another node that has `after` needs.
    #[must_use]
    pub fn reply(&self, after: NoteVersion) -> NotesReply {
        if !self.ready {
            return NotesReply::default();
        }
        let notes = self.kept.iter().map(|kept| &kept.note);
        let notes: Vec<_> = notes.filter(|note| note.version > after).cloned().collect();
        let in_force = self.version();
        let whole = notes.len() as u64 == in_force.saturating_sub(after);
        NotesReply {
            serves: true,
            in_force,
            snapshot: (!whole).then(|| ChainState::clone(&self.chain)),
            notes: if whole { notes } else { Vec::new() },
        }
    }

    fn tick(&mut self, now: Instant, holders: Vec<NoteHolder>) {
        if self.was_paused(now) {
            self.resume(now);
        }
        self.last_tick = now;
        for holder in &holders {
            self.wanted = self.wanted.max(holder.version);
        }
        if let Some((version, due)) = self.known
            && due <= now
        {
            self.known = None;
            self.wanted = self.wanted.max(version);
        }
        self.holders = holders;
        if self.head_due.is_some_and(|due| due <= now) {
            self.head_due = None;
            self.store_failed = true;
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.due <= now) {
            self.fetch = None;
        }
        if self.head_due.is_none() && now >= self.next_head {
            let period = if self.store_learned {
                self.settings.poll_period
            } else {
                self.settings.retry_period
            };
            self.next_head = now + period;
            self.head_due = Some(now + self.settings.fetch_timeout);
            self.actions.push(AdopterAction::ReadHead);
        }
    }

    fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.settings.pause_limit
    }

    /// What is in force elsewhere may be newer by now.
    fn resume(&mut self, now: Instant) {
        if self.ready {
            self.resumed = Some(now);
        }
        self.ready = false;
        self.store_learned = false;
        self.store_failed = false;
        self.peers.clear();
        self.fetch = None;
        self.head_due = None;
        self.next_head = now;
    }

    fn heard(&mut self, now: Instant, version: NoteVersion, holder: Option<NodeId>) {
        let Some(node) = holder else {
            let due = self.known.map(|(_, due)| due);
            let due = due.unwrap_or(now + self.settings.rumour_patience);
            self.known = Some((version, due));
            return;
        };
        self.wanted = self.wanted.max(version);
        self.holders.retain(|holder| holder.node != node);
        // The one that told is asked first.
        self.holders.insert(0, NoteHolder { node, version });
        self.turn = 0;
    }

    fn head_read(&mut self, head: &ChainHead) {
        self.head_due = None;
        self.store_failed = false;
        self.store_learned = true;
        self.wanted = self.wanted.max(head.version);
    }

    fn fetched(&mut self, source: NoteSource, reply: NotesReply) {
        self.end_fetch(&source);
        if let NoteSource::Peer(node) = &source
            && reply.serves
        {
            self.peers.insert(node.clone(), reply.in_force);
            self.wanted = self.wanted.max(reply.in_force);
        }
        let before = self.version();
        if let Err(cause) = self.apply(reply) {
            self.turn += 1;
            self.actions.push(AdopterAction::Rejected { source, cause });
        }
        if self.version() > before {
            self.turn = 0;
            self.actions.push(AdopterAction::InForce(self.version()));
        } else {
            self.turn += 1;
        }
    }

    /// Takes what is newer; a lower or equal snapshot or note is ignored.
    fn apply(&mut self, reply: NotesReply) -> Result<(), String> {
        if let Some(snapshot) = reply.snapshot
            && snapshot.state.version > self.version()
        {
            self.chain = Arc::new(snapshot);
            self.kept.clear();
            self.kept_bytes = 0;
        }
        let mut chain = ChainState::clone(&self.chain);
        let mut outcome = Ok(());
        for note in reply.notes {
            if note.version <= chain.state.version {
                continue;
            }
            outcome = chain.apply(&note).map_err(|fault| fault.to_string());
            if outcome.is_err() {
                break;
            }
            self.keep(note);
        }
        self.chain = Arc::new(chain);
        outcome
    }

    /// Keeps `note` for other nodes, in place of the oldest ones.
    fn keep(&mut self, note: AcceptedNote) {
        let bytes = serde_json::to_vec(&note).map_or(0, |text| text.len());
        self.kept_bytes += bytes;
        self.kept.push_back(KeptNote { note, bytes });
        while self.kept_bytes > self.settings.kept_bytes {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.kept_bytes -= oldest.bytes;
        }
    }

    fn fetch_failed(&mut self, source: &NoteSource) {
        self.end_fetch(source);
        self.turn += 1;
        if *source == NoteSource::Store {
            self.store_failed = true;
        }
    }

    fn end_fetch(&mut self, source: &NoteSource) {
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.source == *source)
        {
            self.fetch = None;
        }
    }

    /// The newest note is known from the store, or else from enough peers.
    fn become_ready(&mut self, now: Instant) {
        if self.ready || self.version() < self.wanted {
            return;
        }
        let needed = self.holders.len().min(self.settings.peer_answers).max(1);
        let by_peers = self.store_failed && self.peers.len() >= needed;
        let alone = self.resumed.is_some_and(|resumed| {
            now.saturating_duration_since(resumed) >= self.settings.relearn_limit
        });
        if self.store_learned || by_peers || alone {
            self.ready = true;
            self.resumed = None;
            self.actions.push(AdopterAction::Ready);
        }
    }

    fn fetch_wanted(&mut self, now: Instant) {
        let asks_peers = !self.ready && self.store_failed && !self.store_learned;
        let behind = self.version() < self.wanted;
        if self.fetch.is_some() || !(behind || asks_peers) {
            return;
        }
        let failed_before = self.turn > 0;
        if failed_before && now < self.next_try {
            return;
        }
        let Some(source) = self.next_source(asks_peers) else {
            return;
        };
        self.next_try = now + self.settings.retry_period / 4;
        self.fetch = Some(PendingFetch {
            source: source.clone(),
            due: now + self.settings.fetch_timeout,
        });
        self.actions.push(AdopterAction::Fetch {
            source,
            after: self.version(),
        });
    }

    /// Peers that have the wanted version in turn, then the store.
    fn next_source(&self, asks_peers: bool) -> Option<NoteSource> {
        let unasked = |holder: &&NoteHolder| !self.peers.contains_key(&holder.node);
        let waiting: Vec<_> = self.holders.iter().filter(unasked).collect();
        if asks_peers && !waiting.is_empty() {
            let holder = waiting[self.turn % waiting.len()];
            return Some(NoteSource::Peer(holder.node.clone()));
        }
        let useful = |holder: &&NoteHolder| holder.version > self.version();
        let mut sources: Vec<_> = self
            .holders
            .iter()
            .filter(useful)
            .map(|holder| NoteSource::Peer(holder.node.clone()))
            .collect();
        if sources.is_empty() && asks_peers && self.version() >= self.wanted {
            return None;
        }
        sources.truncate(3);
        sources.push(NoteSource::Store);
        let place = self.turn % sources.len();
        sources.into_iter().nth(place)
    }

    /// The state in force.
    #[must_use]
    pub fn state(&self) -> &FleetState {
        &self.chain.state
    }
}
