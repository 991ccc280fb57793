//! Placement of long prompts and short strict requests that share engines: which
//! engines each kind gets while the other is present.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use dispatch::{
    EngineLoad, FleetShare, FleetStanding, InFlightRequest, LatencyGoals, LoadTracker, MemoryShare,
    Placement, PlacementRefusal, PlacementRequest, PlacementWait, PrefillNotice, PromptSize,
    ReportedLoad, UpstreamTable, engine_key, place_prompt, prefill_time,
};
use rand::{SeedableRng, rngs::SmallRng};

use support::{ENGINES, engine_name, engine_table, spec};

const WAIT: PlacementWait = PlacementWait::Allowed {
    max_prefill_time: Duration::from_millis(1_200),
    remaining: Duration::from_millis(2_700),
};
const SHORT: PromptSize = PromptSize {
    prompt: 5_000,
    answer: 1_600,
};

struct Fleet {
    now: Instant,
    table: UpstreamTable,
    loads: LoadTracker,
    unreported: u32,
    rng: SmallRng,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            table: engine_table(),
            loads: LoadTracker::default(),
            unreported: 0,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    fn place(
        &mut self,
        size: PromptSize,
        goals: LatencyGoals,
        wait: PlacementWait,
    ) -> Result<Placement, PlacementRefusal> {
        let upstreams = self.table.selectable(self.now, "models", &[]);
        let (now, loads, rng) = (self.now, &self.loads, &mut self.rng);
        let request = PlacementRequest {
            size,
            goals,
            wait,
            unreported_strict: self.unreported,
        };
        place_prompt(now, &spec(), &request, &upstreams, loads, rng)
    }

    fn start(&mut self, size: PromptSize, goals: LatencyGoals) -> Placement {
        let placement = self.place(size, goals, PlacementWait::Expired).unwrap();
        self.loads.record_start(InFlightRequest {
            memory_shares: vec![MemoryShare {
                engine: placement.upstream.clone(),
                memory: size.kv_cache_tokens(),
            }],
            strict: goals.is_strict(),
            event_gap: goals.event_gap,
        });
        let mut engines = vec![placement.upstream.clone()];
        engines.extend(placement.helpers.iter().cloned());
        let notice = PrefillNotice {
            engines,
            shard_time: placement.shard_time,
            decode_delay: placement.decode_delay,
            memory: size.kv_cache_tokens(),
            event_gap: goals.event_gap,
        };
        self.loads.record_prefill(self.now, &notice);
        placement
    }
}

fn strict_goals() -> LatencyGoals {
    LatencyGoals {
        first_event: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        shortest_event_gap: Duration::from_millis(200),
    }
}

fn relaxed_goals() -> LatencyGoals {
    LatencyGoals {
        first_event: Duration::from_secs(3),
        event_gap: Duration::from_millis(800),
        ..strict_goals()
    }
}

fn long_prompt(prompt: u64) -> PromptSize {
    PromptSize {
        prompt,
        answer: 800,
    }
}

#[test]
fn few_strict_requests_are_packed_onto_few_engines() {
    let mut fleet = Fleet::new();
    let mut used_engines = BTreeSet::new();
    for _ in 0..18 {
        used_engines.insert(fleet.start(SHORT, strict_goals()).upstream);
        fleet.now += Duration::from_millis(80);
    }
    assert!(used_engines.len() <= 3, "{used_engines:?}");
}

#[test]
fn the_wait_for_a_pass_does_not_keep_strict_requests_off_an_engine() {
    let mut fleet = Fleet::new();
    for _ in 0..8 {
        fleet.start(SHORT, strict_goals());
        fleet.now += Duration::from_millis(150);
    }
    let notice = PrefillNotice {
        engines: vec![engine_name(0)],
        shard_time: Duration::from_millis(60),
        decode_delay: Duration::from_millis(75),
        memory: 0,
        event_gap: Duration::from_millis(800),
    };
    fleet.loads.record_prefill(fleet.now, &notice);
    let load = fleet.loads.engine_load(fleet.now, "engine-00");
    assert_eq!(load.prefill_work, Duration::from_millis(60));
    assert!(load.prefill_wait > Duration::from_millis(135), "{load:?}");
    let placement = fleet.place(SHORT, strict_goals(), WAIT).unwrap();
    assert_eq!(placement.upstream, "engine-00");
}

#[test]
fn strict_requests_go_to_further_engines_one_by_one() {
    let mut fleet = Fleet::new();
    fleet.start(SHORT, strict_goals());
    let notice = PrefillNotice {
        engines: vec![engine_name(0)],
        shard_time: Duration::from_millis(110),
        decode_delay: Duration::ZERO,
        memory: 0,
        event_gap: Duration::from_millis(800),
    };
    fleet.loads.record_prefill(fleet.now, &notice);
    let used_engines: BTreeSet<String> = (0..20)
        .filter_map(|_| fleet.place(SHORT, strict_goals(), WAIT).ok())
        .map(|placement| placement.upstream)
        .collect();
    assert_eq!(used_engines, BTreeSet::from([engine_name(1)]));
}

#[test]
fn unreported_strict_requests_get_engines_before_reports_arrive() {
    let mut fleet = Fleet::new();
    fleet.loads.sample_strict_requests(fleet.now);
    for _ in 0..4 {
        fleet.start(SHORT, strict_goals());
        fleet.now += Duration::from_millis(60);
    }
    // Thirty other nodes have probably started as many each; reports contain
    // half of them.
    fleet.unreported = fleet.loads.estimate_unreported(fleet.now, 30);
    assert_eq!(fleet.unreported, 60);
    let used_engines: BTreeSet<String> = (0..40)
        .filter_map(|_| fleet.place(SHORT, strict_goals(), WAIT).ok())
        .map(|placement| placement.upstream)
        .collect();
    // The first of the five engines for strict requests is the busiest, so it is
    // never picked.
    assert_eq!(used_engines, (1..=4).map(engine_name).collect());

    // Once no more requests start, reports contain all of them.
    fleet.loads.sample_strict_requests(fleet.now);
    fleet.now += Duration::from_millis(600);
    fleet.loads.sample_strict_requests(fleet.now);
    assert_eq!(fleet.loads.estimate_unreported(fleet.now, 30), 0);
}

#[test]
fn many_strict_requests_get_all_engines() {
    let mut fleet = Fleet::new();
    let mut used_engines = BTreeSet::new();
    for _ in 0..190 {
        used_engines.insert(fleet.start(SHORT, strict_goals()).upstream);
        fleet.now += Duration::from_millis(13);
    }
    assert_eq!(used_engines.len(), 14);
    let busiest = used_engines
        .iter()
        .map(|id| fleet.loads.engine_load(fleet.now, id).strict);
    assert!(busiest.max() <= Some(spec().slots));
}

#[test]
fn nodes_with_the_same_reports_do_not_all_pick_the_least_busy_engine() {
    let mut fleet = Fleet::new();
    let peer_loads = (0..ENGINES - 1).map(|number| ReportedLoad {
        engine: engine_key(&engine_name(number)),
        strict: 13,
        relaxed: 0,
        relaxed_event_gap: None,
        unanswered: 0,
        memory: 80_000,
    });
    fleet
        .loads
        .record_peer_report(fleet.now, "other", peer_loads.collect());
    // About as many requests as reach all nodes between two reports.
    let on_idle_engine = (0..44)
        .filter_map(|_| fleet.place(SHORT, strict_goals(), WAIT).ok())
        .filter(|placement| placement.upstream == "engine-13");
    assert!(on_idle_engine.count() <= 16);
}

#[test]
fn a_long_prompt_is_prefilled_by_many_engines_within_its_goal() {
    let mut fleet = Fleet::new();
    let placement = fleet.start(long_prompt(210_000), relaxed_goals());
    assert!(placement.helpers.len() >= 9, "{placement:?}");
    assert!(
        placement.time_to_prefill < Duration::from_millis(400),
        "{placement:?}"
    );
}

#[test]
fn shards_of_a_long_prompt_keep_the_event_gaps_of_strict_requests() {
    let mut fleet = Fleet::new();
    for _ in 0..18 {
        fleet.start(SHORT, strict_goals());
        fleet.now += Duration::from_millis(80);
    }
    let placement = fleet.start(long_prompt(210_000), relaxed_goals());
    let mut engines = placement.helpers.clone();
    engines.push(placement.upstream.clone());
    for id in engines {
        let load = fleet.loads.engine_load(fleet.now, &id);
        if load.strict > 0 {
            let pass = spec().pass_time(load.running(), load.memory) + load.prefill_wait;
            assert!(pass <= Duration::from_millis(200), "{id}: {pass:?}");
        }
    }
}

#[test]
fn answers_to_long_prompts_are_packed_onto_few_engines() {
    let mut fleet = Fleet::new();
    let mut answering_engines = BTreeSet::new();
    for _ in 0..6 {
        answering_engines.insert(fleet.start(long_prompt(60_000), relaxed_goals()).upstream);
        fleet.now += Duration::from_millis(150);
    }
    assert!(answering_engines.len() <= 2, "{answering_engines:?}");
}

#[test]
fn prompts_with_small_shards_are_answered_beside_strict_requests() {
    let mut fleet = Fleet::new();
    for _ in 0..18 {
        fleet.start(SHORT, strict_goals());
        fleet.now += Duration::from_millis(80);
    }
    let placement = fleet.start(long_prompt(45_000), relaxed_goals());
    let load = fleet.loads.engine_load(fleet.now, &placement.upstream);
    assert!(load.strict > 0, "{placement:?}");
    assert!(
        placement.shard_time <= Duration::from_millis(25),
        "{placement:?}"
    );
}

#[test]
fn shards_keep_the_event_gaps_of_relaxed_answers() {
    // One of fourteen shards takes 0.5 s.
    for (gap, can_place) in [(500, false), (800, true)] {
        let mut fleet = Fleet::new();
        let gap = Duration::from_millis(gap);
        let peer_loads = (0..ENGINES).map(|number| ReportedLoad {
            engine: engine_key(&engine_name(number)),
            strict: 0,
            relaxed: 1,
            relaxed_event_gap: Some(gap),
            unanswered: 0,
            memory: 50_000,
        });
        fleet
            .loads
            .record_peer_report(fleet.now, "other", peer_loads.collect());
        let placement = fleet.place(long_prompt(350_000), relaxed_goals(), WAIT);
        assert_eq!(placement.is_ok(), can_place, "{placement:?}");
    }
}

#[test]
fn an_engine_with_an_unanswered_prompt_prefills_no_shards() {
    let mut fleet = Fleet::new();
    let notice = PrefillNotice {
        engines: vec!["engine-05".to_owned()],
        shard_time: Duration::from_millis(5),
        decode_delay: Duration::ZERO,
        memory: 400_000,
        event_gap: Duration::from_millis(800),
    };
    fleet
        .loads
        .record_peer_prefill(fleet.now, "node-2", &notice);
    let placement = fleet.start(long_prompt(210_000), relaxed_goals());
    assert_eq!(placement.helpers.len(), 12, "{placement:?}");
    assert!(
        !placement.helpers.contains(&notice.engines[0]),
        "{placement:?}"
    );
}

#[test]
fn a_long_prompt_waits_until_the_one_before_is_prefilled() {
    let mut fleet = Fleet::new();
    let first = fleet.start(long_prompt(210_000), relaxed_goals());
    let place_second = |fleet: &mut Fleet| fleet.place(long_prompt(210_000), relaxed_goals(), WAIT);
    assert_eq!(
        place_second(&mut fleet).unwrap_err(),
        PlacementRefusal::Full
    );

    // Engines prefill the newest shard first, so the rest of an almost finished
    // shard would wait for the new one.
    fleet.now += first.shard_time;
    assert_eq!(
        place_second(&mut fleet).unwrap_err(),
        PlacementRefusal::Full
    );
    fleet.now += Duration::from_millis(20);
    let placement = place_second(&mut fleet).unwrap();
    assert!(placement.helpers.len() >= 9, "{placement:?}");
}

#[test]
fn a_prompt_placed_behind_a_long_one_gets_small_shards() {
    let mut fleet = Fleet::new();
    fleet.start(long_prompt(210_000), relaxed_goals());
    let placement = fleet.start(long_prompt(40_000), relaxed_goals());
    assert!(
        placement.shard_time <= Duration::from_millis(25),
        "{placement:?}"
    );
}

#[test]
fn after_their_wait_only_prompts_that_are_prefilled_soon_are_placed() {
    let mut fleet = Fleet::new();
    for _ in 0..190 {
        fleet.start(SHORT, strict_goals());
        fleet.now += Duration::from_millis(13);
    }
    for (prompt, expected_refusal) in [
        (100_000, None),
        (300_000, Some(PlacementRefusal::NeedsIdleEngines)),
    ] {
        let short_wait = PlacementWait::Allowed {
            max_prefill_time: Duration::from_millis(100),
            remaining: Duration::from_millis(100),
        };
        let waiting = fleet.place(long_prompt(prompt), relaxed_goals(), short_wait);
        assert_eq!(waiting.unwrap_err(), PlacementRefusal::Full);
        let expired = fleet.place(long_prompt(prompt), relaxed_goals(), PlacementWait::Expired);
        assert_eq!(expired.err(), expected_refusal);
    }
}

#[test]
fn a_long_prompt_counts_as_unanswered_until_its_first_event() {
    let mut loads = LoadTracker::default();
    let now = Instant::now();
    let share = MemoryShare {
        engine: "engine-00".to_owned(),
        memory: 100_000,
    };
    let id = loads.record_start(InFlightRequest {
        memory_shares: vec![share],
        strict: false,
        event_gap: Duration::from_millis(500),
    });
    assert_eq!(loads.engine_load(now, "engine-00").unanswered, 1);
    assert_eq!(loads.own_report()[0].unanswered, 1);
    let gap = loads.engine_load(now, "engine-00").relaxed_event_gap;
    assert_eq!(gap, Some(Duration::from_millis(500)));
    loads.record_first_event(id);
    loads.record_first_event(id);
    assert_eq!(loads.engine_load(now, "engine-00").unanswered, 0);
    loads.record_end(id);
    assert_eq!(loads.engine_load(now, "engine-00"), EngineLoad::default());
}

#[test]
fn long_shards_stay_off_the_engines_that_strict_requests_need() {
    let mut fleet = Fleet::new();
    // Strict requests fill these ten engines and will soon need twelve.
    let peer_loads = (0..10).map(|number| ReportedLoad {
        engine: engine_key(&engine_name(number)),
        strict: 16,
        memory: 80_000,
        ..ReportedLoad::default()
    });
    fleet
        .loads
        .record_peer_report(fleet.now, "other", peer_loads.collect());
    let mut prefill_engines = BTreeSet::new();
    for size in [long_prompt(210_000), long_prompt(500_000)] {
        let wait = PlacementWait::Allowed {
            max_prefill_time: Duration::from_secs(20),
            remaining: Duration::from_secs(20),
        };
        let placement = fleet.place(size, relaxed_goals(), wait).unwrap();
        let engines = placement.other_prefill_engines();
        prefill_engines.extend(engines.into_iter().map(str::to_owned));
        prefill_engines.insert(placement.upstream);
    }
    assert_eq!(
        prefill_engines,
        ["engine-12", "engine-13"].map(str::to_owned).into()
    );
}

#[test]
fn prompts_too_large_for_one_engine_use_idle_engines_up_to_half() {
    let mut fleet = Fleet::new();
    let huge_prompt = long_prompt(700_000);
    let placement = fleet.place(huge_prompt, relaxed_goals(), WAIT);
    assert_eq!(placement.unwrap_err(), PlacementRefusal::NeedsIdleEngines);
    // All engines are idle, but the prefill takes longer than the 1 s that is
    // allowed, so the prompt waits.
    let short_wait = PlacementWait::Allowed {
        max_prefill_time: Duration::from_secs(1),
        remaining: Duration::from_secs(4),
    };
    let placement = fleet.place(huge_prompt, relaxed_goals(), short_wait);
    assert_eq!(placement.unwrap_err(), PlacementRefusal::Full);
    let wait = PlacementWait::Allowed {
        max_prefill_time: Duration::from_secs(4),
        remaining: Duration::from_secs(4),
    };
    let placement = fleet.place(huge_prompt, relaxed_goals(), wait).unwrap();
    assert_eq!(placement.memory_shares.len(), 6);
    assert!(
        placement.time_to_prefill <= Duration::from_secs(4),
        "{placement:?}"
    );
}

#[test]
fn prompts_too_large_for_one_engine_use_only_idle_engines() {
    let mut fleet = Fleet::new();
    let huge_prompt = long_prompt(700_000);
    let wait = PlacementWait::Allowed {
        max_prefill_time: Duration::from_secs(4),
        remaining: Duration::from_secs(4),
    };
    let placement = fleet.place(huge_prompt, relaxed_goals(), wait).unwrap();
    assert!(
        placement.memory_shares.len() < 7,
        "half of the engines stay free"
    );
    let helper_tokens: u64 = placement
        .memory_shares
        .iter()
        .map(|(_, tokens)| tokens)
        .sum();
    assert!(huge_prompt.kv_cache_tokens() - helper_tokens <= spec().kv_cache_tokens);
    assert!(
        placement
            .memory_shares
            .iter()
            .all(|(_, tokens)| *tokens <= spec().kv_cache_tokens)
    );

    for _ in 0..100 {
        fleet.start(SHORT, strict_goals());
        fleet.now += Duration::from_millis(13);
    }
    let result = fleet.place(huge_prompt, relaxed_goals(), PlacementWait::Expired);
    assert_eq!(result.unwrap_err(), PlacementRefusal::NeedsIdleEngines);
}

#[test]
fn a_prompt_too_large_for_any_group_of_engines_is_refused() {
    let mut fleet = Fleet::new();
    let result = fleet.place(long_prompt(4_000_000), relaxed_goals(), WAIT);
    assert_eq!(result.unwrap_err(), PlacementRefusal::TooLarge);
}

#[test]
fn a_long_prompt_of_another_node_counts_before_its_next_report() {
    let mut fleet = Fleet::new();
    fleet
        .loads
        .record_peer_report(fleet.now, "other", Vec::new());
    let notice = PrefillNotice {
        engines: vec!["engine-13".to_owned(), "engine-12".to_owned()],
        shard_time: Duration::from_millis(300),
        decode_delay: Duration::from_millis(60),
        memory: 300_000,
        event_gap: Duration::from_millis(800),
    };
    fleet.loads.record_peer_prefill(fleet.now, "other", &notice);
    let load = fleet.loads.engine_load(fleet.now, "engine-13");
    assert_eq!((load.relaxed, load.memory), (1, 300_000));
    assert_eq!(load.prefill_wait, Duration::from_millis(315));
    assert_eq!(load.unanswered, 1);

    let summary = vec![ReportedLoad {
        engine: engine_key("engine-13"),
        strict: 0,
        relaxed: 1,
        relaxed_event_gap: Some(Duration::from_millis(800)),
        unanswered: 0,
        memory: 300_000,
    }];
    fleet.loads.record_peer_report(fleet.now, "other", summary);
    assert_eq!(fleet.loads.engine_load(fleet.now, "engine-13").relaxed, 1);
    let later = fleet.now + Duration::from_secs(2);
    assert_eq!(fleet.loads.engine_load(later, "engine-13").running(), 0);
}

#[test]
fn prefill_time_adds_token_and_attention_costs() {
    // 210,000 tokens: 0.82 s for the tokens and 2.02 s for the attention to
    // earlier tokens.
    let total = prefill_time(&spec(), 210_000, 1);
    assert!((2.83..2.85).contains(&total.as_secs_f64()), "{total:?}");
    let shard = prefill_time(&spec(), 210_000, 16);
    assert!((0.176..0.179).contains(&shard.as_secs_f64()), "{shard:?}");
}

/// Guards against engines with a limited rate that are used up by short prompts, while the
/// long ones crowd the few others.
#[test]
fn engines_with_a_limited_rate_get_long_prompts_first() {
    let mut fleet = Fleet::new();
    let limited: BTreeSet<String> = (0..10).map(engine_name).collect();
    let own = "node-0".to_owned();
    for engine in &limited {
        let now = fleet.now;
        fleet
            .table
            .observe_rate(now, engine, None, now, Some(1_000));
    }
    let share = FleetShare {
        own: &own,
        nodes: &[&own],
        standing: FleetStanding::Settled,
    };
    fleet.table.share_rates(fleet.now, &share);
    fleet.now += Duration::from_secs(1);
    let strict = LatencyGoals {
        first_event: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        shortest_event_gap: Duration::from_millis(200),
    };
    let relaxed = LatencyGoals {
        first_event: Duration::from_millis(1_500),
        event_gap: Duration::from_millis(500),
        ..strict
    };
    let long = PromptSize {
        prompt: 45_000,
        answer: 1_000,
    };
    for _ in 0..20 {
        let placement = fleet.place(SHORT, strict, PlacementWait::Expired).unwrap();
        assert!(!limited.contains(&placement.upstream), "{placement:?}");
        let placement = fleet.place(long, relaxed, WAIT).unwrap();
        assert!(limited.contains(&placement.upstream), "{placement:?}");
        assert!(placement.helpers.is_empty(), "{placement:?}");
    }
    // The limited engines take short prompts once the others are full.
    let mut taken = BTreeSet::new();
    for _ in 0..4 * spec().slots + 8 {
        let placement = fleet.start(SHORT, strict);
        fleet.table.take_send(fleet.now, &placement.upstream);
        taken.insert(placement.upstream);
    }
    assert!(taken.intersection(&limited).count() >= 8, "{taken:?}");
}
