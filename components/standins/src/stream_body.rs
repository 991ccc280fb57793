//! A response body that streams, and breaks when its reader leaves.

use std::{
    io,
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, Stream, io::BufReader};
use http_types::{Body, Response, StatusCode};
use smol::net::TcpStream;

use crate::serve::closed_by_peer;

/// Parts of a body; an error cuts the connection.
pub(crate) type PartStream = Pin<Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send>>;

struct StreamBody {
    // The locks are never contended; they make the body `Sync`.
    parts: Mutex<PartStream>,
    closed: Mutex<Pin<Box<dyn Future<Output = ()> + Send>>>,
    part: Vec<u8>,
    read: usize,
}

impl StreamBody {
    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let closed = self
            .closed
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        closed.as_mut().poll(context)
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Vec<u8>>>> {
        let parts = self.parts.get_mut().unwrap_or_else(PoisonError::into_inner);
        parts.as_mut().poll_next(context)
    }

    fn take(&mut self, buffer: &mut [u8]) -> usize {
        let left = &self.part[self.read..];
        let count = left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&left[..count]);
        self.read += count;
        count
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.poll_closed(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        loop {
            let count = self.take(buffer);
            if count > 0 {
                return Poll::Ready(Ok(count));
            }
            match self.poll_part(context) {
                Poll::Ready(Some(Ok(part))) => {
                    self.part = part;
                    self.read = 0;
                }
                Poll::Ready(Some(Err(fault))) => return Poll::Ready(Err(fault)),
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

/// An answer of status 200 whose body is `parts`; they are dropped when the
/// peer of `stream` closes its connection.
pub(crate) fn streamed(parts: PartStream, stream: TcpStream) -> Response {
    let body = StreamBody {
        parts: Mutex::new(parts),
        closed: Mutex::new(Box::pin(closed_by_peer(stream))),
        part: Vec::new(),
        read: 0,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(body), None));
    response.insert_header("content-type", "application/x-ndjson");
    response
}
