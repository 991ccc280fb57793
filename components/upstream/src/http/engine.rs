//! A model engine over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use errors::UpstreamError;
use http_types::Method;
use kernel::ClockSource;
use serde::Serialize;
use transport::HttpClient;
use types::{AttemptId, EngineOrder, EngineReport, RequestId};

use crate::{
    CacheBatch, EngineCall, KvExport, KvImport, KvReservation, ModelEngine, TokenStream,
    http::{
        answer::{STATUS_OK, check, decode},
        service::TRACE_HEADER,
        stream::event_stream,
        wire::{AttemptRequest, ExportRequest},
    },
};

/// Longest time a stream may last, whatever its call's deadline.
const LONGEST_STREAM: Duration = Duration::from_hours(24);

/// The engine at one address.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// The engine at `address`, an IP number and port, with at most `limit` a
    /// call; for `submit` that is the time until the stream begins, and the
    /// stream itself may last until the call's deadline.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
        }
    }

    async fn tell<T: Serialize + Sync>(
        &self,
        step: &str,
        path: &str,
        body: &T,
    ) -> Result<(), UpstreamError> {
        let request = self.client.post(step, path, body)?;
        let response = self.client.call(step, request).await?;
        check(&self.client, step, response)?;
        Ok(())
    }
}

#[async_trait]
impl ModelEngine for HttpEngine {
    async fn submit(&self, call: EngineCall) -> Result<TokenStream, UpstreamError> {
        let step = "engine submit";
        let deadline_in = call.deadline_in.min(LONGEST_STREAM);
        let deadline = self.client.clock().now() + deadline_in;
        let limit = self.client.timeout().min(deadline_in);
        let mut request = self.client.post(step, "/engine/submit", &call)?;
        self.client
            .set_header(step, &mut request, TRACE_HEADER, &call.traceparent)?;
        let response = self.client.open_response(step, request, limit).await?;
        if u16::from(response.status()) == STATUS_OK {
            return Ok(event_stream(self.client.clone(), response, deadline));
        }
        let response = self
            .client
            .read_body_with_timeout(step, response, limit)
            .await?;
        let response = check(&self.client, step, response)?;
        let cause = format!("status {} without a stream", response.status());
        Err(self.client.malformed(step, cause).into())
    }

    async fn cancel(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        let body = AttemptRequest {
            request: request.clone(),
            attempt,
        };
        self.tell("engine cancel", "/engine/cancel", &body).await
    }

    async fn report(&self) -> Result<EngineReport, UpstreamError> {
        let step = "engine report";
        let request = self.client.request(step, Method::Get, "/engine/report")?;
        let response = self.client.call(step, request).await?;
        decode(&self.client, step, response)
    }

    async fn cache_events(&self, after: u64) -> Result<CacheBatch, UpstreamError> {
        let step = "engine cache events";
        let path = format!("/engine/cache?after={after}");
        let request = self.client.request(step, Method::Get, &path)?;
        let response = self.client.call(step, request).await?;
        decode(&self.client, step, response)
    }

    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError> {
        self.tell("engine order", "/engine/order", &order).await
    }

    async fn reserve(&self, reservation: KvReservation) -> Result<(), UpstreamError> {
        self.tell("engine reserve", "/engine/reserve", &reservation)
            .await
    }

    async fn release(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        let body = AttemptRequest {
            request: request.clone(),
            attempt,
        };
        self.tell("engine release", "/engine/release", &body).await
    }

    async fn export_kv(
        &self,
        request: &RequestId,
        attempt: AttemptId,
        lifetime: Duration,
    ) -> Result<KvExport, UpstreamError> {
        let step = "engine export";
        let body = ExportRequest {
            request: request.clone(),
            attempt,
            lifetime,
        };
        let request = self.client.post(step, "/engine/export", &body)?;
        let response = self.client.call(step, request).await?;
        decode(&self.client, step, response)
    }

    async fn import_kv(&self, import: KvImport) -> Result<(), UpstreamError> {
        self.tell("engine import", "/engine/import", &import).await
    }
}
