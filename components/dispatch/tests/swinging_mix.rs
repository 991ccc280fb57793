//! The load that swings every few seconds between long prompts and short
//! ones: where each goes while the other is about.

mod support;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use dispatch::{
    EngineLoad, InFlightRequest, LatencyGoals, LoadTracker, MemoryShare, PeerLoad, Placement,
    PlacementRefusal, PlacementRequest, PlacementWait, PrefillNotice, PromptSize, UpstreamTable,
    engine_key, place_prompt, prefill_time,
};
use rand::{SeedableRng, rngs::SmallRng};

use support::{ENGINES, engine_name, engine_table, spec};

const WAITS: PlacementWait = PlacementWait::Allowed {
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
        patience: PlacementWait,
    ) -> Result<Placement, PlacementRefusal> {
        let usable = self.table.selectable(self.now, "models", &[]);
        let (now, loads, rng) = (self.now, &self.loads, &mut self.rng);
        let ask = PlacementRequest {
            size,
            goals,
            wait: patience,
            unreported_strict: self.unreported,
        };
        place_prompt(now, &spec(), &ask, &usable, loads, rng)
    }

    fn start(&mut self, size: PromptSize, goals: LatencyGoals) -> Placement {
        let placed = self.place(size, goals, PlacementWait::Expired).unwrap();
        self.loads.record_start(InFlightRequest {
            memory_shares: vec![MemoryShare {
                engine: placed.upstream.clone(),
                memory: size.kv_cache_tokens(),
            }],
            strict: goals.is_strict(),
            event_gap: goals.event_gap,
        });
        let mut engines = vec![placed.upstream.clone()];
        engines.extend(placed.helpers.iter().cloned());
        let notice = PrefillNotice {
            engines,
            shard_time: placed.shard_time,
            decode_delay: placed.decode_delay,
            memory: size.kv_cache_tokens(),
            event_gap: goals.event_gap,
        };
        self.loads.record_prefill(self.now, &notice);
        placed
    }
}

fn short_goals() -> LatencyGoals {
    LatencyGoals {
        first_event: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        shortest_event_gap: Duration::from_millis(200),
    }
}

fn long_goals() -> LatencyGoals {
    LatencyGoals {
        first_event: Duration::from_secs(3),
        event_gap: Duration::from_millis(800),
        ..short_goals()
    }
}

fn long(prompt: u64) -> PromptSize {
    PromptSize {
        prompt,
        answer: 800,
    }
}

#[test]
fn short_prompts_share_few_engines_while_there_are_few() {
    let mut fleet = Fleet::new();
    let mut used = BTreeSet::new();
    for _ in 0..18 {
        used.insert(fleet.start(SHORT, short_goals()).upstream);
        fleet.now += Duration::from_millis(80);
    }
    assert!(used.len() <= 3, "{used:?}");
}

#[test]
fn the_wait_for_a_pass_shuts_no_engine_for_the_next_short_prompt() {
    let mut fleet = Fleet::new();
    for _ in 0..8 {
        fleet.start(SHORT, short_goals());
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
    let placed = fleet.place(SHORT, short_goals(), WAITS).unwrap();
    assert_eq!(placed.upstream, "engine-00");
}

#[test]
fn engines_are_opened_for_short_prompts_one_after_the_other() {
    let mut fleet = Fleet::new();
    fleet.start(SHORT, short_goals());
    let notice = PrefillNotice {
        engines: vec![engine_name(0)],
        shard_time: Duration::from_millis(110),
        decode_delay: Duration::ZERO,
        memory: 0,
        event_gap: Duration::from_millis(800),
    };
    fleet.loads.record_prefill(fleet.now, &notice);
    let used: BTreeSet<String> = (0..20)
        .filter_map(|_| fleet.place(SHORT, short_goals(), WAITS).ok())
        .map(|placed| placed.upstream)
        .collect();
    assert_eq!(used, BTreeSet::from([engine_name(1)]));
}

#[test]
fn a_herd_of_short_prompts_opens_engines_before_its_reports_are_here() {
    let mut fleet = Fleet::new();
    fleet.loads.sample_strict_requests(fleet.now);
    for _ in 0..4 {
        fleet.start(SHORT, short_goals());
        fleet.now += Duration::from_millis(60);
    }
    // Thirty others have probably started as many; half of these are known.
    fleet.unreported = fleet.loads.estimate_unreported(fleet.now, 30);
    assert_eq!(fleet.unreported, 60);
    let used: BTreeSet<String> = (0..40)
        .filter_map(|_| fleet.place(SHORT, short_goals(), WAITS).ok())
        .map(|placed| placed.upstream)
        .collect();
    // The first engine is the busiest of the five that are open.
    assert_eq!(used, (1..=4).map(engine_name).collect());

    // Once no more come, all is reported.
    fleet.loads.sample_strict_requests(fleet.now);
    fleet.now += Duration::from_millis(600);
    fleet.loads.sample_strict_requests(fleet.now);
    assert_eq!(fleet.loads.estimate_unreported(fleet.now, 30), 0);
}

#[test]
fn short_prompts_get_all_engines_when_there_are_many() {
    let mut fleet = Fleet::new();
    let mut used = BTreeSet::new();
    for _ in 0..190 {
        used.insert(fleet.start(SHORT, short_goals()).upstream);
        fleet.now += Duration::from_millis(13);
    }
    assert_eq!(used.len(), 14);
    let busiest = used
        .iter()
        .map(|id| fleet.loads.engine_load(fleet.now, id).strict);
    assert!(busiest.max() <= Some(spec().slots));
}

#[test]
fn nodes_that_see_the_same_summaries_do_not_all_choose_the_emptiest_engine() {
    let mut fleet = Fleet::new();
    let busy = (0..ENGINES - 1).map(|number| PeerLoad {
        engine: engine_key(&engine_name(number)),
        strict: 13,
        relaxed: 0,
        relaxed_event_gap: None,
        unanswered: 0,
        memory: 80_000,
    });
    fleet
        .loads
        .record_peer_report(fleet.now, "other", busy.collect());
    // About as many as come to all nodes between two summaries.
    let emptiest = (0..44)
        .filter_map(|_| fleet.place(SHORT, short_goals(), WAITS).ok())
        .filter(|placed| placed.upstream == "engine-13");
    assert!(emptiest.count() <= 16);
}

#[test]
fn a_long_prompt_is_read_by_many_and_within_its_goal() {
    let mut fleet = Fleet::new();
    let placed = fleet.start(long(210_000), long_goals());
    assert!(placed.helpers.len() >= 9, "{placed:?}");
    assert!(
        placed.prefill_time < Duration::from_millis(400),
        "{placed:?}"
    );
}

#[test]
fn parts_of_a_long_prompt_keep_the_pauses_of_short_ones() {
    let mut fleet = Fleet::new();
    for _ in 0..18 {
        fleet.start(SHORT, short_goals());
        fleet.now += Duration::from_millis(80);
    }
    let placed = fleet.start(long(210_000), long_goals());
    let mut readers = placed.helpers.clone();
    readers.push(placed.upstream.clone());
    for id in readers {
        let load = fleet.loads.engine_load(fleet.now, &id);
        if load.strict > 0 {
            let pass = spec().pass_time(load.running(), load.memory) + load.prefill_wait;
            assert!(pass <= Duration::from_millis(200), "{id}: {pass:?}");
        }
    }
}

#[test]
fn answers_to_long_prompts_leave_engines_that_only_read() {
    let mut fleet = Fleet::new();
    let mut firsts = BTreeSet::new();
    for _ in 0..6 {
        firsts.insert(fleet.start(long(60_000), long_goals()).upstream);
        fleet.now += Duration::from_millis(150);
    }
    assert!(firsts.len() <= 2, "{firsts:?}");
}

#[test]
fn answers_to_prompts_with_small_parts_are_written_beside_short_ones() {
    let mut fleet = Fleet::new();
    for _ in 0..18 {
        fleet.start(SHORT, short_goals());
        fleet.now += Duration::from_millis(80);
    }
    let placed = fleet.start(long(45_000), long_goals());
    let load = fleet.loads.engine_load(fleet.now, &placed.upstream);
    assert!(load.strict > 0, "{placed:?}");
    assert!(placed.shard_time <= Duration::from_millis(25), "{placed:?}");
}

#[test]
fn parts_keep_the_pauses_of_the_answers_on_their_engines() {
    // A fourteenth takes 0.5 s.
    for (gap, may_read) in [(500, false), (800, true)] {
        let mut fleet = Fleet::new();
        let gap = Duration::from_millis(gap);
        let busy = (0..ENGINES).map(|number| PeerLoad {
            engine: engine_key(&engine_name(number)),
            strict: 0,
            relaxed: 1,
            relaxed_event_gap: Some(gap),
            unanswered: 0,
            memory: 50_000,
        });
        fleet
            .loads
            .record_peer_report(fleet.now, "other", busy.collect());
        let placed = fleet.place(long(350_000), long_goals(), WAITS);
        assert_eq!(placed.is_ok(), may_read, "{placed:?}");
    }
}

#[test]
fn an_engine_whose_own_prompt_waits_reads_no_parts() {
    let mut fleet = Fleet::new();
    let other = PrefillNotice {
        engines: vec!["engine-05".to_owned()],
        shard_time: Duration::from_millis(5),
        decode_delay: Duration::ZERO,
        memory: 400_000,
        event_gap: Duration::from_millis(800),
    };
    fleet.loads.record_peer_prefill(fleet.now, "node-2", &other);
    let placed = fleet.start(long(210_000), long_goals());
    assert_eq!(placed.helpers.len(), 12, "{placed:?}");
    assert!(!placed.helpers.contains(&other.engines[0]), "{placed:?}");
}

#[test]
fn a_long_prompt_waits_until_engines_have_read_the_one_before() {
    let mut fleet = Fleet::new();
    let first = fleet.start(long(210_000), long_goals());
    let second = |fleet: &mut Fleet| fleet.place(long(210_000), long_goals(), WAITS);
    assert_eq!(second(&mut fleet).unwrap_err(), PlacementRefusal::Full);

    // A part that is almost read would be left over below the new one.
    fleet.now += first.shard_time;
    assert_eq!(second(&mut fleet).unwrap_err(), PlacementRefusal::Full);
    fleet.now += Duration::from_millis(20);
    let placed = second(&mut fleet).unwrap();
    assert!(placed.helpers.len() >= 9, "{placed:?}");
}

#[test]
fn small_parts_go_before_the_parts_of_long_prompts() {
    let mut fleet = Fleet::new();
    fleet.start(long(210_000), long_goals());
    let placed = fleet.start(long(40_000), long_goals());
    assert!(placed.shard_time <= Duration::from_millis(25), "{placed:?}");
}

#[test]
fn after_their_wait_only_prompts_that_are_read_soon_are_read_late() {
    let mut fleet = Fleet::new();
    for _ in 0..190 {
        fleet.start(SHORT, short_goals());
        fleet.now += Duration::from_millis(13);
    }
    for (prompt, refusal) in [
        (100_000, None),
        (300_000, Some(PlacementRefusal::NeedsIdleEngines)),
    ] {
        let soon = PlacementWait::Allowed {
            max_prefill_time: Duration::from_millis(100),
            remaining: Duration::from_millis(100),
        };
        let waiting = fleet.place(long(prompt), long_goals(), soon);
        assert_eq!(waiting.unwrap_err(), PlacementRefusal::Full);
        let over = fleet.place(long(prompt), long_goals(), PlacementWait::Expired);
        assert_eq!(over.err(), refusal);
    }
}

#[test]
fn a_long_prompt_counts_as_unanswered_until_its_first_event() {
    let mut loads = LoadTracker::default();
    let now = Instant::now();
    let part = MemoryShare {
        engine: "engine-00".to_owned(),
        memory: 100_000,
    };
    let flight = loads.record_start(InFlightRequest {
        memory_shares: vec![part],
        strict: false,
        event_gap: Duration::from_millis(500),
    });
    assert_eq!(loads.engine_load(now, "engine-00").unanswered, 1);
    assert_eq!(loads.own_loads()[0].unanswered, 1);
    let gap = loads.engine_load(now, "engine-00").relaxed_event_gap;
    assert_eq!(gap, Some(Duration::from_millis(500)));
    loads.record_first_event(flight);
    loads.record_first_event(flight);
    assert_eq!(loads.engine_load(now, "engine-00").unanswered, 0);
    loads.record_end(flight);
    assert_eq!(loads.engine_load(now, "engine-00"), EngineLoad::default());
}

#[test]
fn long_parts_leave_the_engines_that_short_prompts_need() {
    let mut fleet = Fleet::new();
    // Twelve engines are needed, and these are full of them as yet.
    let busy = (0..10).map(|number| PeerLoad {
        engine: engine_key(&engine_name(number)),
        strict: 16,
        memory: 80_000,
        ..PeerLoad::default()
    });
    fleet
        .loads
        .record_peer_report(fleet.now, "other", busy.collect());
    let mut free = BTreeSet::new();
    for size in [long(210_000), long(500_000)] {
        let patience = PlacementWait::Allowed {
            max_prefill_time: Duration::from_secs(20),
            remaining: Duration::from_secs(20),
        };
        let placed = fleet.place(size, long_goals(), patience).unwrap();
        let readers = placed.other_prefill_engines();
        free.extend(readers.into_iter().map(str::to_owned));
        free.insert(placed.upstream);
    }
    assert_eq!(free, ["engine-12", "engine-13"].map(str::to_owned).into());
}

#[test]
fn prompts_that_no_engine_holds_take_all_idle_engines_up_to_half() {
    let mut fleet = Fleet::new();
    let giant = long(700_000);
    let placed = fleet.place(giant, long_goals(), WAITS);
    assert_eq!(placed.unwrap_err(), PlacementRefusal::NeedsIdleEngines);
    // It waits while engines only read; it is refused where they write.
    let soon = PlacementWait::Allowed {
        max_prefill_time: Duration::from_secs(1),
        remaining: Duration::from_secs(4),
    };
    let placed = fleet.place(giant, long_goals(), soon);
    assert_eq!(placed.unwrap_err(), PlacementRefusal::Full);
    let patience = PlacementWait::Allowed {
        max_prefill_time: Duration::from_secs(4),
        remaining: Duration::from_secs(4),
    };
    let placed = fleet.place(giant, long_goals(), patience).unwrap();
    assert_eq!(placed.memory_shares.len(), 6);
    assert!(placed.prefill_time <= Duration::from_secs(4), "{placed:?}");
}

#[test]
fn prompts_that_no_engine_holds_are_read_on_idle_engines_only() {
    let mut fleet = Fleet::new();
    let giant = long(700_000);
    let patience = PlacementWait::Allowed {
        max_prefill_time: Duration::from_secs(4),
        remaining: Duration::from_secs(4),
    };
    let placed = fleet.place(giant, long_goals(), patience).unwrap();
    assert!(
        placed.memory_shares.len() < 7,
        "half of the engines stay free"
    );
    let held: u64 = placed.memory_shares.iter().map(|(_, tokens)| tokens).sum();
    assert!(giant.kv_cache_tokens() - held <= spec().kv_cache_tokens);
    assert!(
        placed
            .memory_shares
            .iter()
            .all(|(_, tokens)| *tokens <= spec().kv_cache_tokens)
    );

    for _ in 0..100 {
        fleet.start(SHORT, short_goals());
        fleet.now += Duration::from_millis(13);
    }
    let refused = fleet.place(giant, long_goals(), PlacementWait::Expired);
    assert_eq!(refused.unwrap_err(), PlacementRefusal::NeedsIdleEngines);
}

#[test]
fn a_prompt_that_no_group_can_hold_is_refused_for_good() {
    let mut fleet = Fleet::new();
    let refused = fleet.place(long(4_000_000), long_goals(), WAITS);
    assert_eq!(refused.unwrap_err(), PlacementRefusal::TooLarge);
}

#[test]
fn a_long_prompt_of_another_node_counts_before_its_next_summary() {
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

    let summary = vec![PeerLoad {
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
fn reading_costs_what_engines_publish() {
    // 210,000 tokens: 0.82 s for the tokens and 2.02 s for their pairs.
    let whole = prefill_time(&spec(), 210_000, 1);
    assert!((2.83..2.85).contains(&whole.as_secs_f64()), "{whole:?}");
    let part = prefill_time(&spec(), 210_000, 16);
    assert!((0.176..0.179).contains(&part.as_secs_f64()), "{part:?}");
}
