//! HTTP client of the weight store.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use transport::HttpClient;
use types::{ModelId, ModelVersion};

use crate::{
    WeightSlot, WeightStore,
    http::{answer::decode_body, wire::SlotRequest},
};

/// Client of the weight store at one address.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    client: HttpClient,
}

impl HttpWeights {
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
impl WeightStore for HttpWeights {
    async fn slot(
        &self,
        model: &ModelId,
        version: &ModelVersion,
    ) -> Result<WeightSlot, PlatformError> {
        let step = "weight slot";
        let body = SlotRequest {
            model: model.clone(),
            version: version.clone(),
        };
        let request = self.client.post(step, "/weights/slot", &body)?;
        let response = self.client.call(step, request).await?;
        decode_body(&self.client, step, response)
    }
}
