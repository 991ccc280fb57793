//! Several engines on one sequence: the one that runs it borrows the others.
//!
//! The borrower keeps one connection to each member open while it runs. The
//! member lends compute as long as the connection and its hold last; when
//! either ends, the borrower's attempt fails.

use std::{sync::Arc, time::Duration};

use futures_lite::{AsyncReadExt, stream::once_future};
use http_types::{Response, StatusCode};
use smol::{future, net::TcpStream};
use transport::HttpClient;
use types::{AttemptId, RequestId};
use upstream::{AttemptRequest, GangMember};

use crate::{
    engine::{StandinEngine, attempts::AttemptPlace},
    stream_body::streamed,
};

const BORROW_LIMIT: Duration = Duration::from_secs(2);
const HOLD_CHECK: Duration = Duration::from_millis(100);
const STEP: &str = "engine lend";

impl StandinEngine {
    /// Borrows the members of an attempt until it ends.
    pub(crate) fn borrow_members(
        &self,
        place: AttemptPlace,
        members: Vec<GangMember>,
        request: &RequestId,
        attempt: AttemptId,
    ) {
        let Some(engine) = self.itself.upgrade() else {
            return;
        };
        for member in members {
            let engine = engine.clone();
            let call = AttemptRequest {
                request: request.clone(),
                attempt,
            };
            smol::spawn(async move { engine.borrow_member(place, member, call).await }).detach();
        }
    }

    async fn borrow_member(&self, place: AttemptPlace, member: GangMember, call: AttemptRequest) {
        let lost = async { Some(self.lent(&member, &call).await) };
        let ended = async {
            self.ended(place).await;
            None
        };
        if let Some(cause) = future::or(lost, ended).await {
            self.fail_attempt(place, &format!("member {}: {cause}", member.engine));
        }
    }

    /// Holds the member's connection open; why it ended.
    async fn lent(&self, member: &GangMember, call: &AttemptRequest) -> String {
        let caller = HttpClient::new(member.address.clone(), self.clock.clone(), BORROW_LIMIT);
        let opened = async {
            let request = caller.post(STEP, "/engine/lend", call)?;
            caller.open_response(STEP, request, BORROW_LIMIT).await
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

    async fn ended(&self, place: AttemptPlace) {
        while self.locked(|state| state.attempts.contains_key(&place)) {
            self.clock.sleep(HOLD_CHECK).await;
        }
    }

    /// The answer of a member: it lends while the body is open.
    pub(crate) fn lend(self: Arc<Self>, call: AttemptRequest, stream: TcpStream) -> Response {
        if !self.holds(&call.request, call.attempt) {
            return Response::new(StatusCode::NotFound);
        }
        let lease = LendingLease::new(self, call);
        let parts = once_future(async move {
            lease.until_hold_ends().await;
            Ok(Vec::new())
        });
        streamed(Box::pin(parts), stream)
    }

    fn set_lending(&self, call: &AttemptRequest, lending: bool) {
        self.locked(|state| {
            let now = self.model_now();
            state
                .model
                .set_lending(now, &call.request, call.attempt, lending);
        });
        self.nudge();
    }
}

/// Lends compute until it is dropped.
struct LendingLease {
    engine: Arc<StandinEngine>,
    call: AttemptRequest,
}

impl LendingLease {
    fn new(engine: Arc<StandinEngine>, call: AttemptRequest) -> Self {
        engine.set_lending(&call, true);
        Self { engine, call }
    }

    async fn until_hold_ends(&self) {
        while self.engine.holds(&self.call.request, self.call.attempt) {
            self.engine.clock.sleep(HOLD_CHECK).await;
        }
    }
}

impl Drop for LendingLease {
    fn drop(&mut self) {
        self.engine.set_lending(&self.call, false);
    }
}
