//! Accepts connections and passes their requests to an endpoint.

use std::io;

use async_h1::server;
use http_types::{Request, Response};
use kernel::CancellationToken;
use smol::{
    future,
    net::{TcpListener, TcpStream},
};

use crate::reply::error_reply;

/// A request and the connection on which it arrived.
pub(crate) struct StandinCall {
    pub(crate) request: Request,
    pub(crate) stream: TcpStream,
}

/// Serves `listener` until `token` is cancelled, which also closes every open
/// connection. An error from the endpoint closes its connection.
pub(crate) async fn serve<F, W>(listener: &TcpListener, token: &CancellationToken, endpoint: F)
where
    F: Fn(StandinCall) -> W + Clone + Send + Sync + 'static,
    W: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            token.cancelled().await;
            None
        });
        match accepted.await {
            Some(Ok((stream, _))) => {
                let connection = serve_connection(stream, token.clone(), endpoint.clone());
                smol::spawn(connection).detach();
            }
            Some(Err(fault)) => log::warn!("event=standin_accept_failed cause=\"{fault}\""),
            None => return,
        }
    }
}

async fn serve_connection<F, W>(stream: TcpStream, token: CancellationToken, endpoint: F)
where
    F: Fn(StandinCall) -> W + Send + Sync + 'static,
    W: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let answer = |request| {
        let call = StandinCall {
            request,
            stream: stream.clone(),
        };
        let work = endpoint(call);
        async { work.await.or_else(error_reply) }
    };
    let work = Box::pin(server::accept(stream.clone(), answer));
    let cancelled = async {
        token.cancelled().await;
        Ok(())
    };
    // Ignored: either an injected fault or the caller closed the connection.
    future::or(work, cancelled).await.ok();
}

/// Resolves when the peer closes the connection or it breaks. Use it only where
/// the peer sends no more data: after further bytes it never resolves.
pub(crate) async fn wait_for_peer_close(stream: TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) => return,
            Ok(_) => future::pending().await,
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
