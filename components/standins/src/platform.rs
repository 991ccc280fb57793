//! Stand-in of the platform: serves the table service, object store, weight store
//! and host list at one address.

use std::{io, sync::Arc, time::Duration};

use http_types::{Method, Request, Response, StatusCode};
use kernel::{CancellationToken, ClockSource};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use stores::{
    HostDeparture, HostEntry, HostList, ObjectStore, ReadRequest, ReadResponse, ScanRequest,
    ScanResponse, SlotRequest, TableService, TransactRequest, TransactResponse, WeightStore,
    fakes::{
        FaultInjector, InjectedFaults, MemoryHosts, MemoryObjects, MemoryTable, MemoryWeights,
        WeightRate,
    },
};

use crate::{
    reply::{Reply, json, no_content, platform_reply, read_json, unknown_path_response},
    serve::{StandinCall, serve},
};

/// Settings of the platform stand-in. Sizes in bytes, times in milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Injected faults, rate limits and replication lag of the table service.
    pub table: InjectedFaults,
    /// Injected faults and rate limits of the object store.
    pub objects: InjectedFaults,
    /// Injected faults and rate limits of the weight store.
    pub weights: InjectedFaults,
    /// Injected faults and replication lag of the host list.
    pub hosts: InjectedFaults,
    /// Interval at which the weight store grants slots.
    pub weight_interval_ms: u64,
    /// Maximum number of weight slots granted at once after an idle time.
    pub weight_burst: u32,
    /// Size of each model's weights.
    pub weight_bytes: u64,
    /// Time after the grant of a slot within which the load must start.
    pub weight_valid_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            table: InjectedFaults::default(),
            objects: InjectedFaults::default(),
            weights: InjectedFaults::default(),
            hosts: InjectedFaults::default(),
            weight_interval_ms: 1_000,
            weight_burst: 4,
            weight_bytes: 140_000_000_000,
            weight_valid_ms: 30_000,
        }
    }
}

impl PlatformSettings {
    fn weight_rate(&self) -> WeightRate {
        WeightRate {
            interval: Duration::from_millis(self.weight_interval_ms),
            burst: self.weight_burst,
            bytes: self.weight_bytes,
            valid_for: Duration::from_millis(self.weight_valid_ms),
        }
    }
}

/// HTTP server of the platform stand-in.
pub struct PlatformServer {
    listener: TcpListener,
    address: String,
    table: MemoryTable,
    objects: MemoryObjects,
    weights: MemoryWeights,
    hosts: MemoryHosts,
}

impl PlatformServer {
    /// Binds to `address`, an IP address and port; with port 0 the system chooses
    /// a free port.
    ///
    /// # Errors
    /// The I/O error of binding the address.
    pub async fn bind(
        address: &str,
        settings: PlatformSettings,
        clock: ClockSource,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let rate = settings.weight_rate();
        let server = Self {
            listener,
            address,
            table: MemoryTable::new(clock.clone()),
            objects: MemoryObjects::new(clock.clone()),
            weights: MemoryWeights::new(clock.clone(), rate),
            hosts: MemoryHosts::new(clock),
        };
        server.table.fault_injector().set(settings.table);
        server.objects.fault_injector().set(settings.objects);
        server.weights.fault_injector().set(settings.weights);
        server.hosts.fault_injector().set(settings.hosts);
        Ok(Arc::new(server))
    }

    /// The address this server listens on, as IP and port.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The table service, to inject faults and inspect rows.
    #[must_use]
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// The object store, to inject faults and inspect objects.
    #[must_use]
    pub fn objects(&self) -> &MemoryObjects {
        &self.objects
    }

    /// The weight store, to inject faults.
    #[must_use]
    pub fn weights(&self) -> &MemoryWeights {
        &self.weights
    }

    /// The host list, to inject lag and faults.
    #[must_use]
    pub fn hosts(&self) -> &MemoryHosts {
        &self.hosts
    }

    /// Serves until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let server = self.clone();
        let endpoint = move |call: StandinCall| {
            let server = server.clone();
            async move { server.handle_request(call.request).await }
        };
        serve(&self.listener, &token, endpoint).await;
    }

    async fn handle_request(&self, mut request: Request) -> Reply {
        let path = request.url().path().to_owned();
        if let Some(edge) = path.strip_prefix("/control/faults/") {
            return self.control(edge, &mut request).await;
        }
        match (request.method(), path.as_str()) {
            (Method::Post, "/table/read") => self.read(&mut request).await,
            (Method::Post, "/table/scan") => self.scan(&mut request).await,
            (Method::Post, "/table/transact") => self.transact(&mut request).await,
            (Method::Get, "/objects") => self.get_object(&request).await,
            (Method::Put, "/objects") => self.put_object(&mut request).await,
            (Method::Post, "/weights/slot") => self.claim_slot(&mut request).await,
            (Method::Get, "/hosts") => self.list_hosts().await,
            (Method::Post, "/hosts/register") => self.register(&mut request).await,
            (Method::Post, "/hosts/leaving") => self.leave(&mut request).await,
            (Method::Post, "/hosts/deregister") => self.deregister(&mut request).await,
            (Method::Post, "/control/release") => Ok(self.release_held_writes()),
            _ => Ok(unknown_path_response()),
        }
    }

    async fn read(&self, request: &mut Request) -> Reply {
        let call: ReadRequest = read_json(request).await?;
        let outcome = self.table.read(&call.table, &call.key, call.mode).await;
        let success = |row| json(StatusCode::Ok, &ReadResponse { row });
        platform_reply(outcome, success)
    }

    async fn scan(&self, request: &mut Request) -> Reply {
        let call: ScanRequest = read_json(request).await?;
        let after = call.after.as_deref();
        let scan = self
            .table
            .scan(&call.table, &call.prefix, after, call.limit, call.mode);
        let success = |rows| json(StatusCode::Ok, &ScanResponse { rows });
        platform_reply(scan.await, success)
    }

    async fn transact(&self, request: &mut Request) -> Reply {
        let call: TransactRequest = read_json(request).await?;
        let outcome = self.table.transact(call.writes).await;
        let success = |versions| json(StatusCode::Ok, &TransactResponse { versions });
        platform_reply(outcome, success)
    }

    async fn get_object(&self, request: &Request) -> Reply {
        let key = object_key(request);
        let outcome = self.objects.get(&key).await;
        platform_reply(outcome, object_response)
    }

    async fn put_object(&self, request: &mut Request) -> Reply {
        let key = object_key(request);
        let body = request.body_bytes().await?;
        let outcome = self.objects.put(&key, body).await;
        platform_reply(outcome, |()| no_content())
    }

    async fn claim_slot(&self, request: &mut Request) -> Reply {
        let call: SlotRequest = read_json(request).await?;
        let outcome = self.weights.slot(&call.model, &call.version).await;
        platform_reply(outcome, |slot| json(StatusCode::Ok, &slot))
    }

    async fn list_hosts(&self) -> Reply {
        let outcome = self.hosts.hosts().await;
        platform_reply(outcome, |hosts| json(StatusCode::Ok, &hosts))
    }

    async fn register(&self, request: &mut Request) -> Reply {
        let entry: HostEntry = read_json(request).await?;
        self.hosts.register(entry);
        Ok(no_content())
    }

    async fn leave(&self, request: &mut Request) -> Reply {
        let departure: HostDeparture = read_json(request).await?;
        self.hosts.leave(&departure);
        Ok(no_content())
    }

    async fn deregister(&self, request: &mut Request) -> Reply {
        let departure: HostDeparture = read_json(request).await?;
        self.hosts.deregister(&departure);
        Ok(no_content())
    }

    fn release_held_writes(&self) -> Response {
        let released = self.table.release_held();
        json(StatusCode::Ok, &released)
    }

    async fn control(&self, edge: &str, request: &mut Request) -> Reply {
        let Some(injector) = self.injector_of(edge) else {
            return Ok(unknown_path_response());
        };
        if request.method() == Method::Get {
            return Ok(json(StatusCode::Ok, &injector.faults()));
        }
        let faults: InjectedFaults = read_json(request).await?;
        log::info!("event=standin_faults_set edge={edge}");
        injector.set(faults);
        Ok(no_content())
    }

    fn injector_of(&self, edge: &str) -> Option<&FaultInjector> {
        match edge {
            "table" => Some(self.table.fault_injector()),
            "objects" => Some(self.objects.fault_injector()),
            "weights" => Some(self.weights.fault_injector()),
            "hosts" => Some(self.hosts.fault_injector()),
            _ => None,
        }
    }
}

fn object_key(request: &Request) -> String {
    let pairs = request.url().query_pairs();
    let key = pairs.into_iter().find(|(name, _)| name == "key");
    key.map(|(_, value)| value.into_owned()).unwrap_or_default()
}

fn object_response(object: Option<Vec<u8>>) -> Response {
    match object {
        Some(body) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response
        }
        None => Response::new(StatusCode::NotFound),
    }
}
