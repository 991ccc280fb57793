//! Streaming response body that ends with an error when the client disconnects.

use std::{
    io,
    pin::Pin,
    sync::{Mutex, PoisonError},
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, Stream, io::BufReader};
use http_types::{Body, Response, StatusCode};
use smol::net::TcpStream;

use crate::serve::wait_for_peer_close;

/// Chunks of a response body; an error closes the connection.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send>>;

struct StreamBody {
    // The mutexes are never contended; `Body` requires its reader to be `Sync`.
    chunks: Mutex<ChunkStream>,
    peer_closed: Mutex<Pin<Box<dyn Future<Output = ()> + Send>>>,
    chunk: Vec<u8>,
    offset: usize,
}

impl StreamBody {
    fn poll_peer_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let peer_closed = self
            .peer_closed
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        peer_closed.as_mut().poll(context)
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Vec<u8>>>> {
        let chunks = self
            .chunks
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        chunks.as_mut().poll_next(context)
    }

    fn copy_chunk(&mut self, buffer: &mut [u8]) -> usize {
        let remaining = &self.chunk[self.offset..];
        let count = remaining.len().min(buffer.len());
        buffer[..count].copy_from_slice(&remaining[..count]);
        self.offset += count;
        count
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.poll_peer_closed(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        loop {
            let count = self.copy_chunk(buffer);
            if count > 0 {
                return Poll::Ready(Ok(count));
            }
            match self.poll_chunk(context) {
                Poll::Ready(Some(Ok(chunk))) => {
                    self.chunk = chunk;
                    self.offset = 0;
                }
                Poll::Ready(Some(Err(fault))) => return Poll::Ready(Err(fault)),
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

/// Returns a response of status 200 whose body is `chunks`; they are dropped when
/// the peer of `stream` closes its connection.
pub(crate) fn streaming_response(chunks: ChunkStream, stream: TcpStream) -> Response {
    let body = StreamBody {
        chunks: Mutex::new(chunks),
        peer_closed: Mutex::new(Box::pin(wait_for_peer_close(stream))),
        chunk: Vec::new(),
        offset: 0,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(body), None));
    response.insert_header("content-type", "application/x-ndjson");
    response
}
