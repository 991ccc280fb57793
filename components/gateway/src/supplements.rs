//! Supplements to datagrams: what nodes tell each other beyond the first format.
//!
//! Datagrams hold neither names nor lengths of their fields, so a node of an older
//! version couldn't read one with a new field or variant. What is new follows the
//! datagram as a trailer of typed records with a length instead. Decoding ends with the
//! datagram itself, so nodes of format 1 pass over the trailer, and every node passes
//! over records whose kind it doesn't know.
//!
//! A record holds a complete state and not an event: what a lost one said, the next one
//! says again. Reports carry what a node tells the relays, news what a relay tells a
//! node that asks.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    cold::{cold_supplements, receive_cold},
    evacuation::{evacuation_supplements, receive_evacuations},
    state::Gateway,
};

/// Format of the datagrams of this version. Format 1 has no trailer.
pub const FORMAT: u16 = 2;
/// Encoded size of a trailer without supplements, and of a supplement's kind and
/// length, rounded up.
const HEAD_BYTES: usize = 8;

/// What follows a datagram.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct DatagramTrailer {
    format: u16,
    supplements: Vec<Supplement>,
}

/// One addition to a datagram.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Supplement {
    kind: u16,
    content: Vec<u8>,
}

/// What a supplement holds. The numbers are part of the format and never change;
/// 3 belonged to lines of waiting requests, and is not used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u16)]
pub(crate) enum SupplementKind {
    /// What is known of evacuated zones.
    Evacuations = 1,
    /// What is known of upstreams that warm up.
    ColdUpstreams = 2,
}

impl SupplementKind {
    const ALL: [Self; 2] = [Self::Evacuations, Self::ColdUpstreams];

    fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| *kind as u16 == number)
    }
}

impl Supplement {
    /// Encodes `content`; `None` if that fails, which is logged.
    pub(crate) fn encode(kind: SupplementKind, content: &impl Serialize) -> Option<Self> {
        match postcard::to_stdvec(content) {
            Ok(content) => Some(Self {
                kind: kind as u16,
                content,
            }),
            Err(error) => {
                log::error!("event=supplement_unencodable kind={kind:?} error=\"{error}\"");
                None
            }
        }
    }

    /// Decodes the content; `None` if it can't be read, which is logged. Content that a
    /// newer version has appended is passed over.
    pub(crate) fn decode<T: DeserializeOwned>(&self, from: SocketAddr) -> Option<T> {
        match postcard::from_bytes(&self.content) {
            Ok(content) => Some(content),
            Err(error) => {
                log::warn!(
                    "event=supplement_unreadable peer={from} kind={} error=\"{error}\"",
                    self.kind
                );
                None
            }
        }
    }
}

impl DatagramTrailer {
    fn new(supplements: Vec<Supplement>) -> Self {
        Self {
            format: FORMAT,
            supplements,
        }
    }

    /// Takes the first of `supplements` that fit into `room` bytes.
    pub(crate) fn fill(supplements: &mut Vec<Supplement>, room: usize) -> Self {
        let mut bytes = HEAD_BYTES;
        let fitting = supplements.iter().take_while(|supplement| {
            bytes += HEAD_BYTES + supplement.content.len();
            bytes <= room
        });
        let count = fitting.count();
        Self::new(supplements.drain(..count).collect())
    }

    /// Appends the trailer to an encoded datagram.
    pub(crate) fn append_to(&self, bytes: &mut Vec<u8>) {
        match postcard::to_stdvec(self) {
            Ok(trailer) => bytes.extend(trailer),
            Err(error) => log::error!("event=trailer_unencodable error=\"{error}\""),
        }
    }

    /// Decodes what follows a datagram; `None` after one of format 1.
    pub(crate) fn decode(rest: &[u8]) -> Result<Option<Self>, postcard::Error> {
        if rest.is_empty() {
            return Ok(None);
        }
        postcard::from_bytes(rest).map(Some)
    }
}

/// Returns what this node adds to its reports to relays.
pub(crate) fn report_supplements(gateway: &Gateway, now: Instant) -> Vec<Supplement> {
    cold_supplements(gateway, now)
}

/// Returns what this node adds to its news.
pub(crate) fn answer_supplements(gateway: &Gateway, now: Instant) -> Vec<Supplement> {
    let mut supplements = evacuation_supplements(gateway, now);
    supplements.extend(cold_supplements(gateway, now));
    supplements
}

/// Takes over what another node added to a datagram.
pub(crate) fn receive_supplements(
    gateway: &Rc<Gateway>,
    from: SocketAddr,
    trailer: DatagramTrailer,
) {
    for supplement in trailer.supplements {
        match SupplementKind::from_number(supplement.kind) {
            Some(SupplementKind::Evacuations) => {
                if let Some(knowledge) = supplement.decode(from) {
                    receive_evacuations(gateway, knowledge);
                }
            }
            Some(SupplementKind::ColdUpstreams) => {
                if let Some(knowledge) = supplement.decode(from) {
                    receive_cold(gateway, knowledge);
                }
            }
            None => {
                gateway.metrics.supplements_unknown.inc();
                log::debug!(
                    "event=supplement_unknown peer={from} kind={} format={}",
                    supplement.kind,
                    trailer.format
                );
            }
        }
    }
}
