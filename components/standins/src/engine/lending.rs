//! Runs one sequence on several engines: the engine that runs the attempt borrows
//! compute from its members.
//!
//! The borrower keeps a connection to each member open while the attempt runs. A
//! member lends compute as long as the connection is open and its KV
//! reservation lasts; when either ends, the borrower's attempt fails.

use std::{sync::Arc, time::Duration};

use futures_lite::{AsyncReadExt, stream::once_future};
use http_types::{Response, StatusCode};
use smol::{future, net::TcpStream};
use transport::HttpClient;
use types::{AttemptId, RequestId};
use upstream::{AttemptRequest, GangMember};

use crate::{
    engine::{StandinEngine, attempts::AttemptKey},
    stream_body::streaming_response,
};

const MEMBER_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LENDING_POLL_INTERVAL: Duration = Duration::from_millis(100);
const LEND_STEP: &str = "engine lend";

impl StandinEngine {
    /// Opens a connection to each member of an attempt and keeps it until the
    /// attempt ends.
    pub(crate) fn connect_members(
        &self,
        key: AttemptKey,
        members: Vec<GangMember>,
        request: &RequestId,
        attempt: AttemptId,
    ) {
        let Some(engine) = self.weak_self.upgrade() else {
            return;
        };
        for member in members {
            let engine = engine.clone();
            let call = AttemptRequest {
                request: request.clone(),
                attempt,
            };
            smol::spawn(async move { engine.watch_member(key, member, call).await }).detach();
        }
    }

    async fn watch_member(&self, key: AttemptKey, member: GangMember, call: AttemptRequest) {
        let lost = async { Some(self.keep_connection_open(&member, &call).await) };
        let ended = async {
            self.wait_until_ended(key).await;
            None
        };
        if let Some(cause) = future::or(lost, ended).await {
            self.cancel_and_fail_attempt(key, &format!("member {}: {cause}", member.engine));
        }
    }

    /// Keeps the connection to the member open and returns why it ended.
    async fn keep_connection_open(&self, member: &GangMember, call: &AttemptRequest) -> String {
        let caller = HttpClient::new(
            member.address.clone(),
            self.clock.clone(),
            MEMBER_CALL_TIMEOUT,
        );
        let opened = async {
            let request = caller.post(LEND_STEP, "/engine/lend", call)?;
            caller
                .open_response(LEND_STEP, request, MEMBER_CALL_TIMEOUT)
                .await
        };
        let mut response = match opened.await {
            Ok(response) => response,
            Err(fault) => return fault.to_string(),
        };
        if response.status() != StatusCode::Ok {
            return format!("status {}", response.status());
        }
        match response.read(&mut [0]).await {
            Ok(_) => "the hold ended".to_owned(),
            Err(fault) => fault.to_string(),
        }
    }

    async fn wait_until_ended(&self, key: AttemptKey) {
        while self.with_state(|state| state.attempts.contains_key(&key)) {
            self.clock.sleep(LENDING_POLL_INTERVAL).await;
        }
    }

    /// Responds as a member: lends compute while the response body is open.
    pub(crate) fn lend(self: Arc<Self>, call: AttemptRequest, stream: TcpStream) -> Response {
        if !self.holds_memory(&call.request, call.attempt) {
            return Response::new(StatusCode::NotFound);
        }
        let guard = LendingGuard::new(self, call);
        let chunks = once_future(async move {
            guard.wait_until_reservation_ends().await;
            Ok(Vec::new())
        });
        streaming_response(Box::pin(chunks), stream)
    }

    fn set_lending(&self, call: &AttemptRequest, lending: bool) {
        self.with_state(|state| {
            let now = self.simulated_now();
            state
                .simulation
                .set_lending(now, &call.request, call.attempt, lending);
        });
        self.wake_driver();
    }
}

/// Lends compute to an attempt of another engine until it is dropped.
struct LendingGuard {
    engine: Arc<StandinEngine>,
    call: AttemptRequest,
}

impl LendingGuard {
    fn new(engine: Arc<StandinEngine>, call: AttemptRequest) -> Self {
        engine.set_lending(&call, true);
        Self { engine, call }
    }

    async fn wait_until_reservation_ends(&self) {
        while self
            .engine
            .holds_memory(&self.call.request, self.call.attempt)
        {
            self.engine.clock.sleep(LENDING_POLL_INTERVAL).await;
        }
    }
}

impl Drop for LendingGuard {
    fn drop(&mut self) {
        self.engine.set_lending(&self.call, false);
    }
}
