//! Upstreams are believed dead or alive by the list and by evidence together.

use std::time::{Duration, Instant};

use membership::{
    CallEvidence, ListedUpstream, UpstreamChange, UpstreamEvent, UpstreamEvidence,
    UpstreamSettings, UpstreamState, UpstreamTable,
};

fn listed(incarnation: u64, leaving: bool) -> ListedUpstream {
    ListedUpstream {
        upstream: "engine-1".to_owned(),
        incarnation,
        address: "10.0.0.1:9000".to_owned(),
        leaving,
    }
}

fn evidence(incarnation: u64, evidence: CallEvidence) -> UpstreamEvidence {
    UpstreamEvidence {
        upstream: "engine-1".to_owned(),
        incarnation,
        evidence,
    }
}

fn called(incarnation: u64, kind: CallEvidence) -> UpstreamEvent {
    UpstreamEvent::CallFinished(evidence(incarnation, kind))
}

fn told(node: &str, kind: CallEvidence) -> UpstreamEvent {
    UpstreamEvent::PeerReported {
        node: node.to_owned(),
        evidence: evidence(1, kind),
    }
}

struct Watched {
    table: UpstreamTable,
    now: Instant,
}

impl Watched {
    fn new() -> Self {
        let mut watched = Self {
            table: UpstreamTable::new(UpstreamSettings::default()),
            now: Instant::now(),
        };
        let changes = watched.list(vec![listed(1, false)]);
        assert_eq!(changes, [UpstreamChange::New(listed(1, false))]);
        watched
    }

    fn handle(&mut self, event: UpstreamEvent) -> Vec<UpstreamChange> {
        self.table.handle(self.now, event)
    }

    fn list(&mut self, list: Vec<ListedUpstream>) -> Vec<UpstreamChange> {
        self.handle(UpstreamEvent::Listed(list))
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn state(&self) -> Option<UpstreamState> {
        self.table.state(self.now, &"engine-1".to_owned())
    }

    fn fail(&mut self) -> Vec<UpstreamChange> {
        let calls = (0..3).map(|_| called(1, CallEvidence::Failed));
        calls.flat_map(|call| self.handle(call)).collect()
    }
}

#[test]
fn leaving_is_believed_at_once_from_any_source_and_for_good() {
    for event in [
        UpstreamEvent::Listed(vec![listed(1, true)]),
        called(1, CallEvidence::Leaving),
        told("node-2", CallEvidence::Leaving),
    ] {
        let mut watched = Watched::new();
        let changes = watched.handle(event);
        let expected = evidence(1, CallEvidence::Leaving);
        assert_eq!(changes, [UpstreamChange::Leaving(expected)]);
        // The list lags and has it as live again; calls still succeed.
        assert!(watched.list(vec![listed(1, false)]).is_empty());
        watched.handle(called(1, CallEvidence::Answered));
        assert_eq!(watched.state(), Some(UpstreamState::Leaving));
        assert_eq!(watched.table.usable(watched.now).count(), 0);
    }
}

#[test]
fn one_that_left_is_not_revived_by_a_lagging_list() {
    let mut watched = Watched::new();
    watched.list(vec![listed(1, true)]);
    watched.list(Vec::new());
    watched.pass(30_000);
    let gone = watched.handle(UpstreamEvent::Tick);
    assert_eq!(gone, [UpstreamChange::Gone("engine-1".to_owned())]);
    assert!(watched.list(vec![listed(1, false)]).is_empty());
    assert_eq!(watched.state(), None);
    watched.list(vec![listed(2, false)]);
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
}

#[test]
fn a_new_process_at_an_old_address_is_a_new_upstream() {
    let mut watched = Watched::new();
    watched.fail();
    watched.list(vec![listed(1, true)]);
    let changes = watched.list(vec![listed(2, false)]);
    assert_eq!(changes, [UpstreamChange::New(listed(2, false))]);
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
    // What is said of the old incarnation, or an older list, changes nothing.
    watched.handle(called(1, CallEvidence::Leaving));
    watched.handle(told("node-2", CallEvidence::Leaving));
    assert!(watched.list(vec![listed(1, true)]).is_empty());
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
}

#[test]
fn an_absent_entry_alone_says_little() {
    let mut watched = Watched::new();
    watched.list(Vec::new());
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
    // While calls succeed it stays, however long the list lacks it.
    for _ in 0..10 {
        watched.pass(20_000);
        watched.handle(called(1, CallEvidence::Answered));
        assert!(watched.list(Vec::new()).is_empty());
    }
    // Missing from the list and failing together mean that it is gone.
    watched.fail();
    let gone = watched.list(Vec::new());
    assert_eq!(gone, [UpstreamChange::Gone("engine-1".to_owned())]);
    // A partition may have looked like that: the list brings it back.
    assert_eq!(watched.list(vec![listed(1, false)]).len(), 1);
}

#[test]
fn failures_back_off_and_one_trial_at_a_time_brings_it_back() {
    let mut watched = Watched::new();
    let changes = watched.fail();
    assert_eq!(changes, [UpstreamChange::BackedOff("engine-1".to_owned())]);
    assert_eq!(watched.state(), Some(UpstreamState::BackingOff));
    watched.pass(500);
    assert_eq!(watched.state(), Some(UpstreamState::HalfOpen));
    let name = "engine-1".to_owned();
    assert!(watched.table.try_begin_probe(watched.now, &name));
    assert!(!watched.table.try_begin_probe(watched.now, &name));
    let changes = watched.handle(called(1, CallEvidence::Answered));
    assert_eq!(changes, [UpstreamChange::Recovered(name)]);
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
}

#[test]
fn a_flapping_upstream_backs_off_longer_each_time_up_to_a_limit() {
    let mut watched = Watched::new();
    let mut waits = Vec::new();
    for _ in 0..10 {
        watched.fail();
        let mut wait = 0;
        while watched.state() == Some(UpstreamState::BackingOff) {
            watched.pass(100);
            wait += 100;
        }
        waits.push(wait);
        watched.handle(called(1, CallEvidence::Answered));
    }
    assert_eq!(waits[..4], [500, 1_000, 2_000, 4_000]);
    assert_eq!(waits.iter().max(), Some(&30_000));
    // Another node's success does not shorten it any more.
    watched.fail();
    watched.handle(told("node-2", CallEvidence::Answered));
    assert_eq!(watched.state(), Some(UpstreamState::BackingOff));
}

#[test]
fn other_nodes_count_only_together_and_not_against_own_success() {
    let mut watched = Watched::new();
    for _ in 0..5 {
        watched.handle(told("node-2", CallEvidence::Failed));
    }
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
    let changes = watched.handle(told("node-3", CallEvidence::Failed));
    assert_eq!(changes, [UpstreamChange::BackedOff("engine-1".to_owned())]);

    let mut watched = Watched::new();
    watched.handle(called(1, CallEvidence::Answered));
    watched.handle(told("node-2", CallEvidence::Failed));
    assert!(
        watched
            .handle(told("node-3", CallEvidence::Failed))
            .is_empty()
    );
    assert_eq!(watched.state(), Some(UpstreamState::Usable));
}

#[test]
fn evidence_for_others_is_what_this_node_saw_itself() {
    let age = Duration::from_mins(1);
    let mut watched = Watched::new();
    watched.handle(told("node-2", CallEvidence::Failed));
    watched.handle(told("node-3", CallEvidence::Failed));
    assert_eq!(watched.state(), Some(UpstreamState::BackingOff));
    // Hearsay is not passed on as if it were seen.
    assert!(
        watched
            .table
            .evidence_to_share(watched.now, age, 10)
            .is_empty()
    );
    watched.fail();
    let failing = watched.table.evidence_to_share(watched.now, age, 10);
    assert_eq!(failing, [evidence(1, CallEvidence::Failed)]);
    watched.list(vec![listed(1, true)]);
    let leaving = watched.table.evidence_to_share(watched.now, age, 10);
    assert_eq!(leaving, [evidence(1, CallEvidence::Leaving)]);
    watched.pass(60_000);
    assert!(
        watched
            .table
            .evidence_to_share(watched.now, age, 10)
            .is_empty()
    );
}
