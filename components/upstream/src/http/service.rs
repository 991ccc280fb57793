//! A plain service over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use errors::UpstreamError;
use http_types::{Method, Request};
use kernel::ClockSource;
use transport::{CallError, HttpClient, HttpResponse};

use crate::{OrderCall, PlainService, ServiceResponse};

/// Header of an order's deduplication key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header of an order's fencing number.
pub const FENCING_HEADER: &str = "fencing-number";
/// Header of a refused order's answer: the newest number the service took.
pub const FENCING_NEWEST_HEADER: &str = "fencing-newest";
/// Header of the milliseconds left until the answer has no more use.
pub const DEADLINE_HEADER: &str = "deadline-ms";
/// Header by which a service states, with the value `true`, that it did not
/// and will not run a call. A status alone never states that.
pub const NOT_RUN_HEADER: &str = "not-run";
/// Header of the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";

/// The plain service at one address.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// The service at `address`, an IP number and port, with at most `limit` a
    /// call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
        }
    }

    fn order_request(
        &self,
        step: &str,
        call: OrderCall,
        limit: Duration,
    ) -> Result<Request, CallError> {
        let client = &self.client;
        let mut request = client.request(step, Method::Post, &rooted(&call.path))?;
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

    fn take(&self, step: &str, response: HttpResponse) -> Result<ServiceResponse, UpstreamError> {
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
            .map_err(|fault| self.client.malformed(step, fault.to_string()))?;
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
        let mut request = self.client.request(step, Method::Get, &rooted(path))?;
        self.client
            .set_header(step, &mut request, TRACE_HEADER, traceparent)?;
        request.insert_header(DEADLINE_HEADER, limit.as_millis().to_string());
        let response = self.client.call_with_timeout(step, request, limit).await?;
        self.take(step, response)
    }

    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError> {
        let step = "service order";
        let limit = call.deadline_in.min(self.client.timeout());
        let request = self.order_request(step, call, limit)?;
        let response = self.client.call_with_timeout(step, request, limit).await?;
        self.take(step, response)
    }
}

fn rooted(path: &str) -> String {
    format!("/{}", path.trim_start_matches('/'))
}
