//! The object store, the weight store and the host list.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, ModelId, ModelVersion, UpstreamId, ZoneId};

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    /// `PlatformError`.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Writes an object whole.
    ///
    /// # Errors
    /// `PlatformError`.
    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError>;
}

/// Leave to load weights, given by the weight store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WeightSlot {
    /// Names the slot towards the engine that loads.
    pub slot: String,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Time within which the load must begin.
    pub valid_for: Duration,
}

/// The platform's rate-limited weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Asks for leave to load one model's weights.
    ///
    /// # Errors
    /// `PlatformError::Refused` with `retry_after` when the rate is used up.
    async fn slot(
        &self,
        model: &ModelId,
        version: &ModelVersion,
    ) -> Result<WeightSlot, PlatformError>;
}

/// What runs on a listed host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// An entry host with a node.
    Node,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of a listed host; the list lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostEntry {
    /// Unique id.
    pub id: UpstreamId,
    /// What runs there.
    pub kind: HostKind,
    /// For a plain service, the name callers use; else empty.
    pub service: String,
    /// IP number and port: for nodes the port for other nodes, for upstreams
    /// the port for calls.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// State.
    pub state: HostState,
    /// Life of the process behind the id.
    pub incarnation: IncarnationNumber,
}

/// The platform's lagging list of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    /// `PlatformError`.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
