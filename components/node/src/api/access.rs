//! Who a caller is and what it may use.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind, HeaderName, digest_matches};
use notes::{FleetState, OrganisationEntry, VersionGate};
use types::{AdapterId, ModelId, ModelVersion, NoteVersion, OrganisationId, ServiceName};

use super::ApiParts;

const GATE_LIMIT: Duration = Duration::from_millis(500);
const NOTE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A caller whose key has been recognised, under one release note.
pub struct CallerAccess {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its entry.
    pub entry: OrganisationEntry,
    /// The state in force when the request was admitted.
    pub state: Arc<FleetState>,
}

/// What a model name stands for under one release note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedModel {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: ModelVersion,
    /// The adapter, if the name was an adapter's.
    pub adapter: Option<AdapterId>,
}

/// Recognises the caller.
///
/// # Errors
/// `ApiFailure` without a known key, or when this node has an older note in
/// force than the caller has been served under.
pub async fn recognise(
    parts: &ApiParts,
    request: &EntryRequest,
) -> Result<CallerAccess, ApiFailure> {
    let shown: NoteVersion = request.number(HeaderName::NoteVersion)?.unwrap_or(0);
    require_version(parts, shown).await?;
    let digest = request.key_digest().ok_or_else(missing_key)?;
    let state = parts.notes.current();
    let organisation = parts
        .keys
        .organisation_of(&state, &digest)
        .ok_or_else(unknown_key)?;
    let entry = state
        .organisations
        .get(&organisation)
        .ok_or_else(unknown_key)?;
    Ok(CallerAccess {
        organisation,
        entry: entry.clone(),
        state: Arc::clone(&state),
    })
}

/// Requires that the note in force is not older than one the caller was
/// served under; a newer one is waited for, for a moment.
async fn require_version(parts: &ApiParts, shown: NoteVersion) -> Result<(), ApiFailure> {
    match parts.notes.wait_for_gate(shown, GATE_LIMIT).await {
        VersionGate::Serve => Ok(()),
        VersionGate::Await(least) => Err(note_behind(parts.notes.current().version, least)),
        VersionGate::NotReady => Err(not_ready()),
    }
}

/// Requires an operator's key.
///
/// # Errors
/// `ApiFailure` without one.
pub fn require_operator(parts: &ApiParts, request: &EntryRequest) -> Result<(), ApiFailure> {
    let digest = request.key_digest().ok_or_else(missing_key)?;
    let known = &parts.settings.operator_key_digests;
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
    /// What `name`, a model or an adapter, stands for.
    ///
    /// # Errors
    /// `ApiFailure` when the organisation may not use it.
    pub fn resolve(&self, name: &str) -> Result<ResolvedModel, ApiFailure> {
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

    /// Requires that the organisation may use a service.
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

fn missing_key() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unauthorized,
        "missing_key",
        "send the key as: Authorization: Bearer KEY",
    )
}

fn unknown_key() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unauthorized,
        "unknown_key",
        "no organisation of the release note in force has this key",
    )
}

/// The failure of a node that does not know yet what is in force.
pub fn not_ready() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unavailable,
        "not_ready",
        "this node does not know yet which release note is in force; nothing was run; use \
         another address",
    )
    .with_retry_after(NOTE_RETRY_AFTER)
}

fn note_behind(version: NoteVersion, least: NoteVersion) -> ApiFailure {
    let message = format!(
        "this node has release note {version} in force, and you were served under {least}; \
         nothing was run; use another address"
    );
    ApiFailure::new(FailureKind::Unavailable, "note_behind", message)
        .with_retry_after(NOTE_RETRY_AFTER)
}
