//! Tests that concurrent publishers build one chain, whichever answers are lost.

mod support;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use kernel::{ClockSource, PausedClock};
use node::notes::{NoteStore, PublishOptions, PublishOutcome, SNAPSHOT_INTERVAL};
use notes::{
    AdopterEvent, AdopterSettings, ChainState, NoteAdopter, NoteDocument, NoteId, NoteSource,
    note_id, parse_document,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use smol::LocalExecutor;
use stores::{ObjectStore, TableService};
use support::FakePlatform;

fn store(platform: &Arc<FakePlatform>) -> NoteStore {
    let table: Arc<dyn TableService> = Arc::clone(platform) as _;
    let objects: Arc<dyn ObjectStore> = Arc::clone(platform) as _;
    NoteStore::new(table, objects)
}

fn model_note(name: &str) -> NoteDocument {
    parse_document(&format!(
        r#"{{"added": {{"models": {{"{name}": {{"version": "1", "context_tokens": 1000}}}}}}}}"#
    ))
    .unwrap()
}

fn change_note(name: &str, version: u64) -> NoteDocument {
    parse_document(&format!(
        r#"{{"changed": {{"models": {{"{name}": {{"version": "{version}",
            "context_tokens": 1000}}}}}}}}"#
    ))
    .unwrap()
}

async fn publish(
    store: &NoteStore,
    clock: &ClockSource,
    document: &NoteDocument,
    options: &PublishOptions,
) -> PublishOutcome {
    let known = ChainState::default();
    store
        .publish(clock, &known, document, options)
        .await
        .unwrap()
}

fn system() -> ClockSource {
    ClockSource::System
}

#[test]
fn of_two_operators_one_succeeds_and_the_other_gets_the_conflict() {
    smol::block_on(async {
        let platform = FakePlatform::new(1, 0.0);
        let store = store(&platform);
        let first = publish(
            &store,
            &system(),
            &model_note("a"),
            &PublishOptions::default(),
        )
        .await;
        assert!(matches!(first, PublishOutcome::Accepted(_)));
        let looked = PublishOptions {
            base: Some(1),
            rebase: false,
        };
        let one = publish(&store, &system(), &change_note("a", 2), &looked).await;
        assert!(matches!(one, PublishOutcome::Accepted(note) if note.version == 2));
        let other = publish(&store, &system(), &change_note("a", 3), &looked).await;
        let PublishOutcome::Conflicted(conflict) = other else {
            panic!("{other:?}");
        };
        assert_eq!(conflict.between.len(), 1);
        assert_eq!(conflict.between[0].version, 2);
        assert_eq!(conflict.overlaps[0].name, "a");
        assert!(!conflict.can_rebase());
        // A note about another entry is rebased when the options allow it.
        let apart = publish(&store, &system(), &model_note("b"), &looked).await;
        assert!(matches!(&apart, PublishOutcome::Conflicted(conflict) if conflict.can_rebase()));
        let rebased = PublishOptions {
            rebase: true,
            ..looked
        };
        let apart = publish(&store, &system(), &model_note("b"), &rebased).await;
        assert!(matches!(apart, PublishOutcome::Accepted(note) if note.version == 3));
    });
}

#[test]
fn a_note_is_accepted_once_and_an_invalid_one_is_refused() {
    smol::block_on(async {
        let platform = FakePlatform::new(1, 0.0);
        let store = store(&platform);
        let options = PublishOptions::default();
        publish(&store, &system(), &model_note("a"), &options).await;
        let again = publish(&store, &system(), &model_note("a"), &options).await;
        assert!(matches!(
            again,
            PublishOutcome::AlreadyPublished { version: 1, .. }
        ));
        let invalid = publish(&store, &system(), &change_note("b", 1), &options).await;
        assert!(matches!(&invalid, PublishOutcome::Refused(faults) if faults.len() == 1));
        assert_eq!(store.head().await.unwrap().head.version, 1);
    });
}

/// Guards against a note that is reported as a conflict or accepted twice because
/// the answer of its write was lost after it took effect.
#[test]
fn a_lost_answer_is_resolved_by_the_notes_id() {
    smol::block_on(async {
        let platform = FakePlatform::new(1, 0.0);
        let store = store(&platform);
        platform.lose_next_answer();
        let options = PublishOptions::default();
        let outcome = publish(&store, &system(), &model_note("a"), &options).await;
        assert!(matches!(outcome, PublishOutcome::Accepted(note) if note.version == 1));
        assert_eq!(store.notes_after(0, 10).await.unwrap().len(), 1);
    });
}

#[test]
fn publishing_to_a_store_that_is_down_fails_and_changes_nothing() {
    smol::block_on(async {
        let platform = FakePlatform::new(1, 0.0);
        let store = store(&platform);
        platform.set_down(true);
        let known = ChainState::default();
        let document = model_note("a");
        let options = PublishOptions::default();
        let outcome = store.publish(&system(), &known, &document, &options).await;
        assert!(!outcome.unwrap_err().effect_unknown());
        platform.set_down(false);
        assert_eq!(store.head().await.unwrap().head.version, 0);
    });
}

#[test]
fn snapshots_replace_the_notes_before_them() {
    smol::block_on(async {
        let platform = FakePlatform::new(1, 0.0);
        let store = store(&platform);
        let options = PublishOptions::default();
        let count = SNAPSHOT_INTERVAL + 3;
        let mut known = ChainState::default();
        for index in 0..count {
            let document = model_note(&format!("model-{index}"));
            let outcome = store.publish(&system(), &known, &document, &options).await;
            let Ok(PublishOutcome::Accepted(note)) = outcome else {
                panic!("{outcome:?}");
            };
            known.apply(&note).unwrap();
        }
        assert!(store.fetch(0).await.unwrap().snapshot.is_none());
        store.write_snapshot(count).await.unwrap();
        store.write_snapshot(count).await.unwrap();
        let reply = store.fetch(0).await.unwrap();
        assert_eq!(reply.snapshot.unwrap().state.version, SNAPSHOT_INTERVAL);
        assert_eq!(reply.notes.len(), 3);
        assert_eq!(store.state_at(count).await.unwrap(), known);
        assert_eq!(store.state_at(7).await.unwrap().state.version, 7);
    });
}

#[derive(Clone, Debug)]
enum PublishResult {
    Accepted(u64),
    NotAccepted,
    Unknown,
}

/// Results that operators received and versions in force on nodes, in one run.
#[derive(Default)]
struct History {
    results: Vec<(NoteId, PublishResult)>,
    in_force: Vec<Vec<(u64, NoteId)>>,
}

/// Publishers and adopters of one seeded run, which share a faulty store.
struct Race {
    platform: Arc<FakePlatform>,
    clock: ClockSource,
    history: Rc<RefCell<History>>,
}

impl Race {
    /// Publishes six notes, each until its result is known or 20 attempts
    /// have failed.
    async fn publish_notes(&self, operator: u64, seed: u64) {
        let store = store(&self.platform);
        let mut rng = StdRng::seed_from_u64(seed * 31 + operator);
        for number in 0..6 {
            // Some notes are the same for all operators, some overlap.
            let document = match number % 3 {
                0 => model_note(&format!("model-{operator}-{number}")),
                1 => model_note(&format!("shared-{number}")),
                _ => change_note("base", operator * 100 + number),
            };
            let options = PublishOptions {
                base: None,
                rebase: rng.random_bool(0.5),
            };
            let result = self.publish_until_known(&store, &document, &options).await;
            let mut history = self.history.borrow_mut();
            history.results.push((note_id(&document), result));
        }
    }

    async fn publish_until_known(
        &self,
        store: &NoteStore,
        document: &NoteDocument,
        options: &PublishOptions,
    ) -> PublishResult {
        let known = ChainState::default();
        let mut effect_unknown = false;
        for _ in 0..20 {
            let outcome = store.publish(&self.clock, &known, document, options).await;
            match outcome {
                Ok(PublishOutcome::Accepted(note)) => return PublishResult::Accepted(note.version),
                Ok(PublishOutcome::AlreadyPublished { version, .. }) => {
                    return PublishResult::Accepted(version);
                }
                // After a write of unknown effect, only the lookup of the
                // note's id is conclusive.
                Ok(PublishOutcome::Conflicted(_) | PublishOutcome::Refused(_))
                    if effect_unknown =>
                {
                    return PublishResult::Unknown;
                }
                Ok(PublishOutcome::Conflicted(_) | PublishOutcome::Refused(_)) => {
                    return PublishResult::NotAccepted;
                }
                Ok(PublishOutcome::Unknown { .. }) => effect_unknown = true,
                Err(_) => {}
            }
        }
        PublishResult::Unknown
    }

    /// Adopts from the store, also from replies older than those applied.
    async fn adopt(&self, rounds: usize) {
        let store = store(&self.platform);
        let mut adopter = NoteAdopter::new(self.clock.now(), AdopterSettings::default());
        let mut seen = Vec::new();
        let mut pending_replies = Vec::new();
        for round in 0..rounds {
            let after = if round % 3 == 0 { 0 } else { adopter.version() };
            if let Ok(reply) = store.fetch(after).await {
                pending_replies.push(reply);
            }
            if pending_replies.len() > 3 || round % 2 == 0 {
                let source = NoteSource::Store;
                if let Some(reply) = pending_replies.pop() {
                    let event = AdopterEvent::Fetched { source, reply };
                    adopter.handle(self.clock.now(), event);
                }
            }
            let head = adopter.chain().head();
            seen.push((head.version, head.id));
        }
        self.history.borrow_mut().in_force.push(seen);
    }
}

async fn race(seed: u64) -> (Arc<FakePlatform>, Rc<RefCell<History>>) {
    let platform = FakePlatform::new(seed, 0.0);
    let options = PublishOptions::default();
    publish(&store(&platform), &system(), &model_note("base"), &options).await;
    platform.set_fault_rate(0.15);
    let clock = PausedClock::new();
    let race = Rc::new(Race {
        platform: Arc::clone(&platform),
        clock: ClockSource::Paused(Arc::clone(&clock)),
        history: Rc::default(),
    });
    let executor = LocalExecutor::new();
    let mut tasks = Vec::new();
    for operator in 0..4 {
        let race = Rc::clone(&race);
        tasks.push(executor.spawn(async move { race.publish_notes(operator, seed).await }));
    }
    for _ in 0..2 {
        let race = Rc::clone(&race);
        tasks.push(executor.spawn(async move { race.adopt(60).await }));
    }
    let work = async {
        while tasks.iter().any(|task| !task.is_finished()) {
            clock.advance(Duration::from_millis(20));
            smol::future::yield_now().await;
        }
    };
    executor.run(work).await;
    (platform, Rc::clone(&race.history))
}

/// Guards against a forked or reverted chain, and against wrong results, when
/// four publishers race while the store loses and delays writes.
#[test]
fn concurrent_publishers_build_one_chain_that_never_reverts() {
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..150 {
        smol::block_on(async {
            let (platform, history) = race(seed).await;
            platform.heal();
            let notes = store(&platform).notes_after(0, 1_000).await.unwrap();
            let mut chain = ChainState::default();
            for note in &notes {
                chain
                    .apply(note)
                    .unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
            }
            assert_eq!(store(&platform).head().await.unwrap().head, chain.head());

            let history = history.borrow();
            let version_of = |id: &NoteId| {
                let found: Vec<_> = notes.iter().filter(|note| note.id == *id).collect();
                assert!(found.len() <= 1, "seed {seed}: {id} was accepted twice");
                found.first().map(|note| note.version)
            };
            for (id, result) in &history.results {
                let accepted = version_of(id);
                match result {
                    PublishResult::Accepted(version) => {
                        assert_eq!(accepted, Some(*version), "seed {seed}");
                        *outcomes.entry("accepted").or_default() += 1;
                    }
                    PublishResult::NotAccepted => {
                        // The same note of another operator may have been accepted
                        // since.
                        let same_notes = history.results.iter().filter(|(other, _)| other == id);
                        let is_only = same_notes.count() == 1;
                        assert!(accepted.is_none() || !is_only, "seed {seed}: {id}");
                        *outcomes.entry("not accepted").or_default() += 1;
                    }
                    PublishResult::Unknown => *outcomes.entry("unknown").or_default() += 1,
                }
            }
            for seen in &history.in_force {
                assert!(
                    seen.is_sorted_by(|one, next| one.0 <= next.0),
                    "seed {seed}"
                );
                for (version, id) in seen.iter().filter(|(version, _)| *version > 0) {
                    let index = usize::try_from(version - 1).unwrap();
                    assert_eq!(notes[index].id, *id, "seed {seed}");
                }
            }
        });
    }
    // The runs must have produced enough of both results.
    assert!(
        outcomes["accepted"] > 500 && outcomes["not accepted"] > 100,
        "{outcomes:?}"
    );
    println!("{outcomes:?}");
}
