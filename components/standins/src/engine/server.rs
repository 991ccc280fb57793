//! Serves the model engine stand-in over HTTP.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use errors::UpstreamError;
use futures_lite::{StreamExt, stream::unfold};
use http_types::{Method, Request, Response, StatusCode};
use kernel::{CancellationToken, ClockSource};
use smol::{future, net::TcpListener};
use stores::{HostEntry, HostKind, HostState};
use types::{EngineOrder, RequestId};
use upstream::{
    AttemptRequest, EngineCall, EngineEvent, ExportRequest, KvImport, KvReservation, ModelEngine,
    TokenStream,
};

use crate::{
    EngineSettings, StandinEngine,
    reply::{Reply, engine_reply, json, no_content, read_json, unknown_path_response},
    serve::{StandinCall, serve},
    stream_body::{ChunkStream, streaming_response},
};

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// HTTP server of a model engine stand-in; keeps its address across restarts.
pub struct EngineServer {
    // Bound listener for the first incarnation; `None` once that has taken it.
    listener: Mutex<Option<TcpListener>>,
    address: String,
    settings: EngineSettings,
    clock: ClockSource,
    engine: Arc<StandinEngine>,
}

impl EngineServer {
    /// Binds to `address`, an IP address and port; with port 0 the system chooses
    /// a free port.
    ///
    /// # Errors
    /// The I/O error of binding the address.
    pub async fn bind(
        address: &str,
        settings: EngineSettings,
        clock: ClockSource,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?.to_string();
        Ok(Arc::new(Self {
            listener: Mutex::new(Some(listener)),
            address,
            engine: StandinEngine::new(settings.clone(), clock.clone()),
            settings,
            clock,
        }))
    }

    /// The address this server listens on, as IP and port, the same in every
    /// incarnation.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The engine behind the server, to inject faults and inspect its state.
    #[must_use]
    pub fn engine(&self) -> &StandinEngine {
        &self.engine
    }

    /// The entry under which it registers on the host list, with the current
    /// incarnation.
    #[must_use]
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            id: self.settings.id.clone(),
            kind: HostKind::Engine,
            service: String::new(),
            address: self.address.clone(),
            zone: self.settings.zone.clone(),
            state: HostState::Live,
            incarnation: self.engine.incarnation(),
        }
    }

    /// Marks this server as leaving on the host list; it continues to serve.
    pub async fn leave(&self) {
        let listing = &self.settings.listing;
        listing.leave(&self.entry(), &self.clock).await;
    }

    /// Serves, and restarts after each crash that has a restart delay, until
    /// `token` is cancelled or a crash has none.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let drive = self.engine.drive(token.clone());
        future::or(drive, self.clone().run_incarnations(token.clone())).await;
        let listing = &self.settings.listing;
        if token.is_cancelled() {
            listing.deregister(&self.entry(), &self.clock).await;
            return;
        }
        let entry = self.entry();
        let unlisted = listing.deregister_crashed(&entry, &self.clock);
        future::or(unlisted, token.cancelled()).await;
    }

    async fn run_incarnations(self: Arc<Self>, token: CancellationToken) {
        while let Some(listener) = self.next_listener(&token).await {
            let incarnation_token = self.engine.incarnation_token();
            let listing = &self.settings.listing;
            listing.register(&self.entry(), &self.clock).await;
            let served = self.serve(&listener, &incarnation_token);
            future::or(served, token.cancelled()).await;
            incarnation_token.cancel();
            drop(listener);
            if token.is_cancelled() || !self.wait_for_restart(&token).await {
                return;
            }
            self.engine.restart();
        }
    }

    /// Returns the listener for the next incarnation, binding the address again
    /// after a restart; `None` if `token` is cancelled first.
    async fn next_listener(&self, token: &CancellationToken) -> Option<TcpListener> {
        let first = self
            .listener
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if first.is_some() {
            return first;
        }
        while !token.is_cancelled() {
            match TcpListener::bind(&self.address).await {
                Ok(listener) => return Some(listener),
                Err(_) => self.clock.sleep(REBIND_INTERVAL).await,
            }
        }
        None
    }

    /// Waits for the restart delay; returns `false` if the engine stays down or
    /// `token` is cancelled.
    async fn wait_for_restart(&self, token: &CancellationToken) -> bool {
        match self.engine.restart_after() {
            Some(delay) => {
                future::or(self.clock.sleep(delay), token.cancelled()).await;
                !token.is_cancelled()
            }
            None => false,
        }
    }

    async fn serve(
        self: &Arc<Self>,
        listener: &TcpListener,
        incarnation_token: &CancellationToken,
    ) {
        let server = self.clone();
        let endpoint = move |call: StandinCall| {
            let server = server.clone();
            async move { server.handle_call(call).await }
        };
        serve(listener, incarnation_token, endpoint).await;
    }

    async fn handle_call(&self, mut call: StandinCall) -> Reply {
        let path = call.request.url().path().to_owned();
        if let Some(step) = path.strip_prefix("/control/") {
            return self.control(step, &mut call.request).await;
        }
        match (call.request.method(), path.as_str()) {
            (Method::Post, "/engine/submit") => self.submit(call).await,
            (Method::Post, "/engine/lend") => self.lend(call).await,
            (Method::Post, "/engine/cancel") => self.cancel(&mut call.request).await,
            (Method::Get, "/engine/report") => self.report().await,
            (Method::Get, "/engine/cache") => self.cache_events(&call.request).await,
            (Method::Post, "/engine/order") => self.order(&mut call.request).await,
            (Method::Post, "/engine/reserve") => self.reserve(&mut call.request).await,
            (Method::Post, "/engine/release") => self.release(&mut call.request).await,
            (Method::Post, "/engine/export") => self.export(&mut call.request).await,
            (Method::Post, "/engine/import") => self.import(&mut call.request).await,
            (Method::Post, "/engine/fetch") => self.fetch(&mut call.request).await,
            _ => Ok(unknown_path_response()),
        }
    }

    async fn submit(&self, mut call: StandinCall) -> Reply {
        let attempt: EngineCall = read_json(&mut call.request).await?;
        let outcome = self.engine.submit(attempt).await;
        let clock = self.clock.clone();
        let success = |events| streaming_response(event_lines(events, clock), call.stream);
        engine_reply(outcome, success)
    }

    async fn lend(&self, mut call: StandinCall) -> Reply {
        let attempt: AttemptRequest = read_json(&mut call.request).await?;
        Ok(self.engine.clone().lend(attempt, call.stream))
    }

    async fn cancel(&self, request: &mut Request) -> Reply {
        let call: AttemptRequest = read_json(request).await?;
        empty_reply(self.engine.cancel(&call.request, call.attempt).await)
    }

    async fn report(&self) -> Reply {
        let outcome = self.engine.report().await;
        engine_reply(outcome, |report| json(StatusCode::Ok, &report))
    }

    async fn cache_events(&self, request: &Request) -> Reply {
        let pairs = request.url().query_pairs();
        let after = pairs.into_iter().find(|(name, _)| name == "after");
        let after = after.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let outcome = self.engine.cache_events(after).await;
        engine_reply(outcome, |batch| json(StatusCode::Ok, &batch))
    }

    async fn order(&self, request: &mut Request) -> Reply {
        let order: EngineOrder = read_json(request).await?;
        empty_reply(self.engine.order(order).await)
    }

    async fn reserve(&self, request: &mut Request) -> Reply {
        let reservation: KvReservation = read_json(request).await?;
        empty_reply(self.engine.reserve(reservation).await)
    }

    async fn release(&self, request: &mut Request) -> Reply {
        let call: AttemptRequest = read_json(request).await?;
        empty_reply(self.engine.release(&call.request, call.attempt).await)
    }

    async fn export(&self, request: &mut Request) -> Reply {
        let call: ExportRequest = read_json(request).await?;
        let export = self
            .engine
            .export_kv(&call.request, call.attempt, call.lifetime);
        let success = |export| json(StatusCode::Ok, &export);
        engine_reply(export.await, success)
    }

    async fn import(&self, request: &mut Request) -> Reply {
        let import: KvImport = read_json(request).await?;
        empty_reply(self.engine.import_kv(import).await)
    }

    async fn fetch(&self, request: &mut Request) -> Reply {
        let export: RequestId = read_json(request).await?;
        Ok(match self.engine.find_export(&export) {
            Some(export) => json(StatusCode::Ok, &export),
            None => Response::new(StatusCode::NotFound),
        })
    }
}

fn empty_reply(outcome: Result<(), UpstreamError>) -> Reply {
    engine_reply(outcome, |()| no_content())
}

/// Encodes each event as a line of JSON, and sends an empty line as a keepalive
/// after each [`KEEPALIVE_INTERVAL`] without an event.
fn event_lines(events: TokenStream, clock: ClockSource) -> ChunkStream {
    Box::pin(unfold((events, clock), next_line))
}

async fn next_line(
    (mut events, clock): (TokenStream, ClockSource),
) -> Option<(io::Result<Vec<u8>>, (TokenStream, ClockSource))> {
    let chunk = match clock.timeout(KEEPALIVE_INTERVAL, events.next()).await {
        Some(event) => encode_event_line(event?),
        None => Ok(vec![b'\n']),
    };
    Some((chunk, (events, clock)))
}

fn encode_event_line(event: Result<EngineEvent, UpstreamError>) -> io::Result<Vec<u8>> {
    let event = event.map_err(io::Error::other)?;
    let mut line = serde_json::to_vec(&event)?;
    line.push(b'\n');
    Ok(line)
}
