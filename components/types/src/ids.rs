//! Type aliases for identifiers, version numbers and token counts.

/// Id of one node, the daemon on an entry host (a host that takes callers'
/// requests); set in its settings and unique across the fleet.
pub type NodeId = String;
/// Id of one upstream, a model engine or a plain service, from the host list.
pub type UpstreamId = String;
/// Id of one model engine; engines are upstreams, so it is an upstream id.
pub type EngineId = UpstreamId;
/// Name of one plain service, as callers use it in the path of a request.
pub type ServiceName = String;
/// Id of one organisation, from the release note.
pub type OrganisationId = String;
/// Id of one model, from the release note.
pub type ModelId = String;
/// Id of one adapter, from the release note.
pub type AdapterId = String;
/// Version of a model's weights, from the release note.
pub type ModelVersion = String;
/// Name of an availability zone, in which nodes and engines run.
pub type ZoneId = String;
/// Name of a region, which has several availability zones.
pub type RegionId = String;
/// Id of one caller's request; unique across the fleet.
pub type RequestId = String;
/// Number of an attempt of one request, starting at 1.
pub type AttemptId = u32;
/// Version of an accepted release note, starting at 1; 0 means that there is none.
pub type NoteVersion = u64;
/// Fencing number that orders the successive owners of an engine; the highest is
/// the current owner's.
pub type FencingNumber = u64;
/// Number that orders the successive processes under one id; the highest is the
/// newest process.
pub type IncarnationNumber = u64;
/// Version of a row in the table service, starting at 1.
pub type RowVersion = u64;
/// Number of prompt or output tokens.
pub type TokenCount = u64;
/// Id of one part of a prompt; requests whose prompts share a part share its id.
pub type PromptPartId = u64;
/// Hash of a prompt prefix that ends on an estimated boundary of prefix cache
/// blocks, see `prefix_hashes`.
pub type PrefixHash = u64;
