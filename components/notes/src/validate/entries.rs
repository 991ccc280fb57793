//! Checks of single entries: names, key digests and numbers.

use crate::{
    EntryKind, EntryName, ModelEntry, NoteEntries, NoteError, OrganisationEntry, ServiceEntry,
    validate::entry_names,
};

/// Maximum length of a name in characters.
const MAX_NAME_CHARS: usize = 128;

/// Maximum number of keys of an organisation.
const MAX_KEYS: u64 = 64;

/// Maximum context length of a model, in tokens.
const MAX_CONTEXT_TOKENS: u64 = 16_000_000;

/// Maximum weight of an organisation and maximum number of copies of a model.
const MAX_WEIGHT_OR_COPIES: u64 = 10_000;

/// Maximum time limit of a call to a service.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Checks the entries that a note adds, or those that it changes.
pub fn check(entries: &NoteEntries, errors: &mut Vec<NoteError>) {
    for entry in entry_names(entries) {
        let length = entry.name.chars().count();
        let has_control_character = entry.name.chars().any(char::is_control);
        if length == 0 || length > MAX_NAME_CHARS || has_control_character {
            errors.push(NoteError::InvalidName(entry));
        }
    }
    for (name, organisation) in &entries.organisations {
        check_organisation(name, organisation, errors);
    }
    for (name, model) in &entries.models {
        check_model(name, model, errors);
    }
    for (name, service) in &entries.services {
        check_service(name, service, errors);
    }
}

fn check_organisation(name: &str, organisation: &OrganisationEntry, errors: &mut Vec<NoteError>) {
    for (index, digest) in organisation.key_digests.iter().enumerate() {
        if !is_digest(digest) {
            errors.push(NoteError::InvalidDigest {
                organisation: name.to_owned(),
                index,
            });
        }
    }
    let entry = EntryName::new(EntryKind::Organisation, name);
    let limits = &organisation.limits;
    let keys = organisation.key_digests.len() as u64;
    let mut check = |field: &str, value: u64, max: u64| {
        check_number(&entry, field, value, max, errors);
    };
    check("key_digests", keys, MAX_KEYS);
    check(
        "weight",
        u64::from(organisation.weight),
        MAX_WEIGHT_OR_COPIES,
    );
    let requests = u64::from(limits.requests_per_second);
    check("limits.requests_per_second", requests, u64::from(u32::MAX));
    check(
        "limits.tokens_per_minute",
        limits.tokens_per_minute,
        u64::MAX,
    );
    let concurrent = u64::from(limits.concurrent_requests);
    check(
        "limits.concurrent_requests",
        concurrent,
        u64::from(u32::MAX),
    );
}

fn check_model(name: &str, model: &ModelEntry, errors: &mut Vec<NoteError>) {
    let entry = EntryName::new(EntryKind::Model, name);
    let context_tokens = model.context_tokens;
    check_number(
        &entry,
        "context_tokens",
        context_tokens,
        MAX_CONTEXT_TOKENS,
        errors,
    );
    check_number(
        &entry,
        "copies",
        u64::from(model.copies),
        MAX_WEIGHT_OR_COPIES,
        errors,
    );
}

fn check_service(name: &str, service: &ServiceEntry, errors: &mut Vec<NoteError>) {
    let entry = EntryName::new(EntryKind::Service, name);
    check_number(
        &entry,
        "timeout_ms",
        service.timeout_ms,
        MAX_TIMEOUT_MS,
        errors,
    );
}

fn check_number(entry: &EntryName, field: &str, value: u64, max: u64, errors: &mut Vec<NoteError>) {
    if value == 0 || value > max {
        errors.push(NoteError::OutOfRange {
            entry: entry.clone(),
            field: field.to_owned(),
            value,
            min: 1,
            max,
        });
    }
}

fn is_digest(digest: &str) -> bool {
    let is_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    digest.len() == 64 && digest.bytes().all(is_hex_digit)
}
