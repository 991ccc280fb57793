//! Tests of the note adopter: the version in force never decreases, and a
//! starting or resumed node does not serve until it has the newest version or,
//! after a pause, the resync timeout has passed.

use std::time::{Duration, Instant};

use notes::{
    AcceptedNote, AdopterAction, AdopterEvent, AdopterSettings, ChainHead, ChainState, NoteAdopter,
    NoteDocument, NoteHolder, NoteSource, NotesReply, VersionGate,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Chains of 0, 1, ... `length` notes, each with its list of notes.
fn chains(length: u64) -> Vec<(ChainState, Vec<AcceptedNote>)> {
    let mut chain = ChainState::default();
    let mut accepted = Vec::new();
    let mut all = vec![(chain.clone(), accepted.clone())];
    for number in 0..length {
        let document = NoteDocument {
            summary: format!("note {number}"),
            ..NoteDocument::default()
        };
        let note = AcceptedNote::following(&chain.head(), document);
        chain.apply(&note).unwrap();
        accepted.push(note);
        all.push((chain.clone(), accepted.clone()));
    }
    all
}

fn reply(chains: &[(ChainState, Vec<AcceptedNote>)], newest: usize, after: u64) -> NotesReply {
    let (chain, accepted) = &chains[newest];
    NotesReply {
        serves: true,
        in_force: chain.state.version,
        snapshot: None,
        notes: accepted
            .iter()
            .filter(|note| note.version > after)
            .cloned()
            .collect(),
    }
}

fn holder(index: usize, version: u64) -> NoteHolder {
    NoteHolder {
        node: format!("node-{index}"),
        version,
    }
}

struct AdopterHarness {
    adopter: NoteAdopter,
    now: Instant,
    chains: Vec<(ChainState, Vec<AcceptedNote>)>,
}

impl AdopterHarness {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            adopter: NoteAdopter::new(now, AdopterSettings::default()),
            now,
            chains: chains(20),
        }
    }

    fn handle(&mut self, event: AdopterEvent) -> Vec<AdopterAction> {
        self.adopter.handle(self.now, event)
    }

    /// Ticks for `time`. `store` and `peers` are the number of notes that the
    /// store and each peer have; `None` means that it can't be reached.
    fn run(&mut self, time: Duration, store: Option<usize>, peers: &[Option<usize>]) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            let peer_versions = peers.iter().enumerate();
            let holders = peer_versions
                .filter_map(|(index, peer)| Some(holder(index, (*peer)? as u64)))
                .filter(|holder| holder.version > 0)
                .collect();
            let mut actions = self.handle(AdopterEvent::Tick(holders));
            while let Some(action) = actions.pop() {
                actions.extend(self.perform(action, store, peers));
            }
        }
    }

    fn perform(
        &mut self,
        action: AdopterAction,
        store: Option<usize>,
        peers: &[Option<usize>],
    ) -> Vec<AdopterAction> {
        match action {
            AdopterAction::ReadHead => {
                let head = store.map(|newest| self.chains[newest].0.head());
                self.handle(head.map_or(AdopterEvent::HeadReadFailed, AdopterEvent::HeadRead))
            }
            AdopterAction::Fetch { source, after } => {
                let newest = match &source {
                    NoteSource::Store => store,
                    NoteSource::Peer(node) => {
                        let index: usize = node["node-".len()..].parse().unwrap();
                        peers.get(index).copied().flatten()
                    }
                };
                match newest {
                    Some(newest) => {
                        let reply = reply(&self.chains, newest, after);
                        self.handle(AdopterEvent::Fetched { source, reply })
                    }
                    None => self.handle(AdopterEvent::FetchFailed(source)),
                }
            }
            _ => Vec::new(),
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_starting_node_serves_once_it_has_the_newest_note_of_the_store() {
    let mut node = AdopterHarness::new();
    assert_eq!(
        node.adopter.version_gate(node.now, 0),
        VersionGate::NotReady
    );
    node.run(SECOND, Some(7), &[]);
    assert_eq!(node.adopter.version(), 7);
    assert_eq!(node.adopter.version_gate(node.now, 7), VersionGate::Serve);
    assert_eq!(
        node.adopter.version_gate(node.now, 8),
        VersionGate::Await(8)
    );
}

#[test]
fn with_the_store_down_a_starting_node_adopts_the_newest_note_of_its_peers() {
    let mut node = AdopterHarness::new();
    node.run(SECOND * 3, None, &[Some(4), Some(6), Some(5), None]);
    assert!(node.adopter.is_ready());
    assert_eq!(node.adopter.version(), 6);
}

#[test]
fn a_peer_that_does_not_reply_does_not_count_towards_readiness() {
    let mut node = AdopterHarness::new();
    // Membership still lists three holders, of which two reply.
    for _ in 0..30 {
        node.now += Duration::from_millis(100);
        let holders = vec![holder(0, 4), holder(1, 4), holder(2, 4)];
        let mut actions = node.handle(AdopterEvent::Tick(holders));
        while let Some(action) = actions.pop() {
            let peers = [Some(4), Some(4), None];
            actions.extend(node.perform(action, None, &peers));
        }
    }
    assert_eq!(node.adopter.version(), 4);
    assert!(!node.adopter.is_ready());
}

#[test]
fn a_starting_node_without_store_or_serving_peers_does_not_serve() {
    let mut node = AdopterHarness::new();
    node.run(SECOND * 3600, None, &[Some(0), Some(0)]);
    assert!(!node.adopter.is_ready());
    node.run(SECOND * 2, Some(3), &[]);
    assert!(node.adopter.is_ready());
}

#[test]
fn a_node_serves_through_a_store_outage_of_an_hour() {
    let mut node = AdopterHarness::new();
    node.run(SECOND, Some(3), &[]);
    node.run(SECOND * 3600, None, &[]);
    assert_eq!(node.adopter.version_gate(node.now, 3), VersionGate::Serve);
    node.run(SECOND * 16, Some(9), &[]);
    assert_eq!(node.adopter.version(), 9);
}

#[test]
fn a_paused_node_does_not_serve_until_it_has_the_newest_note() {
    let mut node = AdopterHarness::new();
    node.run(SECOND, Some(3), &[]);
    node.now += SECOND * 60;
    // It must not serve between the end of the pause and its first tick.
    assert_eq!(
        node.adopter.version_gate(node.now, 0),
        VersionGate::NotReady
    );
    node.handle(AdopterEvent::Tick(Vec::new()));
    assert!(!node.adopter.is_ready());
    node.now += SECOND * 3;
    node.run(SECOND, Some(8), &[]);
    assert_eq!(node.adopter.version_gate(node.now, 8), VersionGate::Serve);
}

#[test]
fn a_paused_node_without_store_and_peers_serves_its_version_after_the_resync_timeout() {
    let mut node = AdopterHarness::new();
    node.run(SECOND, Some(3), &[]);
    node.now += SECOND * 60;
    node.run(SECOND * 4, None, &[]);
    assert!(!node.adopter.is_ready());
    node.run(SECOND * 3, None, &[]);
    assert_eq!(node.adopter.version_gate(node.now, 3), VersionGate::Serve);
}

#[test]
fn an_older_version_from_the_store_or_a_peer_is_ignored() {
    let mut node = AdopterHarness::new();
    node.run(SECOND, Some(9), &[]);
    let old = node.chains[4].clone();
    node.handle(AdopterEvent::HeadRead(old.0.head()));
    for source in [NoteSource::Store, NoteSource::Peer("node-1".to_owned())] {
        let reply = NotesReply {
            serves: true,
            in_force: 4,
            snapshot: Some(old.0.clone()),
            notes: old.1.clone(),
        };
        let actions = node.handle(AdopterEvent::Fetched { source, reply });
        assert!(actions.is_empty(), "{actions:?}");
    }
    assert_eq!(node.adopter.version(), 9);
}

#[test]
fn a_version_that_no_node_has_is_fetched_from_the_store() {
    let mut node = AdopterHarness::new();
    node.run(SECOND, Some(3), &[]);
    // The publisher announced the version and died; the next poll is 14 s away.
    node.handle(AdopterEvent::VersionAnnounced {
        version: 4,
        holder: None,
    });
    node.run(SECOND * 2, Some(4), &[]);
    assert_eq!(node.adopter.version(), 4);
}

#[test]
fn a_note_of_another_chain_is_rejected_and_another_source_is_asked() {
    let mut node = AdopterHarness::new();
    node.run(SECOND, Some(2), &[]);
    let document = NoteDocument {
        summary: "of another fleet".to_owned(),
        ..NoteDocument::default()
    };
    let head = ChainHead {
        version: 2,
        id: "another".to_owned(),
    };
    let reply = NotesReply {
        serves: true,
        in_force: 3,
        snapshot: None,
        notes: vec![AcceptedNote::following(&head, document)],
    };
    let source = NoteSource::Peer("node-1".to_owned());
    let actions = node.handle(AdopterEvent::Fetched { source, reply });
    assert!(matches!(actions[0], AdopterAction::Rejected { .. }));
    assert_eq!(node.adopter.version(), 2);
    // The next fetch gets no reply and times out first.
    node.run(SECOND * 3, Some(5), &[]);
    assert_eq!(node.adopter.version(), 5);
}

#[test]
fn a_node_replies_with_the_missing_notes_or_a_snapshot() {
    let mut node = AdopterHarness::new();
    assert!(!node.adopter.reply(0).serves);
    node.run(SECOND, Some(9), &[]);
    let partial = node.adopter.reply(7);
    assert_eq!(partial.notes.len(), 2);
    assert!(partial.snapshot.is_none());
    // A node that caches only two notes sends a snapshot to nodes that need more.
    let bytes = |index: usize| serde_json::to_vec(&node.chains[9].1[index]).unwrap().len();
    let settings = AdopterSettings {
        max_cache_bytes: bytes(7) + bytes(8),
        ..AdopterSettings::default()
    };
    let chains = node.chains.clone();
    let mut small_cache = AdopterHarness::new();
    small_cache.adopter = NoteAdopter::new(small_cache.now, settings);
    small_cache.run(SECOND, Some(9), &[]);
    assert_eq!(small_cache.adopter.reply(7).notes, chains[9].1[7..]);
    assert_eq!(
        small_cache.adopter.reply(6).snapshot.as_ref(),
        Some(&chains[9].0)
    );
    let mut fresh = NoteAdopter::new(node.now, AdopterSettings::default());
    let source = NoteSource::Peer("node-1".to_owned());
    let snapshot_reply = NotesReply {
        snapshot: Some(node.chains[9].0.clone()),
        ..NotesReply::default()
    };
    fresh.handle(
        node.now,
        AdopterEvent::Fetched {
            source,
            reply: snapshot_reply,
        },
    );
    assert_eq!(fresh.version(), 9);
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64, Option<usize>, Vec<Option<usize>>),
    Announce(u64),
    LateReply(usize, u64),
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let newest = || prop::option::of(0..20_usize);
    let step = prop_oneof![
        (1..30_u64, newest(), prop::collection::vec(newest(), 0..4))
            .prop_map(|(time, store, peers)| Step::Run(time, store, peers)),
        (0..20_u64).prop_map(Step::Announce),
        (0..20_usize, 0..20_u64).prop_map(|(newest, after)| Step::LateReply(newest, after)),
        (1..100_u64).prop_map(Step::Pause),
    ];
    prop::collection::vec(step, 1..30)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_version_never_decreases_and_the_newest_note_is_adopted_in_the_end(steps in steps()) {
        let mut node = AdopterHarness::new();
        let mut highest = 0;
        for step in steps {
            match step {
                Step::Run(time, store, peers) => {
                    node.run(Duration::from_millis(100) * u32::try_from(time).unwrap(), store, &peers);
                }
                Step::Announce(version) => {
                    let holder = (version % 2 == 0).then(|| "node-0".to_owned());
                    node.handle(AdopterEvent::VersionAnnounced { version, holder });
                }
                Step::LateReply(newest, after) => {
                    let source = NoteSource::Peer("node-2".to_owned());
                    let reply = reply(&node.chains, newest, after);
                    node.handle(AdopterEvent::Fetched { source, reply });
                }
                Step::Pause(seconds) => node.now += SECOND * u32::try_from(seconds).unwrap(),
            }
            prop_assert!(node.adopter.version() >= highest);
            highest = node.adopter.version();
            let (chain, _) = &node.chains[usize::try_from(highest).unwrap()];
            let adopted = node.adopter.chain();
            prop_assert_eq!(adopted.as_ref(), chain);
        }
        node.run(SECOND * 25, Some(20), &[]);
        prop_assert_eq!(node.adopter.version(), 20);
        prop_assert_eq!(node.adopter.version_gate(node.now, 20), VersionGate::Serve);
    }
}
