//! Type aliases for identifiers and counted quantities.

/// Names one entry host's daemon; unique across the fleet, from its settings.
pub type NodeId = String;
/// Names one upstream of either kind, as the host list gives it.
pub type UpstreamId = String;
/// Names one model engine; an upstream id.
pub type EngineId = UpstreamId;
/// Names one plain service as callers see it.
pub type ServiceName = String;
/// Names one organisation of the release note.
pub type OrganisationId = String;
/// Names one model of the release note.
pub type ModelId = String;
/// Names one adapter of the release note.
pub type AdapterId = String;
/// Names one version of a model's weights.
pub type ModelVersion = String;
/// Names one availability zone.
pub type ZoneId = String;
/// Names one region.
pub type RegionId = String;
/// Names one caller's request; unique across the fleet.
pub type RequestId = String;
/// Numbers the attempts of one request, from 1.
pub type AttemptId = u32;
/// Numbers accepted release notes, from 1; 0 means none.
pub type NoteVersion = u64;
/// Orders the owners of one engine; a higher number is newer.
pub type FencingNumber = u64;
/// Orders the lives of a process behind one id; a higher number is newer.
pub type IncarnationNumber = u64;
/// Version of a row in the table service, from 1.
pub type RowVersion = u64;
/// A count of tokens.
pub type TokenCount = u64;
/// Hash of a prompt prefix that ends on a cache block border.
pub type PrefixHash = u64;
