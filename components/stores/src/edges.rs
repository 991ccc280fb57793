//! Interfaces to the object store, the weight store and the host list.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, ModelId, ModelVersion, UpstreamId, ZoneId};

/// Operations of the platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` when the key does not exist.
    ///
    /// # Errors
    /// `PlatformError` when no valid response arrives.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Creates an object or replaces it completely.
    ///
    /// # Errors
    /// `PlatformError`; its `effect_unknown` tells whether the write may have applied.
    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError>;
}

/// Permission from the weight store to load a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WeightSlot {
    /// Name of the slot, passed on to the engine that loads the weights.
    pub slot: String,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Time within which the load must start.
    pub valid_for: Duration,
}

/// Operations of the platform's rate-limited weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Requests permission to load the weights of a model version.
    ///
    /// # Errors
    /// `PlatformError::Refused` with `retry_after` when the rate limit is reached.
    async fn slot(
        &self,
        model: &ModelId,
        version: &ModelVersion,
    ) -> Result<WeightSlot, PlatformError>;
}

/// Kind of process that runs on a listed host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// Node of this project, which runs on an entry host.
    Node,
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// State of a listed host. May be outdated, because the list lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Accepts work.
    Live,
    /// Drains: accepts no new work.
    Leaving,
}

/// Entry of the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostEntry {
    /// Unique id of the node or upstream.
    pub id: UpstreamId,
    /// Kind of process that runs on the host.
    pub kind: HostKind,
    /// Name by which callers address a plain service; empty for other kinds.
    pub service: String,
    /// IP address and port. For a node, the port for other nodes; for an upstream,
    /// the port for calls.
    pub address: String,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Whether the host accepts new work.
    pub state: HostState,
    /// Incarnation of the process; higher after each restart.
    pub incarnation: IncarnationNumber,
}

/// The platform's list of live and leaving hosts, which lags behind changes.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the complete list.
    ///
    /// # Errors
    /// `PlatformError` when no valid response arrives.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
