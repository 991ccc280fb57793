//! The weight store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use transport::HttpClient;
use types::{ModelId, ModelVersion};

use crate::{
    WeightSlot, WeightStore,
    http::{answer::decode, wire::SlotRequest},
};

/// The weight store at one address.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    client: HttpClient,
}

impl HttpWeights {
    /// The store at `address`, an IP number and port, with at most `limit` a
    /// call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
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
        decode(&self.client, step, response)
    }
}
