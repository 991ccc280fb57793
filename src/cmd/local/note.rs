//! The first release note, the names and the keys of a local fleet.

use std::collections::BTreeMap;

use entry::key_digest;
use notes::{
    ModelEntry, NoteDocument, NoteEntries, OrganisationEntry, OrganisationLimits, ServiceEntry,
    ServiceGuarantee, WithdrawnNames,
};
use types::PlanKind;

/// Name of the only model in the first release note.
pub const LOCAL_MODEL: &str = "atlas";
/// Name of the only plain service in the first release note.
pub const LOCAL_SERVICE: &str = "notices";
/// Key that authorises operator calls to a local fleet.
pub const OPERATOR_KEY: &str = "local-operator-key";
/// Key for callers of the paying organisation `lakeshore`.
pub const PAYING_KEY: &str = "local-paying-key";
/// Key for callers of the trial organisation `visitor`.
pub const TRIAL_KEY: &str = "local-trial-key";
/// Version of [`LOCAL_MODEL`] in the first release note and on the engines.
pub(super) const MODEL_VERSION: &str = "1";

/// Builds the first release note: one model, one service, a paying and a trial
/// organisation.
#[must_use]
pub fn first_note() -> NoteDocument {
    let model = ModelEntry {
        version: MODEL_VERSION.to_owned(),
        context_tokens: 1_100_000,
        copies: 1,
    };
    let service = ServiceEntry {
        guarantee: ServiceGuarantee::None,
        timeout_ms: 5_000,
    };
    NoteDocument {
        summary: "first organisations of a local fleet".to_owned(),
        added: NoteEntries {
            organisations: BTreeMap::from([
                (
                    "lakeshore".to_owned(),
                    organisation(PlanKind::Paying, PAYING_KEY),
                ),
                (
                    "visitor".to_owned(),
                    organisation(PlanKind::Trial, TRIAL_KEY),
                ),
            ]),
            models: BTreeMap::from([(LOCAL_MODEL.to_owned(), model)]),
            adapters: BTreeMap::new(),
            services: BTreeMap::from([(LOCAL_SERVICE.to_owned(), service)]),
        },
        changed: NoteEntries::default(),
        withdrawn: WithdrawnNames::default(),
    }
}

fn organisation(plan: PlanKind, key: &str) -> OrganisationEntry {
    OrganisationEntry {
        plan,
        key_digests: vec![key_digest(key)],
        weight: 1,
        limits: OrganisationLimits {
            requests_per_second: 100_000,
            tokens_per_minute: 100_000_000_000,
            concurrent_requests: 10_000,
        },
        models: vec![LOCAL_MODEL.to_owned()],
        adapters: Vec::new(),
        services: vec![LOCAL_SERVICE.to_owned()],
    }
}
