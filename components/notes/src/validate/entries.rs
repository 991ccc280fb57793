//! Each entry by itself: names, digests and numbers.

use crate::{
    EntryKind, EntryName, ModelEntry, NoteEntries, NoteError, OrganisationEntry, ServiceEntry,
    validate::entry_names,
};

/// Most characters of a name.
const NAME_LIMIT: usize = 128;

/// Most keys of one organisation.
const KEY_LIMIT: u64 = 64;

/// Most tokens of a context.
const CONTEXT_LIMIT_TOKENS: u64 = 16_000_000;

/// Most of a weight, and of the copies of a model.
const SHARE_LIMIT: u64 = 10_000;

/// Longest time limit of a service's call in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 600_000;

/// Checks the entries of one section.
pub fn check(entries: &NoteEntries, faults: &mut Vec<NoteError>) {
    for entry in entry_names(entries) {
        let length = entry.name.chars().count();
        let control = entry.name.chars().any(char::is_control);
        if length == 0 || length > NAME_LIMIT || control {
            faults.push(NoteError::BadName(entry));
        }
    }
    for (name, organisation) in &entries.organisations {
        check_organisation(name, organisation, faults);
    }
    for (name, model) in &entries.models {
        check_model(name, model, faults);
    }
    for (name, service) in &entries.services {
        check_service(name, service, faults);
    }
}

fn check_organisation(name: &str, organisation: &OrganisationEntry, faults: &mut Vec<NoteError>) {
    for (index, digest) in organisation.key_digests.iter().enumerate() {
        if !is_digest(digest) {
            faults.push(NoteError::BadDigest {
                organisation: name.to_owned(),
                index,
            });
        }
    }
    let entry = EntryName::new(EntryKind::Organisation, name);
    let limits = &organisation.limits;
    let keys = organisation.key_digests.len() as u64;
    let mut check = |field: &str, value: u64, most: u64| {
        check_number(&entry, field, value, most, faults);
    };
    check("key_digests", keys, KEY_LIMIT);
    check("weight", u64::from(organisation.weight), SHARE_LIMIT);
    let requests = u64::from(limits.requests_per_second);
    check("limits.requests_per_second", requests, u64::from(u32::MAX));
    check(
        "limits.tokens_per_minute",
        limits.tokens_per_minute,
        u64::MAX,
    );
    let running = u64::from(limits.concurrent_requests);
    check("limits.concurrent_requests", running, u64::from(u32::MAX));
}

fn check_model(name: &str, model: &ModelEntry, faults: &mut Vec<NoteError>) {
    let entry = EntryName::new(EntryKind::Model, name);
    let context = model.context_tokens;
    check_number(
        &entry,
        "context_tokens",
        context,
        CONTEXT_LIMIT_TOKENS,
        faults,
    );
    check_number(
        &entry,
        "copies",
        u64::from(model.copies),
        SHARE_LIMIT,
        faults,
    );
}

fn check_service(name: &str, service: &ServiceEntry, faults: &mut Vec<NoteError>) {
    let entry = EntryName::new(EntryKind::Service, name);
    check_number(
        &entry,
        "timeout_ms",
        service.timeout_ms,
        TIMEOUT_LIMIT_MS,
        faults,
    );
}

fn check_number(
    entry: &EntryName,
    field: &str,
    value: u64,
    most: u64,
    faults: &mut Vec<NoteError>,
) {
    if value == 0 || value > most {
        faults.push(NoteError::OutOfBounds {
            entry: entry.clone(),
            field: field.to_owned(),
            value,
            least: 1,
            most,
        });
    }
}

fn is_digest(digest: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    digest.len() == 64 && digest.bytes().all(is_digit)
}
