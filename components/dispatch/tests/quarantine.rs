//! Prompts that crash the engines which answer them: which of the requests and parts
//! beside a crash are blamed, at nodes that learn of each other's evidence late.

use std::time::{Duration, Instant};

use dispatch::{CrashReport, PartStanding, QuarantineList, QuarantineRow, SuspectPart};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use types::PromptPartId;

const SYSTEM_PART: PromptPartId = 1;
const CRASHING_PART: PromptPartId = 99;
/// Any time in Unix milliseconds.
const NOW_MS: u64 = 1_800_000_000_000;

/// Time after which all nodes have heard of a crash.
const REPORTED: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);
const NODES: usize = 6;
const ENGINES: usize = 14;
const REQUESTS_PER_STEP: usize = 2;
/// Steps from the start of an answer with the crashing part to the end of its engine.
const CRASH_STEPS: usize = 2;
/// Steps of a whole answer.
const ANSWER_STEPS: usize = 30;
const RESTART_STEPS: usize = 60;
/// Longest time until another node hears of evidence.
const LAG_STEPS: usize = 10;
/// Crashes after which, and time within which, every node has to know the part.
const CRASHES_UNTIL_KNOWN: usize = 5;
const STABLE_WINDOW_STEPS: usize = 60;
/// Requests with the part that may be sent after that time.
const LATE_SENDS_MAX: usize = 3;

#[derive(Clone)]
struct RunningRequest {
    node: usize,
    fingerprint: u64,
    parts: Vec<PromptPartId>,
    begun_at: usize,
    sends: usize,
}

#[derive(Clone)]
enum Evidence {
    Crash(CrashReport),
    Standing(PromptPartId, PartStanding),
}

/// Nodes with their own evidence, and engines that crash on the prompts with one of some
/// parts.
struct CrashSimulation {
    rng: StdRng,
    now: Instant,
    step: usize,
    nodes: Vec<QuarantineList>,
    /// Running requests of each engine, or the step at which it is back.
    engines: Vec<Result<Vec<RunningRequest>, usize>>,
    incarnation: u64,
    crashing_parts: Vec<PromptPartId>,
    /// Step, receiving node, what it is told.
    messages: Vec<(usize, usize, Evidence)>,
    /// Crashing part and step of each send of a request with one.
    crashing_sends: Vec<(PromptPartId, usize)>,
    /// Crashing part and step of each crash.
    crash_causes: Vec<(PromptPartId, usize)>,
}

impl CrashSimulation {
    fn new(seed: u64, crashing_parts: &[PromptPartId]) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            step: 0,
            nodes: (0..NODES).map(|_| QuarantineList::default()).collect(),
            engines: vec![Ok(Vec::new()); ENGINES],
            incarnation: 0,
            crashing_parts: crashing_parts.to_vec(),
            messages: Vec::new(),
            crashing_sends: Vec::new(),
            crash_causes: Vec::new(),
        }
    }

    fn run(&mut self, steps: usize, crashing_share: f64) {
        for _ in 0..steps {
            self.step += 1;
            self.now += STEP;
            self.deliver_messages();
            self.judge();
            for _ in 0..REQUESTS_PER_STEP {
                let request = self.draw_request(crashing_share);
                self.send(request);
            }
            for engine in 0..ENGINES {
                self.run_engine(engine);
            }
        }
    }

    fn draw_request(&mut self, crashing_share: f64) -> RunningRequest {
        // A subject that is asked for all the time, or a session of five seconds.
        let middle = if self.rng.random_bool(0.8) {
            10 + self.rng.random_range(0..30)
        } else {
            1000 + u64::try_from((self.step + 50) / 100).unwrap()
        };
        let mut parts = vec![SYSTEM_PART, middle];
        if !self.crashing_parts.is_empty() && self.rng.random_bool(crashing_share) {
            let index = self.rng.random_range(0..self.crashing_parts.len());
            parts.push(self.crashing_parts[index]);
        }
        RunningRequest {
            node: self.rng.random_range(0..NODES),
            fingerprint: self.rng.next_u64(),
            parts,
            begun_at: 0,
            sends: 0,
        }
    }

    fn crashing_part(&self, request: &RunningRequest) -> Option<PromptPartId> {
        let mut parts = request.parts.iter().copied();
        parts.find(|part| self.crashing_parts.contains(part))
    }

    fn send(&mut self, mut request: RunningRequest) {
        let list = &self.nodes[request.node];
        let left = list.time_left(self.now, request.fingerprint, &request.parts);
        if left.is_some() || request.sends == 3 {
            return;
        }
        let live: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.engines[*engine].is_ok())
            .collect();
        if live.is_empty() {
            return;
        }
        if let Some(part) = self.crashing_part(&request) {
            self.crashing_sends.push((part, self.step));
        }
        let engine = live[self.rng.random_range(0..live.len())];
        request.sends += 1;
        request.begun_at = self.step + self.rng.random_range(1..5);
        if let Ok(running) = &mut self.engines[engine] {
            running.push(request);
        }
    }

    fn run_engine(&mut self, engine: usize) {
        let running = match &mut self.engines[engine] {
            Err(back_at) if *back_at <= self.step => {
                self.engines[engine] = Ok(Vec::new());
                return;
            }
            Err(_) => return,
            Ok(running) => std::mem::take(running),
        };
        let mut causes = running
            .iter()
            .filter(|request| self.step >= request.begun_at + CRASH_STEPS);
        let cause = causes.find_map(|request| self.crashing_part(request));
        if let Some(part) = cause {
            self.crash_causes.push((part, self.step));
            self.crash_engine(engine, running);
            return;
        }
        let (ended, running): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|request| self.step >= request.begun_at + ANSWER_STEPS);
        self.engines[engine] = Ok(running);
        for request in ended {
            let list = &mut self.nodes[request.node];
            for part in list.record_sound_answer(self.now, &request.parts) {
                let standing = PartStanding::Sound(self.rng.next_u64());
                self.tell(request.node, &Evidence::Standing(part, standing));
            }
        }
    }

    fn crash_engine(&mut self, engine: usize, running: Vec<RunningRequest>) {
        self.engines[engine] = Err(self.step + RESTART_STEPS);
        self.incarnation += 1;
        for request in running {
            let list = &mut self.nodes[request.node];
            let upstream = format!("engine-{engine}");
            let together_with = list.crash_log_mut().record_loss(self.now, &upstream);
            let parts = request.parts.iter().map(|part| SuspectPart {
                part: *part,
                was_sound: list.is_known_sound(self.now, *part),
            });
            let report = CrashReport {
                upstream,
                started_ms: Some(self.incarnation),
                together_with,
                fingerprint: request.fingerprint,
                parts: parts.collect(),
            };
            self.receive(request.node, Evidence::Crash(report.clone()));
            self.tell(request.node, &Evidence::Crash(report));
            self.send(request);
        }
    }

    /// Ends several engines at once, as when their host or rack is lost.
    fn lose_engines(&mut self, count: usize) {
        for engine in 0..count {
            if let Ok(running) = &mut self.engines[engine] {
                let running = std::mem::take(running);
                self.crash_engine(engine, running);
            }
        }
    }

    fn tell(&mut self, from: usize, evidence: &Evidence) {
        for node in (0..NODES).filter(|node| *node != from) {
            let due = self.step + self.rng.random_range(1..=LAG_STEPS);
            self.messages.push((due, node, evidence.clone()));
        }
    }

    fn deliver_messages(&mut self) {
        let step = self.step;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..)| *at <= step);
        self.messages = later;
        for (_, node, evidence) in due {
            self.receive(node, evidence);
        }
    }

    fn receive(&mut self, node: usize, evidence: Evidence) {
        let now = self.now;
        match evidence {
            Evidence::Standing(part, standing) => {
                self.nodes[node].apply_standing(now, NOW_MS, part, standing);
            }
            Evidence::Crash(report) => {
                if !self.nodes[node].record_crash(now, &report) {
                    return;
                }
                for suspect in report.parts.iter().filter(|suspect| !suspect.was_sound) {
                    if self.nodes[node].is_known_sound(now, suspect.part) {
                        let standing = PartStanding::SoundBefore;
                        self.tell(node, &Evidence::Standing(suspect.part, standing));
                    }
                }
            }
        }
    }

    fn judge(&mut self) {
        for node in 0..NODES {
            for part in self.nodes[node].judge(self.now, NOW_MS) {
                assert!(
                    self.crashing_parts.contains(&part),
                    "node {node} blames part {part} after {} crashes",
                    self.crash_causes.len()
                );
                let standing = PartStanding::Quarantined(NOW_MS);
                self.tell(node, &Evidence::Standing(part, standing));
            }
        }
    }

    fn quarantined_parts(&self, node: usize) -> Vec<PromptPartId> {
        let parts = self.nodes[node].quarantined_parts(self.now);
        let mut parts: Vec<PromptPartId> = parts.map(|(part, _)| part).collect();
        parts.sort_unstable();
        parts
    }

    fn assert_known(&self, seed: u64) {
        for node in 0..NODES {
            let parts = self.quarantined_parts(node);
            assert_eq!(parts, self.crashing_parts, "seed {seed}, node {node}");
        }
        for part in &self.crashing_parts {
            let mut crashes = self.crash_causes.iter().filter(|(cause, _)| cause == part);
            let Some((_, fifth_crash)) = crashes.nth(CRASHES_UNTIL_KNOWN - 1) else {
                continue;
            };
            let limit = fifth_crash + STABLE_WINDOW_STEPS;
            let sends = self.crashing_sends.iter();
            let late = sends.filter(|(sent, step)| sent == part && *step > limit);
            let late = late.count();
            assert!(late <= LATE_SENDS_MAX, "seed {seed}: {late} late sends");
        }
    }
}

/// Guards against a prompt part that crashes one engine after the other, in requests that
/// share their other parts with sound ones, while nodes hear of each other's evidence half
/// a second late.
#[test]
fn all_nodes_refuse_the_crashing_part_and_no_other() {
    for seed in 0..40 {
        let mut simulation = CrashSimulation::new(seed, &[CRASHING_PART]);
        simulation.run(100, 0.0);
        simulation.run(200, 0.15);
        simulation.assert_known(seed);
    }
}

/// Guards against the same where few requests have the part, one or two a second.
#[test]
fn a_rare_crashing_part_is_refused_at_all_nodes() {
    for seed in 0..40 {
        let mut simulation = CrashSimulation::new(seed, &[CRASHING_PART]);
        simulation.run(100, 0.0);
        simulation.run(600, 0.03);
        simulation.assert_known(seed);
    }
}

/// Guards against one crashing part that hides another.
#[test]
fn several_crashing_parts_are_told_apart() {
    for seed in 0..40 {
        let mut simulation = CrashSimulation::new(seed, &[98, 99]);
        simulation.run(100, 0.0);
        simulation.run(600, 0.1);
        simulation.assert_known(seed);
    }
}

/// Guards against blame for parts that have just come into use when engines end together
/// for a reason of their own, again and again.
#[test]
fn engines_that_end_together_are_one_piece_of_evidence() {
    for seed in 0..40 {
        let mut simulation = CrashSimulation::new(seed, &[]);
        simulation.run(55, 0.0);
        for _ in 0..5 {
            simulation.lose_engines(6);
            simulation.run(100, 0.0);
        }
        simulation.assert_known(seed);
    }
}

#[test]
fn each_process_under_one_id_counts() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for life in 0..3 {
        let crash = CrashReport {
            started_ms: Some(life),
            ..report(0, life, &[99])
        };
        list.record_crash(now + Duration::from_secs(3 * life), &crash);
    }
    let reported = now + Duration::from_secs(6) + REPORTED;
    assert_eq!(list.judge(reported, NOW_MS), [99]);
}

/// Guards against blame for the parts of prompts that a whole crashing request, or a host
/// with many engines, takes down with it.
#[test]
fn parts_beside_other_causes_are_not_blamed() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    // One request that crashes every engine, sent again and again, with two parts that no
    // other request has.
    for engine in 0..9 {
        list.record_crash(now, &report(engine, 7, &[20, 21]));
    }
    let reported = now + REPORTED;
    assert_eq!(list.judge(reported, NOW_MS), []);
    assert!(list.time_left(now, 7, &[]).is_some());
    assert_eq!(list.time_left(now, 8, &[20, 21]), None);
    // A host with four engines is lost, with different requests that share a part which
    // was answered before.
    list.record_sound_answer(now, &[30]);
    for engine in 10..14 {
        list.record_crash(now, &report(engine, 100 + engine, &[30, 40 + engine]));
    }
    assert_eq!(list.judge(reported, NOW_MS), []);
    assert_eq!(list.time_left(now, 110, &[30, 50]), None);
}

/// Guards against refusals of a request that ran beside the crashing one on three engines.
#[test]
fn a_crash_that_a_part_explains_counts_against_nothing_else() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for engine in 0..3 {
        list.record_crash(now, &report(engine, 5, &[SYSTEM_PART, 50]));
        list.record_crash(now, &report(engine, 60 + engine, &[SYSTEM_PART, 99]));
        list.record_sound_answer(now, &[SYSTEM_PART]);
    }
    assert!(list.time_left(now, 5, &[SYSTEM_PART, 50]).is_some());
    list.record_crash(now, &report(3, 63, &[SYSTEM_PART, 99]));
    assert_eq!(list.judge(now + REPORTED, NOW_MS), [99]);
    assert_eq!(list.time_left(now, 5, &[SYSTEM_PART, 50]), None);
    assert!(list.time_left(now, 70, &[SYSTEM_PART, 99]).is_some());
}

#[test]
fn a_quarantine_ends_after_its_time_or_with_a_sound_answer() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    assert!(list.apply_standing(now, NOW_MS, 99, PartStanding::Quarantined(NOW_MS)));
    assert!(!list.apply_standing(now, NOW_MS, 99, PartStanding::Quarantined(NOW_MS)));
    assert!(!list.apply_standing(now, NOW_MS, 99, PartStanding::SoundBefore));
    let nearly_over = now + Duration::from_secs(599);
    assert!(list.time_left(nearly_over, 1, &[99]).is_some());
    let over = now + Duration::from_secs(601);
    assert_eq!(list.time_left(over, 1, &[99]), None);
    // Of a quarantine that began nine minutes ago, a minute is left.
    let began = NOW_MS - 9 * 60_000;
    assert!(list.apply_standing(now, NOW_MS, 98, PartStanding::Quarantined(began)));
    let left = list.time_left(now, 1, &[98]).unwrap();
    assert_eq!(left, Duration::from_mins(1));
    let over_ms = NOW_MS - 11 * 60_000;
    assert!(!list.apply_standing(now, NOW_MS, 97, PartStanding::Quarantined(over_ms)));
    assert_eq!(list.record_sound_answer(now, &[98]), [98]);
    assert_eq!(list.time_left(now, 1, &[98]), None);
}

/// Guards against a quarantine that begins anew, time after time, for the same crashes.
#[test]
fn crashes_count_only_once_and_for_a_minute() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for engine in 0..3 {
        list.record_crash(now, &report(engine, engine, &[99]));
    }
    assert_eq!(list.judge(now + REPORTED, NOW_MS), [99]);
    let over = now + Duration::from_secs(610);
    let over_ms = NOW_MS + 610_000;
    // The next quarantine removes those that have ended.
    list.apply_standing(over, over_ms, 50, PartStanding::Quarantined(over_ms));
    assert_eq!(list.judge(over, over_ms), []);
    assert_eq!(list.time_left(over, 9, &[99]), None);
    for engine in 3..5 {
        list.record_crash(over, &report(engine, engine, &[99]));
    }
    assert_eq!(list.judge(over + REPORTED, over_ms), []);
}

/// Guards against a part that counts as sound because its quarantine was lifted or has
/// ended, and so may crash more upstreams than before.
#[test]
fn a_lifted_part_starts_anew_and_is_not_taken_for_sound() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for engine in 0..3 {
        list.record_crash(now, &report(engine, engine, &[99]));
    }
    let reported = now + REPORTED;
    assert_eq!(list.judge(reported, NOW_MS), [99]);
    let lifted = PartStanding::Lifted(1);
    assert!(list.apply_standing(reported, NOW_MS, 99, lifted));
    assert!(!list.apply_standing(reported, NOW_MS, 99, lifted));
    assert_eq!(list.judge(reported, NOW_MS), []);
    assert_eq!(list.time_left(reported, 9, &[99]), None);
    assert!(!list.is_known_sound(reported, 99));
    for engine in 3..6 {
        list.record_crash(reported, &report(engine, engine, &[99]));
    }
    assert_eq!(list.judge(reported + REPORTED, NOW_MS), [99]);
}

#[test]
fn the_rows_of_the_store_follow_the_quarantines() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    list.apply_standing(now, NOW_MS, 99, PartStanding::Quarantined(NOW_MS));
    assert_eq!(list.row_changes(now), [QuarantineRow::Missing(99, NOW_MS)]);
    list.record_row(99, true);
    assert_eq!(list.row_changes(now), []);
    list.forget_rows();
    assert_eq!(list.row_changes(now), [QuarantineRow::Missing(99, NOW_MS)]);
    list.record_row(99, true);
    let over = now + Duration::from_secs(601);
    assert_eq!(list.row_changes(over), [QuarantineRow::Obsolete(99)]);
    list.record_row(99, false);
    assert_eq!(list.row_changes(over), []);
}

/// Guards against memory that grows with the number of crashes, suspects and parts.
#[test]
fn evidence_is_bounded() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for number in 0..20_000 {
        list.record_crash(now, &report(number, number, &[number]));
        list.record_crash(now, &report(1, number, &[number]));
        list.record_sound_answer(now, &[number]);
        list.apply_standing(now, NOW_MS, number, PartStanding::Quarantined(NOW_MS));
    }
    let text = format!("{list:?}");
    assert!(text.len() < 2_000_000, "{} bytes of text", text.len());
}

fn report(engine: u64, fingerprint: u64, parts: &[PromptPartId]) -> CrashReport {
    let parts = parts.iter().map(|part| SuspectPart {
        part: *part,
        was_sound: false,
    });
    CrashReport {
        upstream: format!("engine-{engine}"),
        started_ms: None,
        together_with: None,
        fingerprint,
        parts: parts.collect(),
    }
}
