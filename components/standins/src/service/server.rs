//! Serves the plain service stand-in over HTTP.

use std::{io, sync::Arc, time::Duration};

use errors::UpstreamError;
use http_types::{Method, Request, Response, StatusCode};
use kernel::{CancellationToken, ClockSource};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use stores::{HostEntry, HostKind, HostState, fakes::InjectedFaults};
use types::{IncarnationNumber, ServiceName, UpstreamId, ZoneId};
use upstream::{
    DEADLINE_HEADER, FENCING_HEADER, FENCING_NEWEST_HEADER, IDEMPOTENCY_HEADER, NOT_RUN_HEADER,
    OrderCall, PlainService, ServiceResponse, TRACE_HEADER,
};

use crate::{
    HostListing, StandinService,
    reply::{
        Reply, connection_closing_error, json, no_content, read_json, unknown_path_response,
        with_retry_after,
    },
    serve::{StandinCall, serve},
};

const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Settings of a plain service stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Id under which it registers on the host list.
    pub id: UpstreamId,
    /// Service name by which callers address it.
    pub service: ServiceName,
    /// Availability zone that it reports.
    pub zone: ZoneId,
    /// Incarnation number of the process.
    pub incarnation: IncarnationNumber,
    /// Whether an order with a known deduplication key gets the recorded answer
    /// instead of running again.
    pub deduplicates: bool,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Injected faults and rate limits.
    pub faults: InjectedFaults,
    /// Registration on the host list.
    pub listing: HostListing,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            id: "service-1".to_owned(),
            service: "notices".to_owned(),
            zone: "zone-a".to_owned(),
            incarnation: 1,
            deduplicates: false,
            checks_fencing: false,
            faults: InjectedFaults::default(),
            listing: HostListing::default(),
        }
    }
}

/// HTTP server of a plain service stand-in.
pub struct ServiceServer {
    listener: TcpListener,
    address: String,
    settings: ServiceSettings,
    clock: ClockSource,
    service: StandinService,
}

impl ServiceServer {
    /// Binds to `address`, an IP address and port; with port 0 the system chooses
    /// a free port.
    ///
    /// # Errors
    /// The I/O error of binding the address.
    pub async fn bind(
        address: &str,
        settings: ServiceSettings,
        clock: ClockSource,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let service = StandinService::new(settings.clone(), clock.clone());
        Ok(Arc::new(Self {
            listener,
            address,
            settings,
            clock,
            service,
        }))
    }

    /// The address this server listens on, as IP and port.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The service behind the server, to inject faults and inspect effects.
    #[must_use]
    pub fn service(&self) -> &StandinService {
        &self.service
    }

    /// The entry under which it registers on the host list.
    #[must_use]
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            id: self.settings.id.clone(),
            kind: HostKind::Service,
            service: self.settings.service.clone(),
            address: self.address.clone(),
            zone: self.settings.zone.clone(),
            state: HostState::Live,
            incarnation: self.settings.incarnation,
        }
    }

    /// Marks this server as leaving on the host list; it continues to serve.
    pub async fn leave(&self) {
        let listing = &self.settings.listing;
        listing.leave(&self.entry(), &self.clock).await;
    }

    /// Registers on the host list and serves until `token` is cancelled, then
    /// deregisters.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let listing = &self.settings.listing;
        listing.register(&self.entry(), &self.clock).await;
        let server = self.clone();
        let endpoint = move |call: StandinCall| {
            let server = server.clone();
            async move { server.handle_request(call.request).await }
        };
        serve(&self.listener, &token, endpoint).await;
        listing.deregister(&self.entry(), &self.clock).await;
    }

    async fn handle_request(&self, mut request: Request) -> Reply {
        let path = request.url().path().trim_start_matches('/').to_owned();
        if let Some(step) = path.strip_prefix("control/") {
            return self.control(step, &mut request).await;
        }
        let trace = last_header_value(&request, TRACE_HEADER).unwrap_or_default();
        let outcome = match request.method() {
            Method::Get => self.service.read(&path, DEFAULT_CALL_TIMEOUT, &trace).await,
            Method::Post => {
                let call = order_call(path, trace, &mut request).await;
                self.service.order(call).await
            }
            _ => return Ok(unknown_path_response()),
        };
        service_reply(outcome)
    }

    async fn control(&self, step: &str, request: &mut Request) -> Reply {
        Ok(match (request.method(), step) {
            (Method::Get, "effects") => json(StatusCode::Ok, &self.service.effects()),
            (Method::Get, "faults") => {
                json(StatusCode::Ok, &self.service.fault_injector().faults())
            }
            (Method::Post, "faults") => {
                let faults: InjectedFaults = read_json(request).await?;
                self.service.fault_injector().set(faults);
                no_content()
            }
            (Method::Post, "leave") => {
                self.leave().await;
                no_content()
            }
            _ => unknown_path_response(),
        })
    }
}

async fn order_call(path: String, traceparent: String, request: &mut Request) -> OrderCall {
    let fencing = last_header_value(request, FENCING_HEADER).and_then(|value| value.parse().ok());
    let deadline = last_header_value(request, DEADLINE_HEADER).and_then(|value| value.parse().ok());
    OrderCall {
        path,
        content_type: last_header_value(request, "content-type").unwrap_or_default(),
        body: request.body_string().await.unwrap_or_default(),
        dedup_key: last_header_value(request, IDEMPOTENCY_HEADER),
        fencing,
        deadline_in: deadline.map_or(DEFAULT_CALL_TIMEOUT, Duration::from_millis),
        traceparent,
    }
}

fn last_header_value(request: &Request, name: &str) -> Option<String> {
    let values = request.header(name)?;
    Some(values.last().as_str().to_owned())
}

fn service_reply(outcome: Result<ServiceResponse, UpstreamError>) -> Reply {
    match outcome {
        Ok(answer) => Ok(answer_response(answer)),
        Err(UpstreamError::Fenced { newest, .. }) => {
            let mut response = Response::new(StatusCode::Conflict);
            response.insert_header(FENCING_NEWEST_HEADER, newest.to_string());
            Ok(response)
        }
        Err(UpstreamError::Refused {
            status,
            cause,
            retry_after,
            ..
        }) => {
            let status = StatusCode::try_from(status).unwrap_or(StatusCode::ServiceUnavailable);
            let mut response = Response::new(status);
            response.insert_header(NOT_RUN_HEADER, "true");
            response.set_body(cause);
            Ok(with_retry_after(response, retry_after))
        }
        Err(fault) => Err(connection_closing_error(&fault)),
    }
}

fn answer_response(answer: ServiceResponse) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", answer.content_type);
    response
}
