//! HTTP client of the host list.

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
        answer::{check_status, decode_body},
        wire::HostDeparture,
    },
};

/// Client of the host list at one address.
#[derive(Clone, Debug)]
pub struct HttpHosts {
    client: HttpClient,
}

impl HttpHosts {
    /// Creates a client for `address`, an IP address and port, with at most `timeout`
    /// for each call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, timeout),
        }
    }
}

#[async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let step = "host list";
        let request = self.client.request(step, Method::Get, "/hosts")?;
        let response = self.client.call(step, request).await?;
        decode_body(&self.client, step, response)
    }
}

/// Adds a process's own entry to the host list, updates it and removes it.
#[derive(Clone, Debug)]
pub struct HostRegistrar {
    client: HttpClient,
}

impl HostRegistrar {
    /// Creates a client for `address`, an IP address and port, with at most `timeout`
    /// for each call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, timeout),
        }
    }

    /// Adds `entry` to the list, or replaces the listed entry unless that has a newer
    /// incarnation.
    ///
    /// # Errors
    /// `PlatformError` when the host list does not confirm.
    pub async fn register(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        self.post_and_check("host register", "/hosts/register", entry)
            .await
    }

    /// Marks the host of `entry` as leaving.
    ///
    /// # Errors
    /// `PlatformError` when the host list does not confirm.
    pub async fn leave(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let departure = departure(entry);
        self.post_and_check("host leaving", "/hosts/leaving", &departure)
            .await
    }

    /// Removes the host of `entry` from the list.
    ///
    /// # Errors
    /// `PlatformError` when the host list does not confirm.
    pub async fn deregister(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let departure = departure(entry);
        self.post_and_check("host deregister", "/hosts/deregister", &departure)
            .await
    }

    async fn post_and_check<T: Serialize + Sync>(
        &self,
        step: &str,
        path: &str,
        body: &T,
    ) -> Result<(), PlatformError> {
        let request = self.client.post(step, path, body)?;
        let response = self.client.call(step, request).await?;
        check_status(&self.client, step, response)?;
        Ok(())
    }
}

fn departure(entry: &HostEntry) -> HostDeparture {
    HostDeparture {
        id: entry.id.clone(),
        incarnation: entry.incarnation,
    }
}
