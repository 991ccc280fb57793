//! HTTP client of a plain service.

use std::time::Duration;

use async_trait::async_trait;
use errors::UpstreamError;
use http_types::{Method, Request};
use kernel::ClockSource;
use transport::{CallError, HttpClient, HttpResponse};

use crate::{OrderCall, PlainService, ServiceResponse};

/// Request header with an order's deduplication key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Request header with an order's fencing number.
pub const FENCING_HEADER: &str = "fencing-number";
/// Response header when an order is rejected for an old fencing number: the newest
/// fencing number that the service has accepted.
pub const FENCING_NEWEST_HEADER: &str = "fencing-newest";
/// Request header with the milliseconds left until the caller's deadline or the
/// call's timeout, whichever is earlier.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Response header; `true` means that the service did not run the call and will not.
/// Plain services say so only by this header, never by a status.
pub const NOT_RUN_HEADER: &str = "not-run";
/// Request header with the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";

/// Client of the plain service at one address.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// Creates a client for `address`, an IP address and port, with at most `timeout`
    /// for each call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, timeout),
        }
    }

    fn order_request(
        &self,
        step: &str,
        call: OrderCall,
        limit: Duration,
    ) -> Result<Request, CallError> {
        let client = &self.client;
        let mut request = client.request(step, Method::Post, &absolute_path(&call.path))?;
        request.set_body(call.body);
        client.set_header(step, &mut request, "content-type", &call.content_type)?;
        client.set_header(step, &mut request, TRACE_HEADER, &call.traceparent)?;
        request.insert_header(DEADLINE_HEADER, limit.as_millis().to_string());
        if let Some(key) = call.dedup_key {
            client.set_header(step, &mut request, IDEMPOTENCY_HEADER, &key)?;
        }
        if let Some(fencing) = call.fencing {
            request.insert_header(FENCING_HEADER, fencing.to_string());
        }
        Ok(request)
    }

    fn interpret_response(
        &self,
        step: &str,
        response: HttpResponse,
    ) -> Result<ServiceResponse, UpstreamError> {
        if let Some(newest) = response.number(FENCING_NEWEST_HEADER) {
            return Err(UpstreamError::Fenced {
                step: step.to_owned(),
                peer: self.client.peer().to_owned(),
                newest,
            });
        }
        if response.header(NOT_RUN_HEADER) == Some("true") {
            return Err(UpstreamError::Refused {
                step: step.to_owned(),
                peer: self.client.peer().to_owned(),
                status: response.status(),
                cause: response.excerpt(),
                retry_after: response.retry_after(),
            });
        }
        let status = response.status();
        let content_type = response
            .header("content-type")
            .unwrap_or_default()
            .to_owned();
        let body = String::from_utf8(response.into_body())
            .map_err(|error| self.client.malformed(step, error.to_string()))?;
        Ok(ServiceResponse {
            status,
            content_type,
            body,
        })
    }
}

#[async_trait]
impl PlainService for HttpService {
    async fn read(
        &self,
        path: &str,
        limit: Duration,
        traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError> {
        let step = "service read";
        let limit = limit.min(self.client.timeout());
        let mut request = self
            .client
            .request(step, Method::Get, &absolute_path(path))?;
        self.client
            .set_header(step, &mut request, TRACE_HEADER, traceparent)?;
        request.insert_header(DEADLINE_HEADER, limit.as_millis().to_string());
        let response = self.client.call_with_timeout(step, request, limit).await?;
        self.interpret_response(step, response)
    }

    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        let step = "service order";
        let limit = call.deadline_in.min(self.client.timeout());
        let request = self.order_request(step, call, limit)?;
        let response = self.client.call_with_timeout(step, request, limit).await?;
        self.interpret_response(step, response)
    }
}

fn absolute_path(path: &str) -> String {
    format!("/{}", path.trim_start_matches('/'))
}
