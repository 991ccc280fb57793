//! The object store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use http_types::{Method, Request};
use kernel::ClockSource;
use transport::HttpClient;

use crate::{ObjectStore, http::answer::check};

const STATUS_NOT_FOUND: u16 = 404;

/// The object store at one address.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    client: HttpClient,
}

impl HttpObjects {
    /// The store at `address`, an IP number and port, with at most `limit` a
    /// call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
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
        let response = check(&self.client, step, response)?;
        Ok(Some(response.into_body()))
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let step = "object put";
        let mut request = self.request(step, Method::Put, key)?;
        request.set_body(body);
        let response = self.client.call(step, request).await?;
        check(&self.client, step, response)?;
        Ok(())
    }
}
