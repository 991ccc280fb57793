//! Health of upstreams, as it follows from the host list and from call evidence.

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

fn call_finished(incarnation: u64, kind: CallEvidence) -> UpstreamEvent {
    UpstreamEvent::CallFinished(evidence(incarnation, kind))
}

fn peer_reported(node: &str, kind: CallEvidence) -> UpstreamEvent {
    UpstreamEvent::PeerReported {
        node: node.to_owned(),
        evidence: evidence(1, kind),
    }
}

struct UpstreamFixture {
    table: UpstreamTable,
    now: Instant,
}

impl UpstreamFixture {
    fn new() -> Self {
        let mut fixture = Self {
            table: UpstreamTable::new(UpstreamSettings::default()),
            now: Instant::now(),
        };
        let changes = fixture.list(vec![listed(1, false)]);
        assert_eq!(changes, [UpstreamChange::New(listed(1, false))]);
        fixture
    }

    fn handle(&mut self, event: UpstreamEvent) -> Vec<UpstreamChange> {
        self.table.handle(self.now, event)
    }

    fn list(&mut self, list: Vec<ListedUpstream>) -> Vec<UpstreamChange> {
        self.handle(UpstreamEvent::Listed(list))
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn state(&self) -> Option<UpstreamState> {
        self.table.state(self.now, &"engine-1".to_owned())
    }

    fn fail_three_calls(&mut self) -> Vec<UpstreamChange> {
        let calls = (0..3).map(|_| call_finished(1, CallEvidence::Failed));
        calls.flat_map(|call| self.handle(call)).collect()
    }
}

#[test]
fn leaving_takes_effect_at_once_from_any_source_and_is_final() {
    for event in [
        UpstreamEvent::Listed(vec![listed(1, true)]),
        call_finished(1, CallEvidence::Leaving),
        peer_reported("node-2", CallEvidence::Leaving),
    ] {
        let mut fixture = UpstreamFixture::new();
        let changes = fixture.handle(event);
        let expected = evidence(1, CallEvidence::Leaving);
        assert_eq!(changes, [UpstreamChange::Leaving(expected)]);
        // Neither a lagging list without the mark nor an answered call makes it usable
        // again.
        assert!(fixture.list(vec![listed(1, false)]).is_empty());
        fixture.handle(call_finished(1, CallEvidence::Answered));
        assert_eq!(fixture.state(), Some(UpstreamState::Leaving));
        assert_eq!(fixture.table.usable(fixture.now).count(), 0);
    }
}

#[test]
fn an_upstream_that_left_is_not_added_again_by_a_lagging_list() {
    let mut fixture = UpstreamFixture::new();
    fixture.list(vec![listed(1, true)]);
    fixture.list(Vec::new());
    fixture.advance(30_000);
    let gone = fixture.handle(UpstreamEvent::Tick);
    assert_eq!(gone, [UpstreamChange::Gone("engine-1".to_owned())]);
    assert!(fixture.list(vec![listed(1, false)]).is_empty());
    assert_eq!(fixture.state(), None);
    fixture.list(vec![listed(2, false)]);
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
}

#[test]
fn a_new_process_under_an_old_id_is_a_new_upstream() {
    let mut fixture = UpstreamFixture::new();
    fixture.fail_three_calls();
    fixture.list(vec![listed(1, true)]);
    let changes = fixture.list(vec![listed(2, false)]);
    assert_eq!(changes, [UpstreamChange::New(listed(2, false))]);
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
    // Evidence about the old incarnation and an older list change nothing.
    fixture.handle(call_finished(1, CallEvidence::Leaving));
    fixture.handle(peer_reported("node-2", CallEvidence::Leaving));
    assert!(fixture.list(vec![listed(1, true)]).is_empty());
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
}

#[test]
fn an_unlisted_upstream_stays_while_calls_succeed_and_goes_when_they_fail() {
    let mut fixture = UpstreamFixture::new();
    fixture.list(Vec::new());
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
    // It stays while calls succeed, however long it is missing from the list.
    for _ in 0..10 {
        fixture.advance(20_000);
        fixture.handle(call_finished(1, CallEvidence::Answered));
        assert!(fixture.list(Vec::new()).is_empty());
    }
    // It is removed once it is missing from the list and calls fail as well.
    fixture.fail_three_calls();
    let gone = fixture.list(Vec::new());
    assert_eq!(gone, [UpstreamChange::Gone("engine-1".to_owned())]);
    // A partition looks the same from here, so a later list may add it again.
    assert_eq!(fixture.list(vec![listed(1, false)]).len(), 1);
}

#[test]
fn failures_open_the_circuit_and_a_single_probe_call_closes_it() {
    let mut fixture = UpstreamFixture::new();
    let changes = fixture.fail_three_calls();
    assert_eq!(changes, [UpstreamChange::BackedOff("engine-1".to_owned())]);
    assert_eq!(fixture.state(), Some(UpstreamState::BackingOff));
    fixture.advance(500);
    assert_eq!(fixture.state(), Some(UpstreamState::HalfOpen));
    let name = "engine-1".to_owned();
    assert!(fixture.table.try_begin_probe(fixture.now, &name));
    assert!(!fixture.table.try_begin_probe(fixture.now, &name));
    let changes = fixture.handle(call_finished(1, CallEvidence::Answered));
    assert_eq!(changes, [UpstreamChange::Recovered(name)]);
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
}

#[test]
fn a_flapping_upstream_backs_off_longer_each_time_up_to_a_limit() {
    let mut fixture = UpstreamFixture::new();
    let mut backoffs = Vec::new();
    for _ in 0..10 {
        fixture.fail_three_calls();
        let mut backoff = 0;
        while fixture.state() == Some(UpstreamState::BackingOff) {
            fixture.advance(100);
            backoff += 100;
        }
        backoffs.push(backoff);
        fixture.handle(call_finished(1, CallEvidence::Answered));
    }
    assert_eq!(backoffs[..4], [500, 1_000, 2_000, 4_000]);
    assert_eq!(backoffs.iter().max(), Some(&30_000));
    // The success of another node doesn't shorten the backoff while it flaps.
    fixture.fail_three_calls();
    fixture.handle(peer_reported("node-2", CallEvidence::Answered));
    assert_eq!(fixture.state(), Some(UpstreamState::BackingOff));
}

#[test]
fn failures_reported_by_peers_need_two_nodes_and_no_recent_own_success() {
    let mut fixture = UpstreamFixture::new();
    for _ in 0..5 {
        fixture.handle(peer_reported("node-2", CallEvidence::Failed));
    }
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
    let changes = fixture.handle(peer_reported("node-3", CallEvidence::Failed));
    assert_eq!(changes, [UpstreamChange::BackedOff("engine-1".to_owned())]);

    let mut fixture = UpstreamFixture::new();
    fixture.handle(call_finished(1, CallEvidence::Answered));
    fixture.handle(peer_reported("node-2", CallEvidence::Failed));
    assert!(
        fixture
            .handle(peer_reported("node-3", CallEvidence::Failed))
            .is_empty()
    );
    assert_eq!(fixture.state(), Some(UpstreamState::Usable));
}

#[test]
fn failures_reported_to_peers_come_from_own_calls_only() {
    let age = Duration::from_mins(1);
    let mut fixture = UpstreamFixture::new();
    fixture.handle(peer_reported("node-2", CallEvidence::Failed));
    fixture.handle(peer_reported("node-3", CallEvidence::Failed));
    assert_eq!(fixture.state(), Some(UpstreamState::BackingOff));
    // Failures reported by peers are not reported on as this node's own.
    assert!(
        fixture
            .table
            .evidence_to_share(fixture.now, age, 10)
            .is_empty()
    );
    fixture.fail_three_calls();
    let failing = fixture.table.evidence_to_share(fixture.now, age, 10);
    assert_eq!(failing, [evidence(1, CallEvidence::Failed)]);
    fixture.list(vec![listed(1, true)]);
    let leaving = fixture.table.evidence_to_share(fixture.now, age, 10);
    assert_eq!(leaving, [evidence(1, CallEvidence::Leaving)]);
    fixture.advance(60_000);
    assert!(
        fixture
            .table
            .evidence_to_share(fixture.now, age, 10)
            .is_empty()
    );
}
