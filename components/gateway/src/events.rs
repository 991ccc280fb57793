//! Cuts a stream of server-sent events at event borders.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; a longer one is taken for garbage.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Follows a stream of events, over more than one upstream.
#[derive(Debug, Default)]
pub struct EventCursor {
    pending: BytesMut,
    last: Option<u64>,
    resumed: bool,
}

/// Why a stream can't be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// An event has no place after the last one.
    OutOfOrder,
    /// An event is longer than any real one.
    TooLong,
}

impl EventCursor {
    /// A cursor of a stream whose caller has the events up to `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Adds bytes of the stream; returns the whole events among them.
    ///
    /// # Errors
    ///
    /// Fails on an event that doesn't follow the one before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.pending.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = find_event_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.accept_event(&event)? {
                events.extend_from_slice(&event);
            }
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(events.freeze())
    }

    /// The id of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether the stream stands at an event's border.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops a half event and expects the stream to go on after the last
    /// whole one.
    pub fn resume(&mut self) {
        self.pending.clear();
        self.resumed = true;
    }

    /// Whether the event is new; an id that was passed on already is not.
    fn accept_event(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = parse_event_id(event) else {
            return Ok(true);
        };
        match self.last {
            Some(last) if id <= last && self.resumed => return Ok(false),
            Some(last) if id != last + 1 => return Err(EventError::OutOfOrder),
            _ => {}
        }
        self.last = Some(id);
        Ok(true)
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n");
    let carriage = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    let ends = [plain.map(|at| at + 2), carriage.map(|at| at + 4)];
    ends.into_iter().flatten().min()
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
