//! Fair sharing by virtual token counters.

mod support;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use admission::{FairQueue, LengthClass, ShareTable};
use proptest::{
    prelude::{ProptestConfig, proptest},
    test_runner::RngSeed,
};
use types::PlanKind;

const MAX_LEAD_TOKENS: u64 = 1_000_000;
const NO_TRIAL_BUDGET: Duration = Duration::ZERO;

/// Serves `rounds` jobs of organisations that all have a backlog; returns the
/// cost charged to each organisation.
fn serve(weights: &[u32], lengths: &[u64], rounds: usize) -> BTreeMap<u32, u64> {
    let now = Instant::now();
    let mut shares = ShareTable::new(MAX_LEAD_TOKENS);
    let mut queue = FairQueue::default();
    for (position, weight) in weights.iter().enumerate() {
        let name = format!("org-{position}");
        let index = shares.intern(&name, PlanKind::Paying, *weight);
        for round in 0..rounds {
            let tokens = lengths[(position + round) % lengths.len()];
            let request = format!("{name}-{round}");
            let job = support::prompt(now, &request, PlanKind::Paying, tokens);
            queue.push(support::queued(index, job, now), &mut shares);
        }
    }
    let mut served = BTreeMap::new();
    for _ in 0..rounds {
        let head = queue.head(0, LengthClass::Short, &shares, NO_TRIAL_BUDGET);
        let request = head.expect("a job is queued").job.request.clone();
        let job = queue
            .take_to_start(&request, &mut shares)
            .expect("the job is queued");
        *served.entry(job.organisation).or_default() += job.cost;
    }
    served
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(10),
        ..ProptestConfig::default()
    })]

    /// Guards against unfair shares: of two organisations with a backlog,
    /// neither gets ahead of the other by more than the largest job, with the
    /// cost divided by their weights.
    #[test]
    fn served_tokens_differ_by_one_job_at_most(
        weights in proptest::collection::vec(1..5u32, 2..6),
        lengths in proptest::collection::vec(100..4_000u64, 1..8),
        rounds in 20..200usize,
    ) {
        let served = serve(&weights, &lengths, rounds);
        // The 100 output tokens of each job count as 400 prefilled tokens.
        let largest = lengths.iter().max().unwrap() + 400;
        for (left, left_weight) in weights.iter().enumerate() {
            for (right, right_weight) in weights.iter().enumerate() {
                let weighted = |position: usize, weight: u32| {
                    let tokens = served.get(&u32::try_from(position).unwrap());
                    tokens.copied().unwrap_or(0) / u64::from(weight)
                };
                let (one, other) = (weighted(left, *left_weight), weighted(right, *right_weight));
                // 2 covers the rounding of the divisions by a weight.
                assert!(one.abs_diff(other) <= largest + 2, "weighted: {one} and {other}");
            }
        }
    }
}

#[test]
fn idle_time_earns_no_credit() {
    let mut shares = ShareTable::new(MAX_LEAD_TOKENS);
    let busy = shares.intern(&"busy".to_owned(), PlanKind::Paying, 1);
    let late = shares.intern(&"late".to_owned(), PlanKind::Paying, 1);
    shares.count_queued(busy, 1_000);
    shares.charge(busy, 50_000_000);
    shares.count_queued(late, 1_000);
    assert_eq!(shares.counter(late), shares.counter(busy));
}

#[test]
fn service_on_other_nodes_counts_up_to_the_maximum_lead() {
    let mut shares = ShareTable::new(MAX_LEAD_TOKENS);
    let here = shares.intern(&"here".to_owned(), PlanKind::Paying, 1);
    let there = shares.intern(&"there".to_owned(), PlanKind::Paying, 1);
    let (node, name) = ("node-b".to_owned(), "there".to_owned());
    shares.count_queued(here, 1_000);
    shares.merge_remote(&node, &name, 5, 0);
    shares.merge_remote(&node, &name, 9_000_005, 0);
    shares.count_queued(there, 1_000);
    let ahead = shares.counter(there) - shares.counter(here);
    assert_eq!(ahead, MAX_LEAD_TOKENS * 1_024);
}

#[test]
fn usage_of_a_restarted_node_counts_from_zero() {
    let mut shares = ShareTable::new(MAX_LEAD_TOKENS);
    let index = shares.intern(&"org".to_owned(), PlanKind::Paying, 1);
    let (node, name) = ("node-b".to_owned(), "org".to_owned());
    shares.count_queued(index, 1);
    shares.merge_remote(&node, &name, 10_000, 0);
    shares.merge_remote(&node, &name, 300, 0);
    assert_eq!(shares.counter(index), 300 * 1_024);
}

#[test]
fn reported_tokens_never_decrease() {
    let mut shares = ShareTable::new(MAX_LEAD_TOKENS);
    let index = shares.intern(&"org".to_owned(), PlanKind::Paying, 1);
    let mut reported = 0;
    for tokens in [5_000, 100, 9_000, 1, 700] {
        shares.charge(index, tokens);
        shares.refund(index, tokens / 2);
        for report in shares.take_unreported(4) {
            assert!(report.tokens >= reported);
            reported = report.tokens;
        }
    }
    assert!(reported > 0);
}

#[test]
fn over_share_needs_both_excess_charges_and_a_backlog() {
    let mut shares = ShareTable::new(MAX_LEAD_TOKENS);
    let big = shares.intern(&"big".to_owned(), PlanKind::Paying, 1);
    let small = shares.intern(&"small".to_owned(), PlanKind::Paying, 1);
    shares.charge(big, 900_000);
    shares.charge(small, 100_000);
    assert!(
        !shares.is_over_share(big),
        "an organisation without a backlog is not over its share"
    );
    for _ in 0..20 {
        shares.count_queued(big, 1_000);
        shares.count_queued(small, 1_000);
    }
    assert!(shares.is_over_share(big));
    assert!(!shares.is_over_share(small));
    shares.advance_to(Duration::from_mins(5));
    assert!(
        !shares.is_over_share(big),
        "the charges are no longer recent"
    );
}
