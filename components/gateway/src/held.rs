//! Bodies in memory, charged to the callers' budget by what they occupy.

use std::{
    cell::Cell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::future::{or, yield_now};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use memory::{
    ChargeKind, MemoryBudget, MemoryCharge, ORDINARY_BODY_BYTES, RoomClaim, SegmentBuffer,
};

use crate::{
    callers::{CallerConnection, VictimScope},
    state::Gateway,
};

/// Smallest and largest segment of a body. The next one is as long as all before it, so that a
/// body that stops at any point occupies at most twice what has arrived.
const SEGMENT_MIN_BYTES: usize = 4 << 10;
const SEGMENT_MAX_BYTES: usize = 256 << 10;
/// Largest part of a body that is passed on at once, and so copied into a connection's buffer.
const SLICE_BYTES: usize = 16 << 10;
/// Holders that are asked to give way to one segment.
const VICTIMS_MAX: usize = 16;
/// Pause between two looks whether there is memory for an answer.
const ROOM_PAUSE: Duration = Duration::from_millis(20);

/// A whole body. Its bytes are copies: the buffers that it was received in are much larger
/// where it came in small pieces.
#[derive(Debug)]
pub(crate) struct HeldBody {
    segments: Vec<Bytes>,
    length: usize,
    /// `None` for a body of the gateway's own.
    _charge: Option<MemoryCharge>,
}

impl HeldBody {
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the body's parts in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            segments: vec![bytes],
            _charge: None,
        }
    }
}

/// Body that is being received.
#[derive(Debug)]
struct BodyBuffer {
    segments: Vec<Bytes>,
    open: SegmentBuffer,
    length: usize,
    charge: MemoryCharge,
}

impl BodyBuffer {
    fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            segments: Vec::new(),
            open: SegmentBuffer::default(),
            length: 0,
            charge: budget.charge(),
        }
    }

    /// Copies as much of `data` as the open segment has room for; returns the rest.
    fn append<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let rest = self.open.append(data);
        self.length += data.len() - rest.len();
        rest
    }

    /// Returns the size of the next segment of a body that has at most `left` more bytes.
    fn next_segment_bytes(&self, left: usize) -> usize {
        let size = self.length.clamp(SEGMENT_MIN_BYTES, SEGMENT_MAX_BYTES);
        size.min(left)
    }

    /// Returns what a further segment of `bytes` is charged as.
    fn next_kind(&self, bytes: usize) -> ChargeKind {
        if (self.length + bytes) as u64 <= ORDINARY_BODY_BYTES {
            ChargeKind::Ordinary
        } else {
            ChargeKind::Bulk
        }
    }

    /// Begins a segment of `bytes` if the budget allows it.
    fn try_open_segment(&mut self, bytes: usize) -> bool {
        if !self.charge.try_grow(bytes as u64, self.next_kind(bytes)) {
            return false;
        }
        match SegmentBuffer::new(bytes) {
            Ok(open) => {
                self.close_segment(open);
                true
            }
            Err(error) => {
                log::error!("event=memory_refused bytes={bytes} error=\"{error}\"");
                self.charge.shrink(bytes as u64);
                false
            }
        }
    }

    fn close_segment(&mut self, next: SegmentBuffer) {
        let full = std::mem::replace(&mut self.open, next).finish();
        if !full.is_empty() {
            self.segments.push(full);
        }
    }

    fn finish(mut self) -> HeldBody {
        self.close_segment(SegmentBuffer::default());
        HeldBody {
            segments: self.segments,
            length: self.length,
            _charge: Some(self.charge),
        }
    }
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum BodyFailure {
    /// It is over the limit.
    TooLarge,
    /// Its connection broke, or it is malformed.
    Broken(hyper::Error),
    /// It did not arrive in time.
    Late,
    /// There is no memory for it.
    NoMemory,
    /// It made no progress while others needed its memory.
    GaveWay,
}

/// Reads the body of a request, of at most `limit` bytes, within `time`.
pub(crate) async fn read_request_body(
    gateway: &Gateway,
    connection: &CallerConnection,
    body: &mut Incoming,
    limit: usize,
    time: Duration,
) -> Result<HeldBody, BodyFailure> {
    let reader = BodyReader::new(gateway, connection, BodySide::Request);
    let giving_way = async {
        connection.gave_way().await;
        Err(BodyFailure::GaveWay)
    };
    let reading = or(giving_way, reader.read(body, limit));
    let result = gateway.clock.timeout(time, reading).await;
    let result = result.unwrap_or(Err(BodyFailure::Late));
    if result.is_err() {
        connection.record_held(0);
    }
    result
}

/// Reads the body of an upstream's answer, of at most `limit` bytes, within `time`. Waits for
/// memory, as the request may have run.
pub(crate) async fn read_answer_body(
    gateway: &Gateway,
    connection: &CallerConnection,
    mut body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<HeldBody, BodyFailure> {
    let reader = BodyReader::new(gateway, connection, BodySide::Answer);
    let reading = reader.read(&mut body, limit);
    match gateway.clock.timeout(time, reading).await {
        Some(result) => result,
        None if reader.is_waiting.get() => Err(BodyFailure::NoMemory),
        None => Err(BodyFailure::Late),
    }
}

/// Whose body is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodySide {
    /// A caller's, which is refused if there is no memory for it.
    Request,
    /// An upstream's, which waits for memory.
    Answer,
}

/// Reads one body into memory, on a caller's account.
struct BodyReader<'a> {
    gateway: &'a Gateway,
    connection: &'a CallerConnection,
    side: BodySide,
    /// Whether it waits for memory.
    is_waiting: Cell<bool>,
}

impl<'a> BodyReader<'a> {
    fn new(gateway: &'a Gateway, connection: &'a CallerConnection, side: BodySide) -> Self {
        Self {
            gateway,
            connection,
            side,
            is_waiting: Cell::new(false),
        }
    }

    async fn read(&self, body: &mut Incoming, limit: usize) -> Result<HeldBody, BodyFailure> {
        let announced = body.size_hint().exact();
        let announced = announced.map_or(limit, |length| usize::try_from(length).unwrap_or(limit));
        let mut buffer = BodyBuffer::new(&self.gateway.limits.budget);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyFailure::Broken)?.into_data() else {
                continue;
            };
            if buffer.length + data.len() > limit {
                return Err(BodyFailure::TooLarge);
            }
            let mut rest = buffer.append(&data);
            while !rest.is_empty() {
                let left = announced.max(buffer.length + rest.len()) - buffer.length;
                if !self.open_segment(&mut buffer, left).await {
                    return Err(BodyFailure::NoMemory);
                }
                rest = buffer.append(rest);
            }
            if self.side == BodySide::Request {
                let now = self.gateway.now();
                self.connection.record_received(now, data.len() as u64);
            }
        }
        Ok(buffer.finish())
    }

    /// Begins the next segment of a body that has at most `left` more bytes, if need be in the
    /// place of others that give way.
    async fn open_segment(&self, buffer: &mut BodyBuffer, left: usize) -> bool {
        let bytes = buffer.next_segment_bytes(left);
        let claim = match (self.side, buffer.next_kind(bytes)) {
            (BodySide::Answer, _) | (_, ChargeKind::Ordinary) => RoomClaim::Ordinary,
            (_, ChargeKind::Bulk) => RoomClaim::Bulk,
        };
        loop {
            if self.try_open_segment(buffer, bytes, claim).await {
                self.is_waiting.set(false);
                return true;
            }
            if self.side == BodySide::Request {
                return false;
            }
            self.is_waiting.set(true);
            self.gateway.clock.sleep(ROOM_PAUSE).await;
        }
    }

    async fn try_open_segment(
        &self,
        buffer: &mut BodyBuffer,
        bytes: usize,
        claim: RoomClaim,
    ) -> bool {
        let Self {
            gateway,
            connection,
            ..
        } = self;
        for _ in 0..VICTIMS_MAX {
            let is_allowed =
                claim != RoomClaim::Bulk || gateway.callers.may_hold(gateway, connection);
            if is_allowed && buffer.try_open_segment(bytes) {
                if self.side == BodySide::Request {
                    connection.record_held(buffer.charge.bytes());
                }
                return true;
            }
            let scope = VictimScope::new(is_allowed);
            if !gateway.callers.make_room(gateway, claim, scope, connection) {
                return false;
            }
            // The one that gives way frees its memory when it runs.
            yield_now().await;
        }
        false
    }
}

/// A held body on its way to a peer, in slices that share its memory.
#[derive(Clone, Debug)]
pub(crate) struct SlicedBody {
    body: Rc<HeldBody>,
    segment: usize,
    offset: usize,
    left: usize,
}

impl From<Rc<HeldBody>> for SlicedBody {
    fn from(body: Rc<HeldBody>) -> Self {
        Self {
            left: body.length,
            body,
            segment: 0,
            offset: 0,
        }
    }
}

impl From<Bytes> for SlicedBody {
    fn from(bytes: Bytes) -> Self {
        Rc::new(HeldBody::from(bytes)).into()
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let sliced = self.get_mut();
        if sliced.left == 0 {
            return Poll::Ready(None);
        }
        let segment = &sliced.body.segments[sliced.segment];
        let end = segment.len().min(sliced.offset + SLICE_BYTES);
        let slice = segment.slice(sliced.offset..end);
        sliced.left -= slice.len();
        sliced.offset = end;
        if end == segment.len() {
            sliced.segment += 1;
            sliced.offset = 0;
        }
        Poll::Ready(Some(Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
