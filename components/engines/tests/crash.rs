//! Attribution of engine deaths to prompts, fault by fault.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use engines::{
    CrashSettings, CrashTracker, CrashVerdict, DeathCause, DeathId, DeathRecord, PromptFingerprint,
    fingerprint_of,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

fn prompt(name: &str) -> PromptFingerprint {
    fingerprint_of(&"lakeshore".to_owned(), &"atlas".to_owned(), name)
}

fn death(engine: usize, incarnation: u64) -> DeathId {
    DeathId {
        engine: format!("engine-{engine}"),
        incarnation,
    }
}

/// Tells the ledger of one death and the prompts lost by it, by name.
fn die(ledger: &mut CrashTracker, now: Instant, death: &DeathId, names: &[&str]) {
    let prompts: Vec<PromptFingerprint> = names.iter().map(|name| prompt(name)).collect();
    ledger.record_death(now, death, &prompts);
}

fn ledger() -> CrashTracker {
    CrashTracker::new(CrashSettings::default())
}

fn is_quarantined(ledger: &CrashTracker, now: Instant, prompt: &PromptFingerprint) -> bool {
    matches!(
        ledger.verdict(now, prompt),
        CrashVerdict::Quarantined { .. }
    )
}

#[test]
fn the_second_death_points_at_the_prompt_that_was_at_both() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(
        &mut ledger,
        now,
        &death(1, 1),
        &["guilty", "first", "second"],
    );
    assert_eq!(
        ledger.verdict(now, &prompt("guilty")),
        CrashVerdict::Suspect
    );

    let later = now + Duration::from_secs(10);
    die(&mut ledger, later, &death(2, 1), &["third", "guilty"]);

    assert!(is_quarantined(&ledger, later, &prompt("guilty")));
    for name in ["first", "second", "third"] {
        assert_eq!(
            ledger.verdict(later, &prompt(name)),
            CrashVerdict::Clear,
            "{name}"
        );
    }
}

#[test]
fn the_order_in_which_deaths_are_heard_of_does_not_matter() {
    let now = Instant::now();
    let mut deaths = vec![
        (death(1, 1), vec!["guilty", "a", "b"]),
        (death(2, 1), vec!["guilty", "c"]),
        (death(3, 1), vec!["d"]),
    ];
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100 {
        deaths.shuffle(&mut rng);
        let mut ledger = ledger();
        for (death, names) in &deaths {
            die(&mut ledger, now, death, names);
        }
        assert!(
            is_quarantined(&ledger, now, &prompt("guilty")),
            "{deaths:?}"
        );
        for name in ["a", "b", "c"] {
            assert_eq!(ledger.verdict(now, &prompt(name)), CrashVerdict::Clear);
        }
    }
}

#[test]
fn a_bystander_that_is_lost_again_does_not_take_a_quarantine_back() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(&mut ledger, now, &death(1, 1), &["guilty", "bystander"]);
    die(&mut ledger, now, &death(2, 1), &["guilty"]);
    die(&mut ledger, now, &death(3, 1), &["bystander"]);

    assert!(is_quarantined(&ledger, now, &prompt("guilty")));
    assert_eq!(
        ledger.verdict(now, &prompt("bystander")),
        CrashVerdict::Suspect
    );
}

#[test]
fn one_life_of_an_engine_counts_once() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(&mut ledger, now, &death(1, 1), &["resent"]);
    die(&mut ledger, now, &death(1, 1), &["resent"]);

    assert_eq!(
        ledger.verdict(now, &prompt("resent")),
        CrashVerdict::Suspect
    );
}

#[test]
fn a_prompt_that_is_answered_whole_is_cleared() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(&mut ledger, now, &death(1, 1), &["innocent"]);

    ledger.record_success(prompt("innocent"));
    let later = now + Duration::from_mins(1);
    die(&mut ledger, later, &death(2, 1), &["innocent"]);

    assert_eq!(
        ledger.verdict(now + Duration::from_mins(1), &prompt("innocent")),
        CrashVerdict::Suspect
    );
    ledger.record_success(prompt("innocent"));
    assert!(ledger.is_empty());
}

#[test]
fn two_prompts_at_the_same_two_deaths_are_not_told_apart() {
    let mut ledger = ledger();
    let now = Instant::now();
    for engine in [1, 2] {
        ledger.merge_record(
            now,
            &DeathRecord {
                death: death(engine, 1),
                age: Duration::ZERO,
                suspects: BTreeSet::from([prompt("a"), prompt("b")]),
                cause: DeathCause::Unknown,
            },
        );
    }

    assert_eq!(ledger.verdict(now, &prompt("a")), CrashVerdict::Suspect);
    assert_eq!(ledger.verdict(now, &prompt("b")), CrashVerdict::Suspect);

    die(&mut ledger, now, &death(3, 1), &["b"]);
    assert!(is_quarantined(&ledger, now, &prompt("b")));
    assert_eq!(ledger.verdict(now, &prompt("a")), CrashVerdict::Clear);
}

#[test]
fn another_organisations_copy_of_a_text_is_another_prompt() {
    let model = "atlas".to_owned();
    let own = fingerprint_of(&"lakeshore".to_owned(), &model, "text");
    let copied = fingerprint_of(&"visitor".to_owned(), &model, "text");

    assert_ne!(own, copied);
}

#[test]
fn an_organisation_cannot_have_anothers_prompt_quarantined() {
    let mut ledger = ledger();
    let now = Instant::now();
    let attack = |name: &str| fingerprint_of(&"visitor".to_owned(), &"atlas".to_owned(), name);
    // Two different prompts of an attacker meet the same bystander.
    ledger.record_death(now, &death(1, 1), &[prompt("bystander"), attack("first")]);
    ledger.record_death(now, &death(2, 1), &[prompt("bystander"), attack("second")]);
    assert_eq!(
        ledger.verdict(now, &prompt("bystander")),
        CrashVerdict::Suspect
    );

    // The attacker's own prompt dies once more and explains its death.
    ledger.record_death(now, &death(3, 1), &[attack("first")]);
    assert!(is_quarantined(&ledger, now, &attack("first")));
    assert_eq!(
        ledger.verdict(now, &prompt("bystander")),
        CrashVerdict::Suspect
    );
}

#[test]
fn a_prompt_that_ran_on_is_not_held_again_by_a_late_word() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(&mut ledger, now, &death(1, 1), &["guilty", "innocent"]);
    ledger.record_success(prompt("innocent"));

    die(&mut ledger, now, &death(1, 1), &["innocent"]);
    die(&mut ledger, now, &death(2, 1), &["guilty", "innocent"]);

    assert!(is_quarantined(&ledger, now, &prompt("guilty")));
}

#[test]
fn a_node_takes_over_what_another_could_tell_apart() {
    let mut first = ledger();
    let mut second = ledger();
    let now = Instant::now();
    die(&mut first, now, &death(1, 1), &["guilty", "innocent"]);
    first.record_success(prompt("innocent"));
    die(&mut first, now, &death(2, 1), &["guilty", "innocent"]);
    die(&mut second, now, &death(1, 1), &["guilty", "innocent"]);

    for record in first.newest_deaths(now, 10) {
        second.merge_record(now, &record);
    }

    assert!(is_quarantined(&second, now, &prompt("guilty")));
    assert!(!is_quarantined(&second, now, &prompt("innocent")));
}

#[test]
fn an_operator_clears_a_prompt() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(&mut ledger, now, &death(1, 1), &["unlucky"]);
    die(&mut ledger, now, &death(2, 1), &["unlucky"]);
    assert!(is_quarantined(&ledger, now, &prompt("unlucky")));

    assert!(ledger.clear(&prompt("unlucky")));

    assert_eq!(ledger.verdict(now, &prompt("unlucky")), CrashVerdict::Clear);
    assert!(!ledger.clear(&prompt("never seen")));
}

#[test]
fn a_rack_that_dies_accuses_nobody() {
    let mut ledger = ledger();
    let now = Instant::now();
    die(&mut ledger, now, &death(1, 1), &["unlucky"]);
    let later = now + Duration::from_mins(5);
    for engine in 2..8 {
        die(
            &mut ledger,
            later,
            &death(engine, 1),
            &[&format!("other-{engine}")],
        );
    }
    die(&mut ledger, later, &death(8, 1), &["unlucky"]);

    assert!(!is_quarantined(&ledger, later, &prompt("unlucky")));
}

#[test]
fn quarantine_expires_and_memory_stays_bounded() {
    let settings = CrashSettings {
        death_limit: 100,
        ..CrashSettings::default()
    };
    let memory = settings.memory;
    let mut ledger = CrashTracker::new(settings);
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    for step in 0..600_u64 {
        let now = start + Duration::from_secs(step * 5);
        let name = format!("prompt-{}", rng.random_range(0..400));
        die(
            &mut ledger,
            now,
            &death(rng.random_range(0..50), step),
            &[&name],
        );
        assert!(ledger.newest_deaths(now, usize::MAX).len() <= 101);
    }
    let end = start + Duration::from_mins(50) + memory;

    assert!(ledger.quarantined(end).is_empty());
    die(&mut ledger, end, &death(1, 99_999), &["last"]);
    assert_eq!(ledger.newest_deaths(end, usize::MAX).len(), 1);
}

#[test]
fn nodes_that_exchange_evidence_agree() {
    let now = Instant::now();
    let mut first = ledger();
    let mut second = ledger();
    die(&mut first, now, &death(1, 1), &["guilty"]);
    die(&mut second, now, &death(2, 1), &["guilty"]);

    for record in first.newest_deaths(now, 10) {
        second.merge_record(now, &record);
    }
    for record in second.newest_deaths(now, 10) {
        first.merge_record(now, &record);
    }

    assert!(is_quarantined(&first, now, &prompt("guilty")));
    assert!(is_quarantined(&second, now, &prompt("guilty")));
}
