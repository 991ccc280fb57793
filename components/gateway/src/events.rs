//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered; a longer one is treated as a malformed
/// stream.
const PENDING_EVENT_MAX_BYTES: usize = 256 << 10;

/// Position in a stream of server-sent events that several upstreams may serve
/// in turn.
#[derive(Debug, Default)]
pub struct EventCursor {
    pending: BytesMut,
    last: Option<u64>,
    resumed: bool,
}

/// Events that received bytes complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventBatch {
    /// Whole events, which the cursor counts as forwarded.
    pub events: Bytes,
    /// Why nothing that follows these events can be forwarded.
    pub error: Option<EventError>,
}

/// Why a stream can't be forwarded any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// The id of an event isn't the last id plus one.
    OutOfOrder,
    /// An incomplete event exceeds the size limit.
    TooLong,
    /// A line is none of an event, such as that of an error's head.
    NotAnEvent,
}

impl EventCursor {
    /// Creates a cursor for a caller that has already received the events up to
    /// id `last`; `None` for a new stream.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Appends received bytes and returns the events that are now complete; an
    /// incomplete one stays buffered. Events in front of malformed bytes are returned
    /// beside the error: another upstream continues after the last one of them.
    pub fn push(&mut self, bytes: &[u8]) -> EventBatch {
        self.pending.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        let error = self.accept_events(&mut events).err();
        EventBatch {
            events: events.freeze(),
            error,
        }
    }

    /// Returns the id of the last event that the caller has, the one given to
    /// [`new`](Self::new) included; `None` if no event had an id.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards an incomplete event, so that another upstream can continue after
    /// the last complete one, and skips the events that it repeats.
    pub fn resume(&mut self) {
        self.pending.clear();
        self.resumed = true;
    }

    /// Moves the complete events to `events`, up to the first one that is malformed.
    fn accept_events(&mut self, events: &mut BytesMut) -> Result<(), EventError> {
        while let Some(end) = find_event_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.accept_event(&event)? {
                events.extend_from_slice(&event);
            }
        }
        if self.pending.len() > PENDING_EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(())
    }

    /// Returns whether the event is to be forwarded, and records its id. After a
    /// resume, events whose id was already forwarded are skipped; events without an
    /// id are always forwarded.
    fn accept_event(&mut self, event: &[u8]) -> Result<bool, EventError> {
        if !event.split(|byte| *byte == b'\n').all(is_event_line) {
            return Err(EventError::NotAnEvent);
        }
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

/// Returns whether a line is empty, a comment, or a field: a name, which may have a value
/// after a colon. The names of the standard may stand alone.
fn is_event_line(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    if name.len() == line.len() {
        return matches!(name, b"" | b"data" | b"event" | b"id" | b"retry");
    }
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    name.iter().all(is_name)
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
