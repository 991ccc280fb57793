//! Format of a release note as operators write it: a change to the fleet's
//! state, not the complete state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{AdapterId, ModelId, ModelVersion, OrganisationId, PlanKind, ServiceName, TokenCount};

/// Limits of an organisation over the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Maximum rate of requests.
    pub requests_per_second: u32,
    /// Maximum rate of prompt and completion tokens.
    pub tokens_per_minute: TokenCount,
    /// Maximum number of requests in flight.
    pub concurrent_requests: u32,
}

/// Plan, keys, limits and permissions of an organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Paying or trial plan.
    pub plan: PlanKind,
    /// SHA-256 digests of its API keys, in lower-case hexadecimal.
    pub key_digests: Vec<String>,
    /// Weight of its share among the organisations of its plan; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rate and concurrency limits over the whole fleet.
    pub limits: OrganisationLimits,
    /// Models that it may use.
    pub models: Vec<ModelId>,
    /// Adapters that it may use; it needs their models too.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Plain services that it may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// Version, context length and minimum number of copies of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version that engines serve.
    pub version: ModelVersion,
    /// Context length: maximum sum of the prompt and completion tokens of a
    /// request.
    pub context_tokens: TokenCount,
    /// Minimum number of engines that keep the model loaded.
    #[serde(default = "default_copies")]
    pub copies: u32,
}

/// Model and version of an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Base model of the adapter.
    pub model: ModelId,
    /// Version that engines serve.
    pub version: ModelVersion,
}

/// Guarantee of a service for repeated orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceGuarantee {
    /// Running an order again has no further effect.
    Idempotent,
    /// The service runs one order per key that it receives.
    Deduplicated,
    /// The service refuses an order with an old fencing number.
    Fenced,
    /// No guarantee: an order sent twice runs twice.
    None,
}

/// Guarantee and time limit of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Guarantee for repeated orders.
    pub guarantee: ServiceGuarantee,
    /// Time limit of a call in milliseconds.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

/// A release note: the entries that it adds, changes and withdraws.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteDocument {
    /// Purpose of the note, as free text of the operator.
    pub summary: String,
    /// Entries whose names are not in force yet.
    pub added: NoteEntries,
    /// Entries that replace those of the same name.
    pub changed: NoteEntries,
    /// Names of the entries to remove.
    pub withdrawn: WithdrawnNames,
}

/// Added or changed entries of a note, by kind and name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteEntries {
    /// Organisations by id.
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Models by id.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Adapters by id.
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

/// Names of the entries that a note removes, by kind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WithdrawnNames {
    /// Ids of organisations to remove.
    pub organisations: Vec<OrganisationId>,
    /// Ids of models to remove.
    pub models: Vec<ModelId>,
    /// Ids of adapters to remove.
    pub adapters: Vec<AdapterId>,
    /// Names of plain services to remove.
    pub services: Vec<ServiceName>,
}

fn default_weight() -> u32 {
    1
}

fn default_copies() -> u32 {
    1
}

fn default_service_timeout_ms() -> u64 {
    5_000
}
