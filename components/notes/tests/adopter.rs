//! A node never goes back to a lower note, and serves only once it knows.

use std::time::{Duration, Instant};

use notes::{
    AcceptedNote, AdopterAction, AdopterEvent, AdopterSettings, ChainHead, ChainState, NoteAdopter,
    NoteDocument, NoteHolder, NoteSource, NotesReply, VersionGate,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Chains of 0, 1, ... `length` notes.
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

struct Adopting {
    adopter: NoteAdopter,
    now: Instant,
    chains: Vec<(ChainState, Vec<AcceptedNote>)>,
}

impl Adopting {
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

    /// Ticks for `time`; the store has `store` notes, the peers `peers`;
    /// `None` means that it can't be reached.
    fn run(&mut self, time: Duration, store: Option<usize>, peers: &[Option<usize>]) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            let told = peers.iter().enumerate();
            let holders = told
                .filter_map(|(index, peer)| Some(holder(index, (*peer)? as u64)))
                .filter(|holder| holder.version > 0)
                .collect();
            let mut actions = self.handle(AdopterEvent::Tick(holders));
            while let Some(action) = actions.pop() {
                actions.extend(self.answer(action, store, peers));
            }
        }
    }

    fn answer(
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
fn a_starting_node_serves_once_it_has_what_the_store_has() {
    let mut node = Adopting::new();
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
fn with_the_store_down_it_learns_the_newest_from_peers() {
    let mut node = Adopting::new();
    node.run(SECOND * 3, None, &[Some(4), Some(6), Some(5), None]);
    assert!(node.adopter.is_ready());
    assert_eq!(node.adopter.version(), 6);
}

#[test]
fn a_peer_that_does_not_answer_is_not_counted() {
    let mut node = Adopting::new();
    // Membership still names three holders, of which two answer.
    for _ in 0..30 {
        node.now += Duration::from_millis(100);
        let holders = vec![holder(0, 4), holder(1, 4), holder(2, 4)];
        let mut actions = node.handle(AdopterEvent::Tick(holders));
        while let Some(action) = actions.pop() {
            let peers = [Some(4), Some(4), None];
            actions.extend(node.answer(action, None, &peers));
        }
    }
    assert_eq!(node.adopter.version(), 4);
    assert!(!node.adopter.is_ready());
}

#[test]
fn with_neither_store_nor_peers_it_does_not_serve() {
    let mut node = Adopting::new();
    node.run(SECOND * 3600, None, &[Some(0), Some(0)]);
    assert!(!node.adopter.is_ready());
    node.run(SECOND * 2, Some(3), &[]);
    assert!(node.adopter.is_ready());
}

#[test]
fn a_store_outage_of_an_hour_stops_nobody() {
    let mut node = Adopting::new();
    node.run(SECOND, Some(3), &[]);
    node.run(SECOND * 3600, None, &[]);
    assert_eq!(node.adopter.version_gate(node.now, 3), VersionGate::Serve);
    node.run(SECOND * 16, Some(9), &[]);
    assert_eq!(node.adopter.version(), 9);
}

#[test]
fn a_paused_node_learns_the_newest_before_it_serves_on() {
    let mut node = Adopting::new();
    node.run(SECOND, Some(3), &[]);
    node.now += SECOND * 60;
    // Between waking and its first tick it must not serve.
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
fn a_paused_node_that_finds_nobody_serves_on_under_what_it_has() {
    let mut node = Adopting::new();
    node.run(SECOND, Some(3), &[]);
    node.now += SECOND * 60;
    node.run(SECOND * 4, None, &[]);
    assert!(!node.adopter.is_ready());
    node.run(SECOND * 3, None, &[]);
    assert_eq!(node.adopter.version_gate(node.now, 3), VersionGate::Serve);
}

#[test]
fn a_lagging_store_or_a_slow_peer_takes_nobody_back() {
    let mut node = Adopting::new();
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
    let mut node = Adopting::new();
    node.run(SECOND, Some(3), &[]);
    // The publisher told and died; the next poll is 14 s away.
    node.handle(AdopterEvent::VersionAnnounced {
        version: 4,
        holder: None,
    });
    node.run(SECOND * 2, Some(4), &[]);
    assert_eq!(node.adopter.version(), 4);
}

#[test]
fn another_chain_is_rejected_and_fetched_elsewhere() {
    let mut node = Adopting::new();
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
    // The fetch that followed is never answered; its time runs out first.
    node.run(SECOND * 3, Some(5), &[]);
    assert_eq!(node.adopter.version(), 5);
}

#[test]
fn a_node_gives_notes_or_its_whole_state() {
    let mut node = Adopting::new();
    assert!(!node.adopter.reply(0).serves);
    node.run(SECOND, Some(9), &[]);
    let delta = node.adopter.reply(7);
    assert_eq!(delta.notes.len(), 2);
    assert!(delta.snapshot.is_none());
    // A node that keeps only two notes gives its state to those further back.
    let bytes = |index: usize| serde_json::to_vec(&node.chains[9].1[index]).unwrap().len();
    let settings = AdopterSettings {
        kept_bytes: bytes(7) + bytes(8),
        ..AdopterSettings::default()
    };
    let chains = node.chains.clone();
    let mut forgetful = Adopting::new();
    forgetful.adopter = NoteAdopter::new(forgetful.now, settings);
    forgetful.run(SECOND, Some(9), &[]);
    assert_eq!(forgetful.adopter.reply(7).notes, chains[9].1[7..]);
    assert_eq!(
        forgetful.adopter.reply(6).snapshot.as_ref(),
        Some(&chains[9].0)
    );
    let mut fresh = NoteAdopter::new(node.now, AdopterSettings::default());
    let source = NoteSource::Peer("node-1".to_owned());
    let whole = NotesReply {
        snapshot: Some(node.chains[9].0.clone()),
        ..NotesReply::default()
    };
    fresh.handle(
        node.now,
        AdopterEvent::Fetched {
            source,
            reply: whole,
        },
    );
    assert_eq!(fresh.version(), 9);
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64, Option<usize>, Vec<Option<usize>>),
    Hear(u64),
    Late(usize, u64),
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let newest = || prop::option::of(0..20_usize);
    let one = prop_oneof![
        (1..30_u64, newest(), prop::collection::vec(newest(), 0..4))
            .prop_map(|(time, store, peers)| Step::Run(time, store, peers)),
        (0..20_u64).prop_map(Step::Hear),
        (0..20_usize, 0..20_u64).prop_map(|(newest, after)| Step::Late(newest, after)),
        (1..100_u64).prop_map(Step::Pause),
    ];
    prop::collection::vec(one, 1..30)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_only_grow_and_all_is_adopted_in_the_end(steps in steps()) {
        let mut node = Adopting::new();
        let mut highest = 0;
        for step in steps {
            match step {
                Step::Run(time, store, peers) => {
                    node.run(Duration::from_millis(100) * u32::try_from(time).unwrap(), store, &peers);
                }
                Step::Hear(version) => {
                    let holder = (version % 2 == 0).then(|| "node-0".to_owned());
                    node.handle(AdopterEvent::VersionAnnounced { version, holder });
                }
                Step::Late(newest, after) => {
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
