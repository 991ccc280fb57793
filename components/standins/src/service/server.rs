//! The plain service over HTTP.

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
    reply::{Reply, cut, empty, json, read_json, unknown_path, with_retry},
    serve::{StandinCall, serve},
};

const READ_LIMIT: Duration = Duration::from_mins(1);

/// Settings of a plain service stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Id on the host list.
    pub id: UpstreamId,
    /// Name callers use.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneId,
    /// Life of the process.
    pub incarnation: IncarnationNumber,
    /// Whether an order with a key seen before gets the recorded answer.
    pub deduplicates: bool,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Faults and limits.
    pub faults: InjectedFaults,
    /// Where it lists itself.
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

/// The plain service stand-in, bound to its address.
pub struct ServiceServer {
    listener: TcpListener,
    address: String,
    settings: ServiceSettings,
    clock: ClockSource,
    service: StandinService,
}

impl ServiceServer {
    /// Binds to `address`, an IP number and port; port 0 lets the system
    /// choose.
    ///
    /// # Errors
    /// What the system said.
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

    /// The address it is bound to.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The service, for its faults and effects.
    #[must_use]
    pub fn service(&self) -> &StandinService {
        &self.service
    }

    /// Its entry on the host list.
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

    /// Marks itself as leaving on the host list; it goes on serving.
    pub async fn leave(&self) {
        let listing = &self.settings.listing;
        listing.leave(&self.entry(), &self.clock).await;
    }

    /// Lists itself and serves until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let listing = &self.settings.listing;
        listing.register(&self.entry(), &self.clock).await;
        let server = self.clone();
        let endpoint = move |call: StandinCall| {
            let server = server.clone();
            async move { server.answer(call.request).await }
        };
        serve(&self.listener, &token, endpoint).await;
        listing.deregister(&self.entry(), &self.clock).await;
    }

    async fn answer(&self, mut request: Request) -> Reply {
        let path = request.url().path().trim_start_matches('/').to_owned();
        if let Some(step) = path.strip_prefix("control/") {
            return self.control(step, &mut request).await;
        }
        let trace = header(&request, TRACE_HEADER).unwrap_or_default();
        let outcome = match request.method() {
            Method::Get => self.service.read(&path, READ_LIMIT, &trace).await,
            Method::Post => {
                let call = order_call(path, trace, &mut request).await;
                self.service.order(call).await
            }
            _ => return Ok(unknown_path()),
        };
        reply(outcome)
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
                empty()
            }
            (Method::Post, "leave") => {
                self.leave().await;
                empty()
            }
            _ => unknown_path(),
        })
    }
}

async fn order_call(path: String, traceparent: String, request: &mut Request) -> OrderCall {
    let fencing = header(request, FENCING_HEADER).and_then(|value| value.parse().ok());
    let deadline = header(request, DEADLINE_HEADER).and_then(|value| value.parse().ok());
    OrderCall {
        path,
        content_type: header(request, "content-type").unwrap_or_default(),
        body: request.body_string().await.unwrap_or_default(),
        dedup_key: header(request, IDEMPOTENCY_HEADER),
        fencing,
        deadline_in: deadline.map_or(READ_LIMIT, Duration::from_millis),
        traceparent,
    }
}

fn header(request: &Request, name: &str) -> Option<String> {
    let values = request.header(name)?;
    Some(values.last().as_str().to_owned())
}

fn reply(outcome: Result<ServiceResponse, UpstreamError>) -> Reply {
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
            Ok(with_retry(response, retry_after))
        }
        Err(fault) => Err(cut(&fault)),
    }
}

fn answer_response(answer: ServiceResponse) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", answer.content_type);
    response
}
