//! Authenticates callers and operators and checks what a caller may use.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind, HeaderName, digest_matches};
use notes::{FleetState, OrganisationEntry, VersionGate};
use types::{AdapterId, ModelId, ModelVersion, NoteVersion, OrganisationId, ServiceName};

use super::ApiContext;

const NOTE_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
const NOTE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An authenticated caller and its rights under one release note.
pub struct CallerAccess {
    /// Organisation that the caller's key belongs to.
    pub organisation: OrganisationId,
    /// The organisation's entry in the release note: plan, models and services.
    pub entry: OrganisationEntry,
    /// Fleet state in force when the request was admitted.
    pub state: Arc<FleetState>,
}

/// Model, version and adapter that a name refers to under one release note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedModel {
    /// Model to run; for an adapter, its base model.
    pub model: ModelId,
    /// Version of the model in the release note.
    pub version: ModelVersion,
    /// Adapter, if the name refers to one.
    pub adapter: Option<AdapterId>,
}

/// Authenticates the caller by its API key.
///
/// # Errors
/// `ApiFailure` when the key is missing or unknown, when the note version header is
/// malformed, when this node has not yet confirmed after a start or a pause that its
/// release note is the newest, or when the caller was last served under a newer one.
pub async fn authenticate(
    context: &ApiContext,
    request: &EntryRequest,
) -> Result<CallerAccess, ApiFailure> {
    let seen_version: NoteVersion = request.number(HeaderName::NoteVersion)?.unwrap_or(0);
    require_version(context, seen_version).await?;
    let digest = request.key_digest().ok_or_else(missing_key_failure)?;
    let state = context.notes.current();
    let organisation = context
        .keys
        .organisation_of(&state, &digest)
        .ok_or_else(unknown_key_failure)?;
    let entry = state
        .organisations
        .get(&organisation)
        .ok_or_else(unknown_key_failure)?;
    Ok(CallerAccess {
        organisation,
        entry: entry.clone(),
        state: Arc::clone(&state),
    })
}

/// Requires that the release note in force is not older than the one the caller
/// was last served under. Waits up to `NOTE_WAIT_TIMEOUT` for a newer one.
async fn require_version(
    context: &ApiContext,
    seen_version: NoteVersion,
) -> Result<(), ApiFailure> {
    match context
        .notes
        .wait_for_gate(seen_version, NOTE_WAIT_TIMEOUT)
        .await
    {
        VersionGate::Serve => Ok(()),
        VersionGate::Await(required_version) => Err(note_behind_failure(
            context.notes.current().version,
            required_version,
        )),
        VersionGate::NotReady => Err(not_ready_failure()),
    }
}

/// Requires an operator's key.
///
/// # Errors
/// `ApiFailure` when the key is missing or is not an operator's.
pub fn require_operator(context: &ApiContext, request: &EntryRequest) -> Result<(), ApiFailure> {
    let digest = request.key_digest().ok_or_else(missing_key_failure)?;
    let known = &context.settings.operator_key_digests;
    if known
        .iter()
        .fold(false, |found, known| digest_matches(known, &digest) | found)
    {
        return Ok(());
    }
    Err(ApiFailure::new(
        FailureKind::Forbidden,
        "operator_key_required",
        "this needs an operator's key; see operator_key_digests in the node's settings",
    ))
}

impl CallerAccess {
    /// Resolves `name`, a model or an adapter.
    ///
    /// # Errors
    /// `ApiFailure` when the name is unknown or the organisation may not use it.
    pub fn resolve_model(&self, name: &str) -> Result<ResolvedModel, ApiFailure> {
        let name = name.to_owned();
        if self.entry.models.contains(&name)
            && let Some(model) = self.state.models.get(&name)
        {
            return Ok(ResolvedModel {
                version: model.version.clone(),
                model: name,
                adapter: None,
            });
        }
        self.resolve_adapter(&name).ok_or_else(|| {
            let message = format!(
                "{name} is no model or adapter of organisation {} under release note {}",
                self.organisation, self.state.version
            );
            ApiFailure::new(FailureKind::NotFound, "unknown_model", message).with_param("model")
        })
    }

    fn resolve_adapter(&self, name: &AdapterId) -> Option<ResolvedModel> {
        if !self.entry.adapters.contains(name) {
            return None;
        }
        let adapter = self.state.adapters.get(name)?;
        let model = self.state.models.get(&adapter.model)?;
        Some(ResolvedModel {
            model: adapter.model.clone(),
            version: model.version.clone(),
            adapter: Some(name.clone()),
        })
    }

    /// Checks that the organisation may use a service.
    ///
    /// # Errors
    /// `ApiFailure` when it may not.
    pub fn require_service(&self, name: &ServiceName) -> Result<(), ApiFailure> {
        if self.entry.services.contains(name) && self.state.services.contains_key(name) {
            return Ok(());
        }
        let message = format!(
            "{name} is no service of organisation {} under release note {}; nothing was run",
            self.organisation, self.state.version
        );
        Err(ApiFailure::new(
            FailureKind::NotFound,
            "unknown_service",
            message,
        ))
    }
}

fn missing_key_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unauthorized,
        "missing_key",
        "send the key as: Authorization: Bearer KEY",
    )
}

fn unknown_key_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unauthorized,
        "unknown_key",
        "no organisation of the release note in force has this key",
    )
}

/// Builds the failure of a node that does not know yet which release note is in
/// force.
pub fn not_ready_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unavailable,
        "not_ready",
        "this node does not know yet which release note is in force; nothing was run; use \
         another address",
    )
    .with_retry_after(NOTE_RETRY_AFTER)
}

fn note_behind_failure(version: NoteVersion, required_version: NoteVersion) -> ApiFailure {
    let message = format!(
        "this node has release note {version} in force, and you were served under \
         {required_version}; nothing was run; use another address"
    );
    ApiFailure::new(FailureKind::Unavailable, "note_behind", message)
        .with_retry_after(NOTE_RETRY_AFTER)
}
