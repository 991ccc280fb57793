//! Attribution of engine deaths to prompts.

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

/// Records one death and the prompts that ran on the engine, by name.
fn record_death(tracker: &mut CrashTracker, now: Instant, death: &DeathId, names: &[&str]) {
    let prompts: Vec<PromptFingerprint> = names.iter().map(|name| prompt(name)).collect();
    tracker.record_death(now, death, &prompts);
}

fn tracker() -> CrashTracker {
    CrashTracker::new(CrashSettings::default())
}

fn is_quarantined(tracker: &CrashTracker, now: Instant, prompt: &PromptFingerprint) -> bool {
    matches!(
        tracker.verdict(now, prompt),
        CrashVerdict::Quarantined { .. }
    )
}

#[test]
fn the_second_death_quarantines_the_prompt_present_at_both() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(
        &mut tracker,
        now,
        &death(1, 1),
        &["guilty", "first", "second"],
    );
    assert_eq!(
        tracker.verdict(now, &prompt("guilty")),
        CrashVerdict::Suspect
    );

    let later = now + Duration::from_secs(10);
    record_death(&mut tracker, later, &death(2, 1), &["third", "guilty"]);

    assert!(is_quarantined(&tracker, later, &prompt("guilty")));
    for name in ["first", "second", "third"] {
        assert_eq!(
            tracker.verdict(later, &prompt(name)),
            CrashVerdict::Clear,
            "{name}"
        );
    }
}

#[test]
fn the_order_of_reported_deaths_does_not_matter() {
    let now = Instant::now();
    let mut deaths = vec![
        (death(1, 1), vec!["guilty", "a", "b"]),
        (death(2, 1), vec!["guilty", "c"]),
        (death(3, 1), vec!["d"]),
    ];
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100 {
        deaths.shuffle(&mut rng);
        let mut tracker = tracker();
        for (death, names) in &deaths {
            record_death(&mut tracker, now, death, names);
        }
        assert!(
            is_quarantined(&tracker, now, &prompt("guilty")),
            "{deaths:?}"
        );
        for name in ["a", "b", "c"] {
            assert_eq!(tracker.verdict(now, &prompt(name)), CrashVerdict::Clear);
        }
    }
}

#[test]
fn a_later_death_of_another_suspect_does_not_revoke_a_quarantine() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(&mut tracker, now, &death(1, 1), &["guilty", "bystander"]);
    record_death(&mut tracker, now, &death(2, 1), &["guilty"]);
    record_death(&mut tracker, now, &death(3, 1), &["bystander"]);

    assert!(is_quarantined(&tracker, now, &prompt("guilty")));
    assert_eq!(
        tracker.verdict(now, &prompt("bystander")),
        CrashVerdict::Suspect
    );
}

#[test]
fn repeated_reports_of_one_death_count_once() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(&mut tracker, now, &death(1, 1), &["resent"]);
    record_death(&mut tracker, now, &death(1, 1), &["resent"]);

    assert_eq!(
        tracker.verdict(now, &prompt("resent")),
        CrashVerdict::Suspect
    );
}

#[test]
fn an_answered_prompt_is_no_longer_a_suspect_of_earlier_deaths() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(&mut tracker, now, &death(1, 1), &["innocent"]);

    tracker.record_success(prompt("innocent"));
    let later = now + Duration::from_mins(1);
    record_death(&mut tracker, later, &death(2, 1), &["innocent"]);

    assert_eq!(
        tracker.verdict(now + Duration::from_mins(1), &prompt("innocent")),
        CrashVerdict::Suspect
    );
    tracker.record_success(prompt("innocent"));
    assert!(tracker.is_empty());
}

#[test]
fn two_prompts_at_the_same_two_deaths_stay_suspects() {
    let mut tracker = tracker();
    let now = Instant::now();
    for engine in [1, 2] {
        tracker.merge_record(
            now,
            &DeathRecord {
                death: death(engine, 1),
                age: Duration::ZERO,
                suspects: BTreeSet::from([prompt("a"), prompt("b")]),
                cause: DeathCause::Unknown,
            },
        );
    }

    assert_eq!(tracker.verdict(now, &prompt("a")), CrashVerdict::Suspect);
    assert_eq!(tracker.verdict(now, &prompt("b")), CrashVerdict::Suspect);

    record_death(&mut tracker, now, &death(3, 1), &["b"]);
    assert!(is_quarantined(&tracker, now, &prompt("b")));
    assert_eq!(tracker.verdict(now, &prompt("a")), CrashVerdict::Clear);
}

#[test]
fn the_same_text_of_another_organisation_is_a_different_prompt() {
    let model = "atlas".to_owned();
    let own = fingerprint_of(&"lakeshore".to_owned(), &model, "text");
    let copied = fingerprint_of(&"visitor".to_owned(), &model, "text");

    assert_ne!(own, copied);
}

#[test]
fn two_deaths_shared_with_another_organisation_do_not_quarantine() {
    let mut tracker = tracker();
    let now = Instant::now();
    let attack = |name: &str| fingerprint_of(&"visitor".to_owned(), &"atlas".to_owned(), name);
    // Two different prompts of the attacker each crash an engine that also runs
    // the bystander. Two such deaths must not quarantine the bystander.
    tracker.record_death(now, &death(1, 1), &[prompt("bystander"), attack("first")]);
    tracker.record_death(now, &death(2, 1), &[prompt("bystander"), attack("second")]);
    assert_eq!(
        tracker.verdict(now, &prompt("bystander")),
        CrashVerdict::Suspect
    );

    // The third death in all is the second of the attacker's first prompt, this
    // time without the bystander; it is enough to quarantine that prompt.
    tracker.record_death(now, &death(3, 1), &[attack("first")]);
    assert!(is_quarantined(&tracker, now, &attack("first")));
    assert_eq!(
        tracker.verdict(now, &prompt("bystander")),
        CrashVerdict::Suspect
    );
}

#[test]
fn a_late_report_does_not_make_an_answered_prompt_a_suspect_again() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(&mut tracker, now, &death(1, 1), &["guilty", "innocent"]);
    tracker.record_success(prompt("innocent"));

    record_death(&mut tracker, now, &death(1, 1), &["innocent"]);
    record_death(&mut tracker, now, &death(2, 1), &["guilty", "innocent"]);

    assert!(is_quarantined(&tracker, now, &prompt("guilty")));
}

#[test]
fn a_node_adopts_the_cause_that_another_node_found() {
    let mut first = tracker();
    let mut second = tracker();
    let now = Instant::now();
    record_death(&mut first, now, &death(1, 1), &["guilty", "innocent"]);
    first.record_success(prompt("innocent"));
    record_death(&mut first, now, &death(2, 1), &["guilty", "innocent"]);
    record_death(&mut second, now, &death(1, 1), &["guilty", "innocent"]);

    for record in first.newest_deaths(now, 10) {
        second.merge_record(now, &record);
    }

    assert!(is_quarantined(&second, now, &prompt("guilty")));
    assert!(!is_quarantined(&second, now, &prompt("innocent")));
}

#[test]
fn an_operator_clears_a_prompt() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(&mut tracker, now, &death(1, 1), &["unlucky"]);
    record_death(&mut tracker, now, &death(2, 1), &["unlucky"]);
    assert!(is_quarantined(&tracker, now, &prompt("unlucky")));

    assert!(tracker.clear(&prompt("unlucky")));

    assert_eq!(
        tracker.verdict(now, &prompt("unlucky")),
        CrashVerdict::Clear
    );
    assert!(!tracker.clear(&prompt("never seen")));
}

#[test]
fn a_mass_failure_does_not_quarantine_a_prompt() {
    let mut tracker = tracker();
    let now = Instant::now();
    record_death(&mut tracker, now, &death(1, 1), &["unlucky"]);
    let later = now + Duration::from_mins(5);
    for engine in 2..8 {
        record_death(
            &mut tracker,
            later,
            &death(engine, 1),
            &[&format!("other-{engine}")],
        );
    }
    record_death(&mut tracker, later, &death(8, 1), &["unlucky"]);

    assert!(!is_quarantined(&tracker, later, &prompt("unlucky")));
}

#[test]
fn quarantines_expire_and_the_number_of_deaths_is_bounded() {
    let settings = CrashSettings {
        death_limit: 100,
        ..CrashSettings::default()
    };
    let retention = settings.retention;
    let mut tracker = CrashTracker::new(settings);
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    for step in 0..600_u64 {
        let now = start + Duration::from_secs(step * 5);
        let name = format!("prompt-{}", rng.random_range(0..400));
        record_death(
            &mut tracker,
            now,
            &death(rng.random_range(0..50), step),
            &[&name],
        );
        // The limit is checked before a death is added, so one more may be kept.
        assert!(tracker.newest_deaths(now, usize::MAX).len() <= 101);
    }
    let end = start + Duration::from_mins(50) + retention;

    assert!(tracker.quarantined(end).is_empty());
    record_death(&mut tracker, end, &death(1, 99_999), &["last"]);
    assert_eq!(tracker.newest_deaths(end, usize::MAX).len(), 1);
}

#[test]
fn nodes_agree_after_exchanging_records() {
    let now = Instant::now();
    let mut first = tracker();
    let mut second = tracker();
    record_death(&mut first, now, &death(1, 1), &["guilty"]);
    record_death(&mut second, now, &death(2, 1), &["guilty"]);

    for record in first.newest_deaths(now, 10) {
        second.merge_record(now, &record);
    }
    for record in second.newest_deaths(now, 10) {
        first.merge_record(now, &record);
    }

    assert!(is_quarantined(&first, now, &prompt("guilty")));
    assert!(is_quarantined(&second, now, &prompt("guilty")));
}
