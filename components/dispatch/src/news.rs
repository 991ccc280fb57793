//! News between nodes: what a node knows about other nodes, upstreams and prompts
//! that crash them. A node asks one other, a relay, for what is new since its last
//! answer, so that each change crosses the fleet once, and a lost datagram is made
//! up for by the next answer.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{NodeId, PromptPartId, UpstreamId};

use crate::{
    CrashFingerprint, CrashReport, PartStanding, RateNotice, RosterEntry, UpstreamEntry,
    quarantine::PART_QUARANTINE_TIME,
};

/// Time for which a departure or a crash stays in the log. A node that has asked for
/// news since does not need it any more.
const ITEM_LIFETIME: Duration = Duration::from_mins(1);
/// Encoded size of an item's fields that are not texts, rounded up.
const ITEM_FIXED_BYTES: usize = 40;
/// Largest encoded size of a part in a crash report.
const SUSPECT_PART_BYTES: usize = 11;

/// One piece of news. A newer one about the same subject replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum NewsItem {
    /// A node, and whether it is alive.
    Node(RosterEntry, bool),
    /// An upstream that is listed in the store.
    Upstream(UpstreamEntry),
    /// An upstream that is no longer listed, and the store version of its removal.
    UpstreamGone(UpstreamId, u64),
    /// The process of an upstream that started at this time, in Unix milliseconds, said
    /// that it leaves.
    UpstreamLeaving(UpstreamId, Option<u64>),
    /// The process of an upstream ended while it was answering this request.
    Crash(CrashReport),
    /// What is known of a part of prompts.
    Part(PromptPartId, PartStanding),
    /// What is known of the rate of requests that an upstream takes.
    Rate(UpstreamId, RateNotice),
}

/// What a piece of news is about.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum NewsSubject {
    /// The node with this id.
    Node(NodeId),
    /// The upstream with this id.
    Upstream(UpstreamId),
    /// The departure that the upstream with this id announced itself.
    Leaving(UpstreamId),
    /// The crash of an upstream that was answering a request.
    Crash(CrashFingerprint, UpstreamId),
    /// The part of prompts with this id.
    Part(PromptPartId),
    /// The rate of the upstream with this id.
    Rate(UpstreamId),
}

impl NewsItem {
    /// What the item is about.
    #[must_use]
    pub fn subject(&self) -> NewsSubject {
        match self {
            Self::Node(entry, _) => NewsSubject::Node(entry.node.clone()),
            Self::Upstream(entry) => NewsSubject::Upstream(entry.id.clone()),
            Self::UpstreamGone(id, _) => NewsSubject::Upstream(id.clone()),
            Self::UpstreamLeaving(id, _) => NewsSubject::Leaving(id.clone()),
            Self::Crash(report) => NewsSubject::Crash(report.fingerprint, report.upstream.clone()),
            Self::Part(part, _) => NewsSubject::Part(*part),
            Self::Rate(id, _) => NewsSubject::Rate(id.clone()),
        }
    }

    /// Whether the item says the same as `other`. An upstream writes its row again
    /// and again, so a new version alone is no news.
    fn says_the_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Upstream(one), Self::Upstream(other)) => {
                one.id == other.id
                    && one.service == other.service
                    && one.address == other.address
                    && one.zone == other.zone
                    && one.slots == other.slots
                    && one.state == other.state
                    && one.started_ms == other.started_ms
            }
            (Self::UpstreamGone(one, _), Self::UpstreamGone(other, _)) => one == other,
            _ => self == other,
        }
    }

    /// Time after which the item can be dropped; `None` if it stays until it is replaced.
    fn lifetime(&self) -> Option<Duration> {
        match self {
            Self::Node(_, true) | Self::Upstream(_) => None,
            Self::Part(_, PartStanding::Quarantined(_)) => Some(PART_QUARANTINE_TIME),
            Self::Node(_, false)
            | Self::UpstreamGone(..)
            | Self::UpstreamLeaving(..)
            | Self::Crash(_)
            | Self::Part(..)
            | Self::Rate(..) => Some(ITEM_LIFETIME),
        }
    }

    fn encoded_bytes(&self) -> usize {
        let texts = match self {
            Self::Node(entry, _) => entry.node.len() + entry.zone.len(),
            Self::Upstream(entry) => entry.id.len() + entry.service.len() + entry.zone.len(),
            Self::UpstreamGone(id, _) | Self::UpstreamLeaving(id, _) | Self::Rate(id, _) => {
                id.len()
            }
            Self::Crash(report) => {
                let together = report.together_with.as_ref().map_or(0, String::len);
                report.upstream.len() + together + report.parts.len() * SUSPECT_PART_BYTES
            }
            Self::Part(..) => 0,
        };
        texts + ITEM_FIXED_BYTES
    }
}

/// Position in a node's log: the items up to it are known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NewsCursor {
    /// Id of the log; 0 for none.
    pub log: u64,
    /// Sequence number of the last known item.
    pub sequence: u64,
    /// Whether the reader is in the middle of a listing.
    pub listing: bool,
}

/// Consecutive items of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NewsPage {
    /// Id of the log.
    pub log: u64,
    /// Whether this page begins a listing of the whole log, for a reader whose
    /// position is not known in it.
    pub restarts: bool,
    /// Sequence number after which the page begins.
    pub after: u64,
    /// Sequence number up to which a reader of the page knows the log.
    pub until: u64,
    /// Whether the log had no items after this page.
    pub complete: bool,
    /// The items, oldest first.
    pub items: Vec<NewsItem>,
}

impl NewsPage {
    /// Position after this page, for a reader that was at `cursor` before.
    #[must_use]
    pub fn next_cursor(&self, cursor: NewsCursor) -> NewsCursor {
        NewsCursor {
            log: self.log,
            sequence: self.until,
            listing: (cursor.listing || self.restarts) && !self.complete,
        }
    }
}

/// Log of what a node knows, one item for each subject.
#[derive(Debug)]
pub struct NewsLog {
    id: u64,
    sequence: u64,
    /// Highest sequence number of a dropped item.
    dropped: u64,
    by_subject: HashMap<NewsSubject, u64>,
    items: BTreeMap<u64, (Instant, NewsItem)>,
}

impl NewsLog {
    /// Creates an empty log. `id` tells it from those of other nodes and earlier
    /// processes, and is not 0.
    #[must_use]
    pub fn new(id: u64) -> Self {
        Self {
            id,
            sequence: 0,
            dropped: 0,
            by_subject: HashMap::new(),
            items: BTreeMap::new(),
        }
    }

    /// Appends an item, in place of an older one about the same subject; returns
    /// whether it is new.
    pub fn publish(&mut self, now: Instant, item: NewsItem) -> bool {
        let subject = item.subject();
        if let Some(sequence) = self.by_subject.get(&subject) {
            let known = self.items.get(sequence);
            if known.is_some_and(|(_, known)| known.says_the_same(&item)) {
                return false;
            }
            self.items.remove(sequence);
        }
        self.sequence += 1;
        self.by_subject.insert(subject, self.sequence);
        self.items.insert(self.sequence, (now, item));
        true
    }

    /// Entries of the upstreams that the log says are listed.
    pub fn listed_upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.items.values().filter_map(|(_, item)| match item {
            NewsItem::Upstream(entry) => Some(entry),
            _ => None,
        })
    }

    /// Entries of the nodes that the log says are alive.
    pub fn live_nodes(&self) -> impl Iterator<Item = &RosterEntry> {
        self.items.values().filter_map(|(_, item)| match item {
            NewsItem::Node(entry, true) => Some(entry),
            _ => None,
        })
    }

    /// Drops departures, crashes and what is known of parts after their lifetime.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |published: Instant, item: &NewsItem| {
            let age = now.saturating_duration_since(published);
            item.lifetime().is_some_and(|lifetime| age > lifetime)
        };
        let expired: Vec<u64> = self
            .items
            .iter()
            .filter(|(_, (published, item))| is_expired(*published, item))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some((_, item)) = self.items.remove(&sequence) {
                self.by_subject.remove(&item.subject());
                self.dropped = self.dropped.max(sequence);
            }
        }
    }

    /// The items after `cursor` that fit into about `max_bytes`, at least one if
    /// there is any. A cursor of another log, or one that misses dropped items,
    /// gets the beginning of a listing.
    #[must_use]
    pub fn page_after(&self, cursor: NewsCursor, max_bytes: usize) -> NewsPage {
        let follows = cursor.log == self.id
            && cursor.sequence <= self.sequence
            && (cursor.listing || cursor.sequence >= self.dropped);
        let after = if follows { cursor.sequence } else { 0 };
        let mut page = NewsPage {
            log: self.id,
            restarts: !follows,
            after,
            until: after,
            complete: true,
            items: Vec::new(),
        };
        let mut bytes = 0;
        for (sequence, (_, item)) in self.items.range(after + 1..) {
            bytes += item.encoded_bytes();
            if bytes > max_bytes && !page.items.is_empty() {
                page.complete = false;
                return page;
            }
            page.until = *sequence;
            page.items.push(item.clone());
        }
        page.until = self.sequence;
        page
    }
}

/// What an accepted page brought.
#[derive(Debug, Default)]
pub struct AcceptedNews {
    /// The items, oldest first.
    pub items: Vec<NewsItem>,
    /// Whether the reader now knows all that the log held.
    pub caught_up: bool,
    /// At the end of a listing, all its subjects: what is not among them is gone.
    pub listing: Option<HashSet<NewsSubject>>,
}

/// Most pages that wait for an earlier one; an answer has fewer.
const EARLY_PAGES_MAX: usize = 16;

/// Reads the log of one other node.
#[derive(Debug, Default)]
pub struct NewsReader {
    cursor: NewsCursor,
    listing: Option<HashSet<NewsSubject>>,
    /// Pages that arrived before the one that they follow, by where they begin.
    early: BTreeMap<u64, NewsPage>,
}

impl NewsReader {
    /// Position to ask for.
    #[must_use]
    pub fn cursor(&self) -> NewsCursor {
        self.cursor
    }

    /// Takes the next page and those that follow it and have arrived before; `None` for one
    /// that doesn't follow the last one, as after a lost datagram. The next answer then
    /// begins at the known position.
    pub fn accept(&mut self, page: NewsPage) -> Option<AcceptedNews> {
        if !page.restarts && !self.is_next(&page) {
            if self.early.len() < EARLY_PAGES_MAX {
                self.early.insert(page.after, page);
            }
            return None;
        }
        let mut accepted = AcceptedNews::default();
        let mut next = Some(page);
        while let Some(page) = next {
            self.read(page, &mut accepted);
            next = self.early.remove(&self.cursor.sequence);
            next = next.filter(|page| !accepted.caught_up && self.is_next(page));
        }
        if accepted.caught_up {
            self.early.clear();
        }
        Some(accepted)
    }

    fn is_next(&self, page: &NewsPage) -> bool {
        !page.restarts && (page.log, page.after) == (self.cursor.log, self.cursor.sequence)
    }

    fn read(&mut self, page: NewsPage, accepted: &mut AcceptedNews) {
        if page.restarts {
            self.listing = Some(HashSet::new());
        }
        if let Some(listing) = &mut self.listing {
            listing.extend(page.items.iter().map(NewsItem::subject));
        }
        self.cursor = page.next_cursor(self.cursor);
        if page.complete {
            accepted.listing = self.listing.take();
        }
        accepted.caught_up = page.complete;
        accepted.items.extend(page.items);
    }
}
