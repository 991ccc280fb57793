//! The host list over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use http_types::Method;
use kernel::ClockSource;
use serde::Serialize;
use transport::HttpClient;

use crate::{
    HostEntry, HostList,
    http::{
        answer::{check, decode},
        wire::HostDeparture,
    },
};

/// The host list at one address.
#[derive(Clone, Debug)]
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// The list at `address`, an IP number and port, with at most `limit` a
    /// call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
        }
    }
}

#[async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let step = "host list";
        let request = self.client.request(step, Method::Get, "/hosts")?;
        let response = self.client.call(step, request).await?;
        decode(&self.client, step, response)
    }
}

/// Puts a process's own entry on the host list and takes it off.
#[derive(Clone, Debug)]
pub struct HostRegistrar {
    client: HttpClient,
}

impl HostRegistrar {
    /// The list at `address`, an IP number and port, with at most `limit` a
    /// call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
        }
    }

    /// Lists `entry`, or replaces an older incarnation of it.
    ///
    /// # Errors
    /// `PlatformError`.
    pub async fn register(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        self.tell("host register", "/hosts/register", entry).await
    }

    /// Marks `entry` as leaving.
    ///
    /// # Errors
    /// `PlatformError`.
    pub async fn leave(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let departure = departure(entry);
        self.tell("host leaving", "/hosts/leaving", &departure)
            .await
    }

    /// Takes `entry` off the list.
    ///
    /// # Errors
    /// `PlatformError`.
    pub async fn deregister(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let departure = departure(entry);
        self.tell("host deregister", "/hosts/deregister", &departure)
            .await
    }

    async fn tell<T: Serialize + Sync>(
        &self,
        step: &str,
        path: &str,
        body: &T,
    ) -> Result<(), PlatformError> {
        let request = self.client.post(step, path, body)?;
        let response = self.client.call(step, request).await?;
        check(&self.client, step, response)?;
        Ok(())
    }
}

fn departure(entry: &HostEntry) -> HostDeparture {
    HostDeparture {
        id: entry.id.clone(),
        incarnation: entry.incarnation,
    }
}
