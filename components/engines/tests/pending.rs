//! Deaths of engines that run prompts of several nodes, reported one after the
//! other.

use std::time::{Duration, Instant};

use engines::{
    CrashSettings, CrashTracker, CrashVerdict, DeathId, PendingDeaths, PromptFingerprint,
    fingerprint_of,
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

const SETTLE_TIME: Duration = Duration::from_millis(250);

fn prompt(name: &str) -> PromptFingerprint {
    fingerprint_of(&"lakeshore".to_owned(), &"atlas".to_owned(), name)
}

fn death(engine: usize) -> DeathId {
    DeathId {
        engine: format!("engine-{engine}"),
        incarnation: 1,
    }
}

/// Records the deaths that have settled at `now`, as a node does.
fn settle(pending: &mut PendingDeaths, tracker: &mut CrashTracker, now: Instant) {
    for (death, suspects) in pending.take_settled(now) {
        tracker.record_death(now, &death, &suspects);
    }
}

/// Two nodes have prompts on the same two engines. Whichever node reports its
/// prompt first, a bystander of both deaths is not blamed alone.
#[test]
fn a_bystander_is_not_blamed_before_the_report_of_another_node_arrives() {
    let start = Instant::now();
    let mut reports = vec![
        (death(1), "guilty"),
        (death(1), "bystander"),
        (death(2), "guilty"),
        (death(2), "bystander"),
    ];
    let mut rng = StdRng::seed_from_u64(22);
    for _ in 0..50 {
        reports.shuffle(&mut rng);
        let mut pending = PendingDeaths::new(SETTLE_TIME);
        let mut tracker = CrashTracker::new(CrashSettings::default());
        let mut now = start;
        for (death, name) in &reports {
            pending.add_report(now, death, [prompt(name)]);
            now += Duration::from_millis(60);
            settle(&mut pending, &mut tracker, now);
            let verdict = tracker.verdict(now, &prompt("bystander"));
            assert!(
                !matches!(verdict, CrashVerdict::Quarantined { .. }),
                "{reports:?}: {verdict:?}"
            );
        }
    }
}

#[test]
fn a_death_counts_once_its_reports_can_have_arrived() {
    let start = Instant::now();
    let mut pending = PendingDeaths::new(SETTLE_TIME);
    pending.add_report(start, &death(1), [prompt("first")]);
    let later = start + Duration::from_millis(100);
    pending.add_report(later, &death(1), [prompt("second")]);

    assert!(pending.take_settled(later).is_empty());
    let left = Duration::from_millis(150);
    assert_eq!(pending.time_left(later, &prompt("first")), Some(left));
    assert_eq!(pending.time_left(later, &prompt("second")), Some(left));
    assert_eq!(pending.time_left(later, &prompt("third")), None);

    let settled = pending.take_settled(start + SETTLE_TIME);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].1.len(), 2);
    assert!(pending.is_empty());
}

#[test]
fn a_prompt_that_succeeds_meanwhile_is_no_suspect() {
    let start = Instant::now();
    let mut pending = PendingDeaths::new(SETTLE_TIME);
    pending.add_report(start, &death(1), [prompt("guilty"), prompt("innocent")]);
    pending.record_success(&prompt("innocent"));

    let settled = pending.take_settled(start + SETTLE_TIME);
    assert_eq!(settled, [(death(1), vec![prompt("guilty")])]);
}
