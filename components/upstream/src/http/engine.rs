//! HTTP client of a model engine.

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
        answer::{STATUS_OK, check_status, decode_body},
        service::TRACE_HEADER,
        stream::event_stream,
        wire::{AttemptRequest, ExportRequest},
    },
};

/// Maximum duration of a stream, even when the call's deadline is later.
const MAX_STREAM_DURATION: Duration = Duration::from_hours(24);

/// Client of the model engine at one address.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates a client for `address`, an IP address and port, with `timeout` for each
    /// call. For `submit` the timeout covers the time until the stream starts; the
    /// stream itself may last until the call's deadline.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, timeout),
        }
    }

    async fn post_and_check<T: Serialize + Sync>(
        &self,
        step: &str,
        path: &str,
        body: &T,
    ) -> Result<(), UpstreamError> {
        let request = self.client.post(step, path, body)?;
        let response = self.client.call(step, request).await?;
        check_status(&self.client, step, response)?;
        Ok(())
    }
}

#[async_trait]
impl ModelEngine for HttpEngine {
    async fn submit(&self, call: EngineCall) -> Result<TokenStream, UpstreamError> {
        let step = "engine submit";
        let deadline_in = call.deadline_in.min(MAX_STREAM_DURATION);
        let deadline = self.client.clock().now() + deadline_in;
        let timeout = self.client.timeout().min(deadline_in);
        let mut request = self.client.post(step, "/engine/submit", &call)?;
        self.client
            .set_header(step, &mut request, TRACE_HEADER, &call.traceparent)?;
        let response = self.client.open_response(step, request, timeout).await?;
        if u16::from(response.status()) == STATUS_OK {
            return Ok(event_stream(self.client.clone(), response, deadline));
        }
        let response = self
            .client
            .read_body_with_timeout(step, response, timeout)
            .await?;
        let response = check_status(&self.client, step, response)?;
        let cause = format!("status {} instead of an event stream", response.status());
        Err(self.client.malformed(step, cause).into())
    }

    async fn cancel(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        let body = AttemptRequest {
            request: request.clone(),
            attempt,
        };
        self.post_and_check("engine cancel", "/engine/cancel", &body)
            .await
    }

    async fn report(&self) -> Result<EngineReport, UpstreamError> {
        let step = "engine report";
        let request = self.client.request(step, Method::Get, "/engine/report")?;
        let response = self.client.call(step, request).await?;
        decode_body(&self.client, step, response)
    }

    async fn cache_events(&self, first: u64) -> Result<CacheBatch, UpstreamError> {
        let step = "engine cache events";
        let path = format!("/engine/cache?after={first}");
        let request = self.client.request(step, Method::Get, &path)?;
        let response = self.client.call(step, request).await?;
        decode_body(&self.client, step, response)
    }

    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError> {
        self.post_and_check("engine order", "/engine/order", &order)
            .await
    }

    async fn reserve(&self, reservation: KvReservation) -> Result<(), UpstreamError> {
        self.post_and_check("engine reserve", "/engine/reserve", &reservation)
            .await
    }

    async fn release(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        let body = AttemptRequest {
            request: request.clone(),
            attempt,
        };
        self.post_and_check("engine release", "/engine/release", &body)
            .await
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
        decode_body(&self.client, step, response)
    }

    async fn import_kv(&self, import: KvImport) -> Result<(), UpstreamError> {
        self.post_and_check("engine import", "/engine/import", &import)
            .await
    }
}
