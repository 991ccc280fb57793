//! HTTP client of the object store.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use http_types::{Method, Request};
use kernel::ClockSource;
use transport::HttpClient;

use crate::{ObjectStore, http::answer::check_status};

const STATUS_NOT_FOUND: u16 = 404;

/// Client of the object store at one address.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    client: HttpClient,
}

impl HttpObjects {
    /// Creates a client for `address`, an IP address and port, with at most `timeout`
    /// for each call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, timeout),
        }
    }

    fn request(&self, step: &str, method: Method, key: &str) -> Result<Request, PlatformError> {
        let mut request = self.client.request(step, method, "/objects")?;
        request.url_mut().query_pairs_mut().append_pair("key", key);
        Ok(request)
    }
}

#[async_trait]
impl ObjectStore for HttpObjects {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let step = "object get";
        let request = self.request(step, Method::Get, key)?;
        let response = self.client.call(step, request).await?;
        if response.status() == STATUS_NOT_FOUND {
            return Ok(None);
        }
        let response = check_status(&self.client, step, response)?;
        Ok(Some(response.into_body()))
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let step = "object put";
        let mut request = self.request(step, Method::Put, key)?;
        request.set_body(body);
        let response = self.client.call(step, request).await?;
        check_status(&self.client, step, response)?;
        Ok(())
    }
}
