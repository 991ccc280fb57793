//! The release note as operators write it: a change, not a whole state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{AdapterId, ModelId, ModelVersion, OrganisationId, PlanKind, ServiceName, TokenCount};

/// Limits of one organisation, fleet-wide.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Requests a second.
    pub requests_per_second: u32,
    /// Prompt and answer tokens a minute.
    pub tokens_per_minute: TokenCount,
    /// Requests under way at once.
    pub concurrent_requests: u32,
}

/// One organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Paying or trial.
    pub plan: PlanKind,
    /// SHA-256 digests of its keys, in hexadecimal.
    pub key_digests: Vec<String>,
    /// Share among the organisations of its plan; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits.
    pub limits: OrganisationLimits,
    /// Models it may use.
    pub models: Vec<ModelId>,
    /// Adapters it may use.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Services it may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// One model.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version in force.
    pub version: ModelVersion,
    /// Longest prompt in tokens.
    pub context_tokens: TokenCount,
    /// Fewest engines that hold it ready.
    #[serde(default = "default_copies")]
    pub copies: u32,
}

/// One adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Model it belongs to.
    pub model: ModelId,
    /// Version in force.
    pub version: ModelVersion,
}

/// What a service promises about repeated orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceGuarantee {
    /// Repeating an order changes nothing.
    Idempotent,
    /// The service runs one order for each key it is given.
    Deduplicated,
    /// The service refuses an order with an old fencing number.
    Fenced,
    /// Nothing: an order sent twice runs twice.
    None,
}

/// One plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// What it promises about repeated orders.
    pub guarantee: ServiceGuarantee,
    /// Time limit of one call in milliseconds.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

/// A release note: entries added, changed and withdrawn.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteDocument {
    /// What the note is for, in the operator's words.
    pub summary: String,
    /// New entries.
    pub added: NoteEntries,
    /// Entries that replace ones of the same name.
    pub changed: NoteEntries,
    /// Names that go out of force.
    pub withdrawn: WithdrawnNames,
}

/// Entries by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteEntries {
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Models.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

/// Names that go out of force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WithdrawnNames {
    /// Organisations.
    pub organisations: Vec<OrganisationId>,
    /// Models.
    pub models: Vec<ModelId>,
    /// Adapters.
    pub adapters: Vec<AdapterId>,
    /// Plain services.
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
