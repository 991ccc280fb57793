//! Older and newer versions side by side: messages recorded from earlier versions are read by
//! this one, and what this one writes is read by the rules of theirs.
//!
//! `formats/<commit>.txt` holds what the build of that commit wrote: a message a line, by its
//! kind and name, in hexadecimal digits. The lines never change. If one of these tests fails,
//! the format of a message has changed: put what is new into a supplement, or, if that can't
//! be, give it a new format number, a frozen copy and recordings of its own.

#[path = "formats/frozen.rs"]
mod frozen;

use std::{fmt::Write, net::SocketAddr, time::Duration};

use gateway::{FORMAT, MessageKind, rewrite_message};
use serde::{Deserialize, Serialize};

use frozen::{
    AggregateChunk, CrashReport, DesiredRow, NewsCursor, NewsItem, NewsPage, NodeReport,
    PartStanding, PeerDatagram, PrefillNotice, ProbeOutcome, RateNotice, ReachAnswer,
    ReachQuestion, RelayNews, RelayQuestion, ReportedLoad, RosterEntry, SuspectPart, UpstreamEntry,
    UpstreamState,
};

const RECORDED: [(&str, &str); 2] = [
    ("342c025", include_str!("formats/342c025.txt")),
    ("ef6e4b2", include_str!("formats/ef6e4b2.txt")),
];
/// Number of kinds of datagrams in format 1. What is new since goes into supplements.
const DATAGRAM_KINDS: u8 = 11;

fn address(port: u16) -> SocketAddr {
    ([10, 0, 1, 2], port).into()
}

fn entry() -> RosterEntry {
    RosterEntry {
        node: "frontend-duluth-7".to_owned(),
        zone: "duluth-b".to_owned(),
        caller_address: address(8_786),
        peer_address: address(7_020),
        incarnation: 1_791_537_990_491,
        ready: true,
        capacity: 120,
    }
}

fn load() -> ReportedLoad {
    ReportedLoad {
        engine: 0xdead_beef,
        strict: 3,
        relaxed: 300,
        relaxed_event_gap: Some(Duration::from_millis(600)),
        unanswered: 1,
        memory: 270_000,
    }
}

fn crash() -> CrashReport {
    CrashReport {
        upstream: "i-1".to_owned(),
        started_ms: Some(1_791_537_990_491),
        together_with: Some("i-2".to_owned()),
        fingerprint: u64::MAX - 7,
        parts: vec![SuspectPart {
            part: 0x1234_5678_9abc_def0,
            was_sound: true,
        }],
    }
}

fn rate() -> RateNotice {
    RateNotice {
        started_ms: None,
        stamp: 77,
        limit: Some(14_000),
    }
}

fn news_items() -> Vec<NewsItem> {
    let upstream = |state| UpstreamEntry {
        id: "i-1".to_owned(),
        service: "desk".to_owned(),
        address: address(8_781),
        zone: "duluth-a".to_owned(),
        slots: 12,
        state,
        started_ms: Some(5),
        version: 1 << 40,
    };
    let mut items = vec![
        NewsItem::Node(entry(), true),
        NewsItem::Upstream(upstream(UpstreamState::Ready)),
        NewsItem::Upstream(upstream(UpstreamState::Draining)),
        NewsItem::UpstreamGone("i-2".to_owned(), 9),
        NewsItem::UpstreamLeaving("i-3".to_owned(), Some(8)),
        NewsItem::Crash(crash()),
        NewsItem::Rate("i-4".to_owned(), rate()),
    ];
    let standings = [
        PartStanding::SoundBefore,
        PartStanding::Sound(1),
        PartStanding::Lifted(2),
        PartStanding::Quarantined(3),
    ];
    items.extend(standings.map(|standing| NewsItem::Part(6, standing)));
    items
}

/// A datagram of each kind, in the order of their numbers.
fn datagrams() -> Vec<PeerDatagram> {
    vec![
        PeerDatagram::Report(NodeReport {
            entry: entry(),
            store_age_ms: Some(250),
            question: Some(RelayQuestion {
                wants_sums: true,
                cursor: NewsCursor {
                    log: 4_000_000_000_000,
                    sequence: 90,
                    listing: true,
                },
            }),
            loads: vec![load()],
        }),
        PeerDatagram::Sums(AggregateChunk {
            aggregate: 1 << 33,
            index: 1,
            count: 2,
            loads: vec![load(), load()],
        }),
        PeerDatagram::News(RelayNews {
            entry: entry(),
            desired: Some(41),
            desired_age_ms: Some(7),
            upstreams_age_ms: None,
            upstreams_source: Some(0),
            upstreams_digest: 99,
            page: NewsPage {
                log: 4_000_000_000_000,
                restarts: true,
                after: 0,
                until: 11,
                complete: true,
                items: news_items(),
            },
        }),
        PeerDatagram::PrefillStarted {
            node: "frontend-duluth-7".to_owned(),
            notice: PrefillNotice {
                engines: vec!["i-1".to_owned(), "i-2".to_owned()],
                shard_time: Duration::from_micros(16_250),
                decode_delay: Duration::from_millis(2),
                memory: 45_000,
                event_gap: Duration::from_millis(250),
            },
            passed_on: false,
        },
        PeerDatagram::UpstreamCrashed(crash()),
        PeerDatagram::Part(6, PartStanding::Quarantined(3)),
        PeerDatagram::Rate("i-4".to_owned(), rate()),
        PeerDatagram::UpstreamLeaving("i-3".to_owned(), None),
        PeerDatagram::NodeLeft("frontend-duluth-7".to_owned(), 12),
        PeerDatagram::ReachQuestion(ReachQuestion {
            number: 5,
            upstreams: vec!["i-1".to_owned()],
            contact_age_ms: 100,
            needs_proof: true,
        }),
        PeerDatagram::ReachAnswer(ReachAnswer {
            number: 5,
            node: "frontend-duluth-7".to_owned(),
            outcomes: vec![
                ProbeOutcome::Reached,
                ProbeOutcome::Refused,
                ProbeOutcome::Unknown,
            ],
            tunnels: 2,
        }),
    ]
}

/// All messages of format 1 with their names and encodings.
fn messages() -> Vec<(MessageKind, String, Vec<u8>)> {
    fn encode(message: &impl Serialize) -> Vec<u8> {
        postcard::to_stdvec(message).unwrap()
    }
    let mut messages: Vec<_> = datagrams()
        .iter()
        .enumerate()
        .map(|(number, datagram)| {
            let name = format!("datagram-{number}");
            (MessageKind::Datagram, name, encode(datagram))
        })
        .collect();
    let row = DesiredRow {
        key: "config".to_owned(),
        value: b"{}".to_vec(),
    };
    let since_ms: u64 = 1_791_537_990_491;
    messages.extend([
        (
            MessageKind::NodeRow,
            "node-row".to_owned(),
            encode(&entry()),
        ),
        (
            MessageKind::QuarantineRow,
            "quarantine-row".to_owned(),
            encode(&since_ms),
        ),
        (
            MessageKind::DesiredRow,
            "desired-row".to_owned(),
            encode(&row),
        ),
    ]);
    messages
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        write!(digits, "{byte:02x}").unwrap();
        digits
    })
}

fn from_hex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

/// Recorded messages of a version: name and encoding.
fn recorded(text: &str) -> Vec<(&str, Vec<u8>)> {
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, digits)| (name, from_hex(digits)))
        .collect()
}

#[test]
fn messages_recorded_from_earlier_versions_are_read_and_written_alike() {
    let known = messages();
    for (commit, text) in RECORDED {
        let recorded = recorded(text);
        assert!(recorded.len() >= 12, "{commit}: {}", recorded.len());
        for (name, bytes) in recorded {
            let (kind, _, frozen) = known
                .iter()
                .find(|(_, known, _)| known == name)
                .unwrap_or_else(|| panic!("{commit}: no message {name}"));
            assert_eq!(to_hex(frozen), to_hex(&bytes), "{commit}: copy of {name}");
            let (written, rest) = rewrite_message(*kind, &bytes)
                .unwrap_or_else(|error| panic!("{name} of {commit} is not read: {error}"));
            assert!(rest.is_empty(), "{name} of {commit} has other fields");
            assert_eq!(to_hex(&written), to_hex(&bytes), "{name} of {commit}");
        }
    }
}

/// What this version writes, with a trailer behind it, is read by the rules of older ones.
#[test]
fn older_versions_read_what_this_one_writes_and_pass_over_its_trailer() {
    let trailer = from_hex("020102030405");
    for (datagram, (kind, name, bytes)) in datagrams().iter().zip(messages()) {
        let (mut written, _) = rewrite_message(kind, &bytes).unwrap();
        written.extend(&trailer);
        let read: PeerDatagram = postcard::from_bytes(&written).unwrap();
        assert_eq!(read, *datagram, "{name}");
    }
}

/// A further kind of datagram is not read by any version that runs today, and would be lost
/// there without a trace of what it said.
#[test]
fn there_is_no_further_kind_of_datagram() {
    assert_eq!(datagrams().len(), usize::from(DATAGRAM_KINDS));
    // Long enough for the fields of any kind.
    let mut bytes = vec![0; 64];
    for number in DATAGRAM_KINDS..=u8::MAX / 2 {
        bytes[0] = number;
        let read = rewrite_message(MessageKind::Datagram, &bytes);
        assert!(read.is_err(), "datagram of the unknown kind {number}");
    }
}

/// The trailer of format 2, by its rules.
#[derive(Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
struct FrozenTrailer {
    format: u16,
    supplements: Vec<(u16, Vec<u8>)>,
}

/// Supplements of kinds that this version doesn't know, and what follows them, are no reason
/// to pass over those that it knows.
#[test]
fn the_trailer_is_that_of_its_format_number() {
    assert_eq!(FORMAT, 2, "a new format needs a copy of its trailer here");
    let newer = FrozenTrailer {
        format: 9,
        supplements: vec![(1, vec![0, 0]), (900, vec![1, 2, 3])],
    };
    let mut bytes = postcard::to_stdvec(&newer).unwrap();
    assert_eq!(to_hex(&bytes), "09020102000084070301".to_owned() + "0203");
    let length = bytes.len();
    bytes.extend([7, 7, 7]);
    let (written, rest) = rewrite_message(MessageKind::Trailer, &bytes).unwrap();
    assert_eq!(rest, [7, 7, 7]);
    assert_eq!(to_hex(&written), to_hex(&bytes[..length]));
}
