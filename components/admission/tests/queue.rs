//! The queue: order, bounds, expiry, and that no job is lost.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use admission::{FairQueue, LengthClass, QueueBounds, ShareTable, TrialBudget};
use proptest::{
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use types::PlanKind;

const CLASSES: [LengthClass; 3] = [LengthClass::Short, LengthClass::Medium, LengthClass::Long];

fn head(queue: &mut FairQueue, shares: &ShareTable, budget: Duration) -> Option<String> {
    let head = queue.head(0, LengthClass::Short, shares, budget)?;
    Some(head.job.request.clone())
}

#[test]
fn trial_goes_before_paying_only_within_its_budget() {
    let now = Instant::now();
    let mut shares = ShareTable::new(1_000);
    let mut queue = FairQueue::default();
    let guest = shares.intern(&"guest".to_owned(), PlanKind::Trial, 1);
    let payer = shares.intern(&"payer".to_owned(), PlanKind::Paying, 1);
    let trial = support::prompt(now, "trial", PlanKind::Trial, 1_000);
    let paying = support::prompt(now, "paying", PlanKind::Paying, 4_000);
    queue.push(support::queued(guest, trial, now), &mut shares);
    queue.push(support::queued(payer, paying, now), &mut shares);
    // The prefill of the trial job takes 111 ms.
    let cases = [
        (Duration::ZERO, "paying"),
        (Duration::from_millis(100), "paying"),
        (Duration::from_millis(200), "trial"),
    ];
    for (budget, first) in cases {
        assert_eq!(head(&mut queue, &shares, budget).as_deref(), Some(first));
    }
}

#[test]
fn the_trial_budget_accrues_over_time_up_to_its_maximum() {
    let now = Instant::now();
    let mut budget = TrialBudget::new(0.05);
    budget.accrue(now, 10);
    budget.spend(Duration::from_hours(1));
    assert_eq!(budget.available(), Duration::ZERO);
    budget.accrue(now + Duration::from_secs(2), 10);
    assert_eq!(budget.available(), Duration::from_secs(1));
    budget.accrue(now + Duration::from_hours(2), 10);
    assert_eq!(budget.available(), Duration::from_secs(10));
}

#[test]
fn shortest_job_goes_first_unless_a_long_one_has_aged() {
    let now = Instant::now();
    let mut shares = ShareTable::new(1_000);
    let mut queue = FairQueue::default();
    let index = shares.intern(&"org".to_owned(), PlanKind::Paying, 1);
    let push = |queue: &mut FairQueue, shares: &mut ShareTable, name: &str, tokens, after| {
        let since = now + Duration::from_millis(after);
        let job = support::prompt(since, name, PlanKind::Paying, tokens);
        queue.push(support::queued(index, job, since), shares);
    };
    // The prefill of the long job takes 0.44 s; shorter jobs can overtake it only
    // if they arrive within four times that.
    push(&mut queue, &mut shares, "long", 4_000, 0);
    push(&mut queue, &mut shares, "short", 500, 10);
    push(&mut queue, &mut shares, "late", 500, 5_000);
    let mut order = Vec::new();
    while let Some(request) = head(&mut queue, &shares, Duration::ZERO) {
        queue.take_to_start(&request, &mut shares);
        order.push(request);
    }
    assert_eq!(order, ["short", "long", "late"]);
}

#[test]
fn eviction_removes_jobs_of_the_most_served_organisation_first() {
    let now = Instant::now();
    let mut shares = ShareTable::new(1_000);
    let mut queue = FairQueue::default();
    let index =
        |shares: &mut ShareTable, name: &str, plan| shares.intern(&name.to_owned(), plan, 1);
    let guest = index(&mut shares, "guest", PlanKind::Trial);
    let greedy = index(&mut shares, "greedy", PlanKind::Trial);
    for (organisation, name) in [(guest, "g1"), (greedy, "x1"), (greedy, "x2")] {
        let job = support::prompt(now, name, PlanKind::Trial, 1_000);
        queue.push(support::queued(organisation, job, now), &mut shares);
    }
    shares.charge(greedy, 50_000);
    let bounds = QueueBounds {
        requests: 1,
        tokens: 10_000,
    };
    let mut evicted = Vec::new();
    while !queue.is_within(bounds) {
        let job = queue.evict(PlanKind::Trial, &mut shares).unwrap();
        evicted.push(job.job.request);
    }
    assert_eq!(evicted, ["x2", "x1"]);
    assert!(queue.evict(PlanKind::Paying, &mut shares).is_none());
}

#[test]
fn expiry_removes_jobs_that_cannot_meet_their_deadline() {
    let now = Instant::now();
    let mut shares = ShareTable::new(1_000);
    let mut queue = FairQueue::default();
    let index = shares.intern(&"org".to_owned(), PlanKind::Paying, 1);
    for (name, seconds) in [("soon", 5), ("later", 60)] {
        let mut job = support::prompt(now, name, PlanKind::Paying, 1_000);
        job.deadline = now + Duration::from_secs(seconds);
        queue.push(support::queued(index, job, now), &mut shares);
    }
    assert!(
        queue
            .expire(now + Duration::from_secs(2), &mut shares)
            .is_none()
    );
    let expired = queue.expire(now + Duration::from_secs(4), &mut shares);
    assert_eq!(expired.unwrap().job.request, "soon");
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(18),
        ..ProptestConfig::default()
    })]

    /// Guards against lost and duplicate jobs: every job leaves the queue exactly
    /// once, in any mix of the ways to remove it.
    #[test]
    fn every_job_leaves_the_queue_once(
        steps in proptest::collection::vec((0..8u32, 0..5u8, 100..60_000u64), 1..200),
    ) {
        let now = Instant::now();
        let mut shares = ShareTable::new(10_000);
        let mut queue = FairQueue::default();
        let mut queued = BTreeSet::new();
        for (position, (organisation, method, tokens)) in steps.iter().enumerate() {
            let plan = if organisation % 2 == 0 { PlanKind::Paying } else { PlanKind::Trial };
            let index = shares.intern(&format!("org-{organisation}"), plan, 1);
            let request = format!("r{position}");
            let job = support::prompt(now, &request, plan, *tokens);
            queue.push(support::queued(index, job.clone(), now), &mut shares);
            queue.push(support::queued(index, job, now), &mut shares);
            queued.insert(request.clone());
            let class = CLASSES[position % CLASSES.len()];
            let removed = match method {
                0 => queue.head(0, class, &shares, Duration::ZERO).map(|job| job.job.request.clone()),
                1 => queue.remove(&request, &mut shares).map(|job| job.job.request),
                2 => queue.evict(plan, &mut shares).map(|job| job.job.request),
                3 => queue.take_any(0, &mut shares).map(|job| job.job.request),
                _ => None,
            };
            if let Some(removed) = removed {
                if *method == 0 {
                    assert!(queue.take_to_start(&removed, &mut shares).is_some());
                }
                assert!(queued.remove(&removed), "{removed} left the queue twice");
            }
            assert_eq!(queue.len(), queued.len());
        }
        let far = now + Duration::from_hours(2);
        while let Some(job) = queue.expire(far, &mut shares) {
            assert!(queued.remove(&job.job.request));
        }
        assert!(queued.is_empty() && queue.is_empty());
        assert!(queue.pools().is_empty());
    }
}
