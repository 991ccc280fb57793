//! Sockets of accepted connections.

use std::{
    io,
    net::TcpStream,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use rustix::io::ioctl_fionread;
use smol::Async;

use crate::{callers::CallerConnection, state::Gateway};

/// Socket of an accepted connection.
#[derive(Clone, Debug)]
pub(crate) struct SharedSocket(Arc<Async<TcpStream>>);

impl SharedSocket {
    pub(crate) fn new(socket: Async<TcpStream>) -> Self {
        Self(Arc::new(socket))
    }

    /// Returns the number of bytes that have arrived and are not read yet.
    pub(crate) fn unread_bytes(&self) -> io::Result<u64> {
        Ok(ioctl_fionread(&*self.0)?)
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(context)
    }
}

/// Socket of a connection, which records what the connection is doing.
pub(crate) struct CallerSocket {
    gateway: Rc<Gateway>,
    connection: Rc<CallerConnection>,
    socket: SharedSocket,
}

impl CallerSocket {
    pub(crate) fn new(gateway: &Rc<Gateway>, connection: &Rc<CallerConnection>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            connection: Rc::clone(connection),
            socket: connection.socket.clone(),
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        if matches!(&read, Poll::Ready(Ok(count)) if *count > 0) {
            self.connection.record_read(|| self.gateway.now());
        }
        read
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, buffer);
        self.connection
            .record_write(|| self.gateway.now(), &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(context)
    }
}
