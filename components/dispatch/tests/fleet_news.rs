//! News between hundreds of nodes: what a node reads of a relay's log while pages are
//! lost, late, repeated or of another log, and what that costs as the fleet grows.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dispatch::{
    CrashReport, NewsCursor, NewsItem, NewsLog, NewsPage, NewsReader, NewsSubject, PartStanding,
    RosterEntry, UpstreamEntry, UpstreamState,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

const PAGE_BYTES: usize = 1_250;

fn node(name: &str, incarnation: u64) -> RosterEntry {
    RosterEntry {
        node: name.to_owned(),
        zone: "sault".to_owned(),
        caller_address: ([10, 0, 0, 2], 80).into(),
        peer_address: ([10, 0, 0, 2], 81).into(),
        incarnation,
        ready: true,
        capacity: 250,
    }
}

fn upstream(id: &str, version: u64, state: UpstreamState) -> NewsItem {
    NewsItem::Upstream(UpstreamEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "duluth".to_owned(),
        slots: 16,
        state,
        started_ms: Some(1),
        version,
    })
}

/// What a reader has taken over.
#[derive(Debug, Default)]
struct KnownNews {
    reader: NewsReader,
    items: BTreeMap<String, NewsItem>,
    pages: usize,
}

impl KnownNews {
    fn accept(&mut self, page: NewsPage) {
        self.pages += 1;
        let Some(accepted) = self.reader.accept(page) else {
            return;
        };
        for item in accepted.items {
            self.items.insert(format!("{:?}", item.subject()), item);
        }
        if let Some(listing) = accepted.listing {
            let listed: Vec<String> = listing
                .iter()
                .map(|subject| format!("{subject:?}"))
                .collect();
            self.items.retain(|subject, _| listed.contains(subject));
        }
    }

    /// Asks until the answer is complete, with no page lost.
    fn catch_up(&mut self, log: &NewsLog) {
        loop {
            let page = log.page_after(self.reader.cursor(), PAGE_BYTES);
            let complete = page.complete;
            self.accept(page);
            if complete {
                return;
            }
        }
    }

    fn is_up_to_date(&self, log: &NewsLog) -> bool {
        let mut fresh = Self::default();
        fresh.catch_up(log);
        fresh.items == self.items
    }
}

#[test]
fn only_what_changed_is_sent_again() {
    let now = Instant::now();
    let mut log = NewsLog::new(1);
    assert!(log.publish(now, upstream("a", 5, UpstreamState::Ready)));
    assert!(
        !log.publish(now, upstream("a", 9, UpstreamState::Ready)),
        "the upstream only wrote its row again"
    );
    let mut known = KnownNews::default();
    known.catch_up(&log);
    assert_eq!(known.items.len(), 1);

    let page = log.page_after(known.reader.cursor(), PAGE_BYTES);
    assert!(page.items.is_empty() && page.complete && !page.restarts);
    assert!(log.publish(now, upstream("a", 11, UpstreamState::Draining)));
    let page = log.page_after(known.reader.cursor(), PAGE_BYTES);
    assert_eq!(page.items, [upstream("a", 11, UpstreamState::Draining)]);
}

#[test]
fn a_reader_that_missed_dropped_items_gets_a_listing() {
    let start = Instant::now();
    let mut log = NewsLog::new(1);
    log.publish(start, upstream("a", 1, UpstreamState::Ready));
    log.publish(start, upstream("b", 2, UpstreamState::Ready));
    let mut known = KnownNews::default();
    known.catch_up(&log);
    log.publish(start, NewsItem::UpstreamGone("a".to_owned(), 3));
    log.expire(start + Duration::from_mins(2));

    known.catch_up(&log);
    let subject = format!("{:?}", NewsSubject::Upstream("b".to_owned()));
    assert_eq!(known.items.keys().collect::<Vec<_>>(), [&subject]);
}

#[test]
fn a_reader_of_another_log_begins_anew() {
    let now = Instant::now();
    let mut first = NewsLog::new(1);
    first.publish(now, upstream("a", 1, UpstreamState::Ready));
    let mut second = NewsLog::new(2);
    second.publish(now, upstream("b", 1, UpstreamState::Ready));
    let mut known = KnownNews::default();
    known.catch_up(&first);
    let late = first.page_after(
        NewsCursor {
            log: 1,
            ..NewsCursor::default()
        },
        PAGE_BYTES,
    );
    known.catch_up(&second);
    assert!(known.is_up_to_date(&second));
    known.accept(late);
    assert!(known.is_up_to_date(&second), "a late page of the first log");
}

/// Pages are lost, repeated and reordered while nodes and upstreams come and go and
/// the relay is replaced; a reader that is answered again afterwards knows what the
/// log says.
#[test]
fn a_reader_catches_up_whatever_happened_to_earlier_pages() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut logs = [NewsLog::new(1), NewsLog::new(2)];
        let mut known = KnownNews::default();
        let mut in_flight: Vec<NewsPage> = Vec::new();
        for step in 0..400_u64 {
            now += Duration::from_millis(rng.random_range(50..2_000));
            let id = rng.random_range(0..40);
            let item = match rng.random_range(0..5) {
                0 => NewsItem::Node(node(&format!("node-{id}"), step), rng.random()),
                1 => NewsItem::UpstreamGone(format!("engine-{id}"), step),
                2 => NewsItem::Crash(crash(id)),
                3 => NewsItem::Part(id, PartStanding::Sound(step)),
                _ => upstream(&format!("engine-{id}"), step, UpstreamState::Ready),
            };
            for log in &mut logs {
                log.expire(now);
                log.publish(now, item.clone());
            }
            let log = &logs[usize::from(step / 100 % 2 == 1)];
            in_flight.push(log.page_after(known.reader.cursor(), PAGE_BYTES / 4));
            in_flight.shuffle(&mut rng);
            for _ in 0..rng.random_range(0..3) {
                let Some(page) = in_flight.pop() else { break };
                if rng.random_bool(0.2) {
                    in_flight.push(page.clone());
                }
                if rng.random_bool(0.8) {
                    known.accept(page);
                }
            }
            in_flight.truncate(8);
        }
        let log = &logs[1];
        known.catch_up(log);
        // Crashes and departures may have been dropped from the log since they were
        // read.
        let mut fresh = KnownNews::default();
        fresh.catch_up(log);
        for (subject, item) in &fresh.items {
            assert_eq!(known.items.get(subject), Some(item), "seed {seed}");
        }
        for (subject, item) in &known.items {
            let lasts = matches!(item, NewsItem::Upstream(_) | NewsItem::Node(_, true));
            assert!(
                !lasts || fresh.items.contains_key(subject),
                "seed {seed}: {item:?}"
            );
        }
    }
}

/// A change costs each node one page, however many nodes there are, and a quiet fleet
/// costs none but empty ones.
#[test]
fn the_news_that_a_node_reads_do_not_grow_with_the_fleet() {
    for nodes in [30, 100, 300, 1_000] {
        let now = Instant::now();
        let mut log = NewsLog::new(1);
        for index in 0..nodes {
            log.publish(now, NewsItem::Node(node(&format!("node-{index}"), 1), true));
        }
        let mut known = KnownNews::default();
        known.catch_up(&log);
        known.pages = 0;
        let mut items = 0;
        for round in 0..100 {
            if round % 10 == 0 {
                let changed = node(&format!("node-{round}"), 2);
                log.publish(now, NewsItem::Node(changed, false));
            }
            let page = log.page_after(known.reader.cursor(), PAGE_BYTES);
            items += page.items.len();
            known.accept(page);
        }
        assert_eq!((known.pages, items), (100, 10), "{nodes} nodes");
        assert!(known.is_up_to_date(&log));
    }
}

fn crash(fingerprint: u64) -> CrashReport {
    CrashReport {
        upstream: format!("engine-{fingerprint}"),
        started_ms: None,
        together_with: None,
        fingerprint,
        parts: Vec::new(),
    }
}
