//! The model engine over HTTP.

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
    reply::{Reply, empty, engine_reply, json, read_json, unknown_path},
    serve::{StandinCall, serve},
    stream_body::{PartStream, streamed},
};

const KEEPALIVE: Duration = Duration::from_secs(2);
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// The model engine stand-in, bound to its address.
pub struct EngineServer {
    // Taken while no life of the process listens.
    listener: Mutex<Option<TcpListener>>,
    address: String,
    settings: EngineSettings,
    clock: ClockSource,
    engine: Arc<StandinEngine>,
}

impl EngineServer {
    /// Binds to `address`, an IP number and port; port 0 lets the system
    /// choose.
    ///
    /// # Errors
    /// What the system said.
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

    /// The address it is bound to, in each of its lives.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The engine, for its faults.
    #[must_use]
    pub fn engine(&self) -> &StandinEngine {
        &self.engine
    }

    /// Its entry on the host list.
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

    /// Marks itself as leaving on the host list; it goes on serving.
    pub async fn leave(&self) {
        let listing = &self.settings.listing;
        listing.leave(&self.entry(), &self.clock).await;
    }

    /// Lives, crashes and lives again until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let drive = self.engine.drive(token.clone());
        future::or(drive, self.clone().lives(token.clone())).await;
        let listing = &self.settings.listing;
        if token.is_cancelled() {
            listing.deregister(&self.entry(), &self.clock).await;
            return;
        }
        let entry = self.entry();
        let unlisted = listing.deregister_crashed(&entry, &self.clock);
        future::or(unlisted, token.cancelled()).await;
    }

    async fn lives(self: Arc<Self>, token: CancellationToken) {
        while let Some(listener) = self.listen(&token).await {
            let life = self.engine.life();
            let listing = &self.settings.listing;
            listing.register(&self.entry(), &self.clock).await;
            let served = self.serve(&listener, &life);
            future::or(served, token.cancelled()).await;
            life.cancel();
            drop(listener);
            if token.is_cancelled() || !self.wait_for_restart(&token).await {
                return;
            }
            self.engine.revive();
        }
    }

    /// The listener of the next life; `None` when there is none.
    async fn listen(&self, token: &CancellationToken) -> Option<TcpListener> {
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
                Err(_) => self.clock.sleep(REBIND_PAUSE).await,
            }
        }
        None
    }

    /// Waits out the time the engine is down; `false` when it stays down.
    async fn wait_for_restart(&self, token: &CancellationToken) -> bool {
        match self.engine.restart_after() {
            Some(delay) => {
                future::or(self.clock.sleep(delay), token.cancelled()).await;
                !token.is_cancelled()
            }
            None => false,
        }
    }

    async fn serve(self: &Arc<Self>, listener: &TcpListener, life: &CancellationToken) {
        let server = self.clone();
        let endpoint = move |call: StandinCall| {
            let server = server.clone();
            async move { server.answer(call).await }
        };
        serve(listener, life, endpoint).await;
    }

    async fn answer(&self, mut call: StandinCall) -> Reply {
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
            _ => Ok(unknown_path()),
        }
    }

    async fn submit(&self, mut call: StandinCall) -> Reply {
        let attempt: EngineCall = read_json(&mut call.request).await?;
        let outcome = self.engine.submit(attempt).await;
        let clock = self.clock.clone();
        let success = |events| streamed(lines(events, clock), call.stream);
        engine_reply(outcome, success)
    }

    async fn lend(&self, mut call: StandinCall) -> Reply {
        let attempt: AttemptRequest = read_json(&mut call.request).await?;
        Ok(self.engine.clone().lend(attempt, call.stream))
    }

    async fn cancel(&self, request: &mut Request) -> Reply {
        let call: AttemptRequest = read_json(request).await?;
        told(self.engine.cancel(&call.request, call.attempt).await)
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
        told(self.engine.order(order).await)
    }

    async fn reserve(&self, request: &mut Request) -> Reply {
        let reservation: KvReservation = read_json(request).await?;
        told(self.engine.reserve(reservation).await)
    }

    async fn release(&self, request: &mut Request) -> Reply {
        let call: AttemptRequest = read_json(request).await?;
        told(self.engine.release(&call.request, call.attempt).await)
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
        told(self.engine.import_kv(import).await)
    }

    async fn fetch(&self, request: &mut Request) -> Reply {
        let export: RequestId = read_json(request).await?;
        Ok(match self.engine.exported(&export) {
            Some(export) => json(StatusCode::Ok, &export),
            None => Response::new(StatusCode::NotFound),
        })
    }
}

fn told(outcome: Result<(), UpstreamError>) -> Reply {
    engine_reply(outcome, |()| empty())
}

/// The events as lines, with an empty line where the engine is silent.
fn lines(events: TokenStream, clock: ClockSource) -> PartStream {
    Box::pin(unfold((events, clock), next_line))
}

async fn next_line(
    (mut events, clock): (TokenStream, ClockSource),
) -> Option<(io::Result<Vec<u8>>, (TokenStream, ClockSource))> {
    let part = match clock.timeout(KEEPALIVE, events.next()).await {
        Some(event) => line(event?),
        None => Ok(vec![b'\n']),
    };
    Some((part, (events, clock)))
}

fn line(event: Result<EngineEvent, UpstreamError>) -> io::Result<Vec<u8>> {
    let event = event.map_err(io::Error::other)?;
    let mut line = serde_json::to_vec(&event)?;
    line.push(b'\n');
    Ok(line)
}
