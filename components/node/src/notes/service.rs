//! Release notes service: adopts notes announced by members and fetches them
//! from peers or the store.

use std::{
    error::Error,
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::{CancellationToken, ClockSource, ServiceKernel};
use membership::{MemberRecord, MemberState};
use notes::{
    AcceptedNote, AdopterAction, AdopterEvent, AdopterSettings, EntryChange, FleetState,
    NoteAdopter, NoteDocument, NoteHolder, NoteSource, NotesReply, NotesRequest, VersionGate, diff,
};
use smol::{Executor, channel::Receiver};
use types::{NodeId, NoteVersion, ZoneId};

use super::{NoteStore, PublishOptions, PublishOutcome};
use crate::members::{MemberService, NoteAnnouncement};

/// Name under which the kernel registers the release notes service.
pub const NOTE_SERVICE: &str = "notes";

/// Interval between ticks of the adopter.
const TICK: Duration = Duration::from_millis(100);

/// Time limit of writing a snapshot after a note was accepted.
const SNAPSHOT_LIMIT: Duration = Duration::from_secs(2);

/// Error of fetching release notes from another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteFetchError {
    /// Operation that was tried.
    pub step: String,
    /// Node that was asked.
    pub peer: String,
    /// Error that the operation returned.
    pub cause: String,
}

impl fmt::Display for NoteFetchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} on {}: {}", self.step, self.peer, self.cause)
    }
}

impl Error for NoteFetchError {}

/// Client that fetches release notes from other nodes.
#[async_trait]
pub trait NoteFetcher: Send + Sync {
    /// Fetches from `peer` the notes after the version in `request`.
    ///
    /// # Errors
    /// `NoteFetchError` when the peer can't be reached or does not answer.
    async fn fetch(
        &self,
        peer: &MemberRecord,
        request: NotesRequest,
    ) -> Result<NotesReply, NoteFetchError>;
}

/// Release note in force on one node, as last announced by it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteStatus {
    /// Node that the status describes.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Membership state of the node.
    pub state: MemberState,
    /// Version in force on the node.
    pub in_force: NoteVersion,
    /// Number of versions behind the newest that any member has in force.
    pub behind: NoteVersion,
    /// Time since its last direct message; `None` if there was none.
    pub last_heard_age: Option<Duration>,
}

/// Adopts, publishes and serves the release notes of this node.
pub struct NoteService {
    clock: ClockSource,
    adopter: Mutex<NoteAdopter>,
    current: Mutex<Arc<FleetState>>,
    store: NoteStore,
    members: Arc<MemberService>,
    peers: Arc<dyn NoteFetcher>,
}

impl NoteService {
    /// Starts adoption. It runs until the kernel stops it.
    pub fn start(
        kernel: &ServiceKernel,
        settings: AdopterSettings,
        store: NoteStore,
        members: Arc<MemberService>,
        peers: Arc<dyn NoteFetcher>,
    ) -> Arc<Self> {
        let clock = kernel.clock().clone();
        let adopter = NoteAdopter::new(clock.now(), settings);
        let service = Arc::new(Self {
            clock,
            adopter: Mutex::new(adopter),
            current: Mutex::default(),
            store,
            members,
            peers,
        });
        let running = Arc::clone(&service);
        kernel.start(NOTE_SERVICE, |token| async move {
            running.run(token).await;
        });
        service
    }

    /// The state in force on this node. A request keeps the state under which
    /// it was admitted.
    #[must_use]
    pub fn current(&self) -> Arc<FleetState> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Whether this node may serve a request. `shown` is the version under
    /// which its caller was last served, 0 if the request carries none.
    #[must_use]
    pub fn gate(&self, shown: NoteVersion) -> VersionGate {
        let now = self.clock.now();
        self.locked(|adopter| adopter.version_gate(now, shown))
    }

    /// Waits at most `limit` until a request that carries version `shown` may
    /// be served.
    pub async fn wait_for_gate(&self, shown: NoteVersion, limit: Duration) -> VersionGate {
        let end = self.clock.now() + limit;
        loop {
            let gate = self.gate(shown);
            if gate == VersionGate::Serve || self.clock.now() >= end {
                return gate;
            }
            self.clock.sleep(TICK / 4).await;
        }
    }

    /// Builds the reply to a `NotesRequest` of another node.
    #[must_use]
    pub fn reply(&self, request: &NotesRequest) -> NotesReply {
        self.locked(|adopter| adopter.reply(request.after))
    }

    /// Publishes a note. An accepted note is in force here on return, unless
    /// notes before it can't be fetched; then the adopter fetches it later.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read or written; this call wrote
    /// nothing.
    pub async fn publish(
        &self,
        document: &NoteDocument,
        options: &PublishOptions,
    ) -> Result<PublishOutcome, PlatformError> {
        let known = self.locked(|adopter| adopter.chain());
        let outcome = self
            .store
            .publish(&self.clock, &known, document, options)
            .await?;
        if let PublishOutcome::Accepted(note) = &outcome {
            log::info!(
                "event=note_accepted version={} id={}",
                note.version,
                note.id
            );
            self.adopt_own(note).await;
        }
        Ok(outcome)
    }

    /// At most `limit` accepted notes after `after`, in order.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read.
    pub async fn history(
        &self,
        after: NoteVersion,
        limit: usize,
    ) -> Result<Vec<AcceptedNote>, PlatformError> {
        self.store.notes_after(after, limit).await
    }

    /// Entries that changed from version `from` to version `to`.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read.
    pub async fn diff(
        &self,
        from: NoteVersion,
        to: NoteVersion,
    ) -> Result<Vec<EntryChange>, PlatformError> {
        let before = self.store.state_at(from).await?;
        let after = self.store.state_at(to).await?;
        Ok(diff(&before.state, &after.state))
    }

    /// Status of each member that is present, this node included.
    #[must_use]
    pub fn status(&self) -> Vec<NoteStatus> {
        let members = self.members.members();
        let present = members
            .views
            .iter()
            .filter(|view| view.record.state.is_present());
        let newest = present.clone().map(|view| view.record.note_version).max();
        let newest = newest.unwrap_or(0).max(self.current().version);
        let status = |view: &membership::MemberView| NoteStatus {
            node: view.record.node.clone(),
            zone: view.record.zone.clone(),
            state: view.record.state,
            in_force: view.record.note_version,
            behind: newest - view.record.note_version,
            last_heard_age: view.last_heard_age,
        };
        present.map(status).collect()
    }

    async fn run(&self, token: CancellationToken) {
        let executor = Executor::new();
        let announcements = self.members.subscribe_notes();
        let ticking = self.tick(&executor);
        let handling = self.handle_announcements(&executor, announcements);
        let work = smol::future::or(ticking, handling);
        let work = executor.run(work);
        smol::future::or(token.cancelled(), work).await;
    }

    async fn tick<'a>(&'a self, executor: &Executor<'a>) {
        loop {
            let event = AdopterEvent::Tick(self.holders());
            self.handle(executor, event).await;
            self.clock.sleep(TICK).await;
        }
    }

    async fn handle_announcements<'a>(
        &'a self,
        executor: &Executor<'a>,
        announcements: Receiver<NoteAnnouncement>,
    ) {
        while let Ok(note) = announcements.recv().await {
            let event = AdopterEvent::VersionAnnounced {
                version: note.version,
                holder: note.holder,
            };
            self.handle(executor, event).await;
        }
    }

    fn holders(&self) -> Vec<NoteHolder> {
        let members = self.members.members();
        members
            .note_holders(1)
            .map(|record| NoteHolder {
                node: record.node.clone(),
                version: record.note_version,
            })
            .collect()
    }

    async fn handle<'a>(&'a self, executor: &Executor<'a>, event: AdopterEvent) {
        for action in self.apply_event(event) {
            match action {
                AdopterAction::ReadHead => self.spawn(executor, self.read_head()),
                AdopterAction::Fetch { source, after } => {
                    self.spawn(executor, self.fetch(source, after));
                }
                other => self.report_action(other).await,
            }
        }
    }

    /// Spawns `work` and applies the event that it returns.
    fn spawn<'a>(
        &'a self,
        executor: &Executor<'a>,
        work: impl Future<Output = AdopterEvent> + Send + 'a,
    ) {
        let task = async move {
            let mut event = Some(work.await);
            while let Some(next) = event.take() {
                for action in self.apply_event(next) {
                    match action {
                        AdopterAction::Fetch { source, after } => {
                            event = Some(self.fetch(source, after).await);
                        }
                        AdopterAction::ReadHead => event = Some(self.read_head().await),
                        other => self.report_action(other).await,
                    }
                }
            }
        };
        executor.spawn(task).detach();
    }

    fn apply_event(&self, event: AdopterEvent) -> Vec<AdopterAction> {
        let now = self.clock.now();
        self.locked(|adopter| {
            let actions = adopter.handle(now, event);
            let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
            if adopter.version() > current.version {
                *current = Arc::new(adopter.state().clone());
            }
            actions
        })
    }

    async fn report_action(&self, action: AdopterAction) {
        match action {
            AdopterAction::InForce(version) => {
                log::info!("event=note_in_force version={version}");
                self.members.note_in_force(version).await;
            }
            AdopterAction::Ready => {
                log::info!("event=notes_ready version={}", self.current().version);
            }
            AdopterAction::Rejected { source, cause } => {
                log::warn!("event=notes_rejected source={source:?} cause=\"{cause}\"");
            }
            AdopterAction::ReadHead | AdopterAction::Fetch { .. } => {}
        }
    }

    async fn read_head(&self) -> AdopterEvent {
        match self.store.head().await {
            Ok(stored) => AdopterEvent::HeadRead(stored.head),
            Err(fault) => {
                log::warn!("event=note_head_unread cause=\"{fault}\"");
                AdopterEvent::HeadReadFailed
            }
        }
    }

    async fn fetch(&self, source: NoteSource, after: NoteVersion) -> AdopterEvent {
        let fetched = match &source {
            NoteSource::Store => self
                .store
                .fetch(after)
                .await
                .map_err(|fault| fault.to_string()),
            NoteSource::Peer(node) => self.fetch_from(node, after).await,
        };
        match fetched {
            Ok(reply) => AdopterEvent::Fetched { source, reply },
            Err(cause) => {
                log::warn!("event=notes_unfetched source={source:?} cause=\"{cause}\"");
                AdopterEvent::FetchFailed(source)
            }
        }
    }

    async fn fetch_from(&self, node: &NodeId, after: NoteVersion) -> Result<NotesReply, String> {
        let members = self.members.members();
        let Some(record) = members.record(node) else {
            return Err(format!("fetch notes on {node}: not a member"));
        };
        let reply = self.peers.fetch(record, NotesRequest { after }).await;
        reply.map_err(|fault| fault.to_string())
    }

    /// Adopts a note that this node published, and writes a snapshot if due.
    async fn adopt_own(&self, note: &AcceptedNote) {
        let reply = NotesReply {
            serves: true,
            in_force: note.version,
            snapshot: None,
            notes: vec![note.clone()],
        };
        let source = NoteSource::Store;
        let follows = note.version == self.current().version + 1;
        let event = if follows {
            AdopterEvent::Fetched { source, reply }
        } else {
            self.fetch(source, self.current().version).await
        };
        for action in self.apply_event(event) {
            self.report_action(action).await;
        }
        self.write_snapshot(note.version).await;
    }

    /// Writes a due snapshot within a time limit, because the operator waits
    /// for it. The next accepted note makes up for a missing snapshot.
    async fn write_snapshot(&self, head: NoteVersion) {
        let work = self.store.write_snapshot(head);
        match self.clock.timeout(SNAPSHOT_LIMIT, work).await {
            Some(Ok(())) => {}
            Some(Err(fault)) => log::warn!("event=note_snapshot_unwritten cause=\"{fault}\""),
            None => log::warn!("event=note_snapshot_unwritten cause=timeout"),
        }
    }

    fn locked<T>(&self, work: impl FnOnce(&mut NoteAdopter) -> T) -> T {
        let mut adopter = self.adopter.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut adopter)
    }
}
